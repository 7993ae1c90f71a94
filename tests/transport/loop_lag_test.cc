#include "currantpost/transport/loop_lag.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "currantpost/transport/http_server.h"

/// Tests the measurement of how far an event loop is behind.

namespace currantpost {
namespace {

constexpr Millis kPollInterval = Millis(2);
constexpr Millis kTurn = Millis(20);
/// Longer than what one read takes.
constexpr size_t kBodyBytes = 20'000;

std::string RequestOf(size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n" + std::string(body_bytes, 'x');
}

class LoopLagTest : public testing::Test {
 protected:
  /// Runs the loop until `condition` holds.
  void RunUntil(const std::function<bool()>& condition) {
    Poll(condition);
    loop_.Run();
  }

  void Poll(const std::function<bool()>& condition) {
    if (condition()) return loop_.Stop();
    loop_.After(kPollInterval, [this, condition] { Poll(condition); });
  }

  /// Takes `kTurn` in each pass through the loop's queue until a measurement is complete.
  void KeepBusy(const LoopLag& lag) {
    loop_.After(Millis(0), [this, &lag] {
      if (lag.HandledUpTo()) return;

      manual_.Advance(kTurn);
      KeepBusy(lag);
    });
  }

  EventLoop loop_;
  ManualClock manual_;
  MonotonicClock clock_;
};

TEST_F(LoopLagTest, IsTheTimeThatEverythingReadyTakes) {
  LoopLag lag(loop_, manual_);
  KeepBusy(lag);
  lag.Measure();
  EXPECT_EQ(lag.HandledUpTo(), std::nullopt);

  RunUntil([&] { return lag.HandledUpTo().has_value(); });
  EXPECT_GE(lag.Lateness(), kTurn);
  EXPECT_EQ(lag.Lateness(), manual_.Now());
  EXPECT_EQ(lag.HandledUpTo(), Millis(0));
}

// Guards against an entry that counts as behind, and drops requests, after it has caught up.
TEST_F(LoopLagTest, IsOverOnceNothingIsLeftToDo) {
  LoopLag lag(loop_, manual_);
  constexpr int kHandlers = 5;
  Millis longest;
  lag.Measure();
  for (int handler = 0; handler < kHandlers; ++handler) {
    loop_.After(Millis(0), [&] {
      manual_.Advance(kTurn);
      longest = std::max(longest, lag.Lateness());
    });
  }

  RunUntil([&] { return lag.HandledUpTo().has_value(); });
  EXPECT_EQ(longest, kTurn * kHandlers);
  EXPECT_EQ(lag.Lateness(), Millis(0));
}

TEST_F(LoopLagTest, CountsThePresentMeasurementWhileItLasts) {
  LoopLag lag(loop_, manual_);
  lag.Measure();
  manual_.Advance(Millis(700));
  EXPECT_EQ(lag.Lateness(), Millis(700));
}

TEST_F(LoopLagTest, EndsAfterRequestsThatHadArrivedAtItsBeginning) {
  LoopLag lag(loop_, clock_);
  int handled = 0;
  HttpServer server(loop_, clock_, HttpServerLimits{},
                    [&](const ReceivedRequest&, const Respond& respond) {
                      ++handled;
                      respond(HttpResponse{});
                    });
  ASSERT_FALSE(server.Listen(Address{"127.0.0.1", 0}).code);

  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(server.port()));
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);

  for (int request = 1; request <= 3; ++request) {
    const std::string bytes = RequestOf(request == 1 ? 0 : kBodyBytes);
    ASSERT_EQ(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    if (request == 1) {
      RunUntil([&] { return handled == 1; });
      continue;
    }

    const Millis began = clock_.Now();
    lag.Measure();
    RunUntil([&] { return lag.HandledUpTo() >= began; });
    EXPECT_EQ(handled, request);
  }

  close(connection);
}

}  // namespace
}  // namespace currantpost

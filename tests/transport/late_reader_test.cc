#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "currantpost/transport/http_client.h"
#include "currantpost/transport/http_server.h"

/// Tests a process that is short of processor time: its event loop stands still while peers send.

namespace currantpost {
namespace {

constexpr Millis kTimeout = Millis(200);
/// The loop stands still until well after the timeout of a call.
constexpr Millis kLateForCall = Millis(300);
constexpr Millis kMaxWait = Millis(5'000);

/// A server with an event loop of its own, in a thread.
class RemoteServer {
 public:
  explicit RemoteServer(HttpServer::Handler handler)
      : server_(loop_, clock_, HttpServerLimits{}, std::move(handler)) {
    EXPECT_FALSE(server_.Listen(Address{"127.0.0.1", 0}).code);
    thread_ = std::thread([this] { loop_.Run(); });
  }

  ~RemoteServer() {
    loop_.After(Millis(0), [this] { loop_.Stop(); });
    thread_.join();
  }

  [[nodiscard]] Address address() const { return Address{"127.0.0.1", server_.port()}; }

 private:
  EventLoop loop_;
  MonotonicClock clock_;
  HttpServer server_;
  std::thread thread_;
};

void StandStill(Millis span) {
  std::this_thread::sleep_for(std::chrono::milliseconds(span.Count()));
}

/// Sends a call, stands still once the server has received it, and returns the result.
HttpReply CallAndStandStill(const HttpServer::Handler& handler) {
  std::atomic<bool> received = false;
  std::atomic<bool> may_reply = false;
  RemoteServer server([&](const ReceivedRequest& request, const Respond& respond) {
    received = true;
    while (!may_reply) std::this_thread::yield();

    handler(request, respond);
  });
  EventLoop loop;
  MonotonicClock clock;
  HttpClient client(loop, clock, HttpClientLimits{});
  std::optional<HttpReply> result;
  client.Send(server.address(), HttpRequest{}, kTimeout, [&](HttpReply reply) {
    result = std::move(reply);
    loop.Stop();
  });

  std::function<void()> stand_still = [&] {
    if (!received) return loop.After(Millis(1), stand_still);

    may_reply = true;
    StandStill(kLateForCall);
  };
  stand_still();
  loop.After(kMaxWait, [&] { loop.Stop(); });
  loop.Run();
  return result.value_or(HttpReply{});
}

// Guards against ends of runs that were never handled: replies that had arrived were dropped by
// the timeout of their call.
TEST(LateReader, ReceivesAReplyThatArrivedInTime) {
  const HttpReply reply = CallAndStandStill([](const ReceivedRequest&, const Respond& respond) {
    respond(HttpResponse{.body = std::string(2'000, 'x')});
  });

  EXPECT_EQ(reply.outcome, CallOutcome::kAnswered);
  EXPECT_EQ(reply.response.body.size(), 2'000U);
}

TEST(LateReader, GivesUpACallWithoutAReply) {
  const HttpReply reply = CallAndStandStill([](const ReceivedRequest&, const Respond&) {});

  EXPECT_EQ(reply.outcome, CallOutcome::kUnknown);
}

}  // namespace
}  // namespace currantpost

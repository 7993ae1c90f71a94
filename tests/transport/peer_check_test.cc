#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/transport/http_client.h"
#include "currantpost/transport/http_server.h"

/// Tests calls that are meant for one process behind an address, while processes come and go there.

namespace currantpost {
namespace {

constexpr Millis kMaxWait = Millis(5'000);
constexpr Millis kTimeout = Millis(2'000);

class PeerCheckTest : public testing::Test {
 protected:
  /// Starts a process behind the address.
  void Start(PeerIdentity identity) {
    server_ = std::make_unique<HttpServer>(
        loop_, clock_, HttpServerLimits{},
        [this, identity](const ReceivedRequest& request, const Respond& respond) {
          received_.push_back(std::to_string(identity) + request.target);
          if (!silent_)
            respond(HttpResponse{.body = stated_ ? std::to_string(identity) : std::string()});
        });
    ASSERT_FALSE(server_->Listen(Address{"127.0.0.1", address_.port}).code);
    address_ = Address{"127.0.0.1", server_->port()};
  }

  HttpReply Call(const std::string& target, PeerIdentity expected, Millis timeout = kTimeout) {
    std::optional<HttpReply> result;
    const PeerCheck check{.expected = expected,
                          .make_probe = [] { return HttpRequest{.target = "/probe"}; },
                          .identify =
                              [](const HttpResponse& response) {
                                return response.body.empty() ? 0 : std::stoll(response.body);
                              }};
    client_.SendTo(address_, check, HttpRequest{.target = target}, timeout,
                   [&](const HttpReply& reply) { result = reply; });
    Wait([&] { return result.has_value(); }, clock_.Now() + kMaxWait);
    loop_.Run();
    return result.value_or(HttpReply{});
  }

  /// Ends the process behind the address, and with it the open connection.
  void Stop(PeerIdentity identity) {
    server_->BeginDrain();
    Call("/last", identity);
    server_.reset();
  }

  std::vector<std::string> received_;
  /// The server's responses contain its identity.
  bool stated_ = true;
  /// The server responds to nothing.
  bool silent_ = false;

 private:
  void Wait(const std::function<bool()>& condition, Millis deadline) {
    if (condition() || clock_.Now() >= deadline) {
      loop_.Stop();
      return;
    }

    loop_.After(Millis(1), [this, condition, deadline] { Wait(condition, deadline); });
  }

  EventLoop loop_;
  MonotonicClock clock_;
  HttpClient client_{loop_, clock_, HttpClientLimits{}};
  std::unique_ptr<HttpServer> server_;
  Address address_{"127.0.0.1", 0};
};

using Received = std::vector<std::string>;

TEST_F(PeerCheckTest, ProbesEachConnectionOnce) {
  Start(1);

  EXPECT_EQ(Call("/a", 1).outcome, CallOutcome::kAnswered);
  EXPECT_EQ(Call("/b", 1).outcome, CallOutcome::kAnswered);
  EXPECT_EQ(received_, (Received{"1/probe", "1/a", "1/b"}));
}

TEST_F(PeerCheckTest, CallForAFormerProcessDoesNotReachTheNextOne) {
  Start(1);
  Call("/a", 1);
  Stop(1);
  Start(2);
  const HttpReply reply = Call("/b", 1);

  EXPECT_EQ(reply.outcome, CallOutcome::kOtherPeer);
  EXPECT_EQ(reply.response.body, "2");
  EXPECT_EQ(received_, (Received{"1/probe", "1/a", "1/last", "2/probe"}));
  EXPECT_EQ(Call("/c", 2).outcome, CallOutcome::kAnswered);
  EXPECT_EQ(received_.back(), "2/c");
}

TEST_F(PeerCheckTest, CallForAnyProcessTellsWhichOneAcceptedTheConnection) {
  Start(1);
  Call("/a", 0);
  Call("/b", 1);

  EXPECT_EQ(received_, (Received{"1/a", "1/b"}));
}

TEST_F(PeerCheckTest, CallIsNotSentToAProcessThatDoesNotSayWhichItIs) {
  stated_ = false;
  Start(1);

  EXPECT_EQ(Call("/a", 1).outcome, CallOutcome::kOtherPeer);
  EXPECT_EQ(received_, (Received{"1/probe"}));
}

TEST_F(PeerCheckTest, CallWhoseProbeIsNotAnsweredWasNotSent) {
  Start(1);
  silent_ = true;

  EXPECT_EQ(Call("/a", 1, Millis(100)).outcome, CallOutcome::kNotSent);
  EXPECT_EQ(received_, (Received{"1/probe"}));
}

}  // namespace
}  // namespace currantpost

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

/// An upstream all of whose connections made so far can go silent, while new ones work.
class ForgetfulUpstream {
 public:
  /// Makes the connections of now silent for good.
  void ForgetConnections() { ++generation_; }

  /// Holds all answers back until this many requests came in all, on connections that work.
  void AwaitRequests(int total) { awaited_ = total; }

  RawUpstream& Upstream() { return upstream_; }

 private:
  bool Serve(RawConnection& connection, const RawRequest& request) {
    // Each connection has a thread of its own.
    thread_local int made_in = generation_;

    if (made_in != generation_) {
      connection.AwaitEnd();
      return false;
    }

    ++arrived_;
    while (arrived_ < awaited_) std::this_thread::yield();
    connection.Answer(request, "ok");
    return true;
  }

  std::atomic<int> generation_ = 0;
  std::atomic<int> arrived_ = 0;
  std::atomic<int> awaited_ = 0;
  RawUpstream upstream_{[this](RawConnection& connection, const RawRequest& request) {
    return Serve(connection, request);
  }};
};

TEST(SilentConnection, FreshOneIsTriedBeforeTheUpstreamIsBlamed) {
  ForgetfulUpstream forgetful;
  Entry entry;
  // A connection is given up as silent after half of this time.
  entry.Route({forgetful.Upstream().Routed("a")}, Millis(4'000));
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  forgetful.ForgetConnections();
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  const UpstreamObservation observed = entry.Observed("a");
  EXPECT_EQ(observed.failed, 0);
  EXPECT_EQ(observed.completed, 2);
  EXPECT_LT(observed.latency_p99, Millis(2'000)) << "counts the silence";
  EXPECT_EQ(entry.Server().Metrics().silent_connections, 1);
}

TEST(SilentConnection, OneSilenceIsEnoughToDropAllOlderConnections) {
  constexpr int kTogether = 4;
  ForgetfulUpstream forgetful;
  Entry entry;
  entry.Route({forgetful.Upstream().Routed("a")}, Millis(1'000));

  const auto send_together = [&entry] {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kTogether; ++caller) {
      callers.emplace_back([&entry] { EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed"); });
    }
    for (std::thread& caller : callers) caller.join();
  };

  forgetful.AwaitRequests(kTogether);
  send_together();
  EXPECT_EQ(forgetful.Upstream().Connections(), kTogether);

  forgetful.ForgetConnections();
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  // These need as many connections as were there before, and none of the old ones.
  forgetful.AwaitRequests(kTogether + 1 + kTogether);
  send_together();
  EXPECT_EQ(entry.Server().Metrics().silent_connections, 1);
  EXPECT_EQ(forgetful.Upstream().Connections(), kTogether + kTogether);
}

TEST(SilentConnection, PostUsesNoneThatWasIdleForLong) {
  ForgetfulUpstream forgetful;
  Entry entry;
  entry.Route({forgetful.Upstream().Routed("a")}, Millis(1'000));
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  forgetful.ForgetConnections();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "completed");
  EXPECT_EQ(forgetful.Upstream().Requests(), 2);
}

TEST(SilentConnection, PostLostOnAReusedOneBlamesNobody) {
  ForgetfulUpstream forgetful;
  Entry entry;
  entry.Route({forgetful.Upstream().Routed("a")}, Millis(300));
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  forgetful.ForgetConnections();
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "unknown");
  EXPECT_EQ(entry.Observed("a").failed, 0);
  EXPECT_EQ(forgetful.Upstream().Connections(), 1);
}

TEST(SilentConnection, UpstreamThatIsSilentOnAFreshOneIsBlamed) {
  std::atomic<bool> silent = false;
  RawUpstream upstream([&silent](RawConnection& connection, const RawRequest& request) {
    if (silent) {
      connection.AwaitEnd();
      return false;
    }

    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")}, Millis(500));
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");

  silent = true;
  const httplib::Result result = entry.Send("GET", "/");
  EXPECT_EQ(OutcomeOf(result), "unknown");
  EXPECT_EQ(ErrorOf(result), "timeout");
  EXPECT_EQ(entry.Observed("a").failed, 1);
}

}  // namespace
}  // namespace currantpost

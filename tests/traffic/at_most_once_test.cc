#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

/// A way in which an upstream fails after it has the request.
struct Fault {
  const char* name;
  RawUpstream::Behaviour behaviour;
};

class Faults : public testing::TestWithParam<Fault> {};

TEST_P(Faults, PostIsSentOnce) {
  RawUpstream first(GetParam().behaviour);
  RawUpstream second(GetParam().behaviour);
  Entry entry;
  entry.Route({first.Routed("a"), second.Routed("b")}, Millis(400));

  const httplib::Result result = entry.Send("POST", "/", {}, "order");

  EXPECT_EQ(OutcomeOf(result), "unknown");
  EXPECT_EQ(first.Requests() + second.Requests(), 1);
}

TEST_P(Faults, GetIsTriedElsewhere) {
  std::atomic<int> failures = 0;
  const RawUpstream::Behaviour behaviour = [&failures](RawConnection& connection,
                                                       const RawRequest& request) {
    if (failures++ == 0) return GetParam().behaviour(connection, request);

    connection.Answer(request, "ok");
    return true;
  };
  RawUpstream first(behaviour);
  RawUpstream second(behaviour);
  Entry entry;
  entry.Route({first.Routed("a"), second.Routed("b")}, Millis(400));

  const bool is_silent = std::string(GetParam().name) == "Silent";

  // A fresh connection that goes silent uses the request's time up.
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), is_silent ? "unknown" : "completed");
}

INSTANTIATE_TEST_SUITE_P(
    AtMostOnce, Faults,
    testing::Values(Fault{"Reset",
                          [](RawConnection& connection, const RawRequest&) {
                            connection.Reset();
                            return false;
                          }},
                    Fault{"End", [](RawConnection&, const RawRequest&) { return false; }},
                    Fault{"Silent",
                          [](RawConnection& connection, const RawRequest&) {
                            connection.AwaitEnd();
                            return false;
                          }},
                    Fault{"Cut",
                          [](RawConnection& connection, const RawRequest&) {
                            connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
                            return false;
                          }}),
    [](const auto& info) { return info.param.name; });

TEST(AtMostOnce, RedirectsAndChallengesArePassedOn) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Write(request.index == 0
                         ? "HTTP/1.1 307 Again\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n"
                         : "HTTP/1.1 401 Who\r\nWWW-Authenticate: Digest realm=\"x\", nonce=\"y\""
                           "\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  EXPECT_EQ(entry.Send("POST", "/")->status, 307);
  EXPECT_EQ(entry.Send("POST", "/")->status, 401);
  EXPECT_EQ(upstream.Requests(), 2);
}

TEST(AtMostOnce, StaleConnectionIsNoticedBeforeThePostIsSent) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    if (request.index > 0) return true;

    // Ends the connection only when it is idle.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return false;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "completed");
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "completed");
  EXPECT_EQ(upstream.Requests(), 2);
  EXPECT_EQ(upstream.Connections(), 2);
}

TEST(AtMostOnce, PostOnAConnectionThatBreaksIsNotSentAgain) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    if (request.index == 1) {
      connection.Reset();
      return false;
    }

    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "completed");
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "unknown");
  EXPECT_EQ(upstream.Requests(), 2);
  EXPECT_EQ(upstream.Connections(), 1);
}

TEST(AtMostOnce, ClaimedKeyIsRunOnce) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});
  const httplib::Headers key = {{"Idempotency-Key", "order-7"}};

  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/", key)), "completed");
  const httplib::Result again = entry.Send("POST", "/", key);

  EXPECT_EQ(again->status, 409);
  EXPECT_EQ(ErrorOf(again), "already_claimed");
  EXPECT_EQ(OutcomeOf(again), "not_run");
  EXPECT_EQ(upstream.Requests(), 1);
}

TEST(AtMostOnce, ClaimIsGivenBackOnlyIfNothingRan) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    if (request.index > 0) return false;

    connection.Write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return false;
  });
  Entry entry;
  const httplib::Headers key = {{"Idempotency-Key", "order-7"}};

  RoutedUpstream nobody = upstream.Routed("nobody");
  nobody.address.port = ClosedPort();
  entry.Route({nobody});
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/", key)), "not_run");
  EXPECT_EQ(entry.Claims().Held(), 0);

  entry.Route({upstream.Routed("a")});
  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/", key)), "unknown");
  EXPECT_EQ(entry.Claims().Held(), 1);
}

TEST(AtMostOnce, NothingIsSentOnceTheDeadlineHasPassedDuringTheClaim) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Claims().Delay(Millis(150));
  entry.Route({upstream.Routed("a")}, Millis(100));

  const httplib::Result result = entry.Send("POST", "/", {{"Idempotency-Key", "order-7"}});

  EXPECT_EQ(result->status, 504);
  EXPECT_EQ(OutcomeOf(result), "not_run");
  EXPECT_EQ(upstream.Requests(), 0);
  EXPECT_EQ(entry.Claims().Held(), 0);
}

TEST(AtMostOnce, WithoutTheStoreNothingIsSent) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  for (const ClaimOutcome failure : {ClaimOutcome::kUnavailable, ClaimOutcome::kUnknown}) {
    entry.Claims().Fail(failure);
    const httplib::Result result = entry.Send("POST", "/", {{"Idempotency-Key", "order-7"}});
    EXPECT_EQ(result->status, 503);
    EXPECT_EQ(OutcomeOf(result), "not_run");
  }

  EXPECT_EQ(upstream.Requests(), 0);
  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/", {{"Idempotency-Key", "x"}})), "completed");
}

}  // namespace
}  // namespace currantpost

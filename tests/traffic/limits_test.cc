#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>

#include "currantpost/traffic/admission_queue.h"
#include "currantpost/traffic/concurrency_limit.h"
#include "currantpost/traffic/retry_budget.h"
#include "currantpost/traffic/upstream_table.h"
#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

RoutedUpstream Upstream(int number, Incarnation incarnation, int32_t slots, int32_t connections) {
  return {.vm = VmId("vm" + std::to_string(number)),
          .incarnation = incarnation,
          .data_centre = DataCentreId(number % 2 == 0 ? "here" : "there"),
          .connection_share = connections,
          .slot_share = slots};
}

RC_GTEST_PROP(Limits, NothingNewBeyondTheShareOrToALeavingUpstream, ()) {
  constexpr int kUpstreams = 4;
  constexpr int kSteps = 80;
  UpstreamTable table(1);
  RoutingSnapshot snapshot;
  snapshot.own_data_centre = DataCentreId("here");
  std::vector<ReservedSlot> held;

  for (int step = 0; step < kSteps; ++step) {
    const int choice = *rc::gen::inRange(0, 8);

    if (choice == 0) {
      snapshot.upstreams.clear();
      for (int number = 0; number < kUpstreams; ++number) {
        if (*rc::gen::inRange(0, 4) == 0) continue;

        RoutedUpstream upstream = Upstream(number, *rc::gen::inRange(1, 3), *rc::gen::inRange(0, 5),
                                           *rc::gen::inRange(0, 5));
        upstream.leaving = *rc::gen::inRange(0, 5) == 0;
        upstream.ejected = *rc::gen::inRange(0, 3) == 0;
        snapshot.upstreams.push_back(upstream);
      }
      table.Apply(snapshot);
      continue;
    }

    if (choice < 4 && !held.empty()) {
      const auto index = *rc::gen::inRange<size_t>(0, held.size());
      const auto verdict = *rc::gen::element(AttemptVerdict::kAnswered, AttemptVerdict::kTimedOut,
                                             AttemptVerdict::kRefused);
      table.Release(held[index],
                    {.verdict = verdict, .latency = Millis(*rc::gen::inRange(0, 100))});
      held.erase(held.begin() + static_cast<int64_t>(index));
      continue;
    }

    const std::optional<ReservedSlot> slot = table.Reserve({});
    if (!slot) continue;

    const auto routed = std::ranges::find(snapshot.upstreams, slot->vm, &RoutedUpstream::vm);
    RC_ASSERT(routed != snapshot.upstreams.end());
    RC_ASSERT(!routed->leaving);
    RC_ASSERT(slot->incarnation == routed->incarnation);
    held.push_back(*slot);

    const auto in_flight = std::ranges::count(held, slot->vm, &ReservedSlot::vm);
    RC_ASSERT(in_flight <= std::min(routed->slot_share, routed->connection_share));
    RC_ASSERT(in_flight == table.InFlight(slot->vm));

    const bool has_healthy = std::ranges::any_of(snapshot.upstreams, [](const auto& upstream) {
      return !upstream.leaving && !upstream.ejected;
    });
    RC_ASSERT(!(routed->ejected && has_healthy));
  }
}

RoutingSnapshot TwoUpstreams() {
  RoutingSnapshot snapshot;
  snapshot.own_data_centre = DataCentreId("here");
  snapshot.upstreams = {Upstream(0, 1, 8, 8), Upstream(2, 1, 8, 8)};
  return snapshot;
}

/// Sends requests one after the other through a table, each answered after `latency_of` its
/// upstream; returns how many each upstream got.
std::map<VmId, int> SendInTurn(UpstreamTable& table, int requests,
                               const std::function<Millis(const VmId&)>& latency_of) {
  std::map<VmId, int> served;

  for (int sent = 0; sent < requests; ++sent) {
    const std::optional<ReservedSlot> slot = table.Reserve({});
    if (!slot) break;

    ++served[slot->vm];
    table.Release(*slot, {.verdict = AttemptVerdict::kAnswered, .latency = latency_of(slot->vm)});
  }

  return served;
}

TEST(Limits, OneSlowAnswerKeepsNoUpstreamWithoutRequestsForGood) {
  UpstreamTable table(1);
  table.Apply(TwoUpstreams());

  bool was_slow = false;
  SendInTurn(table, 40, [&](const VmId& vm) {
    if (vm != VmId("vm0") || was_slow) return Millis(0);

    was_slow = true;
    return Millis(20);
  });

  // Both answer at once from now on, so they are alike after a while.
  constexpr int kRequests = 10'000;
  const auto served = SendInTurn(table, kRequests, [](const VmId&) { return Millis(0); });
  EXPECT_GT(served.at(VmId("vm0")), kRequests / 4);
}

TEST(Limits, SlowUpstreamIsTriedSeldom) {
  UpstreamTable table(1);
  table.Apply(TwoUpstreams());

  // At most one request in a hundred is as late as that, so the tail of 99 in 100 does not show it.
  constexpr int kRequests = 10'000;
  const auto served = SendInTurn(table, kRequests,
                                 [](const VmId& vm) { return Millis(vm == VmId("vm0") ? 50 : 5); });
  EXPECT_GT(served.at(VmId("vm0")), 0);
  EXPECT_LE(served.at(VmId("vm0")), kRequests / 100);
}

RC_GTEST_PROP(Limits, ExtraAttemptsStayWithinTheBudget, ()) {
  const double share = *rc::gen::inRange(0, 100) / 100.0;
  RetryBudget budget;
  int requests = 0;
  int extra = 0;

  for (int step = 0; step < 500; ++step) {
    if (*rc::gen::inRange(0, 3) == 0) {
      budget.OnRequest(share);
      ++requests;
    } else if (budget.Take()) {
      ++extra;
    }

    RC_ASSERT(extra <= requests * share + RetryBudget::kBurst + 1e-6);
  }
}

RC_GTEST_PROP(Limits, AdaptiveLimitStaysBetweenOneAndTheShare, ()) {
  ConcurrencyLimit limit;

  for (int step = 0; step < 100; ++step) {
    const auto share = *rc::gen::inRange(1, 10);
    if (*rc::gen::inRange(0, 4) == 0) {
      limit.OnTimeout(share);
    } else {
      limit.OnAnswer(Millis(*rc::gen::inRange(0, 200)), share);
    }

    RC_ASSERT(limit.Allowed(share) >= 1);
    RC_ASSERT(limit.Allowed(share) <= share);
    RC_ASSERT(limit.Allowed(0) == 0);
  }
}

TEST(Limits, AdaptiveLimitFallsUnderOverloadAndRecovers) {
  constexpr int32_t kShare = 8;
  ConcurrencyLimit limit;
  for (int answer = 0; answer < 20; ++answer) limit.OnAnswer(Millis(10), kShare);
  EXPECT_EQ(limit.Allowed(kShare), kShare);

  for (int answer = 0; answer < 30; ++answer) limit.OnAnswer(Millis(60), kShare);
  EXPECT_LE(limit.Allowed(kShare), 2);

  for (int answer = 0; answer < 100; ++answer) limit.OnAnswer(Millis(10), kShare);
  EXPECT_EQ(limit.Allowed(kShare), kShare);
}

RC_GTEST_PROP(Limits, UrgentRequestsAreServedFirstAndShedLast, ()) {
  constexpr int32_t kLargest = 5;
  AdmissionQueue queue(kLargest);
  const auto ranks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
  std::vector<QueuedRequest> requests(ranks.size());

  for (size_t index = 0; index < ranks.size(); ++index) {
    QueuedRequest& request = requests[index];
    request.priority = static_cast<Priority>(ranks[index]);
    const bool was_full = queue.Size() == kLargest;
    const QueuedRequest* displaced = queue.Push(request);

    RC_ASSERT((displaced != nullptr) == was_full);
    RC_ASSERT(queue.Size() <= kLargest);

    queue.ForEach([&](QueuedRequest& waiting) {
      // The inner parentheses keep RC_ASSERT from evaluating both sides.
      RC_ASSERT((displaced == nullptr || waiting.priority <= displaced->priority));
      return true;
    });
  }

  const QueuedRequest* last = nullptr;
  queue.ForEach([&](QueuedRequest& waiting) {
    RC_ASSERT((last == nullptr || last->priority < waiting.priority ||
               (last->priority == waiting.priority && last < &waiting)));
    last = &waiting;
    return true;
  });
}

TEST(Limits, UpstreamNeverSeesMoreThanItsShareAlsoWhenTheShareFalls) {
  std::atomic<int> in_flight = 0;
  std::atomic<int> exceeded = 0;
  std::atomic<int> allowed = 2;
  RawUpstream upstream([&](RawConnection& connection, const RawRequest& request) {
    if (++in_flight > allowed) ++exceeded;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    --in_flight;
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  RoutedUpstream routed = upstream.Routed("a");
  routed.slot_share = 3;
  routed.connection_share = 2;
  entry.Route({routed});

  const auto load = [&entry] {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 12; ++caller) {
      callers.emplace_back([&entry] {
        for (int sent = 0; sent < 10; ++sent) {
          EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
        }
      });
    }
    for (std::thread& caller : callers) caller.join();
  };

  load();
  EXPECT_LE(upstream.MostOpen(), 2);

  routed.slot_share = 1;
  entry.Route({routed});
  allowed = 1;
  load();
  EXPECT_EQ(exceeded, 0);
}

TEST(Limits, FullQueueShedsTheLeastUrgent) {
  std::atomic<bool> held = true;
  RawUpstream upstream([&held](RawConnection& connection, const RawRequest& request) {
    while (held) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    connection.Answer(request, "ok");
    return true;
  });
  TrafficSettings settings = Entry::Settings();
  settings.queue_length = 1;
  settings.queue_timeout = Millis(20'000);
  Entry entry(settings);
  RoutingSnapshot snapshot;
  RoutedUpstream routed = upstream.Routed("a");
  routed.slot_share = 1;
  snapshot.upstreams = {routed};
  snapshot.preset.routes = {RouteRule{.prefix = "/", .priority = Priority::kLow},
                            RouteRule{.prefix = "/board", .priority = Priority::kUrgent}};
  entry.Route(snapshot);

  std::string shed;
  std::string board;
  std::thread running([&] { EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed"); });
  while (upstream.Requests() < 1) std::this_thread::yield();

  std::thread low([&] { shed = ErrorOf(entry.Send("GET", "/")); });
  while (entry.Server().Metrics().queue_length < 1) std::this_thread::yield();

  std::thread urgent([&] { board = OutcomeOf(entry.Send("GET", "/board")); });
  low.join();
  EXPECT_EQ(shed, "overloaded");
  EXPECT_EQ(ErrorOf(entry.Send("GET", "/")), "overloaded");
  EXPECT_EQ(entry.Server().Metrics().shed, 2);

  held = false;
  running.join();
  urgent.join();
  EXPECT_EQ(board, "completed");
}

TEST(Limits, FreeSlotIsNotKeptFromThoseBehindARequestThatCannotUseIt) {
  std::atomic<bool> held = true;
  RawUpstream busy([&held](RawConnection& connection, const RawRequest& request) {
    while (held) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    connection.Answer(request, "ok");
    return true;
  });
  RawUpstream failing_once([](RawConnection& connection, const RawRequest& request) {
    if (request.index == 0) return false;

    connection.Answer(request, "ok");
    return true;
  });
  TrafficSettings settings = Entry::Settings();
  settings.queue_timeout = Millis(2'000);
  Entry entry(settings);
  RoutedUpstream full = busy.Routed("busy");
  full.slot_share = 1;

  entry.Route({full});
  std::thread running([&] { EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed"); });
  while (busy.Requests() < 1) std::this_thread::yield();

  entry.Route({full, failing_once.Routed("b")});
  std::thread again([&] { EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed"); });
  while (entry.Server().Metrics().queue_length < 1) std::this_thread::yield();

  EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "completed");
  EXPECT_EQ(entry.Server().Metrics().queue_length, 1);

  held = false;
  running.join();
  again.join();
}

TEST(Limits, FailuresCauseNoRetryStorm) {
  constexpr int kSent = 100;
  std::atomic<int> attempts = 0;
  const RawUpstream::Behaviour fails = [&attempts](RawConnection&, const RawRequest&) {
    ++attempts;
    return false;
  };
  RawUpstream first(fails);
  RawUpstream second(fails);
  RawUpstream third(fails);
  Entry entry;
  RoutingSnapshot snapshot;
  snapshot.upstreams = {first.Routed("a"), second.Routed("b"), third.Routed("c")};
  snapshot.preset.retry_budget = 0.1;
  entry.Route(snapshot);

  for (int sent = 0; sent < kSent; ++sent) EXPECT_EQ(OutcomeOf(entry.Send("GET", "/")), "unknown");

  EXPECT_LE(attempts, kSent * 1.1 + RetryBudget::kBurst);
  EXPECT_GT(attempts, kSent);
}

}  // namespace
}  // namespace currantpost

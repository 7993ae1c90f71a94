#include <gtest/gtest.h>

#include "lone_entry.h"
#include "world.h"

/// Open connections that go silent for good while new ones work.

namespace currantpost::scheduler {
namespace {

/// Time after a disruption after which the deployment's bounds hold again.
constexpr Millis kContactTime = Millis(3'000);
/// Time after a fault after which an entry is up to date again, whatever the bounds.
constexpr Millis kCatchUpTime = Millis(4'000);
/// Time after its acknowledgement after which a configuration is in force.
constexpr Millis kConfigurationTime = Millis(2'000);
/// The silence begins at each of these times after a start, so at each moment of a watch's wait.
constexpr Millis kFirstSilence = Millis(6'000);
constexpr Millis kLastSilence = Millis(8'500);
constexpr Millis kSilenceStep = Millis(100);

Routing SecondVersion() {
  Routing routing;
  routing.version = 2;
  routing.queues.push_back(Queue{.name = "other",
                                 .host = "host",
                                 .path_prefix = "/o/",
                                 .service = "service",
                                 .max_attempts = 3});
  routing.services["service"] = Service{.name = "service"};
  return routing;
}

class SilentWatch : public testing::Test {
 protected:
  /// Calls `play` with a world that runs, for each time at which the silence may begin.
  template <typename Play>
  static void ForEachSilence(Play play) {
    for (Millis at = kFirstSilence; at <= kLastSilence; at = at + kSilenceStep) {
      World world{WorldShape{.entries = 3}};
      world.Run(at);
      SCOPED_TRACE("silent after " + std::to_string(at.Count()) + " ms");
      play(world);
    }
  }
};

TEST_F(SilentWatch, AConfigurationIsInForceInTime) {
  ForEachSilence([](World& world) {
    constexpr Millis kUntilWrite = Millis(400);
    world.SilenceCallsInFlight();
    world.Run(kUntilWrite);
    world.store.Configure(SecondVersion(), world.now());
    world.Run(std::max(kConfigurationTime, kContactTime - kUntilWrite));

    for (const std::string& entry : world.Entries()) {
      EXPECT_EQ(world.state(entry).routing->version, 2) << entry;
    }
  });
}

TEST_F(SilentWatch, TheEndOfATaskIsNotedInTime) {
  ForEachSilence([](World& world) {
    world.Submit("e0", MakeJob("a", 4));
    world.Run(Millis(300));
    world.SilenceCallsInFlight();
    world.Run(kContactTime);
    EXPECT_EQ(world.Phase("a"), JobPhase::kCompleted);
  });
}

TEST_F(SilentWatch, ACancelledJobIsStoppedInTime) {
  ForEachSilence([](World& world) {
    world.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
    world.Submit("e0", MakeJob("a", 4));
    world.Run(Millis(1'000));
    ASSERT_FALSE(world.WorkersOf("a").empty());

    world.SilenceCallsInFlight();
    world.Run(Millis(100));
    for (const std::string& entry : world.Entries()) world.Cancel(entry, "a");
    world.Run(Settings().cancel_time + Settings().stop_time);
    EXPECT_TRUE(world.WorkersOf("a").empty());
  });
}

TEST_F(SilentWatch, ADrainingWorkerGetsNoStartLater) {
  ForEachSilence([](World& world) {
    const std::string worker = world.Workers().front();
    world.SilenceCallsInFlight();
    world.DrainWorker(worker);
    const Millis limit = world.now() + std::max(kContactTime, Settings().drain_time);
    world.on_start_order = [&](const ObservedStart& start) {
      EXPECT_FALSE(start.worker == worker && world.now() > limit);
    };

    for (int32_t number = 0; number < 60; ++number) {
      world.Submit("e" + std::to_string(number % 3), MakeJob("j" + std::to_string(number), 2));
      world.Run(Millis(100));
    }
    EXPECT_FALSE(world.starts.empty());
  });
}

TEST_F(SilentWatch, TasksRunOnIfTheirOwnerIsGoneAtThatMoment) {
  ForEachSilence([](World& world) {
    world.planner = [](const TaskName&) { return RunPlan{.never_ends = true}; };
    world.Submit("e0", MakeJob("a", 4));
    world.Run(Millis(1'000));
    const std::string owner = world.OwnerOf("a");
    ASSERT_FALSE(owner.empty());

    world.SilenceCallsInFlight();
    world.KillForGood(owner);
    world.Run(Millis(10'000));
    EXPECT_TRUE(world.ends.empty());
    EXPECT_EQ(world.WorkersOf("a").size(), 4U);
  });
}

TEST(WatchOfConfiguration, IsGivenUpInTimeForTheNextOneWhateverTheDeploymentPromises) {
  for (const Millis contact : {Millis(1'500), kContactTime, Millis(20'000)}) {
    LoneEntry entry;
    entry.state().settings.contact_time = contact;
    const auto of_configuration = [](const auto& call) {
      return call.feed == Feed::kConfiguration;
    };
    entry.Answer(entry.LatestCall<ListFeed>(of_configuration),
                 {.status = StoreStatus::kOk, .revision = 5});
    const RequestId request = entry.LatestCall<WatchFeed>(of_configuration);
    ASSERT_NE(request, 0U);

    for (const Effect& effect : entry.effects) {
      const auto* call = std::get_if<StoreCall>(&effect);
      if (call == nullptr || call->request != request) continue;

      EXPECT_GT(std::get<WatchFeed>(call->body).wait, Millis(0));
      EXPECT_LT(std::get<WatchFeed>(call->body).wait, call->timeout);
      EXPECT_LT(call->timeout, contact);
      EXPECT_LT(call->timeout, kCatchUpTime);
    }
  }
}

}  // namespace
}  // namespace currantpost::scheduler

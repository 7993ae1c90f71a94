#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "hand_over_scenario.h"
#include "random_source.h"
#include "world.h"

/// Workers that restart under their ids and are cut off soon after, while calls to their former
/// incarnations are on the way and owners change.
///
/// CURRANTPOST_AUDIT_SEEDS works as in answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

constexpr Millis kStartTime = Millis(8'000);
constexpr Millis kRound = Millis(100);
constexpr int32_t kEpisodes = 4;
constexpr Millis kEpisode = Millis(22'000);
/// Calls that are sent this long before a crash may still wait for their connections.
constexpr int64_t kMaxConnectMs = 6'000;
/// How much slower than the entries' clocks the workers' may be.
constexpr int64_t kSlowPercent = 2;

class RestartedWorker : public testing::TestWithParam<uint64_t> {
 protected:
  RestartedWorker() : schedule_(world_) {
    world_.planner = [this](const TaskName&) {
      return RunPlan{.duration = random_.RandomDuration(2'000, 14'000),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.connect_time = [this](const WorkerCall& call) { return ConnectTime(call); };
    world_.on_end_listed = [this](const std::string& worker, const EndedTask& end) {
      listed_.insert(KeyOf(worker, end));
    };
    world_.on_end_forgotten = [this](const std::string& worker, const EndedTask& end) {
      if (!listed_.contains(KeyOf(worker, end)))
        unread_.push_back(worker + " " + end.task.job.Text());
    };
    world_.resets_connections = true;
    for (const std::string& id : world_.Workers()) {
      world_.worker(id).clock_resets_on_restart = true;
      world_.worker(id).clock_slow_percent = random_.Between(0, kSlowPercent);
    }
  }

  using EndKey = std::tuple<std::string, int64_t, int64_t>;

  EndKey KeyOf(const std::string& worker, const EndedTask& end) {
    return {worker, world_.worker(worker).info().incarnation, end.number};
  }

  /// Connections to workers that are about to crash, or are down, are slow to be established.
  Millis ConnectTime(const WorkerCall& call) {
    if (!connecting_.contains(call.worker.Text()) || !random_.Chance(50)) return Millis(0);
    return random_.RandomDuration(1, random_.Chance(70) ? 1'200 : kMaxConnectMs);
  }

  void CutOff(const std::string& worker, Millis span) {
    std::vector<std::string> others = world_.Entries();
    others.emplace_back("store");
    for (const std::string& other : others) world_.Cut(worker, other);
    schedule_.After(span, [this, worker, others] {
      for (const std::string& other : others) world_.Reconnect(worker, other);
    });
  }

  /// Restarts a worker, and cuts it off after its first starts or before.
  void ScheduleRestart(const std::string& worker, Millis crash_at, Millis cut_at, Millis cut_span) {
    const Millis restart_at = crash_at + random_.RandomDuration(50, 900);
    schedule_.After(crash_at - Millis(500), [this, worker] { connecting_.insert(worker); });
    schedule_.After(crash_at, [this, worker] { world_.CrashWorker(worker); });
    schedule_.After(restart_at, [this, worker] {
      connecting_.erase(worker);
      world_.RestartWorker(worker);
    });
    schedule_.After(cut_at, [this, worker, cut_span] { CutOff(worker, cut_span); });
  }

  void ScheduleOwnerKill(Millis at) {
    schedule_.After(at, [this] {
      const std::string entry = random_.PickOne(world_.Entries());
      if (!world_.IsUp(entry)) return;

      world_.Kill(entry);
      schedule_.After(random_.RandomDuration(200, 4'000), [this, entry] {
        if (!world_.IsUp(entry)) world_.Start(entry);
      });
    });
  }

  void RunEpisode() {
    const Millis crash_at = random_.RandomDuration(1'000, 3'000);
    const Millis cut_at = crash_at + random_.RandomDuration(100, 3'000);
    const Millis cut_span = random_.RandomDuration(5'000, 9'000);
    const std::vector<std::string> workers = world_.Workers();
    for (const std::string& entry : world_.Entries()) {
      world_.DelayWatches(entry, random_.RandomDuration(0, 1'500));
    }

    for (const std::string& worker : random_.Sample(workers, random_.Between(2, 5))) {
      ScheduleRestart(worker, crash_at + random_.RandomDuration(0, 300), cut_at + Millis(1'000),
                      cut_span);
      if (random_.Chance(30)) {
        ScheduleRestart(worker, crash_at + random_.RandomDuration(2'000, 4'000),
                        cut_at + Millis(5'000), cut_span);
      }
    }

    for (int64_t kills = random_.Between(0, 3); kills > 0; --kills) {
      ScheduleOwnerKill(crash_at + random_.RandomDuration(0, 5'000));
    }

    for (const Millis end = world_.now() + kEpisode; world_.now() < end; world_.Run(kRound)) {
      schedule_.Advance();
      if (random_.Chance(40)) Submit();
    }
  }

  void Submit() {
    const std::string entry = random_.PickOne(world_.Entries());
    if (!world_.IsUp(entry)) return;
    world_.Submit(
        entry, MakeJob("j" + std::to_string(++jobs_), static_cast<int32_t>(random_.Between(1, 3))));
  }

  RandomSource random_{GetParam()};
  World world_{WorldShape{.entries = 4, .racks = 2, .workers_per_rack = 5, .seed = GetParam()}};
  ActionSchedule schedule_;
  std::set<std::string> connecting_;
  std::set<EndKey> listed_;
  std::vector<std::string> unread_;
  int32_t jobs_ = 0;
};

// Guards against calls that were meant for a worker's former incarnation and changed the next one.
TEST_P(RestartedWorker, NoCallToAFormerIncarnationChangesTheNextOne) {
  world_.Run(kStartTime);
  for (int32_t episode = 0; episode < kEpisodes; ++episode) RunEpisode();

  EXPECT_EQ(unread_, std::vector<std::string>());
  EXPECT_EQ(world_.violations, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestartedWorker, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler

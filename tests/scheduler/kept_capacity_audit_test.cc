#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "hand_over_scenario.h"
#include "random_source.h"
#include "world.h"

/// Random scenarios in which workers leave a fleet that is full of long-running tasks, with short
/// tasks in what is left. They check how long workers that are kept for interrupted tasks stand
/// unused, and how many short tasks are done meanwhile.
///
/// CURRANTPOST_AUDIT_SEEDS and CURRANTPOST_AUDIT_LOG work as in answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

/// How long a kept worker stands unused: 95 of 100, and the longest. Both are bounds of
/// `kTimeBounds`.
constexpr Millis kUsualKept = Millis(500);
constexpr Millis kMaxKept = Millis(1'000);
constexpr uint64_t kUsualPercent = 95;
/// Fewer would check next to nothing.
constexpr uint64_t kMinUsed = 10;

constexpr int32_t kEntries = 4;
constexpr int32_t kDataCentres = 3;
constexpr int32_t kRacks = 3;
constexpr int32_t kWorkersPerCell = 9;
constexpr int32_t kCells = kDataCentres * kRacks;
/// Long-running tasks of a cell take 66 of 72 cores.
constexpr int64_t kLongNeed = 66'000;
constexpr int32_t kMaxLeavingAtOnce = 6;
constexpr Millis kShortInterval = Millis(150);

class KeptCapacityAudit : public testing::TestWithParam<uint64_t> {
 protected:
  KeptCapacityAudit() {
    world_.planner = [this](const TaskName& name) {
      const StepSpec& step = steps_.at(name.job);
      // Estimates are off by up to a fifth.
      return RunPlan{.duration = step.estimate * random_.Between(80, 120) / 100,
                     .never_ends = step.is_long_running,
                     .need = step.need};
    };
    world_.DropUnresponsiveWorkers();
  }

  void TearDown() override {
    EXPECT_EQ(world_.violations, std::vector<std::string>());
    const char* path = std::getenv("CURRANTPOST_AUDIT_LOG");
    if (path == nullptr) return;

    std::ofstream file(path);
    for (const std::string& line : world_.log) file << line << '\n';
  }

  void Record(const std::string& cell, StepSpec step, int32_t priority) {
    const std::string id = (step.is_long_running ? "long" : "short") + std::to_string(++jobs_);
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.priority = priority;
    record.spec = MakeJob(id, step.task_count, step.need.millicores);
    step.need = record.spec.steps[0].need;
    record.spec.steps[0] = step;
    steps_[record.spec.job] = step;
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  std::string CellName(int32_t cell) const {
    return "dc" + std::to_string(cell / kRacks) + "/" + std::to_string(cell % kRacks);
  }

  void Fill() {
    world_.Run(Millis(6'000));
    std::vector<int64_t> left(kCells, kLongNeed);
    for (const int64_t size : {5'000, 3'500, 2'000}) {
      for (int32_t cell = 0; cell < kCells; ++cell) {
        int64_t& need = left[static_cast<size_t>(cell)];
        int64_t tasks = size == 2'000 ? need / size : random_.Between(3, 5);
        for (need -= tasks * size; tasks > 0; --tasks) {
          Record(CellName(cell),
                 StepSpec{.task_count = 1, .need = {.millicores = size}, .is_long_running = true},
                 0);
        }
      }
      world_.Run(Millis(1'500));
    }
  }

  /// Records a short job in a cell: urgent ones, and less urgent ones that save their work.
  void AddShort() {
    const bool is_urgent = random_.Chance(50);
    Record(CellName(static_cast<int32_t>(random_.Between(0, kCells - 1))),
           StepSpec{.task_count = static_cast<int32_t>(random_.Between(2, 6)),
                    .need = {.millicores = random_.Between(500, 1'500)},
                    .estimate = is_urgent ? random_.RandomDuration(400, 2'000)
                                          : random_.RandomDuration(1'000, 4'000),
                    .checkpointing = !is_urgent},
           is_urgent ? 0 : 2);
  }

  void LeaveSome(int64_t count) {
    std::vector<std::string> up;
    for (const std::string& worker : world_.Workers()) {
      if (world_.worker(worker).up) up.push_back(worker);
    }
    for (const std::string& worker : random_.Sample(up, count)) world_.LeaveWorker(worker);
  }

  void CancelOne() {
    std::vector<std::string> running;
    for (const auto& [job, step] : steps_) {
      const bool is_cancelled = world_.cancel_sent_at.contains(job);
      if (step.is_long_running && !is_cancelled && !world_.WorkersOf(job.Text()).empty()) {
        running.push_back(job.Text());
      }
    }
    world_.Cancel(random_.PickOne(world_.Entries()), random_.PickOne(running));
  }

  /// Returns how many workers were kept until they were used, and how many of these for at most a
  /// time.
  std::pair<uint64_t, uint64_t> CountUsed(Millis up_to) {
    uint64_t used = 0;
    uint64_t within = 0;
    for (const std::string& entry : world_.Entries()) {
      const Times& times =
          world_.state(entry).counts.hold_times[static_cast<size_t>(HoldEvent::kUsed)];
      used += times.Number();
      for (size_t bucket = 0; bucket < kTimeBounds.size(); ++bucket) {
        if (kTimeBounds[bucket] <= up_to.Count()) within += times.Buckets()[bucket];
      }
    }
    return {used, within};
  }

  RandomSource random_{GetParam()};
  World world_{WorldShape{.entries = kEntries,
                          .data_centres = kDataCentres,
                          .racks = kRacks,
                          .workers_per_rack = kWorkersPerCell,
                          .seed = GetParam()}};
  std::map<JobId, StepSpec> steps_;
  int32_t jobs_ = 0;
};

TEST_P(KeptCapacityAudit, KeptWorkersAreUsedSoon) {
  Fill();
  const Millis began = world_.now();
  Millis next_leave = began;
  Millis next_cancel = began + Millis(5'000);
  Millis next_short = began;
  int32_t leaving = 0;

  while (world_.now() < began + Millis(25'000)) {
    if (world_.now() >= next_leave && leaving < kMaxLeavingAtOnce) {
      LeaveSome(++leaving);
      next_leave = world_.now() + random_.RandomDuration(1'500, 3'000);
    }
    if (world_.now() >= next_cancel) {
      CancelOne();
      next_cancel = world_.now() + random_.RandomDuration(300, 900);
    }
    if (world_.now() >= next_short) {
      AddShort();
      next_short = world_.now() + kShortInterval;
    }
    world_.Run(Millis(20));
  }

  const auto [used, usual] = CountUsed(kUsualKept);
  EXPECT_GE(used, kMinUsed);
  EXPECT_GE(usual * 100, used * kUsualPercent) << usual << " of " << used;
  EXPECT_EQ(CountUsed(kMaxKept).second, used);
  const auto short_done = std::ranges::count_if(
      world_.done, [](const TaskName& name) { return name.job.Text().starts_with("short"); });
  RecordProperty("short_done", static_cast<int>(short_done));
}

INSTANTIATE_TEST_SUITE_P(Seeds, KeptCapacityAudit, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler

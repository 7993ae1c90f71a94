#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hand_over_scenario.h"
#include "random_source.h"
#include "room_monitor.h"
#include "world.h"

/// Random scenarios in which more and more workers leave a fleet that is full of long-running
/// tasks, while others are cancelled one by one. They check in which order the interrupted tasks
/// get the capacity that becomes free.
///
/// CURRANTPOST_AUDIT_SEEDS and CURRANTPOST_AUDIT_LOG work as in answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

/// A task is overtaken by one that has been without a run for shorter by more than this.
constexpr Millis kMaxOvertaking = Millis(2'000);
/// Time until other entries know of a waiting task, as in search_audit_test.cc, and time from the
/// choice of a worker for a task until it runs there.
constexpr Millis kReportDelay = Millis(1'000);
constexpr Millis kStartDelay = Millis(1'000);
/// Longest time for which capacity stays free that an interrupted task fits into.
constexpr Millis kMaxFree = Millis(1'000);
constexpr Millis kRound = Millis(20);

/// Two entries share the first data centre. Each rack is a cell of its own.
constexpr int32_t kEntries = 4;
constexpr int32_t kDataCentres = 3;
constexpr int32_t kRacks = 3;
constexpr int32_t kWorkersPerCell = 9;
constexpr int32_t kMaxLeavingAtOnce = 6;
constexpr int64_t kCellNeed = 70'000;
/// Fewer restarts would check next to nothing.
constexpr int32_t kMinRestarts = 10;
constexpr const char* kLabel = "kind";

/// Compares the runs that start with the interrupted tasks that wait.
class OrderMonitor {
 public:
  explicit OrderMonitor(World& world) : world_(world) {
    world_.on_start = [this](const ObservedStart& start) { RecordStart(start); };
  }

  void Add(const JobId& job, const StepSpec& step) { steps_[job] = step; }

  /// To be called after each round.
  void Check() {
    for (const std::string& worker : world_.Workers()) {
      if (!world_.worker(worker).up) continue;
      for (const TaskName& name : world_.worker(worker).Running()) {
        if (steps_.contains(name.job)) absences_[name] = Absence{.since = world_.now()};
      }
    }
    std::erase_if(absences_,
                  [&](const auto& row) { return world_.cancel_sent_at.contains(row.first.job); });
    for (const std::string& entry : world_.Entries()) {
      for (const auto& [id, cell] : world_.state(entry).cells) NoteWaiting(cell);
    }

    while (!starts_.empty() && world_.now() >= starts_.front().at + kStartDelay) {
      CheckStart(starts_.front());
      starts_.erase(starts_.begin());
    }
  }

  int32_t restarts = 0;
  std::vector<std::string> findings;

 private:
  struct Absence {
    Millis since;
    /// Since when an owner treats the run as lost.
    std::optional<Millis> known_at;
  };
  struct OvertakenTask {
    TaskName name;
    Absence absence;
  };
  struct Start {
    TaskName name;
    std::string worker;
    Millis at;
    Millis absent_since;
    /// Tasks that should have got the capacity, unless they start at the same time.
    std::vector<OvertakenTask> older;
  };

  void NoteWaiting(const OwnedCell& cell) {
    for (const auto& [id, worker] : cell.workers) {
      if (world_.worker(id.Text()).up) continue;
      for (const TaskRef& ref : worker.tasks) NoteStarting(cell.jobs.at(ref.job), ref);
    }

    for (const WaitingKey& key : cell.waiting) {
      const TaskRef& ref = std::get<TaskRef>(key);
      const JobState& job = cell.jobs.at(ref.job);
      const auto found = absences_.find(NameAtWorkers(job, ref));
      if (found == absences_.end() || found->second.known_at) continue;
      if (found->second.since < world_.now()) found->second.known_at = world_.now();
    }
  }

  /// A start that a lost worker does not answer may have been carried out, so the task does not
  /// wait until its lease has expired.
  void NoteStarting(const JobState& job, const TaskRef& ref) {
    const TaskState& task = job.occurrences[static_cast<size_t>(ref.occurrence)]
                                .steps[static_cast<size_t>(ref.step)]
                                .tasks[static_cast<size_t>(ref.index)];
    if (task.phase != TaskPhase::kStarting || !task.start_sent) return;

    const auto found = absences_.find(NameAtWorkers(job, ref));
    if (found != absences_.end()) found->second.known_at.reset();
  }

  static TaskName NameAtWorkers(const JobState& job, const TaskRef& ref) {
    const JobId& root = job.record.parent.Empty() ? ref.job : job.record.parent;
    return TaskName{root, ref.occurrence, ref.step, ref.index};
  }

  void RecordStart(const ObservedStart& start) {
    const TaskName& name = start.order.task;
    const auto own = absences_.find(name);
    if (own == absences_.end()) return;

    ++restarts;
    const StepSpec& step = steps_.at(name.job);
    Start row{name, start.worker, world_.now(), own->second.since, {}};
    for (const auto& [other, absence] : absences_) {
      const StepSpec& spec = steps_.at(other.job);
      const bool needs_as_much =
          FitsWithin(spec.need, step.need) && spec.worker_label == step.worker_label;
      const bool is_known =
          absence.known_at && *absence.known_at + kReportDelay + kStartDelay < row.at;
      if (!needs_as_much || !is_known || absence.since + kMaxOvertaking >= row.absent_since) {
        continue;
      }
      row.older.push_back(OvertakenTask{other, absence});
    }
    absences_.erase(own);
    if (!row.older.empty()) starts_.push_back(std::move(row));
  }

  void CheckStart(const Start& start) {
    for (const OvertakenTask& older : start.older) {
      const auto still = absences_.find(older.name);
      if (still == absences_.end() || still->second.since != older.absence.since) continue;

      findings.push_back(Describe(start.name) + " without a run since " +
                         std::to_string(start.absent_since.Count()) + " ms starts on " +
                         start.worker + " at " + std::to_string(start.at.Count()) + " ms before " +
                         Describe(older.name) + " without a run since " +
                         std::to_string(older.absence.since.Count()) + " ms, known to wait since " +
                         std::to_string(older.absence.known_at->Count()) + " ms");
      return;
    }
  }

  [[nodiscard]] std::string Describe(const TaskName& name) const {
    return name.job.Text() + "/" + std::to_string(name.index) + " of " +
           std::to_string(steps_.at(name.job).need.millicores) + " millicores";
  }

  World& world_;
  std::map<JobId, StepSpec> steps_;
  /// When each task that does not run last ran.
  std::map<TaskName, Absence> absences_;
  std::vector<Start> starts_;
};

class OvertakingAudit : public testing::TestWithParam<uint64_t> {
 protected:
  OvertakingAudit() {
    world_.planner = [this](const TaskName& name) {
      RunPlan plan{.duration = random_.RandomDuration(200, 500), .need = Need(kShortNeed)};
      const auto job = needs_.find(name.job);
      if (job == needs_.end()) return plan;
      plan.never_ends = true;
      plan.need = job->second;
      return plan;
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

  static constexpr int64_t kShortNeed = 1'000;

  static Resources Need(int64_t millicores) {
    return Resources{.millicores = millicores, .memory_mib = 100};
  }

  void Record(const std::string& kind, const std::string& cell, int32_t tasks, int64_t millicores) {
    JobRecord record{
        .queue = "queue", .service = "service", .max_attempts = 50, .cell = CellId(cell)};
    record.spec = MakeJob(kind + std::to_string(++jobs_), tasks, millicores);
    StepSpec& step = record.spec.steps[0];
    step.is_long_running = kind == "long";
    if (step.is_long_running) {
      if (random_.Chance(20)) step.worker_label = kLabel;
      needs_[record.spec.job] = step.need;
      monitor_.Add(record.spec.job, step);
      long_running_tasks_ += static_cast<size_t>(tasks);
    }
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + record.spec.job.Text(),
                                        Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  /// Records long-running jobs of one size in each cell, large sizes first, so that all fit.
  void Fill() {
    world_.Run(Millis(6'000));
    std::map<std::string, int64_t> left;
    for (const int64_t size : {6'000, 4'000, 2'000}) {
      for (int32_t cell = 0; cell < kDataCentres * kRacks; ++cell) {
        const std::string name =
            "dc" + std::to_string(cell / kRacks) + "/" + std::to_string(cell % kRacks);
        int64_t& need = left.try_emplace(name, kCellNeed).first->second;
        int64_t tasks = size == 2'000 ? need / size : random_.Between(3, 5);
        for (need -= tasks * size; tasks > 0;) {
          const int64_t of_job = std::min(tasks, random_.Between(1, 3));
          Record("long", name, static_cast<int32_t>(of_job), size);
          tasks -= of_job;
        }
        if (size == 2'000 && has_short_) Record("short", name, kShortTasks, kShortNeed);
      }
      world_.Run(Millis(1'500));
    }
  }

  /// Makes workers leave at once, by a crash or removed from the registry.
  void LeaveSome(int64_t count) {
    std::vector<std::string> up;
    for (const std::string& worker : world_.Workers()) {
      if (world_.worker(worker).up) up.push_back(worker);
    }
    for (const std::string& worker : random_.Sample(up, count)) {
      random_.Chance(50) ? world_.LoseWorker(worker) : world_.LeaveWorker(worker);
    }
  }

  /// Cancels a job whose tasks run.
  void CancelOne() {
    std::vector<std::string> running;
    for (const auto& [job, need] : needs_) {
      const bool is_cancelled = world_.cancel_sent_at.contains(job);
      if (!is_cancelled && !world_.WorkersOf(job.Text()).empty()) running.push_back(job.Text());
    }
    world_.Cancel(random_.PickOne(world_.Entries()), random_.PickOne(running));
  }

  /// More short tasks than end in a cell during a test.
  static constexpr int32_t kShortTasks = 400;

  RandomSource random_{GetParam()};
  bool has_short_ = GetParam() % 3 == 0;
  World world_{WorldShape{.entries = kEntries,
                          .data_centres = kDataCentres,
                          .racks = kRacks,
                          .workers_per_rack = kWorkersPerCell,
                          .seed = GetParam()}};
  OrderMonitor monitor_{world_};
  std::map<JobId, Resources> needs_;
  int32_t jobs_ = 0;
  size_t long_running_tasks_ = 0;
};

TEST_P(OvertakingAudit, InterruptedTasksGetWorkersInTheOrderOfTheirAbsence) {
  Fill();
  size_t running = 0;
  for (const auto& [job, need] : needs_) running += world_.WorkersOf(job.Text()).size();
  ASSERT_EQ(running, long_running_tasks_);
  RoomMonitor room(world_);
  const Millis began = world_.now();
  Millis next_leave = began;
  Millis next_cancel = began + Millis(7'000);
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
    room.Run(kRound);
    monitor_.Check();
  }

  std::string text;
  for (size_t line = 0; line < std::min<size_t>(monitor_.findings.size(), 5); ++line) {
    text += monitor_.findings[line] + "\n";
  }
  EXPECT_TRUE(monitor_.findings.empty())
      << monitor_.findings.size() << " of " << monitor_.restarts << " restarts overtake\n"
      << text;
  EXPECT_LE(room.longest_long_running.Count(), kMaxFree.Count()) << room.text;
  EXPECT_GE(monitor_.restarts, kMinRestarts);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OvertakingAudit, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler

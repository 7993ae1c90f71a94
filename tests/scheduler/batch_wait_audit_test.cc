#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "hand_over_scenario.h"
#include "random_source.h"
#include "world.h"

/// Random scenarios in which short tasks of very different sizes need what long-running tasks leave
/// of a fleet, and more than that for some seconds, while workers and entries fail. They check that
/// no short task waits on beside workers that have room for it, and that all short jobs complete.
///
/// CURRANTPOST_AUDIT_SEEDS and CURRANTPOST_AUDIT_LOG work as in answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

/// Deadline of the urgent queue: longest time that a short task waits while, all that time, so many
/// workers have room for it.
constexpr Millis kMaxWait = Millis(3'000);
constexpr size_t kWorkersWithRoom = 2;
constexpr Millis kSampleInterval = Millis(50);
/// Time until the owner of a worker and the worker agree on what runs there: an end is listed, or a
/// binding recorded and the start sent. Room that a task leaves or takes meanwhile is not free.
constexpr Millis kOrderTime = Millis(500);
/// A task that is passed on to another cell is in none for up to this time.
constexpr Millis kMaxPassingTime = Millis(500);
/// Fewer would check next to nothing.
constexpr int64_t kMinWaits = 100;
constexpr int64_t kMinChecks = 1'000;

constexpr int32_t kDataCentres = 3;
/// So many that each rack is a cell of its own.
constexpr int32_t kWorkersPerCell = 9;
constexpr int64_t kWorkerNeed = 64'000;
constexpr int64_t kLargeNeed = 10'000;
constexpr Millis kLoadStep = Millis(100);
constexpr Millis kRiseTime = Millis(5'000);
constexpr Millis kPeakTime = Millis(4'000);
constexpr Millis kFallTime = Millis(3'000);
constexpr Millis kTimeAfterLoad = Millis(15'000);

std::string Text(const TaskName& name) {
  return name.job.Text() + "." + std::to_string(name.step) + "." + std::to_string(name.index);
}

StepName StepOf(const TaskName& name) { return {name.job, name.occurrence, name.step}; }

/// Finds tasks and jobs that wait on although workers have room for them, at the workers.
class WaitMonitor {
 public:
  explicit WaitMonitor(World& world) : world_(world) {
    world_.on_run_end = [this](const std::string&, const TaskName& name, RunEnd) {
      active_at_[name.job] = world_.now();
    };
  }

  /// Adds a job to those that have to make progress.
  void AddJob(const JobId& job) { active_at_[job] = world_.now(); }

  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + kSampleInterval) {
      world_.Run(kSampleInterval);
      FindWaitingTasks();
      MeasureRooms();
      ObserveLeastRoom();
      CheckInTurn();
      ObserveJobs();
    }
  }

  /// Number of waits seen, and of samples at which a wait was checked.
  [[nodiscard]] int64_t waits() const { return waits_; }
  [[nodiscard]] int64_t checks() const { return checks_; }
  /// The longest wait beside room.
  [[nodiscard]] Millis longest() const { return longest_; }
  /// The longest waits of tasks of the most urgent queue, with and without room.
  /// @{
  [[nodiscard]] Millis longest_urgent_large() const { return longest_urgent_large_; }
  [[nodiscard]] Millis longest_urgent_small() const { return longest_urgent_small_; }
  /// @}
  [[nodiscard]] std::string Findings() const {
    std::string text = std::to_string(findings_.size()) + " tasks waited on beside room, " +
                       std::to_string(waits_) + " waits\n";
    for (size_t line = 0; line < std::min<size_t>(findings_.size(), 5); ++line) {
      text += findings_[line] + "\n";
    }
    return text;
  }
  [[nodiscard]] size_t CountFindings() const { return findings_.size(); }
  /// Returns when a job last had something running, started or ended.
  [[nodiscard]] Millis ActiveAt(const JobId& job) const { return active_at_.at(job); }
  /// Returns the largest need for which enough workers have had room for the longest wait.
  [[nodiscard]] int64_t LastingRoom() const { return *std::ranges::min_element(last_rooms_); }

 private:
  struct Wait {
    std::string entry;
    CellId cell;
    Millis since;
    Millis seen_at;
    int32_t starts = 0;
    int64_t need = 0;
    int32_t priority = 0;
    /// Since when enough workers have had room for it.
    std::optional<Millis> room_since;
    bool is_reported = false;
  };

  /// Tasks of a worker by its owner that don't run there, and since when.
  using Differences = std::map<std::pair<std::string, TaskName>, Millis>;

  /// Room on a worker, and what of it is kept for tasks that wait.
  struct Room {
    std::string owner;
    int64_t free = 0;
    std::vector<WorkerHold> holds;
  };

  [[nodiscard]] bool Reaches(const std::string& entry, const std::string& other) const {
    return entry == other || !world_.IsCut(entry, other);
  }

  [[nodiscard]] bool IsConnected(const std::string& entry) const {
    return world_.IsUp(entry) && !world_.IsCut(entry, "store");
  }

  void FindWaitingTasks() {
    for (const std::string& entry : world_.Entries()) {
      if (!IsConnected(entry)) continue;
      for (const auto& [id, cell] : world_.state(entry).cells) FindWaitingTasksOf(entry, cell);
    }

    std::erase_if(waiting_, [&](const auto& row) {
      const bool started = world_.starts[row.first] > row.second.starts;
      if (started) {
        active_at_[row.first.job] = world_.now();
        const Wait& wait = row.second;
        const bool is_urgent = wait.priority == 0 && !long_running_.contains(row.first);
        Millis& longest = wait.need >= kLargeNeed ? longest_urgent_large_ : longest_urgent_small_;
        if (is_urgent) longest = std::max(longest, world_.now() - wait.since);
      }
      // A task that is passed on is in no cell meanwhile.
      return started || world_.now() - row.second.seen_at > kMaxPassingTime;
    });
  }

  void FindWaitingTasksOf(const std::string& entry, const OwnedCell& cell) {
    for (const WaitingKey& key : cell.waiting) {
      const TaskRef& ref = std::get<TaskRef>(key);
      const JobState& job = cell.jobs.at(ref.job);
      const StepSpec& spec = job.record.spec.steps[static_cast<size_t>(ref.step)];
      const TaskState& task = job.occurrences[static_cast<size_t>(ref.occurrence)]
                                  .steps[static_cast<size_t>(ref.step)]
                                  .tasks[static_cast<size_t>(ref.index)];
      const bool counts = !spec.best_effort && task.not_before <= world_.now();
      if (!counts) continue;

      const JobId& root = job.record.parent.Empty() ? ref.job : job.record.parent;
      const TaskName name{root, ref.occurrence, ref.step, ref.index};
      const auto [wait, is_new] = waiting_.try_emplace(name, Wait{.since = world_.now()});
      if (is_new) {
        wait->second.starts = world_.starts[name];
        if (!spec.is_long_running) ++waits_;
      }
      wait->second.entry = entry;
      wait->second.cell = cell.cell;
      wait->second.seen_at = world_.now();
      wait->second.need = spec.need.millicores;
      wait->second.priority = job.record.priority;
      if (spec.is_long_running) long_running_.insert(name);
    }
  }

  void MeasureRooms() {
    rooms_.clear();
    waiting_steps_.clear();
    for (const auto& [name, task] : waiting_) waiting_steps_.insert(StepOf(name));

    Differences differs;
    for (const std::string& entry : world_.Entries()) {
      if (!IsConnected(entry)) continue;

      for (const auto& [id, cell] : world_.state(entry).cells) {
        if (!cell.open) continue;
        for (const auto& [vm, known] : cell.workers) MeasureRoom(entry, cell, known, differs);
      }
    }
    differs_since_ = std::move(differs);
  }

  void MeasureRoom(const std::string& entry, const OwnedCell& cell, const WorkerState& known,
                   Differences& differs) {
    const std::string id = known.info.id.Text();
    const SimWorker& worker = world_.worker(id);
    if (!worker.up || worker.info().draining) return;

    Room room{.owner = entry, .free = worker.info().capacity.millicores - worker.Held().millicores};
    const std::vector<TaskName> running = worker.Running();

    for (const TaskRef& ref : known.tasks) {
      const JobState& job = cell.jobs.at(ref.job);
      const StepSpec& spec = job.record.spec.steps[static_cast<size_t>(ref.step)];
      const JobId& root = job.record.parent.Empty() ? ref.job : job.record.parent;
      const TaskName name{root, ref.occurrence, ref.step, ref.index};
      const bool agrees = spec.best_effort || std::ranges::find(running, name) != running.end();
      if (agrees) continue;

      const auto before = differs_since_.find({id, name});
      const Millis since = before == differs_since_.end() ? world_.now() : before->second;
      differs[{id, name}] = since;
      if (world_.now() - since <= kOrderTime) room.free -= spec.need.millicores;
    }

    for (const WorkerHold& hold : cell.holds) {
      if (hold.worker == known.info.id && waiting_steps_.contains(hold.name)) {
        room.holds.push_back(hold);
      }
    }
    // It is reserved for a short time, for tasks that are on their way here.
    for (const auto& [step, reservation] : cell.reservations) {
      const auto tasks = std::ranges::count(reservation.workers, known.info.id);
      if (waiting_steps_.contains(step.first)) {
        room.free -= tasks * reservation.step.need.millicores;
      }
    }
    rooms_[id] = std::move(room);
  }

  /// Workers that have room for a task.
  struct Fit {
    /// Number of them, and the first ones.
    size_t count = 0;
    std::array<const std::string*, kWorkersWithRoom> first = {};
    /// Room on the one that has least.
    Room* tightest = nullptr;
  };

  /// Returns the workers that have room for a task beside what is kept for tasks before it.
  Fit FindRoom(const TaskName& name, const Wait& task) {
    Fit fit;
    for (auto& [id, room] : rooms_) {
      if (room.free < task.need || !Reaches(task.entry, room.owner)) continue;

      int64_t free = room.free;
      for (const WorkerHold& hold : room.holds) {
        const bool is_before = hold.name != StepOf(name) && hold.priority <= task.priority;
        if (is_before) free -= hold.need.millicores;
      }
      if (free < task.need) continue;

      if (fit.count < fit.first.size()) fit.first[fit.count] = &id;
      ++fit.count;
      if (fit.tightest == nullptr || room.free < fit.tightest->free) fit.tightest = &room;
    }
    return fit;
  }

  /// Checks the waiting tasks in their order. Each leaves the next ones what it doesn't need.
  void CheckInTurn() {
    std::vector<std::tuple<int32_t, bool, Millis, TaskName>> order;
    for (const auto& [name, task] : waiting_) {
      order.emplace_back(task.priority, !long_running_.contains(name), task.since, name);
    }
    std::ranges::sort(order);

    for (const auto& row : order) {
      const TaskName& name = std::get<TaskName>(row);
      Wait& task = waiting_.at(name);
      const Fit fit = FindRoom(name, task);
      if (!long_running_.contains(name)) Check(name, task, fit);
      if (fit.tightest != nullptr) fit.tightest->free -= task.need;
    }
  }

  void Check(const TaskName& name, Wait& task, const Fit& fit) {
    ++checks_;
    if (fit.count < kWorkersWithRoom) {
      task.room_since.reset();
      return;
    }

    if (!task.room_since) task.room_since = world_.now();
    const Millis wait = world_.now() - *task.room_since;
    longest_ = std::max(longest_, wait);
    if (wait <= kMaxWait || std::exchange(task.is_reported, true)) return;

    findings_.push_back(
        std::to_string(world_.now().Count()) + " ms: " + Text(name) + ", in " + task.cell.Text() +
        " of " + task.entry + ", priority " + std::to_string(task.priority) + ", needs " +
        std::to_string(task.need) + ", waits since " + std::to_string(task.since.Count()) +
        " ms, with room since " + std::to_string(task.room_since->Count()) + " ms, now on " +
        *fit.first[0] + " of " + rooms_.at(*fit.first[0]).owner + ", " + *fit.first[1] + " of " +
        rooms_.at(*fit.first[1]).owner + " (" + std::to_string(fit.count) + " workers)");
  }

  /// Observes which jobs have something running.
  void ObserveJobs() {
    for (const std::string& id : world_.Workers()) {
      if (!world_.worker(id).up) continue;
      for (const TaskName& name : world_.worker(id).Running()) active_at_[name.job] = world_.now();
    }
  }

  /// Observes what is free on as many workers as have to have room.
  void ObserveLeastRoom() {
    std::vector<int64_t> free;
    for (const auto& [id, room] : rooms_) free.push_back(room.free);
    std::ranges::sort(free, std::greater<>());
    last_rooms_.push_back(free.size() < kWorkersWithRoom ? 0 : free[kWorkersWithRoom - 1]);
    if (last_rooms_.size() > static_cast<size_t>(kMaxWait.Count() / kSampleInterval.Count()))
      last_rooms_.pop_front();
  }

  World& world_;
  std::map<TaskName, Wait> waiting_;
  std::set<TaskName> long_running_;
  std::set<StepName> waiting_steps_;
  std::map<std::string, Room> rooms_;
  Differences differs_since_;
  std::map<JobId, Millis> active_at_;
  /// What was free on enough workers, at each sample of the longest wait.
  std::deque<int64_t> last_rooms_;
  int64_t waits_ = 0;
  int64_t checks_ = 0;
  Millis longest_;
  Millis longest_urgent_large_;
  Millis longest_urgent_small_;
  std::vector<std::string> findings_;
};

/// What fails in a scenario.
enum class EntryFault { kNone, kKilled, kRestarted, kSilent };

class BatchWaitAudit : public testing::TestWithParam<uint64_t> {
 protected:
  BatchWaitAudit() {
    world_.planner = [this](const TaskName& name) {
      const StepSpec& step = steps_.at(name.job)[static_cast<size_t>(name.step)];
      RunPlan plan{.duration = step.estimate * random_.Between(50, 200) / 100,
                   .never_ends = step.is_long_running,
                   .need = step.need};
      plan.duration = std::clamp(plan.duration, kShortest, kLongest);
      if (step.best_effort) plan.need.millicores = 0;
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

  void Record(const std::string& kind, int32_t cell, std::vector<StepSpec> steps,
              int32_t priority) {
    const std::string id = kind + std::to_string(++jobs_);
    JobRecord record{.queue = "queue",
                     .service = "service",
                     .max_attempts = 50,
                     .cell = CellId(CellName(cell)),
                     .accepted_unix_ms = world_.now().Count()};
    record.priority = priority;
    if (kind == "short") record.objective = Millis(priority == 0 ? 3'000 : 10'000);
    record.spec = MakeJob(id, 1);
    for (StepSpec& step : steps) step.need.memory_mib = 100;
    record.spec.steps = steps;
    steps_[record.spec.job] = std::move(steps);
    if (kind == "short") short_jobs_.insert(record.spec.job);
    monitor_.AddJob(record.spec.job);
    world_.store.Handle(
        WriteRecords{.puts = {RecordPut{std::string(kJobPrefix) + id, Encode(record), 0}}},
        world_.now(), [](const StoreReply&) {});
  }

  std::string CellName(int32_t cell) const {
    return "dc" + std::to_string(cell / racks_) + "/" + std::to_string(cell % racks_);
  }
  int32_t Cells() const { return kDataCentres * racks_; }
  int32_t RandomCell() { return static_cast<int32_t>(random_.Between(0, Cells() - 1)); }

  /// Fills a part of the fleet with long-running tasks, by cells unevenly.
  void Fill() {
    world_.Run(Millis(6'000));
    const int64_t percent = random_.Between(40, 85);
    constexpr int64_t kCellNeed = kWorkersPerCell * kWorkerNeed;

    for (int32_t cell = 0; cell < Cells(); ++cell) {
      const int64_t share = std::clamp<int64_t>(percent + random_.Between(-30, 30), 5, 97);
      for (int64_t left = kCellNeed * share / 100; left >= kSmallestLong;) {
        const int64_t need = std::min(left, random_.Between(kSmallestLong, kLargestLong));
        left -= need;
        long_running_need_ += need;
        Record("long", cell,
               {StepSpec{.task_count = 1, .need = {.millicores = need}, .is_long_running = true}},
               0);
      }
    }
    world_.Run(Millis(2'500));
  }

  int64_t RandomNeed() {
    if (random_.Chance(75)) return random_.Between(3'000, 10'000);
    return random_.Chance(60) ? random_.Between(1'000, 3'000) : random_.Between(10'000, 24'000);
  }

  StepSpec RandomStep(int32_t max_tasks) {
    return StepSpec{.task_count = static_cast<int32_t>(random_.Between(1, max_tasks)),
                    .need = {.millicores = RandomNeed()},
                    .estimate = random_.RandomDuration(600, 2'000)};
  }

  /// Records short jobs that need a share of what the long-running tasks leave for a time.
  void AddLoad(int64_t percent, Millis span) {
    const int64_t left = int64_t{Cells()} * kWorkersPerCell * kWorkerNeed - long_running_need_;
    load_due_ += left * percent / 100 * span.Count();

    while (load_due_ > 0) {
      std::vector<StepSpec> steps{RandomStep(random_.Chance(25) ? 16 : 5)};
      if (random_.Chance(25)) {
        steps.push_back(RandomStep(3));
        steps[1].after = {0};
      }
      for (const StepSpec& step : steps) {
        load_due_ -= step.task_count * step.need.millicores * step.estimate.Count();
      }
      const int32_t priority = static_cast<int32_t>(random_.Between(0, priorities_ - 1));
      Record("short", random_.Chance(30) ? 0 : RandomCell(), std::move(steps), priority);
    }
  }

  void AddBestEffort() {
    StepSpec step = RandomStep(8);
    step.best_effort = true;
    Record("fills", RandomCell(), {step}, 2);
  }

  /// Schedules a fault of a worker: it leaves, crashes for a time, or flaps.
  void FailWorker() {
    std::vector<std::string> up;
    for (const std::string& worker : world_.Workers()) {
      if (world_.worker(worker).up) up.push_back(worker);
    }
    const std::string worker = random_.PickOne(up);

    switch (random_.Between(0, 3)) {
      case 0:
        return world_.LeaveWorker(worker);
      case 1:
        return world_.LoseWorker(worker);
      case 2:
        return CrashFor(worker, random_.RandomDuration(1'000, 6'000));
      default:
        for (const int64_t at : {0, 1'500, 3'000}) {
          schedule_.After(Millis(at), [this, worker] { CrashFor(worker, Millis(700)); });
        }
    }
  }

  void CrashFor(const std::string& worker, Millis span) {
    if (!world_.worker(worker).up) return;

    world_.CrashWorker(worker);
    schedule_.After(span, [this, worker] {
      world_.worker(worker).up = true;
      world_.RestartWorker(worker);
    });
  }

  void FailEntry() {
    const std::string entry = random_.PickOne(world_.Entries());

    switch (fault_) {
      case EntryFault::kNone:
        return;
      case EntryFault::kKilled:
        return world_.KillForGood(entry);
      case EntryFault::kRestarted:
        world_.Kill(entry);
        return schedule_.After(random_.RandomDuration(500, 4'000),
                               [this, entry] { world_.Start(entry); });
      case EntryFault::kSilent:
        for (const std::string& other : world_.Entries()) {
          if (other != entry) world_.Cut(entry, other);
        }
        return schedule_.After(random_.RandomDuration(3'000, 7'000),
                               [this] { world_.Reconnect(); });
    }
  }

  void RunFor(Millis span) {
    for (Millis passed; passed < span; passed = passed + kSampleInterval) {
      schedule_.Advance();
      monitor_.Run(kSampleInterval);
    }
  }

  /// Lets time pass under a load that changes from one share to another.
  void RunUnderLoad(Millis span, int64_t from_percent, int64_t to_percent) {
    for (Millis passed; passed < span; passed = passed + kLoadStep) {
      const int64_t change = (to_percent - from_percent) * passed.Count() / span.Count();
      AddLoad(from_percent + change, kLoadStep);
      if (has_best_effort_ && random_.Chance(30)) AddBestEffort();
      if (random_.Chance(4)) FailWorker();
      RunFor(kLoadStep);
    }
  }

  /// Returns the jobs that have had nothing running for long although there is room, and short ones
  /// that have not completed.
  std::vector<std::string> FindStuckJobs() {
    std::vector<std::string> stuck;
    const int64_t room = monitor_.LastingRoom();

    for (const auto& [id, steps] : steps_) {
      const JobPhase phase = world_.Phase(id.Text());
      if (IsTerminal(phase)) continue;

      const bool fits = std::ranges::all_of(
          steps, [&](const StepSpec& step) { return step.need.millicores <= room; });
      const bool is_idle = world_.now() - monitor_.ActiveAt(id) > kMaxWait;
      if (!short_jobs_.contains(id) && !(fits && is_idle)) continue;

      stuck.push_back(id.Text() + " of " + world_.OwnerOf(id.Text()) + " is " +
                      std::string(kJobPhaseNames.Name(phase)) + ", last active at " +
                      std::to_string(monitor_.ActiveAt(id).Count()) + " ms");
    }
    return stuck;
  }

  static constexpr Millis kShortest = Millis(400);
  static constexpr Millis kLongest = Millis(3'000);
  static constexpr int64_t kSmallestLong = 2'000;
  static constexpr int64_t kLargestLong = 12'000;

  RandomSource random_{GetParam()};
  int32_t racks_ = static_cast<int32_t>(random_.Between(2, 3));
  int32_t entries_ = static_cast<int32_t>(random_.Between(4, 6));
  int32_t priorities_ = static_cast<int32_t>(random_.Between(2, 3));
  bool has_best_effort_ = random_.Chance(40);
  EntryFault fault_ = std::array{EntryFault::kNone, EntryFault::kKilled, EntryFault::kRestarted,
                                 EntryFault::kSilent}[GetParam() % 4];
  World world_{WorldShape{.entries = entries_,
                          .data_centres = kDataCentres,
                          .racks = racks_,
                          .workers_per_rack = kWorkersPerCell,
                          .capacity = Resources{.millicores = kWorkerNeed, .memory_mib = 512'000},
                          .seed = GetParam()}};
  WaitMonitor monitor_{world_};
  ActionSchedule schedule_{world_};
  std::map<JobId, std::vector<StepSpec>> steps_;
  std::set<JobId> short_jobs_;
  int64_t long_running_need_ = 0;
  /// Thousandths of core-milliseconds that jobs are still to be recorded for.
  int64_t load_due_ = 0;
  int32_t jobs_ = 0;
};

TEST_P(BatchWaitAudit, NoShortTaskWaitsOnBesideRoom) {
  Fill();
  const int64_t peak = random_.Between(100, 125);
  schedule_.After(random_.RandomDuration(1'000, 8'000), [this] { FailEntry(); });
  RunUnderLoad(kRiseTime, 50, peak);
  RunUnderLoad(kPeakTime, peak, peak);
  RunUnderLoad(kFallTime, peak, 40);
  RunFor(kTimeAfterLoad);

  EXPECT_GE(monitor_.waits(), kMinWaits);
  EXPECT_GE(monitor_.checks(), kMinChecks);
  EXPECT_EQ(monitor_.CountFindings(), 0U) << monitor_.Findings();
  EXPECT_EQ(FindStuckJobs(), std::vector<std::string>());
  RecordProperty("waits", static_cast<int>(monitor_.waits()));
  RecordProperty("checks", static_cast<int>(monitor_.checks()));
  RecordProperty("longest_ms", static_cast<int>(monitor_.longest().Count()));
  RecordProperty("urgent_large_ms", static_cast<int>(monitor_.longest_urgent_large().Count()));
  RecordProperty("urgent_small_ms", static_cast<int>(monitor_.longest_urgent_small().Count()));
  RecordProperty("findings", static_cast<int>(monitor_.CountFindings()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, BatchWaitAudit, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler

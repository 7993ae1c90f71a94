#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <sstream>

#include "world.h"

/// Tests that the completion of a task is not lost while cells change owner: a completed task does
/// not start again if an owner has acknowledged its completion or does so later.
///
/// CURRANTPOST_LOST_END_SEEDS selects the seeds of the scenarios, for example 100-199.
/// CURRANTPOST_LOST_END_LOG names a file for the entries' log of the last scenario.

namespace currantpost::scheduler {
namespace {

std::string Text(const TaskName& name) {
  return name.job.Text() + "." + std::to_string(name.step) + "." + std::to_string(name.index);
}

/// Finds runs that start after an earlier run of the same task completed, if an owner acknowledges
/// that completion at any time.
class DuplicateRunAudit {
 public:
  explicit DuplicateRunAudit(World& world) : world_(world) {
    for (const std::string& id : world.Workers()) ObserveWorker(id);
  }

  std::vector<std::string> findings;
  /// Ends of any kind that workers discarded, including those after their lease expired.
  int64_t discarded_ends = 0;

 private:
  struct ObservedRun {
    std::string worker;
    Run run = 0;
    Millis began;
    std::optional<Millis> done_at;
    bool acknowledged = false;
    bool reported = false;
  };

  void ObserveWorker(const std::string& id) {
    SimWorker& worker = world_.worker(id);
    worker.on_start = [this, id, next = worker.on_start](const TaskName& name, Run run) {
      next(name, run);
      runs_[name].push_back(ObservedRun{.worker = id, .run = run, .began = world_.now()});
      CheckTask(name);
    };
    worker.on_end = [this, id, next = worker.on_end](const TaskName& name, RunEnd end) {
      next(name, end);
      std::vector<ObservedRun>& runs = runs_[name];
      const auto run = std::ranges::find(runs.rbegin(), runs.rend(), id, &ObservedRun::worker);
      if (run != runs.rend() && end == RunEnd::kDone) run->done_at = world_.now();
    };
    worker.on_forget = [this, id, next = worker.on_forget](const EndedTask& end, bool expired) {
      next(end, expired);
      ++discarded_ends;
      if (end.end != RunEnd::kDone || expired) return;

      for (ObservedRun& run : runs_[end.task]) {
        if (run.worker == id && run.run == end.run && run.done_at) run.acknowledged = true;
      }
      CheckTask(end.task);
    };
  }

  void CheckTask(const TaskName& name) {
    std::vector<ObservedRun>& runs = runs_[name];

    for (ObservedRun& first : runs) {
      if (!first.done_at || !first.acknowledged || first.reported) continue;

      for (const ObservedRun& second : runs) {
        if (&second == &first || second.began < *first.done_at) continue;

        first.reported = true;
        findings.push_back(Text(name) + ": run " + std::to_string(first.run) + " on " +
                           first.worker + " done at " + std::to_string(first.done_at->Count()) +
                           ", run " + std::to_string(second.run) + " on " + second.worker +
                           " began at " + std::to_string(second.began.Count()));
        world_.Log("duplicate run:", findings.back());
        break;
      }
    }
  }

  World& world_;
  std::map<TaskName, std::vector<ObservedRun>> runs_;
};

/// Writes the entries' log to the file that CURRANTPOST_LOST_END_LOG names, if it is set.
void SaveLog(const World& world) {
  const char* path = std::getenv("CURRANTPOST_LOST_END_LOG");
  if (path == nullptr) return;

  std::ofstream file(path);
  for (const std::string& line : world.log) file << line << "\n";
}

/// Three data centres, each with one cell of sixteen cores and two entries.
class LostEnd : public testing::Test {
 protected:
  static constexpr const char* kHomeCell = "dc0/0";
  static constexpr const char* kOtherCell = "dc1/0";

  void SetUp() override {
    world_.planner = [this](const TaskName& name) {
      const auto planned = durations_.find(name.job.Text());
      const Millis first = planned == durations_.end() ? Millis(500) : planned->second;
      return RunPlan{.duration = name.index == 0 ? first : std::max(first, min_other_duration_),
                     .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(Millis(4'000));
  }
  void TearDown() override {
    SaveLog(world_);
    EXPECT_EQ(audit_.findings, std::vector<std::string>());
    EXPECT_EQ(world_.violations, std::vector<std::string>());
  }

  static std::string JobKeyOf(const std::string& job) { return std::string(kJobPrefix) + job; }
  static std::string ProgressKeyOf(const std::string& cell, const std::string& job) {
    return std::string(kProgressPrefix) + cell + "/" + job;
  }

  void Write(const WriteRecords& write) {
    world_.store.Handle(write, world_.now(), [](const StoreReply&) {});
  }

  void PutJob(const std::string& cell, const JobSpec& spec) {
    JobRecord record{.queue = "queue", .service = "service", .cell = CellId(cell), .spec = spec};
    record.max_attempts = 3;
    Write({.puts = {RecordPut{JobKeyOf(spec.job.Text()), Encode(record), 0}}});
  }

  /// Writes the same records as an owner that moves a job to another cell.
  void MoveJob(const std::string& job, const std::string& to) {
    JobRecord record = *DecodeJob(*world_.store.Value(JobKeyOf(job)));
    const std::string progress = ProgressKeyOf(record.cell.Text(), job);
    const auto value = world_.store.Value(progress);
    if (value) record.carried_progress = *DecodeProgress(*value);
    record.cell = CellId(to);
    ++record.moves;
    Write({.puts = {RecordPut{JobKeyOf(job), Encode(record), 0}}, .removals = {progress}});
  }

  std::string OwnerOfCell(const std::string& cell) {
    return DecodeCell(*world_.store.Value(std::string(kCellPrefix) + cell))->owner.Text();
  }

  /// Returns the other entry of the owner's data centre. Entries n and n + 3 share a data centre.
  std::string PeerInDataCentre(const std::string& owner) {
    return "e" + std::to_string((std::stoi(owner.substr(1)) + 3) % 6);
  }

  [[nodiscard]] int32_t StartCount(const std::string& job) const {
    const auto count = world_.starts.find(TaskName{JobId(job)});
    return count == world_.starts.end() ? 0 : count->second;
  }

  /// Run time of the first task of each job; 500 ms for a job that is not listed.
  std::map<std::string, Millis> durations_;
  /// Minimum run time of all other tasks.
  Millis min_other_duration_;
  World world_{WorldShape{.entries = 6, .data_centres = 3, .racks = 1}};
  DuplicateRunAudit audit_{world_};
};

// Guards against lost progress: watch events about earlier moves of the job, older than what the
// new owner had already read, made it discard the recorded progress.
TEST_F(LostEnd, OldWatchEventsOfAMoveDoNotOverrideRecordedProgress) {
  durations_["a"] = Millis(1'200);
  const std::string owner = OwnerOfCell(kHomeCell);
  const std::string successor = PeerInDataCentre(owner);
  world_.SlowWatches(successor, Millis(1'800));
  world_.Run(Millis(4'000));

  PutJob(kHomeCell, MakeJob("a", 1));
  MoveJob("a", kOtherCell);
  MoveJob("a", kHomeCell);
  for (int round = 0; round < 200 && StartCount("a") == 0; ++round) world_.Run(Millis(5));
  ASSERT_EQ(StartCount("a"), 1);

  world_.Stop(owner);
  world_.Run(Millis(300));
  world_.Kill(owner);
  ASSERT_EQ(OwnerOfCell(kHomeCell), successor);
  world_.Run(Millis(12'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against lost progress: the successor took over the job's cell and then a second one. Its
// copy of the records was old and still listed the job in the second cell, so it discarded the
// recorded progress.
TEST_F(LostEnd, TakingOverAnotherCellDiscardsNoRecordedProgress) {
  durations_["a"] = Millis(1'500);
  const std::string home_owner = OwnerOfCell(kHomeCell);
  const std::string other_owner = OwnerOfCell(kOtherCell);
  const std::string successor = PeerInDataCentre(home_owner);
  world_.Kill(PeerInDataCentre(other_owner));
  world_.Kill(PeerInDataCentre(OwnerOfCell("dc2/0")));
  world_.SlowWatches(successor, Millis(1'800));

  JobSpec spec = MakeJob("a", 1);
  spec.steps[0].need.millicores = 20'000;
  PutJob(kHomeCell, spec);
  world_.Run(Millis(6'000));
  ASSERT_TRUE(world_.state(successor).view.jobs.contains(JobId("a")));

  for (const char* id : {"wr1-0-0", "wr1-0-1"}) {
    world_.worker(id).info().capacity.millicores = 40'000;
  }
  for (int round = 0; round < 1'000 && StartCount("a") == 0; ++round) world_.Run(Millis(5));
  ASSERT_EQ(StartCount("a"), 1);
  world_.Stop(other_owner);
  world_.Run(Millis(100));
  // The successor accepts no second cell while it opens the first one, so it has to claim this one.
  world_.Cut(home_owner, OwnerOfCell("dc2/0"));
  world_.Stop(home_owner);
  world_.Run(Millis(600));
  ASSERT_EQ(OwnerOfCell(kOtherCell), successor);
  ASSERT_EQ(OwnerOfCell(kHomeCell), successor);
  world_.Reconnect();
  world_.Kill(home_owner);
  world_.Kill(other_owner);
  world_.Run(Millis(12'000));

  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against lost ends: a worker that the registry dropped and listed again reported its ended
// runs again. The owner treated them as recorded, because it had processed them before, and the
// worker discarded them.
TEST_F(LostEnd, AWorkerThatIsListedAgainKeepsItsEndedRunsUntilTheyAreRecorded) {
  const std::string owner = OwnerOfCell(kHomeCell);
  PutJob(kHomeCell, MakeJob("a", 1));
  for (int round = 0; round < 200 && StartCount("a") == 0; ++round) world_.Run(Millis(5));
  ASSERT_EQ(StartCount("a"), 1);
  const std::string worker = world_.WorkersOf("a").at(0);
  world_.Run(Millis(200));

  // The owner writes nothing while the registry drops the worker and lists it again.
  const auto run = [&](Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(5)) {
      world_.state(owner).cells.at(CellId(kHomeCell)).next_write = world_.now() + Millis(1'000);
      world_.Run(Millis(5));
    }
  };
  run(Millis(350));
  ASSERT_TRUE(world_.WorkersOf("a").empty());
  world_.WithdrawWorker(worker);
  run(Millis(4'000));
  ASSERT_FALSE(world_.store.Value(ProgressKeyOf(kHomeCell, "a")) &&
               world_.Phase("a") == JobPhase::kCompleted);
  world_.Kill(owner);
  world_.Run(Millis(25'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against lost ends: a poll acknowledged the last ended run of the former incarnation by its
// number, and the new incarnation discarded an ended run that the owner had not received.
TEST_F(LostEnd, AcknowledgingEndsOfAFormerIncarnationRemovesNoneOfTheNewOne) {
  const std::string owner = OwnerOfCell(kHomeCell);
  const std::vector<std::string> workers = {"wr0-0-0", "wr0-0-1"};
  PutJob(kHomeCell, MakeJob("b", 16));
  world_.Run(Millis(3'000));
  ASSERT_EQ(world_.Phase("b"), JobPhase::kCompleted);

  // The owner does not know the new incarnations yet.
  world_.SlowWatches(owner, Millis(3'000));
  world_.Run(Millis(4'000));
  for (const std::string& worker : workers) {
    world_.RestartWorker(worker);
    world_.LoseAnswers(worker, true);
  }
  PutJob(kHomeCell, MakeJob("a", 1));
  world_.Push(owner, StoreItem{.key = JobKeyOf("a"),
                               .revision = world_.store.revision(),
                               .value = *world_.store.Value(JobKeyOf("a"))});
  for (int round = 0; round < 200 && StartCount("a") == 0; ++round) world_.Run(Millis(5));
  ASSERT_LE(StartCount("a"), 1);
  world_.Run(Millis(600));
  ASSERT_TRUE(world_.WorkersOf("a").empty());
  for (const std::string& worker : workers) world_.LoseAnswers(worker, false);
  world_.Run(Millis(8'000));

  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
  EXPECT_EQ(StartCount("a"), 1);
}

// Guards against a mistaken loan: two owners' loans of one job had the same key. The first owner
// treated the next owner's record as its own, and assumed that the borrower was the cell that it
// had chosen itself.
TEST_F(LostEnd, ALoanOfTheNextOwnerIsNotMistakenForTheFormerOwnersLoan) {
  durations_ = {{"hog-0", Millis(30'000)}, {"hog-1", Millis(6'000)}, {"hog-2", Millis(1'000)}};
  durations_["a"] = Millis(2'000);
  PutJob("dc0/0", MakeJob("hog-0", 16));
  PutJob("dc2/0", MakeJob("hog-2", 8));
  world_.Run(Millis(1'500));
  const std::string owner = OwnerOfCell("dc0/0");
  world_.SlowWatches(owner, Millis(4'000));
  world_.Run(Millis(500));

  // The owner is cut off from the store, receives a job and chooses the emptier cell as borrower.
  PutJob("dc0/0", MakeJob("a", 2));
  world_.Push(owner, StoreItem{.key = JobKeyOf("a"),
                               .revision = world_.store.revision(),
                               .value = *world_.store.Value(JobKeyOf("a"))});
  world_.Cut(owner, "store");
  // The other entries cannot inform it about its successor either.
  for (int number = 0; number < 6; ++number) {
    const std::string other = "e" + std::to_string(number);
    if (other != owner) world_.Cut(owner, other);
  }
  const auto cell = [&]() -> const OwnedCell* {
    const auto found = world_.state(owner).cells.find(CellId("dc0/0"));
    return found == world_.state(owner).cells.end() ? nullptr : &found->second;
  };
  const auto loan = [&]() -> const JobState::PendingLoan* {
    if (cell() == nullptr || !cell()->jobs.contains(JobId("a"))) return nullptr;
    const JobState& job = cell()->jobs.at(JobId("a"));
    return job.loan ? &*job.loan : nullptr;
  };
  for (int round = 0; round < 200 && loan() == nullptr; ++round) world_.Run(Millis(5));
  ASSERT_NE(loan(), nullptr);
  ASSERT_EQ(loan()->to, CellId("dc1/0"));

  min_other_duration_ = Millis(20'000);

  // The chosen cell fills up, and the next owner lends the job to the third cell.
  PutJob("dc1/0", MakeJob("hog-1", 16));
  for (int round = 0; round < 800 && world_.WorkersOf("a").empty(); ++round) world_.Run(Millis(5));
  ASSERT_EQ(world_.WorkersOf("a").size(), 2U);

  // The store answers the first owner's next attempt to lend before that owner detects that it has
  // lost the cell.
  const auto next_loan_in_flight = [&] {
    return loan() != nullptr && loan()->request == 0 && cell()->write.request != 0 &&
           world_.state(owner).lease.request != 0;
  };
  for (int round = 0; round < 1'000 && !next_loan_in_flight(); ++round) world_.Run(Millis(5));
  ASSERT_TRUE(next_loan_in_flight());
  world_.Reconnect();
  while (!world_.done.contains(TaskName{JobId("a")})) world_.Run(Millis(100));
  world_.SlowWatches(owner, Millis(0));
  world_.Run(Millis(5'000));

  // The first owner has the lowest load, so it takes over the cell that it had chosen.
  const std::set<std::string> busy = {OwnerOfCell("dc0/0"), OwnerOfCell("dc2/0")};
  for (int number = 0; number < 6; ++number) {
    const std::string entry = "e" + std::to_string(number);
    if (entry != owner && !busy.contains(entry)) world_.Kill(entry);
  }
  world_.Run(Millis(12'000));

  EXPECT_EQ(StartCount("a"), 1);
}

class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : engine_(seed) {}

  int64_t Between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(engine_);
  }
  Millis Span(int64_t low, int64_t high) { return Millis(Between(low, high)); }
  bool Chance(int64_t percent) { return Between(1, 100) <= percent; }

  template <typename T>
  const T& Pick(const std::vector<T>& items) {
    return items[static_cast<size_t>(Between(0, static_cast<int64_t>(items.size()) - 1))];
  }

 private:
  std::mt19937_64 engine_;
};

WorldShape MakeShape(RandomSource& random) {
  WorldShape shape{.entries = static_cast<int32_t>(random.Between(3, 6)),
                   .data_centres = static_cast<int32_t>(random.Between(2, 3)),
                   .racks = 1,
                   .workers_per_rack = static_cast<int32_t>(random.Between(2, 3))};
  shape.capacity = Resources{.millicores = 4'000, .memory_mib = 64'000};
  shape.seed = static_cast<uint64_t>(random.Between(1, 1'000'000));

  // Two racks of nine workers do not fit into one cell.
  if (random.Chance(30)) {
    shape.racks = 2;
    shape.workers_per_rack = 9;
    shape.capacity.millicores = 1'000;
  }

  return shape;
}

/// A random scenario in which cells change owner while tasks are lent and jobs are moved.
class HandoverScenario {
 public:
  explicit HandoverScenario(uint64_t seed)
      : random_(seed),
        has_worker_faults_(seed > kLastSeedWithoutWorkerFaults),
        shape_(MakeShape(random_)),
        world_(shape_),
        audit_(world_) {
    for (int32_t number = 0; number < shape_.entries; ++number) {
      entries_.push_back("e" + std::to_string(number));
    }
    world_.planner = [this](const TaskName& name) { return PlanOf(name); };
    fault_interval_ms_ = random_.Between(300, 2'500);
  }

  void RunScenario() {
    world_.Run(Millis(4'000));
    const Millis end = world_.now() + Millis(25'000);

    while (world_.now() < end) {
      RunDueActions();
      if (world_.now() >= next_job_) SubmitJob();
      if (world_.now() >= next_fault_) InjectFault();
      world_.Run(Millis(20));
    }

    while (!scheduled_actions_.empty()) RunNextAction();
    world_.Run(Millis(20'000));
  }

  [[nodiscard]] std::string Report() const {
    std::ostringstream text;
    for (const std::string& finding : audit_.findings) text << "duplicate run: " << finding << "\n";
    for (const std::string& violation : world_.violations) text << violation << "\n";
    return text.str();
  }

  [[nodiscard]] const World& world() const { return world_; }
  [[nodiscard]] const DuplicateRunAudit& audit() const { return audit_; }

 private:
  using Action = std::function<void()>;

  RunPlan PlanOf(const TaskName& name) const {
    const auto spec = world_.submitted.find(name.job);
    if (spec == world_.submitted.end()) return {};
    return RunPlan{.duration = durations_.at(name.job),
                   .need = spec->second.steps[static_cast<size_t>(name.step)].need};
  }

  void SubmitJob() {
    next_job_ = world_.now() + random_.Span(20, 900);
    std::vector<std::string> up_entries;
    for (const std::string& entry : entries_) {
      if (world_.IsUp(entry)) up_entries.push_back(entry);
    }
    if (up_entries.empty()) return;

    const std::string id = "j" + std::to_string(++jobs_);
    JobSpec spec = MakeJob(id, static_cast<int32_t>(random_.Between(1, 14)));
    if (random_.Chance(10)) {
      spec.steps[0].need.millicores = shape_.capacity.millicores;
      spec.steps[0].task_count = static_cast<int32_t>(random_.Between(1, 4));
    }
    const int64_t steps = random_.Between(1, 3);
    for (int32_t step = 1; step < steps; ++step) {
      spec.steps.push_back(spec.steps.front());
      spec.steps.back().task_count = static_cast<int32_t>(random_.Between(1, 8));
      spec.steps.back().after = {step - 1};
    }
    durations_[spec.job] = random_.Span(80, 900);
    world_.Submit(random_.Pick(up_entries), spec);
  }

  void Schedule(Millis span, Action action) {
    scheduled_actions_.emplace(world_.now() + span, std::move(action));
  }

  void RunNextAction() {
    const Action action = scheduled_actions_.begin()->second;
    scheduled_actions_.erase(scheduled_actions_.begin());
    action();
  }

  void RunDueActions() {
    while (!scheduled_actions_.empty() && scheduled_actions_.begin()->first <= world_.now()) {
      RunNextAction();
    }
  }

  void Log(const std::string& what) { world_.Log("fault:", what); }

  void StartIfDown(const std::string& entry) {
    if (world_.IsUp(entry)) return;
    Log("start " + entry);
    world_.Start(entry);
  }

  void StopEntry(const std::string& entry) {
    if (!world_.IsUp(entry)) return;
    Log("stop " + entry);
    world_.Stop(entry);
    Schedule(random_.Span(200, 1'500), [this, entry] { world_.Kill(entry); });
    Schedule(random_.Span(1'500, 3'500), [this, entry] { StartIfDown(entry); });
  }

  void StopEntriesInTurn() {
    Millis at;
    for (const std::string& entry : entries_) {
      Schedule(at, [this, entry] { StopEntry(entry); });
      at = at + random_.Span(100, 2'000);
    }
  }

  void KillEntry() {
    const std::string entry = random_.Pick(entries_);
    Log("kill " + entry);
    world_.Kill(entry);
    Schedule(random_.Span(50, 5'000), [this, entry] { StartIfDown(entry); });
  }

  void Cut(const std::string& one, const std::string& other, Millis span) {
    Log("cut " + one + " " + other + " for " + std::to_string(span.Count()));
    world_.Cut(one, other);
    Schedule(span, [this, one, other] { world_.Reconnect(one, other); });
  }

  /// Cuts entries off from the store for at most 60 ms, which loses the replies to calls in flight.
  void CutStoreBriefly() {
    for (const std::string& entry : entries_) {
      if (random_.Chance(50)) Cut(entry, "store", random_.Span(5, 60));
    }
  }

  void CutStore() { Cut(random_.Pick(entries_), "store", random_.Span(100, 6'000)); }

  void CutDataCentre() {
    const int64_t centre = random_.Between(0, shape_.data_centres - 1);
    const Millis span = random_.Span(1'500, 7'000);
    const std::string prefix = "wr" + std::to_string(centre) + "-";

    for (size_t number = 0; number < entries_.size(); ++number) {
      const bool inside = static_cast<int64_t>(number) % shape_.data_centres == centre;
      if (inside) Cut(entries_[number], "store", span);

      for (const std::string& worker : world_.Workers()) {
        if (worker.starts_with(prefix) != inside) Cut(entries_[number], worker, span);
      }
      for (size_t other = 0; inside && other < entries_.size(); ++other) {
        const bool other_inside = static_cast<int64_t>(other) % shape_.data_centres == centre;
        if (!other_inside) Cut(entries_[number], entries_[other], span);
      }
    }
  }

  void PauseEntry() {
    const std::string entry = random_.Pick(entries_);
    if (!world_.IsUp(entry)) return;
    Log("pause " + entry);
    world_.Pause(entry);
    Schedule(random_.Span(50, 5'000), [this, entry] {
      if (world_.IsUp(entry)) world_.Resume(entry);
    });
  }

  void LoseReplies() {
    Log("lose replies");
    world_.loss = static_cast<double>(random_.Between(3, 25)) / 100.0;
    Schedule(random_.Span(200, 3'000), [this] {
      Log("lose no more replies");
      world_.loss = 0.0;
    });
  }

  void SlowWatches() {
    const std::string entry = random_.Pick(entries_);
    Log("slow watches of " + entry);
    world_.SlowWatches(entry, random_.Span(50, 4'000));
    Schedule(random_.Span(1'000, 6'000), [this, entry] { world_.SlowWatches(entry, Millis(0)); });
  }

  void SlowLists() {
    const std::string entry = random_.Pick(entries_);
    Log("slow lists of " + entry);
    world_.SlowLists(entry, random_.Span(20, 900));
    Schedule(random_.Span(1'000, 6'000), [this, entry] { world_.SlowLists(entry, Millis(0)); });
  }

  void CompactHistory() {
    Log("compact history");
    world_.store.CompactHistory();
  }

  void WithdrawWorker() {
    const std::string worker = random_.Pick(world_.Workers());
    Log("withdraw " + worker);
    world_.WithdrawWorker(worker);
  }

  void DrainWorker() {
    const std::string worker = random_.Pick(world_.Workers());
    Log("drain " + worker);
    world_.DrainWorker(worker);
    Schedule(random_.Span(1'000, 6'000),
             [this, worker] { world_.worker(worker).info().draining = false; });
  }

  void CrashWorker() {
    const std::string worker = random_.Pick(world_.Workers());
    Log("crash " + worker);
    world_.CrashWorker(worker);
    Schedule(random_.Span(20, 3'000), [this, worker] {
      if (!world_.worker(worker).up) world_.RestartWorker(worker);
    });
  }

  void RestartWorker() {
    const std::string worker = random_.Pick(world_.Workers());
    Log("restart " + worker);
    world_.RestartWorker(worker);
  }

  void LoseWorkerReplies() {
    const std::string worker = random_.Pick(world_.Workers());
    Log("lose replies of " + worker);
    world_.LoseAnswers(worker, true);
    Schedule(random_.Span(20, 3'000), [this, worker] { world_.LoseAnswers(worker, false); });
  }

  void InjectFault() {
    next_fault_ = world_.now() + random_.Span(50, 2 * fault_interval_ms_);
    using Fault = void (HandoverScenario::*)();
    std::vector<Fault> faults = {
        &HandoverScenario::StopEntriesInTurn, &HandoverScenario::StopEntriesInTurn,
        &HandoverScenario::KillEntry,         &HandoverScenario::KillEntry,
        &HandoverScenario::CutStoreBriefly,   &HandoverScenario::CutStoreBriefly,
        &HandoverScenario::CutStore,          &HandoverScenario::CutStore,
        &HandoverScenario::CutDataCentre,     &HandoverScenario::CutDataCentre,
        &HandoverScenario::PauseEntry,        &HandoverScenario::LoseReplies,
        &HandoverScenario::SlowWatches,       &HandoverScenario::SlowLists,
        &HandoverScenario::CompactHistory,    &HandoverScenario::WithdrawWorker,
        &HandoverScenario::DrainWorker};
    const std::vector<Fault> worker_faults = {&HandoverScenario::CrashWorker,
                                              &HandoverScenario::RestartWorker,
                                              &HandoverScenario::LoseWorkerReplies};
    for (int32_t round = 0; has_worker_faults_ && round < 3; ++round) {
      faults.insert(faults.end(), worker_faults.begin(), worker_faults.end());
    }

    (this->*random_.Pick(faults))();
  }

  /// With larger seeds, workers also crash, restart and lose replies.
  static constexpr uint64_t kLastSeedWithoutWorkerFaults = 100'000;

  RandomSource random_;
  bool has_worker_faults_;
  WorldShape shape_;
  World world_;
  DuplicateRunAudit audit_;
  std::vector<std::string> entries_;
  std::map<JobId, Millis> durations_;
  std::multimap<Millis, Action> scheduled_actions_;
  int64_t fault_interval_ms_ = 0;
  int64_t jobs_ = 0;
  Millis next_job_ = Millis(4'500);
  Millis next_fault_ = Millis(6'000);
};

/// Seeds that run by default: 1 to 3, and seeds that failed in the past.
///
/// 99, 197: old watch events of a job's moves overrode what its new owner had read.
/// 1036: taking over another cell did the same.
/// 178, 448, 5419: the registry dropped a worker for a moment.
/// 11408: an owner mistook a loan of the next owner for its own.
/// 100025, 100077: a worker's new incarnation forgot an ended run by a number of the former one.
const std::vector<uint64_t> kDefaultSeeds = {1,   2,    3,    99,    178,     197,
                                             448, 1036, 5419, 11408, 100'025, 100'077};

std::vector<uint64_t> SelectedSeeds() {
  const char* selected = std::getenv("CURRANTPOST_LOST_END_SEEDS");
  if (selected == nullptr) return kDefaultSeeds;

  std::istringstream range(selected);
  uint64_t first = 1;
  range >> first;
  uint64_t last = first;
  char dash = '-';
  range >> dash >> last;

  std::vector<uint64_t> seeds;
  for (uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  return seeds;
}

class LostEndScenarios : public testing::TestWithParam<uint64_t> {};

TEST_P(LostEndScenarios, CompletedTasksDoNotStartAgain) {
  HandoverScenario scenario(GetParam());
  scenario.RunScenario();

  SaveLog(scenario.world());

  EXPECT_EQ(scenario.Report(), "");
  EXPECT_GT(scenario.audit().discarded_ends, 20) << "too few discarded ends to check";
}

INSTANTIATE_TEST_SUITE_P(Seeds, LostEndScenarios, testing::ValuesIn(SelectedSeeds()));

}  // namespace
}  // namespace currantpost::scheduler

#include "hand_over_scenario.h"

#include <cstdlib>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>

namespace currantpost::scheduler {
namespace {

/// Maximum wait for a period without disruption at the end of an episode.
constexpr Millis kMaxCalmWait = Millis(45'000);
/// At the end of a scenario, a run must start or end within this time until all
/// jobs are settled.
constexpr Millis kStallTimeout = Millis(30'000);
/// Maximum share of all cores that long-running tasks request, in percent.
constexpr int64_t kLongRunningPercent = 40;

/// No worker is disrupted while a smaller share of them is up and not draining,
/// in percent.
constexpr int64_t kMinHealthyPercent = 70;

WorldShape MakeShape(RandomSource& random_source) {
  WorldShape shape{.data_centres = static_cast<int32_t>(random_source.Between(2, 3)), .racks = 1};
  shape.entries = shape.data_centres * static_cast<int32_t>(random_source.Between(2, 4));
  shape.workers_per_rack = static_cast<int32_t>(random_source.Between(4, 7));
  shape.capacity = Resources{.millicores = 4'000, .memory_mib = 64'000};
  shape.seed = static_cast<uint64_t>(random_source.Between(1, 1'000'000));

  // Three racks of workers do not fit into one cell.
  if (random_source.Chance(25)) {
    shape.data_centres = 2;
    shape.entries = 6;
    shape.racks = 3;
  }
  return shape;
}

}  // namespace

/// Planned departures, crashes and restarts of workers.
class HandOverScenario::WorkerFaults {
 public:
  WorkerFaults(World& world, RandomSource& random_source, ActionSchedule& schedule,
               const WorldShape& shape)
      : world_(world), random_source_(random_source), schedule_(schedule), shape_(shape) {
    next_number_ = shape.workers_per_rack;
  }

  /// Drains one to three workers, each at a random time within a span.
  void DrainSome(Millis span) {
    const int64_t count = random_source_.Between(1, 3);
    for (int64_t number = 0; number < count; ++number) {
      schedule_.After(random_source_.RandomDuration(0, span.Count()),
                      [this] { Drain(random_source_.RandomDuration(1'500, 8'000)); });
    }
  }

  /// Schedules the same kind of fault for one to three workers, each at a
  /// random time in a span.
  void ScheduleFaults(Millis span) {
    const int64_t kind = random_source_.Between(1, 100);
    const int64_t count = random_source_.Between(1, 3);

    for (int64_t number = 0; number < count; ++number) {
      const Millis wait = random_source_.RandomDuration(0, span.Count());
      if (kind <= 45) {
        schedule_.After(wait, [this] { Drain(random_source_.RandomDuration(1'500, 8'000)); });
      } else if (kind <= 60) {
        schedule_.After(wait, [this] { Drain(Millis(2'000)); });
      } else if (kind <= 75) {
        schedule_.After(wait, [this] { Crash(random_source_.RandomDuration(500, 9'000)); });
      } else if (kind <= 88) {
        schedule_.After(wait, [this] { CrashPermanently(); });
      } else {
        schedule_.After(wait, [this] { RestartAtOnce(); });
      }
    }
  }

 private:
  void Log(const std::string& what) { world_.Log("fault:", what); }

  /// Returns a worker that is up and not draining, or an empty text if there
  /// are too few of them.
  std::string PickHealthyWorker() {
    std::vector<std::string> healthy;
    for (const std::string& id : world_.Workers()) {
      if (world_.worker(id).up && !world_.worker(id).info().draining) healthy.push_back(id);
    }
    const int64_t all = int64_t{shape_.data_centres} * shape_.racks * shape_.workers_per_rack;
    const bool few = static_cast<int64_t>(healthy.size()) * 100 < all * kMinHealthyPercent;
    return few ? "" : random_source_.PickOne(healthy);
  }

  /// Adds a worker to the rack of one that leaves.
  void Replace(const std::string& id) {
    const auto centre =
        static_cast<int32_t>(std::stoi(world_.worker(id).info().data_centre.Text().substr(2)));
    const std::string rack = world_.worker(id).info().rack.Text();
    const auto number = static_cast<int32_t>(std::stoi(rack.substr(rack.find('-') + 1)));
    schedule_.After(random_source_.RandomDuration(500, 5'000), [this, centre, number] {
      Log("add a worker to rack " + std::to_string(centre) + "-" + std::to_string(number));
      world_.AddWorkerTo(centre, number, next_number_++);
    });
  }

  void Drain(Millis span) {
    const std::string id = PickHealthyWorker();
    if (id.empty()) return;

    Log("drain " + id + ", leaves after " + std::to_string(span.Count()));
    world_.DrainWorker(id);
    Replace(id);
    schedule_.After(span, [this, id] {
      Log("leave " + id);
      world_.LeaveWorker(id);
    });
  }

  void Crash(Millis span) {
    const std::string id = PickHealthyWorker();
    if (id.empty()) return;

    Log("crash " + id + " for " + std::to_string(span.Count()));
    world_.CrashWorker(id);
    schedule_.After(span, [this, id] { world_.RestartWorker(id); });
  }

  void CrashPermanently() {
    const std::string id = PickHealthyWorker();
    if (id.empty()) return;

    Log("crash " + id + " permanently");
    world_.CrashWorker(id);
    world_.MarkPermanentlyDown(id);
    Replace(id);
  }

  void RestartAtOnce() {
    const std::string id = PickHealthyWorker();
    if (id.empty()) return;

    Log("restart " + id);
    world_.RestartWorker(id);
  }

  World& world_;
  RandomSource& random_source_;
  ActionSchedule& schedule_;
  WorldShape shape_;
  int32_t next_number_ = 0;
};

/// Series of faults that make cells change owners.
class HandOverScenario::OwnerFaults {
 public:
  OwnerFaults(World& world, RandomSource& random_source, ActionSchedule& schedule)
      : world_(world), random_source_(random_source), schedule_(schedule) {}

  void ScheduleFaults() {
    using Series = void (OwnerFaults::*)();
    const std::vector<Series> series = {
        &OwnerFaults::StopSequentially,  &OwnerFaults::StopSequentially,
        &OwnerFaults::KillSome,          &OwnerFaults::KillSome,
        &OwnerFaults::KillPermanently,   &OwnerFaults::IsolateDataCentre,
        &OwnerFaults::IsolateDataCentre, &OwnerFaults::IsolateDataCentre,
        &OwnerFaults::PauseSome,         &OwnerFaults::LoseAnswers,
        &OwnerFaults::KillDataCentre};
    (this->*random_source_.PickOne(series))();
  }

  /// Restarts the entries that were killed permanently. A longer absence tests
  /// nothing more.
  void RestartAll() {
    for (const auto& [entry, data_centre] : world_.DataCentres()) StartIfDown(entry);
  }

 private:
  void Log(const std::string& what) { world_.Log("fault:", what); }

  [[nodiscard]] std::vector<std::string> Entries(const std::string& data_centre = "") const {
    std::vector<std::string> entries;
    for (const auto& [entry, entry_data_centre] : world_.DataCentres()) {
      if (data_centre.empty() || entry_data_centre == data_centre) entries.push_back(entry);
    }
    return entries;
  }

  std::string PickDataCentre() {
    return world_.DataCentres().at(random_source_.PickOne(Entries()));
  }

  void StartIfDown(const std::string& entry) {
    if (world_.IsUp(entry)) return;

    Log("start " + entry);
    world_.Start(entry);
  }

  void Kill(const std::string& entry, Millis span) {
    if (!world_.IsUp(entry)) return;

    Log("kill " + entry);
    world_.Kill(entry);
    world_.RecordDisruption();
    schedule_.After(span, [this, entry] { StartIfDown(entry); });
  }

  void StopSequentially() {
    const bool all = random_source_.Chance(50);
    const std::vector<std::string> entries = Entries(all ? "" : PickDataCentre());
    const std::vector<std::string> stop_order =
        random_source_.Sample(entries, static_cast<int64_t>(entries.size()));
    const Millis gap = random_source_.RandomDuration(400, 2'500);
    Millis at;

    for (const std::string& entry : stop_order) {
      const Millis kill_delay = random_source_.RandomDuration(300, 1'000);
      const Millis restart_delay = kill_delay + random_source_.RandomDuration(300, 1'500);
      schedule_.After(at, [this, entry, kill_delay, restart_delay] {
        if (!world_.IsUp(entry)) return;
        Log("stop " + entry);
        world_.Stop(entry);
        schedule_.After(kill_delay, [this, entry] { world_.Kill(entry); });
        schedule_.After(restart_delay, [this, entry] { StartIfDown(entry); });
      });
      at = at + gap;
    }
  }

  void KillSome() {
    const int64_t rounds = random_source_.Between(1, 3);
    Millis at;

    for (int64_t round = 0; round < rounds; ++round) {
      schedule_.After(at, [this] {
        const std::vector<std::string> entries = Entries();
        const int64_t max_kills = std::max<int64_t>(static_cast<int64_t>(entries.size()) / 2, 1);
        for (const std::string& entry :
             random_source_.Sample(entries, random_source_.Between(1, max_kills))) {
          Kill(entry, random_source_.RandomDuration(100, 3'500));
        }
      });
      at = at + random_source_.RandomDuration(1'500, 5'000);
    }
  }

  void KillPermanently() {
    // At least one entry of the data centre must stay up.
    const std::vector<std::string> entries = Entries(PickDataCentre());
    const std::string entry = random_source_.PickOne(entries);
    const auto others = std::ranges::count_if(
        entries, [&](const std::string& other) { return other != entry && world_.IsUp(other); });
    if (!world_.IsUp(entry) || others == 0) return;

    Log("kill " + entry + " permanently");
    world_.Kill(entry);
    world_.RecordDisruption();
    world_.MarkPermanentlyDown(entry);
  }

  void KillDataCentre() {
    const Millis span = random_source_.RandomDuration(1'000, 6'000);
    for (const std::string& entry : Entries(PickDataCentre())) Kill(entry, span);
  }

  /// Isolates a data centre: its entries and workers reach each other and
  /// nothing else.
  void IsolateDataCentre() {
    const std::string data_centre = PickDataCentre();
    const Millis span = random_source_.RandomDuration(1'500, 9'000);
    if (!isolated_.insert(data_centre).second) return;
    schedule_.After(span, [this, data_centre] { isolated_.erase(data_centre); });
    Log("cut " + data_centre + " for " + std::to_string(span.Count()));

    std::vector<std::string> inside = Entries(data_centre);
    std::vector<std::string> outside = {"store"};
    for (const std::string& entry : Entries()) {
      if (world_.DataCentres().at(entry) != data_centre) outside.push_back(entry);
    }
    for (const std::string& id : world_.Workers()) {
      const bool here = world_.worker(id).info().data_centre.Text() == data_centre;
      (here ? inside : outside).push_back(id);
    }

    for (const std::string& one : inside) {
      for (const std::string& other : outside) {
        world_.Cut(one, other);
        schedule_.After(span, [this, one, other] { world_.Reconnect(one, other); });
      }
    }
  }

  void PauseSome() {
    for (const std::string& entry :
         random_source_.Sample(Entries(), random_source_.Between(1, 2))) {
      if (!world_.IsUp(entry)) continue;

      const Millis span = random_source_.RandomDuration(500, 8'000);
      Log("pause " + entry + " for " + std::to_string(span.Count()));
      world_.Pause(entry);
      schedule_.After(span, [this, entry] {
        if (world_.IsUp(entry)) world_.Resume(entry);
      });
    }
  }

  void LoseAnswers() {
    const Millis span = random_source_.RandomDuration(500, 4'000);
    world_.loss = static_cast<double>(random_source_.Between(3, 15)) / 100.0;
    Log("lose answers for " + std::to_string(span.Count()));
    schedule_.After(span, [this] { world_.loss = 0.0; });
  }

  World& world_;
  RandomSource& random_source_;
  ActionSchedule& schedule_;
  std::set<std::string> isolated_;
};

/// Callers that submit long-running jobs at the start and short ones during the
/// whole scenario, at times more than there is room for.
class HandOverScenario::Callers {
 public:
  Callers(World& world, RandomSource& random_source, const WorldShape& shape)
      : world_(world), random_source_(random_source), shape_(shape) {
    const int64_t workers = int64_t{shape.data_centres} * shape.racks * shape.workers_per_rack;
    cores_ = workers * shape.capacity.millicores / 1'000;
    heavy_load_ = random_source.Chance(40);
  }

  void SubmitLongRunningJobs() {
    int64_t left = cores_ * 1'000 * kLongRunningPercent / 100;

    while (left > 0) {
      const bool large = random_source_.Chance(30);
      const int64_t need =
          large ? shape_.capacity.millicores / 2 : random_source_.Between(1, 3) * 500;
      const int64_t tasks = std::min(random_source_.Between(1, large ? 3 : 6), left / need);
      if (tasks == 0) return;

      left -= tasks * need;
      JobSpec spec = MakeJob("l" + std::to_string(++job_count_), static_cast<int32_t>(tasks), need);
      spec.steps[0].is_long_running = true;
      spec.steps[0].image = "serving";
      ScheduleSubmission(spec, random_source_.RandomDuration(0, 2'000));
    }
  }

  void SubmitShortJobs() {
    if (world_.now() >= load_phase_ends_at_) {
      load_phase_ends_at_ = world_.now() + random_source_.RandomDuration(2'000, 7'000);
      const int64_t percent = random_source_.Chance(heavy_load_ ? 50 : 80)
                                  ? random_source_.Between(5, 20)
                                  : random_source_.Between(60, 130);
      if (percent >= 60)
        load_phase_ends_at_ = world_.now() + random_source_.RandomDuration(1'000, 3'000);
      // A job needs about two seconds of a core.
      mean_submit_interval_ms_ = std::max<int64_t>(200'000 / (cores_ * percent), 5);
    }

    while (next_submission_at_ <= world_.now()) {
      next_submission_at_ =
          next_submission_at_ + random_source_.RandomDuration(1, 2 * mean_submit_interval_ms_);
      SubmitShortJob();
    }

    std::erase_if(pending_submissions_,
                  [this](const PendingSubmission& job) { return TrySend(job); });
  }

  /// Resubmits jobs that got no answer.
  void RetryUnanswered() {
    std::erase_if(unanswered_,
                  [this](const auto& row) { return world_.answers.contains(row.first); });

    for (auto& [id, at] : unanswered_) {
      if (world_.now() < at) continue;

      at = world_.now() + Millis(3'000);
      if (const std::string entry = PickLiveEntry(); !entry.empty()) {
        world_.Submit(entry, world_.submitted.at(JobId(id)));
      }
    }
  }

  RunPlan MakeRunPlan(const TaskName& name) {
    const auto spec = world_.submitted.find(name.job);
    if (spec == world_.submitted.end()) return {};

    const StepSpec& step = spec->second.steps.at(static_cast<size_t>(name.step));
    return RunPlan{
        .duration = durations_[name.job], .never_ends = step.is_long_running, .need = step.need};
  }

 private:
  struct PendingSubmission {
    JobSpec spec;
    Millis at;
  };

  void SubmitShortJob() {
    const int64_t kind = random_source_.Between(1, 100);
    const auto tasks = static_cast<int32_t>(kind <= 85 ? random_source_.Between(1, 3)
                                                       : random_source_.Between(6, 16));
    JobSpec spec = MakeJob("s" + std::to_string(++job_count_), tasks);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().task_count = static_cast<int32_t>(random_source_.Between(1, 2));
    spec.steps.back().after = {0};
    ScheduleSubmission(spec, Millis(0));
  }

  void ScheduleSubmission(const JobSpec& spec, Millis wait) {
    durations_[spec.job] = random_source_.RandomDuration(100, 900);
    pending_submissions_.push_back(PendingSubmission{spec, world_.now() + wait});
  }

  bool TrySend(const PendingSubmission& job) {
    if (world_.now() < job.at) return false;

    const std::string entry = PickLiveEntry();
    if (entry.empty()) return false;

    world_.Submit(entry, job.spec);
    unanswered_[job.spec.job.Text()] = world_.now() + Millis(3'000);
    return true;
  }

  std::string PickLiveEntry() {
    std::vector<std::string> live;
    for (const auto& [entry, data_centre] : world_.DataCentres()) {
      if (world_.IsUp(entry)) live.push_back(entry);
    }
    return live.empty() ? "" : random_source_.PickOne(live);
  }

  World& world_;
  RandomSource& random_source_;
  WorldShape shape_;
  int64_t cores_ = 0;
  /// Whether cells are full for much of the scenario.
  bool heavy_load_ = false;
  int64_t job_count_ = 0;
  int64_t mean_submit_interval_ms_ = 500;
  Millis load_phase_ends_at_;
  Millis next_submission_at_ = Millis(5'000);
  std::vector<PendingSubmission> pending_submissions_;
  std::map<std::string, Millis> unanswered_;
  std::map<JobId, Millis> durations_;
};

HandOverScenario::HandOverScenario(uint64_t seed)
    : seed_(seed),
      random_source_(seed),
      shape_(MakeShape(random_source_)),
      world_(shape_),
      audit_(world_,
             [this](const std::string& check, const std::string& text) { Fail(check, text); }),
      schedule_(world_),
      callers_(std::make_unique<Callers>(world_, random_source_, shape_)),
      worker_faults_(std::make_unique<WorkerFaults>(world_, random_source_, schedule_, shape_)),
      owner_faults_(std::make_unique<OwnerFaults>(world_, random_source_, schedule_)) {
  world_.DropUnresponsiveWorkers();
  world_.planner = [this](const TaskName& name) { return callers_->MakeRunPlan(name); };
  world_.on_answer = [this](const ObservedAnswer& caller_answer) {
    audit_.RecordAnswer(caller_answer);
  };
}

HandOverScenario::~HandOverScenario() = default;

void HandOverScenario::RunAll() {
  world_.Run(Millis(3'500));
  callers_->SubmitLongRunningJobs();
  RunFor(random_source_.RandomDuration(3'000, 6'000));

  const int64_t episodes = random_source_.Between(2, 4);
  for (int64_t episode = 0; episode < episodes; ++episode) RunEpisode();
  RunUntilSettled();
  for (const std::string& violation : world_.violations) Fail("invariant violated", violation);
}

std::string HandOverScenario::Report() const {
  std::ostringstream text;

  for (const auto& [check, rows] : findings_) {
    text << "seed " << seed_ << ", " << check << ": " << rows.size() << " findings\n";
    for (size_t row = 0; row < std::min<size_t>(rows.size(), 3); ++row) {
      text << "  " << rows[row] << "\n";
    }
  }

  return text.str();
}

void HandOverScenario::SaveLog(const std::string& path) const {
  std::ofstream file(path);
  for (const std::string& line : world_.log) file << line << "\n";
}

void HandOverScenario::Fail(const std::string& check, const std::string& text) {
  findings_[check].push_back(std::to_string(world_.now().Count()) + " ms: " + text);
}

void HandOverScenario::Advance(bool traffic) {
  schedule_.Advance();
  if (traffic) callers_->SubmitShortJobs();
  callers_->RetryUnanswered();
  before_round();
  world_.Run(kRoundInterval);
  audit_.Check();
  after_round();
}

void HandOverScenario::RunFor(Millis span) {
  const Millis end = world_.now() + span;
  while (world_.now() < end) Advance();
}

void HandOverScenario::RunEpisode() {
  const Millis span = random_source_.RandomDuration(6'000, 16'000);
  owner_faults_->RestartAll();
  on_episode(span);

  // Worker faults come shortly before the first change of owners and between
  // the changes.
  const int64_t worker_fault_count = random_source_.Between(1, 4);
  for (int64_t number = 0; number < worker_fault_count; ++number)
    worker_faults_->ScheduleFaults(span);

  Millis at = random_source_.RandomDuration(0, 6'000);
  while (at < span) {
    schedule_.After(at, [this] { owner_faults_->ScheduleFaults(); });
    at = at + random_source_.RandomDuration(500, 6'000);
  }

  RunFor(span);
  if (random_source_.Chance(40)) worker_faults_->DrainSome(Millis(4'000));

  const Millis required_calm = random_source_.RandomDuration(8'000, 16'000);
  const Millis end = world_.now() + kMaxCalmWait;
  while (world_.UndisruptedTime() < required_calm && world_.now() < end) Advance();
}

void HandOverScenario::RunUntilSettled() {
  Millis last_change = world_.now();
  size_t runs = 0;

  while (world_.now() - last_change < kStallTimeout &&
         (world_.UndisruptedTime() < Millis(8'000) || !audit_.IsSettled())) {
    if (std::exchange(runs, CountRunEvents()) != runs) last_change = world_.now();
    for (int32_t round = 0; round < 5; ++round) Advance(false);
  }
  audit_.CheckEnd();
}

size_t HandOverScenario::CountRunEvents() const {
  size_t runs = 0;
  for (const auto& [name, count] : world_.starts) runs += static_cast<size_t>(count);
  for (const auto& [name, ends] : world_.ends) {
    for (const auto& [end, count] : ends) runs += static_cast<size_t>(count);
  }
  return runs;
}

std::vector<uint64_t> SelectAuditSeeds(const std::vector<uint64_t>& defaults) {
  const char* named = std::getenv("CURRANTPOST_AUDIT_SEEDS");
  if (named == nullptr) return defaults;

  std::istringstream range(named);
  uint64_t first = 1;
  range >> first;
  uint64_t last = first;
  char dash = '-';
  range >> dash >> last;

  std::vector<uint64_t> seeds(last - first + 1);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

}  // namespace currantpost::scheduler

#include "fleet_model.h"

#include <algorithm>
#include <cmath>

#include "currantpost/policy/interference_model.h"

namespace currantpost::bench {
namespace {

constexpr Millis kStep(1'000);
constexpr double kMillicoresPerCore = 1'000.0;
constexpr double kSecondsPerHour = 3'600.0;
/// True need of the jobs submitted, as a share of the fleet's processors.
constexpr double kOfferedLoad = 0.6;
/// Requests a second for each worker at ordinary load.
constexpr double kOrdinaryRate = 16.0;
/// Surges of requests for each service, and waves of use for each batch kind.
constexpr double kSurgesPerHour = 4.0;
constexpr double kSurgeFactor = 2.0;
constexpr double kWavesPerHour = 6.0;
/// Progress after which a running task writes a checkpoint by itself.
constexpr double kCheckpointSeconds = 120.0;
constexpr Millis kReportInterval(5'000);
constexpr Millis kLaggingReport(60'000);
/// Lease and clock margin, after which a task of a lost worker may run elsewhere.
constexpr Millis kLeaseLapse(11'000);
constexpr Millis kSickFailure(3'000);
constexpr Millis kNeverRunsFailure(5'000);
constexpr int32_t kMostFailures = 5;

double Uniform(std::mt19937_64& generator, double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(generator);
}

double Lognormal(std::mt19937_64& generator, double sigma) {
  return std::lognormal_distribution<double>(0.0, sigma)(generator);
}

Millis Seconds(double seconds) { return Millis(static_cast<int64_t>(seconds * 1'000.0)); }

/// Says whether an event of a rate a second happens within a step.
bool Happens(std::mt19937_64& generator, double per_hour) {
  return Uniform(generator, 0.0, 1.0) < per_hour / kSecondsPerHour;
}

}  // namespace

FleetModel::FleetModel(const Scenario& scenario)
    : scenario_(scenario),
      jobs_random_(scenario.seed * 4 + 1),
      waves_random_(scenario.seed * 4 + 2),
      faults_random_(scenario.seed * 4 + 3),
      reports_random_(scenario.seed * 4 + 4) {
  const UserProfile& user = scenario.user;
  std::mt19937_64 truth_random(scenario.seed);
  truth_ = DrawTruth(user, truth_random);

  for (int32_t worker = 0; worker < user.workers; ++worker) {
    ModelWorker made;
    made.rack = static_cast<size_t>(worker / user.workers_per_rack);
    made.service = static_cast<size_t>(worker) % user.services.size();
    made.report_lag = Seconds(Uniform(truth_random, 5.0, 15.0));
    if (scenario.faults && worker % 5 == 0) made.report_lag = kLaggingReport;
    workers_.push_back(std::move(made));
  }

  queues_.resize(workers_.back().rack + 1);
  kind_wave_until_.resize(truth_.kinds.size());
  surge_until_.resize(user.services.size());

  const size_t streams = user.services.size() * static_cast<size_t>(user.data_centres);
  for (size_t stream = 0; stream < streams; ++stream) {
    requests_.emplace_back(user, scenario.seed * 1'000 + stream);
  }
}

void FleetModel::Run(FleetPolicy& policy) {
  for (int32_t second = 0; second < scenario_.seconds; ++second) {
    now_ = kStep * second;

    UpdateWaves();
    SubmitJobs();
    if (scenario_.faults) BreakThings();
    RequeueLost(policy);
    Deliver(policy);
    policy.OnTick(*this);

    for (size_t worker = 0; worker < workers_.size(); ++worker) RunWorker(worker, policy);

    RunRequests();
    Measure();
  }
}

void FleetModel::Start(ModelTask task, size_t worker, const Resources& size) {
  task.worker = worker;
  task.held = size;
  task.started_at = now_;
  task.throttled = false;
  task.fails_at = Millis();

  if (now_ < workers_[worker].sick_until) task.fails_at = now_ + kSickFailure;
  if (task.never_runs) task.fails_at = now_ + kNeverRunsFailure;

  if (Counted()) ++counts_.starts;
  workers_[worker].tasks.push_back(task);
}

void FleetModel::Evict(size_t worker, int64_t task) {
  auto& tasks = workers_[worker].tasks;
  const auto found = std::find_if(tasks.begin(), tasks.end(),
                                  [=](const ModelTask& other) { return other.id == task; });
  if (found == tasks.end()) return;

  if (Counted()) ++counts_.evictions;
  Waste(*found);
  Requeue(*found);
  tasks.erase(found);
}

void FleetModel::Throttle(size_t worker, int64_t task, bool throttled) {
  for (ModelTask& other : workers_[worker].tasks) {
    if (other.id == task) other.throttled = throttled;
  }
}

void FleetModel::SubmitJobs() {
  double mean_core_seconds = 0.0;
  for (const BatchKindTruth& kind : truth_.kinds) {
    mean_core_seconds += static_cast<double>(kind.used.millicores) / kMillicoresPerCore *
                         kind.run_seconds / static_cast<double>(truth_.kinds.size());
  }

  constexpr double kMeanTasks = 16.0;
  const double fleet = Cores() * static_cast<double>(workers_.size());
  const double jobs_per_second = kOfferedLoad * fleet / (mean_core_seconds * kMeanTasks);

  // A backlog is there from the start: overnight work is submitted in the evening.
  constexpr double kBacklogSeconds = 300.0;
  const double wanted = now_ == Millis() ? jobs_per_second * kBacklogSeconds : jobs_per_second;
  const int count = std::poisson_distribution<int>(wanted)(jobs_random_);

  for (int job = 0; job < count; ++job) SubmitJob();
}

void FleetModel::SubmitJob() {
  const auto kind = static_cast<size_t>(jobs_random_() % truth_.kinds.size());
  const int tasks = 4 + static_cast<int>(jobs_random_() % 25);
  const bool urgent = jobs_random_() % 20 == 0;
  const bool never_runs = jobs_random_() % 20 == 0 && scenario_.faults;
  const size_t first_rack = jobs_random_() % queues_.size();
  ++next_job_;

  for (int task = 0; task < tasks; ++task) {
    ModelTask made;
    made.id = ++next_task_;
    made.job = next_job_;
    made.kind = kind;
    made.rack = (first_rack + static_cast<size_t>(task)) % queues_.size();
    made.priority = urgent ? Priority::kUrgent : Priority::kNormal;
    made.never_runs = never_runs;
    made.use_factor = Lognormal(jobs_random_, 0.2);
    made.run_seconds = truth_.kinds[kind].run_seconds * Lognormal(jobs_random_, 0.3);

    if (urgent) {
      queues_[made.rack].push_front(made);
    } else {
      queues_[made.rack].push_back(made);
    }
  }
}

void FleetModel::UpdateWaves() {
  for (Millis& until : kind_wave_until_) {
    const bool begins = Happens(waves_random_, kWavesPerHour);
    const Millis length = Seconds(Uniform(waves_random_, 30.0, 90.0));
    if (begins) until = now_ + length;
  }

  for (Millis& until : surge_until_) {
    const bool begins = Happens(waves_random_, kSurgesPerHour);
    const Millis length = Seconds(Uniform(waves_random_, 60.0, 120.0));
    if (begins) until = now_ + length;
  }

  for (ModelWorker& worker : workers_) {
    if (now_.Count() % 10'000 == 0) worker.noise = Lognormal(waves_random_, 0.05);
  }
}

void FleetModel::BreakThings() {
  constexpr double kWorkerLossesPerHour = 8.0;
  constexpr double kRackLossesPerHour = 1.0;
  constexpr double kSickWorkersPerHour = 3.0;
  constexpr double kCancellationWavesPerHour = 3.0;
  const size_t worker = faults_random_() % workers_.size();

  if (Happens(faults_random_, kWorkerLossesPerHour)) LoseWorker(worker, Seconds(90));
  if (Happens(faults_random_, kSickWorkersPerHour))
    workers_[worker].sick_until = now_ + Seconds(600);

  if (Happens(faults_random_, kRackLossesPerHour)) {
    for (size_t other = 0; other < workers_.size(); ++other) {
      if (workers_[other].rack == workers_[worker].rack) LoseWorker(other, Seconds(120));
    }
  }

  if (Happens(faults_random_, kCancellationWavesPerHour)) {
    for (auto& queue : queues_) {
      std::erase_if(queue, [](const ModelTask& task) { return task.job % 4 == 0; });
    }
  }
}

void FleetModel::LoseWorker(size_t worker, Millis outage) {
  workers_[worker].down_until = now_ + outage;

  for (ModelTask& task : workers_[worker].tasks) {
    if (Counted()) ++counts_.lost;
    Waste(task);
    lost_.emplace_back(now_ + kLeaseLapse, task);
  }

  workers_[worker].tasks.clear();
}

void FleetModel::RequeueLost(FleetPolicy& policy) {
  while (!lost_.empty() && lost_.front().first <= now_) {
    ModelTask task = lost_.front().second;
    lost_.pop_front();
    policy.OnTaskEvent(*this, task, ModelTaskEvent::kLost);
    Requeue(task);
  }
}

void FleetModel::RunWorker(size_t index, FleetPolicy& policy) {
  ModelWorker& worker = workers_[index];
  if (Counted()) counts_.capacity_core_seconds += Cores();

  if (!IsUp(index)) return;

  const double service_load = ServiceLoad(worker.service);
  double demand = kServiceShare * 0.5 * service_load * Cores();
  double interference = 0.0;

  for (const ModelTask& task : worker.tasks) {
    const double use = UseOf(task);
    demand += use;
    interference += truth_.interference[worker.service][task.kind] * use / Cores();
  }

  // Interference shifts with the load of the service.
  const double contention = std::max(1.0, demand / Cores());
  interference *= 0.5 + 0.5 * service_load;
  worker.slowdown = (1.0 + interference) * contention * worker.noise;

  for (ModelTask& task : worker.tasks) {
    const double speed = (task.throttled ? kThrottledLoadShare : 1.0) / contention;
    const double cores =
        static_cast<double>(truth_.kinds[task.kind].used.millicores) / kMillicoresPerCore;

    task.progress_seconds += speed;
    task.checkpoint_seconds =
        std::floor(task.progress_seconds / kCheckpointSeconds) * kCheckpointSeconds;
    if (Counted()) counts_.useful_core_seconds += speed * cores;
  }

  if (Counted()) {
    counts_.used_core_seconds += std::min(demand, Cores());
    counts_.contended_seconds += demand > Cores() ? 1 : 0;
    ++counts_.worker_seconds;
  }

  KillForMemory(index, policy);
  EndTasks(index, policy);
}

void FleetModel::KillForMemory(size_t index, FleetPolicy& policy) {
  ModelWorker& worker = workers_[index];
  const auto capacity = static_cast<double>(scenario_.user.capacity.memory_mib);

  while (!worker.tasks.empty()) {
    double used = kServiceShare * capacity;
    for (const ModelTask& task : worker.tasks) used += static_cast<double>(MemoryOf(task));
    if (used <= capacity) return;

    const auto largest = std::max_element(worker.tasks.begin(), worker.tasks.end(),
                                          [this](const ModelTask& left, const ModelTask& right) {
                                            return MemoryOf(left) < MemoryOf(right);
                                          });

    if (Counted()) ++counts_.memory_kills;
    Waste(*largest);
    policy.OnTaskEvent(*this, *largest, ModelTaskEvent::kKilled);
    Requeue(*largest);
    worker.tasks.erase(largest);
  }
}

void FleetModel::EndTasks(size_t index, FleetPolicy& policy) {
  auto& tasks = workers_[index].tasks;

  for (auto task = tasks.begin(); task != tasks.end();) {
    const bool failed = task->fails_at != Millis() && now_ >= task->fails_at;
    const bool finished = !failed && task->progress_seconds >= task->run_seconds;

    if (!failed && !finished) {
      ++task;
      continue;
    }

    policy.OnTaskEvent(*this, *task, failed ? ModelTaskEvent::kFailed : ModelTaskEvent::kFinished);
    if (finished && Counted()) ++counts_.finished;

    if (failed) {
      if (Counted()) ++counts_.failed;
      Waste(*task);
      RetryOrGiveUp(*task);
    }

    task = tasks.erase(task);
  }
}

void FleetModel::RunRequests() {
  const auto per_data_centre = workers_.size() / static_cast<size_t>(scenario_.user.data_centres);
  const size_t services = scenario_.user.services.size();

  for (size_t stream = 0; stream < requests_.size(); ++stream) {
    const size_t service = stream % services;
    const size_t first = stream / services * per_data_centre;
    std::vector<double> slowdowns;

    for (size_t worker = first; worker < first + per_data_centre; ++worker) {
      if (workers_[worker].service != service) continue;
      slowdowns.push_back(IsUp(worker) ? workers_[worker].slowdown : 0.0);
    }

    requests_[stream].RunSecond(static_cast<int32_t>(now_.Count() / kStep.Count()),
                                kOrdinaryRate * ServiceLoad(service), slowdowns, Counted(),
                                latencies_);
  }
}

void FleetModel::Measure() {
  if (now_.Count() % kReportInterval.Count() != 0) return;

  for (size_t index = 0; index < workers_.size(); ++index) {
    const double error = Lognormal(reports_random_, 0.05);
    if (!IsUp(index)) continue;

    ModelReport report;
    report.worker = index;
    report.measured_at = now_;
    report.arrives_at = now_ + workers_[index].report_lag;
    report.slowdown = workers_[index].slowdown * error;

    for (const ModelTask& task : workers_[index].tasks) {
      const auto millicores = static_cast<int64_t>(UseOf(task) * kMillicoresPerCore);
      report.used[task.id] = {.kind = task.kind,
                              .used = {.millicores = millicores, .memory_mib = MemoryOf(task)},
                              .throttled = task.throttled};
    }

    reports_.push_back(std::move(report));
  }
}

void FleetModel::Deliver(FleetPolicy& policy) {
  for (auto report = reports_.begin(); report != reports_.end();) {
    if (report->arrives_at > now_) {
      ++report;
      continue;
    }

    if (IsUp(report->worker)) policy.OnReport(*this, *report);
    report = reports_.erase(report);
  }
}

void FleetModel::Requeue(ModelTask task) {
  task.throttled = false;
  queues_[task.rack].push_front(task);
}

void FleetModel::Waste(ModelTask& task) {
  const double lost = task.progress_seconds - task.checkpoint_seconds;
  const double cores =
      static_cast<double>(truth_.kinds[task.kind].used.millicores) / kMillicoresPerCore;

  task.progress_seconds = task.checkpoint_seconds;
  if (!Counted()) return;

  counts_.wasted_core_seconds += lost * cores;
  counts_.useful_core_seconds -= lost * cores;
}

void FleetModel::RetryOrGiveUp(ModelTask task) {
  ++task.failures;

  if (task.failures < kMostFailures) {
    Requeue(task);
  } else if (!task.never_runs && Counted()) {
    ++counts_.given_up;
  }
}

double FleetModel::UseOf(const ModelTask& task) const {
  const BatchKindTruth& kind = truth_.kinds[task.kind];
  const double wave = now_ < kind_wave_until_[task.kind] ? kind.wave_factor : 1.0;
  const double throttle = task.throttled ? kThrottledLoadShare : 1.0;

  return static_cast<double>(kind.used.millicores) / kMillicoresPerCore * task.use_factor * wave *
         throttle;
}

int64_t FleetModel::MemoryOf(const ModelTask& task) const {
  return static_cast<int64_t>(static_cast<double>(truth_.kinds[task.kind].used.memory_mib) *
                              task.use_factor);
}

double FleetModel::ServiceLoad(size_t service) const {
  return now_ < surge_until_[service] ? kSurgeFactor : 1.0;
}

bool FleetModel::Counted() const { return now_ >= kStep * scenario_.warm_up_seconds; }

double FleetModel::Cores() const {
  return static_cast<double>(scenario_.user.capacity.millicores) / kMillicoresPerCore;
}

}  // namespace currantpost::bench

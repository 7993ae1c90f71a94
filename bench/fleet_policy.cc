#include "fleet_policy.h"

#include <algorithm>
#include <set>
#include <utility>

namespace currantpost::bench {
namespace {

/// Waiting tasks of a rack that are looked at in one second.
constexpr size_t kMostTries = 64;
constexpr Millis kPlainCooldown(30'000);

VmId NameOf(size_t worker) { return VmId("vm-" + std::to_string(worker)); }

RackId RackNameOf(size_t rack) { return RackId("rack-" + std::to_string(rack)); }

TaskKey KeyOf(const ModelTask& task) {
  return {.job = JobId(std::to_string(task.job)), .index = static_cast<int32_t>(task.id)};
}

Resources ServicePart(const Resources& capacity) {
  const auto share = [](int64_t amount) {
    return static_cast<int64_t>(static_cast<double>(amount) * kServiceShare);
  };

  return {.millicores = share(capacity.millicores), .memory_mib = share(capacity.memory_mib)};
}

double LoadOf(const FleetModel& model, const ModelTask& task) {
  const double load = static_cast<double>(task.held.millicores) /
                      static_cast<double>(model.Settings().user.capacity.millicores);

  return task.throttled ? load * kThrottledLoadShare : load;
}

const std::string& ServiceOf(const FleetModel& model, size_t worker) {
  return model.Settings().user.services[model.Workers()[worker].service];
}

const std::string& KindOf(const FleetModel& model, size_t kind) {
  return model.Truth().kinds[kind].name;
}

/// Tries the first waiting tasks of a rack. `place` says where a task goes, and does the booking.
template <typename Place>
void PlaceQueue(FleetModel& model, size_t rack, Place place) {
  auto& queue = model.Queue(rack);
  std::deque<ModelTask> left;
  std::set<std::pair<size_t, Priority>> refused;

  for (size_t tries = 0; tries < kMostTries && !queue.empty(); ++tries) {
    ModelTask task = queue.front();
    queue.pop_front();

    const std::pair alike(task.kind, task.priority);
    if (refused.contains(alike) || !place(task)) {
      refused.insert(alike);
      left.push_back(task);
    }
  }

  queue.insert(queue.begin(), std::make_move_iterator(left.begin()),
               std::make_move_iterator(left.end()));
}

/// Workers of a rack, as indices of the model.
std::vector<size_t> WorkersOf(const FleetModel& model, size_t rack) {
  std::vector<size_t> workers;

  for (size_t worker = 0; worker < model.Workers().size(); ++worker) {
    if (model.Workers()[worker].rack == rack) workers.push_back(worker);
  }

  return workers;
}

void Book(PlacementCandidate& candidate, const Resources& size) {
  candidate.committed += size;
  candidate.committed_batch += size;
}

}  // namespace

void PlainPolicy::OnReport(FleetModel& model, const ModelReport& report) {
  const auto& tasks = model.Workers()[report.worker].tasks;
  if (report.slowdown <= preset_.slowdown_limit || tasks.empty()) return;

  const auto evicted = evicted_at_.find(report.worker);
  if (evicted != evicted_at_.end() && model.Now() - evicted->second < kPlainCooldown) return;

  evicted_at_[report.worker] = model.Now();
  model.Evict(report.worker, tasks.back().id);
}

void PlainPolicy::OnTick(FleetModel& model) {
  for (size_t rack = 0; rack < model.Racks(); ++rack) {
    const std::vector<size_t> workers = WorkersOf(model, rack);
    std::vector<PlacementCandidate> candidates;

    for (const size_t worker : workers) {
      PlacementCandidate candidate;
      candidate.accepts_starts = model.IsUp(worker);
      candidate.capacity = model.Settings().user.capacity;
      candidate.committed = ServicePart(candidate.capacity);
      for (const ModelTask& task : model.Workers()[worker].tasks) Book(candidate, task.held);
      candidates.push_back(std::move(candidate));
    }

    PlaceQueue(model, rack, [&](ModelTask& task) {
      const PlacementDemand demand{.priority = task.priority,
                                   .size = model.Truth().kinds[task.kind].declared};
      const PlacementResult chosen =
          strategy_->Place(candidates, demand, PlacementLimitsOf(preset_));
      if (!chosen) return false;

      Book(candidates[*chosen], demand.size);
      model.Start(task, workers[*chosen], demand.size);
      return true;
    });
  }
}

void LearningPolicy::OnReport(FleetModel& model, const ModelReport& report) {
  SetUp(model);
  Learn(model, report);
  Relieve(model, report);
}

void LearningPolicy::OnTaskEvent(FleetModel& model, const ModelTask& task, ModelTaskEvent event) {
  SetUp(model);
  Rack& rack = racks_[task.rack];

  if (event == ModelTaskEvent::kFinished) {
    rack.quarantine.RecordSuccess(NameOf(task.worker));
  } else if (event == ModelTaskEvent::kFailed) {
    rack.quarantine.RecordFailure(model.Now(), NameOf(task.worker), KeyOf(task).job);
  }

  workers_[task.worker].latest_use.erase(task.id);
}

void LearningPolicy::OnTick(FleetModel& model) {
  SetUp(model);

  for (size_t rack = 0; rack < racks_.size(); ++rack) PlaceRack(model, rack);

  for (size_t worker = 0; worker < workers_.size(); ++worker) {
    workers_[worker].history.Record(model.Now(), Loads(model, worker));
  }
}

void LearningPolicy::SetUp(const FleetModel& model) {
  if (!racks_.empty()) return;

  racks_.assign(model.Racks(), Rack(settings_));
  workers_.resize(model.Workers().size());
}

void LearningPolicy::Learn(const FleetModel& model, const ModelReport& report) {
  Worker& worker = workers_[report.worker];
  Rack& rack = racks_[model.Workers()[report.worker].rack];

  for (const auto& [task, usage] : report.used) {
    if (!usage.throttled) rack.sizes.Observe(KindOf(model, usage.kind), usage.used);
  }

  worker.latest_use = report.used;
  worker.slowdown = report.slowdown;

  const std::vector<KindLoad>* batch = worker.history.At(report.measured_at);
  if (batch == nullptr) return;

  rack.interference.Observe({.service_kind = ServiceOf(model, report.worker),
                             .batch = *batch,
                             .slowdown = report.slowdown});
}

void LearningPolicy::Relieve(FleetModel& model, const ModelReport& report) {
  Rack& rack = racks_[model.Workers()[report.worker].rack];
  const auto decisions =
      rack.planner.Plan(model.Now(), Pressure(model, report), PressureLimitsOf(settings_.preset));

  for (const PressureDecision& decision : decisions) {
    const int64_t task = decision.task.index;

    if (decision.action == PressureAction::kEvict) {
      model.Evict(report.worker, task);
    } else {
      model.Throttle(report.worker, task, decision.action == PressureAction::kThrottle);
    }
  }
}

void LearningPolicy::PlaceRack(FleetModel& model, size_t index) {
  Rack& rack = racks_[index];
  const std::vector<size_t> workers = WorkersOf(model, index);
  std::vector<PlacementCandidate> candidates;
  for (const size_t worker : workers) candidates.push_back(Candidate(model, worker));

  InterferenceAwarePlacement strategy(rack.interference, settings_.placement);

  PlaceQueue(model, index, [&](ModelTask& task) {
    const std::string& kind = KindOf(model, task.kind);
    const PlacementDemand demand{
        .priority = task.priority,
        .kind = kind,
        .size = rack.sizes.Estimate(kind, model.Truth().kinds[task.kind].declared)};

    const PlacementResult chosen =
        strategy.Place(candidates, demand, PlacementLimitsOf(settings_.preset));
    if (!chosen) return false;

    const bool restart = task.started_at != Millis();
    if (restart && !rack.pacer.TryRestart(model.Now(), task.priority)) return false;

    PlacementCandidate& candidate = candidates[*chosen];
    const VmId name = NameOf(workers[*chosen]);
    rack.quarantine.RecordStart(model.Now(), name);
    if (rack.quarantine.Health(model.Now(), name) == WorkerHealth::kQuarantined) {
      candidate.accepts_starts = false;
    }

    Book(candidate, demand.size);
    AddLoad(candidate.batch, kind,
            static_cast<double>(demand.size.millicores) /
                static_cast<double>(candidate.capacity.millicores));
    model.Start(task, workers[*chosen], demand.size);
    return true;
  });
}

PlacementCandidate LearningPolicy::Candidate(const FleetModel& model, size_t worker) const {
  const Rack& rack = racks_[model.Workers()[worker].rack];
  PlacementCandidate candidate;

  candidate.accepts_starts =
      model.IsUp(worker) &&
      rack.quarantine.Health(model.Now(), NameOf(worker)) != WorkerHealth::kQuarantined;
  candidate.capacity = model.Settings().user.capacity;
  candidate.committed = ServicePart(candidate.capacity);
  candidate.services = {ServiceOf(model, worker)};
  candidate.measured_slowdown = workers_[worker].slowdown;
  candidate.batch = Loads(model, worker);

  for (const ModelTask& task : model.Workers()[worker].tasks) {
    Book(candidate, Commitment(task));
    candidate.throttling = candidate.throttling || task.throttled;
  }

  return candidate;
}

VmPressure LearningPolicy::Pressure(const FleetModel& model, const ModelReport& report) const {
  const ModelWorker& worker = model.Workers()[report.worker];
  const Rack& rack = racks_[worker.rack];
  VmPressure pressure;

  pressure.vm = NameOf(report.worker);
  pressure.rack = RackNameOf(worker.rack);
  pressure.capacity = model.Settings().user.capacity;
  pressure.committed = ServicePart(pressure.capacity);
  pressure.used = pressure.committed;
  pressure.slowdown = report.slowdown;
  pressure.measured_at = report.measured_at;

  for (const ModelTask& task : worker.tasks) {
    BatchResident resident;
    resident.task = KeyOf(task);
    resident.priority = task.priority;
    resident.committed = Commitment(task);
    resident.age = model.Now() - task.started_at;
    resident.unsaved_progress =
        Millis(static_cast<int64_t>((task.progress_seconds - task.checkpoint_seconds) * 1'000.0));
    resident.added_slowdown = rack.interference.AddedSlowdown(
        ServiceOf(model, report.worker), KindOf(model, task.kind), LoadOf(model, task));
    resident.throttled = task.throttled;

    const auto usage = report.used.find(task.id);
    if (usage != report.used.end()) pressure.used += usage->second.used;

    pressure.committed += resident.committed;
    pressure.batch.push_back(std::move(resident));
  }

  return pressure;
}

std::vector<KindLoad> LearningPolicy::Loads(const FleetModel& model, size_t worker) const {
  std::vector<KindLoad> loads;

  for (const ModelTask& task : model.Workers()[worker].tasks) {
    AddLoad(loads, KindOf(model, task.kind), LoadOf(model, task));
  }

  return loads;
}

Resources LearningPolicy::Commitment(const ModelTask& task) const {
  const auto& latest = workers_[task.worker].latest_use;
  const auto found = latest.find(task.id);

  return found == latest.end() ? task.held : CommitmentOf(task.held, found->second.used);
}

}  // namespace currantpost::bench

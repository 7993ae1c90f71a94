#include "fake_world.h"

#include <algorithm>

#include "currantpost/model/codec.h"

namespace currantpost {
namespace {

constexpr Millis kTickInterval = Millis(100);
constexpr Millis kListInterval = Millis(1'000);
/// Time that an entry waits for a reply before the outcome counts as unknown.
constexpr Millis kCallTimeout = Millis(2'000);
constexpr Millis kWatchTimeout = Millis(10'000);
constexpr int64_t kMaxShortDelay = 8;

}  // namespace

FakeWorld::FakeWorld(uint64_t seed, WorldShape shape) : random_(seed), shape_(shape) {
  AddWorkers();
  AddEntries();
  ScheduleAt(now_, [this] { TickAll(); });
  ScheduleAt(now_, [this] { ReadLists(); });
}

void FakeWorld::AddWorkers() {
  for (int32_t centre = 0; centre < shape_.data_centres; ++centre) {
    for (int32_t number = 0; number < shape_.racks * shape_.workers; ++number) {
      const std::string name = "vm" + std::to_string(centre) + std::to_string(number);
      VmRecord vm{.vm = VmId(name),
                  .incarnation = 1,
                  .data_centre = DataCentreId("dc" + std::to_string(centre)),
                  .rack = RackId("rack" + std::to_string(number / shape_.workers)),
                  .capacity = shape_.capacity,
                  .worker = {"127.0.0.1", 10'000 + centre * 100 + number},
                  .upstream = {"127.0.0.1", 20'000 + centre * 100 + number}};

      workers_.emplace(vm.vm, FakeWorker(vm));
      vm_states_.emplace(vm.vm, VmState::kLive);
    }
  }
}

void FakeWorld::AddEntries() {
  std::vector<Address> seeds;

  for (int32_t centre = 0; centre < shape_.data_centres; ++centre) {
    for (int32_t number = 0; number < shape_.entries; ++number) {
      seeds.push_back({"127.0.0.1", 30'000 + centre * 100 + number});
    }
  }

  for (int32_t centre = 0; centre < shape_.data_centres; ++centre) {
    for (int32_t number = 0; number < shape_.entries; ++number) {
      ControlSettings settings;
      settings.identity.entry = EntryId("e" + std::to_string(centre) + std::to_string(number));
      settings.identity.data_centre = DataCentreId("dc" + std::to_string(centre));
      settings.identity.peer_address = {"127.0.0.1", 30'000 + centre * 100 + number};
      settings.seeds = seeds;
      settings.entry_ordinal = number;
      settings.entries_per_data_centre = shape_.entries;
      settings.task_lease = Millis(5'000);

      nodes_[settings.identity.entry].settings = settings;
      Start(settings.identity.entry);
    }
  }
}

void FakeWorld::Run(Millis span) {
  const Millis end = now_ + span;

  while (!scheduled_actions_.empty() && scheduled_actions_.top().at <= end) {
    const ScheduledAction next = scheduled_actions_.top();
    scheduled_actions_.pop();
    now_ = std::max(now_, next.at);
    next.action();
  }

  now_ = end;
}

void FakeWorld::ScheduleAt(Millis at, std::function<void()> action) {
  scheduled_actions_.push(ScheduledAction{at, next_sequence_++, std::move(action)});
}

void FakeWorld::Kill(const EntryId& entry) { nodes_.at(entry).state.reset(); }

void FakeWorld::Start(const EntryId& entry) {
  Node& node = nodes_.at(entry);
  node.settings.identity.incarnation = ++incarnations_;
  node.state = std::make_unique<State>(node.settings);
  node.deferred_events.clear();
  node.paused = false;
  node.exited = false;
  node.highest_revision = 0;
  node.routing = nullptr;
}

void FakeWorld::Pause(const EntryId& entry) { nodes_.at(entry).paused = true; }

void FakeWorld::Resume(const EntryId& entry) {
  Node& node = nodes_.at(entry);
  node.paused = false;

  const std::vector<Event> deferred_events = std::exchange(node.deferred_events, {});
  for (const Event& event : deferred_events) Handle(node, event);
}

void FakeWorld::Shutdown(const EntryId& entry) {
  Deliver(entry, IncarnationOf(entry), Event{now_, ShutdownRequested{}});
}

void FakeWorld::SetVmState(const VmId& vm, VmState state) { vm_states_[vm] = state; }

void FakeWorld::ReplaceWorker(const VmId& vm) { workers_.at(vm).Replace(now_); }

void FakeWorld::FreezeList(bool frozen) { list_frozen_ = frozen; }

void FakeWorld::EndAllFaults() {
  SetFaults({});
  RestoreLinks();
  SetKvDown(false);
  FreezeList(false);

  for (const auto& [vm, worker] : workers_) SetVmState(vm, VmState::kLive);

  for (const auto& [entry, node] : nodes_) {
    Resume(entry);
    if (!IsUp(entry)) Start(entry);
  }
}

size_t FakeWorld::Submit(const EntryId& entry, Command command) {
  const RequestId id = 1'000'000 + commands_.size();
  const std::string change_id = "change-" + std::to_string(id);
  command_indexes_[id] = commands_.size();
  commands_.push_back(CommandRecord{.entry = entry, .change_id = change_id, .body = command});

  Deliver(entry, IncarnationOf(entry),
          Event{now_, CommandReceived{id, change_id, std::move(command)}});
  return commands_.size() - 1;
}

void FakeWorld::Report(const EntryId& entry, TrafficReported report) {
  Deliver(entry, IncarnationOf(entry), Event{now_, std::move(report)});
}

std::vector<EntryId> FakeWorld::Entries() const {
  std::vector<EntryId> entries;
  for (const auto& [entry, node] : nodes_) entries.push_back(entry);

  return entries;
}

std::shared_ptr<const RoutingSnapshot> FakeWorld::Routing(const EntryId& entry) const {
  return nodes_.at(entry).routing;
}

std::vector<int32_t> FakeWorld::CompletedTasks(const DataCentreId& data_centre,
                                               const JobId& job) const {
  std::vector<int32_t> completed;

  for (const auto& [key, value] : kv_.Values("parts/" + data_centre.Text() + "/")) {
    const Result<PartRecord> part = DecodePartRecord(value);
    if (!part || part->job != job) continue;

    completed.insert(completed.end(), part->completed.begin(), part->completed.end());
  }

  std::ranges::sort(completed);
  return completed;
}

void FakeWorld::Deliver(const EntryId& entry, Incarnation incarnation, Event event) {
  Node& node = nodes_.at(entry);
  // Drops messages for an earlier incarnation.
  if (!node.state || incarnation != IncarnationOf(entry)) return;

  if (node.paused) {
    node.deferred_events.push_back(std::move(event));
    return;
  }

  Handle(node, std::move(event));
}

void FakeWorld::Handle(Node& node, Event event) {
  if (!node.state || node.exited) return;

  event.now = now_;
  Effects effects;
  Reduce(*node.state, event, effects);

  const int64_t revision = node.state->configuration.current.revision;
  if (revision < node.highest_revision) violations_.insert("a configuration reverted");
  node.highest_revision = std::max(node.highest_revision, revision);

  const EntryId entry = node.settings.identity.entry;
  for (const Effect& effect : effects) ExecuteEffect(entry, effect);
}

void FakeWorld::ExecuteEffect(const EntryId& entry, const Effect& effect) {
  if (const auto* kv_call = std::get_if<KvCall>(&effect)) return ExecuteKvCall(entry, *kv_call);
  if (const auto* watch = std::get_if<KvWatch>(&effect)) return ExecuteKvWatch(entry, *watch);
  if (const auto* order = std::get_if<WorkerCall>(&effect)) return ExecuteWorkerCall(entry, *order);
  if (const auto* send = std::get_if<SendHeartbeat>(&effect)) {
    return DeliverHeartbeat(entry, *send);
  }

  if (const auto* routing = std::get_if<PublishRouting>(&effect)) {
    nodes_.at(entry).routing = routing->snapshot;
  } else if (std::holds_alternative<ExitProcess>(effect)) {
    nodes_.at(entry).exited = true;
  } else if (const auto* reply = std::get_if<CommandReply>(&effect)) {
    CommandRecord& record = commands_.at(command_indexes_.at(reply->command));
    if (record.reply) violations_.insert("a command was answered twice");
    record.reply = *reply;
    record.replied_at = now_;
  }
}

void FakeWorld::ExecuteKvCall(const EntryId& entry, const KvCall& call) {
  ++kv_calls_;
  const Incarnation incarnation = IncarnationOf(entry);
  const auto answer = [=, this](Millis at, const KvReply& reply) {
    ScheduleAt(at, [=, this] {
      Deliver(entry, incarnation, Event{now_, KvAnswered{call.request, reply}});
    });
  };

  if (kv_down_ || IsLinkCut(entry.Text(), "kv")) {
    return answer(now_ + Delay(), KvReply{.status = KvStatus::kUnavailable});
  }

  const KvReply unknown{.status = KvStatus::kUnknown};
  if (Chance(faults_.loss_probability)) return answer(now_ + kCallTimeout, unknown);

  const Millis arrives = now_ + Delay();
  const bool is_late = arrives >= now_ + kCallTimeout;
  const bool answer_lost = Chance(faults_.loss_probability) || IsLinkCut("kv", entry.Text());
  if (is_late || answer_lost) answer(now_ + kCallTimeout, unknown);

  ScheduleAt(arrives, [=, this] {
    const KvReply reply = kv_.Apply(call);
    AnswerWatches();
    if (is_late || answer_lost) return;

    const Millis back = now_ + Delay();
    answer(back, reply);
    if (Chance(faults_.duplicate_probability)) answer(back + Delay(), reply);
  });
}

void FakeWorld::ExecuteKvWatch(const EntryId& entry, const KvWatch& watch) {
  ++kv_calls_;
  const Incarnation incarnation = IncarnationOf(entry);
  const bool lost = kv_down_ || IsLinkCut(entry.Text(), "kv") || Chance(faults_.loss_probability);

  const auto answer = [=, this](KvReply reply) {
    ScheduleAt(now_ + Delay(), [=, this] {
      Deliver(entry, incarnation, Event{now_, KvWatchAnswered{watch.request, reply}});
    });
  };

  if (lost) return answer(KvReply{.status = KvStatus::kUnavailable});

  pending_watches_.push_back(PendingWatch{entry, incarnation, watch});
  AnswerWatches();

  ScheduleAt(now_ + kWatchTimeout, [=, this] {
    const auto pending = std::ranges::find_if(pending_watches_, [&](const PendingWatch& other) {
      return other.entry == entry && other.incarnation == incarnation &&
             other.watch.request == watch.request;
    });
    if (pending == pending_watches_.end()) return;

    pending_watches_.erase(pending);
    answer(kv_down_ ? KvReply{.status = KvStatus::kUnknown}
                    : kv_.ChangesAfter(watch.prefix, watch.after));
  });
}

void FakeWorld::AnswerWatches() {
  if (kv_down_) return;

  std::erase_if(pending_watches_, [this](const PendingWatch& pending) {
    if (IsLinkCut("kv", pending.entry.Text())) return false;

    const KvReply reply = kv_.ChangesAfter(pending.watch.prefix, pending.watch.after);
    if (reply.entries.empty()) return false;

    ScheduleAt(now_ + Delay(), [this, pending, reply] {
      Deliver(pending.entry, pending.incarnation,
              Event{now_, KvWatchAnswered{pending.watch.request, reply}});
    });
    return true;
  });
}

void FakeWorld::ExecuteWorkerCall(const EntryId& entry, const WorkerCall& call) {
  const Incarnation incarnation = IncarnationOf(entry);
  const auto answer = [=, this](Millis at, const WorkerReply& reply) {
    ScheduleAt(at, [=, this] {
      Deliver(entry, incarnation, Event{now_, WorkerAnswered{call.request, call.worker, reply}});
    });
  };

  if (IsLinkCut(entry.Text(), call.worker.Text())) {
    return answer(now_ + Delay(), WorkerReply{.status = WorkerStatus::kUnreachable, .table = {}});
  }

  const WorkerReply unknown{.status = WorkerStatus::kUnknown, .table = {}};
  if (Chance(faults_.loss_probability)) return answer(now_ + kCallTimeout, unknown);

  const Millis arrives = now_ + Delay();
  const bool is_late = arrives >= now_ + kCallTimeout;
  const bool answer_lost =
      Chance(faults_.loss_probability) || IsLinkCut(call.worker.Text(), entry.Text());
  if (is_late || answer_lost) answer(now_ + kCallTimeout, unknown);

  ScheduleAt(arrives, [=, this] {
    FakeWorker& worker = workers_.at(call.worker);
    const size_t runs = worker.Runs().size();
    const WorkerReply reply = worker.ExecuteOrder(call, now_);

    if (worker.Runs().size() > runs) CheckStartedTask(worker);
    CheckInvariants();
    if (is_late || answer_lost) return;

    const Millis back = now_ + Delay();
    answer(back, reply);
    if (Chance(faults_.duplicate_probability)) answer(back + Delay(), reply);
  });
}

void FakeWorld::DeliverHeartbeat(const EntryId& entry, const SendHeartbeat& send) {
  ++heartbeats_;

  for (const auto& [peer, node] : nodes_) {
    if (node.settings.identity.peer_address != send.peer) continue;
    if (IsLinkCut(entry.Text(), peer.Text()) || Chance(faults_.loss_probability)) return;

    const EntryId receiver = peer;
    ScheduleAt(now_ + Delay(), [=, this] {
      Deliver(receiver, IncarnationOf(receiver), Event{now_, HeartbeatReceived{send.heartbeat}});
    });
    return;
  }
}

void FakeWorld::TickAll() {
  for (auto& [vm, worker] : workers_) worker.Advance(now_);

  for (const auto& [entry, node] : nodes_) {
    // A paused process gets no ticks: the process's own clock makes them.
    if (node.state && !node.paused) Deliver(entry, IncarnationOf(entry), Event{now_, Tick{}});
  }

  CheckInvariants();
  ScheduleAt(now_ + kTickInterval, [this] { TickAll(); });
}

void FakeWorld::ReadLists() {
  if (!list_frozen_) {
    list_.clear();

    for (const auto& [vm, worker] : workers_) {
      list_.push_back(worker.Vm());
      list_.back().state = vm_states_.at(vm);
    }
  }

  for (const auto& [entry, node] : nodes_) {
    const bool reached = !kv_down_ && !IsLinkCut(entry.Text(), "kv");
    if (reached && !node.paused)
      Deliver(entry, IncarnationOf(entry), Event{now_, VmListRead{list_}});
  }

  ScheduleAt(now_ + kListInterval, [this] { ReadLists(); });
}

void FakeWorld::CheckInvariants() {
  for (const auto& [vm, worker] : workers_) {
    if (worker.IsOvercommitted()) violations_.insert("overcommitted " + vm.Text());
  }

  CheckOneWorkerPerTask();
}

void FakeWorld::CheckOneWorkerPerTask() {
  std::map<TaskKey, VmId> running;

  for (const auto& [vm, worker] : workers_) {
    for (const auto& [task, row] : worker.Rows()) {
      if (row.state != WorkerTaskState::kRunning) continue;

      const auto [other, inserted] = running.emplace(task, vm);
      if (inserted) continue;

      violations_.insert(task.job.Text() + "/" + std::to_string(task.index) + " runs on " +
                         other->second.Text() + " and " + vm.Text());
    }
  }
}

void FakeWorld::CheckStartedTask(const FakeWorker& worker) {
  const TaskKey& task = worker.Runs().back().task;
  const std::vector<int32_t> completed = CompletedTasks(worker.Vm().data_centre, task.job);

  if (std::ranges::find(completed, task.index) == completed.end()) return;

  violations_.insert(task.job.Text() + "/" + std::to_string(task.index) +
                     " ran again after its completion was recorded");
}

bool FakeWorld::IsLinkCut(const std::string& from, const std::string& to) const {
  return cut_links_.contains({from, to}) || cut_links_.contains({LocationOf(from), to}) ||
         cut_links_.contains({from, LocationOf(to)}) ||
         cut_links_.contains({LocationOf(from), LocationOf(to)});
}

std::string FakeWorld::LocationOf(const std::string& name) const {
  const auto node = nodes_.find(EntryId(name));
  return node == nodes_.end() ? name : node->second.settings.identity.data_centre.Text();
}

bool FakeWorld::Chance(double probability) {
  return std::uniform_real_distribution<>(0.0, 1.0)(random_) < probability;
}

Millis FakeWorld::Delay() {
  const int64_t max_delay =
      Chance(faults_.delay_probability) ? faults_.max_long_delay.Count() : kMaxShortDelay;

  return Millis(std::uniform_int_distribution<int64_t>(1, max_delay)(random_));
}

Incarnation FakeWorld::IncarnationOf(const EntryId& entry) const {
  return nodes_.at(entry).settings.identity.incarnation;
}

}  // namespace currantpost

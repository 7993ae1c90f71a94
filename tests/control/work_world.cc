#include "work_world.h"

#include "currantpost/model/codec.h"

namespace currantpost {
namespace {

constexpr Millis kTickInterval = Millis(100);
constexpr Millis kLostAnswerAfter = Millis(1'000);
constexpr Millis kWatchWait = Millis(5'000);
const DataCentreId kDataCentre("kumamoto");

}  // namespace

JobSpec WorkJob(const std::string& name, int32_t tasks, Millis run_time) {
  return JobSpec{.job = JobId(name),
                 .team = TeamId("pantry"),
                 .kind = "order",
                 .declared = Resources{.millicores = 1'000, .memory_mib = 1'000},
                 .task_count = tasks,
                 .run_time = run_time};
}

WorkWorld::WorkWorld(int entry_count, int racks, int workers_per_rack, uint64_t seed)
    : random_(seed) {
  int number = 0;

  for (int rack = 0; rack < racks; ++rack) {
    for (int worker = 0; worker < workers_per_rack; ++worker) {
      ++number;
      VmRecord vm{.vm = VmId("vm-" + std::to_string(number)),
                  .incarnation = 1,
                  .data_centre = kDataCentre,
                  .rack = RackId("rack-" + std::to_string(rack)),
                  .capacity = Resources{.millicores = 8'000, .memory_mib = 16'000},
                  .worker = Address{"127.0.0.1", 1000 + number}};
      const VmId id = vm.vm;
      workers.emplace(id, WorkWorker(std::move(vm), starts));
    }
  }

  for (int entry = 0; entry < entry_count; ++entry) StartEntry(EntryName(entry));
}

bool WorkWorld::Chance(double share) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < share;
}

Millis WorkWorld::Delay(Millis longest) {
  return Millis(std::uniform_int_distribution<int64_t>(1, longest.Count())(random_));
}

void WorkWorld::StartEntry(const EntryId& id) {
  ControlSettings settings;
  settings.identity.entry = id;
  settings.identity.incarnation = next_incarnation_++;
  settings.identity.data_centre = kDataCentre;

  WorkEntry& entry = entries[id];
  entry.state = std::make_unique<State>(settings);
  entry.state->configuration.known = true;
  entry.dead = false;
  entry.held_back.clear();
  ++entry.life;
}

void WorkWorld::RestartEntry(int entry) { StartEntry(EntryName(entry)); }

void WorkWorld::Pause(int entry, Millis span) {
  entries.at(EntryName(entry)).paused_until = now + span;
}

RequestId WorkWorld::Send(int entry, Command command) {
  const RequestId request = next_command_++;
  const EntryId id = EntryName(entry);
  Deliver(id, entries.at(id).life,
          Event{now,
                CommandReceived{request, "change-" + std::to_string(request), std::move(command)}});
  return request;
}

const CommandReply* WorkWorld::Answer(RequestId command) const {
  const auto answer = answers_.find(command);
  return answer == answers_.end() ? nullptr : &answer->second;
}

void WorkWorld::Run(Millis span) {
  const Millis end = now + span;

  while (now < end) {
    const Millis next_tick = now + kTickInterval;

    while (!actions_.empty() && actions_.begin()->first <= next_tick) {
      const auto first = actions_.begin();
      now = std::max(now, first->first);
      const Action action = std::move(first->second);
      actions_.erase(first);
      action();
    }

    now = next_tick;
    for (auto& [id, worker] : workers) worker.Advance(now);
    for (auto& [id, entry] : entries) Tick(id, entry);
    Check();
  }
}

std::vector<VmRecord> WorkWorld::VmList() const {
  std::vector<VmRecord> list;
  for (const auto& [id, worker] : workers) list.push_back(worker.Vm());
  return list;
}

void WorkWorld::ShowPeers(const EntryId& id, State& state) {
  for (const auto& [peer_id, peer] : entries) {
    if (peer_id == id) continue;

    const EntryIdentity& identity = peer.state->settings.identity;
    PeerState& seen = state.membership.peers[peer_id];
    const bool alive = !peer.dead && peer.paused_until <= now;
    if (!alive) {
      seen.alive = now < seen.heard_at + state.settings.peer_timeout;
      continue;
    }

    seen.known.entry = peer_id;
    seen.known.incarnation = identity.incarnation;
    seen.known.data_centre = identity.data_centre;
    seen.known.leaving = peer.state->shutdown.requested;
    seen.heard_at = now;
    seen.alive = true;
  }
}

void WorkWorld::Tick(const EntryId& id, WorkEntry& entry) {
  if (entry.dead || entry.paused_until > now) return;

  while (!entry.held_back.empty()) {
    Event event = std::move(entry.held_back.front());
    entry.held_back.pop_front();
    event.now = now;
    Reduce(entry, event);
  }

  State& state = *entry.state;
  ShowPeers(id, state);
  for (const VmRecord& vm : VmList()) state.upstreams.vms[vm.vm] = vm;
  state.upstreams.list_known = true;
  Reduce(entry, Event{now, VmListRead{VmList()}});
  Reduce(entry, Event{now, currantpost::Tick{}});
}

void WorkWorld::Deliver(const EntryId& id, uint64_t life, Event event) {
  WorkEntry& entry = entries.at(id);
  if (entry.dead || entry.life != life) return;

  if (entry.paused_until > now) {
    entry.held_back.push_back(std::move(event));
    return;
  }

  event.now = now;
  Reduce(entry, event);
}

void WorkWorld::Reduce(WorkEntry& entry, const Event& event) {
  Effects effects;
  currantpost::Reduce(*entry.state, event, effects);
  const EntryId id = entry.state->settings.identity.entry;
  for (const Effect& effect : effects) Carry(id, effect);
}

void WorkWorld::Carry(const EntryId& id, const Effect& effect) {
  if (const auto* call = std::get_if<KvCall>(&effect)) CarryKv(id, *call);
  if (const auto* watch = std::get_if<KvWatch>(&effect)) CarryWatch(id, *watch, now + kWatchWait);
  if (const auto* call = std::get_if<WorkerCall>(&effect)) CarryOrder(id, *call);
  if (const auto* reply = std::get_if<CommandReply>(&effect)) answers_[reply->command] = *reply;
}

void WorkWorld::CarryKv(const EntryId& id, const KvCall& call) {
  const uint64_t life = entries.at(id).life;
  const auto answer = [this, id, life, call](KvReply reply, Millis delay) {
    At(now + delay, [this, id, life, call, reply] {
      Deliver(id, life, Event{now, KvAnswered{call.request, reply}});
    });
  };

  if (!store_up || !entries.at(id).reaches_store) {
    answer(KvReply{.status = KvStatus::kUnavailable}, Delay(faults.longest_delay));
    return;
  }

  const bool call_lost = Chance(faults.lost_calls);
  const bool answer_lost = Chance(faults.lost_answers);

  if (call_lost) {
    answer(KvReply{.status = KvStatus::kUnknown}, kLostAnswerAfter);
    return;
  }

  // A call whose answer is lost may take effect after its sender has given it up.
  const Millis arrival = answer_lost ? Delay(kLostAnswerAfter * 3) : Delay(faults.longest_delay);
  if (answer_lost) answer(KvReply{.status = KvStatus::kUnknown}, kLostAnswerAfter);

  At(now + arrival, [this, call, answer, answer_lost] {
    const KvReply reply = store.Call(call);
    if (!answer_lost) answer(reply, Delay(faults.longest_delay));
  });
}

void WorkWorld::CarryWatch(const EntryId& id, const KvWatch& watch, Millis until) {
  const uint64_t life = entries.at(id).life;
  const bool reachable = store_up && entries.at(id).reaches_store;
  KvReply reply;
  if (reachable) reply = store.Changes(watch.prefix, watch.after);

  if (reachable && reply.entries.empty() && now < until) {
    At(now + Millis(20), [this, id, life, watch, until] {
      if (entries.at(id).life == life) CarryWatch(id, watch, until);
    });
    return;
  }

  if (!reachable) reply.status = KvStatus::kUnavailable;
  At(now + Delay(faults.longest_delay), [this, id, life, watch, reply] {
    Deliver(id, life, Event{now, KvWatchAnswered{watch.request, reply}});
  });
}

void WorkWorld::CarryOrder(const EntryId& id, const WorkerCall& call) {
  const uint64_t life = entries.at(id).life;
  const auto answer = [this, id, life, call](WorkerReply reply, Millis delay) {
    At(now + delay, [this, id, life, call, reply] {
      Deliver(id, life, Event{now, WorkerAnswered{call.request, call.worker, reply}});
    });
  };

  const WorkWorker& target = workers.at(call.worker);

  if (target.dead || target.cut_off_from.contains(id)) {
    answer(WorkerReply{.status = WorkerStatus::kUnreachable}, Delay(faults.longest_delay));
    return;
  }

  const auto arrive = [this, call] {
    WorkWorker& worker = workers.at(call.worker);
    WorkerReply reply;
    if (!worker.dead) reply = worker.Handle(call, now);
    Check();
    return reply;
  };

  const bool answer_lost = Chance(faults.lost_answers);

  if (Chance(faults.repeated_orders)) {
    At(now + Delay(faults.longest_repeat_delay), [arrive] { arrive(); });
  }

  if (Chance(faults.lost_calls)) {
    answer(WorkerReply{.status = WorkerStatus::kUnknown}, kLostAnswerAfter);
    return;
  }

  if (answer_lost) answer(WorkerReply{.status = WorkerStatus::kUnknown}, kLostAnswerAfter);
  const Millis arrival =
      answer_lost ? Delay(faults.longest_repeat_delay) : Delay(faults.longest_delay);

  At(now + arrival, [this, arrive, answer, answer_lost] {
    const WorkerReply reply = arrive();
    if (!answer_lost) answer(reply, Delay(faults.longest_delay));
  });
}

void WorkWorld::Check() {
  std::map<TaskKey, VmId> running;

  for (const auto& [id, worker] : workers) {
    for (const TaskKey& key : worker.Running()) {
      const std::string name = key.job.Text() + "/" + std::to_string(key.index);
      const auto [other, inserted] = running.emplace(key, id);
      if (!inserted)
        violations.push_back(name + " runs at " + other->second.Text() + " and " + id.Text());
    }

    if (!FitsWithin(worker.Held(), worker.Vm().capacity)) {
      violations.push_back(id.Text() + " is over its capacity");
    }
  }

  CheckCompletions();
}

void WorkWorld::CheckCompletions() {
  for (const auto& [key, entry] : store.Entries()) {
    if (!key.starts_with("parts/") || !entry.value) continue;

    const Result<PartRecord> record = DecodePartRecord(*entry.value);
    if (!record) continue;

    for (const int32_t index : record->completed) completed_.insert(TaskKey{record->job, index});
  }

  for (const TaskKey& key : completed_) {
    if (!Completed(key.job).contains(key.index)) {
      violations.push_back("a completion of " + key.job.Text() + " was lost");
    }
  }
}

std::set<int32_t> WorkWorld::Completed(const JobId& job) const {
  std::set<int32_t> completed;

  for (const auto& [key, entry] : store.Entries()) {
    if (!key.starts_with("parts/") || !key.ends_with("/" + job.Text())) continue;

    const Result<PartRecord> record = DecodePartRecord(*entry.value);
    if (record) completed.insert(record->completed.begin(), record->completed.end());
  }

  return completed;
}

std::set<int32_t> WorkWorld::GivenUp(const JobId& job) const {
  std::set<int32_t> failed;

  for (const auto& [key, entry] : store.Entries()) {
    if (!key.starts_with("parts/") || !key.ends_with("/" + job.Text())) continue;

    const Result<PartRecord> record = DecodePartRecord(*entry.value);
    if (record) failed.insert(record->failed.begin(), record->failed.end());
  }

  return failed;
}

int64_t WorkWorld::Owners(const RackId& rack) const {
  int64_t owners = 0;

  for (const auto& [id, entry] : entries) {
    if (!entry.dead && entry.state->work.owned.contains(rack)) ++owners;
  }

  return owners;
}

size_t WorkWorld::Running() const {
  size_t running = 0;
  for (const auto& [id, worker] : workers) running += worker.Running().size();
  return running;
}

}  // namespace currantpost

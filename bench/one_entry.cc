#include "one_entry.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_format.h"
#include "currantpost/model/codec.h"
#include "currantpost/peer/heartbeat_message.h"

namespace currantpost::bench {
namespace {

constexpr Millis kTick = Millis(50);
constexpr Millis kRound = Millis(500);
constexpr Millis kListInterval = Millis(1'000);
constexpr Millis kWatchTimeout = Millis(10'000);
/// Peers of the own data centre that reach one entry in a round.
constexpr size_t kLocalPerRound = 4;
constexpr size_t kKnownPerHeartbeat = 4;
constexpr int kRemoteEvery = 2;
constexpr int kForeignDataCentres = 24;
constexpr int kPeerPort = 7'100;
constexpr int kOperatorPort = 7'200;
constexpr int kWorkerPort = 7'300;
constexpr int kUpstreamPort = 7'400;
constexpr Incarnation kLife = 1'764'828'000'000;
constexpr Resources kCapacity{64'000, 250'000, 2};

DataCentreId OwnDataCentre() { return DataCentreId("dc-00"); }

EntryId EntryName(int data_centre, int number) {
  return EntryId(absl::StrFormat("dc-%02d-entry-%02d", data_centre, number));
}

Address AddressOf(int data_centre, int number, int port) {
  return Address{absl::StrFormat("10.%d.%d.%d", data_centre, number / 250, number % 250 + 1), port};
}

ControlSettings SettingsOf(const Surroundings& surroundings) {
  ControlSettings settings;
  settings.identity = EntryIdentity{EntryName(0, 0), kLife, OwnDataCentre(),
                                    AddressOf(0, 0, kPeerPort), AddressOf(0, 0, kOperatorPort)};
  settings.entries_per_data_centre = surroundings.entries;
  settings.completion_interval = surroundings.completion_interval;
  return settings;
}

/// Spreads the run times of a job's tasks, which differ although they are declared alike.
WorkerCall WithOwnRunTime(WorkerCall call) {
  if (auto* start = std::get_if<StartTask>(&call.order)) {
    constexpr int64_t kPercent = 100;
    constexpr int64_t kStep = 37;
    const int64_t more = start->task.index * kStep % kPercent;
    start->run_time = start->run_time * (kPercent + more) / kPercent;
  }

  return call;
}

Heartbeat PeerOf(int data_centre, int number) {
  Heartbeat peer;
  peer.sender.entry = EntryName(data_centre, number);
  peer.sender.incarnation = kLife;
  peer.sender.data_centre = DataCentreId(absl::StrFormat("dc-%02d", data_centre));
  peer.sender.peer_address = AddressOf(data_centre, number, kPeerPort);
  peer.sender.operator_address = AddressOf(data_centre, number, kOperatorPort);
  return peer;
}

VmRecord VmOf(int data_centre, int number, int per_rack) {
  const std::string rack = absl::StrFormat("dc-%02d-rack-%03d", data_centre, number / per_rack);

  return VmRecord{VmId(absl::StrFormat("%s-vm-%02d", rack, number % per_rack)),
                  kLife,
                  DataCentreId(absl::StrFormat("dc-%02d", data_centre)),
                  RackId(rack),
                  VmState::kLive,
                  kCapacity,
                  AddressOf(data_centre, number, kWorkerPort),
                  AddressOf(data_centre, number, kUpstreamPort)};
}

int64_t SizeOf(const Heartbeat& heartbeat) {
  return static_cast<int64_t>(ToMessage(heartbeat).ByteSizeLong());
}

}  // namespace

JobSpec FillingJob(const std::string& name, int tasks, int per_worker, Millis run_time) {
  // Room for one task more than asked would be filled too, so a little is left over.
  const auto share = static_cast<int64_t>(static_cast<double>(kCapacity.millicores) * 0.7);
  return JobSpec{.job = JobId(name),
                 .team = TeamId("team-17"),
                 .kind = "sediment-review",
                 .declared = Resources{share / per_worker, 16, 0},
                 .task_count = tasks,
                 .run_time = run_time};
}

OneEntry::OneEntry(const Surroundings& surroundings)
    : surroundings_(surroundings), state_(SettingsOf(surroundings)) {
  MakeList();
  MakePeers();
  GiveRacksToPeers();

  for (const Heartbeat& peer : peers_) Take(HeartbeatReceived{peer});
  Run(Millis(8'000));
}

void OneEntry::Run(Millis span) {
  const Millis end = now_ + span;

  while (now_ < end) {
    now_ = now_ + kTick;

    if (now_ >= next_list_) {
      next_list_ = now_ + kListInterval;
      Take(VmListRead{list_});
    }

    HearPeers();
    AnswerWatches();
    Take(Tick{});
    Deliver();
  }
}

double OneEntry::Take(Body body) {
  const Event event{now_, std::move(body)};
  Effects effects;
  const auto begin = std::chrono::steady_clock::now();
  Reduce(state_, event, effects);
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;

  spent_ += taken.count();
  KindCost& cost = costs_[event.body.index()];
  ++cost.events;
  cost.seconds += taken.count();

  for (const Effect& effect : effects) CarryOut(effect);
  return taken.count();
}

double OneEntry::Probe(Body body) {
  const Event event{now_, std::move(body)};
  Effects effects;
  const auto begin = std::chrono::steady_clock::now();
  Reduce(state_, event, effects);
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

void OneEntry::Submit(const JobSpec& spec) {
  const RequestId command = next_command_++;
  Take(CommandReceived{command, "change-" + std::to_string(command), SubmitJob{spec}});
}

int64_t OneEntry::OwnedRacks() const { return static_cast<int64_t>(state_.work.owned.size()); }

int64_t OneEntry::OwnedWorkers() const {
  int64_t workers = 0;
  for (const auto& [id, rack] : state_.work.racks) {
    if (rack.phase == RackPhase::kOpen) workers += static_cast<int64_t>(rack.workers.size());
  }

  return workers;
}

int64_t OneEntry::RunningTasks() const {
  int64_t running = 0;
  for (const auto& [id, rack] : state_.work.racks) {
    for (const auto& [job, part] : rack.parts) {
      running += std::ranges::count_if(
          part.active, [](const auto& named) { return named.second.phase == TaskPhase::kRunning; });
    }
  }

  return running;
}

Heartbeat OneEntry::HeartbeatOf(size_t peer) const {
  Heartbeat heartbeat = peers_[peer];
  heartbeat.sender.configuration_revision = state_.configuration.current.revision;
  // Peers pass on the same leaving upstreams as this entry.
  heartbeat.leaving_upstreams = own_leaving_;
  return heartbeat;
}

void OneEntry::MakeList() {
  for (int number = 0; number < surroundings_.workers; ++number) {
    list_.push_back(VmOf(0, number, surroundings_.workers_per_rack));
    workers_.emplace(list_.back().vm, FakeWorker(list_.back()));
  }

  for (int number = 0; number < surroundings_.foreign_vms; ++number) {
    list_.push_back(VmOf(1 + number % kForeignDataCentres, number / kForeignDataCentres,
                         surroundings_.workers_per_rack));
    if (number < surroundings_.leaving) list_.back().state = VmState::kLeaving;
  }
}

void OneEntry::MakePeers() {
  for (int number = 1; number < surroundings_.entries; ++number) {
    peers_.push_back(PeerOf(0, number));
  }

  for (int number = 0; number < surroundings_.foreign_entries; ++number) {
    peers_.push_back(PeerOf(1 + number % kForeignDataCentres, number / kForeignDataCentres));
  }

  for (size_t peer = 0; peer < peers_.size(); ++peer) {
    peer_at_[peers_[peer].sender.peer_address] = peer;
  }
}

EntryId OneEntry::BestOwner(const RackId& rack) const {
  EntryId best;
  uint64_t highest = 0;

  for (int number = 0; number < surroundings_.entries; ++number) {
    const std::string text = EntryName(0, number).Text() + "/" + rack.Text();
    const uint64_t weight = XXH64(text.data(), text.size(), 0);
    if (weight < highest) continue;

    highest = weight;
    best = EntryName(0, number);
  }

  return best;
}

void OneEntry::GiveRacksToPeers() {
  std::map<RackId, RackRecord> records;

  for (const VmRecord& vm : list_) {
    if (vm.data_centre != OwnDataCentre()) continue;

    const EntryId owner = BestOwner(vm.rack);
    if (owner == EntryName(0, 0)) continue;

    RackRecord& record = records[vm.rack];
    record.owner = owner;
    record.incarnation = kLife;
    record.epoch = 1;
    record.members.push_back(RackMember{vm.vm, vm.incarnation, vm.worker});
  }

  for (const auto& [rack, record] : records) {
    kv_.Apply(KvCall{0, KvPut{"dc/dc-00/racks/" + rack.Text(), Encode(record), 0}});

    for (Heartbeat& peer : peers_) {
      if (peer.sender.entry == record.owner) peer.racks.push_back(RackClaim{rack, 1});
    }
  }
}

/// Lets those peers speak whose turn it is, as often as entries speak to each other.
void OneEntry::HearPeers() {
  if (now_ < next_round_) return;

  next_round_ = now_ + kRound;
  const auto local = static_cast<size_t>(surroundings_.entries - 1);
  const size_t remote = peers_.size() - local;

  for (size_t turn = 0; turn < std::min(local, kLocalPerRound); ++turn) {
    const size_t peer = (static_cast<size_t>(round_) * kLocalPerRound + turn) % local;
    Hear(HeartbeatOf(peer));
  }

  if (remote > 0 && round_ % kRemoteEvery == 0) {
    const size_t peer = local + static_cast<size_t>(round_ / kRemoteEvery) % remote;
    Heartbeat heartbeat = HeartbeatOf(peer);

    for (size_t known = 0; known < std::min(kKnownPerHeartbeat, peers_.size()); ++known) {
      heartbeat.known.push_back(
          peers_[(static_cast<size_t>(round_) * kKnownPerHeartbeat + known) % peers_.size()]
              .sender);
    }

    Hear(std::move(heartbeat));
  }

  ++round_;
}

/// Takes a peer's heartbeat, and counts it and the answer.
void OneEntry::Hear(Heartbeat heartbeat) {
  traffic_.heartbeat_bytes += SizeOf(heartbeat) + own_size_;
  ++traffic_.heartbeats_taken;
  Take(HeartbeatReceived{std::move(heartbeat)});
}

void OneEntry::Deliver() {
  while (!answers_.empty()) {
    Body body = std::move(answers_.front());
    answers_.pop_front();
    Take(std::move(body));
  }
}

void OneEntry::CarryOut(const Effect& effect) {
  if (const auto* call = std::get_if<KvCall>(&effect)) CarryOut(*call);
  if (const auto* watch = std::get_if<KvWatch>(&effect)) CarryOut(*watch);
  if (const auto* order = std::get_if<WorkerCall>(&effect)) CarryOut(*order);
  if (const auto* send = std::get_if<SendHeartbeat>(&effect)) CarryOut(*send);
  if (std::holds_alternative<LogLine>(effect)) ++traffic_.log_lines;
}

void OneEntry::CarryOut(const KvCall& call) {
  if (std::holds_alternative<KvGet>(call.body)) {
    ++traffic_.kv_reads;
  } else if (std::holds_alternative<KvList>(call.body)) {
    ++traffic_.kv_lists;
  } else {
    ++traffic_.kv_writes;
  }

  answers_.emplace_back(KvAnswered{call.request, kv_.Apply(call)});
}

void OneEntry::CarryOut(const KvWatch& watch) {
  ++traffic_.kv_watches;
  watches_.push_back(Waiting{watch, now_ + kWatchTimeout});
}

void OneEntry::CarryOut(const WorkerCall& call) {
  ++traffic_.orders;
  const auto worker = workers_.find(call.worker);
  if (worker == workers_.end()) return;

  answers_.emplace_back(WorkerAnswered{call.request, call.worker,
                                       worker->second.ExecuteOrder(WithOwnRunTime(call), now_)});
}

void OneEntry::CarryOut(const SendHeartbeat& send) {
  ++traffic_.heartbeats_sent;
  own_size_ = SizeOf(send.heartbeat);
  own_leaving_ = send.heartbeat.leaving_upstreams;
  traffic_.heartbeat_bytes += own_size_;

  const auto peer = peer_at_.find(send.peer);
  if (peer == peer_at_.end()) return;

  Heartbeat answer = HeartbeatOf(peer->second);
  traffic_.heartbeat_bytes += SizeOf(answer);
  answers_.emplace_back(HeartbeatReceived{std::move(answer)});
}

/// Answers watches that have a change or have waited long enough.
void OneEntry::AnswerWatches() {
  std::vector<Waiting> waiting = std::exchange(watches_, {});

  for (Waiting& each : waiting) {
    KvReply reply = kv_.ChangesAfter(each.watch.prefix, each.watch.after);

    if (reply.entries.empty() && now_ < each.until) {
      watches_.push_back(std::move(each));
    } else {
      answers_.emplace_back(KvWatchAnswered{each.watch.request, std::move(reply)});
    }
  }
}

}  // namespace currantpost::bench

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "currantpost/control/reducer.h"
#include "fake_kv.h"
#include "fake_worker.h"

namespace currantpost::bench {

/// What one entry has around it.
struct Surroundings {
  /// Workers of the entry's own data centre.
  int workers = 48;
  int workers_per_rack = 8;
  /// VMs that the platform lists in other data centres.
  int foreign_vms = 96;
  /// Entries of the own data centre, the measured one among them.
  int entries = 3;
  /// Entries of other data centres.
  int foreign_entries = 6;
  /// Lives of upstreams elsewhere that are known to be leaving.
  int leaving = 0;
  /// How long completions are collected before they are written.
  Millis completion_interval = Millis(500);
};

/// Calls and messages that an entry made.
struct Traffic {
  int64_t kv_reads = 0;
  int64_t kv_lists = 0;
  int64_t kv_writes = 0;
  int64_t kv_watches = 0;
  int64_t orders = 0;
  int64_t heartbeats_sent = 0;
  int64_t heartbeats_taken = 0;
  /// Sizes of the messages in both directions, as protobuf.
  int64_t heartbeat_bytes = 0;
  int64_t log_lines = 0;
};

/// Events of one kind, and the time that `Reduce` took for them.
struct KindCost {
  int64_t events = 0;
  double seconds = 0.0;
};

/// A real reducer of one entry. Its store, workers and peers are in memory and answer at once, and
/// only the time spent in `Reduce` is counted.
class OneEntry {
 public:
  using Body = decltype(Event::body);

  explicit OneEntry(const Surroundings& surroundings);

  /// Lets simulated time pass, with ticks, heartbeats and all answers.
  void Run(Millis span);

  /// Reduces one event and answers what it asks for. Returns the seconds that the event alone took.
  double Take(Body body);

  /// Reduces one event and drops what it asks for. Returns the seconds that it took.
  double Probe(Body body);

  /// Submits a batch job through this entry.
  void Submit(const JobSpec& spec);

  /// Delivers all answers that wait.
  void Deliver();

  /// Tells how much time `Reduce` has taken up to now, in seconds.
  [[nodiscard]] double Spent() const { return spent_; }
  /// Tells the same for events with this body alone.
  template <typename Kind>
  [[nodiscard]] KindCost CostOf() const {
    return costs_[Body(Kind{}).index()];
  }
  [[nodiscard]] const Traffic& Seen() const { return traffic_; }
  [[nodiscard]] State& Entry() { return state_; }
  [[nodiscard]] FakeKv& Kv() { return kv_; }
  [[nodiscard]] const std::vector<VmRecord>& List() const { return list_; }

  [[nodiscard]] int64_t OwnedWorkers() const;
  [[nodiscard]] int64_t OwnedRacks() const;
  [[nodiscard]] int64_t RunningTasks() const;
  /// Heartbeat as the given peer would send it.
  [[nodiscard]] Heartbeat HeartbeatOf(size_t peer) const;

 private:
  void MakeList();
  void MakePeers();
  void GiveRacksToPeers();
  void HearPeers();
  void Hear(Heartbeat heartbeat);
  void CarryOut(const Effect& effect);
  void CarryOut(const KvCall& call);
  void CarryOut(const KvWatch& watch);
  void CarryOut(const WorkerCall& call);
  void CarryOut(const SendHeartbeat& send);
  void AnswerWatches();
  [[nodiscard]] EntryId BestOwner(const RackId& rack) const;

  Surroundings surroundings_;
  State state_;
  FakeKv kv_;
  std::map<VmId, FakeWorker> workers_;
  std::vector<VmRecord> list_;
  /// Peers of the own data centre first.
  std::vector<Heartbeat> peers_;
  std::map<Address, size_t> peer_at_;

  struct Waiting {
    KvWatch watch;
    Millis until;
  };

  std::vector<Waiting> watches_;
  std::deque<Body> answers_;
  Traffic traffic_;
  /// Size of the last heartbeat that was sent; answers are as long.
  int64_t own_size_ = 0;
  std::vector<LeavingUpstream> own_leaving_;
  double spent_ = 0.0;
  std::array<KindCost, std::variant_size_v<Body>> costs_;
  Millis now_ = Millis(1'000);
  Millis next_round_ = Millis(1'000);
  Millis next_list_ = Millis(1'000);
  int64_t round_ = 0;
  RequestId next_command_ = 1;
};

/// A batch job whose tasks fill a worker's share for batch when `per_worker` run there.
JobSpec FillingJob(const std::string& name, int tasks, int per_worker, Millis run_time);

}  // namespace currantpost::bench

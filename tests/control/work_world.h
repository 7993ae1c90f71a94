#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "currantpost/control/reducer.h"

/// A small data centre for tests of the work feature: a store, workers, entries and a network
/// between them that can lose, delay and repeat.

namespace currantpost {

/// How bad the network is. All are shares of calls, 0 to 1.
struct WorkFaults {
  double lost_calls = 0.0;
  double lost_answers = 0.0;
  /// Orders to workers that arrive once more, long after.
  double repeated_orders = 0.0;
  Millis longest_delay = Millis(2);
  Millis longest_repeat_delay = Millis(30'000);
};

/// A store with compare-and-swap, in memory.
class WorkStore {
 public:
  KvReply Call(const KvCall& call);
  KvReply Changes(const std::string& prefix, KvRevision after) const;
  [[nodiscard]] const std::map<std::string, KvEntry>& Entries() const { return entries_; }

 private:
  KvReply Put(const KvPut& put);

  std::map<std::string, KvEntry> entries_;
  KvRevision revision_ = 0;
};

/// A worker with a table, leases and fencing.
class WorkWorker {
 public:
  WorkWorker(VmRecord vm, int64_t& starts) : vm_(std::move(vm)), starts_(&starts) {}

  WorkerReply Handle(const WorkerCall& call, Millis now);
  /// Lets leases lapse and tasks finish.
  void Advance(Millis now);
  /// Begins a new life with an empty table.
  void Restart();
  [[nodiscard]] std::vector<TaskKey> Running() const;
  [[nodiscard]] Resources Held() const;
  [[nodiscard]] const VmRecord& Vm() const { return vm_; }

  /// No order reaches it, and nothing runs.
  bool dead = false;
  /// Entries that cannot reach it.
  std::set<EntryId> cut_off_from;
  /// Tasks fail in place of finishing.
  bool fails_everything = false;

 private:
  struct Row {
    WorkerTask task;
    Millis lease_until;
    Millis ends_at;
  };

  WorkerStatus Apply(const WorkerOrder& order, Millis now);
  WorkerStatus Start(const StartTask& start, Millis now);

  VmRecord vm_;
  int64_t* starts_;
  Epoch epoch_ = 0;
  std::map<TaskKey, Row> rows_;
};

/// One entry process.
struct WorkEntry {
  std::unique_ptr<State> state;
  bool dead = false;
  bool reaches_store = true;
  Millis paused_until;
  std::deque<Event> held_back;
  uint64_t life = 0;
};

/// Everything together, in simulated time.
class WorkWorld {
 public:
  WorkWorld(int entries, int racks, int workers_per_rack, uint64_t seed);

  /// Lets time pass, in steps of one millisecond of events and 100 ms ticks.
  void Run(Millis span);
  RequestId Send(int entry, Command command);
  /// Returns the answer to a command, or null if there is none yet.
  const CommandReply* Answer(RequestId command) const;
  void RestartEntry(int entry);
  void Pause(int entry, Millis span);

  [[nodiscard]] std::set<int32_t> Completed(const JobId& job) const;
  [[nodiscard]] std::set<int32_t> GivenUp(const JobId& job) const;
  [[nodiscard]] int64_t Owners(const RackId& rack) const;
  [[nodiscard]] size_t Running() const;

  std::map<EntryId, WorkEntry> entries;
  std::map<VmId, WorkWorker> workers;
  WorkStore store;
  bool store_up = true;
  WorkFaults faults;
  Millis now = Millis(1'000'000);
  int64_t starts = 0;
  /// Promises seen broken.
  std::vector<std::string> violations;

 private:
  using Action = std::function<void()>;

  static EntryId EntryName(int entry) { return EntryId("entry-" + std::to_string(entry)); }
  void At(Millis time, Action action) { actions_.emplace(time, std::move(action)); }
  [[nodiscard]] bool Chance(double share);
  Millis Delay(Millis longest);
  void StartEntry(const EntryId& id);
  void Deliver(const EntryId& id, uint64_t life, Event event);
  void Reduce(WorkEntry& entry, const Event& event);
  void Carry(const EntryId& id, const Effect& effect);
  void CarryKv(const EntryId& id, const KvCall& call);
  void CarryWatch(const EntryId& id, const KvWatch& watch, Millis until);
  void CarryOrder(const EntryId& id, const WorkerCall& call);
  void Tick(const EntryId& id, WorkEntry& entry);
  void ShowPeers(const EntryId& id, State& state);
  std::vector<VmRecord> VmList() const;
  void Check();
  void CheckCompletions();

  std::multimap<Millis, Action> actions_;
  std::map<RequestId, CommandReply> answers_;
  RequestId next_command_ = 1'000'000;
  Incarnation next_incarnation_ = 1;
  std::mt19937_64 random_;
  std::set<TaskKey> completed_;
};

/// Makes the specification of a batch job of small tasks.
JobSpec WorkJob(const std::string& name, int32_t tasks, Millis run_time);

}  // namespace currantpost

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/control/reducer.h"
#include "fake_kv.h"
#include "fake_worker.h"

namespace currantpost {

/// Layout of a `FakeWorld`. Entries and racks are per data centre, workers per rack.
struct WorldShape {
  int32_t data_centres = 2;
  int32_t entries = 3;
  int32_t racks = 2;
  int32_t workers = 2;
  Resources capacity = {.millicores = 4'000, .memory_mib = 4'096, .accelerators = 1};
};

/// Message faults. Probabilities are per message.
struct WorldFaults {
  double loss_probability = 0.0;
  double duplicate_probability = 0.0;
  /// Probability that a message takes up to `max_long_delay` instead of a few milliseconds.
  double delay_probability = 0.0;
  Millis max_long_delay = Millis(6'000);
};

/// An operator's or caller's command and its reply.
struct CommandRecord {
  EntryId entry;
  std::string change_id;
  Command body;
  std::optional<CommandReply> reply;
  Millis replied_at;
};

/// Simulates entries with real reducers, workers and the platform in simulated time.
///
/// The seed determines every event. The world also checks the invariants: after every tick and
/// worker call, against the records of the workers and the platform. These checks never use a
/// reducer's state, except that an entry's configuration revision must not decrease. A second reply
/// to a command is a violation, too.
class FakeWorld {
 public:
  FakeWorld(uint64_t seed, WorldShape shape);

  /// Advances the simulated time and executes the events that fall due.
  void Run(Millis span);

  void Kill(const EntryId& entry);
  /// Starts an entry as a new incarnation with empty state.
  void Start(const EntryId& entry);
  void Pause(const EntryId& entry);
  void Resume(const EntryId& entry);
  /// Requests a planned shutdown of an entry.
  void Shutdown(const EntryId& entry);

  /// Cuts the link in one direction. `from` and `to` name an entry, a VM, "kv" or a data centre; a
  /// data centre stands for all its entries.
  void CutLink(const std::string& from, const std::string& to) { cut_links_.emplace(from, to); }
  void RestoreLinks() { cut_links_.clear(); }
  void SetKvDown(bool down) { kv_down_ = down; }
  void SetFaults(WorldFaults faults) { faults_ = faults; }
  void SetVmState(const VmId& vm, VmState state);
  void ReplaceWorker(const VmId& vm);
  /// While frozen, the list of VMs that entries read does not change.
  void FreezeList(bool frozen);

  /// Ends all faults: no message faults, and nothing is cut, down, frozen or leaving. Resumes
  /// paused entries and starts killed ones.
  void EndAllFaults();

  /// Sends a command to an entry. Returns its index in `Commands`.
  size_t Submit(const EntryId& entry, Command command);
  void Report(const EntryId& entry, TrafficReported report);

  [[nodiscard]] const std::vector<CommandRecord>& Commands() const { return commands_; }
  [[nodiscard]] const State& StateOf(const EntryId& entry) const { return *nodes_.at(entry).state; }
  [[nodiscard]] bool IsUp(const EntryId& entry) const { return nodes_.at(entry).state != nullptr; }
  [[nodiscard]] bool HasExited(const EntryId& entry) const { return nodes_.at(entry).exited; }
  [[nodiscard]] std::vector<EntryId> Entries() const;
  [[nodiscard]] std::map<VmId, FakeWorker>& Workers() { return workers_; }
  [[nodiscard]] FakeKv& Kv() { return kv_; }
  [[nodiscard]] Millis Now() const { return now_; }
  /// Returns the last routing snapshot that an entry published, or null.
  [[nodiscard]] std::shared_ptr<const RoutingSnapshot> Routing(const EntryId& entry) const;
  /// Returns the number of key-value calls, watches included.
  [[nodiscard]] int64_t KvCalls() const { return kv_calls_; }
  /// Returns the number of heartbeats sent.
  [[nodiscard]] int64_t Heartbeats() const { return heartbeats_; }

  /// Returns the invariants that were violated, or an empty set.
  [[nodiscard]] const std::set<std::string>& Violations() const { return violations_; }

  /// Returns the indexes of the tasks of a job that are recorded as completed, sorted. An index
  /// that is recorded twice is returned twice.
  [[nodiscard]] std::vector<int32_t> CompletedTasks(const DataCentreId& data_centre,
                                                    const JobId& job) const;

 private:
  struct Node {
    ControlSettings settings;
    std::unique_ptr<State> state;
    /// Events that arrived while the process was paused.
    std::vector<Event> deferred_events;
    bool paused = false;
    bool exited = false;
    int64_t highest_revision = 0;
    std::shared_ptr<const RoutingSnapshot> routing;
  };

  struct ScheduledAction {
    Millis at;
    uint64_t sequence;
    std::function<void()> action;

    bool operator>(const ScheduledAction& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  struct PendingWatch {
    EntryId entry;
    Incarnation incarnation;
    KvWatch watch;
  };

  void AddEntries();
  void AddWorkers();
  void ScheduleAt(Millis at, std::function<void()> action);
  void Deliver(const EntryId& entry, Incarnation incarnation, Event event);
  void Handle(Node& node, Event event);
  void ExecuteEffect(const EntryId& entry, const Effect& effect);
  void ExecuteKvCall(const EntryId& entry, const KvCall& call);
  void ExecuteKvWatch(const EntryId& entry, const KvWatch& watch);
  void ExecuteWorkerCall(const EntryId& entry, const WorkerCall& call);
  void DeliverHeartbeat(const EntryId& entry, const SendHeartbeat& send);
  void AnswerWatches();
  void TickAll();
  void ReadLists();
  void CheckInvariants();
  void CheckOneWorkerPerTask();
  void CheckStartedTask(const FakeWorker& worker);

  [[nodiscard]] bool IsLinkCut(const std::string& from, const std::string& to) const;
  [[nodiscard]] bool Chance(double probability);
  [[nodiscard]] Millis Delay();
  [[nodiscard]] Incarnation IncarnationOf(const EntryId& entry) const;
  [[nodiscard]] std::string LocationOf(const std::string& name) const;

  std::mt19937_64 random_;
  WorldShape shape_;
  WorldFaults faults_;
  Millis now_ = Millis(1'000);
  uint64_t next_sequence_ = 0;
  uint64_t incarnations_ = 0;
  bool kv_down_ = false;
  bool list_frozen_ = false;
  int64_t kv_calls_ = 0;
  int64_t heartbeats_ = 0;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>>
      scheduled_actions_;

  FakeKv kv_;
  std::map<VmId, FakeWorker> workers_;
  std::map<VmId, VmState> vm_states_;
  std::vector<VmRecord> list_;
  std::map<EntryId, Node> nodes_;
  std::vector<PendingWatch> pending_watches_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::vector<CommandRecord> commands_;
  std::map<RequestId, size_t> command_indexes_;
  std::set<std::string> violations_;
};

}  // namespace currantpost

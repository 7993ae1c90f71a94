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

/// How a `FakeWorld` is laid out.
struct WorldShape {
  int32_t data_centres = 2;
  int32_t entries = 3;
  int32_t racks = 2;
  int32_t workers = 2;
  Resources capacity = {.millicores = 4'000, .memory_mib = 4'096, .accelerators = 1};
};

/// How badly messages fare. Probabilities are per message.
struct WorldFaults {
  double lose = 0.0;
  double repeat = 0.0;
  /// Chance that a message takes up to `long_delay` instead of a few milliseconds.
  double delay = 0.0;
  Millis long_delay = Millis(6'000);
};

/// An operator's or caller's command and its answer.
struct CommandRecord {
  EntryId entry;
  std::string change_id;
  Command body;
  std::optional<CommandReply> reply;
  Millis replied_at;
};

/// Several entries, workers and the platform around real reducers, in simulated time.
///
/// All that happens follows from the seed. The world is the observer too: it looks at the
/// workers' and the platform's own records after every event, never at a reducer's.
class FakeWorld {
 public:
  FakeWorld(uint64_t seed, WorldShape shape);

  /// Lets time pass.
  void Run(Millis span);

  void Kill(const EntryId& entry);
  /// Starts an entry anew, without memory.
  void Start(const EntryId& entry);
  void Pause(const EntryId& entry);
  void Resume(const EntryId& entry);
  /// Asks an entry for a planned stop.
  void Shutdown(const EntryId& entry);

  /// Cuts or mends the way from one place to another. Places are entries, VMs, "kv" and data
  /// centres; a data centre stands for all its entries.
  void Cut(const std::string& from, const std::string& to) { cuts_.emplace(from, to); }
  void Mend() { cuts_.clear(); }
  void SetKvDown(bool down) { kv_down_ = down; }
  void SetFaults(WorldFaults faults) { faults_ = faults; }
  void SetVmState(const VmId& vm, VmState state);
  void ReplaceWorker(const VmId& vm);
  /// The list of VMs that entries read stays as it is until it is let go on.
  void FreezeList(bool frozen);

  /// Ends all faults: messages fare well, nothing is cut, down, frozen or leaving, and every entry
  /// runs.
  void Heal();

  /// Hands an entry a command. Returns its place in `Commands`.
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
  /// The last snapshot that an entry gave its traffic threads, or nothing.
  [[nodiscard]] std::shared_ptr<const RoutingSnapshot> Routing(const EntryId& entry) const;
  /// How often a key-value call was made, of any kind.
  [[nodiscard]] int64_t KvCalls() const { return kv_calls_; }

  /// What the observer saw that must never be seen; empty if all held.
  [[nodiscard]] const std::set<std::string>& Violations() const { return violations_; }

  /// Returns the numbers of the tasks of a job that its records say are completed, each as often
  /// as it is recorded.
  [[nodiscard]] std::vector<int32_t> CompletedTasks(const DataCentreId& data_centre,
                                                    const JobId& job) const;

 private:
  struct Node {
    ControlSettings settings;
    std::unique_ptr<State> state;
    /// Events that came while the process was paused.
    std::vector<Event> held;
    bool paused = false;
    bool exited = false;
    int64_t highest_revision = 0;
    std::shared_ptr<const RoutingSnapshot> routing;
  };

  struct Happening {
    Millis at;
    uint64_t order;
    std::function<void()> action;

    bool operator>(const Happening& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  struct Waiting {
    EntryId entry;
    Incarnation life;
    KvWatch watch;
  };

  void AddEntries();
  void AddWorkers();
  void At(Millis at, std::function<void()> action);
  void Deliver(const EntryId& entry, Incarnation life, Event event);
  void Handle(Node& node, Event event);
  void CarryOut(const EntryId& entry, const Effect& effect);
  void CarryOutKv(const EntryId& entry, const KvCall& call);
  void CarryOutWatch(const EntryId& entry, const KvWatch& watch);
  void CarryOutOrder(const EntryId& entry, const WorkerCall& call);
  void CarryOutHeartbeat(const EntryId& entry, const SendHeartbeat& send);
  void AnswerWatches();
  void TickAll();
  void ReadLists();
  void Observe();
  void ObserveOnePlace();
  void ObserveStart(const FakeWorker& worker);

  [[nodiscard]] bool IsCut(const std::string& from, const std::string& to) const;
  [[nodiscard]] bool Chance(double probability);
  [[nodiscard]] Millis Delay();
  [[nodiscard]] Incarnation Life(const EntryId& entry) const;
  [[nodiscard]] std::string PlaceOf(const std::string& name) const;

  std::mt19937_64 random_;
  WorldShape shape_;
  WorldFaults faults_;
  Millis now_ = Millis(1'000);
  uint64_t order_ = 0;
  uint64_t incarnations_ = 0;
  bool kv_down_ = false;
  bool list_frozen_ = false;
  int64_t kv_calls_ = 0;
  std::priority_queue<Happening, std::vector<Happening>, std::greater<>> happenings_;

  FakeKv kv_;
  std::map<VmId, FakeWorker> workers_;
  std::map<VmId, VmState> vm_states_;
  std::vector<VmRecord> list_;
  std::map<EntryId, Node> nodes_;
  std::vector<Waiting> watches_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::vector<CommandRecord> commands_;
  std::map<RequestId, size_t> command_places_;
  std::set<std::string> violations_;
};

}  // namespace currantpost

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

#include "currantpost/scheduler/scheduler.h"
#include "sim_store.h"
#include "sim_worker.h"

namespace currantpost::scheduler {

/// How a `World` is laid out.
struct WorldShape {
  int32_t entries = 3;
  int32_t data_centres = 1;
  int32_t racks = 2;
  int32_t workers_per_rack = 2;
  Resources capacity = {.millicores = 8'000, .memory_mib = 64'000};
  uint64_t seed = 1;
  /// Processors of the entries, in thousandths of a core; those without a figure have a core.
  std::vector<int64_t> millicores = {};
};

/// What a caller was told.
struct Told {
  std::string entry;
  /// The job, or "pending".
  std::string subject;
  Millis asked_at;
  AnswerCaller answer;
};

/// Several entries around real reducers, with workers and a store, in simulated time.
///
/// The world watches what callers and workers see: it notes each start, each end that a worker is
/// told to forget, and whatever must never be.
class World {
 public:
  explicit World(WorldShape shape);

  /// Lets time pass.
  void Run(Millis span);

  void Kill(const std::string& entry);
  /// Starts an entry anew, without memory.
  void Start(const std::string& entry);
  void Pause(const std::string& entry) { paused_.insert(entry); }
  void Resume(const std::string& entry);
  void Stop(const std::string& entry);

  /// Cuts or mends the way between two places: entries, workers and "store".
  void Cut(const std::string& one, const std::string& other);
  void Mend() { cuts_.clear(); }
  void Mend(const std::string& one, const std::string& other);

  /// Answers of calls to a worker are lost while set; `late` orders are carried out so much later.
  void LoseAnswers(const std::string& worker, bool lose) { Mark(mute_, worker, lose); }
  void DelayStarts(const std::string& worker, Millis span) { late_[worker] = span; }
  /// Stops that are sent to a worker are lost while set.
  void LoseStops(const std::string& worker, bool lose) { Mark(deaf_to_stops_, worker, lose); }

  /// Answers to an entry's lists take so much longer, each page of them.
  void SlowLists(const std::string& entry, Millis span) { slow_lists_[entry] = span; }
  /// The same for its watches: what the entry knows of the store is so old.
  void SlowWatches(const std::string& entry, Millis span) { slow_watches_[entry] = span; }

  /// Answers to an entry's watches take so much longer, and its patience is what it is.
  void DelayWatches(const std::string& entry, Millis span) { delayed_watches_[entry] = span; }

  /// Adds a worker to a rack of a data centre.
  void AddWorkerTo(int32_t centre, int32_t rack, int32_t number);
  void CrashWorker(const std::string& worker);
  void RestartWorker(const std::string& worker);
  void WithdrawWorker(const std::string& worker);
  void DrainWorker(const std::string& worker);

  /// Adds a line to `log`.
  void Note(const std::string& who, const std::string& what);

  /// Hands a job in at an entry; the answer goes to `answers`.
  void Submit(const std::string& entry, const JobSpec& spec);
  void Cancel(const std::string& entry, const std::string& job);
  void Ask(const std::string& entry, const std::string& job);

  /// A peer passes a record on to an entry.
  void Push(const std::string& entry, const StoreItem& item);

  /// Asks for the number of waiting jobs; the answer goes to `answers` under "pending".
  void AskPending(const std::string& entry);

  /// Returns the recorded phase of a job, or queued if nothing is recorded.
  [[nodiscard]] JobPhase Phase(const std::string& job) const;
  /// Returns the entry that owns the cell of a job, empty if none does.
  [[nodiscard]] std::string OwnerOf(const std::string& job) const;
  [[nodiscard]] bool IsUp(const std::string& entry) const { return entries_.contains(entry); }
  /// Says whether an entry was up, not paused and not cut from the store for so long, and the store
  /// lost no answers meanwhile.
  [[nodiscard]] bool InTouch(const std::string& entry, Millis span) const;
  [[nodiscard]] std::vector<std::string> Workers() const;
  [[nodiscard]] SimWorker& worker(const std::string& id) { return *workers_.at(id); }
  [[nodiscard]] State& state(const std::string& entry) { return *entries_.at(entry); }
  [[nodiscard]] std::vector<std::string> WorkersOf(const std::string& job) const;
  [[nodiscard]] Millis now() const { return now_; }

  SimStore store;
  /// Answers to callers, by job.
  std::map<std::string, std::vector<AnswerCaller>> answers;
  /// Called for each answer to a caller.
  std::function<void(const Told&)> on_answer;
  /// What must never be, as it was seen.
  std::vector<std::string> violations;
  /// Runs begun by task.
  std::map<TaskName, int32_t> starts;
  std::set<TaskName> done;
  /// Ends of runs at workers, whether an entry heard of them or not.
  std::map<TaskName, std::map<RunEnd, int32_t>> ends;
  /// Decides what the runs of a task do.
  SimWorker::Planner planner;
  /// Chance that an answer is lost, for every call.
  double loss = 0.0;
  std::vector<std::string> log;

 private:
  using Action = std::function<void()>;

  void At(Millis when, Action action);
  void Deliver(const std::string& entry, uint64_t life, decltype(Event::body) body);
  void Carry(const std::string& entry, Effects effects);
  void CallStore(const std::string& entry, const StoreCall& call);
  [[nodiscard]] Millis StoreDelay(const std::string& entry, const StoreBody& body) const;
  void CallWorker(const std::string& entry, const WorkerCall& call);
  void CallPeer(const std::string& entry, const AskPeer& ask);
  void Answer(const std::string& entry, const AnswerCaller& answer);
  void NoteDisturbances();
  void Violate(const std::string& what);
  RequestId NewCall(const std::string& subject);
  void Announce(const std::string& worker);
  void AddWorker(const std::string& id, const std::string& data_centre, const std::string& rack,
                 const Resources& capacity);
  [[nodiscard]] bool IsCut(const std::string& one, const std::string& other) const;
  bool Loses();
  static void Mark(std::set<std::string>& marks, const std::string& name, bool set);

  struct Planned {
    Millis when;
    uint64_t order = 0;
    Action action;

    bool operator>(const Planned& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  WorldShape shape_;
  Millis now_ = Millis(1'000);
  uint64_t order_ = 0;
  uint64_t lives_ = 0;
  std::priority_queue<Planned, std::vector<Planned>, std::greater<>> planned_;
  std::map<std::string, std::unique_ptr<State>> entries_;
  std::map<std::string, uint64_t> life_of_;
  std::map<std::string, std::string> place_of_;
  std::map<std::string, std::unique_ptr<SimWorker>> workers_;
  std::set<std::string> paused_;
  std::map<std::string, std::vector<Action>> held_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> mute_;
  std::set<std::string> deaf_to_stops_;
  std::map<std::string, Millis> late_;
  std::map<std::string, Millis> slow_lists_;
  std::map<std::string, Millis> slow_watches_;
  std::map<std::string, Millis> delayed_watches_;
  /// When an entry, or the store, was last disturbed.
  std::map<std::string, Millis> disturbed_at_;
  struct Call {
    std::string subject;
    Millis asked_at;
  };
  std::map<RequestId, Call> calls_;
  /// Who takes a peer's answer, by the call that asked for it.
  std::map<RequestId, std::function<void(std::optional<JobPhase>)>> peer_calls_;
  RequestId last_call_ = 0;
  std::mt19937_64 random_;
};

/// Makes a job of one step of so many tasks, each of one core.
JobSpec MakeJob(const std::string& id, int32_t tasks, int64_t millicores = 1'000);

}  // namespace currantpost::scheduler

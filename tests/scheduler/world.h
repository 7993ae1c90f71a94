#pragma once

#include <cstdint>
#include <deque>
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
struct ObservedAnswer {
  std::string entry;
  /// The job, or "pending".
  std::string subject;
  bool is_cancel = false;
  Millis requested_at;
  AnswerCaller answer;
};

/// An order to start a task, as a worker got it.
struct ObservedStart {
  std::string worker;
  std::string entry;
  StartTask order;
  Millis sent_at;
  /// How old the sender's copy of the records was then; nothing if it was never listed whole.
  std::optional<Millis> records_age;
  /// The order was made to arrive late.
  bool delayed = false;
};

/// Processor and link of an entry that has little of them. Events wait for the processor in the
/// order of their arrival; what is sent and received waits for the link.
struct Machine {
  /// Processor time of an event at most, and of each item that the store answers with.
  Millis per_event;
  Millis per_item;
  /// Bytes that the link carries in a millisecond, 0 for any number.
  int64_t link_bytes = 0;
  /// Nothing waits for the processor, or for the link, longer than that.
  Millis max_wait;
  Millis max_transfer;
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
  void Reconnect() { cuts_.clear(); }
  void Reconnect(const std::string& one, const std::string& other);

  /// Answers of calls to a worker are lost while set; `late` orders are carried out so much later.
  void LoseAnswers(const std::string& worker, bool lose) { Mark(answers_lost_, worker, lose); }
  void DelayStarts(const std::string& worker, Millis span) { start_delays_[worker] = span; }
  /// Stops that are sent to a worker are lost while set.
  void LoseStops(const std::string& worker, bool lose) { Mark(stops_lost_, worker, lose); }

  /// Answers to an entry's lists take so much longer, each page of them.
  void SlowLists(const std::string& entry, Millis span) { slow_lists_[entry] = span; }
  /// The same for its watches: what the entry knows of the store is so old.
  void SlowWatches(const std::string& entry, Millis span) { slow_watches_[entry] = span; }

  /// Answers to an entry's watches take so much longer, and its patience is what it is.
  void DelayWatches(const std::string& entry, Millis span) { delayed_watches_[entry] = span; }

  /// Gives an entry a lasting machine: it is in touch all the while.
  void SetMachine(const std::string& entry, const Machine& machine) { machines_[entry] = machine; }
  /// Disturbs an entry: it has to do with a smaller machine for a while.
  void SlowDown(const std::string& entry, const Machine& machine) { slowed_[entry] = machine; }
  void EndSlowDown(const std::string& entry);

  /// Notes a disruption that the world does not see by itself.
  void RecordDisruption() { last_disruption_at_ = now_; }

  /// Adds a worker to a rack of a data centre.
  void AddWorkerTo(int32_t centre, int32_t rack, int32_t number);
  void CrashWorker(const std::string& worker);
  void RestartWorker(const std::string& worker);
  void WithdrawWorker(const std::string& worker);
  void DrainWorker(const std::string& worker);
  /// A worker is gone for good: everything on it ends. The registry drops one that leaves at once,
  /// if it is reached, and one that is lost once it has been silent, see `DropSilentWorkers`.
  /// @{
  void LeaveWorker(const std::string& worker);
  void LoseWorker(const std::string& worker);
  /// @}

  /// Ends an entry for good; it counts as a disturbance at that moment only.
  void KillForGood(const std::string& entry);
  /// An entry or a worker that is down stays so: its absence disrupts nothing any more.
  void MarkPermanentlyDown(const std::string& name) { permanently_down_.insert(name); }
  /// The registry drops workers that are silent for three heartbeats.
  void DropUnresponsiveWorkers() { drops_unresponsive_ = true; }

  /// Adds a line to `log`.
  void Log(const std::string& who, const std::string& what);

  /// Hands a job in at an entry; the answer goes to `answers`.
  void Submit(const std::string& entry, const JobSpec& spec);
  void Cancel(const std::string& entry, const std::string& job);
  void RequestStatus(const std::string& entry, const std::string& job);

  /// A peer passes a record on to an entry.
  void Push(const std::string& entry, const StoreItem& item);

  /// Asks for the number of waiting jobs; the answer goes to `answers` under "pending".
  void RequestPendingCount(const std::string& entry);

  /// Returns the recorded phase of a job, or queued if nothing is recorded.
  [[nodiscard]] JobPhase Phase(const std::string& job) const;
  /// Returns the entry that owns the cell of a job, empty if none does.
  [[nodiscard]] std::string OwnerOf(const std::string& job) const;
  [[nodiscard]] bool IsUp(const std::string& entry) const { return entries_.contains(entry); }
  /// Says whether an entry was up, not paused and not cut from the store for so long, and the store
  /// lost no answers meanwhile.
  [[nodiscard]] bool WasConnected(const std::string& entry, Millis span) const;
  /// Says whether an entry was told to stop in the last span.
  [[nodiscard]] bool WasStopped(const std::string& entry, Millis span) const;
  /// Says whether the store's answers to an entry were made late in the last span.
  [[nodiscard]] bool HadDelayedReplies(const std::string& entry, Millis span) const;
  /// Returns for how long nothing was disrupted anywhere, workers that drain aside.
  [[nodiscard]] Millis UndisruptedTime() const { return now_ - last_disruption_at_; }
  [[nodiscard]] std::vector<std::string> Workers() const;
  /// Says whether the registry names a worker.
  [[nodiscard]] bool IsListed(const std::string& worker) const {
    return store.HasWorker(VmId(worker));
  }
  [[nodiscard]] SimWorker& worker(const std::string& id) { return *workers_.at(id); }
  [[nodiscard]] std::vector<std::string> Entries() const;
  [[nodiscard]] State& state(const std::string& entry) { return *entries_.at(entry); }
  [[nodiscard]] std::vector<std::string> WorkersOf(const std::string& job) const;
  /// Returns the entries with their data centres.
  [[nodiscard]] const std::map<std::string, std::string>& DataCentres() const {
    return data_centre_of_;
  }
  [[nodiscard]] Millis now() const { return now_; }

  SimStore store;
  /// Answers to callers, by job.
  std::map<std::string, std::vector<AnswerCaller>> answers;
  /// Called for each answer to a caller.
  std::function<void(const ObservedAnswer&)> on_answer;
  /// Called for each order to start a task that reaches a worker, and for each that it begins.
  std::function<void(const ObservedStart&)> on_start_order;
  std::function<void(const ObservedStart&)> on_start;
  /// Jobs that callers handed in, and those that they cancelled, with the time of the first call.
  std::map<JobId, JobSpec> submitted;
  std::map<JobId, Millis> cancel_sent_at;
  /// Longest time that an event waited for the processor of an entry that is up and not paused.
  Millis max_wait;
  /// Checkpoints that runs of a task saved.
  std::map<TaskName, std::set<std::string>> checkpoints;
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

  void ScheduleAt(Millis when, Action action);
  /// An event arrives at an entry, and waits for its processor.
  void Deliver(const std::string& entry, uint64_t incarnation, decltype(Event::body) body);
  /// Takes up the events that wait, one after another.
  void ProcessEvents(const std::string& entry, uint64_t incarnation);
  void FinishEvent(const std::string& entry, uint64_t incarnation,
                   const std::shared_ptr<Effects>& effects);
  void SendEffects(const std::string& entry, uint64_t incarnation, const Effects& effects);
  void WakeWhenDue(const std::string& entry, uint64_t incarnation);
  [[nodiscard]] bool IsCurrentIncarnation(const std::string& entry, uint64_t incarnation) const;
  [[nodiscard]] Machine EffectiveMachine(const std::string& entry) const;
  [[nodiscard]] Millis CostOf(const Machine& machine, const decltype(Event::body)& body);
  /// Returns how long bytes of an entry take that are put on its link now.
  Millis LinkDelay(const std::string& entry, int64_t bytes);
  [[nodiscard]] bool IsDisrupted() const;
  void ExecuteEffects(const std::string& entry, Effects effects);
  void CallStore(const std::string& entry, const StoreCall& call);
  [[nodiscard]] Millis StoreDelay(const std::string& entry, const StoreBody& body) const;
  void CallWorker(const std::string& entry, const WorkerCall& call);
  [[nodiscard]] std::optional<ObservedStart> DescribeStart(const std::string& entry,
                                                           const WorkerCall& call, bool delayed);
  void CallPeer(const std::string& entry, const QueryPeer& query);
  void Answer(const std::string& entry, const AnswerCaller& answer);
  void RecordDisturbances();
  void AddViolation(const std::string& what);
  RequestId NewCall(const std::string& subject, bool cancels = false);
  void Announce(const std::string& worker);
  void EndWorker(const std::string& worker);
  void AnnounceIfConnected(const std::string& worker);
  void RecordRun(const std::string& worker, const TaskName& name, scheduler::Run run);
  void RecordDone(const std::string& worker, const TaskName& name);
  void RecordForgottenEnd(const std::string& worker, const EndedTask& end, bool expired);
  void AddWorker(const std::string& id, const std::string& data_centre, const std::string& rack,
                 const Resources& capacity);
  [[nodiscard]] bool IsCut(const std::string& one, const std::string& other) const;
  bool ShouldLoseAnswer();
  static void Mark(std::set<std::string>& marks, const std::string& name, bool set);

  struct ScheduledAction {
    Millis when;
    uint64_t order = 0;
    Action action;

    bool operator>(const ScheduledAction& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  WorldShape shape_;
  Millis now_ = Millis(1'000);
  uint64_t order_ = 0;
  uint64_t last_incarnation_ = 0;
  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> scheduled_;
  std::map<std::string, std::unique_ptr<State>> entries_;
  std::map<std::string, uint64_t> incarnation_of_;
  std::map<std::string, std::string> data_centre_of_;
  std::map<std::string, std::unique_ptr<SimWorker>> workers_;
  std::set<std::string> paused_;
  std::map<std::string, std::vector<Action>> held_actions_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> answers_lost_;
  std::set<std::string> stops_lost_;
  std::set<std::string> permanently_down_;
  bool drops_unresponsive_ = false;
  /// When the registry last heard of a worker.
  std::map<std::string, Millis> last_heartbeat_at_;
  /// The last run of a task at a worker, and how many starts of the task there had been anywhere
  /// when a run ended as done.
  std::map<std::pair<std::string, TaskName>, scheduler::Run> run_at_;
  std::map<std::tuple<std::string, TaskName, scheduler::Run>, int32_t> starts_at_done_;
  std::map<std::string, Millis> start_delays_;
  std::map<std::string, Millis> slow_lists_;
  std::map<std::string, Millis> slow_watches_;
  std::map<std::string, Millis> delayed_watches_;
  /// Calls to the store under way whose answers are late, and when the last such answer came.
  std::map<std::string, int32_t> delayed_replies_;
  std::map<std::string, Millis> last_delayed_reply_at_;
  std::map<std::string, Millis> stopped_at_;
  Millis last_disruption_at_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Machine> slowed_;
  /// When the link of an entry will be free.
  std::map<std::string, Millis> link_free_at_;
  struct WaitingEvent {
    Millis arrived;
    decltype(Event::body) body;
  };
  /// Events that wait for an entry's processor, and the entries whose processor has work.
  std::map<std::string, std::deque<WaitingEvent>> waiting_events_;
  std::set<std::string> busy_processors_;
  std::set<std::string> tick_pending_;
  /// The start that a worker is carrying out.
  const ObservedStart* current_start_ = nullptr;
  /// When an entry, or the store, was last disturbed.
  std::map<std::string, Millis> disturbed_at_;
  struct Call {
    std::string subject;
    Millis requested_at;
    bool cancels = false;
  };
  std::map<RequestId, Call> calls_;
  /// Who takes a peer's answer, by the call that asked for it.
  std::map<RequestId, std::function<void(std::optional<JobPhase>)>> peer_calls_;
  RequestId last_call_ = 0;
  std::mt19937_64 random_;
  std::mt19937_64 cost_random_;
};

/// Makes a job of one step of so many tasks, each of one core.
JobSpec MakeJob(const std::string& id, int32_t tasks, int64_t millicores = 1'000);

}  // namespace currantpost::scheduler

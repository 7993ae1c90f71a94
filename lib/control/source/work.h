#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/policy/placement.h"
#include "feature.h"

/// Declarations shared by the files of the work feature.

namespace currantpost {

/// Time after which an outstanding call is treated as lost.
inline constexpr Millis kAnswerTimeout = Millis(5'000);
/// Delay before a failed call to the store is retried.
inline constexpr Millis kKvRetryInterval = Millis(1'000);
/// Number of fencing tokens that an owner may use within one grant (epoch) of a rack.
inline constexpr Epoch kFencesPerGrant = Epoch{1} << 32;

// Keys of the store.
std::string DataCentrePrefix(const State& state);
std::string RackKey(const State& state, const RackId& rack);
std::string JobKey(const State& state, const JobId& job);
std::string PartPrefix(const State& state, const RackId& rack);
std::string PartKey(const State& state, const RackId& rack, const JobId& job);

/// Returns the part of a key after `prefix`, or nothing if the key has another prefix.
std::optional<std::string> AfterPrefix(std::string_view key, std::string_view prefix);

/// Sends a call to the store and records its purpose.
template <typename Body>
RequestId CallKv(State& state, Effects& effects, KvPurpose purpose, Body body) {
  const RequestId request = NextRequest(state);
  state.work.calls[request] = OutstandingCall{std::move(purpose), state.now};
  effects.emplace_back(KvCall{request, std::move(body)});
  return request;
}

/// Returns whether the process has just resumed after a pause.
bool WasPaused(const State& state);

// Rack ownership.

/// Returns the live entries of this data centre, the most preferred owner of a rack first.
std::vector<EntryId> PreferredOwners(const State& state, const RackId& rack);

/// Claims, releases and drops racks according to the current view of the data centre.
void UpdateOwnership(State& state, Effects& effects);

/// Applies a rack's record read from the store.
void ApplyRackRecord(State& state, Effects& effects, const RackId& rack, const RackRecord& record,
                     KvRevision revision);

/// Handles the reply to a write of a rack's record.
void HandleRackWritten(State& state, Effects& effects, const RackId& rack, RequestId request,
                       const KvReply& reply);

/// Stops controlling a rack that another entry has acquired.
void DropRack(State& state, Effects& effects, RackState& rack, std::string_view reason);

/// Writes the rack's record if its members should change or a release of attempts is due.
void UpdateMembers(State& state, Effects& effects, RackState& rack);

/// Lists the part records once every inherited worker has confirmed the new epoch.
void ListPartsWhenConfirmed(State& state, Effects& effects, RackState& rack);

/// Applies the listed part records and opens the rack.
void HandlePartsListed(State& state, Effects& effects, const RackId& rack, RequestId request,
                       const KvReply& reply);

// Records: list and watch.

void UpdateWatch(State& state, Effects& effects);
void HandlePrefixListed(State& state, Effects& effects, const KvReply& reply);
void HandleWatchAnswered(State& state, Effects& effects, const KvWatchAnswered& answer);

// Workers: orders and replies.

/// Updates the workers of owned racks from the platform's list and the rack's record.
void UpdateWorkers(State& state, Effects& effects);

/// Sends the next order to a worker, if there is one and none is outstanding.
void SendNextOrder(State& state, Effects& effects, RackState& rack, WorkerState& worker);

void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answer);

/// Adds a worker that is not known yet. `in_record` says whether the rack's record lists it.
void AddWorker(RackState& rack, const RackMember& member, bool in_record);

/// Drops the order that a worker has not answered.
void DropOutstandingOrder(State& state, WorkerState& worker);

/// Marks all workers as unconfirmed after a pause of this process.
void MarkWorkersUnconfirmed(State& state, Effects& effects);

// Tables: the rows that a worker reports for its tasks.

/// Reconciles tasks with the rows of a confirmed worker.
void Reconcile(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Turns rows without an active task into active tasks if this rack has their part.
void AdoptRows(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Recalculates the resources committed on a worker.
void RecountCommitments(const RackState& rack, WorkerState& worker);

/// Action for an orphaned row, i.e. a row without an active task.
enum class OrphanedRowAction { kKeep, kStop, kAcknowledge };

OrphanedRowAction DecideOrphanedRow(const State& state, const RackState& rack,
                                    const WorkerTask& row);

/// Returns whether the attempt of a row was stopped or failed, i.e. has no completion to record.
bool IsStoppedOrFailed(const WorkerTask& row);

/// Returns whether a row belongs to the active attempt of a task on this worker.
bool IsActiveRow(const RackState& rack, const WorkerState& worker, const WorkerTask& row);

/// Returns whether a task in this phase holds resources of its worker.
bool HoldsResources(TaskPhase phase);

// Usage, pressure and health.

/// Handles a usage report, and throttles or evicts batch tasks if services beside them are slow.
void HandleUsageReport(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                       const WorkerTable& table);

/// Returns the kinds of the services on a worker, one element per task.
std::vector<std::string> ServicesOn(const RackState& rack, const WorkerState& worker);

/// Returns the load of the batch tasks on a worker by kind.
std::vector<KindLoad> BatchOn(const RackState& rack, const WorkerState& worker);

/// Records the failure of a task. Returns whether it counts against the task, not the worker.
bool RecordWorkerFailure(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                         const TaskKey& key);

/// Records that a task finished on the worker.
void RecordWorkerSuccess(State& state, WorkerState& worker);

// Tasks and parts.

ActiveTask* FindActive(RackState& rack, const TaskKey& key);
const ActiveTask* FindActive(const RackState& rack, const TaskKey& key);

/// Returns whether the rack's record in the store keeps an attempt, so that its row may be removed.
bool IsReleased(const RackState& rack, const TaskKey& key, int32_t attempt);

/// Queues the next attempt after each released attempt in the rack's record.
void RequeueReleasedAttempts(const State& state, RackState& rack, PartState& part);

/// Creates or updates the part of a job whose home is this rack, if the rack is open.
void ApplyJobToRack(State& state, Effects& effects, RackState& rack, const JobRecord& record);

/// Queues a task for another attempt after the retry delay.
void Requeue(const State& state, RackState& rack, const TaskKey& key, QueuedRetry retry);

/// Adds a part with pending tasks to the queue of its priority, if it is not queued.
void Enqueue(RackState& rack, PartState& part);

/// Removes all tasks from a worker that was replaced or removed, and requeues the unfinished ones.
void RequeueTasksOfWorker(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Requeues the tasks whose starts have not been sent to the worker.
void RequeueUnsentStarts(State& state, RackState& rack, const WorkerState& worker);

/// Marks a task as ended. Its end is written to the part's record later.
void MarkTaskEnded(RackState& rack, PartState& part, int32_t index, bool completed);

/// Removes a task from its worker and from the active tasks.
void RemoveActive(RackState& rack, const TaskKey& key);

/// Returns whether a task has ended, whether or not its end is recorded.
bool HasEnded(const PartState& part, int32_t index);

/// Returns a pending task that may start now, or nothing.
std::optional<int32_t> NextPendingTask(const State& state, PartState& part);

/// Writes the part records that are due.
void WriteDueParts(State& state, Effects& effects);

void HandlePartWritten(State& state, Effects& effects, const PartWritten& written,
                       RequestId request, const KvReply& reply);

// Placement.

/// Places pending tasks on workers with free resources.
void PlaceTasks(State& state, Effects& effects, RackState& rack);

// Jobs: records and commands.

void ApplyJobRecord(State& state, Effects& effects, const JobId& job, const JobRecord& record,
                    KvRevision revision);
void LookUpJob(State& state, Effects& effects, const JobId& job);
void HandleJobLookedUp(State& state, Effects& effects, const JobId& job, const KvReply& reply);
void HandleSubmit(State& state, Effects& effects, const CommandReceived& received,
                  const SubmitJob& submit);
void HandleSubmitWritten(State& state, Effects& effects, RequestId command, RequestId request,
                         const KvReply& reply);
void HandleCancel(State& state, Effects& effects, const CommandReceived& received,
                  const CancelJob& cancel);
void HandleCancelAnswered(State& state, Effects& effects, RequestId command, RequestId request,
                          const KvReply& reply);
void HandleShow(State& state, Effects& effects, const CommandReceived& received,
                const ShowJob& show);
void HandleShowJobRead(State& state, Effects& effects, RequestId command, RequestId request,
                       const KvReply& reply);
void HandleShowPartRead(State& state, Effects& effects, RequestId command, RequestId request,
                        const KvReply& reply);
void HandleExplain(State& state, Effects& effects, const CommandReceived& received,
                   const ExplainTask& explain);
/// Retries or abandons commands that wait for the store.
void UpdateCommands(State& state, Effects& effects);

/// Describes racks, workers, tasks and jobs.
nlohmann::json DumpWork(const State& state);

}  // namespace currantpost

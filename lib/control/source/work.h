#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/policy/placement.h"
#include "feature.h"

/// What the files of the work feature share.

namespace currantpost {

/// An answer that has not come by then is taken for lost.
inline constexpr Millis kAnswerTimeout = Millis(5'000);
/// Wait before a failed call to the store is repeated.
inline constexpr Millis kKvRetryInterval = Millis(1'000);
/// Epochs that an owner may use under one grant.
inline constexpr Epoch kFencesPerGrant = Epoch{1} << 32;

// Keys of the store.
std::string DataCentrePrefix(const State& state);
std::string RackKey(const State& state, const RackId& rack);
std::string JobKey(const State& state, const JobId& job);
std::string PartPrefix(const State& state, const RackId& rack);
std::string PartKey(const State& state, const RackId& rack, const JobId& job);

/// Returns the rest of a key after a prefix, or nothing if it has another prefix.
std::optional<std::string> AfterPrefix(std::string_view key, std::string_view prefix);

/// Calls the store and remembers what for.
template <typename Body>
RequestId CallKv(State& state, Effects& effects, KvPurpose purpose, Body body) {
  const RequestId request = NextRequest(state);
  state.work.calls[request] = OutstandingCall{std::move(purpose), state.now};
  effects.emplace_back(KvCall{request, std::move(body)});
  return request;
}

/// Says whether the process has just gone on after a pause.
bool WasPaused(const State& state);

// Racks: who owns them.

/// Returns the live entries of the own data centre, the most preferred owner of a rack first.
std::vector<EntryId> PreferredOwners(const State& state, const RackId& rack);

/// Claims, releases and loses racks as the view of the data centre asks.
void UpdateOwnership(State& state, Effects& effects);

/// Takes in a rack's record as the store has it.
void ApplyRackRecord(State& state, Effects& effects, const RackId& rack, const RackRecord& record,
                     KvRevision revision);

/// Takes in the answer to a write of a rack's record.
void HandleRackWritten(State& state, Effects& effects, const RackId& rack, RequestId request,
                       const KvReply& reply);

/// Stops ordering in a rack that another entry has taken.
void DropRack(State& state, Effects& effects, RackState& rack, std::string_view reason);

/// Writes the record with the members that the rack should have, if they differ.
void UpdateMembers(State& state, Effects& effects, RackState& rack);

/// Reads the part records once every inherited worker has answered.
void ListPartsWhenConfirmed(State& state, Effects& effects, RackState& rack);

/// Takes in the part records, and opens the rack.
void HandlePartsListed(State& state, Effects& effects, const RackId& rack, RequestId request,
                       const KvReply& reply);

// Records: the list and watch that bring them.

void UpdateWatch(State& state, Effects& effects);
void HandlePrefixListed(State& state, Effects& effects, const KvReply& reply);
void HandleWatchAnswered(State& state, Effects& effects, const KvWatchAnswered& answer);

// Workers: orders and answers.

/// Brings the workers of owned racks in line with the platform's list and the rack's record.
void UpdateWorkers(State& state, Effects& effects);

/// Sends the next order to a worker, if there is one and none is outstanding.
void SendNextOrder(State& state, Effects& effects, RackState& rack, WorkerState& worker);

void HandleWorkerAnswered(State& state, Effects& effects, const WorkerAnswered& answer);

/// Makes a worker that is in the rack's record but not known yet.
void AddWorker(RackState& rack, const RackMember& member, bool in_record);

/// Forgets the order that a worker has not answered.
void DropOutstandingOrder(State& state, WorkerState& worker);

/// Takes every worker for unconfirmed, as after a pause.
void MarkWorkersUnconfirmed(State& state, Effects& effects);

// Tables: what a worker's rows say of tasks.

/// Brings tasks in line with the rows of a confirmed worker.
void Reconcile(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Makes the rows of no active task active, where they are tasks of own parts.
void AdoptRows(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Recounts what is committed on a worker.
void RecountCommitments(const RackState& rack, WorkerState& worker);

/// What is to be done about a row of no active task.
enum class OrphanedRowAction { kKeep, kStop, kAcknowledge };

OrphanedRowAction DecideOrphanedRow(const State& state, const RackState& rack,
                                    const WorkerTask& row);

/// Says whether the row is of an attempt that ended without an outcome to record.
bool IsStoppedOrFailed(const WorkerTask& row);

/// Says whether a row belongs to the active attempt of a task at this worker.
bool IsActiveRow(const RackState& rack, const WorkerState& worker, const WorkerTask& row);

/// Says whether a task in this phase holds resources of its worker.
bool HoldsResources(TaskPhase phase);

// Usage, pressure and health.

/// Takes in a usage report, and decides about the batch beside services that are too slow.
void HandleUsageReport(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                       const WorkerTable& table);

/// Returns the kinds of the services on a worker, one entry for each task.
std::vector<std::string> ServicesOn(const RackState& rack, const WorkerState& worker);

/// Returns the batch on a worker by kind.
std::vector<KindLoad> BatchOn(const RackState& rack, const WorkerState& worker);

/// Takes in that a task failed. Returns whether that counts against the task, not the worker.
bool RecordWorkerFailure(State& state, Effects& effects, RackState& rack, WorkerState& worker,
                         const TaskKey& key);

/// Takes in that a task finished.
void RecordWorkerSuccess(State& state, WorkerState& worker);

// Tasks and parts.

ActiveTask* FindActive(RackState& rack, const TaskKey& key);
const ActiveTask* FindActive(const RackState& rack, const TaskKey& key);

/// Says whether the rack's record in the store keeps an attempt, so that its row may go.
bool IsReleased(const RackState& rack, const TaskKey& key, int32_t attempt);

/// Queues the attempts after those that the rack's record keeps.
void RequeueReleasedAttempts(const State& state, RackState& rack, PartState& part);

/// Makes or updates the part of a job whose home is an open rack.
void ApplyJobToRack(State& state, Effects& effects, RackState& rack, const JobRecord& record);

/// Puts a task back into the queue.
void Requeue(const State& state, RackState& rack, const TaskKey& key, QueuedRetry retry);

/// Puts a part with waiting tasks into its queue, if it is in none.
void Enqueue(RackState& rack, PartState& part);

/// Ends the tasks of a worker whose life is over: those not ended before are queued again.
void RequeueTasksOfWorker(State& state, Effects& effects, RackState& rack, WorkerState& worker);

/// Puts the tasks back into the queue whose starts have not left for the worker.
void RequeueUnsentStarts(State& state, RackState& rack, const WorkerState& worker);

/// Notes that a task is over, to be recorded.
void MarkTaskEnded(RackState& rack, PartState& part, int32_t index, bool completed);

/// Takes a task off its worker and out of the active ones.
void RemoveActive(RackState& rack, const TaskKey& key);

/// Says whether a task is over, recorded or not.
bool HasEnded(const PartState& part, int32_t index);

/// Returns a waiting task that may start now, or nothing.
std::optional<int32_t> NextPendingTask(const State& state, PartState& part);

/// Writes the part records that are due.
void WriteDueParts(State& state, Effects& effects);

void HandlePartWritten(State& state, Effects& effects, const PartWritten& written,
                       RequestId request, const KvReply& reply);

// Placement.

/// Gives waiting tasks to workers with room.
void PlaceTasks(State& state, Effects& effects, RackState& rack);

// Jobs: records, and commands about them.

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
/// Repeats or gives up commands that wait for the store.
void UpdateCommands(State& state, Effects& effects);

/// Describes racks, workers, tasks and jobs.
nlohmann::json DumpWork(const State& state);

}  // namespace currantpost

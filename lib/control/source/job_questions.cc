#include "work.h"

/// Queries about jobs and tasks.

namespace currantpost {
namespace {

/// Placement status of a task, with the reason why it is not running.
enum class PlacementStatus {
  kUnknownJob,
  kNoSuchTask,
  kOwnedElsewhere,
  kRackUnowned,
  kRackNotOpen,
  kCompleted,
  kAttemptsExhausted,
  kCancelled,
  kAssigned,
  kNoConfiguration,
  kBackingOff,
  kNoRoom,
};

constexpr EnumNames kPlacementStatusNames(std::to_array<EnumName<PlacementStatus>>({
    {PlacementStatus::kUnknownJob, "unknown_job"},
    {PlacementStatus::kNoSuchTask, "no_such_task"},
    {PlacementStatus::kOwnedElsewhere, "owned_elsewhere"},
    {PlacementStatus::kRackUnowned, "rack_not_taken"},
    {PlacementStatus::kRackNotOpen, "rack_not_open"},
    {PlacementStatus::kCompleted, "completed"},
    {PlacementStatus::kAttemptsExhausted, "given_up"},
    {PlacementStatus::kCancelled, "cancelled"},
    {PlacementStatus::kAssigned, "at_worker"},
    {PlacementStatus::kNoConfiguration, "no_configuration"},
    {PlacementStatus::kBackingOff, "backing_off"},
    {PlacementStatus::kNoRoom, "no_room"},
}));

std::string ToText(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const JobPart* FindJobPart(const JobRecord& record, int32_t index) {
  for (const JobPart& part : record.parts) {
    if (index >= part.first_task && index - part.first_task < part.task_count) return &part;
  }

  return nullptr;
}

const PartState* FindOpenPart(const State& state, const RackId& home, const JobId& job) {
  const auto rack = state.work.racks.find(home);
  if (rack == state.work.racks.end() || rack->second.phase != RackPhase::kOpen) return nullptr;

  const auto part = rack->second.parts.find(job);
  return part == rack->second.parts.end() ? nullptr : &part->second;
}

void ReplyShow(Effects& effects, const PendingShow& show) {
  const nlohmann::json body{{"job", show.job.Text()},
                            {"tasks", show.record.spec.task_count},
                            {"cancelled", show.record.cancelled},
                            {"completed", show.completed},
                            {"failed", show.failed},
                            {"active_here", show.active},
                            {"partial", show.partial}};
  ReplyOk(effects, show.command, ToText(body));
}

/// Counts the tasks of own parts, and reads the other parts from the store.
void CountOrRequestParts(State& state, Effects& effects, PendingShow& show) {
  for (const JobPart& part : show.record.parts) {
    if (const PartState* own = FindOpenPart(state, part.home, show.job)) {
      show.completed += static_cast<int64_t>(own->recorded.completed.size());
      show.failed += static_cast<int64_t>(own->recorded.failed.size());
      show.active += static_cast<int64_t>(own->active.size());
      continue;
    }

    show.part_requests.insert(CallKv(state, effects, ShowPartRead{show.command},
                                     KvGet{PartKey(state, part.home, show.job)}));
  }
}

void ReplyWhenComplete(State& state, Effects& effects, RequestId command) {
  const auto show = state.work.shows.find(command);
  if (show == state.work.shows.end() || !show->second.part_requests.empty()) return;

  ReplyShow(effects, show->second);
  state.work.shows.erase(show);
}

void FailShow(State& state, Effects& effects, RequestId command, Error error) {
  ReplyError(effects, command, std::move(error));
  state.work.shows.erase(command);
}

/// Returns the job record from the reply, or the last known one if the store is unavailable.
Result<JobRecord> JobRecordFromReply(const State& state, const JobId& job, const KvReply& reply) {
  if (reply.status == KvStatus::kOk) {
    if (reply.entries.empty() || !reply.entries.front().value) {
      return Fail(ErrorCode::kNotFound, job.Text());
    }

    return DecodeJobRecord(*reply.entries.front().value);
  }

  const auto known = state.work.jobs.find(job);
  if (known == state.work.jobs.end()) return Fail(ErrorCode::kUnavailable, job.Text());

  return known->second.record;
}

PlacementStatus StatusInPart(const State& state, const PartState& part, int32_t index) {
  if (part.recorded.completed.contains(index)) return PlacementStatus::kCompleted;
  if (part.recorded.failed.contains(index)) return PlacementStatus::kAttemptsExhausted;
  if (part.active.contains(index)) return PlacementStatus::kAssigned;
  if (part.cancelled) return PlacementStatus::kCancelled;
  if (!state.configuration.known) return PlacementStatus::kNoConfiguration;

  const auto retry = part.retries.find(index);
  if (retry != part.retries.end() && retry->second.not_before > state.now) {
    return PlacementStatus::kBackingOff;
  }

  return PlacementStatus::kNoRoom;
}

PlacementStatus FindPlacementStatus(const State& state, const TaskKey& key) {
  const auto job = state.work.jobs.find(key.job);
  if (job == state.work.jobs.end()) return PlacementStatus::kUnknownJob;

  const JobPart* part = FindJobPart(job->second.record, key.index);
  if (part == nullptr) return PlacementStatus::kNoSuchTask;

  const auto rack = state.work.racks.find(part->home);
  if (rack == state.work.racks.end()) return PlacementStatus::kRackUnowned;

  if (rack->second.phase == RackPhase::kNotOwned) {
    return rack->second.record.owner.Empty() ? PlacementStatus::kRackUnowned
                                             : PlacementStatus::kOwnedElsewhere;
  }

  const PartState* open = FindOpenPart(state, part->home, key.job);
  return open == nullptr ? PlacementStatus::kRackNotOpen : StatusInPart(state, *open, key.index);
}

void DescribeHome(const State& state, const TaskKey& key, nlohmann::json& body) {
  const auto job = state.work.jobs.find(key.job);
  if (job == state.work.jobs.end()) return;

  const JobPart* part = FindJobPart(job->second.record, key.index);
  if (part == nullptr) return;

  body["home"] = part->home.Text();
  const auto rack = state.work.racks.find(part->home);
  if (rack == state.work.racks.end()) return;

  body["owner"] = rack->second.record.owner.Text();
  const ActiveTask* task = FindActive(rack->second, key);
  if (task == nullptr) return;

  body["worker"] = task->worker.Text();
  body["attempt"] = task->attempt;
  body["phase"] = kTaskPhaseNames.Name(task->phase);
}

}  // namespace

void HandleShow(State& state, Effects& effects, const CommandReceived& received,
                const ShowJob& body) {
  if (state.work.shows.contains(received.command)) return;

  PendingShow& show = state.work.shows[received.command];
  show.command = received.command;
  show.job = body.job;
  show.job_request =
      CallKv(state, effects, ShowJobRead{received.command}, KvGet{JobKey(state, body.job)});
}

void HandleShowJobRead(State& state, Effects& effects, RequestId command, RequestId request,
                       const KvReply& reply) {
  const auto show = state.work.shows.find(command);
  if (show == state.work.shows.end() || show->second.job_request != request) return;

  Result<JobRecord> record = JobRecordFromReply(state, show->second.job, reply);

  if (!record) {
    FailShow(state, effects, command, record.error());
    return;
  }

  show->second.job_request = 0;
  show->second.partial = reply.status != KvStatus::kOk;
  show->second.record = *std::move(record);
  CountOrRequestParts(state, effects, show->second);
  ReplyWhenComplete(state, effects, command);
}

void HandleShowPartRead(State& state, Effects& effects, RequestId command, RequestId request,
                        const KvReply& reply) {
  const auto found = state.work.shows.find(command);
  if (found == state.work.shows.end()) return;

  PendingShow& show = found->second;
  if (show.part_requests.erase(request) == 0) return;

  if (reply.status != KvStatus::kOk) {
    show.partial = true;
  } else if (!reply.entries.empty() && reply.entries.front().value) {
    const Result<PartRecord> part = DecodePartRecord(*reply.entries.front().value);
    if (part) show.completed += static_cast<int64_t>(part->completed.size());
    if (part) show.failed += static_cast<int64_t>(part->failed.size());
    if (!part) show.partial = true;
  }

  ReplyWhenComplete(state, effects, command);
}

void HandleExplain(State& state, Effects& effects, const CommandReceived& received,
                   const ExplainTask& body) {
  const PlacementStatus status = FindPlacementStatus(state, body.task);

  if (status == PlacementStatus::kUnknownJob || status == PlacementStatus::kNoSuchTask) {
    ReplyError(effects, received.command,
               MakeError(ErrorCode::kNotFound, std::string(kPlacementStatusNames.Name(status))));
    return;
  }

  nlohmann::json answer{{"job", body.task.job.Text()},
                        {"task", body.task.index},
                        {"state", kPlacementStatusNames.Name(status)}};
  DescribeHome(state, body.task, answer);
  ReplyOk(effects, received.command, ToText(answer));
}

}  // namespace currantpost

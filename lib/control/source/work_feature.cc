#include "work.h"

namespace currantpost {
namespace {

constexpr std::string_view kPartsRoot = "parts/";

KvReply LostReply() { return KvReply{.status = KvStatus::kUnknown}; }

void DispatchKvReply(State& state, Effects& effects, RequestId request, const KvReply& reply) {
  const auto found = state.work.calls.find(request);
  if (found == state.work.calls.end()) return;

  const KvPurpose purpose = std::move(found->second.purpose);
  state.work.calls.erase(found);

  std::visit(
      Overloaded{
          [&](const PrefixListed&) { HandlePrefixListed(state, effects, reply); },
          [&](const RackWritten& written) {
            HandleRackWritten(state, effects, written.rack, request, reply);
          },
          [&](const PartsListed& listed) {
            HandlePartsListed(state, effects, listed.rack, request, reply);
          },
          [&](const PartWritten& written) {
            HandlePartWritten(state, effects, written, request, reply);
          },
          [&](const JobLookedUp& looked) { HandleJobLookedUp(state, effects, looked.job, reply); },
          [&](const SubmitWritten& written) {
            HandleSubmitWritten(state, effects, written.command, request, reply);
          },
          [&](const CancelAnswered& step) {
            HandleCancelAnswered(state, effects, step.command, request, reply);
          },
          [&](const ShowJobRead& read) {
            HandleShowJobRead(state, effects, read.command, request, reply);
          },
          [&](const ShowPartRead& read) {
            HandleShowPartRead(state, effects, read.command, request, reply);
          },
      },
      purpose);
}

/// Treats calls without a reply within the timeout as lost.
void ExpireCalls(State& state, Effects& effects) {
  std::vector<RequestId> lost;

  for (const auto& [request, call] : state.work.calls) {
    if (state.now - call.sent_at >= kAnswerTimeout) lost.push_back(request);
  }

  for (const RequestId request : lost) DispatchKvReply(state, effects, request, LostReply());
}

void PlaceDueTasks(State& state, Effects& effects) {
  for (auto& [id, rack] : state.work.racks) {
    if (rack.placement_due) PlaceTasks(state, effects, rack);
  }
}

void HandleTick(State& state, Effects& effects) {
  ExpireCalls(state, effects);
  UpdateWatch(state, effects);
  UpdateOwnership(state, effects);
  UpdateWorkers(state, effects);
  WriteDueParts(state, effects);
  UpdateCommands(state, effects);

  // A retry may have become due.
  for (auto& [id, rack] : state.work.racks) rack.placement_due = true;
}

void HandleCommand(State& state, Effects& effects, const CommandReceived& received) {
  std::visit(Overloaded{
                 [&](const SubmitJob& body) { HandleSubmit(state, effects, received, body); },
                 [&](const CancelJob& body) { HandleCancel(state, effects, received, body); },
                 [&](const ShowJob& body) { HandleShow(state, effects, received, body); },
                 [&](const ExplainTask& body) { HandleExplain(state, effects, received, body); },
                 [](const auto&) {},
             },
             received.body);
}

void DetectPause(State& state, Effects& effects) {
  if (!state.work.started_at) {
    state.work.started_at = state.now;
    return;
  }

  if (!WasPaused(state)) return;

  Log(effects, Severity::kWarning, LogComponent::kOwnership, "process resumed after a pause",
      {{"gap_ms", std::to_string((state.now - state.previous).Count())}});
  state.work.watch.synced = false;
  MarkWorkersUnconfirmed(state, effects);
}

void Handle(State& state, const Event& event, Effects& effects) {
  DetectPause(state, effects);

  std::visit(
      Overloaded{
          [&](const Tick&) { HandleTick(state, effects); },
          [&](const KvAnswered& answer) {
            DispatchKvReply(state, effects, answer.request, answer.reply);
          },
          [&](const KvWatchAnswered& answer) { HandleWatchAnswered(state, effects, answer); },
          [&](const VmListRead&) { UpdateWorkers(state, effects); },
          [&](const WorkerAnswered& answer) { HandleWorkerAnswered(state, effects, answer); },
          [&](const CommandReceived& received) { HandleCommand(state, effects, received); },
          [](const auto&) {},
      },
      event.body);

  PlaceDueTasks(state, effects);
}

}  // namespace

bool WasPaused(const State& state) {
  return state.now - state.previous > state.settings.task_lease / 2;
}

std::string DataCentrePrefix(const State& state) {
  return "dc/" + state.settings.identity.data_centre.Text() + "/";
}

std::string RackKey(const State& state, const RackId& rack) {
  return DataCentrePrefix(state) + "racks/" + rack.Text();
}

std::string JobKey(const State& state, const JobId& job) {
  return DataCentrePrefix(state) + "jobs/" + job.Text();
}

std::string PartPrefix(const State& state, const RackId& rack) {
  return std::string(kPartsRoot) + state.settings.identity.data_centre.Text() + "/" + rack.Text() +
         "/";
}

std::string PartKey(const State& state, const RackId& rack, const JobId& job) {
  return PartPrefix(state, rack) + job.Text();
}

std::optional<std::string> AfterPrefix(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return std::nullopt;

  return std::string(key.substr(prefix.size()));
}

const Feature kWorkFeature = {.name = "work", .handle = Handle, .dump = DumpWork};

}  // namespace currantpost

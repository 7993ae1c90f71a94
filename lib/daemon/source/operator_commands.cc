#include "operator_commands.h"

#include <absl/strings/numbers.h>

#include <string>
#include <utility>

#include "currantpost/model/codec.h"

namespace currantpost {
namespace {

constexpr size_t kLongestName = 256;

/// Returns a part of the path, from 1, as a name.
Result<std::string> NameIn(const httplib::Request& request, size_t part) {
  std::string name = request.matches[part].str();
  if (name.size() > kLongestName) return Fail(ErrorCode::kTooLarge, "name in the path");

  return name;
}

/// Returns the revision that the operator saw; 0 if the request names none.
Result<int64_t> ExpectedRevision(const httplib::Request& request) {
  constexpr const char* kKey = "expected_revision";
  if (!request.has_param(kKey)) return 0;

  int64_t revision = 0;
  if (!absl::SimpleAtoi(request.get_param_value(kKey), &revision)) {
    return Fail(ErrorCode::kInvalidArgument, kKey);
  }

  if (revision < 0) return Fail(ErrorCode::kOutOfRange, kKey);

  return revision;
}

Result<Command> ReadDumpState(const httplib::Request& /*request*/) { return DumpState{}; }

Result<Command> ReadListPresets(const httplib::Request& /*request*/) { return ListPresets{}; }

Result<Command> ReadSubmitJob(const httplib::Request& request) {
  return DecodeJobSpec(request.body).map([](JobSpec spec) {
    return Command(SubmitJob{std::move(spec)});
  });
}

Result<Command> ReadShowJob(const httplib::Request& request) {
  return NameIn(request, 1).map([](std::string name) {
    return Command(ShowJob{JobId(std::move(name))});
  });
}

Result<Command> ReadCancelJob(const httplib::Request& request) {
  return NameIn(request, 1).map([](std::string name) {
    return Command(CancelJob{JobId(std::move(name))});
  });
}

Result<Command> ReadExplainTask(const httplib::Request& request) {
  Result<std::string> job = NameIn(request, 1);
  if (!job) return tl::unexpected<Error>(job.error());

  int32_t index = 0;
  if (!absl::SimpleAtoi(request.matches[2].str(), &index)) {
    return Fail(ErrorCode::kOutOfRange, "task index");
  }

  return ExplainTask{TaskKey{.job = JobId(*std::move(job)), .index = index}};
}

Result<Command> ReadSetPreset(const httplib::Request& request) {
  const Result<std::string> name = NameIn(request, 1);
  if (!name) return tl::unexpected<Error>(name.error());

  const Result<int64_t> revision = ExpectedRevision(request);
  if (!revision) return tl::unexpected<Error>(revision.error());

  Result<Preset> preset = DecodePreset(request.body);
  if (!preset) return tl::unexpected<Error>(preset.error());
  if (preset->name != *name) return Fail(ErrorCode::kInvalidArgument, "name differs from the path");

  return SetPreset{.preset = *std::move(preset), .expected_revision = *revision};
}

Result<Command> ReadSwitchPreset(const httplib::Request& request) {
  Result<std::string> name = NameIn(request, 1);
  if (!name) return tl::unexpected<Error>(name.error());

  const Result<int64_t> revision = ExpectedRevision(request);
  if (!revision) return tl::unexpected<Error>(revision.error());

  return SwitchPreset{.name = *std::move(name), .expected_revision = *revision};
}

Result<Command> ReadSetQuota(const httplib::Request& request) {
  Result<std::string> team = NameIn(request, 1);
  if (!team) return tl::unexpected<Error>(team.error());

  const Result<int64_t> revision = ExpectedRevision(request);
  if (!revision) return tl::unexpected<Error>(revision.error());

  const Result<Resources> limit = DecodeResources(request.body);
  if (!limit) return tl::unexpected<Error>(limit.error());

  return SetQuota{
      .team = TeamId(*std::move(team)), .limit = *limit, .expected_revision = *revision};
}

}  // namespace

const CommandRoute kCommandRoutes[] = {
    {"GET", "/v1/state", ReadDumpState},
    {"POST", "/v1/jobs", ReadSubmitJob},
    {"GET", "/v1/jobs/([^/]+)", ReadShowJob},
    {"POST", "/v1/jobs/([^/]+)/cancel", ReadCancelJob},
    {"GET", "/v1/tasks/([^/]+)/([0-9]+)/explain", ReadExplainTask},
    {"GET", "/v1/presets", ReadListPresets},
    {"PUT", "/v1/presets/([^/]+)", ReadSetPreset},
    {"POST", "/v1/presets/([^/]+)/switch", ReadSwitchPreset},
    {"PUT", "/v1/quotas/([^/]+)", ReadSetQuota},
};

const size_t kCommandRouteCount = std::size(kCommandRoutes);

}  // namespace currantpost

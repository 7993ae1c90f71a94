#include "standin_vm_list.h"

#include <utility>

#include "currantpost/model/json.h"
#include "currantpost/platform/headers.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;

}  // namespace

StandinVmList::StandinVmList(Millis lag)
    : lag_(lag), service_(ServiceOptions{.not_done_header = platform_headers::kNotApplied}) {
  service_.Serve("GET", "/vms", [this](const auto& /*request*/, auto& response) {
    AnswerJson(response, kHttpOk, json(Served()));
  });

  service_.ServeAdmin("PUT", "/admin/vms", [this](const auto& request, auto& response) {
    SetVms(json::parse(request.body).template get<std::vector<VmRecord>>());
    AnswerJson(response, kHttpOk, json::object());
  });
}

void StandinVmList::SetVms(std::vector<VmRecord> vms) {
  const std::lock_guard lock(mutex_);
  versions_.push_back(Version{clock_.Now(), std::move(vms)});
}

std::vector<VmRecord> StandinVmList::Served() {
  const std::lock_guard lock(mutex_);
  const Millis newest = clock_.Now() - lag_;

  while (versions_.size() > 1 && versions_[1].set_at <= newest) versions_.erase(versions_.begin());

  if (versions_.empty() || versions_.front().set_at > newest) return {};
  return versions_.front().vms;
}

}  // namespace currantpost::standins

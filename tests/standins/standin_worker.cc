#include "standin_worker.h"

#include <utility>

#include "currantpost/model/json.h"
#include "currantpost/platform/headers.h"

namespace currantpost::standins {

using nlohmann::json;

namespace {

constexpr int kHttpOk = 200;

}  // namespace

StandinWorker::StandinWorker(WorkerOptions options)
    : model_(std::move(options)),
      service_(ServiceOptions{.not_done_header = platform_headers::kNotApplied}) {
  ServeOrders();
  ServeAdmin();
}

void StandinWorker::Restart() {
  const std::lock_guard lock(mutex_);
  model_.Restart(clock_.Now());
}

void StandinWorker::FailEveryTask(bool fails) {
  const std::lock_guard lock(mutex_);
  model_.FailEveryTask(fails);
}

void StandinWorker::SetBehaviour(const std::string& kind, const KindBehaviour& behaviour) {
  const std::lock_guard lock(mutex_);
  model_.SetBehaviour(kind, behaviour);
}

WorkerRecords StandinWorker::Records() {
  const std::lock_guard lock(mutex_);
  return model_.Records(clock_.Now());
}

void StandinWorker::ServeOrders() {
  service_.Serve("POST", worker_protocol::kOrderPath, [this](const auto& request, auto& response) {
    const auto order = worker_protocol::ReadOrder(json::parse(request.body));
    const std::lock_guard lock(mutex_);
    const WorkerReply reply = model_.Order(clock_.Now(), order);
    AnswerJson(response, kHttpOk, worker_protocol::ReplyJson(reply));
  });
}

void StandinWorker::ServeAdmin() {
  service_.ServeAdmin("GET", "/admin/records", [this](const auto& /*request*/, auto& response) {
    const WorkerRecords records = Records();
    AnswerJson(response, kHttpOk, RecordsJson(model_.Vm(), records));
  });

  service_.ServeAdmin("POST", "/admin/restart", [this](const auto& /*request*/, auto& response) {
    Restart();
    AnswerJson(response, kHttpOk, json::object());
  });

  service_.ServeAdmin("PUT", "/admin/fail_every_task", [this](const auto& request, auto& response) {
    FailEveryTask(json::parse(request.body).template get<bool>());
    AnswerJson(response, kHttpOk, json::object());
  });

  service_.ServeAdmin("PUT", "/admin/kinds", [this](const auto& request, auto& response) {
    const json kinds = json::parse(request.body);

    for (const auto& [kind, body] : kinds.items()) {
      KindBehaviour behaviour;
      ReadOptional(body, "run_time_factor", behaviour.run_time_factor);
      ReadOptional(body, "usage_factor", behaviour.usage_factor);
      ReadOptional(body, "slowdown", behaviour.slowdown);
      SetBehaviour(kind, behaviour);
    }

    AnswerJson(response, kHttpOk, json::object());
  });
}

}  // namespace currantpost::standins

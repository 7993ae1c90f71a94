#include "caller.h"

#include <nlohmann/json.hpp>

namespace currantpost::soak {
namespace {

constexpr Millis kDeadline = Millis(3'000);
constexpr int kMostRefusals = 3;

/// Returns the status of a complete answer, 0 if there is none.
int StatusOf(const HttpReply& reply) {
  return reply.outcome == CallOutcome::kAnswered ? reply.response.status : 0;
}

bool IsUnknown(int status) { return status == 0 || status == 502 || status == 504; }

}  // namespace

Caller::Caller(EventLoop& loop, const Clock& clock, JobBook& jobs, CallerObserver& observer,
               std::function<Address(Random&)> choose_entry, uint64_t seed)
    : loop_(loop),
      jobs_(jobs),
      observer_(observer),
      choose_entry_(std::move(choose_entry)),
      random_(seed),
      http_(loop, clock, HttpClientLimits{}),
      entry_(choose_entry_(random_)) {}

void Caller::Submit(bool long_running) {
  const JobPlan& plan = jobs_.Add(DrawJob(random_, long_running));
  open_[plan.id] = Job{.plan = &plan};
  SendSubmit(plan.id);
}

void Caller::CancelLongRunning() {
  for (const auto& [id, job] : open_) {
    if (job.accepted && job.plan->LongRunning()) Cancel(id);
  }
}

void Caller::SendSubmit(const std::string& id) {
  const Job& job = open_.at(id);
  observer_.OnSubmitSent(*job.plan);
  Send("POST", job, [this, id](const HttpReply& reply) { OnSubmitReply(id, reply); });
}

void Caller::OnSubmitReply(const std::string& id, const HttpReply& reply) {
  Job& job = open_.at(id);
  const int status = StatusOf(reply);
  observer_.OnSubmitAnswer(id, status);

  if (status >= 200 && status < 300) return Accept(id);
  if (IsUnknown(status)) return After(100, 600, [this, id] { SendSubmit(id); });
  if (job.accepted || ++job.refusals >= kMostRefusals) return;

  After(300, 1'500, [this, id] { SendSubmit(id); });
}

void Caller::Accept(const std::string& id) {
  Job& job = open_.at(id);
  if (job.accepted) return;

  job.accepted = true;
  // The same request arrives again, seconds after its answer.
  if (Draw(random_, 1, 10) == 1) After(500, 4'000, [this, id] { SendSubmit(id); });
  const bool cancels = Draw(random_, 1, 8) == 1;
  if (cancels) After(200, job.plan->LongRunning() ? 20'000 : 2'500, [this, id] { Cancel(id); });
  After(200, 2'000, [this, id] { AskState(id); });
}

void Caller::AskState(const std::string& id) {
  Send("GET", open_.at(id), [this, id](const HttpReply& reply) { OnStateReply(id, reply); });
}

void Caller::OnStateReply(const std::string& id, const HttpReply& reply) {
  const int status = StatusOf(reply);
  std::string state;

  if (status == 200) {
    const auto body = nlohmann::json::parse(reply.response.body, nullptr, false);
    if (body.is_object()) state = body.value("state", std::string());
  }

  observer_.OnState(id, status, state);
  const bool has_ended = state == "completed" || state == "failed" || state == "cancelled";
  After(has_ended ? 4'000 : 400, has_ended ? 9'000 : 2'000, [this, id] { AskState(id); });
}

void Caller::Cancel(const std::string& id) {
  Job& job = open_.at(id);
  const bool first = !std::exchange(job.cancelling, true);
  if (first) observer_.OnCancelSent(id);

  Send("DELETE", job, [this, id](const HttpReply& reply) {
    const int status = StatusOf(reply);
    observer_.OnCancelAnswer(id, status);
    const bool acknowledged = (status >= 200 && status < 300) || status == 410;
    if (!acknowledged) After(100, 800, [this, id] { Cancel(id); });
  });
}

void Caller::Send(const std::string& method, const Job& job, HttpClient::Callback callback) {
  HttpRequest request{.method = method, .target = job.plan->queue_prefix + job.plan->id};
  request.fields = {{"Host", std::string(kHost)},
                    {"Deadline-Remaining", std::to_string(kDeadline.Count())}};
  if (method == "POST") {
    request.fields.emplace_back("Content-Type", "application/json");
    request.body = job.plan->Body();
  }

  // Some calls come over a new path although the present one works.
  if (Draw(random_, 1, 20) == 1) entry_ = choose_entry_(random_);
  http_.Send(entry_, request, kDeadline,
             [this, used = entry_, callback = std::move(callback)](const HttpReply& reply) {
               const bool lost = reply.outcome != CallOutcome::kAnswered;
               if (lost && used == entry_) entry_ = choose_entry_(random_);
               callback(reply);
             });
}

void Caller::After(int64_t low_ms, int64_t high_ms, std::function<void()> action) {
  loop_.After(Millis(Draw(random_, low_ms, high_ms)), std::move(action));
}

}  // namespace currantpost::soak

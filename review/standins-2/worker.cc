#include "worker.h"

#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace review {

using currantpost::HttpResponse;
using currantpost::Millis;
using currantpost::ReceivedRequest;
using currantpost::Respond;
using Json = nlohmann::json;

namespace {

constexpr int64_t kHeartbeatMs = 1'500;
constexpr int64_t kHoldMaxMs = 10'000;
constexpr int64_t kMaxWaitMs = 2'000;
constexpr Millis kTickInterval = Millis(10);
constexpr Millis kRegisterTimeout = Millis(1'000);

int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

HttpResponse JsonResponse(int status, const Json& body) {
  return HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

int64_t NumberOf(const std::string& spec, const std::string& name) {
  return std::strtoll(ValueOf(" " + spec, name).c_str(), nullptr, 10);
}

std::string Joined(const std::vector<std::string>& texts) {
  std::string joined;
  for (const std::string& text : texts) joined += (joined.empty() ? "" : ",") + text;
  return joined;
}

}  // namespace

Worker::Worker(currantpost::EventLoop& loop, const currantpost::Clock& clock, WorkerOptions options,
               Record record)
    : loop_(loop),
      options_(std::move(options)),
      record_(std::move(record)),
      server_(loop, clock, currantpost::HttpServerLimits{},
              [this](const ReceivedRequest& request, const Respond& respond) {
                Handle(request, respond);
              }),
      http_(loop, clock, currantpost::HttpClientLimits{}) {}

void Worker::Start() {
  started_at_ = NowMs();
  born_ = UnixMs();

  if (const currantpost::Error error = server_.Listen(options_.address); error.code) {
    throw std::runtime_error("the worker cannot listen: " + error.detail);
  }

  record_.Write("WORKER-UP worker=" + options_.id + " labels=" + Joined(options_.labels) +
                " cpu=" + std::to_string(options_.cpu) + " born=" + std::to_string(born_));
  Register();
  Tick();
}

int64_t Worker::Clock() const { return NowMs() - started_at_; }

void Worker::Register() {
  const Json entry{{"service", options_.service},
                   {"address", options_.address.host + ":" + std::to_string(options_.address.port)},
                   {"zone", options_.zone},
                   {"version", "v1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"capacity", {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
                   {"labels", options_.labels},
                   {"clock_ms", Clock()},
                   {"born", born_},
                   {"seq", ++beats_}};
  const Json body{{"key", "servers/" + options_.id}, {"value", entry.dump()}};
  const currantpost::HttpRequest request{.method = "POST",
                                         .target = "/standin-put",
                                         .fields = {{"Content-Type", "application/json"}},
                                         .body = body.dump()};
  http_.Send(options_.store, request, kRegisterTimeout, [this](const currantpost::HttpReply&) {
    if (beats_ == 1) record_.Write("REGISTERED worker=" + options_.id);
  });
  loop_.After(Millis(kHeartbeatMs), [this] { Register(); });
}

bool Worker::Fits(const TaskNeeds& needs) const {
  int64_t cpu = needs.cpu;
  int64_t mem = needs.mem_mb;

  for (const auto& [task, run] : running_) {
    cpu += run.needs.cpu;
    mem += run.needs.mem_mb;
  }

  return cpu <= options_.cpu && mem <= options_.mem_mb;
}

void Worker::ExtendLease(int64_t until) {
  lease_until_ = std::max(lease_until_, std::min(until, Clock() + kHoldMaxMs));
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const Run run = running_.at(task);
  running_.erase(task);
  closed_[task] = std::max(closed_[task], run.run);
  ended_.push_back(End{++last_number_, task, run.run, how});
  record_.Write("END worker=" + options_.id + " task=" + task + " run=" + std::to_string(run.run) +
                " how=" + how);
}

Json Worker::Lists() const {
  Json running = Json::array();
  Json ended = Json::array();

  for (const auto& [task, run] : running_) {
    running.push_back(Json::array({task, run.run, "", 100, run.needs.cpu}));
  }
  for (const End& end : ended_) {
    ended.push_back(Json::array({end.number, end.task, end.run, end.how, ""}));
  }

  return Json{{"clock_ms", Clock()}, {"born", born_}, {"running", running}, {"ended", ended}};
}

void Worker::Handle(const ReceivedRequest& request, const Respond& respond) {
  const auto instance = request.Field("Expect-Instance");
  if (instance && *instance != options_.id) {
    return respond(JsonResponse(421, Json{{"clock_ms", Clock()}}));
  }

  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return respond(JsonResponse(400, Json{{"clock_ms", Clock()}}));

  const int64_t token = body.value("fencing_token", int64_t{0});
  if (token < token_) {
    return respond(JsonResponse(409, Json{{"clock_ms", Clock()}, {"reason", "fence"}}));
  }

  token_ = token;
  if (request.target == "/hold") return Hold(body, respond);

  int status = 200;
  Json answer{{"clock_ms", Clock()}};
  if (request.target == "/run-start") answer = StartRun(body, status);
  if (request.target == "/run-stop") answer = StopRun(body, status);
  respond(JsonResponse(status, answer));
}

Json Worker::StartRun(const Json& body, int& status) {
  const std::string task = body.at("task").get<std::string>();
  const int64_t run = body.at("run").get<int64_t>();
  const std::string spec = body.at("spec").get<std::string>();
  const int64_t until = body.at("until_ms").get<int64_t>();
  const TaskNeeds needs{NumberOf(spec, "ms"), NumberOf(spec, "cpu"), NumberOf(spec, "mem")};
  const std::string what = " worker=" + options_.id + " task=" + task +
                           " run=" + std::to_string(run) + " " + spec +
                           " labels=" + Joined(options_.labels) + " service=" + options_.service +
                           " born=" + std::to_string(born_);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    return Json{{"clock_ms", Clock()}};
  }

  std::string reason;
  const auto closed = closed_.find(task);
  if (closed != closed_.end() && run <= closed->second) reason = "old";
  if (reason.empty() && until <= Clock()) reason = "late";
  if (reason.empty() && options_.guards && !Fits(needs)) reason = "room";
  if (reason != "late") ExtendLease(until);

  if (!reason.empty()) {
    status = 409;
    record_.Write("REJECT" + what + " reason=" + reason);
    return Json{{"clock_ms", Clock()}, {"reason", reason}};
  }

  record_.Write("START" + what + " looked_at=" + (was_looked_at_ ? "yes" : "no") +
                " fits=" + (Fits(needs) ? "yes" : "no"));
  if (present != running_.end()) EndRun(task, "stopped");
  running_[task] = Run{run, spec, needs, needs.duration_ms > 0 ? NowMs() + needs.duration_ms : 0};
  return Json{{"clock_ms", Clock()}};
}

Json Worker::StopRun(const Json& body, int& status) {
  const std::string task = body.at("task").get<std::string>();
  const int64_t run = body.at("run").get<int64_t>();
  const auto present = running_.find(task);

  if (present == running_.end() || present->second.run != run) {
    closed_[task] = std::max(closed_[task], run);
    status = 409;
    return Json{{"clock_ms", Clock()}, {"reason", "old"}};
  }

  EndRun(task, "stopped");
  return Json{{"clock_ms", Clock()}};
}

void Worker::Hold(const Json& body, const Respond& respond) {
  if (body.contains("until_ms")) ExtendLease(body.at("until_ms").get<int64_t>());

  const int64_t seen = body.value("last_seen", int64_t{0});
  std::erase_if(ended_, [&](const End& end) { return end.number <= seen; });
  const int64_t wait = std::min(body.value("wait_ms", int64_t{0}), kMaxWaitMs);

  if (!ended_.empty() || wait == 0) {
    respond(JsonResponse(200, Lists()));
    was_looked_at_ = true;
    return;
  }

  waiting_.push_back(WaitingPoll{NowMs() + wait, respond});
}

void Worker::Tick() {
  const int64_t now = NowMs();
  std::vector<std::pair<std::string, std::string>> over;

  for (const auto& [task, run] : running_) {
    if (Clock() >= lease_until_) {
      over.emplace_back(task, "lapsed");
    } else if (run.ends_at != 0 && now >= run.ends_at) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) EndRun(task, how);

  waiting_.remove_if([&](const WaitingPoll& poll) {
    if (ended_.empty() && now < poll.until) return false;

    poll.respond(JsonResponse(200, Lists()));
    was_looked_at_ = true;
    return true;
  });
  loop_.After(kTickInterval, [this] { Tick(); });
}

}  // namespace review

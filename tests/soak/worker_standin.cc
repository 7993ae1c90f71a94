#include "worker_standin.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "bounds.h"

namespace currantpost::soak {
namespace {

using Json = nlohmann::json;

constexpr size_t kListedEnds = 500;
constexpr Millis kLongestWait = Millis(2'000);
constexpr Millis kSaveInterval = Millis(300);

HttpResponse JsonResponse(int status, const Json& body) {
  return HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

int64_t UnixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

/// A checkpoint names how much of a task's work is saved, in milliseconds.
std::string CheckpointOf(Millis saved) {
  return saved == Millis(0) ? "" : "saved-" + std::to_string(saved.Count());
}

Millis SavedWork(const std::string& checkpoint) {
  int64_t saved = 0;
  const bool valid =
      checkpoint.starts_with("saved-") && absl::SimpleAtoi(checkpoint.substr(6), &saved);
  return Millis(valid ? saved : 0);
}

}  // namespace

WorkerStandin::WorkerStandin(EventLoop& loop, const Clock& clock, WorkerProfile profile,
                             const JobBook& jobs, StoreStandin& store, WorkerObserver& observer,
                             uint64_t seed)
    : loop_(loop),
      clock_(clock),
      profile_(std::move(profile)),
      jobs_(jobs),
      store_(store),
      observer_(observer),
      random_(seed) {}

Error WorkerStandin::Start(const std::string& host) {
  auto life = std::make_shared<Life>();
  life->number = ++lives_;
  life->born = UnixMillis();
  life->born_at = clock_.Now();
  // A request that arrives after the life has ended finds nobody.
  life->server = std::make_unique<HttpServer>(
      loop_, clock_, StandinLimits(),
      [this, weak = std::weak_ptr(life)](const ReceivedRequest& request, Respond respond) {
        const std::shared_ptr<Life> present = weak.lock();
        if (present != nullptr && present == life_) Receive(present, request, std::move(respond));
      });

  Error error = life->server->Listen(Address{.host = host, .port = 0});
  if (error.code) return error;

  life_ = std::move(life);
  sequence_ = 0;
  Report();
  return Error{};
}

void WorkerStandin::Crash() {
  if (life_ == nullptr) return;

  observer_.OnWorkerGone(profile_.id, life_->number);
  former_servers_.push_back(std::move(life_->server));
  life_.reset();
}

void WorkerStandin::Drain() {
  if (life_ == nullptr) return;
  life_->draining = true;
  Report();
}

Millis WorkerStandin::WorkerClock() const {
  const Millis span = clock_.Now() - life_->born_at;
  return span - span * profile_.clock_slow_percent / 100;
}

void WorkerStandin::Report() {
  reported_at_ = clock_.Now();
  const Json report{
      {"service", profile_.service},
      {"address", profile_.address.host + ":" + std::to_string(profile_.address.port)},
      {"zone", profile_.zone},
      {"version", "1"},
      {"slots", 16},
      {"state", life_->draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"seq", ++sequence_},
      {"born", life_->born},
      {"capacity", {{"cpu", profile_.cpu}, {"mem_mb", profile_.mem_mb}, {"gpu", 0}}},
      {"labels", {"standard", profile_.rack}}};
  const bool accepted = store_.Register(profile_.id, report.dump());

  if (accepted && life_->draining && life_->leaves_at == Millis(0)) {
    life_->leaves_at = reported_at_ + kBounds.drain + Millis(Draw(random_, 50, 3'000));
  }
}

void WorkerStandin::Receive(const std::shared_ptr<Life>& life, const ReceivedRequest& request,
                            Respond respond) {
  if (unhealthy_ && Draw(random_, 0, 1) == 0) return respond(HttpResponse{.status = 503});

  if (!late_orders_ || Draw(random_, 0, 3) != 0) return CarryOut(request, respond, false);

  unanswered_.Add(std::move(respond), clock_.Now(), random_);
  const Respond none = [](const HttpResponse&) {};
  loop_.After(Millis(Draw(random_, 200, 5'000)), [this, life, request, none] {
    if (life == life_) CarryOut(request, none, true);
  });
}

void WorkerStandin::CarryOut(const ReceivedRequest& request, const Respond& respond, bool held_up) {
  const auto instance = request.Field("Expect-Instance");
  if (instance && *instance != profile_.id) return respond(HttpResponse{.status = 421});

  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return respond(HttpResponse{.status = 400});

  const int64_t token = body.value("fencing_token", int64_t{0});
  if (token < life_->token) return Reject("fence", respond);

  life_->token = token;
  observer_.OnOrder(profile_.id, life_->number, token);
  if (request.target == "/hold") return Hold(request.body, respond);

  const TaskKey task = TaskKey::Parse(body.value("task", std::string()));
  const bool is_task = !task.job.empty() && body.contains("run");
  if (!is_task) return respond(HttpResponse{.status = 400});

  if (request.target == "/run-start") return StartRun(task, request.body, respond, held_up);
  if (request.target == "/run-stop") return StopRun(task, body["run"], respond);

  const int status = request.target == "/pace" ? 200 : 404;
  respond(JsonResponse(status, {{"clock_ms", WorkerClock().Count()}}));
}

void WorkerStandin::StartRun(const TaskKey& task, const std::string& body, const Respond& respond,
                             bool held_up) {
  const Json order = Json::parse(body);
  const int64_t run = order["run"];
  const Millis until(order.value("until_ms", int64_t{0}));
  const Json accepted{{"clock_ms", WorkerClock().Count()}};

  const auto present = life_->running.find(task);
  if (present != life_->running.end() && present->second.run == run) {
    ExtendLease(until);
    return respond(JsonResponse(200, accepted));
  }

  const bool replaced = present != life_->running.end() && present->second.run > run;
  const auto closed = life_->closed_run.find(task);
  const bool is_old = replaced || (closed != life_->closed_run.end() && run <= closed->second);

  if (until <= WorkerClock()) return Reject("late", respond);
  if (is_old) {
    ExtendLease(until);
    return Reject("old", respond);
  }

  const StepPlan* known = jobs_.FindStep(task);
  const StepPlan plan = known == nullptr ? StepPlan{} : *known;
  const bool fits = Fits(plan);

  if (!fits && profile_.guards_capacity) {
    ExtendLease(until);
    return Reject("room", respond);
  }

  if (present != life_->running.end()) EndRun(task, "stopped");
  ExtendLease(until);
  RunState state{.run = run, .plan = plan, .started_at = clock_.Now()};
  state.saved = SavedWork(order.value("checkpoint", std::string()));
  state.fails = Draw(random_, 1, 1'000) <= profile_.failing_permille;
  life_->running[task] = state;
  observer_.OnStart(KeyOf(task, run), held_up, !fits);
  respond(JsonResponse(200, accepted));
}

void WorkerStandin::StopRun(const TaskKey& task, int64_t run, const Respond& respond) {
  const auto present = life_->running.find(task);

  if (present == life_->running.end() || present->second.run != run) {
    int64_t& closed = life_->closed_run[task];
    closed = std::max(closed, run);
  } else if (present->second.stops_at == Millis(0)) {
    present->second.stops_at = clock_.Now() + Millis(Draw(random_, 10, kBounds.stop.Count() - 50));
  }

  respond(JsonResponse(200, {{"clock_ms", WorkerClock().Count()}}));
}

void WorkerStandin::Hold(const std::string& body, const Respond& respond) {
  const Json order = Json::parse(body);
  const int64_t last_seen = order.value("last_seen", int64_t{0});
  const Millis wait = std::min(Millis(order.value("wait_ms", int64_t{0})), kLongestWait);
  if (order.contains("until_ms")) ExtendLease(Millis(order["until_ms"].get<int64_t>()));

  while (!life_->ended.empty() && life_->ended.front().number <= last_seen) {
    const EndedRun end = std::move(life_->ended.front());
    life_->ended.pop_front();
    observer_.OnNoted(KeyOf(end.task, end.run), end.how, end.number <= life_->lapsed_up_to);
  }

  if (!life_->ended.empty() || wait == Millis(0)) return AnswerHold(respond);
  life_->polls.push_back(Poll{clock_.Now() + wait, respond});
}

void WorkerStandin::AnswerHold(const Respond& respond) const {
  Json answer{{"clock_ms", WorkerClock().Count()},
              {"born", life_->born},
              {"running", Json::array()},
              {"ended", Json::array()}};

  for (const auto& [task, state] : life_->running) {
    answer["running"].push_back(
        {task.Text(), state.run, CheckpointOf(state.saved), 100, state.plan.cpu});
  }

  const size_t listed = std::min(life_->ended.size(), kListedEnds);
  for (size_t i = 0; i < listed; ++i) {
    const EndedRun& end = life_->ended[i];
    answer["ended"].push_back({end.number, end.task.Text(), end.run, end.how, end.checkpoint});
  }

  respond(JsonResponse(200, answer));
}

void WorkerStandin::Reject(const char* reason, const Respond& respond) const {
  respond(JsonResponse(409, {{"clock_ms", WorkerClock().Count()}, {"reason", reason}}));
}

void WorkerStandin::ExtendLease(Millis until) {
  const Millis longest = WorkerClock() + kBounds.max_worker_lease;
  life_->lease_until = std::max(life_->lease_until, std::min(until, longest));
}

void WorkerStandin::EndRun(const TaskKey& task, const std::string& how) {
  const auto present = life_->running.find(task);
  const RunState state = present->second;
  life_->running.erase(present);
  life_->ended.push_back(
      EndedRun{++life_->last_end, task, state.run, how, CheckpointOf(state.saved)});
  int64_t& closed = life_->closed_run[task];
  closed = std::max(closed, state.run);
  observer_.OnEnd(KeyOf(task, state.run), how);
}

void WorkerStandin::EndDueRuns() {
  const Millis now = clock_.Now();
  const bool lapsed = !life_->running.empty() && WorkerClock() >= life_->lease_until;
  // Ends that are still listed then count as lapsed with the lease.
  if (WorkerClock() >= life_->lease_until) life_->lapsed_up_to = life_->last_end;

  std::vector<TaskKey> tasks;
  for (const auto& [task, state] : life_->running) tasks.push_back(task);

  for (const TaskKey& task : tasks) {
    RunState& state = life_->running.at(task);
    const Millis worked = now - state.started_at;
    const bool stopped = state.stops_at > Millis(0) && now >= state.stops_at;
    const bool is_over = !state.plan.long_running && worked + state.saved >= state.plan.duration;

    if (state.plan.checkpointing && (worked >= kSaveInterval || stopped)) {
      state.saved = state.saved + worked;
      state.started_at = now;
    }

    if (lapsed) {
      EndRun(task, "lapsed");
    } else if (stopped) {
      EndRun(task, "stopped");
    } else if (is_over) {
      EndRun(task, state.fails ? "failed" : "done");
    } else if (state.plan.long_running && state.fails && worked >= Millis(3'000)) {
      EndRun(task, "failed");
    }
  }
}

void WorkerStandin::Tick() {
  unanswered_.Tick(clock_.Now());
  if (life_ == nullptr) return;

  EndDueRuns();
  const Millis now = clock_.Now();
  std::vector<Poll> waiting = std::exchange(life_->polls, {});

  for (Poll& poll : waiting) {
    if (!life_->ended.empty() || now >= poll.ends_at) {
      AnswerHold(poll.respond);
    } else {
      life_->polls.push_back(std::move(poll));
    }
  }

  if (now - reported_at_ >= kBounds.heartbeat) Report();
  const bool leaves = life_->leaves_at > Millis(0) && now >= life_->leaves_at;
  if (!leaves) return;

  Crash();
  store_.Deregister(profile_.id);
}

bool WorkerStandin::Fits(const StepPlan& need) const {
  int64_t cpu = need.cpu;
  int64_t mem_mb = need.mem_mb;

  for (const auto& [task, state] : life_->running) {
    cpu += state.plan.cpu;
    mem_mb += state.plan.mem_mb;
  }

  return cpu <= profile_.cpu && mem_mb <= profile_.mem_mb;
}

RunKey WorkerStandin::KeyOf(const TaskKey& task, int64_t run) const {
  return RunKey{profile_.id, life_->number, task, run};
}

}  // namespace currantpost::soak

#include "worker.h"

#include <absl/strings/numbers.h>

#include <chrono>
#include <iostream>
#include <utility>

namespace currantpost::review {
namespace {

constexpr Millis kTickInterval = Millis(10);
constexpr Millis kHeartbeat = Millis(1'500);
constexpr Millis kStoreTimeout = Millis(1'000);
constexpr size_t kEndsPerReply = 500;

int64_t UnixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.idle_timeout = Millis(60'000);
  return limits;
}

}  // namespace

Worker::Worker(EventLoop& loop, const Clock& clock, WorkerOptions options)
    : loop_(loop),
      clock_(clock),
      options_(std::move(options)),
      server_(loop, clock, Limits(),
              [this](const ReceivedRequest& request, const Respond& respond) {
                Handle(request, respond);
              }),
      http_(loop, clock, HttpClientLimits{}),
      born_at_(clock.Now()),
      born_unix_ms_(UnixMillis()) {}

bool Worker::Listen() {
  if (server_.Listen(Address{"127.0.0.1", options_.port}).code) return false;

  std::cout << UnixMillis() << " up " << options_.id << " " << options_.kind << std::endl;
  Announce();
  Tick();
  return true;
}

void Worker::Handle(const ReceivedRequest& request, const Respond& respond) {
  const Json body = Json::parse(request.body, nullptr, false);
  const auto instance = request.Field("Expect-Instance");
  if (instance && *instance != options_.id) return Answer(respond, 421, Json::object());
  if (!body.is_object()) return Answer(respond, 400, Json::object());

  const int64_t token = body.value("fencing_token", int64_t{0});
  if (token < token_) return Answer(respond, 409, {{"reason", "fence"}});

  token_ = token;
  if (request.target == "/run-start") return Start(body, respond);
  if (request.target == "/run-stop") return Stop(body, respond);
  if (request.target == "/hold") return Hold(body, respond);

  Answer(respond, 200, Json::object());
}

void Worker::Start(const Json& body, const Respond& respond) {
  const std::string task = body.at("task").get<std::string>();
  const int64_t run = body.at("run").get<int64_t>();
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run == run) {
    ExtendLease(body);
    return Answer(respond, 200, Json::object());
  }

  if (body.value("until_ms", int64_t{0}) <= ClockMs()) {
    return Answer(respond, 409, {{"reason", "late"}});
  }

  ExtendLease(body);
  const auto closed = closed_.find(task);
  const bool old = present != running_.end() || (closed != closed_.end() && run <= closed->second);
  if (old) return Answer(respond, 409, {{"reason", "old"}});

  // "SPEC" is "MILLISECONDS MILLICORES ...".
  const std::string spec = body.value("spec", std::string());
  int64_t work_ms = 0;
  int64_t millicores = 0;
  const size_t space = spec.find(' ');
  const size_t next = spec.find(' ', space + 1);
  if (!absl::SimpleAtoi(spec.substr(0, space), &work_ms) ||
      !absl::SimpleAtoi(spec.substr(space + 1, next - space - 1), &millicores)) {
    return Answer(respond, 400, Json::object());
  }

  int64_t used = millicores;
  for (const auto& [name, state] : running_) used += state.millicores;
  if (options_.guards && used > options_.millicores) {
    return Answer(respond, 409, {{"reason", "room"}});
  }

  running_[task] = RunState{run, millicores, clock_.Now() + Millis(work_ms)};
  std::cout << UnixMillis() << " start " << options_.id << " " << options_.kind << " " << task
            << " " << run << " " << spec << std::endl;
  Answer(respond, 200, Json::object());
}

void Worker::Stop(const Json& body, const Respond& respond) {
  const std::string task = body.at("task").get<std::string>();
  const int64_t run = body.at("run").get<int64_t>();
  int64_t& closed = closed_[task];
  closed = std::max(closed, run);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.run <= run) EndRun(task, "stopped");
  Answer(respond, 200, Json::object());
}

void Worker::Hold(const Json& body, const Respond& respond) {
  ExtendLease(body);
  const int64_t last_seen = body.value("last_seen", int64_t{0});
  std::erase_if(ended_, [&](const EndRow& row) { return row.number <= last_seen; });
  const Millis wait(body.value("wait_ms", int64_t{0}));

  if (!ended_.empty() || wait <= Millis(0)) return Answer(respond, 200, Lists());

  polls_.push_back(Poll{clock_.Now() + wait, respond});
}

void Worker::ExtendLease(const Json& body) {
  const int64_t until = body.value("until_ms", int64_t{0});
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until, ClockMs() + options_.hold_max_ms));
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const RunState state = running_.at(task);
  running_.erase(task);
  int64_t& closed = closed_[task];
  closed = std::max(closed, state.run);
  ended_.push_back(EndRow{++last_number_, task, state.run, how});
  std::cout << UnixMillis() << " end " << options_.id << " " << options_.kind << " " << task << " "
            << state.run << " " << how << std::endl;
}

void Worker::Answer(const Respond& respond, int status, Json body) const {
  body["clock_ms"] = ClockMs();
  body["born"] = born_unix_ms_;
  respond(HttpResponse{
      .status = status, .fields = {{"Content-Type", "application/json"}}, .body = body.dump()});
}

Worker::Json Worker::Lists() const {
  Json running = Json::array();
  Json ended = Json::array();

  for (const auto& [task, state] : running_) {
    running.push_back(Json::array({task, state.run, "", 100, state.millicores}));
  }

  for (const EndRow& row : ended_) {
    if (ended.size() >= kEndsPerReply) break;
    ended.push_back(Json::array({row.number, row.task, row.run, row.how, ""}));
  }

  return {{"running", std::move(running)}, {"ended", std::move(ended)}};
}

int64_t Worker::ClockMs() const { return (clock_.Now() - born_at_).Count() + 1'000; }

void Worker::AnswerPolls() {
  std::vector<Poll> waiting = std::exchange(polls_, {});

  for (Poll& poll : waiting) {
    if (ended_.empty() && clock_.Now() < poll.until) {
      polls_.push_back(std::move(poll));
    } else {
      Answer(poll.respond, 200, Lists());
    }
  }
}

void Worker::Tick() {
  const bool lapsed = lease_until_ms_ <= ClockMs();
  std::vector<std::pair<std::string, std::string>> ending;

  for (const auto& [task, state] : running_) {
    if (lapsed) {
      ending.emplace_back(task, "lapsed");
    } else if (state.ends_at <= clock_.Now()) {
      ending.emplace_back(task, "done");
    }
  }

  for (const auto& [task, how] : ending) EndRun(task, how);
  AnswerPolls();
  loop_.After(kTickInterval, [this] { Tick(); });
}

void Worker::Announce() {
  const Json entry{
      {"service", options_.service},
      {"address", "127.0.0.1:" + std::to_string(options_.port)},
      {"zone", options_.zone},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"seq", ++seq_},
      {"born", born_unix_ms_},
      {"labels", Json::array({options_.kind, options_.rack})},
      {"capacity", {{"cpu", options_.millicores}, {"mem_mb", options_.memory_mb}, {"gpu", 0}}}};
  http_.Send(
      Address{"127.0.0.1", options_.store_port},
      HttpRequest{
          .method = "POST", .target = "/put?key=servers/" + options_.id, .body = entry.dump()},
      kStoreTimeout, [](const HttpReply&) {});
  loop_.After(kHeartbeat, [this] { Announce(); });
}

}  // namespace currantpost::review

#include "fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace review {

using currantpost::Address;
using currantpost::CallOutcome;
using currantpost::HttpReply;
using currantpost::HttpRequest;
using currantpost::Millis;
using Json = nlohmann::json;

namespace {

constexpr const char* kEntryProgram = "target/main/currantpost-entry/currantpost-entry";
constexpr const char* kHost = "mill.example";
constexpr Millis kClientTimeout = Millis(3'000);
constexpr int64_t kRetryPauseMs = 300;
/// Ports of an entry: callers, readiness, control, and the range for peers.
enum PortRole { kFrontPort, kReadyPort, kControlPort, kPeerPort, kStorePort, kRelayPort, kPorts };

std::string SpecOf(const Step& step) {
  std::string spec = "ms=" + std::to_string(step.is_long_running ? 0 : step.duration_ms) +
                     " cpu=" + std::to_string(step.cpu) + " mem=" + std::to_string(step.mem_mb);
  if (!step.label.empty()) spec += " need=" + step.label;
  return spec;
}

Json StepJson(const Step& step) {
  Json json{{"count", step.count},
            {"cpu", step.cpu},
            {"mem_mb", step.mem_mb},
            {"estimate_ms", step.duration_ms}};
  if (!step.label.empty()) json["required_label"] = step.label;
  if (step.is_long_running) json["long_running"] = true;
  return json;
}

std::string HostOf(size_t number) { return "127.0.0." + std::to_string(number); }

}  // namespace

Fleet::Fleet(Record record)
    : record_(std::move(record)),
      folder_(MakeFolder()),
      http_(loop_, clock_, currantpost::HttpClientLimits{}),
      ports_(FreePorts(kPorts)) {
  store_address_ = Address{HostOf(1), ports_[kStorePort]};
  store_ = std::make_unique<Store>(loop_, clock_);
  store_->Listen(store_address_);
  loop_.OnSignals({SIGTERM, SIGINT}, [this](int) { loop_.Stop(); });
}

Fleet::~Fleet() {
  entries_.clear();
  worker_processes_.clear();
  RemoveFolder(folder_);
}

std::string Fleet::SettingsOf(const std::string& name, const std::string& zone,
                              const std::string& ip, const Address& store) const {
  const auto at = [&](PortRole role) { return ip + ":" + std::to_string(ports_[role]); };
  std::string text;
  const auto add = [&](const std::string& key, const std::string& value) {
    text.append(key).append("=").append(value).append("\n");
  };

  add("node_name", name);
  add("role", "entry");
  add("machine_class", "front");
  add("serves", "front");
  add("ip", ip);
  add("zone", zone);
  add("region", "mills");
  add("listen.front", at(kFrontPort));
  add("listen.ready", at(kReadyPort));
  add("listen.control", at(kControlPort));
  add("port_range", std::to_string(ports_[kPeerPort]) + "," + std::to_string(ports_[kPeerPort]));
  add("bootstrap", "true");
  add("limits.cpu_share", "0.25");
  add("limits.cores", "1");
  add("limits.memory_mb", "260");
  add("limits.max_fds", "4100");
  add("discovery", "platform");
  add("entry", "vip");
  add("heartbeat_ms", "1500");
  add("bounds.seed_lag_s", "3");
  add("bounds.contact_ms", "3000");
  add("bounds.ack_timeout_ms", "4000");
  add("bounds.drain_ms", "2000");
  add("bounds.grace_s", "6");
  add("bounds.config_apply_ms", "2000");
  add("bounds.hold_max_ms", "10000");
  add("bounds.stop_ms", "400");
  add("bounds.cancel_ms", "3000");
  add("bounds.visible_ms", "3000");
  add("bounds.early_ms", "250");
  add("bounds.finish_s", "14");
  add("bounds.status_s", "120");
  add("bounds.harm_ms", "4000");
  add("orders", "invocation");
  add("platform.address", store.host + ":" + std::to_string(store.port));
  add("platform.form", "kv");
  add("platform.writes_per_s", "400");
  add("platform.reads_per_s", "2000");
  add("platform.history_s", "20");
  add("platform.value_bytes", "1048576");
  add("platform.ttl_min_ms", "1000");
  return text;
}

void Fleet::AddEntry(const std::string& name, const std::string& zone, bool relayed) {
  const std::string ip = HostOf(entry_hosts_.size() + 2);
  Address store = store_address_;

  if (relayed) {
    store = Address{ip, ports_[kRelayPort]};
    relays_[name] = std::make_unique<Relay>(loop_, store, store_address_);
  }

  const std::string settings = folder_ + "/" + name + ".conf";
  std::ofstream(settings) << SettingsOf(name, zone, ip, store);
  const char* path = std::getenv("PATH");
  entry_hosts_[name] = ip;
  entries_[name] = std::make_unique<Child>(
      std::vector<std::string>{std::filesystem::absolute(kEntryProgram).string()},
      std::vector<std::string>{"CURRANTPOST_NODE_FILE=" + settings,
                               std::string("PATH=") + (path == nullptr ? "" : path)},
      folder_ + "/" + name + ".log");
}

void Fleet::AddWorker(const std::string& id, const std::string& zone, const std::string& rack,
                      const std::string& kind, int64_t cpu, const std::string& service) {
  WorkerOptions& options = workers_[id];
  options.id = id;
  options.address = Address{HostOf(1), FreePorts(1).front()};
  options.store = store_address_;
  options.zone = zone;
  options.labels = {kind, rack};
  options.cpu = cpu;
  options.service = service;
}

void Fleet::StartWorker(const std::string& id) {
  const WorkerOptions& options = workers_.at(id);
  std::string labels;
  for (const std::string& label : options.labels) labels += (labels.empty() ? "" : ",") + label;

  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe");
  worker_processes_[id] = std::make_unique<Child>(
      std::vector<std::string>{(self.parent_path() / "worker").string(), id, options.address.host,
                               std::to_string(options.address.port), options.store.host,
                               std::to_string(options.store.port), options.zone, labels,
                               std::to_string(options.cpu), options.guards ? "yes" : "no",
                               options.service, record_.path()},
      std::vector<std::string>{}, folder_ + "/" + id + ".log");
}

void Fleet::KillWorker(const std::string& id) {
  worker_processes_.at(id)->Kill();
  record_.Write("WORKER-DOWN worker=" + id);
}

void Fleet::Configure(int64_t version, const std::vector<Route>& routes) {
  Json rows = Json::array();
  std::string names;

  for (const Route& route : routes) {
    names += (names.empty() ? "" : ",") + route.name;
    rows.push_back(Json{{"name", route.name},
                        {"host", kHost},
                        {"prefix", route.prefix},
                        {"kind", "unsafe"},
                        {"timeout_ms", route.timeout_ms},
                        {"target_duration_ms", 1'000},
                        {"priority", route.priority},
                        {"service", route.service},
                        {"max_attempts", 3},
                        {"stretch", 2.0}});
  }

  Json services = Json::array();

  for (const char* name : {"grinders", "mixers"}) {
    services.push_back(Json{{"name", name},
                            {"health_path", "/health"},
                            {"max_conns", 64},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"rejects_overload", true},
                            {"spare", false}});
  }

  const Json limits{{"max_header_bytes", 16'384},
                    {"max_body_bytes", 262'144},
                    {"header_timeout_ms", 3'000},
                    {"idle_timeout_ms", 15'000}};
  const Json config{
      {"version", version}, {"routes", rows}, {"services", services}, {"limits", limits}};
  store_->Put("op/config", config.dump(), 0);
  record_.Write("CONFIG-ACKED version=" + std::to_string(version) + " routes=" + names);
}

void Fleet::Request(const std::string& entry, const std::string& method, const std::string& path,
                    const std::string& body, Answer answer) {
  const int64_t sent_at = NowMs();
  const std::string what = " entry=" + entry + " method=" + method + " path=" + path;
  HttpRequest request{.method = method,
                      .target = path,
                      .fields = {{"Deadline-Remaining", std::to_string(kClientTimeout.Count())}},
                      .body = body};
  request.fields.emplace_back("Host", kHost);
  if (!body.empty()) request.fields.emplace_back("Content-Type", "application/json");

  record_.Write("SENT" + what + (body.empty() ? "" : " body=" + body));
  http_.Send(Address{entry_hosts_.at(entry), ports_[kFrontPort]}, request, kClientTimeout,
             [this, what, sent_at, answer = std::move(answer)](const HttpReply& reply) {
               const bool answered = reply.outcome == CallOutcome::kAnswered;
               const int status = answered ? reply.response.status : 0;
               record_.Write("ANSWER" + what + " status=" + std::to_string(status) +
                             " sent_at=" + std::to_string(sent_at) + " " + reply.response.body);
               if (answer) answer(status, reply.response.body);
             });
}

void Fleet::Submit(const std::string& entry, const std::string& path,
                   const std::vector<Step>& steps, int retries, std::function<void(int)> done) {
  Json rows = Json::array();
  for (const Step& step : steps) rows.push_back(StepJson(step));

  const Json job{{"spec", SpecOf(steps.front())}, {"steps", rows}};
  Request(entry, "POST", path, job.dump(),
          [this, entry, path, steps, retries, done](int status, const std::string&) {
            const bool unknown = status == 0 || status == 502 || status == 504;

            if (!unknown || retries == 0) {
              if (done) done(status);
              return;
            }

            After(kRetryPauseMs, [this, entry, path, steps, retries, done] {
              Submit(entry, path, steps, retries - 1, done);
            });
          });
}

void Fleet::Run() { loop_.Run(); }

void Fleet::Stop() { loop_.Stop(); }

void Fleet::After(int64_t ms, std::function<void()> action) {
  loop_.After(Millis(ms), std::move(action));
}

bool Fleet::EntriesRun() {
  bool all = !entries_.empty();
  for (auto& [name, child] : entries_) all = child->IsRunning() && all;
  return all;
}

std::string JobIdOf(int64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(number));
  return text;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int RunCase(int argc, char** argv, const std::function<int(Fleet&)>& play) {
  constexpr int kCannotRun = 2;

  if (argc != 2) {
    std::fprintf(stderr, "the argument is the path of the record\n");
    return kCannotRun;
  }

  try {
    const Record record(argv[1]);
    record.Clear();
    Fleet fleet(record);
    return play(fleet);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "the case cannot run: %s\n", exception.what());
    return kCannotRun;
  }
}

}  // namespace review

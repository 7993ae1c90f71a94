#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <sstream>
#include <utility>

namespace currantpost::review {
namespace {

constexpr Millis kCallTimeout = Millis(3'000);
constexpr const char* kHost = "jobs.example";
constexpr const char* kEntryProgram = "target/main/currantpost-entry/currantpost-entry";
constexpr const char* kStandinProgram = "target/review/standin";

/// The settings of a small deployment, as the platform writes them.
std::string SettingsText(const EntryProcess& entry) {
  const std::string host = "127.0.0.1:";
  std::ostringstream text;
  text << "node_name=" << entry.name << "\nrole=entry\nmachine_class=front\nserves=front\n"
       << "ip=127.0.0.1\nzone=" << entry.zone << "\nregion=kyushu\n"
       << "zones.kyushu-a=kyushu\nzones.kyushu-b=kyushu\nzones.kyushu-c=kyushu\n"
       << "listen.front=" << host << entry.front_port << "\nlisten.ready=" << host
       << entry.ready_port << "\nport_range=" << entry.peer_port << "," << entry.peer_port
       << "\nseeds=\nbootstrap=true\nlimits.cpu_share=" << entry.cpu_share << "\nlimits.cores=1\n"
       << "limits.memory_mb=260\nlimits.max_fds=4100\ndiscovery=platform\nentry=vip\n"
       << "heartbeat_ms=1500\ncontracts=base,drain,config,cost,recover,sched,platform\n"
       << "bounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\nbounds.catch_up_s=4\n"
       << "bounds.drain_ms=2000\nbounds.grace_s=6\nbounds.loss_slack_ms=200\n"
       << "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
       << "bounds.max_stretch_ms=5000\nbounds.recovery_s=12\nbounds.hold_max_ms=10000\n"
       << "bounds.stop_ms=400\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
       << "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.harm_ms=4000\n"
       << "orders=invocation\nplatform.address=" << host << entry.store_port
       << "\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
       << "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  return text.str();
}

}  // namespace

int64_t UnixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int FreePort() {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* plain = reinterpret_cast<sockaddr*>(&address);  // NOLINT: the socket interface needs it
  int port = 0;
  if (bind(handle, plain, size) == 0 && getsockname(handle, plain, &size) == 0) {
    port = ntohs(address.sin_port);
  }
  close(handle);
  return port;
}

World::World(const std::string& record_path)
    : http_(loop_, clock_, HttpClientLimits{}),
      record_(record_path, std::ios::trunc),
      began_unix_ms_(UnixMillis()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  const char* made = mkdtemp(pattern.data());
  folder_ = made == nullptr ? "" : made;
}

World::~World() {
  for (const pid_t pid : pids_) kill(pid, SIGKILL);
  for (const pid_t pid : pids_) waitpid(pid, nullptr, 0);

  std::error_code ignored;
  if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

void World::RunFor(Millis time) {
  loop_.After(time, [this] { loop_.Stop(); });
  loop_.Run();
}

void World::Record(const std::string& line) {
  record_ << UnixMillis() - began_unix_ms_ << " " << line << std::endl;
}

pid_t World::Spawn(const std::vector<std::string>& words, const std::string& output_path,
                   const std::string& settings_path) {
  std::vector<char*> arguments;
  for (const std::string& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
  arguments.push_back(nullptr);

  const pid_t pid = fork();
  if (pid < 0) return -1;

  if (pid == 0) {
    // The processes of a case end with it, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (!settings_path.empty()) setenv("CURRANTPOST_NODE_FILE", settings_path.c_str(), 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }

  pids_.push_back(pid);
  return pid;
}

void World::Signal(pid_t pid, int signal) {
  const auto known = std::ranges::find(pids_, pid);
  if (known == pids_.end()) return;

  kill(pid, signal);
  if (signal != SIGKILL) return;

  waitpid(pid, nullptr, 0);
  pids_.erase(known);
}

bool World::HasEnded(pid_t pid) {
  const auto known = std::ranges::find(pids_, pid);
  if (known == pids_.end()) return true;
  if (waitpid(pid, nullptr, WNOHANG) != pid) return false;

  pids_.erase(known);
  return true;
}

void World::StartStore() {
  store_port_ = FreePort();
  Spawn({kStandinProgram, "store", "port=" + std::to_string(store_port_)}, folder_ + "/store.log");
}

void World::StartWorker(WorkerProcess& worker) {
  WorkerOptions& options = worker.options;
  if (options.port == 0) options.port = FreePort();
  options.store_port = store_port_;
  const std::string log = folder_ + "/worker-" + options.id + ".log";
  if (std::ranges::find(worker_logs_, log) == worker_logs_.end()) worker_logs_.push_back(log);

  worker.pid =
      Spawn({kStandinProgram, "worker", "id=" + options.id, "zone=" + options.zone,
             "kind=" + options.kind, "rack=" + options.rack, "service=" + options.service,
             "port=" + std::to_string(options.port), "store=" + std::to_string(options.store_port),
             "cpu=" + std::to_string(options.millicores), options.guards ? "guards=1" : "guards=0"},
            log);
}

EntryProcess World::MakeEntry(const std::string& name, const std::string& zone, int store_port,
                              const std::string& cpu_share) {
  EntryProcess entry{.name = name,
                     .zone = zone,
                     .front_port = FreePort(),
                     .ready_port = FreePort(),
                     .peer_port = FreePort(),
                     .store_port = store_port == 0 ? store_port_ : store_port,
                     .cpu_share = cpu_share};
  entry.settings_path = folder_ + "/" + name + ".conf";
  entry.log_path = folder_ + "/" + name + ".log";
  std::ofstream(entry.settings_path) << SettingsText(entry);
  return entry;
}

void World::StartEntry(EntryProcess& entry) {
  entry.pid = Spawn({kEntryProgram}, entry.log_path, entry.settings_path);
}

void World::OperatorPut(const std::string& key, const std::string& value,
                        std::function<void(int)> done) {
  http_.Send(Address{"127.0.0.1", store_port_},
             HttpRequest{.method = "POST", .target = "/put?key=" + key, .body = value},
             kCallTimeout, [done = std::move(done)](const HttpReply& reply) {
               done(reply.outcome == CallOutcome::kAnswered ? reply.response.status : 0);
             });
}

void World::Call(const EntryProcess& entry, const std::string& method, const std::string& path,
                 const std::string& body, std::function<void(int, std::string)> done) {
  HttpRequest request{.method = method,
                      .target = path,
                      .fields = {{"Host", kHost},
                                 {"Content-Type", "application/json"},
                                 {"Deadline-Remaining", std::to_string(kCallTimeout.Count())}},
                      .body = body};
  http_.Send(Address{"127.0.0.1", entry.front_port}, request, kCallTimeout,
             [done = std::move(done)](const HttpReply& reply) {
               const bool answered = reply.outcome == CallOutcome::kAnswered;
               done(answered ? reply.response.status : 0, reply.response.body);
             });
}

std::vector<TaskRun> World::CollectRuns() {
  std::vector<TaskRun> runs;

  for (const std::string& log : worker_logs_) {
    std::ifstream file(log);
    std::string line;
    const size_t first = runs.size();

    while (std::getline(file, line)) {
      record_ << "worker " << line << "\n";
      std::istringstream words(line);
      int64_t at = 0;
      std::string what;
      TaskRun row;
      words >> at >> what >> row.worker >> row.kind >> row.task >> row.run;
      std::string rest;
      std::getline(words >> std::ws, rest);

      if (what == "start") {
        row.spec = rest;
        row.began_unix_ms = at;
        runs.push_back(std::move(row));
        continue;
      }

      // A worker writes "up" first in each life; what ran in the life before is gone.
      for (size_t index = first; index < runs.size(); ++index) {
        TaskRun& run = runs[index];
        const bool same = what == "up" || (run.task == row.task && run.run == row.run);
        if (!same || run.ended_unix_ms != 0) continue;

        run.ended_unix_ms = at;
        run.how = what == "up" ? "crashed" : rest;
      }
    }
  }

  record_.flush();
  return runs;
}

std::string JobBody(const std::vector<int>& counts, int64_t work_ms, int64_t millicores,
                    const std::string& label, const std::string& note, bool in_sequence) {
  nlohmann::json steps = nlohmann::json::array();

  for (const int count : counts) {
    nlohmann::json step{
        {"count", count}, {"cpu", millicores}, {"mem_mb", 1}, {"estimate_ms", work_ms}};
    if (!label.empty()) step["required_label"] = label;
    if (in_sequence && !steps.empty()) step["after"] = nlohmann::json::array({steps.size() - 1});
    steps.push_back(std::move(step));
  }

  const std::string spec = std::to_string(work_ms) + " " + std::to_string(millicores) + " " + note;
  return nlohmann::json{{"spec", spec}, {"steps", std::move(steps)}}.dump();
}

std::string ConfigBody(int version, const std::vector<std::string>& queues, bool guards) {
  nlohmann::json routes = nlohmann::json::array();
  std::set<std::string> services = {"svc"};

  for (const std::string& queue : queues) {
    const size_t colon = queue.find(':');
    const std::string name = queue.substr(0, colon);
    const std::string service = colon == std::string::npos ? "svc" : queue.substr(colon + 1);
    services.insert(service);
    routes.push_back({{"name", name},
                      {"host", kHost},
                      {"prefix", "/" + name + "/"},
                      {"service", service},
                      {"priority", 0},
                      {"max_attempts", 4},
                      {"stretch", 1.5},
                      {"target_duration_ms", 1'000}});
  }

  nlohmann::json config{{"version", version}, {"routes", std::move(routes)}};
  config["services"] = nlohmann::json::array();
  for (const std::string& service : services) {
    config["services"].push_back({{"name", service}, {"rejects_overload", guards}});
  }
  config["limits"] = nlohmann::json::object();
  return config.dump();
}

std::string JobIdOf(uint64_t number) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string id(16, '0');
  for (size_t at = id.size(); at-- > 0; number /= 16) id[at] = kDigits[number % 16];

  return id;
}

}  // namespace currantpost::review

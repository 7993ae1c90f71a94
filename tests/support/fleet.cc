#include "fleet.h"

#include <httplib.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>
#include <utility>

#include "currantpost/model/json.h"

namespace currantpost::testing_support {

using nlohmann::json;

namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr int kEntriesPerDataCentre = 2;
constexpr int kVmsPerDataCentre = 4;
constexpr int kVmsPerRack = 2;
constexpr Resources kVmCapacity{4'000, 8'000, 0};
constexpr Millis kStartDeadline(20'000);
constexpr Millis kStopDeadline(15'000);
constexpr auto kPollInterval = std::chrono::milliseconds(50);
/// A frozen process takes connections and answers none.
constexpr auto kReadyTimeout = std::chrono::seconds(2);
constexpr size_t kOutputTail = 2'000;

Address OnPort(int port) { return Address{kHost, port}; }

std::string Text(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

bool WaitUntil(const std::function<bool()>& is_done, Millis deadline) {
  const MonotonicClock clock;
  const Millis end = clock.Now() + deadline;

  while (!is_done()) {
    if (clock.Now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }

  return true;
}

bool IsReady(const Address& operators) {
  httplib::Client client(operators.host, operators.port);
  client.set_read_timeout(kReadyTimeout);
  const auto answer = client.Get("/ready");
  return answer && answer->status == 200;
}

Answer Send(const Address& address, const std::string& method, const std::string& path,
            const json& body) {
  httplib::Client client(address.host, address.port);
  client.set_read_timeout(std::chrono::seconds(12));

  httplib::Request request;
  request.method = method;
  request.path = path;
  request.set_header("Content-Type", "application/json");
  if (!body.is_null()) request.body = body.dump();

  const auto answer = client.send(request);
  if (!answer) return Answer{};

  return Answer{answer->status, json::parse(answer->body, nullptr, false)};
}

json Ask(const Address& address, const std::string& method, const std::string& path,
         const json& body) {
  Answer answer = Send(address, method, path, body);
  return answer.status == 200 ? std::move(answer.body) : json(nullptr);
}

Fleet::Fleet(Programs programs, FleetOptions options)
    : programs_(std::move(programs)), options_(options), folder_(MakeTemporaryFolder()) {}

Fleet::~Fleet() { std::filesystem::remove_all(folder_); }

bool Fleet::Start() {
  StartPlatform();
  for (const char* const data_centre : {"east", "west"}) StartVms(data_centre);

  const bool is_listed = WaitUntil(
      [&] { return !Ask(vm_list_, "PUT", "/admin/vms", json(vms_)).is_null(); }, kStartDeadline);
  if (!is_listed) return false;

  PlanEntries();
  if (before_entries_) before_entries_();
  for (Entry& entry : entries_) StartEntry(entry);

  return WaitUntil(
      [&] {
        return std::ranges::all_of(entries_,
                                   [](const Entry& entry) { return IsReady(entry.operators); });
      },
      kStartDeadline);
}

void Fleet::Kill(size_t entry) {
  entries_[entry].process->Signal(SIGKILL);
  entries_[entry].process->WaitForExit(kStopDeadline);
  entries_[entry].is_killed = true;
}

void Fleet::Restart(size_t entry) {
  StartEntry(entries_[entry]);
  entries_[entry].is_killed = false;
}

bool Fleet::AwaitReady(size_t entry) const {
  return WaitUntil([&] { return IsReady(entries_[entry].operators); }, kStartDeadline);
}

std::string Fleet::SettingsPath(size_t entry) const {
  return folder_ + "/" + entries_[entry].name + ".ini";
}

int Fleet::StopEntries() {
  int stopped = 0;

  for (Entry& entry : entries_) {
    if (!entry.is_killed) entry.process->Signal(SIGTERM);
  }

  for (Entry& entry : entries_) {
    if (!entry.is_killed && entry.process->WaitForExit(kStopDeadline) == 0) ++stopped;
  }

  return stopped;
}

std::string Fleet::EntryOutput() const {
  std::string text;

  for (const Entry& entry : entries_) {
    const std::string output = entry.process->Output();
    const size_t from = output.size() > kOutputTail ? output.size() - kOutputTail : 0;
    text += "--- " + entry.name + "\n" + output.substr(from) + "\n";
  }

  return text;
}

void Fleet::StartPlatform() {
  const std::vector<int> ports = FreePorts(2);
  kv_ = OnPort(ports[0]);
  vm_list_ = OnPort(ports[1]);

  stand_ins_.push_back(std::make_unique<Process>(
      std::vector<std::string>{programs_.platform, "--kv-port", std::to_string(kv_.port),
                               "--vm-list-port", std::to_string(vm_list_.port)}));
}

void Fleet::StartVms(const std::string& data_centre) {
  for (int number = 0; number < kVmsPerDataCentre; ++number) {
    const std::vector<int> ports = FreePorts(2);
    const std::string rack = data_centre + "-rack-" + std::to_string(number / kVmsPerRack);
    const std::string name = data_centre + "-vm" + std::to_string(number);

    // The program numbers its VMs, and this one has a single VM.
    vms_.push_back(VmRecord{VmId(name + "-0"), 1, DataCentreId(data_centre), RackId(rack),
                            VmState::kLive, kVmCapacity, OnPort(ports[0]), OnPort(ports[1])});

    stand_ins_.push_back(std::make_unique<Process>(std::vector<std::string>{
        programs_.vm, "--name", name, "--first-port", std::to_string(ports[0]),
        "--first-upstream-port", std::to_string(ports[1]), "--millicores",
        std::to_string(kVmCapacity.millicores), "--memory-mib",
        std::to_string(kVmCapacity.memory_mib), "--service-ms",
        std::to_string(options_.service_time.Count())}));
  }
}

void Fleet::PlanEntries() {
  for (const char* const data_centre : {"east", "west"}) {
    for (int ordinal = 0; ordinal < kEntriesPerDataCentre; ++ordinal) {
      const std::vector<int> ports = FreePorts(3);
      entries_.push_back(Entry{std::string(data_centre) + "-" + std::to_string(ordinal),
                               data_centre, ordinal, OnPort(ports[0]), OnPort(ports[1]),
                               OnPort(ports[2]), kv_, false, nullptr});
    }
  }
}

std::string Fleet::SettingsText(const Entry& entry) const {
  std::string seeds;

  for (const Entry& other : entries_) {
    if (other.name != entry.name) seeds += (seeds.empty() ? "" : ", ") + Text(other.peers);
  }

  return "[entry]\nname = " + entry.name + "\ndata_centre = " + entry.data_centre +
         "\nordinal = " + std::to_string(entry.ordinal) +
         "\nentries_per_data_centre = " + std::to_string(kEntriesPerDataCentre) +
         "\n[listen]\ncallers = " + Text(entry.callers) + "\noperators = " + Text(entry.operators) +
         "\npeers = " + Text(entry.peers) + "\n[peers]\nseeds = " + seeds +
         "\nheartbeat_interval = 200ms\ntimeout = 1500ms" + "\n[platform]\nkv = " + Text(entry.kv) +
         "\nvm_list = " + Text(vm_list_) +
         "\nvm_list_interval = 300ms\ncall_timeout = 1s\nwatch_timeout = 3s" +
         "\n[workers]\ntimeout = 500ms\npoll_interval = 200ms\ntask_lease = 3s" +
         "\nclock_margin = 200ms\n[jobs]\ncompletion_interval = 200ms" +
         "\n[shutdown]\ngrace = 1s\n";
}

void Fleet::StartEntry(Entry& entry) const {
  const std::string path = folder_ + "/" + entry.name + ".ini";
  std::ofstream(path) << SettingsText(entry);
  entry.process =
      std::make_unique<Process>(std::vector<std::string>{programs_.entry, "--settings", path});
}

}  // namespace currantpost::testing_support

#include "entry_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <string_view>

#include "bounds.h"

namespace currantpost::soak {
namespace {

constexpr int kCallersPort = 8'161;
constexpr int kReadinessPort = 8'167;
constexpr const char* kPeerPorts = "7720,7735";
constexpr const char* kSelf = "/proc/self/exe";
constexpr int kStatusSeconds = 600;

/// Lets the kernel end this process with the soak, however the soak ends, and closes the soak's
/// sockets, which would stay open with this process.
void BecomeChild() {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  closefrom(STDERR_FILENO + 1);
}

int RunEntry(const char* settings, const char* log) {
  BecomeChild();
  const int file = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  setenv("CURRANTPOST_NODE_FILE", settings, 1);
  execl(CURRANTPOST_ENTRY_PATH, CURRANTPOST_ENTRY_PATH, nullptr);
  return EXIT_FAILURE;
}

[[noreturn]] void RunBusyLoop() {
  BecomeChild();
  volatile uint64_t count = 0;
  while (true) count = count + 1;
}

std::string Text(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

std::optional<int> RunAsChild(int argc, char** argv) {
  const std::string_view option = argc > 1 ? argv[1] : "";
  if (option == kRunEntryOption && argc == 4) return RunEntry(argv[2], argv[3]);
  if (option == kBusyLoopOption) RunBusyLoop();
  return std::nullopt;
}

std::unique_ptr<testing_support::Process> StartBusyLoop() {
  return std::make_unique<testing_support::Process>(
      std::vector<std::string>{kSelf, kBusyLoopOption});
}

EntryProcess::EntryProcess(EntryProfile profile)
    : profile_(std::move(profile)),
      settings_path_(profile_.log_folder + "/" + profile_.name + ".conf") {
  std::ofstream file(settings_path_);
  file << "node_name=" << profile_.name << "\nrole=entry\nmachine_class=front\nserves=front\n"
       << "ip=" << profile_.host << "\nzone=" << profile_.zone << "\nregion=r\n"
       << "listen.front=" << Text(Callers()) << "\nlisten.ready=" << Text(Readiness()) << "\n"
       << "port_range=" << kPeerPorts << "\nplatform.address=" << Text(profile_.store) << "\n"
       << "platform.ttl_min_ms=" << kBounds.min_store_lease.Count() << "\n"
       << "bounds.contact_ms=" << kBounds.contact.Count() << "\n"
       << "bounds.drain_ms=" << kBounds.drain.Count() << "\n"
       << "bounds.hold_max_ms=" << kBounds.max_worker_lease.Count() << "\n"
       << "bounds.stop_ms=" << kBounds.stop.Count() << "\n"
       << "bounds.cancel_ms=" << kBounds.cancel.Count() << "\n"
       << "bounds.visible_ms=" << kBounds.visible.Count() << "\n"
       << "bounds.status_s=" << kStatusSeconds << "\norders=invocation\n";
}

void EntryProcess::Start() {
  kill_at_.reset();
  process_ = std::make_unique<testing_support::Process>(
      std::vector<std::string>{kSelf, kRunEntryOption, settings_path_, LogPath()});
}

void EntryProcess::Pause() const {
  if (process_ != nullptr) process_->Signal(SIGSTOP);
}

void EntryProcess::Continue() const {
  if (process_ != nullptr) process_->Signal(SIGCONT);
}

void EntryProcess::Kill() { process_.reset(); }

void EntryProcess::Terminate(Millis now) {
  if (process_ == nullptr) return;
  process_->Signal(SIGCONT);
  process_->Signal(SIGTERM);
  kill_at_ = now + kBounds.grace;
}

std::optional<int> EntryProcess::Tick(Millis now) {
  if (process_ == nullptr) return std::nullopt;

  const std::optional<int> code = process_->WaitForExit(Millis(0));

  if (!code) {
    if (kill_at_ && now >= *kill_at_) Kill();
    return std::nullopt;
  }

  const bool asked = kill_at_.has_value();
  process_.reset();
  if (asked && *code == EXIT_SUCCESS) return std::nullopt;
  return code;
}

std::string EntryProcess::LogPath() const {
  return profile_.log_folder + "/" + profile_.name + ".log";
}

Address EntryProcess::Callers() const { return {.host = profile_.host, .port = kCallersPort}; }

Address EntryProcess::Readiness() const { return {.host = profile_.host, .port = kReadinessPort}; }

}  // namespace currantpost::soak

#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <thread>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace currantpost::testing_support {
namespace {

constexpr int kFirstPort = 20'000;
constexpr int kPortCount = 12'000;
constexpr auto kPollInterval = std::chrono::milliseconds(5);
/// Different processes begin their search for ports this far apart.
constexpr int kPortStride = 101;

[[noreturn]] void Throw(int error, const std::string& what) {
  throw std::system_error(error, std::generic_category(), what);
}

/// Makes a file that has no name.
int OpenOutput() {
  std::string path = (std::filesystem::temp_directory_path() / "currantpost-XXXXXX").string();
  const int file = mkostemp(path.data(), O_CLOEXEC | O_APPEND);
  if (file < 0) Throw(errno, path);

  unlink(path.c_str());
  return file;
}

int ExitCode(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status); }

bool IsFree(int port) {
  // Without SO_REUSEADDR: a port with connections in TIME_WAIT is not free for every server.
  const int sock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));

  const bool is_bound = bind(sock, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  const bool is_free = is_bound && listen(sock, 1) == 0;
  close(sock);
  return is_free;
}

/// Resets the signals that the parent blocks or ignores, so that the child starts afresh.
void SetDefaultSignals(posix_spawnattr_t& attributes) {
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(&attributes, &none);

  sigset_t defaults;
  sigemptyset(&defaults);
  sigaddset(&defaults, SIGPIPE);
  posix_spawnattr_setsigdefault(&attributes, &defaults);

  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
}

}  // namespace

Process::Process(const std::vector<std::string>& command) : output_(OpenOutput()) {
  std::vector<char*> arguments;
  for (const std::string& each : command) arguments.push_back(const_cast<char*>(each.c_str()));
  arguments.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output_, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, output_, STDERR_FILENO);

  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  SetDefaultSignals(attributes);

  const int error =
      posix_spawn(&pid_, arguments[0], &actions, &attributes, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);

  if (error != 0) {
    close(output_);
    Throw(error, command.front());
  }
}

Process::~Process() {
  Signal(SIGKILL);

  if (!exit_) {
    int status = 0;
    waitpid(pid_, &status, 0);
  }

  close(output_);
}

void Process::Signal(int signal) const {
  // Once waited for, the number may be another process's.
  if (!exit_) kill(pid_, signal);
}

std::optional<int> Process::WaitForExit(Millis deadline) {
  const MonotonicClock clock;
  const Millis end = clock.Now() + deadline;

  while (!exit_) {
    int status = 0;

    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_ = ExitCode(status);
    } else if (clock.Now() >= end) {
      break;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  return exit_;
}

std::string Process::Output() const {
  std::string text;
  char buffer[4096];
  ssize_t size = 0;

  while ((size = pread(output_, buffer, sizeof(buffer), static_cast<off_t>(text.size()))) > 0) {
    text.append(buffer, static_cast<size_t>(size));
  }

  return text;
}

std::vector<int> FreePorts(int count) {
  static int next = (getpid() * kPortStride) % kPortCount;
  std::vector<int> ports;

  for (int tries = 0; tries < kPortCount && static_cast<int>(ports.size()) < count; ++tries) {
    const int port = kFirstPort + next;
    next = (next + 1) % kPortCount;
    if (IsFree(port)) ports.push_back(port);
  }

  if (static_cast<int>(ports.size()) < count) throw std::runtime_error("no free ports");
  return ports;
}

std::string MakeTemporaryFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "currantpost-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) Throw(errno, path);
  return path;
}

}  // namespace currantpost::testing_support

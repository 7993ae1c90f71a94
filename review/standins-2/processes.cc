#include "processes.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <stdexcept>

namespace review {
namespace {

constexpr int kFirstPort = 21'000;
constexpr int kPortCount = 10'000;
constexpr int kPortStride = 97;

std::vector<char*> Pointers(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (const std::string& text : texts) pointers.push_back(const_cast<char*>(text.c_str()));
  pointers.push_back(nullptr);
  return pointers;
}

bool IsFree(int port) {
  const int sock = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_ANY);
  address.sin_port = htons(static_cast<uint16_t>(port));
  const bool is_free = bind(sock, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(sock);
  return is_free;
}

}  // namespace

Child::Child(const std::vector<std::string>& command, const std::vector<std::string>& environment,
             const std::string& output) {
  std::vector<char*> arguments = Pointers(command);
  std::vector<char*> variables = Pointers(environment);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error =
      posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + command.front());
}

Child::~Child() { Kill(); }

void Child::Signal(int signal) const {
  if (!over_) kill(pid_, signal);
}

void Child::Kill() {
  if (over_) return;

  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  over_ = true;
}

bool Child::IsRunning() {
  if (!over_ && waitpid(pid_, nullptr, WNOHANG) == pid_) over_ = true;
  return !over_;
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

std::string MakeFolder() {
  std::string path = (std::filesystem::temp_directory_path() / "currantpost-XXXXXX").string();
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot make a temporary folder");
  return path;
}

void RemoveFolder(const std::string& path) { std::filesystem::remove_all(path); }

}  // namespace review

#include "fault_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace currantpost::standins {
namespace {

constexpr int kBacklog = 512;
constexpr int kPollIntervalMs = 20;
constexpr int kSocketTimeoutMs = 10'000;

thread_local AnswerFault answer_fault = AnswerFault::kNone;

bool IsReady(socket_t sock, short events, int timeout_ms) {
  pollfd descriptor{sock, events, 0};
  return poll(&descriptor, 1, timeout_ms) > 0;
}

/// Lets the socket's closing send a reset.
void ResetOnClose(socket_t sock) {
  const linger no_linger{1, 0};
  setsockopt(sock, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
}

/// A connection's bytes, with the fault that the present answer has.
class FaultStream final : public httplib::Stream {
 public:
  explicit FaultStream(socket_t sock) : sock_(sock) {}

  bool is_readable() const override { return IsReady(sock_, POLLIN, kSocketTimeoutMs); }
  bool is_writable() const override { return IsReady(sock_, POLLOUT, kSocketTimeoutMs); }

  ssize_t read(char* buffer, size_t size) override {
    return is_readable() ? recv(sock_, buffer, size, 0) : -1;
  }

  ssize_t write(const char* data, size_t size) override {
    switch (answer_fault) {
      case AnswerFault::kLost:
        return -1;
      case AnswerFault::kSilent:
        return static_cast<ssize_t>(size);
      case AnswerFault::kResetBefore:
        ResetOnClose(sock_);
        return -1;
      case AnswerFault::kResetAfter:
        return SendAndReset(data);
      case AnswerFault::kCutOff:
        return SendPart(data, size);
      default:
        return send(sock_, data, size, MSG_NOSIGNAL);
    }
  }

  void get_remote_ip_and_port(std::string& ip, int& /*port*/) const override { ip = "127.0.0.1"; }
  void get_local_ip_and_port(std::string& ip, int& /*port*/) const override { ip = "127.0.0.1"; }
  socket_t socket() const override { return sock_; }

 private:
  ssize_t SendAndReset(const char* data) {
    send(sock_, data, 1, MSG_NOSIGNAL);
    // The byte must arrive before the reset, which would overtake it.
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollIntervalMs));
    ResetOnClose(sock_);
    return -1;
  }

  /// Sends the head whole, which comes first, and half of what follows.
  ssize_t SendPart(const char* data, size_t size) {
    if (!std::exchange(head_sent_, true)) return send(sock_, data, size, MSG_NOSIGNAL);

    send(sock_, data, size / 2, MSG_NOSIGNAL);
    return -1;
  }

  socket_t sock_;
  bool head_sent_ = false;
};

/// Gives each connection a thread, and waits for all of them at the end.
class ThreadPerConnection final : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> serve) override {
    {
      const std::lock_guard lock(mutex_);
      ++running_;
    }

    std::thread([this, serve = std::move(serve)] {
      serve();
      const std::lock_guard lock(mutex_);
      --running_;
      ended_.notify_all();
    }).detach();
  }

  void shutdown() override {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return running_ == 0; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable ended_;
  int64_t running_ = 0;
};

}  // namespace

FaultServer::FaultServer(int64_t most_connections) : most_connections_(most_connections) {
  new_task_queue = [] { return new ThreadPerConnection; };
  set_tcp_nodelay(true);

  // The library would let two programs listen on one port.
  set_socket_options([](socket_t sock) {
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  });
}

FaultServer::~FaultServer() { Stop(); }

int FaultServer::Start(int port) {
  const char* const host = "127.0.0.1";

  if (port == 0) {
    port = bind_to_any_port(host);
  } else if (!bind_to_port(host, port)) {
    return -1;
  }

  // The library's own backlog is too short for a burst of connections.
  ::listen(svr_sock_, kBacklog);

  listener_ = std::thread([this] { listen_after_bind(); });
  while (!is_running()) std::this_thread::yield();

  return port;
}

void FaultServer::Stop() {
  if (!listener_.joinable()) return;

  stopping_ = true;
  Wake();
  stop();
  listener_.join();
}

bool FaultServer::Pause(Millis span) {
  WaitFor(span, [] { return false; });
  return !stopping_;
}

void FaultServer::WaitFor(Millis span, const std::function<bool()>& is_ready) {
  std::unique_lock lock(pause_mutex_);
  pause_.wait_for(lock, std::chrono::milliseconds(span.Count()),
                  [&] { return stopping_ || is_ready(); });
}

void FaultServer::Wake() {
  const std::lock_guard lock(pause_mutex_);
  pause_.notify_all();
}

void FaultServer::SilenceOpenConnections() { ++generation_; }

void FaultServer::SetAnswerFault(AnswerFault fault) { answer_fault = fault; }

ConnectionCounts FaultServer::Counts() const {
  const std::lock_guard lock(counts_mutex_);
  return counts_;
}

bool FaultServer::Admit() {
  const std::lock_guard lock(counts_mutex_);

  if (counts_.open >= most_connections_) {
    ++counts_.refused;
    return false;
  }

  ++counts_.accepted;
  counts_.most_open = std::max(counts_.most_open, ++counts_.open);
  return true;
}

bool FaultServer::process_and_close_socket(socket_t sock) {
  if (Admit()) {
    ServeConnection(sock, generation_);
    const std::lock_guard lock(counts_mutex_);
    --counts_.open;
  }

  close(sock);
  return true;
}

void FaultServer::ServeConnection(socket_t sock, int64_t born) {
  bool is_silent = false;

  while (!stopping_) {
    if (!IsReady(sock, POLLIN, kPollIntervalMs)) continue;

    if (is_silent || born != generation_) {
      char ignored[4096];
      if (recv(sock, ignored, sizeof(ignored), 0) <= 0) return;
      continue;
    }

    answer_fault = AnswerFault::kNone;
    FaultStream stream(sock);
    bool closed = false;
    if (!process_request(stream, false, closed, nullptr) || closed) return;

    is_silent = answer_fault == AnswerFault::kSilent;
  }
}

}  // namespace currantpost::standins

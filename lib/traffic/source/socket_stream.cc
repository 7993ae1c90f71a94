#include "socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstring>

namespace currantpost {

SocketStream::SocketStream(int socket, const Clock& clock) : socket_(socket), clock_(clock) {}

void SocketStream::ResetCounts() {
  sent_ = 0;
  received_ = 0;
  last_read_ = '\0';
  saw_bare_line_feed_ = false;
  fault_ = Fault::kNone;
  watch_ = nullptr;
}

bool SocketStream::WaitReadable() { return begin_ < end_ || Wait(POLLIN); }

bool SocketStream::HasUnread() const {
  if (begin_ < end_) return true;

  pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
  return poll(&waiting, 1, 0) != 0;
}

ssize_t SocketStream::read(char* data, size_t size) {
  if (begin_ == end_) {
    const ssize_t filled = Fill();
    if (filled <= 0) return filled;
  }

  const size_t taken = std::min(size, end_ - begin_);
  std::memcpy(data, buffer_.data() + begin_, taken);
  begin_ += taken;

  // The library reads lines byte by byte.
  saw_bare_line_feed_ = saw_bare_line_feed_ || (size == 1 && *data == '\n' && last_read_ != '\r');
  last_read_ = data[taken - 1];

  return static_cast<ssize_t>(taken);
}

ssize_t SocketStream::write(const char* data, size_t size) {
  size_t written = 0;

  while (written < size) {
    if (!Wait(POLLOUT)) return -1;

    const ssize_t sent = send(socket_, data + written, size - written, MSG_NOSIGNAL);

    if (sent < 0) {
      if (errno == EINTR || errno == EAGAIN) continue;
      fault_ = Fault::kReset;
      return -1;
    }

    written += static_cast<size_t>(sent);
    sent_ += static_cast<size_t>(sent);
  }

  return static_cast<ssize_t>(written);
}

void SocketStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void SocketStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

bool SocketStream::Wait(int16_t events) {
  while (true) {
    const bool is_watched = watch_ != nullptr && received_ == 0;
    const Millis check = is_watched ? watch_->NextCheck() : ReadWatch::kNever;

    if (WaitOnce(events, std::min(check, deadline_))) return true;
    if (fault_ == Fault::kAbandoned) return false;

    const Millis now = clock_.Now();
    const bool gives_up = now < deadline_ && check <= now && watch_->GivesUp();

    if (now >= deadline_ || gives_up) {
      fault_ = Fault::kTimeout;
      return false;
    }
  }
}

bool SocketStream::WaitOnce(int16_t events, Millis end) {
  const int64_t left = std::max<int64_t>((end - clock_.Now()).Count(), 0);
  const int abandon = watch_ == nullptr ? ReadWatch::kNoSocket : watch_->AbandonSocket();

  // poll() passes over a negative descriptor.
  std::array<pollfd, 2> waiting = {pollfd{.fd = socket_, .events = events, .revents = 0},
                                   pollfd{.fd = abandon, .events = POLLIN, .revents = 0}};
  const int ready =
      poll(waiting.data(), waiting.size(), static_cast<int>(std::min<int64_t>(left, INT_MAX)));

  if (ready <= 0) return false;
  if (waiting[0].revents != 0) return true;

  fault_ = Fault::kAbandoned;
  return false;
}

ssize_t SocketStream::Fill() {
  if (received_ >= read_limit_) {
    fault_ = Fault::kTooLarge;
    return -1;
  }

  while (true) {
    if (!Wait(POLLIN)) return -1;

    const ssize_t got = recv(socket_, buffer_.data(), buffer_.size(), 0);

    if (got < 0 && (errno == EINTR || errno == EAGAIN)) continue;

    if (got <= 0) {
      fault_ = got == 0 ? Fault::kClosed : Fault::kReset;
      return got;
    }

    begin_ = 0;
    end_ = static_cast<size_t>(got);
    received_ += end_;
    return got;
  }
}

}  // namespace currantpost

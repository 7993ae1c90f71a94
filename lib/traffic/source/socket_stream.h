#pragma once

#include <httplib.h>

#include <array>
#include <cstddef>
#include <string>

#include "currantpost/base/time.h"
#include "read_watch.h"

namespace currantpost {

/// A socket as cpp-httplib reads and writes it, with what the library itself does not tell: whether
/// any byte was handed to the kernel, why a call failed, and one deadline over all calls.
class SocketStream final : public httplib::Stream {
 public:
  enum class Fault { kNone, kTimeout, kClosed, kReset, kTooLarge, kAbandoned };

  /// Puts a non-blocking socket to use. The socket stays the caller's to close.
  SocketStream(int socket, const Clock& clock);

  /// Bounds all later calls by a point in time.
  void SetDeadline(Millis deadline) { deadline_ = deadline; }

  /// Lets a watch end the wait for an answer early. It stays until the next `ResetCounts`.
  void SetWatch(ReadWatch* watch) { watch_ = watch; }

  /// Bounds the bytes read from now on.
  void SetReadLimit(size_t limit) { read_limit_ = limit; }

  /// Says whether any byte was handed to the kernel since the last reset.
  [[nodiscard]] bool HasSent() const { return sent_ > 0; }

  /// Says whether any byte was received since the last reset.
  [[nodiscard]] bool HasReceived() const { return received_ > 0; }

  /// Says whether a line read since the last reset ended without a carriage return. The library
  /// passes over such lines, while others may heed them. Meaningful up to the end of the head.
  [[nodiscard]] bool SawBareLineFeed() const { return saw_bare_line_feed_; }

  /// Returns why the last failing call failed.
  [[nodiscard]] Fault LastFault() const { return fault_; }

  /// Begins a new exchange.
  void ResetCounts();

  /// Waits until there is something to read. False at the deadline.
  bool WaitReadable();

  /// Says whether bytes, an end or an error are there to be read; none should be on an idle
  /// connection.
  [[nodiscard]] bool HasUnread() const;

  [[nodiscard]] bool is_readable() const override { return true; }
  [[nodiscard]] bool is_writable() const override { return fault_ == Fault::kNone; }
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  [[nodiscard]] socket_t socket() const override { return socket_; }

 private:
  static constexpr size_t kBufferSize = 16'384;

  bool Wait(int16_t events);
  bool WaitOnce(int16_t events, Millis end);
  ssize_t Fill();

  int socket_;
  const Clock& clock_;
  Millis deadline_;
  ReadWatch* watch_ = nullptr;
  size_t read_limit_ = SIZE_MAX;
  size_t sent_ = 0;
  size_t received_ = 0;
  Fault fault_ = Fault::kNone;
  char last_read_ = '\0';
  bool saw_bare_line_feed_ = false;
  std::array<char, kBufferSize> buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
};

}  // namespace currantpost

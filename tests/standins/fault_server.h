#pragma once

#include <httplib.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"

namespace currantpost::standins {

/// How one answer goes wrong after the request took effect.
enum class AnswerFault {
  kNone,
  /// The connection is closed without an answer.
  kLost,
  /// The connection is reset without an answer.
  kResetBefore,
  /// The connection is reset after the first byte of the answer.
  kResetAfter,
  /// No answer comes, and none ever will on this connection.
  kSilent,
  /// The connection is closed in the middle of the answer's body.
  kCutOff,
  /// The answer carries the name of another request.
  kCrossed,
  /// The answer is a failure, status 500.
  kFailed,
  /// The answer's body is not what the protocol says.
  kMalformed,
};

inline constexpr EnumNames kAnswerFaultNames(std::to_array<EnumName<AnswerFault>>({
    {AnswerFault::kNone, "none"},
    {AnswerFault::kLost, "lost"},
    {AnswerFault::kResetBefore, "reset_before"},
    {AnswerFault::kResetAfter, "reset_after"},
    {AnswerFault::kSilent, "silent"},
    {AnswerFault::kCutOff, "cut_off"},
    {AnswerFault::kCrossed, "crossed"},
    {AnswerFault::kFailed, "failed"},
    {AnswerFault::kMalformed, "malformed"},
}));

/// Connections that a server has seen.
struct ConnectionCounts {
  int64_t accepted = 0;
  int64_t refused = 0;
  int64_t open = 0;
  int64_t most_open = 0;
};

/// An HTTP server on the loopback address whose connections can be made to fail. Each connection
/// has a thread of its own.
class FaultServer final : public httplib::Server {
 public:
  /// Connections above `most_connections` are closed at once.
  explicit FaultServer(int64_t most_connections);
  ~FaultServer() override;

  /// Binds to a port, any free one for 0, and serves until `Stop`. Returns the port, or -1 if it
  /// is taken.
  int Start(int port);

  /// Ends all connections and waits for their threads.
  void Stop();

  /// Waits for a span. Returns false at once if the server stops.
  bool Pause(Millis span);

  /// Waits until `is_ready` holds, looked at after each `Wake`, or the span is over.
  void WaitFor(Millis span, const std::function<bool()>& is_ready);

  /// Lets every `WaitFor` look again.
  void Wake();

  /// Makes all present connections silent for good; new ones work.
  void SilenceOpenConnections();

  /// Says how the answer that the calling handler makes is to fail.
  static void SetAnswerFault(AnswerFault fault);

  ConnectionCounts Counts() const;

 private:
  bool process_and_close_socket(socket_t sock) override;
  void ServeConnection(socket_t sock, int64_t born);
  bool Admit();

  const int64_t most_connections_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int64_t> generation_ = 0;
  std::thread listener_;
  std::mutex pause_mutex_;
  std::condition_variable pause_;
  mutable std::mutex counts_mutex_;
  ConnectionCounts counts_;
};

}  // namespace currantpost::standins

#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <thread>

#include "currantpost/base/error.h"
#include "currantpost/model/traffic_settings.h"
#include "request_handler.h"
#include "socket_stream.h"

namespace currantpost {

/// Serves callers' connections. The library parses and writes messages; the life of a connection
/// is kept here, so that no request is cut off by a stop and none is misread as two.
class CallerServer final : public httplib::Server {
 public:
  CallerServer(const TrafficSettings& settings, const Clock& clock, RequestHandler& handler);
  ~CallerServer() override;

  /// Binds and serves on own threads. Returns the port.
  Result<int> Start();

  /// Stops accepting and returns when the last request has its answer.
  void Stop();

  /// Returns the requests that are being read, run or answered.
  [[nodiscard]] int64_t RequestsInFlight() const { return requests_in_flight_; }

 private:
  class Threads;
  struct Exchange;

  bool process_and_close_socket(socket_t sock) override;

  void SetUpHandlers();
  bool AwaitRequest(SocketStream& stream);
  bool ServeOne(SocketStream& stream);
  void ReadHead(httplib::Request& request, Exchange& exchange) const;
  void Reply(Exchange& exchange, const Answer& answer, httplib::Response& response) const;
  void Refuse(Exchange& exchange, const RequestFailure& failure, httplib::Response& response) const;
  void FinishHead(Exchange& exchange, httplib::Response& response) const;
  RequestFailure ReadFailure(const Exchange& exchange, int status) const;

  /// The exchange that the present thread is at. The library hands no context to its handlers.
  static thread_local Exchange* exchange_;

  const TrafficSettings settings_;
  const Clock& clock_;
  RequestHandler& handler_;
  std::atomic<int64_t> requests_in_flight_ = 0;
  /// Connections accepted and not yet given a thread.
  std::atomic<int64_t> waiting_connections_ = 0;
  std::atomic<bool> is_draining_ = false;
  std::atomic<int64_t> drain_start_ = 0;
  std::atomic<int64_t> last_accept_ = 0;
  std::thread listener_;
};

}  // namespace currantpost

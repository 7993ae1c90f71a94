#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"
#include "currantpost/transport/http_server.h"

namespace currantpost::review {

struct WorkerOptions {
  std::string id;
  std::string zone;
  std::string kind;
  std::string rack;
  std::string service = "svc";
  int port = 0;
  int store_port = 0;
  int64_t millicores = 32'000;
  int64_t memory_mb = 125'000;
  /// Rejects what does not fit.
  bool guards = true;
  int64_t hold_max_ms = 10'000;
};

/// One life of a worker. The `spec` of a task says how many milliseconds it works. Each start and
/// end is written to standard output as one line.
class Worker {
 public:
  Worker(EventLoop& loop, const Clock& clock, WorkerOptions options);

  /// Returns whether the port could be bound.
  bool Listen();

 private:
  using Json = nlohmann::json;

  struct RunState {
    int64_t run = 0;
    int64_t millicores = 0;
    Millis ends_at;
  };

  struct EndRow {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  struct Poll {
    Millis until;
    Respond respond;
  };

  void Handle(const ReceivedRequest& request, const Respond& respond);
  void Start(const Json& body, const Respond& respond);
  void Stop(const Json& body, const Respond& respond);
  void Hold(const Json& body, const Respond& respond);
  void ExtendLease(const Json& body);
  void EndRun(const std::string& task, const std::string& how);
  void Answer(const Respond& respond, int status, Json body) const;
  [[nodiscard]] Json Lists() const;
  [[nodiscard]] int64_t ClockMs() const;
  void AnswerPolls();
  void Tick();
  void Announce();

  EventLoop& loop_;
  const Clock& clock_;
  WorkerOptions options_;
  HttpServer server_;
  HttpClient http_;
  Millis born_at_;
  int64_t born_unix_ms_ = 0;
  int64_t token_ = 0;
  int64_t lease_until_ms_ = 0;
  int64_t last_number_ = 0;
  int64_t seq_ = 0;
  std::map<std::string, RunState> running_;
  std::map<std::string, int64_t> closed_;
  std::vector<EndRow> ended_;
  std::vector<Poll> polls_;
};

}  // namespace currantpost::review

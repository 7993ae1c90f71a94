#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "currantpost/transport/event_loop.h"
#include "currantpost/transport/http_client.h"
#include "currantpost/transport/http_server.h"
#include "record.h"

/// A stand-in for one life of a worker. It takes orders by invocation and registers in the store.

namespace review {

struct WorkerOptions {
  std::string id;
  currantpost::Address address;
  currantpost::Address store;
  std::string service;
  std::string zone;
  std::vector<std::string> labels;
  int64_t cpu = 8'000;
  int64_t mem_mb = 32'000;
  /// Rejects starts that do not fit.
  bool guards = true;
};

/// What a job's `spec` says about its tasks, for stand-in workers: "ms=800 cpu=1000 mem=100".
struct TaskNeeds {
  int64_t duration_ms = 0;
  int64_t cpu = 0;
  int64_t mem_mb = 0;
};

class Worker {
 public:
  Worker(currantpost::EventLoop& loop, const currantpost::Clock& clock, WorkerOptions options,
         Record record);

  /// Listens, registers, and renews the registration at each heartbeat.
  void Start();

 private:
  struct Run {
    int64_t run = 0;
    std::string spec;
    TaskNeeds needs;
    int64_t ends_at = 0;
  };
  struct End {
    int64_t number = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };
  struct WaitingPoll {
    int64_t until = 0;
    currantpost::Respond respond;
  };

  void Handle(const currantpost::ReceivedRequest& request, const currantpost::Respond& respond);
  nlohmann::json StartRun(const nlohmann::json& body, int& status);
  nlohmann::json StopRun(const nlohmann::json& body, int& status);
  void Hold(const nlohmann::json& body, const currantpost::Respond& respond);
  void EndRun(const std::string& task, const std::string& how);
  void ExtendLease(int64_t until);
  [[nodiscard]] bool Fits(const TaskNeeds& needs) const;
  [[nodiscard]] nlohmann::json Lists() const;
  [[nodiscard]] int64_t Clock() const;
  void Register();
  void Tick();

  currantpost::EventLoop& loop_;
  WorkerOptions options_;
  Record record_;
  currantpost::HttpServer server_;
  currantpost::HttpClient http_;
  int64_t started_at_ = 0;
  int64_t born_ = 0;
  int64_t beats_ = 0;
  int64_t token_ = 0;
  int64_t lease_until_ = 0;
  int64_t last_number_ = 0;
  bool was_looked_at_ = false;
  std::map<std::string, Run> running_;
  std::map<std::string, int64_t> closed_;
  std::vector<End> ended_;
  std::list<WaitingPoll> waiting_;
};

}  // namespace review

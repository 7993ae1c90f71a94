#pragma once

#include <mutex>

#include "faulty_service.h"
#include "worker_model.h"

namespace currantpost::standins {

/// A VM's worker: takes orders over HTTP and runs make-believe tasks in real time.
class StandinWorker {
 public:
  explicit StandinWorker(WorkerOptions options);
  ~StandinWorker() { service_.Stop(); }

  int Start(int port = 0) { return service_.Start(port); }
  FaultyService& Service() { return service_; }

  /// Begins a new life of the worker.
  void Restart();
  void FailEveryTask(bool fails);
  void SetBehaviour(const std::string& kind, const KindBehaviour& behaviour);
  WorkerRecords Records();

 private:
  void ServeOrders();
  void ServeAdmin();

  MonotonicClock clock_;
  std::mutex mutex_;
  WorkerModel model_;
  FaultyService service_;
};

}  // namespace currantpost::standins

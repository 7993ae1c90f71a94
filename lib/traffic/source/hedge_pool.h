#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace currantpost {

/// A few threads for second attempts. Takes work only if a thread is free: a hedge that has to wait
/// comes too late.
class HedgePool {
 public:
  explicit HedgePool(int32_t threads);
  ~HedgePool();

  HedgePool(const HedgePool&) = delete;
  HedgePool& operator=(const HedgePool&) = delete;

  /// Runs work on a free thread. False, and nothing done, if there is none.
  bool TryRun(std::function<void()> work);

 private:
  void Serve();

  std::mutex mutex_;
  std::condition_variable has_work_;
  std::vector<std::function<void()>> work_;
  size_t free_threads_ = 0;
  bool is_stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace currantpost

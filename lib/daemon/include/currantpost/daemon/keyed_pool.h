#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/base/time.h"

namespace currantpost {

/// How a job of a `KeyedPool` went, for the pool's own purposes.
enum class PoolVerdict {
  kPrompt,
  /// The other end was silent. Keys like this share half of the threads.
  kSilent,
};

/// One job for a pool. Exactly one of the two functions is called, exactly once, unless the pool
/// is stopped first.
struct PoolJob {
  std::function<PoolVerdict()> run;
  /// Called in place of `run` if the job waited too long to be begun.
  std::function<void()> expire;
};

/// Bounds of a `KeyedPool`.
struct PoolLimits {
  int threads = 1;
  /// Jobs that may wait for one key.
  size_t queue_length = 1;
  /// Jobs that may wait in all.
  size_t total_length = 4'096;
  /// Longest time that a job may wait to be begun.
  Millis longest_wait;
};

/// A fixed number of threads for jobs that block.
///
/// Jobs of one key run in order, one at a time; jobs of different keys run side by side. Keys take
/// turns, and silent ones cannot take the threads of the others.
class KeyedPool {
 public:
  KeyedPool(PoolLimits limits, const Clock& clock);
  ~KeyedPool();

  KeyedPool(const KeyedPool&) = delete;
  KeyedPool& operator=(const KeyedPool&) = delete;

  /// Takes a job. Returns false, and takes nothing, if a queue is full or the pool is stopped.
  bool Add(const std::string& key, PoolJob job) ABSL_LOCKS_EXCLUDED(mutex_);

  /// Drops the waiting jobs and waits for those that run. May be called again.
  void Stop() ABSL_LOCKS_EXCLUDED(mutex_);

  /// Returns the number of jobs that wait.
  [[nodiscard]] size_t Waiting() const ABSL_LOCKS_EXCLUDED(mutex_);

 private:
  struct WaitingJob {
    PoolJob job;
    Millis added_at;
  };

  struct Lane {
    std::deque<WaitingJob> jobs;
    bool running = false;
    bool silent = false;
  };

  void Work() ABSL_LOCKS_EXCLUDED(mutex_);
  void RunOne(const std::string& key) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void Finish(const std::string& key, PoolVerdict verdict) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  [[nodiscard]] bool MayRun(const std::string& key) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  [[nodiscard]] bool IsReady() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const PoolLimits limits_;
  const Clock& clock_;
  mutable absl::Mutex mutex_;
  absl::flat_hash_map<std::string, Lane> lanes_ ABSL_GUARDED_BY(mutex_);
  /// Keys with waiting jobs and none running, the one that waited longest first.
  std::deque<std::string> turns_ ABSL_GUARDED_BY(mutex_);
  size_t waiting_ ABSL_GUARDED_BY(mutex_) = 0;
  int silent_running_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::thread> threads_;
};

}  // namespace currantpost

#include "hedge_pool.h"

#include <utility>

namespace currantpost {

HedgePool::HedgePool(int32_t threads) {
  for (int32_t index = 0; index < threads; ++index) {
    threads_.emplace_back([this] { Serve(); });
  }
}

HedgePool::~HedgePool() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }

  has_work_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

bool HedgePool::TryRun(std::function<void()> work) {
  const std::lock_guard lock(mutex_);
  if (is_stopping_ || work_.size() >= free_threads_) return false;

  work_.push_back(std::move(work));
  has_work_.notify_one();
  return true;
}

void HedgePool::Serve() {
  std::unique_lock lock(mutex_);

  while (true) {
    ++free_threads_;
    has_work_.wait(lock, [this] { return !work_.empty() || is_stopping_; });
    --free_threads_;
    if (work_.empty()) return;

    const std::function<void()> work = std::move(work_.back());
    work_.pop_back();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace currantpost

#include "currantpost/daemon/keyed_pool.h"

#include <algorithm>
#include <utility>

namespace currantpost {

KeyedPool::KeyedPool(PoolLimits limits, const Clock& clock) : limits_(limits), clock_(clock) {
  threads_.reserve(limits_.threads);

  for (int number = 0; number < limits_.threads; ++number) {
    threads_.emplace_back([this] { Work(); });
  }
}

KeyedPool::~KeyedPool() { Stop(); }

bool KeyedPool::Add(const std::string& key, PoolJob job) {
  absl::MutexLock lock(&mutex_);
  if (stopped_ || waiting_ >= limits_.total_length) return false;

  Lane& lane = lanes_[key];
  if (lane.jobs.size() >= limits_.queue_length) return false;

  if (lane.jobs.empty() && !lane.running) turns_.push_back(key);

  lane.jobs.push_back(WaitingJob{.job = std::move(job), .added_at = clock_.Now()});
  ++waiting_;

  return true;
}

void KeyedPool::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopped_ = true;
  }

  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

size_t KeyedPool::Waiting() const {
  absl::MutexLock lock(&mutex_);
  return waiting_;
}

void KeyedPool::Work() {
  absl::MutexLock lock(&mutex_);

  while (true) {
    mutex_.Await(absl::Condition(this, &KeyedPool::IsReady));
    if (stopped_) return;

    const auto turn = std::ranges::find_if(turns_, [this](const std::string& key) {
      mutex_.AssertHeld();
      return MayRun(key);
    });
    const std::string key = *turn;
    turns_.erase(turn);

    RunOne(key);
  }
}

void KeyedPool::RunOne(const std::string& key) {
  Lane& lane = lanes_[key];
  const WaitingJob next = std::move(lane.jobs.front());
  lane.jobs.pop_front();
  lane.running = true;
  --waiting_;
  if (lane.silent) ++silent_running_;

  const bool expired = clock_.Now() - next.added_at > limits_.longest_wait;
  PoolVerdict verdict = lane.silent ? PoolVerdict::kSilent : PoolVerdict::kPrompt;

  mutex_.Unlock();

  if (expired) {
    next.job.expire();
  } else {
    verdict = next.job.run();
  }

  mutex_.Lock();
  Finish(key, verdict);
}

void KeyedPool::Finish(const std::string& key, PoolVerdict verdict) {
  const auto found = lanes_.find(key);
  Lane& lane = found->second;

  if (lane.silent) --silent_running_;
  lane.silent = verdict == PoolVerdict::kSilent;
  lane.running = false;

  if (!lane.jobs.empty()) {
    turns_.push_back(key);
    return;
  }

  // A silent key is remembered, so that its next job is counted as one.
  if (!lane.silent) lanes_.erase(found);
}

bool KeyedPool::MayRun(const std::string& key) const {
  const auto found = lanes_.find(key);
  const int most_silent = std::max(1, limits_.threads / 2);

  return !found->second.silent || silent_running_ < most_silent;
}

bool KeyedPool::IsReady() const {
  if (stopped_) return true;

  return std::ranges::any_of(turns_, [this](const std::string& key) {
    mutex_.AssertHeld();
    return MayRun(key);
  });
}

}  // namespace currantpost

#include <gtest/gtest.h>

#include <deque>

#include "long_running_job.h"

/// How often owners poll workers whose leases they cannot extend, or whose replies are overdue.

namespace currantpost::scheduler {
namespace {

constexpr const char* kJob = "a";
constexpr Millis kSecond = Millis(1'000);
/// An owner polls a worker every 100 ms at most while it cannot extend the lease.
constexpr size_t kMaxPollsPerSecond = 10;

class PollRate : public testing::Test {
 protected:
  void SetUp() override {
    StartWithLongRunningJob(world_, kJob, 1);
    worker_ = world_.WorkersOf(kJob).front();
    world_.loses_order = [this](const WorkerCall& call) { return CountPoll(call); };
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Cuts all entries off from the store, so that no other entry takes the cell.
  void CutStore() {
    for (const std::string& entry : world_.Entries()) world_.Cut(entry, "store");
  }

  World world_{WorldShape{}};
  std::string worker_;
  /// How many of the next polls get lost.
  int32_t to_lose_ = 0;
  size_t max_per_second_ = 0;

 private:
  /// Counts a poll of the task's worker, and returns whether it gets lost.
  bool CountPoll(const WorkerCall& call) {
    if (call.worker.Text() != worker_ || !std::holds_alternative<PollWorker>(call.order)) {
      return false;
    }

    while (!sent_at_.empty() && sent_at_.front() + kSecond <= world_.now()) sent_at_.pop_front();
    sent_at_.push_back(world_.now());
    max_per_second_ = std::max(max_per_second_, sent_at_.size());
    return to_lose_-- > 0;
  }

  std::deque<Millis> sent_at_;
};

// Guards against polls without a pause while the store confirms no lease of the owner.
TEST_F(PollRate, IsLimitedWhileTheOwnerCannotExtendLeases) {
  CutStore();
  world_.Run(Millis(12'000));

  EXPECT_LE(max_per_second_, kMaxPollsPerSecond);
}

// Guards against polls without a pause while an earlier poll is overdue that a later one replaced.
TEST_F(PollRate, IsLimitedWhileALostPollIsInFlight) {
  CutStore();
  world_.Run(Millis(6'500));
  to_lose_ = 1;
  world_.Run(Millis(2'000));

  EXPECT_LE(max_per_second_, kMaxPollsPerSecond);
}

}  // namespace
}  // namespace currantpost::scheduler

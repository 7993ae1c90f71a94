#include <gtest/gtest.h>

#include "long_running_job.h"

/// First polls of workers with runs after a cell has got a new owner.

namespace currantpost::scheduler {
namespace {

constexpr const char* kJob = "a";

class FirstContact : public testing::Test {
 protected:
  void SetUp() override {
    StartWithLongRunningJob(world_, kJob, 1);
    former_ = world_.OwnerOf(kJob);
    worker_ = world_.WorkersOf(kJob).front();
  }

  void TearDown() override { EXPECT_EQ(world_.violations, std::vector<std::string>()); }

  /// Returns the cell of the task at its new owner, or null before there is one.
  OwnedCell* NewCell() {
    const std::string owner = world_.OwnerOf(kJob);
    if (owner.empty() || owner == former_ || !world_.IsUp(owner)) return nullptr;

    for (auto& [id, cell] : world_.state(owner).cells) {
      if (cell.workers.contains(VmId(worker_))) return &cell;
    }
    return nullptr;
  }

  World world_{WorldShape{.racks = 1}};
  std::string former_;
  std::string worker_;
};

// Guards against runs that lapse because a lost first poll was repeated only after its timeout.
TEST_F(FirstContact, ARunLastsThoughTheFirstPollAndALaterRenewalAreLost) {
  const std::set<int32_t> lost = {1, 3, 4};
  int32_t polls = 0;
  world_.loses_order = [&](const WorkerCall& call) {
    if (call.worker.Text() != worker_ || NewCell() == nullptr) return false;
    return std::holds_alternative<PollWorker>(call.order) && lost.contains(++polls);
  };
  world_.Kill(former_);
  world_.Run(Millis(8'000));

  const TaskName name{JobId(kJob), 0, 0, 0};
  EXPECT_GT(polls, 4);
  EXPECT_EQ(world_.ends[name][RunEnd::kLeaseExpired], 0);
  EXPECT_EQ(world_.starts[name], 1);
}

// Guards against a pause after failed polls that outlasts what is left of the leases.
TEST_F(FirstContact, SilentWorkersArePolledOnceTheFormerOwnerHasRestarted) {
  for (const std::string& entry : world_.Entries()) {
    if (entry != former_) world_.Cut(entry, worker_);
  }
  world_.Kill(former_);
  world_.Run(Millis(5'000));
  ASSERT_NE(NewCell(), nullptr);
  ASSERT_FALSE(NewCell()->hand_over.former.owner.Empty());

  world_.Reconnect();
  world_.Start(former_);
  while (!NewCell()->hand_over.former.owner.Empty()) world_.Run(Millis(5));
  world_.Run(Millis(250));

  EXPECT_TRUE(NewCell()->workers.at(VmId(worker_)).contacted);
}

}  // namespace
}  // namespace currantpost::scheduler

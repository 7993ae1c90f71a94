#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "world.h"

/// Entries in the registry, from another writer, whose incarnation is not that of the worker.

namespace currantpost::scheduler {
namespace {

constexpr Millis kStart = Millis(4'000);
constexpr Millis kLong = Millis(12'000);
constexpr Millis kRound = Millis(100);
constexpr int64_t kTooHigh = 1'000'000;
constexpr int64_t kClockStep = 100;
/// The longest absence of a task whose worker has restarted out of its owner's reach.
constexpr Millis kMaxQuestionTime = Millis(2'500);

class FalseIncarnation : public testing::Test {
 protected:
  FalseIncarnation() {
    world_.planner = [](const TaskName&) {
      return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000, .memory_mib = 100}};
    };
    world_.Run(kStart);
    world_.Submit("e0", MakeJob("a", 4));
    world_.Run(kStart);
    const std::vector<std::string> workers = world_.WorkersOf("a");
    if (!workers.empty()) named_ = {workers.front()};
  }

  void AnnounceFalsely(const std::vector<std::string>& workers) {
    for (const std::string& worker : workers) {
      WorkerAnnouncement info = world_.worker(worker).info();
      info.incarnation += kTooHigh;
      world_.store.Announce(info, world_.now());
    }
  }

  void ExpectRunsContinue() {
    EXPECT_EQ(world_.violations, std::vector<std::string>());
    EXPECT_TRUE(world_.ends.empty());
    EXPECT_EQ(world_.WorkersOf("a").size(), 4U);
    for (const auto& [name, count] : world_.starts) EXPECT_EQ(count, 1) << name.index;
  }

  World world_{WorldShape{.entries = 3}};
  /// A worker with runs, whose entry is replaced.
  std::vector<std::string> named_;
};

// Guards against tasks that run twice: the owner took the registry's word for a restart.
TEST_F(FalseIncarnation, RunsGoOnWhileTheRegistryNamesALaterOne) {
  for (const Millis end = world_.now() + kLong; world_.now() < end; world_.Run(kRound)) {
    AnnounceFalsely(named_);
  }

  ExpectRunsContinue();
}

TEST_F(FalseIncarnation, RunsGoOnAfterTheRegistryHasNamedALaterOneOnce) {
  AnnounceFalsely(named_);
  world_.Run(kLong);

  ExpectRunsContinue();
}

TEST_F(FalseIncarnation, RunsGoOnUnderANewOwner) {
  const std::string owner = world_.OwnerOf("a");
  ASSERT_FALSE(owner.empty());
  world_.Kill(owner);
  for (const Millis end = world_.now() + kLong; world_.now() < end; world_.Run(kRound)) {
    AnnounceFalsely(named_);
  }

  ExpectRunsContinue();
}

TEST_F(FalseIncarnation, TheWorkerIsUsedOnceItsOwnEntryIsBack) {
  AnnounceFalsely(world_.Workers());
  world_.Run(kStart);
  world_.Submit("e0", MakeJob("b", 4));
  world_.Run(kStart);

  EXPECT_EQ(world_.WorkersOf("b").size(), 4U);
}

// Guards against tasks that run twice: the question to the worker was lost with its connection, and
// the owner took the registry's word.
TEST_F(FalseIncarnation, RunsGoOnIfTheFirstQuestionsFailAtOnce) {
  constexpr Millis kResetTime = Millis(400);
  AnnounceFalsely(named_);
  const Millis end = world_.now() + kResetTime;
  world_.resets_order = [&](const WorkerCall& call) {
    return world_.now() < end && call.worker.Text() == named_.front();
  };
  world_.Run(kLong);

  ExpectRunsContinue();
}

// Guards against a worker that is refused for good: it restarted after its clock was set back.
TEST_F(FalseIncarnation, AWorkerWhoseClockWasSetBackBeforeItsRestartIsUsed) {
  for (const int64_t step : {kClockStep, -kClockStep / 2}) {
    for (const std::string& worker : world_.Workers()) {
      world_.worker(worker).info().incarnation += step;
      world_.RestartWorker(worker);
    }
    world_.Run(kLong);
  }

  EXPECT_EQ(world_.violations, std::vector<std::string>());
  EXPECT_EQ(world_.WorkersOf("a").size(), 4U);
}

// Guards against a longer absence of tasks: a worker that does not tell of its restart.
TEST_F(FalseIncarnation, TheRegistryCountsSoonIfTheWorkerDoesNotAnswer) {
  ASSERT_EQ(named_.size(), 1U);
  world_.Cut(world_.OwnerOf("a"), named_.front());
  world_.RestartWorker(named_.front());
  world_.Run(kMaxQuestionTime);

  EXPECT_EQ(world_.violations, std::vector<std::string>());
  EXPECT_EQ(world_.WorkersOf("a").size(), 4U);
}

}  // namespace
}  // namespace currantpost::scheduler

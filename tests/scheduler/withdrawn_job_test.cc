#include <gtest/gtest.h>

#include "lone_entry.h"
#include "world.h"

/// Jobs that their callers withdraw while a write of the submission may still be carried out.

namespace currantpost::scheduler {
namespace {

const std::string kWithdrawn = "shared/withdrawn/";
/// The store carries out a write this long after it was sent.
constexpr Millis kLateWrite = Millis(6'000);
/// Every late write was carried out after this time, and its job has started.
constexpr Millis kAllWritesDone = Millis(12'000);
/// A withdrawal is removed after this time.
constexpr Millis kWithdrawalGone = Millis(45'000);

class WithdrawnJob : public testing::Test {
 protected:
  WithdrawnJob() { world_.Run(Millis(5'000)); }

  /// Submits a job whose writes are all carried out late.
  void SubmitLate(const std::string& entry, const std::string& job) {
    world_.DelayWrites(entry, std::string(kJobPrefix) + job, kLateWrite);
    world_.Submit(entry, MakeJob(job, 1));
  }

  [[nodiscard]] CallerOutcome LastAnswer(const std::string& job) const {
    const auto found = world_.answers.find(job);
    return found == world_.answers.end() ? CallerOutcome::kPending : found->second.back().outcome;
  }

  [[nodiscard]] size_t CountAnswers(const std::string& job, CallerOutcome outcome) const {
    const auto found = world_.answers.find(job);
    if (found == world_.answers.end()) return 0;
    return static_cast<size_t>(std::ranges::count(found->second, outcome, &AnswerCaller::outcome));
  }

  [[nodiscard]] bool IsStored(const std::string& key) const {
    return world_.store.Value(key).has_value();
  }

  World world_{WorldShape{.entries = 3}};
};

TEST_F(WithdrawnJob, DoesNotRunAfterItsCallerWasToldThatItIsNotThere) {
  SubmitLate("e0", "a");
  world_.Run(Millis(2'600));
  ASSERT_EQ(LastAnswer("a"), CallerOutcome::kUnknown);

  world_.Cancel("e1", "a");
  world_.Run(Millis(100));
  ASSERT_EQ(LastAnswer("a"), CallerOutcome::kNoSuchJob);

  world_.Run(kAllWritesDone);
  EXPECT_TRUE(world_.starts.empty());
  EXPECT_FALSE(IsStored(std::string(kJobPrefix) + "a"));
}

TEST_F(WithdrawnJob, DoesNotRunIfItsOwnEntryIsAskedToCancelIt) {
  SubmitLate("e0", "a");
  world_.Run(Millis(1'000));
  world_.Cancel("e0", "a");
  world_.Run(kAllWritesDone);

  const bool told = CountAnswers("a", CallerOutcome::kNoSuchJob) > 0;
  ASSERT_TRUE(told || CountAnswers("a", CallerOutcome::kUnknown) == 2);
  EXPECT_TRUE(world_.starts.empty()) << "told that there is no such job: " << told;
}

TEST_F(WithdrawnJob, DoesNotRunIfItsCancelIsAskedOfAllEntriesAtOnce) {
  SubmitLate("e0", "a");
  world_.Run(Millis(500));
  for (const char* entry : {"e0", "e1", "e2"}) world_.Cancel(entry, "a");
  world_.Run(kAllWritesDone);

  EXPECT_EQ(CountAnswers("a", CallerOutcome::kNoSuchJob), 3U);
  EXPECT_TRUE(world_.starts.empty());
}

TEST_F(WithdrawnJob, IsRefusedAtFirstAndAcceptedLaterIfItIsSubmittedAgain) {
  world_.Cancel("e1", "a");
  world_.Run(Millis(100));
  ASSERT_EQ(LastAnswer("a"), CallerOutcome::kNoSuchJob);

  world_.Submit("e2", MakeJob("a", 1));
  world_.Run(kAllWritesDone);
  EXPECT_EQ(LastAnswer("a"), CallerOutcome::kRefused);
  EXPECT_TRUE(world_.starts.empty()) << "refused, and run all the same";

  world_.Run(kWithdrawalGone);
  world_.Submit("e2", MakeJob("a", 1));
  world_.Run(Millis(3'000));
  EXPECT_EQ(LastAnswer("a"), CallerOutcome::kAccepted);
  EXPECT_EQ(world_.Phase("a"), JobPhase::kCompleted);
}

TEST_F(WithdrawnJob, IsNotRefusedForGoodWhileAnEarlierWriteMayBeCarriedOut) {
  SubmitLate("e0", "a");
  world_.Run(Millis(1'000));
  world_.Cancel("e1", "a");
  world_.Run(Millis(50));
  ASSERT_EQ(LastAnswer("a"), CallerOutcome::kNoSuchJob);

  // The next write of the same submission is answered.
  world_.DelayWrites("e0", std::string(kJobPrefix) + "a", Millis(0));
  world_.Run(kAllWritesDone);
  EXPECT_EQ(CountAnswers("a", CallerOutcome::kRefused), 0U);
  EXPECT_EQ(LastAnswer("a"), CallerOutcome::kUnknown);
  EXPECT_TRUE(world_.starts.empty());
}

TEST_F(WithdrawnJob, RunsOrIsRefusedIfItIsSubmittedWhileItsWithdrawalIsOnItsWay) {
  for (int32_t gap = 0; gap < 30; gap += 5) {
    const std::string job = "j" + std::to_string(gap);
    world_.Cancel("e1", job);
    world_.Run(Millis(gap));
    world_.Submit("e2", MakeJob(job, 1));
    world_.Run(Millis(3'000));

    const bool gone = CountAnswers(job, CallerOutcome::kNoSuchJob) == 1;
    const bool accepted = CountAnswers(job, CallerOutcome::kAccepted) == 1;
    const bool cancelled = CountAnswers(job, CallerOutcome::kCancelled) == 1;
    const bool refused = CountAnswers(job, CallerOutcome::kRefused) == 1;
    EXPECT_TRUE((gone && refused) || (accepted && cancelled)) << gap;
    EXPECT_EQ(IsStored(std::string(kJobPrefix) + job), accepted) << gap;
  }
}

TEST_F(WithdrawnJob, HasAnUnknownOutcomeWhileTheStoreIsAway) {
  world_.planner = [](const TaskName&) { return RunPlan{.duration = Millis(5'000)}; };
  SubmitLate("e0", "a");
  world_.Run(Millis(2'600));
  world_.Cut("e1", "store");
  world_.Cancel("e1", "a");
  world_.Run(Millis(2'600));
  EXPECT_EQ(CountAnswers("a", CallerOutcome::kNoSuchJob), 0U);
  EXPECT_EQ(CountAnswers("a", CallerOutcome::kUnknown), 2U);

  world_.Reconnect();
  world_.Run(kAllWritesDone);
  EXPECT_TRUE(world_.starts.empty() || world_.Phase("a") == JobPhase::kCancelled);
}

TEST_F(WithdrawnJob, IsNotTakenForKnownWhileItsWithdrawalIsLate) {
  SubmitLate("e0", "a");
  world_.Run(Millis(2'600));
  world_.DelayWrites("e1", kWithdrawn, Millis(1'000));
  world_.Cancel("e1", "a");
  world_.Run(Millis(900));
  EXPECT_EQ(CountAnswers("a", CallerOutcome::kNoSuchJob), 0U);

  world_.DelayWrites("e1", kWithdrawn, Millis(0));
  world_.Run(kAllWritesDone);
  EXPECT_EQ(CountAnswers("a", CallerOutcome::kNoSuchJob), 1U);
  EXPECT_TRUE(world_.starts.empty());
}

TEST_F(WithdrawnJob, LeavesNoRecordForGoodAlsoIfTheEntriesThatWroteItAreGone) {
  for (int32_t number = 0; number < 40; ++number) {
    world_.Cancel(number % 2 == 0 ? "e0" : "e1", "j" + std::to_string(number));
  }
  world_.Run(Millis(200));
  ASSERT_TRUE(IsStored(kWithdrawn + "j0"));
  ASSERT_TRUE(IsStored(kWithdrawn + "j39"));

  world_.KillForGood("e0");
  world_.KillForGood("e1");
  world_.store.CompactHistory();
  world_.Run(kWithdrawalGone);
  for (int32_t number = 0; number < 40; ++number) {
    EXPECT_FALSE(IsStored(kWithdrawn + "j" + std::to_string(number)));
  }
}

TEST_F(WithdrawnJob, IsWithdrawnAnewByALaterCancel) {
  world_.Cancel("e0", "a");
  world_.Run(Millis(20'000));
  SubmitLate("e0", "a");
  world_.Run(Millis(2'600));
  world_.Cancel("e1", "a");
  world_.Run(Millis(9'000));
  EXPECT_TRUE(IsStored(kWithdrawn + "a")) << "removed by the age of the first withdrawal";
  EXPECT_TRUE(world_.starts.empty());
}

TEST(Withdrawals, AreLimitedInNumber) {
  LoneEntry entry;
  // Far more than are ever withdrawn within the life of a withdrawal.
  std::vector<StoreItem> items;
  for (int32_t number = 0; number < 20'000; ++number) {
    const std::string key = kWithdrawn + "j" + std::to_string(number);
    items.push_back(StoreItem{.key = key, .revision = 10 + number, .value = "{}"});
  }
  entry.Handle(RecordsPushed{std::move(items)});

  entry.Handle(CallerRequested{1, Millis(3'000), JobCancelled{JobId("a")}});
  const RequestId read = entry.LatestCall<ReadRecord>([](const ReadRecord&) { return true; });
  entry.Answer(read, {.status = StoreStatus::kNotFound});
  EXPECT_TRUE(entry.Answers().empty()) << "told that it is not there, without a record of that";

  entry.Wait(Millis(2'600));
  ASSERT_EQ(entry.Answers().size(), 1U);
  EXPECT_EQ(entry.Answers()[0].outcome, CallerOutcome::kUnknown);
}

}  // namespace
}  // namespace currantpost::scheduler

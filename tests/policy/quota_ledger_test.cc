#include "currantpost/policy/quota_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace currantpost {
namespace {

constexpr Resources kOneCore{.millicores = 1'000};
constexpr Resources kWhole{.millicores = 100'000, .memory_mib = 100'000};

WaitingTask Waiting(const char* team, Priority priority = Priority::kNormal,
                    Millis since = Millis(0)) {
  return {.team = TeamId(team), .priority = priority, .size = kOneCore, .waiting_since = since};
}

TEST(QuotaLedger, AdmitsUpToTheQuota) {
  QuotaLedger ledger;
  ledger.SetQuota(TeamId("kitchen"), {.millicores = 2'000});

  EXPECT_TRUE(ledger.Admits(TeamId("kitchen"), kOneCore));
  ledger.Charge(TeamId("kitchen"), kOneCore);
  ledger.Charge(TeamId("kitchen"), kOneCore);
  EXPECT_FALSE(ledger.Admits(TeamId("kitchen"), kOneCore));

  ledger.Release(TeamId("kitchen"), kOneCore);
  EXPECT_TRUE(ledger.Admits(TeamId("kitchen"), kOneCore));
  EXPECT_TRUE(ledger.Admits(TeamId("unlimited"), kWhole));
}

TEST(QuotaLedger, ReleasingTwiceDoesNotExtendAQuota) {
  QuotaLedger ledger;
  ledger.SetQuota(TeamId("kitchen"), kOneCore);
  ledger.Charge(TeamId("kitchen"), kOneCore);

  ledger.Release(TeamId("kitchen"), kOneCore);
  ledger.Release(TeamId("kitchen"), kOneCore);

  EXPECT_EQ(ledger.Used(TeamId("kitchen")), Resources{});
  EXPECT_FALSE(ledger.Admits(TeamId("kitchen"), kOneCore + kOneCore));
}

TEST(QuotaLedger, SelectsUrgentTasksFirst) {
  QuotaLedger ledger;
  ledger.Charge(TeamId("busy"), kWhole);
  const std::vector<WaitingTask> waiting = {Waiting("idle"), Waiting("busy", Priority::kUrgent)};

  EXPECT_EQ(ledger.SelectNext(waiting, kWhole), 1U);
}

TEST(QuotaLedger, SelectsTheTeamWithTheSmallestShareAtEqualPriority) {
  QuotaLedger ledger;
  ledger.SetQuota(TeamId("small"), {.millicores = 2'000});
  ledger.SetQuota(TeamId("large"), {.millicores = 50'000});
  ledger.Charge(TeamId("small"), kOneCore);
  ledger.Charge(TeamId("large"), {.millicores = 5'000});

  const std::vector<WaitingTask> waiting = {Waiting("small"), Waiting("large")};
  EXPECT_EQ(ledger.SelectNext(waiting, kWhole), 1U);
}

TEST(QuotaLedger, BreaksTiesByLongestWaitThenByTeamName) {
  const QuotaLedger ledger;

  const std::vector<WaitingTask> waits = {Waiting("a", Priority::kLow, Millis(9)),
                                          Waiting("b", Priority::kLow, Millis(3))};
  EXPECT_EQ(ledger.SelectNext(waits, kWhole), 1U);

  const std::vector<WaitingTask> equal_waits = {Waiting("b"), Waiting("a")};
  EXPECT_EQ(ledger.SelectNext(equal_waits, kWhole), 1U);
}

TEST(QuotaLedger, SkipsTeamsWithoutRemainingQuota) {
  QuotaLedger ledger;
  ledger.SetQuota(TeamId("none"), {});

  EXPECT_EQ(ledger.SelectNext(std::vector{Waiting("none")}, kWhole), std::nullopt);
}

RC_GTEST_PROP(QuotaLedgerProperty, SelectionUsesUpEachQuotaAndNoMore, ()) {
  QuotaLedger ledger;
  std::vector<WaitingTask> waiting;

  for (const char* team : {"a", "b", "c"}) {
    ledger.SetQuota(TeamId(team), {.millicores = *rc::gen::inRange<int64_t>(0, 12) * 1'000});
    waiting.push_back(Waiting(team));
  }

  int selections = 0;
  while (const auto next = ledger.SelectNext(waiting, kWhole)) {
    ledger.Charge(waiting[*next].team, kOneCore);
    ++selections;
    RC_ASSERT(selections <= 36);
  }

  for (const WaitingTask& task : waiting) {
    RC_ASSERT(ledger.Admits(task.team, {}));
    RC_ASSERT(!ledger.Admits(task.team, kOneCore));
  }
}

}  // namespace
}  // namespace currantpost

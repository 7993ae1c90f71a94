#include <gtest/gtest.h>

#include <cstdlib>

#include "hand_over_scenario.h"

/// Random scenarios in which cells change owners repeatedly while workers
/// leave. They check that long-running tasks start again, that no task runs
/// twice and that accepted jobs complete.
///
/// CURRANTPOST_AUDIT_SEEDS and CURRANTPOST_AUDIT_LOG work as in
/// answers_audit_test.cc.

namespace currantpost::scheduler {
namespace {

const std::vector<uint64_t> kSeeds = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};

class HandOverAudit : public testing::TestWithParam<uint64_t> {};

TEST_P(HandOverAudit, LongRunningTasksRestartAndNoTaskRunsTwice) {
  HandOverScenario scenario(GetParam());
  scenario.RunAll();
  if (const char* path = std::getenv("CURRANTPOST_AUDIT_LOG")) scenario.SaveLog(path);

  EXPECT_TRUE(scenario.Report().empty()) << scenario.Report();
  const bool uses_default_seeds = std::getenv("CURRANTPOST_AUDIT_SEEDS") == nullptr;
  EXPECT_TRUE(!uses_default_seeds || scenario.audit().restarts > 0)
      << "no long-running task was interrupted";
  EXPECT_GT(scenario.audit().checks, 100) << "next to nothing was checked";
  RecordProperty("restarts", static_cast<int>(scenario.audit().restarts));
  RecordProperty("longest_absence_ms", static_cast<int>(scenario.audit().max_absence.Count()));
}

INSTANTIATE_TEST_SUITE_P(Seeds, HandOverAudit, testing::ValuesIn(SelectAuditSeeds(kSeeds)));

}  // namespace
}  // namespace currantpost::scheduler

#include "process.h"

#include <gtest/gtest.h>

#include <csignal>
#include <set>
#include <system_error>

namespace currantpost::testing_support {
namespace {

constexpr Millis kExitTimeout(10'000);

TEST(Process, ReportsExitCodeAndOutput) {
  Process process({"/bin/sh", "-c", "echo out; echo err >&2; exit 3"});

  EXPECT_EQ(process.WaitForExit(kExitTimeout), 3);
  EXPECT_EQ(process.Output(), "out\nerr\n");
}

TEST(Process, ReportsTheTerminatingSignal) {
  Process process({"/bin/sleep", "60"});
  EXPECT_EQ(process.WaitForExit(Millis(20)), std::nullopt);

  process.Signal(SIGSTOP);
  process.Signal(SIGKILL);
  EXPECT_EQ(process.WaitForExit(kExitTimeout), -SIGKILL);
}

TEST(Process, FailsToStartAMissingProgram) {
  EXPECT_THROW(Process({"/nowhere/program"}), std::system_error);
}

TEST(Process, LeavesNoChildBehind) {
  pid_t pid = 0;

  {
    const Process process({"/bin/sleep", "60"});
    pid = process.Pid();
  }

  EXPECT_EQ(kill(pid, 0), -1);
}

TEST(FreePorts, AreAllDifferent) {
  const std::vector<int> ports = FreePorts(20);

  EXPECT_EQ(std::set<int>(ports.begin(), ports.end()).size(), 20);
}

}  // namespace
}  // namespace currantpost::testing_support

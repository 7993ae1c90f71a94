#include <gtest/gtest.h>
#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "process.h"

/// Stops of entries that come before they serve.

namespace currantpost::testing_support {
namespace {

constexpr Millis kStartDeadline(10'000);
constexpr Millis kExitDeadline(20'000);
/// The settings can be read so long after the signal.
constexpr Millis kSettingsDelay(100);
constexpr int kExitOk = 0;
constexpr int kStarts = 40;
constexpr std::chrono::microseconds kDelayStep(100);

class EarlyStop : public testing::Test {
 protected:
  EarlyStop() : folder_(MakeTemporaryFolder()), path_(folder_ + "/node") {
    setenv("CURRANTPOST_NODE_FILE", path_.c_str(), 1);
  }
  ~EarlyStop() override { std::filesystem::remove_all(folder_); }

  /// Sends SIGTERM while a program waits for its settings, then lets it read them.
  void StopWhileSettingsAreRead(const std::vector<std::string>& command,
                                const std::string& settings) const {
    ASSERT_EQ(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR), 0);
    Process process(command);
    // Opening the pipe waits until the program opens it to read.
    std::ofstream pipe(path_);

    process.Signal(SIGTERM);
    ASSERT_EQ(process.WaitForExit(kSettingsDelay), std::nullopt);

    pipe << settings;
    pipe.close();
    EXPECT_EQ(process.WaitForExit(kExitDeadline), kExitOk) << process.Output();
  }

  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string folder_;
  std::string path_;
};

/// Returns settings of an entry that reaches no store.
std::string Settings() {
  const std::vector<int> ports = FreePorts(5);
  const auto address = [&](size_t number) { return "127.0.0.1:" + std::to_string(ports[number]); };

  return "node_name=only\nzone=a\nip=127.0.0.1\nlisten.front=" + address(0) +
         "\nlisten.ready=" + address(1) + "\nport_range=" + std::to_string(ports[2]) + "," +
         std::to_string(ports[3]) + "\nplatform.address=" + address(4) + "\n";
}

/// The same for `currantpostd`.
std::string DaemonSettings() {
  const std::vector<int> ports = FreePorts(5);
  const auto address = [&](size_t number) { return "127.0.0.1:" + std::to_string(ports[number]); };

  return "[entry]\nname = only\ndata_centre = east\nordinal = 0\nentries_per_data_centre = 1\n"
         "[listen]\ncallers = " +
         address(0) + "\noperators = " + address(1) + "\npeers = " + address(2) +
         "\n[platform]\nkv = " + address(3) + "\nvm_list = " + address(4) + "\n";
}

bool WaitForOutput(const Process& process, const std::string& part) {
  const MonotonicClock clock;
  const Millis end = clock.Now() + kStartDeadline;

  while (process.Output().find(part) == std::string::npos) {
    if (clock.Now() >= end) return false;
  }

  return true;
}

TEST_F(EarlyStop, SignalWhileTheEntryReadsItsSettingsEndsItWithCodeZero) {
  StopWhileSettingsAreRead({CURRANTPOST_ENTRY_PATH}, Settings());
}

TEST_F(EarlyStop, SignalWhileTheDaemonReadsItsSettingsEndsItWithCodeZero) {
  StopWhileSettingsAreRead({CURRANTPOSTD_PATH, "--settings", path()}, DaemonSettings());
}

TEST_F(EarlyStop, SignalRightAfterTheStartEndsTheProcessWithCodeZero) {
  std::vector<std::unique_ptr<Process>> entries;

  for (int number = 0; number < kStarts; ++number) {
    std::ofstream(path()) << Settings();
    entries.push_back(std::make_unique<Process>(std::vector<std::string>{CURRANTPOST_ENTRY_PATH}));
    ASSERT_TRUE(WaitForOutput(*entries.back(), "starting"));

    std::this_thread::sleep_for(kDelayStep * number);
    entries.back()->Signal(SIGTERM);
  }

  for (const auto& entry : entries) {
    EXPECT_EQ(entry->WaitForExit(kExitDeadline), kExitOk) << entry->Output();
  }
}

}  // namespace
}  // namespace currantpost::testing_support

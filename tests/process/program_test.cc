#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "batch_job.h"
#include "running_fleet.h"

namespace currantpost::testing_support {
namespace {

using nlohmann::json;

constexpr Millis kExitDeadline(20'000);
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// Exit codes of the tool.
constexpr int kRefused = 1;
constexpr int kBadInput = 2;
constexpr int kUnavailable = 3;

/// A file with a text, removed at the end.
class TextFile {
 public:
  explicit TextFile(const std::string& text) : folder_(MakeTemporaryFolder()) {
    std::ofstream(Path()) << text;
  }
  ~TextFile() { std::filesystem::remove_all(folder_); }

  TextFile(const TextFile&) = delete;
  TextFile& operator=(const TextFile&) = delete;

  std::string Path() const { return folder_ + "/file"; }

 private:
  std::string folder_;
};

/// What a program that has ended did.
struct Finished {
  std::optional<int> exit_code;
  std::string output;
};

Finished RunProgram(const std::vector<std::string>& command) {
  Process process(command);
  const std::optional<int> exit_code = process.WaitForExit(kExitDeadline);
  return Finished{exit_code, process.Output()};
}

Finished RunTool(const Address& operators, std::vector<std::string> arguments) {
  std::vector<std::string> command = {CURRANTPOST_PATH, "--json", "--entry",
                                      operators.host + ":" + std::to_string(operators.port)};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return RunProgram(command);
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/// Settings of an entry whose listeners take the ports.
std::string Settings(const std::vector<int>& ports) {
  const auto address = [&](size_t number) { return "127.0.0.1:" + std::to_string(ports[number]); };

  return "[entry]\nname = only\ndata_centre = east\nordinal = 0\nentries_per_data_centre = 1\n"
         "[listen]\ncallers = " +
         address(0) + "\noperators = " + address(1) + "\npeers = " + address(2) +
         "\n[platform]\nkv = " + address(3) + "\nvm_list = " + address(4) + "\n";
}

TEST(Currantpostd, NamesEveryFaultOfBadSettings) {
  const TextFile file(
      "[entry]\nname = only\nordinal = 99\n[traffic]\nthreads = many\n[unheard]\nof = 1\n");

  for (const char* const flag : {"--settings", "--check"}) {
    const Finished run = RunProgram(
        std::string(flag) == "--check"
            ? std::vector<std::string>{CURRANTPOSTD_PATH, "--check", "--settings", file.Path()}
            : std::vector<std::string>{CURRANTPOSTD_PATH, "--settings", file.Path()});

    EXPECT_EQ(run.exit_code, kExitUsage);
    for (const char* const key : {"entry.ordinal", "traffic.threads", "unheard.of",
                                  "entry.data_centre", "platform.kv", "listen.callers"}) {
      EXPECT_TRUE(Has(run.output, key)) << key << " is not named in:\n" << run.output;
    }
  }
}

TEST(Currantpostd, ChecksGoodSettingsWithoutServing) {
  const TextFile file(Settings(FreePorts(5)));
  const Finished run = RunProgram({CURRANTPOSTD_PATH, "--check", "--settings", file.Path()});

  EXPECT_EQ(run.exit_code, kExitOk) << run.output;
}

TEST(Currantpostd, RefusesUnknownFlagsAndMissingFiles) {
  EXPECT_EQ(RunProgram({CURRANTPOSTD_PATH, "--unheard-of"}).exit_code, kExitUsage);
  EXPECT_EQ(RunProgram({CURRANTPOSTD_PATH, "--settings", "/nowhere"}).exit_code, kExitUsage);
}

/// Each of the three listeners in turn finds its port taken.
TEST(Currantpostd, FailsWithATypedMessageIfAPortIsTaken) {
  const std::vector<int> ports = FreePorts(7);

  for (size_t taken = 0; taken < 3; ++taken) {
    SCOPED_TRACE(taken);
    std::vector<int> mine(ports.begin(), ports.begin() + 5);
    // The stand-in listens on two ports, which serve as the taken ones.
    const Process other({STANDIN_PLATFORM_PATH, "--kv-port", std::to_string(ports[5]),
                         "--vm-list-port", std::to_string(ports[6])});
    ASSERT_TRUE(WaitUntil([&] { return Has(other.Output(), "vm_list"); }, kExitDeadline));

    mine[taken] = ports[5];
    const TextFile file(Settings(mine));
    const Finished run = RunProgram({CURRANTPOSTD_PATH, "--settings", file.Path()});

    EXPECT_EQ(run.exit_code, kExitFailed);
    EXPECT_TRUE(Has(run.output, "error=unavailable")) << run.output;
    EXPECT_TRUE(Has(run.output, std::to_string(ports[5]))) << run.output;
  }
}

TEST(Currantpostd, WritesItsStateOnRequest) {
  RunningFleet fleet;
  const Process& entry = *fleet.Entries()[0].process;
  // In the log line the dump's quotes are escaped.
  const std::string part = "\\\"membership\\\"";
  EXPECT_FALSE(Has(entry.Output(), part));

  entry.Signal(SIGUSR1);
  EXPECT_TRUE(WaitUntil([&] { return Has(entry.Output(), part); }, Millis(10'000)));
  EXPECT_TRUE(Has(entry.Output(), "State dump."));
  EXPECT_TRUE(IsReady(fleet.Entries()[0].operators));
}

TEST(CurrantpostTool, ListsSetsAndSwitchesPresets) {
  RunningFleet fleet;
  const Address& operators = fleet.Entries()[0].operators;

  const Finished list = RunTool(operators, {"preset", "list"});
  EXPECT_EQ(list.exit_code, kExitOk) << list.output;
  EXPECT_TRUE(Has(list.output, "ordinary")) << list.output;

  const Finished set =
      RunTool(operators, {"preset", "set", "peak", "--from", "ordinary", "--batch-share", "0.5"});
  EXPECT_EQ(set.exit_code, kExitOk) << set.output;
  EXPECT_EQ(RunTool(operators, {"preset", "switch", "peak"}).exit_code, kExitOk);
  EXPECT_EQ(RunTool(operators, {"preset", "switch", "unheard-of"}).exit_code, kRefused);

  const json presets = Ask(operators, "GET", "/v1/presets");
  ASSERT_TRUE(presets.is_object());
  EXPECT_EQ(presets.value("in_force", ""), "peak");
}

TEST(CurrantpostTool, FollowsAJob) {
  RunningFleet fleet;
  const Address& operators = fleet.Entries()[0].operators;
  // The racks have owners once a job can be taken.
  ASSERT_TRUE(SubmitUntilAccepted(operators, BatchJob{"first", 1, Millis(100)}));

  const json job{{"job", "pantry-7"},
                 {"team", "kitchen"},
                 {"class", "batch"},
                 {"kind", "pantry"},
                 {"declared", {{"millicores", 500}, {"memory_mib", 256}, {"accelerators", 0}}},
                 {"task_count", 3},
                 {"run_time_ms", 60'000}};
  const TextFile file(job.dump());
  const TextFile broken("{\"job\": 7");

  const Finished submitted = RunTool(operators, {"job", "submit", file.Path()});
  EXPECT_EQ(submitted.exit_code, kExitOk) << submitted.output;
  EXPECT_EQ(RunTool(operators, {"job", "submit", file.Path()}).exit_code, kExitOk)
      << "repeating it is not safe";
  EXPECT_EQ(RunTool(operators, {"job", "submit", broken.Path()}).exit_code, kBadInput);

  const Finished shown = RunTool(operators, {"job", "show", "pantry-7"});
  EXPECT_EQ(shown.exit_code, kExitOk);
  EXPECT_TRUE(Has(shown.output, "\"tasks\":3")) << shown.output;
  EXPECT_EQ(RunTool(operators, {"job", "show", "unheard-of"}).exit_code, kRefused);

  const Finished explained = RunTool(operators, {"explain", "pantry-7", "0"});
  EXPECT_EQ(explained.exit_code, kExitOk) << explained.output;

  EXPECT_EQ(RunTool(operators, {"job", "cancel", "pantry-7"}).exit_code, kExitOk);
  EXPECT_TRUE(WaitUntil(
      [&] {
        return Has(RunTool(operators, {"job", "show", "pantry-7"}).output, "\"cancelled\":true");
      },
      Millis(10'000)));
}

TEST(CurrantpostTool, DumpsAWholeDataCentre) {
  RunningFleet fleet;
  const Address& operators = fleet.Entries()[0].operators;

  const Finished one = RunTool(operators, {"state"});
  EXPECT_EQ(one.exit_code, kExitOk);
  EXPECT_TRUE(Has(one.output, "\"entry\":\"east-0\"")) << one.output;

  EXPECT_TRUE(WaitUntil(
      [&] {
        const Finished all = RunTool(operators, {"state", "--data-centre"});
        return all.exit_code == kExitOk && Has(all.output, "\"entry\":\"east-0\"") &&
               Has(all.output, "\"entry\":\"east-1\"");
      },
      Millis(10'000)));
}

TEST(CurrantpostTool, TellsWhatItCouldNotReachFromBadInput) {
  const Address nobody{"127.0.0.1", FreePorts(1).front()};

  EXPECT_EQ(RunTool(nobody, {"preset", "list"}).exit_code, kUnavailable);
  EXPECT_EQ(RunTool(nobody, {"preset", "unheard-of"}).exit_code, kBadInput);
  EXPECT_EQ(RunTool({"entry.example", 80}, {"preset", "list"}).exit_code, kBadInput);
}

}  // namespace
}  // namespace currantpost::testing_support

#include "currantpost/settings/daemon_settings.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <string>

namespace currantpost {
namespace {

const std::string kGood =
    "[entry]\n"                      // line 1
    "name = kumamoto-1\n"            // line 2
    "data_centre = kumamoto\n"       // line 3
    "ordinal = 0\n"                  // line 4
    "entries_per_data_centre = 3\n"  // line 5
    "[listen]\n"                     // line 6
    "callers = 127.0.0.1:8080\n"     // line 7
    "operators = 127.0.0.1:8081\n"   // line 8
    "peers = [::1]:8082\n"           // line 9
    "[platform]\n"                   // line 10
    "kv = 127.0.0.1:9000\n"          // line 11
    "vm_list = 127.0.0.1:9000\n"     // line 12
    "call_timeout = 2s\n";           // line 13

/// A settings file that is deleted when the object is destroyed.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text)
      : path_(testing::TempDir() + "settings_" + TestName() + ".ini") {
    std::ofstream(path_) << text;
  }

  ~SettingsFile() { std::remove(path_.c_str()); }

  [[nodiscard]] const std::string& Path() const { return path_; }

 private:
  // The name of a parameterized test contains a slash.
  static std::string TestName() {
    std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ranges::replace(name, '/', '_');
    return name;
  }

  std::string path_;
};

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST(DaemonSettings, ReadsAValidFile) {
  const SettingsFile file(kGood + "[peers]\nseeds = 127.0.0.1:1, 127.0.0.2:2\n");
  const auto settings = LoadDaemonSettings(file.Path());

  ASSERT_TRUE(settings) << FaultText(settings.error().front());
  EXPECT_EQ(settings->control.identity.entry, EntryId("kumamoto-1"));
  EXPECT_EQ(settings->control.identity.peer_address, (Address{"::1", 8082}));
  EXPECT_EQ(settings->platform.call_timeout, Millis(2'000));
  EXPECT_EQ(settings->control.seeds.size(), 2U);
}

struct BadFile {
  const char* name;
  std::string text;
  ErrorCode code;
  int32_t line;
  const char* key;
};

void PrintTo(const BadFile& file, std::ostream* stream) { *stream << file.name; }

class BadSettings : public testing::TestWithParam<BadFile> {};

TEST_P(BadSettings, ReportsFileLineKeyAndAllowedValues) {
  const SettingsFile file(GetParam().text);
  const auto settings = LoadDaemonSettings(file.Path());

  ASSERT_FALSE(settings);
  ASSERT_EQ(settings.error().size(), 1U) << FaultText(settings.error().back());

  const SettingsFault& fault = settings.error().front();
  EXPECT_EQ(fault.error.code, GetParam().code) << FaultText(fault);
  EXPECT_EQ(fault.file, file.Path());
  EXPECT_EQ(fault.line, GetParam().line);
  EXPECT_EQ(fault.key, GetParam().key);
  EXPECT_FALSE(fault.allowed.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table, BadSettings,
    testing::Values(BadFile{"UnknownKey", kGood + "colour = red\n", ErrorCode::kUnknownKey, 14,
                            "platform.colour"},
                    BadFile{"UnknownSection", kGood + "[colours]\nwall = red\n",
                            ErrorCode::kUnknownKey, 15, "colours.wall"},
                    BadFile{"MissingKey", Replaced(kGood, "name = kumamoto-1\n", ""),
                            ErrorCode::kMissingKey, 0, "entry.name"},
                    BadFile{"EmptyName", Replaced(kGood, "kumamoto-1", ""),
                            ErrorCode::kInvalidArgument, 2, "entry.name"},
                    BadFile{"NotANumber", Replaced(kGood, "ordinal = 0", "ordinal = two"),
                            ErrorCode::kInvalidArgument, 4, "entry.ordinal"},
                    BadFile{"OutOfRange", Replaced(kGood, "ordinal = 0", "ordinal = 64"),
                            ErrorCode::kOutOfRange, 4, "entry.ordinal"},
                    BadFile{"OrdinalBeyondEntries", Replaced(kGood, "ordinal = 0", "ordinal = 3"),
                            ErrorCode::kOutOfRange, 4, "entry.ordinal"},
                    BadFile{"MoreEntriesThanSlots", Replaced(kGood, "centre = 3", "centre = 9"),
                            ErrorCode::kOutOfRange, 5, "entry.entries_per_data_centre"},
                    BadFile{"HostName", Replaced(kGood, "127.0.0.1:8080", "localhost:8080"),
                            ErrorCode::kInvalidArgument, 7, "listen.callers"},
                    BadFile{"PortTooLarge", Replaced(kGood, "127.0.0.1:8080", "127.0.0.1:65536"),
                            ErrorCode::kOutOfRange, 7, "listen.callers"},
                    BadFile{"NoUnit", Replaced(kGood, "2s", "2"), ErrorCode::kWrongUnit, 13,
                            "platform.call_timeout"},
                    BadFile{"WrongUnit", Replaced(kGood, "2s", "2KiB"), ErrorCode::kWrongUnit, 13,
                            "platform.call_timeout"},
                    BadFile{"TooLong", Replaced(kGood, "2s", "2000min"), ErrorCode::kOutOfRange, 13,
                            "platform.call_timeout"},
                    BadFile{"Overflow", Replaced(kGood, "2s", "9223372036854775807min"),
                            ErrorCode::kOutOfRange, 13, "platform.call_timeout"},
                    BadFile{"Twice", kGood + "kv = 127.0.0.1:9001\n", ErrorCode::kAlreadyExists, 14,
                            "platform.kv"},
                    BadFile{"NoAssignment", kGood + "nonsense\n", ErrorCode::kMalformed, 14, ""},
                    BadFile{"BadSeed", kGood + "[peers]\nseeds = 127.0.0.1:1,there\n",
                            ErrorCode::kInvalidArgument, 15, "peers.seeds"},
                    BadFile{"ShortLease", kGood + "[workers]\ntask_lease = 2s\n",
                            ErrorCode::kOutOfRange, 15, "workers.task_lease"},
                    BadFile{"LongLine", kGood + "# " + std::string(300, 'x') + "\n",
                            ErrorCode::kTooLarge, 14, ""}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(DaemonSettings, ReportsAMissingFile) {
  const auto settings = LoadDaemonSettings(testing::TempDir() + "no-such-file.ini");

  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().front().error.code, ErrorCode::kUnreadable);
}

TEST(DaemonSettings, ReportsEveryFaultAtOnce) {
  const SettingsFile file("[entry]\nname = a b\ncolour = red\n");
  const auto settings = LoadDaemonSettings(file.Path());

  ASSERT_FALSE(settings);
  // Two invalid lines and eight missing required keys.
  EXPECT_EQ(settings.error().size(), 10U);
}

}  // namespace
}  // namespace currantpost

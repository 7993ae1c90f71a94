#include "currantpost/tool/tool.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/model/codec.h"

namespace currantpost {
namespace {

/// An operators' interface that answers what it is told to.
class FakeEntry {
 public:
  FakeEntry() {
    server_.set_default_headers({{"Connection", "close"}});
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::yield();
  }

  ~FakeEntry() {
    server_.stop();
    thread_.join();
  }

  httplib::Server& Server() { return server_; }
  [[nodiscard]] std::string Name() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

struct Ran {
  ExitCode exit_code;
  std::string out;
  std::string error;
};

Ran RunWith(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "currantpost");
  std::ostringstream out;
  std::ostringstream error;
  const ExitCode code = RunTool(static_cast<int>(arguments.size()), arguments.data(), out, error);

  return Ran{code, out.str(), error.str()};
}

TEST(Tool, ListsPresetsAndWhoAppliedTheRevision) {
  FakeEntry entry;
  entry.Server().Get("/v1/presets", [](const auto&, auto& response) {
    response.set_content(Encode(BuiltInConfiguration()), "application/json");
  });
  entry.Server().Get("/v1/state", [](const auto&, auto& response) {
    response.set_content(
        R"({"entry":"e1","configuration":{"revision":7},
            "membership":{"peers":{"e2":{"configuration_revision":6,"alive":false}}}})",
        "application/json");
  });

  const Ran ran = RunWith({"--entry", entry.Name().c_str(), "preset", "list"});

  EXPECT_EQ(ran.exit_code, ExitCode::kOk) << ran.error;
  EXPECT_NE(ran.out.find("* ordinary"), std::string::npos);
  EXPECT_NE(ran.out.find("(silent)"), std::string::npos);
}

TEST(Tool, AConflictNamesWhatToDo) {
  FakeEntry entry;
  entry.Server().Post("/v1/presets/peak/switch", [](const auto&, auto& response) {
    response.status = 409;
    response.set_content(R"({"error":"conflict","detail":"revision"})", "application/json");
  });

  const Ran ran = RunWith({"--entry", entry.Name().c_str(), "preset", "switch", "peak"});

  EXPECT_EQ(ran.exit_code, ExitCode::kRefused);
  EXPECT_NE(ran.error.find("conflict"), std::string::npos);
  EXPECT_NE(ran.error.find("another operator"), std::string::npos);
}

TEST(Tool, ABadJobFileIsNamedBeforeAnythingIsSent) {
  const std::string path = testing::TempDir() + "bad_job.json";
  std::ofstream(path) << "{}";

  const Ran ran = RunWith({"--entry", "127.0.0.1:1", "job", "submit", path.c_str()});

  EXPECT_EQ(ran.exit_code, ExitCode::kBadInput);
  EXPECT_NE(ran.error.find("malformed"), std::string::npos);
}

TEST(Tool, NobodyListeningIsUnavailable) {
  const Ran ran = RunWith({"--entry", "127.0.0.1:1", "--json", "job", "show", "x"});

  EXPECT_EQ(ran.exit_code, ExitCode::kUnavailable);
  EXPECT_NE(ran.error.find("\"error\":\"unavailable\""), std::string::npos);
}

TEST(Tool, AnAnswerThatIsNoJsonLeavesTheOutcomeUnknown) {
  FakeEntry entry;
  entry.Server().Post("/v1/jobs/x/cancel", [](const auto&, auto& response) {
    response.set_content("<html>", "text/html");
  });

  const Ran ran = RunWith({"--entry", entry.Name().c_str(), "job", "cancel", "x"});

  EXPECT_EQ(ran.exit_code, ExitCode::kUnknown);
}

TEST(Tool, BadUsageExitsWithItsOwnCode) {
  EXPECT_EQ(RunWith({"preset", "swich", "x"}).exit_code, ExitCode::kBadInput);
  EXPECT_EQ(RunWith({"--entry", "here", "preset", "list"}).exit_code, ExitCode::kBadInput);
  EXPECT_EQ(RunWith({"--help"}).exit_code, ExitCode::kOk);
}

TEST(Tool, ChecksSettingsWithoutAnEntry) {
  const std::string path = testing::TempDir() + "bad_settings.ini";
  std::ofstream(path) << "[entry]\nname = a b\n";

  const Ran ran = RunWith({"settings", "check", path.c_str()});

  EXPECT_EQ(ran.exit_code, ExitCode::kBadInput);
  EXPECT_NE(ran.error.find(path + ":2: entry.name: invalid_argument"), std::string::npos);
}

}  // namespace
}  // namespace currantpost

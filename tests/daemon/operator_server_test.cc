#include "currantpost/daemon/operator_server.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "currantpost/model/codec.h"
#include "fakes.h"

namespace currantpost {
namespace {

constexpr int kTimeoutSeconds = 20;

/// An operator server whose commands all get the same reply.
class OperatorServerTest : public testing::Test {
 protected:
  void SetUp() override {
    const Result<int> port = server_.Start();
    ASSERT_TRUE(port.has_value());
    port_ = *port;
    replier_ = std::thread([this] { Reply(); });
  }

  void TearDown() override {
    server_.Stop();
    stopping_ = true;
    events_.Close();
    replier_.join();
  }

  void Reply() {
    while (!stopping_) {
      const std::optional<EventBody> body = events_.Pop(Millis(100));
      if (!body) continue;

      const auto& received = std::get<CommandReceived>(*body);
      last_ = received.body;
      commands_.Complete(CommandReply{received.command, error_, body_});
    }
  }

  [[nodiscard]] httplib::Client Client() const {
    httplib::Client client("127.0.0.1", port_);
    client.set_read_timeout(kTimeoutSeconds);
    return client;
  }

  static std::string ErrorIn(const httplib::Result& result) {
    const auto body = nlohmann::json::parse(result->body, nullptr, false);
    return body.is_object() ? body.value("error", "") : "no JSON";
  }

  MonotonicClock clock_;
  EventQueue events_;
  Metrics metrics_;
  ProcessStatus status_{clock_};
  CommandGateway commands_{LoneEntrySettings().identity, events_};
  OperatorServer server_{Address{.host = "127.0.0.1", .port = 0}, commands_, metrics_, status_};
  int port_ = 0;
  Error error_;
  std::string body_ = "{}";
  std::optional<Command> last_;
  std::atomic<bool> stopping_ = false;
  std::thread replier_;
};

constexpr const char* kJson = "application/json";

std::string JobText() {
  return Encode(JobSpec{
      .job = JobId("pantry"),
      .team = TeamId("kitchen"),
      .kind = "order",
      .declared = Resources{.millicores = 100, .memory_mib = 64},
      .task_count = 2,
      .run_time = Millis(1'000),
  });
}

TEST_F(OperatorServerTest, TellsHealthAndReadiness) {
  auto client = Client();
  EXPECT_EQ(client.Get("/health")->status, 200);
  EXPECT_EQ(client.Get("/ready")->status, 503);

  status_.SetReady(true);
  EXPECT_EQ(client.Get("/ready")->status, 200);
}

TEST_F(OperatorServerTest, ServesMetrics) {
  auto client = Client();
  const auto result = client.Get("/metrics");

  ASSERT_EQ(result->status, 200);
  EXPECT_NE(result->body.find("currantpost_events_total"), std::string::npos);
}

TEST_F(OperatorServerTest, PassesCommandsOn) {
  auto client = Client();

  EXPECT_EQ(client.Post("/v1/presets/peak/switch?expected_revision=4", "", kJson)->status, 200);
  const auto switched = std::get<SwitchPreset>(*last_);
  EXPECT_EQ(switched.name, "peak");
  EXPECT_EQ(switched.expected_revision, 4);

  EXPECT_EQ(client.Get("/v1/tasks/pantry/7/explain")->status, 200);
  const auto explained = std::get<ExplainTask>(*last_);
  EXPECT_EQ(explained.task.job.Text(), "pantry");
  EXPECT_EQ(explained.task.index, 7);

  EXPECT_EQ(client.Post("/v1/jobs/pantry/cancel", "", kJson)->status, 200);
  EXPECT_EQ(std::get<CancelJob>(*last_).job.Text(), "pantry");
}

TEST_F(OperatorServerTest, RefusesBadJsonAndServesOn) {
  auto client = Client();
  const auto result = client.Post("/v1/jobs", "{\"job\":", kJson);

  EXPECT_EQ(result->status, 400);
  EXPECT_EQ(ErrorIn(result), "malformed");
  EXPECT_FALSE(last_.has_value());
  EXPECT_EQ(client.Get("/v1/presets")->status, 200);
}

TEST_F(OperatorServerTest, RefusesABodyThatIsTooLarge) {
  auto client = Client();
  const auto result = client.Post("/v1/jobs", std::string(1'048'577, ' '), kJson);

  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, 413);
  EXPECT_EQ(ErrorIn(result), "too_large");
  EXPECT_FALSE(last_.has_value());
}

TEST_F(OperatorServerTest, RefusesAnUnknownRoute) {
  auto client = Client();
  const auto result = client.Get("/v1/nothing");

  EXPECT_EQ(result->status, 404);
  EXPECT_EQ(ErrorIn(result), "not_found");
  EXPECT_EQ(client.Delete("/v1/presets/peak")->status, 404);
}

TEST_F(OperatorServerTest, RefusesLongPathsOfEveryLength) {
  auto client = Client();

  for (size_t length = 257; length < 20'000; length = length * 3 / 2) {
    const auto result = client.Get("/v1/jobs/" + std::string(length, 'j'));
    ASSERT_TRUE(result) << length;
    EXPECT_GE(result->status, 400) << length;
    EXPECT_EQ(ErrorIn(result), "too_large") << length;
  }

  EXPECT_FALSE(last_.has_value());
}

TEST_F(OperatorServerTest, RefusesABadRevision) {
  auto client = Client();
  const auto text = client.Post("/v1/presets/peak/switch?expected_revision=x", "", kJson);
  EXPECT_EQ(text->status, 400);
  EXPECT_EQ(ErrorIn(text), "invalid_argument");

  const auto negative = client.Post("/v1/presets/peak/switch?expected_revision=-1", "", kJson);
  EXPECT_EQ(negative->status, 400);
  EXPECT_EQ(ErrorIn(negative), "out_of_range");
}

TEST_F(OperatorServerTest, RefusesATaskIndexThatIsTooLarge) {
  auto client = Client();
  const auto result = client.Get("/v1/tasks/pantry/99999999999/explain");

  EXPECT_EQ(result->status, 400);
  EXPECT_EQ(ErrorIn(result), "out_of_range");
}

TEST_F(OperatorServerTest, TellsAConflictWithThePresentState) {
  error_ = MakeError(ErrorCode::kConflict, "revision");
  body_ = R"({"revision":9})";
  auto client = Client();
  const auto result = client.Post("/v1/presets/peak/switch?expected_revision=4", "", kJson);

  EXPECT_EQ(result->status, 409);
  const auto body = nlohmann::json::parse(result->body);
  EXPECT_EQ(body["error"], "conflict");
  EXPECT_EQ(body["detail"], "revision");
  EXPECT_EQ(body["present"]["revision"], 9);
}

struct StatusRow {
  ErrorCode code;
  int status;
};

TEST_F(OperatorServerTest, MapsEachFailureToItsStatus) {
  constexpr StatusRow kRows[] = {
      {ErrorCode::kNotFound, 404},       {ErrorCode::kAlreadyExists, 409},
      {ErrorCode::kNeverFits, 422},      {ErrorCode::kQuotaExceeded, 429},
      {ErrorCode::kUnavailable, 503},    {ErrorCode::kShuttingDown, 503},
      {ErrorCode::kOutcomeUnknown, 504}, {ErrorCode::kInternal, 500},
  };
  auto client = Client();

  for (const StatusRow& row : kRows) {
    error_ = MakeError(row.code);
    const auto result = client.Get("/v1/jobs/pantry");
    EXPECT_EQ(result->status, row.status);
    EXPECT_EQ(ErrorIn(result), ErrorName(error_.code));
  }
}

TEST_F(OperatorServerTest, TakesAJob) {
  auto client = Client();
  const auto result = client.Post("/v1/jobs", JobText(), kJson);

  ASSERT_EQ(result->status, 200) << result->body;
  EXPECT_EQ(std::get<SubmitJob>(*last_).spec.job.Text(), "pantry");
}

TEST_F(OperatorServerTest, TellsAPortThatIsTaken) {
  OperatorServer second(Address{.host = "127.0.0.1", .port = port_}, commands_, metrics_, status_);
  const Result<int> taken = second.Start();

  ASSERT_FALSE(taken.has_value());
  EXPECT_EQ(taken.error().code, ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace currantpost

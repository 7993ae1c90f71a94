#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>

#include "currantpost/entry/entry.h"
#include "currantpost/transport/http_client.h"

/// The metrics of an entry, as they are read over HTTP.

namespace currantpost {
namespace {

constexpr const char* kHost = "127.0.0.1";
constexpr const char* kPath = "/metrics";
constexpr Millis kTimeout = Millis(3'000);
constexpr Millis kSettlingTime = Millis(100);

/// A store that refuses the first calls and answers no others.
class RefusingStore final : public StorePort {
 public:
  static constexpr int32_t kRefusedCalls = 2;

  explicit RefusingStore(EventLoop& loop) : loop_(loop) {}

  void Call(const scheduler::StoreCall&,
            std::function<void(scheduler::StoreReply)> callback) override {
    if (calls_++ >= kRefusedCalls) return;

    loop_.After(Millis(5), [callback = std::move(callback)] {
      callback(scheduler::StoreReply{.status = scheduler::StoreStatus::kUnavailable});
    });
  }

 private:
  EventLoop& loop_;
  int32_t calls_ = 0;
};

class NoWorkers final : public WorkerPort {
 public:
  void Call(const scheduler::WorkerCall&, std::function<void(scheduler::WorkerReply)>) override {}
};

class NoCallers final : public CallerProtocol {
 public:
  [[nodiscard]] Result<CallerRequest> Decode(const ReceivedRequest&,
                                             const scheduler::QueueTable&) const override {
    return Fail(ErrorCode::kNotFound, "");
  }
  [[nodiscard]] HttpResponse Encode(const scheduler::AnswerCaller&) const override {
    return HttpResponse{.status = 503};
  }
  [[nodiscard]] HttpResponse Encode(const Error&) const override {
    return HttpResponse{.status = 404};
  }
};

/// Returns the value of one metric with its labels, nothing if the text does not have it.
std::optional<double> ValueOf(const std::string& text, const std::string& metric) {
  const size_t line = ("\n" + text).find("\n" + metric + " ");
  if (line == std::string::npos) return std::nullopt;

  return std::stod(text.substr(line + metric.size()));
}

/// Returns the number of completed calls to the store with a status.
double StoreCalls(const std::string& text, const std::string& status) {
  double calls = 0;

  for (const char* call : {"watch", "list", "lease", "other"}) {
    const std::string labels = R"({call=")" + std::string(call) + R"(",status=")" + status + "\"}";
    const auto number = ValueOf(text, "currantpost_store_call_seconds_count" + labels);
    EXPECT_TRUE(number) << labels;
    calls += number.value_or(0);
  }

  return calls;
}

class Metrics : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_FALSE(entry_.Start().code);
    Settle();
  }

  void Settle() {
    loop_.After(kSettlingTime, [this] { loop_.Stop(); });
    loop_.Run();
  }

  HttpReply Send(HttpRequest request) {
    HttpReply received;
    client_.Send(Address{kHost, entry_.metrics_port()}, request, kTimeout, [&](HttpReply reply) {
      received = std::move(reply);
      loop_.Stop();
    });
    loop_.Run();
    return received;
  }

  std::string Read() {
    const HttpReply reply = Send(HttpRequest{.target = kPath});
    EXPECT_EQ(reply.outcome, CallOutcome::kAnswered);
    EXPECT_EQ(reply.response.status, 200);
    return reply.response.body;
  }

  /// Sends bytes over a connection that is closed afterwards.
  void SendRaw(const std::string& bytes) {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(entry_.metrics_port()));
    inet_pton(AF_INET, kHost, &address.sin_addr);
    ASSERT_EQ(connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    Settle();
    close(connection);
    Settle();
  }

  static EntryAddresses Addresses() {
    const Address any{kHost, 0};
    return EntryAddresses{.callers = any,
                          .readiness = any,
                          .readiness_path = "/readiness",
                          .peers = any,
                          .metrics = any,
                          .metrics_path = kPath};
  }

  EventLoop loop_;
  MonotonicClock clock_;
  RefusingStore store_{loop_};
  NoWorkers workers_;
  NoCallers callers_;
  Entry entry_{loop_, clock_, Addresses(), scheduler::Settings{}, store_, workers_, callers_};
  HttpClient client_{loop_, clock_, HttpClientLimits{}};
};

TEST_F(Metrics, CountTurnsAndStoreCalls) {
  const std::string text = Read();

  EXPECT_EQ(StoreCalls(text, "unavailable"), RefusingStore::kRefusedCalls);
  EXPECT_EQ(StoreCalls(text, "ok"), 0);
  const auto answers = ValueOf(text, R"(currantpost_turn_seconds_count{kind="store_answer"})");
  EXPECT_EQ(answers, RefusingStore::kRefusedCalls);

  for (const char* histogram : {"currantpost_turn_seconds", "currantpost_event_lateness_seconds"}) {
    const auto ticks = ValueOf(text, std::string(histogram) + R"(_count{kind="tick"})");
    ASSERT_TRUE(ticks) << histogram;
    EXPECT_GE(*ticks, 1) << histogram;
    EXPECT_EQ(ValueOf(text, std::string(histogram) + R"(_bucket{kind="tick",le="+Inf"})"), ticks);
    EXPECT_EQ(ValueOf(text, std::string(histogram) + R"(_count{kind="peer_query"})"), 0);
  }
}

TEST_F(Metrics, HaveAllNames) {
  const std::string text = Read();

  for (const char* name :
       {"currantpost_worker_lease_rest_seconds_count",
        R"(currantpost_search_visits_total{what="job"})",
        R"(currantpost_capacity_requests_total{outcome="worker_kept"})",
        R"(currantpost_holds_total{event="passed_on"})",
        R"(currantpost_hold_seconds_count{event="used"})",
        R"(currantpost_task_wait_seconds_count{kind="short"})",
        "currantpost_wait_lines_omitted_total",
        R"(currantpost_jobs_refused_total{reason="the store does not answer"})",
        R"(currantpost_requests_rejected_total{reason="malformed"})",
        R"(currantpost_answers_total{outcome="accepted"})",
        R"(currantpost_runs_lost_total{reason="the worker's lease has expired"})",
        "currantpost_lost_runs_completed_total",
        "currantpost_lapsed_replies_total",
        "currantpost_log_lines_dropped_total",
        "currantpost_owned_cells",
        "currantpost_workers",
        "currantpost_jobs",
        "currantpost_waiting_tasks",
        "currantpost_held_workers",
        "currantpost_known_cells",
        "currantpost_reported_free_cores",
        "currantpost_reported_waiting_cores"}) {
    EXPECT_EQ(ValueOf(text, name), 0) << name;
  }
  EXPECT_TRUE(ValueOf(text, "currantpost_processor_cores"));
}

// Guards against readings that add what was read before.
TEST_F(Metrics, EachReadingContinuesTheOneBefore) {
  for (int32_t reading = 0; reading < 3; ++reading) {
    EXPECT_EQ(StoreCalls(Read(), "unavailable"), RefusingStore::kRefusedCalls);
  }
}

TEST_F(Metrics, OtherPathsAndMethodsAreRejected) {
  EXPECT_EQ(Send(HttpRequest{.target = "/"}).response.status, 404);
  EXPECT_EQ(Send(HttpRequest{.target = "/metrics/more"}).response.status, 404);
  EXPECT_EQ(Send(HttpRequest{.method = "DELETE", .target = kPath}).response.status, 405);
}

TEST_F(Metrics, TheServerTakesNothingFromPeers) {
  EXPECT_EQ(Send(HttpRequest{.method = "POST", .target = "/records", .body = "[]"}).response.status,
            404);
  EXPECT_EQ(Send(HttpRequest{.target = "/job/a"}).response.status, 404);

  const std::string text = Read();
  EXPECT_EQ(ValueOf(text, R"(currantpost_turn_seconds_count{kind="pushed_records"})"), 0);
  EXPECT_EQ(ValueOf(text, R"(currantpost_turn_seconds_count{kind="peer_query"})"), 0);
}

TEST_F(Metrics, MalformedRequestsAreSurvived) {
  for (const std::string& bytes :
       {std::string("\0\xff\r\n\r\n", 6), std::string("GET /metrics\r\n\r\n"),
        std::string("GET /metrics HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
        std::string("POST /metrics HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
        "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n", std::string("GET /metr")}) {
    SendRaw(bytes);
  }

  EXPECT_TRUE(ValueOf(Read(), R"(currantpost_turn_seconds_count{kind="tick"})"));
}

TEST(MetricsAddress, AnEntryRunsWithoutIt) {
  EventLoop loop;
  const MonotonicClock clock;
  RefusingStore store(loop);
  NoWorkers workers;
  const NoCallers callers;
  const Address any{kHost, 0};
  EntryAddresses addresses{.callers = any, .readiness = any, .peers = any};
  Entry without(loop, clock, addresses, scheduler::Settings{}, store, workers, callers);
  EXPECT_FALSE(without.Start().code);
  EXPECT_EQ(without.metrics_port(), 0);

  addresses.metrics = Address{"192.0.2.1", 1};
  Entry not_bindable(loop, clock, addresses, scheduler::Settings{}, store, workers, callers);
  EXPECT_FALSE(not_bindable.Start().code);
  EXPECT_EQ(not_bindable.metrics_port(), 0);
}

}  // namespace
}  // namespace currantpost

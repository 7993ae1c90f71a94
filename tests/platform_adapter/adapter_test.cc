#include <absl/strings/escaping.h>
#include <gtest/gtest.h>

#include "platform/caller_protocol.h"
#include "platform/documents.h"
#include "platform/node_settings.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

/// Encoding of requests to the platform and decoding of its documents and responses.

namespace currantpost::platform {
namespace {

using scheduler::OrderStatus;
using scheduler::StoreStatus;

HttpReply Answered(int status, std::string body) {
  return HttpReply{.outcome = CallOutcome::kAnswered,
                   .response = HttpResponse{.status = status, .body = std::move(body)}};
}

std::string Item(const std::string& key, const std::string& value, int revision) {
  return R"({"key":")" + key + R"(","value":")" + absl::Base64Escape(value) + R"(","revision":)" +
         std::to_string(revision) + R"(,"create_revision":1,"lease":7})";
}

// Settings.

constexpr const char* kSettings =
    "node_name=front-a-1\nzone=a\nip=10.1.0.13\nlisten.front=10.1.0.13:8161\n"
    "listen.ready=10.1.0.13:8167\nplatform.address=10.200.1.7:8169\nport_range=7720,7735\n"
    "bounds.hold_max_ms=9000\nbounds.status_s=1.5\nbounds.visible_ms=2500\nsome.new.field=x\n";

TEST(NodeSettings, ParsesKnownKeysAndIgnoresUnknownOnes) {
  const auto settings = ParseNodeSettings(kSettings);

  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->scheduler.entry.Text(), "front-a-1");
  EXPECT_EQ(settings->addresses.callers, (Address{"10.1.0.13", 8161}));
  EXPECT_EQ(settings->scheduler.peer_address, (Address{"10.1.0.13", 7720}));
  EXPECT_EQ(settings->addresses.metrics, (Address{"10.1.0.13", 7721}));
  EXPECT_EQ(settings->scheduler.max_worker_lease, Millis(9'000));
  EXPECT_EQ(settings->scheduler.ended_job_retention, Millis(1'500));
  EXPECT_EQ(settings->scheduler.visibility_limit, Millis(2'500));
}

TEST(NodeSettings, MetricsNeedASecondPort) {
  const auto with_ports = [](const std::string& ports) {
    return ParseNodeSettings(std::string(kSettings) + "port_range=" + ports + "\n");
  };

  EXPECT_FALSE(with_ports("7720,7720")->addresses.metrics);
  EXPECT_FALSE(with_ports("7720")->addresses.metrics);
  EXPECT_EQ(with_ports("7720,7721")->addresses.metrics->port, 7721);
  EXPECT_EQ(with_ports("7720,7719").error().code, ErrorCode::kMalformed);
  EXPECT_EQ(with_ports("7720,x").error().code, ErrorCode::kMalformed);
}

TEST(NodeSettings, ErrorNamesAMissingKey) {
  const auto settings = ParseNodeSettings("node_name=a\n");

  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().code, ErrorCode::kMissingKey);
  EXPECT_EQ(settings.error().detail, "zone");
}

TEST(NodeSettings, ErrorReportsAMalformedLineOrValue) {
  EXPECT_EQ(ParseNodeSettings("node_name=a\nnonsense\n").error().detail, "settings line 2");
  const auto settings = ParseNodeSettings(std::string(kSettings) + "bounds.stop_ms=-1\n");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().code, ErrorCode::kMalformed);
}

// Documents.

constexpr const char* kWorker =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"a","version":"v1","slots":8,)"
    R"("state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000})";

TEST(Documents, DecodesAWorkersRegistryEntry) {
  const auto entry = DecodeAnnouncement("i-1", kWorker);

  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->worker.rack.Text(), "r1-3");
  EXPECT_EQ(entry->worker.capacity.millicores, 16'000);
  EXPECT_EQ(entry->worker.incarnation, 1'700'000'000'000);
  EXPECT_FALSE(entry->worker.draining);
  EXPECT_FALSE(entry->ignored_field.code);
}

TEST(Documents, DecodesHowLongADrainingWorkerGoesOn) {
  std::string text = kWorker;
  text.replace(text.find("ready"), std::string("ready").size(), "draining");
  ASSERT_TRUE(DecodeAnnouncement("i-1", text));
  EXPECT_TRUE(DecodeAnnouncement("i-1", text)->worker.draining);
  EXPECT_EQ(DecodeAnnouncement("i-1", text)->worker.drain_remaining, std::nullopt);

  text.replace(text.find("\"seq\""), 0, "\"drain_remaining_ms\":2900,");
  const auto entry = DecodeAnnouncement("i-1", text);
  ASSERT_TRUE(entry);
  EXPECT_TRUE(entry->worker.draining);
  EXPECT_EQ(entry->worker.drain_remaining, Millis(2'900));
  EXPECT_FALSE(entry->ignored_field.code);
}

TEST(Documents, RejectsMalformedRegistryEntries) {
  for (const char* text :
       {"", "[]", "{", "null", "\xff\xfe", R"({"service":"s"})",
        R"({"service":1,"address":"a:1","zone":"a","state":"ready","labels":["a","r"],)"
        R"("capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":"s","address":"a:1","zone":"a","state":"odd","labels":["a","r"],)"
        R"("capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":"s","address":"nowhere","zone":"a","state":"ready","labels":["a","r"],)"
        R"("capacity":{"cpu":1,"mem_mb":1}})",
        R"({"service":"s","address":"a:1","zone":"a","state":"ready","labels":["a"],)"
        R"("capacity":{"cpu":1,"mem_mb":1}})"}) {
    EXPECT_FALSE(DecodeAnnouncement("i-1", text)) << text;
  }
}

TEST(Documents, DecodesAJob) {
  const auto spec = DecodeJobSpec(
      JobId("5c0e7a21d94b36f8"),
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,)"
      R"("affinity":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"after":[0],"fills":true,)"
      R"("checkpointing":true,"max_per_server":2,"image":"i"}]})");

  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->payload, "text");
  EXPECT_EQ(spec->steps[0].preferred_rack, "r1-3");
  EXPECT_EQ(spec->steps[1].after, std::vector<int32_t>{0});
  EXPECT_TRUE(spec->steps[1].best_effort);
  EXPECT_EQ(spec->steps[1].max_per_worker, 2);
}

TEST(Documents, RejectsInvalidJobs) {
  for (const char* text :
       {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1,"cpu":-5}]})",
        R"({"steps":[{"count":1,"after":[0]}]})", R"({"steps":[{"count":"many"}]})",
        R"({"steps":[{"count":1000000}]})", R"({"spec":7,"steps":[{"count":1}]})"}) {
    const auto spec = DecodeJobSpec(JobId("a"), text);
    ASSERT_FALSE(spec) << text;
    EXPECT_EQ(spec.error().code, ErrorCode::kInvalidArgument);
  }
}

// Guards against an entry that runs out of memory: a scheduled job with one occurrence a minute for
// a year was accepted.
TEST(Documents, RejectsJobsWithMoreTasksThanARecordHolds) {
  for (const char* text : {R"({"repeat_count":525600,"steps":[{"count":4}]})",
                           R"({"steps":[{"count":10000},{"count":10000},{"count":10000}]})",
                           R"({"repeat_count":2000000000,"steps":[{"count":10000}]})"}) {
    const auto spec = DecodeJobSpec(JobId("a"), text);
    ASSERT_FALSE(spec) << text;
    EXPECT_EQ(spec.error().code, ErrorCode::kInvalidArgument);
  }

  EXPECT_TRUE(DecodeJobSpec(JobId("a"), R"({"steps":[{"count":10000},{"count":10000}]})"));
  EXPECT_TRUE(DecodeJobSpec(JobId("a"), R"({"repeat_count":1440,"steps":[{"count":4}]})"));
}

TEST(Documents, TaskNamesRoundTripAndMalformedOnesAreRejected) {
  const scheduler::TaskName name{JobId("5c0e7a21d94b36f8"), 3, 1, 17};

  EXPECT_EQ(EncodeTaskName(name), "5c0e7a21d94b36f8.3.1.17");
  EXPECT_EQ(DecodeTaskName(EncodeTaskName(name)), name);
  for (const char* text : {"", "a.b", "a.1.2.x", ".0.0.0", "a.0.0.0.0"}) {
    EXPECT_FALSE(DecodeTaskName(text)) << text;
  }
}

// Store.

TEST(Store, EncodesATransaction) {
  scheduler::WriteRecords write;
  write.expected.push_back({"a", 3});
  write.puts.push_back({"b", "value", 9});
  write.removals.push_back("c");
  const HttpRequest request = EncodeStoreCall(write);

  EXPECT_EQ(request.target, "/kv-txn");
  EXPECT_EQ(request.body, R"({"expected_rev":[{"key":"currantpost/a","revision":3}],)"
                          R"("puts":[{"key":"currantpost/b","lease":9,"value":"dmFsdWU="}],)"
                          R"("remove":["currantpost/c"]})");
}

TEST(Store, EncodesTheConfigurationThatATransactionDependsOn) {
  scheduler::WriteRecords write;
  write.expected_configuration = 7;

  EXPECT_EQ(EncodeStoreCall(write).body,
            R"({"expected_rev":[{"key":"op/config","revision":7}],"puts":[],"remove":[]})");
}

TEST(Store, ReadsAWorkersEntryInTheRegistry) {
  const scheduler::StoreBody read = scheduler::ReadWorker{VmId("i-1")};
  EXPECT_EQ(EncodeStoreCall(read).target, "/kv-key?key=servers/i-1");

  const scheduler::StoreReply reply =
      DecodeStoreReply(read, Answered(200, Item("servers/i-1", kWorker, 5)));
  ASSERT_EQ(reply.items.size(), 1U);
  EXPECT_EQ(reply.items[0].key, "i-1");
  EXPECT_TRUE(reply.items[0].worker);
}

TEST(Store, EscapesKeysInQueries) {
  EXPECT_EQ(EncodeStoreCall(scheduler::ReadRecord{"jobs/a b"}).target,
            "/kv-key?key=currantpost/jobs/a%20b");
}

TEST(Store, DistinguishesCallsNotCarriedOutFromUnknownOutcomes) {
  const scheduler::StoreBody body = scheduler::WriteRecords{};
  EXPECT_EQ(DecodeStoreReply(body, HttpReply{.outcome = CallOutcome::kNotSent}).status,
            StoreStatus::kUnavailable);
  EXPECT_EQ(DecodeStoreReply(body, HttpReply{.outcome = CallOutcome::kUnknown}).status,
            StoreStatus::kUnknown);
  EXPECT_EQ(DecodeStoreReply(body, Answered(503, "")).status, StoreStatus::kUnavailable);
  EXPECT_EQ(DecodeStoreReply(body, Answered(429, "")).status, StoreStatus::kUnavailable);
  EXPECT_EQ(DecodeStoreReply(body, Answered(500, "")).status, StoreStatus::kUnknown);
  EXPECT_EQ(DecodeStoreReply(body, Answered(200, "not json")).status, StoreStatus::kUnknown);
  EXPECT_EQ(DecodeStoreReply(body, Answered(404, "")).status, StoreStatus::kNotFound);
}

TEST(Store, DecodesAConflict) {
  const auto reply = DecodeStoreReply(
      scheduler::WriteRecords{}, Answered(412, R"({"items":[)" + Item("currantpost/a", "x", 5) +
                                                   R"(,{"key":"currantpost/b","revision":0}]})"));

  ASSERT_EQ(reply.status, StoreStatus::kConflict);
  ASSERT_EQ(reply.items.size(), 2U);
  EXPECT_EQ(reply.items[0].key, "a");
  EXPECT_EQ(reply.items[0].value, "x");
  EXPECT_TRUE(reply.items[1].removed);
}

TEST(Store, AConflictWithAnUnreadableConfigurationTellsItsRevision) {
  const auto reply = DecodeStoreReply(
      scheduler::WriteRecords{}, Answered(412, R"({"items":[)" + Item("op/config", "x", 9) + "]}"));

  ASSERT_EQ(reply.items.size(), 1U);
  EXPECT_EQ(reply.items[0].revision, 9);
  EXPECT_FALSE(reply.items[0].routing);
}

TEST(Store, DecodesAWatchOfTheRegistry) {
  const scheduler::WatchFeed watch{scheduler::Feed::kWorkers, 4, Millis(10)};
  const auto reply = DecodeStoreReply(
      watch, Answered(200, R"({"events":[)" + Item("servers/i-1", kWorker, 5) + "," +
                               Item("servers/i-2", "garbage", 6) +
                               R"(,{"key":"servers/i-3","revision":7,"tombstone":true}],)" +
                               R"("store_revision":9})"));

  ASSERT_EQ(reply.items.size(), 3U);
  EXPECT_TRUE(reply.items[0].worker);
  EXPECT_FALSE(reply.items[1].worker);
  EXPECT_TRUE(reply.items[2].removed);
  EXPECT_EQ(reply.revision, 9);
  EXPECT_EQ(DecodeStoreReply(watch, Answered(410, "")).status, StoreStatus::kHistoryGone);
}

// Workers.

TEST(Workers, EncodesAStartOrder) {
  scheduler::WorkerCall call;
  call.worker = VmId("i-1");
  call.token = 7;
  call.order = scheduler::StartTask{.task = {JobId("5c0e7a21d94b36f8"), 0, 1, 17},
                                    .run = 2,
                                    .payload = "text",
                                    .checkpoint = "c",
                                    .lease_until_ms = 486'000};
  const HttpRequest request = EncodeWorkerCall(call);

  EXPECT_EQ(request.target, "/run-start");
  EXPECT_EQ(request.body, R"({"checkpoint":"c","fencing_token":7,"run":2,"spec":"text",)"
                          R"("task":"5c0e7a21d94b36f8.0.1.17","until_ms":486000})");
  EXPECT_EQ(request.fields[1], (std::pair<std::string, std::string>("Expect-Instance", "i-1")));
}

// Guards against probes that renew a lease, let ended runs be discarded or start a task at a worker
// that has restarted.
TEST(Workers, ProbeOfTheIncarnationChangesNothing) {
  scheduler::WorkerCall call;
  call.worker = VmId("i-1");
  call.incarnation = 5;
  call.token = 7;
  const std::vector<scheduler::WorkerOrder> orders = {
      scheduler::StartTask{.lease_until_ms = 486'000},
      scheduler::PollWorker{.lease_until_ms = 486'000, .forget_up_to = 4, .wait = Millis(900)}};

  for (const scheduler::WorkerOrder& order : orders) {
    call.order = order;
    const HttpRequest probe = EncodeIncarnationProbe(call);
    EXPECT_EQ(probe.target, "/hold");
    EXPECT_EQ(probe.body, R"({"fencing_token":7,"last_seen":0})");
    EXPECT_EQ(probe.fields[1], (std::pair<std::string, std::string>("Expect-Instance", "i-1")));
  }
}

TEST(Workers, OrderThatMetAnotherIncarnationWasNotCarriedOut) {
  const auto decode = [](int status, const std::string& body) {
    HttpReply reply = Answered(status, body);
    reply.outcome = CallOutcome::kOtherPeer;
    return DecodeWorkerReply(reply);
  };
  const auto reply = decode(
      200, R"({"clock_ms":3,"born":6,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",0]],"ended":[]})");

  EXPECT_EQ(reply.status, OrderStatus::kOtherIncarnation);
  EXPECT_EQ(reply.incarnation, 6);
  EXPECT_EQ(reply.running.size(), 1U);
  EXPECT_EQ(decode(409, R"({"reason":"fence"})").status, OrderStatus::kFenced);
  EXPECT_EQ(decode(500, "").status, OrderStatus::kUnreachable);
  // Another worker that has taken over the address names its own incarnation.
  EXPECT_EQ(decode(421, R"({"born":9})").status, OrderStatus::kOtherIncarnation);
  EXPECT_EQ(decode(421, R"({"born":9})").incarnation, 0);
  EXPECT_EQ(DecodeWorkerReply(Answered(421, R"({"born":9})")).incarnation, 0);
  EXPECT_EQ(DecodeIncarnation(HttpResponse{.status = 421, .body = R"({"born":9})"}), 0);
  EXPECT_EQ(decode(200, R"({"born":6,"running":[[1]]})").status, OrderStatus::kUnreachable);
}

TEST(Workers, DecodesTheIncarnationOfAnyResponse) {
  const auto decode = [](const std::string& body) {
    return DecodeIncarnation(HttpResponse{.body = body});
  };
  EXPECT_EQ(decode(R"({"clock_ms":3,"born":1773952107877,"running":[],"ended":[]})"),
            1'773'952'107'877);
  for (const char* body : {R"({"clock_ms":3})", R"({"born":"6"})", R"({"born":null})",
                           R"({"born":1.5})", "[6]", "6", "not JSON", ""}) {
    EXPECT_EQ(decode(body), 0) << body;
  }
}

TEST(Workers, DecodesRunningAndEndedTasks) {
  const auto reply = DecodeWorkerReply(Answered(
      200, R"({"clock_ms":482113,"born":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"c",41,37]],)"
           R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})"));

  EXPECT_EQ(reply.status, OrderStatus::kOk);
  EXPECT_EQ(reply.clock_ms, 482'113);
  EXPECT_EQ(reply.incarnation, 5);
  ASSERT_EQ(reply.running.size(), 1U);
  EXPECT_EQ(reply.running[0].last_measurement, 37);
  ASSERT_EQ(reply.ended.size(), 1U);
  EXPECT_EQ(reply.ended[0].end, scheduler::RunEnd::kDone);
}

TEST(Workers, MapsEachRejectionToItsStatus) {
  const std::pair<const char*, OrderStatus> reasons[] = {{"fence", OrderStatus::kFenced},
                                                         {"old", OrderStatus::kStaleRun},
                                                         {"late", OrderStatus::kLeaseExpired},
                                                         {"room", OrderStatus::kNoRoom},
                                                         {"ticket", OrderStatus::kNoTicket}};
  for (const auto& [reason, status] : reasons) {
    const auto reply = DecodeWorkerReply(
        Answered(409, std::string(R"({"clock_ms":1,"reason":")") + reason + R"("})"));
    EXPECT_EQ(reply.status, status) << reason;
  }

  EXPECT_EQ(DecodeWorkerReply(Answered(421, "")).status, OrderStatus::kOtherIncarnation);
  EXPECT_EQ(DecodeWorkerReply(Answered(503, "")).status, OrderStatus::kUnhealthy);
  EXPECT_EQ(DecodeWorkerReply(Answered(500, "")).status, OrderStatus::kUnknown);
  EXPECT_EQ(DecodeWorkerReply(HttpReply{.outcome = CallOutcome::kNotSent}).status,
            OrderStatus::kUnreachable);
  EXPECT_EQ(DecodeWorkerReply(Answered(200, R"({"running":[[1]]})")).status, OrderStatus::kUnknown);
}

// Guards against a process that one malformed rejection ends.
TEST(Workers, RejectionsWithoutAReadableReasonAreInvalid) {
  for (const char* body : {R"({"reason":7})", R"({"reason":null})", R"({"reason":["old"]})", "{}",
                           "[]", "7", "not JSON", ""}) {
    EXPECT_EQ(DecodeWorkerReply(Answered(409, body)).status, OrderStatus::kInvalid) << body;
  }
}

// Callers.

class Callers : public testing::Test {
 protected:
  Callers() {
    const auto routing = DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"short","host":"h.example","prefix":"/a/",)"
        R"("service":"s"},{"name":"long","host":"h.example","prefix":"/a/b/","service":"s",)"
        R"("max_attempts":4}],"services":[{"name":"s","rejects_overload":true}],)"
        R"("limits":{"max_body_bytes":99}})");
    EXPECT_TRUE(routing);
    EXPECT_EQ(routing->limits.body_bytes, 99);
    queues_ = scheduler::QueueTable(*routing);
  }

  Result<CallerRequest> Decode(const std::string& method, const std::string& target,
                               const std::string& body = {}) const {
    ReceivedRequest request;
    request.method = method;
    request.target = target;
    request.host = "H.example:80";
    request.fields = {{"deadline-remaining", "1500"}};
    request.body = body;
    return protocol_.Decode(request, queues_);
  }

  JobProtocol protocol_;
  scheduler::QueueTable queues_;
};

TEST_F(Callers, LongestMatchingPrefixSelectsTheQueue) {
  const auto request = Decode("POST", "/a/b/5c0e7a21d94b36f8", R"({"steps":[{"count":1}]})");

  ASSERT_TRUE(request);
  EXPECT_EQ(std::get<scheduler::JobSubmitted>(request->body).queue, "long");
  EXPECT_EQ(request->timeout, Millis(1'500));
}

TEST_F(Callers, DecodesEachKindOfRequest) {
  EXPECT_TRUE(std::holds_alternative<scheduler::JobStatusRequested>(
      Decode("GET", "/a/5c0e7a21d94b36f8")->body));
  EXPECT_TRUE(std::holds_alternative<scheduler::JobCancelled>(
      Decode("DELETE", "/a/5c0e7a21d94b36f8")->body));
  EXPECT_TRUE(std::holds_alternative<scheduler::PendingCountRequested>(Decode("GET", "/a/")->body));
}

TEST_F(Callers, UnknownQueueGives404AndMalformedRequestGives400) {
  EXPECT_EQ(Decode("GET", "/none/").error().code, ErrorCode::kNotFound);
  EXPECT_EQ(Decode("GET", "/a/xyz").error().code, ErrorCode::kInvalidArgument);
  EXPECT_EQ(Decode("PUT", "/a/5c0e7a21d94b36f8").error().code, ErrorCode::kInvalidArgument);
  EXPECT_EQ(protocol_.Encode(Decode("GET", "/none/").error()).status, 404);
  EXPECT_EQ(protocol_.Encode(Decode("GET", "/a/xyz").error()).status, 400);
}

TEST_F(Callers, MapsOutcomesToHttpStatusesAndRetryAfter) {
  using scheduler::CallerOutcome;
  const auto status = [&](CallerOutcome outcome) {
    return protocol_.Encode(scheduler::AnswerCaller{.outcome = outcome}).status;
  };

  EXPECT_EQ(status(CallerOutcome::kAccepted), 200);
  EXPECT_EQ(status(CallerOutcome::kRefused), 503);
  EXPECT_EQ(status(CallerOutcome::kUnknown), 504);
  EXPECT_EQ(status(CallerOutcome::kNoSuchJob), 410);
  EXPECT_EQ(status(CallerOutcome::kNoSuchQueue), 404);
  const HttpResponse refusal = protocol_.Encode(
      scheduler::AnswerCaller{.outcome = CallerOutcome::kRefused, .retry_after = Millis(1'200)});
  EXPECT_EQ(refusal.fields.back(), (std::pair<std::string, std::string>("Retry-After", "2")));
}

}  // namespace
}  // namespace currantpost::platform

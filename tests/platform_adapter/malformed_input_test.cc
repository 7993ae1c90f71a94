#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "platform/documents.h"
#include "platform/worker_client.h"

/// Documents and replies with values that are out of range.

namespace currantpost::platform {
namespace {

using scheduler::OrderStatus;

/// Numbers beyond 32 and 64 bits, and fractions beyond these.
const std::vector<std::string> kHuge = {"4294967297",
                                        "-4294967295",
                                        "9223372036854775807",
                                        "-9223372036854775808",
                                        "18446744073709551615",
                                        "1e300",
                                        "-1e300"};

std::string RegistryEntry(const std::string& address, const std::string& cpu,
                          const std::string& born) {
  return R"({"service":"s","address":")" + address + R"(","zone":"a","state":"ready",)" +
         R"("labels":["k","r"],"capacity":{"cpu":)" + cpu + R"(,"mem_mb":1},"born":)" + born + "}";
}

// Guards against a process that ends: a host name of over 64 KB was to be sent as a header.
TEST(MalformedInput, RegistryEntriesWithAnAddressThatCannotBeOneAreRejected) {
  ASSERT_TRUE(DecodeAnnouncement("i-1", RegistryEntry("10.0.0.1:8080", "1", "5")));

  for (const std::string& address :
       {std::string(70'000, 'a') + ":8080", std::string(":8080"), std::string("10.0.0.1:0"),
        std::string("10.0.0.1:-1"), std::string("10.0.0.1:65536"), std::string("10.0.0.1:73616")}) {
    const auto worker = DecodeAnnouncement("i-1", RegistryEntry(address, "1", "5"));
    ASSERT_FALSE(worker) << address.substr(0, 20);
    EXPECT_EQ(worker.error().code, ErrorCode::kMalformed);
  }
}

// Guards against sums of capacities that overflow, and against a later incarnation out of nothing.
TEST(MalformedInput, RegistryEntriesWithNumbersOutOfRangeAreRejected) {
  for (const std::string number : {"9223372036854775807", "18446744073709551615", "-1", "1e300"}) {
    const auto capacity = DecodeAnnouncement("i-1", RegistryEntry("a:1", number, "5"));
    ASSERT_FALSE(capacity) << number;
    EXPECT_EQ(capacity.error().code, ErrorCode::kMalformed);
    const auto born = DecodeAnnouncement("i-1", RegistryEntry("a:1", "1", number));
    ASSERT_FALSE(born) << number;
    EXPECT_EQ(born.error().code, ErrorCode::kMalformed);
  }
}

// A draining worker whose entry could not be read was missing from the registry.
TEST(MalformedInput, RegistryEntriesWithAnUnreadableDrainTimeNameADrainingWorker) {
  for (const std::string state : {"draining", "ready"}) {
    for (const std::string value : {"\"-\"", "-1", "1e300", "null", "[2900]"}) {
      std::string text = RegistryEntry("10.0.0.1:8080", "1", "5");
      text.replace(text.find("ready"), std::string("ready").size(), state);
      text.insert(1, R"("drain_remaining_ms":)" + value + ",");
      const auto entry = DecodeAnnouncement("i-1", text);

      ASSERT_TRUE(entry) << text;
      EXPECT_EQ(entry->ignored_field.code, ErrorCode::kMalformed) << text;
      EXPECT_EQ(entry->ignored_field.detail, "drain_remaining_ms") << text;
      EXPECT_TRUE(entry->worker.draining) << text;
      EXPECT_EQ(entry->worker.drain_remaining, std::nullopt) << text;
      EXPECT_EQ(entry->worker.incarnation, 5) << text;
      EXPECT_EQ(entry->worker.address, (Address{"10.0.0.1", 8080})) << text;
      EXPECT_EQ(entry->worker.capacity.millicores, 1) << text;
    }
  }
}

// Guards against a job that runs other tasks than its caller sent: a count of 2^32 + 1 was 1.
TEST(MalformedInput, JobsWithNumbersOutOfRangeAreRefused) {
  for (const std::string name : {"count", "cpu", "mem_mb", "gpu", "estimate_ms", "max_per_server",
                                 "target_ms", "may_miss"}) {
    for (const std::string& number : kHuge) {
      if ((name == "cpu" || name == "mem_mb" || name == "gpu") && number == "4294967297") continue;
      if ((name == "estimate_ms" || name == "target_ms") && number == "4294967297") continue;

      const auto spec =
          DecodeJobSpec(JobId("a"), R"({"steps":[{")" + name + R"(":)" + number + "}]}");
      ASSERT_FALSE(spec) << name << " " << number;
      EXPECT_EQ(spec.error().code, ErrorCode::kInvalidArgument);
    }
  }

  for (const std::string& number : kHuge) {
    const std::string steps = R"("steps":[{},{"after":[)" + number + "]}]";
    EXPECT_FALSE(DecodeJobSpec(JobId("a"), "{" + steps + "}")) << number;
  }

  for (const std::string name : {"repeat_count", "first_run_ms", "interval_ms"}) {
    for (const std::string& number : kHuge) {
      if (name != "repeat_count" && number.size() == 10) continue;
      if (name == "first_run_ms" && number == "-4294967295") continue;

      const auto spec =
          DecodeJobSpec(JobId("a"), R"({")" + name + R"(":)" + number + R"(,"steps":[{}]})");
      ASSERT_FALSE(spec) << name << " " << number;
      EXPECT_EQ(spec.error().code, ErrorCode::kInvalidArgument);
    }
  }
}

TEST(MalformedInput, AConfigurationWithNumbersOutOfRangeIsRejected) {
  const auto configuration = [](const std::string& queue, const std::string& limits) {
    return DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/","service":"s")" + queue +
        R"(}],"services":[],"limits":{)" + limits + "}}");
  };
  ASSERT_TRUE(configuration("", ""));

  for (const std::string& number : kHuge) {
    const bool is_positive = number == "4294967297";
    EXPECT_FALSE(configuration(R"(,"priority":)" + number, "")) << number;
    EXPECT_FALSE(configuration(R"(,"max_attempts":)" + number, "")) << number;
    EXPECT_EQ(configuration("", R"("max_body_bytes":)" + number).has_value(), is_positive);
    EXPECT_EQ(configuration("", R"("idle_timeout_ms":)" + number).has_value(), is_positive);
    EXPECT_EQ(configuration(R"(,"target_duration_ms":)" + number, "").has_value(), is_positive);
  }
}

scheduler::WorkerReply Reply(const std::string& body) {
  return DecodeWorkerReply(
      HttpReply{.outcome = CallOutcome::kAnswered,
                .response = HttpResponse{.status = 200, .body = "{" + body + "}"}});
}

// Guards against an end of another run that was taken for the end of run 1.
TEST(MalformedInput, AWorkersReplyWithNumbersOutOfRangeCountsAsNone) {
  EXPECT_EQ(Reply(R"("clock_ms":5,"running":[["a.0.0.0",1,"",0]])").status, OrderStatus::kOk);

  for (const std::string& number : kHuge) {
    for (const std::string& body : {R"("running":[["a.0.0.0",)" + number + R"(,"",0]])",
                                    R"("running":[["a.0.0.0",1,"",)" + number + "]]",
                                    R"("ended":[[1,"a.0.0.0",)" + number + R"(,"done",""]])"}) {
      const scheduler::WorkerReply reply = Reply(body);
      EXPECT_EQ(reply.status, OrderStatus::kUnknown) << body;
      EXPECT_TRUE(reply.running.empty() && reply.ended.empty()) << body;
    }
  }

  for (const std::string& number : kHuge) {
    const auto reply = Reply(R"("running":[["a.0.0.0",1,"",0,)" + number + "]]");
    EXPECT_EQ(reply.status, OrderStatus::kOk) << number;
    ASSERT_EQ(reply.running.size(), 1U) << number;
    EXPECT_GE(reply.running.front().last_measurement, 0) << number;
  }

  for (const std::string number : {"9223372036854775807", "18446744073709551615", "-1", "1e300"}) {
    EXPECT_EQ(Reply(R"("clock_ms":)" + number).status, OrderStatus::kUnknown) << number;
    EXPECT_EQ(Reply(R"("ended":[[)" + number + R"(,"a.0.0.0",1,"done",""]])").status,
              OrderStatus::kUnknown)
        << number;
  }
}

}  // namespace
}  // namespace currantpost::platform

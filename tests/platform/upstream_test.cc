#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "standin_upstream.h"

namespace currantpost::standins {
namespace {

using nlohmann::json;

/// An upstream with two slots and four connections.
class UpstreamTest : public testing::Test {
 protected:
  std::unique_ptr<httplib::Client> Connect() const {
    auto client = std::make_unique<httplib::Client>("127.0.0.1", port_);
    client->set_keep_alive(true);
    client->set_read_timeout(std::chrono::milliseconds(400));
    return client;
  }

  StandinUpstream upstream_{{VmId("vm-1"), Millis(50), 2, 4}};
  int port_ = upstream_.Start();
};

TEST_F(UpstreamTest, EchoesTheRequest) {
  const auto client = Connect();
  const auto answer = client->Post(
      "/orders?day=1", {{"X-Request-Id", "r-1.a"}, {"Idempotency-Key", "k"}}, "tofu", "text/plain");

  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->get_header_value("X-Request-Id"), "r-1.a");

  const json body = json::parse(answer->body);
  EXPECT_EQ(body.at("path"), "/orders?day=1");
  EXPECT_EQ(body.at("body_bytes"), 4);
  EXPECT_EQ(upstream_.Records().by_key.at("k"), 1);
  EXPECT_EQ(upstream_.Records().by_request_id.at("r-1"), 1);
}

TEST_F(UpstreamTest, RefusesAboveItsSlotsAsNotRun) {
  std::atomic<int> not_run = 0;
  std::vector<std::thread> callers;

  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&] {
      const auto answer = Connect()->Get("/board");
      if (answer && answer->get_header_value("X-Not-Run") == "1") ++not_run;
    });
  }

  for (std::thread& caller : callers) caller.join();

  const UpstreamRecords records = upstream_.Records();
  EXPECT_EQ(not_run, records.refused);
  EXPECT_EQ(records.executed + records.refused, 4);
  EXPECT_LE(records.most_concurrent, 2);
}

TEST_F(UpstreamTest, ClosesConnectionsAboveItsLimit) {
  std::vector<std::unique_ptr<httplib::Client>> clients;

  for (int number = 0; number < 4; ++number) {
    clients.push_back(Connect());
    EXPECT_TRUE(clients.back()->Get("/board"));
  }

  EXPECT_FALSE(Connect()->Get("/board"));
  EXPECT_EQ(upstream_.Service().Server().Counts().most_open, 4);
}

TEST_F(UpstreamTest, ReportsThatItIsLeaving) {
  EXPECT_FALSE(Connect()->Get("/board")->has_header("X-Leaving"));
  upstream_.SetLeaving(true);

  EXPECT_EQ(Connect()->Get("/board")->get_header_value("X-Leaving"), "1");
}

TEST_F(UpstreamTest, FaultsAreConfigurableOverHttp) {
  const auto admin = Connect();
  const std::string faults = R"({"next": {"cut_off": 1, "crossed": 1, "failed": 1}})";
  ASSERT_EQ(admin->Put("/admin/faults", faults, "application/json")->status, 200);

  EXPECT_FALSE(Connect()->Get("/board"));
  EXPECT_EQ(Connect()->Get("/board", {{"X-Request-Id", "r"}})->get_header_value("X-Request-Id"),
            "another-request");
  EXPECT_EQ(Connect()->Get("/board")->status, 500);
  EXPECT_EQ(Connect()->Get("/board")->status, 200);

  const json counts = json::parse(admin->Get("/admin/counts")->body);
  EXPECT_EQ(counts.at("calls").at("/board"), 4);
  EXPECT_EQ(admin->Put("/admin/faults", "no json", "text/plain")->status, 400);
}

TEST_F(UpstreamTest, DownReportsNotRunAndSilentSendsNothing) {
  upstream_.Service().SetFaults(ServiceFaults{.down = true});
  EXPECT_EQ(Connect()->Get("/board")->get_header_value("X-Not-Run"), "1");

  upstream_.Service().SetFaults(ServiceFaults{.silent = true});
  EXPECT_FALSE(Connect()->Get("/board"));
  EXPECT_EQ(upstream_.Records().executed, 0);
}

}  // namespace
}  // namespace currantpost::standins

#include <gtest/gtest.h>
#include <sys/socket.h>

#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

RawUpstream::Behaviour Answers() {
  return [](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  };
}

RoutedUpstream Nobody() {
  return {.vm = VmId("nobody"),
          .incarnation = 1,
          .address = {.host = "127.0.0.1", .port = ClosedPort()},
          .data_centre = DataCentreId("here"),
          .connection_share = 8,
          .slot_share = 8};
}

TEST(NotRunIsNotRun, ConnectionThatCannotBeMade) {
  Entry entry;
  entry.Route({Nobody()});

  const httplib::Result result = entry.Send("POST", "/");

  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, 503);
  EXPECT_EQ(OutcomeOf(result), "not_run");
  EXPECT_EQ(ErrorOf(result), "unavailable");
  EXPECT_EQ(result->get_header_value("Retry-After"), "1");
  EXPECT_GE(entry.Observed("nobody").refused, 1);
}

TEST(NotRunIsNotRun, PostGoesElsewhereIfTheConnectionCannotBeMade) {
  RawUpstream upstream(Answers());
  Entry entry;
  entry.Route({Nobody(), upstream.Routed("a")});

  for (int sent = 0; sent < 8; ++sent) EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "completed");
  EXPECT_EQ(upstream.Requests(), 8);
}

TEST(NotRunIsNotRun, UpstreamSaysSo) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest&) {
    connection.Write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  EXPECT_EQ(OutcomeOf(entry.Send("POST", "/")), "not_run");
}

TEST(NotRunIsNotRun, OneUnknownAttemptMakesTheRequestUnknown) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    if (request.index == 0) return false;

    connection.Write("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  const httplib::Result result = entry.Send("GET", "/");

  EXPECT_GT(upstream.Requests(), 1);
  EXPECT_EQ(OutcomeOf(result), "unknown");
}

/// A request that is refused before anything is sent.
struct Refused {
  const char* name;
  const char* text;
  const char* status;
  const char* error;
};

class RefusedRequests : public testing::TestWithParam<Refused> {};

TEST_P(RefusedRequests, AreTypedAndReachNoUpstream) {
  RawUpstream upstream(Answers());
  TrafficSettings settings = Entry::Settings();
  settings.largest_request = 1'000;
  Entry entry(settings);
  entry.Route({upstream.Routed("a")});

  const std::string answer = entry.SendRaw(GetParam().text);

  EXPECT_TRUE(answer.starts_with(std::string("HTTP/1.1 ") + GetParam().status)) << answer;
  EXPECT_NE(answer.find("X-Currantpost-Outcome: not_run"), std::string::npos) << answer;
  EXPECT_NE(answer.find(std::string(R"("error":")") + GetParam().error), std::string::npos)
      << answer;
  EXPECT_EQ(answer.find("HTTP/1.1", 1), std::string::npos) << answer;
  EXPECT_EQ(upstream.Requests(), 0);
}

const std::string kHugeHead = "GET / HTTP/1.1\r\nX-Long: " + std::string(9'000, 'x') + "\r\n\r\n";
const std::string kHugeTarget = "GET /" + std::string(9'000, 'x') + " HTTP/1.1\r\n\r\n";
const std::string kHugeChunks = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                                std::string(2'000, 'x') + "\r\n0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    NotRunIsNotRun, RefusedRequests,
    testing::Values(
        Refused{"TooLarge", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "413", "too_large"},
        Refused{"TooLargeInChunks", kHugeChunks.c_str(), "413", "too_large"},
        Refused{"HugeHead", kHugeHead.c_str(), "400", "malformed"},
        Refused{"HugeTarget", kHugeTarget.c_str(), "414", "malformed"},
        Refused{"TwoLengths",
                "POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 30\r\n\r\nhi", "400",
                "malformed"},
        Refused{"LengthAndChunks",
                "POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
                "400", "malformed"},
        Refused{"BareLineFeed",
                "POST / HTTP/1.1\r\nContent-Length: 21\nX: y\r\n\r\nGET / HTTP/1.1\r\n\r\n...",
                "400", "malformed"},
        Refused{"SpaceBeforeColon",
                "POST / HTTP/1.1\r\nContent-Length : 21\r\n\r\nGET / HTTP/1.1\r\n\r\n...", "400",
                "malformed"},
        Refused{"UnknownEncoding",
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400",
                "malformed"},
        Refused{"BodyThatWouldBeTakenForARequest",
                "GET / HTTP/1.1\r\nContent-Length: 21\r\n\r\nGET / HTTP/1.1\r\n\r\n...", "400",
                "invalid_argument"},
        Refused{"BadRange", "GET / HTTP/1.1\r\nRange: bytes=x\r\n\r\n", "416", "malformed"},
        Refused{"NotARequest", "hello\r\n\r\n", "400", "malformed"},
        Refused{"UnknownMethod", "BREW / HTTP/1.1\r\n\r\n", "400", "malformed"},
        Refused{"Tunnel", "CONNECT x:80 HTTP/1.1\r\n\r\n", "400", "invalid_argument"},
        Refused{"DeadlineNotANumber",
                "GET / HTTP/1.1\r\nConnection: close\r\n"
                "X-Deadline-Ms: soon\r\n\r\n",
                "400", "out_of_range"}),
    [](const auto& info) { return info.param.name; });

TEST(NotRunIsNotRun, NoRoute) {
  RawUpstream upstream(Answers());
  Entry entry;
  EXPECT_EQ(ErrorOf(entry.Send("GET", "/")), "unavailable");

  RoutingSnapshot snapshot;
  snapshot.preset.routes = {RouteRule{.prefix = "/board"}};
  snapshot.upstreams = {upstream.Routed("a")};
  entry.Route(snapshot);

  EXPECT_EQ(entry.Send("GET", "/permits")->status, 404);
  EXPECT_EQ(entry.Send("GET", "/board/today")->status, 200);
}

}  // namespace
}  // namespace currantpost

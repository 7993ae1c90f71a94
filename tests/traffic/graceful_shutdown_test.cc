#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

#include "entry.h"
#include "raw_upstream.h"

namespace currantpost {
namespace {

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// Reads until the text ends with `ending`, or to the end of the connection.
std::string ReadUntil(int socket, std::string_view ending) {
  std::array<char, 4'096> buffer;
  std::string text;

  while (ending.empty() || !text.ends_with(ending)) {
    const ssize_t got = recv(socket, buffer.data(), buffer.size(), 0);
    if (got <= 0) break;
    text.append(buffer.data(), static_cast<size_t>(got));
  }

  return text;
}

TEST(GracefulShutdown, CutsOffNoRequestInFlight) {
  std::atomic<int> arrived = 0;
  RawUpstream upstream([&arrived](RawConnection& connection, const RawRequest& request) {
    ++arrived;
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    connection.Answer(request, "whole");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  std::atomic<int> whole = 0;
  std::vector<std::thread> callers;

  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&] {
      const httplib::Result result = entry.Send("POST", "/", {}, "order");
      if (result && result->body == "whole") ++whole;
    });
  }

  while (arrived < 8) std::this_thread::yield();
  EXPECT_EQ(entry.Server().TakeReport().requests_in_flight, 8);

  entry.Server().Stop();
  EXPECT_EQ(entry.Server().TakeReport().requests_in_flight, 0);

  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(whole, 8);
}

TEST(GracefulShutdown, RequestOnAnOpenConnectionIsRefusedAsNotRun) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});

  const int idle = entry.Connect();
  send(idle, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
  EXPECT_TRUE(ReadUntil(idle, "ok").starts_with("HTTP/1.1 200"));

  const int half_sent = entry.Connect();
  send(half_sent, kRequest.data(), 10, MSG_NOSIGNAL);

  std::thread stop([&entry] { entry.Server().Stop(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(400));

  send(idle, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
  send(half_sent, kRequest.data() + 10, kRequest.size() - 10, MSG_NOSIGNAL);

  for (const int socket : {idle, half_sent}) {
    const std::string answer = ReadUntil(socket, "");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
    EXPECT_NE(answer.find("X-Currantpost-Outcome: not_run"), std::string::npos);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    close(socket);
  }

  stop.join();
  EXPECT_EQ(upstream.Requests(), 1);
}

TEST(GracefulShutdown, DrainingSnapshotRefusesNewRequestsAndClosesConnections) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  RoutingSnapshot snapshot;
  snapshot.upstreams = {upstream.Routed("a")};
  snapshot.draining = true;
  entry.Route(snapshot);

  // Returns at the end of the connection, though the caller did not ask for it.
  const std::string answer = entry.SendRaw(std::string(kRequest));

  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503")) << answer;
  EXPECT_NE(answer.find(R"("error":"shutting_down")"), std::string::npos) << answer;
  EXPECT_NE(answer.find("X-Currantpost-Outcome: not_run"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
  EXPECT_EQ(upstream.Requests(), 0);
}

TEST(GracefulShutdown, CallersThatComeDuringTheStopAllGetAnAnswer) {
  RawUpstream upstream([](RawConnection& connection, const RawRequest& request) {
    connection.Answer(request, "ok");
    return true;
  });
  Entry entry;
  entry.Route({upstream.Routed("a")});
  std::atomic<bool> stopped = false;
  std::atomic<int> cut_off = 0;
  std::vector<std::thread> callers;

  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back([&] {
      while (!stopped) {
        const httplib::Result result = entry.Send("GET", "/");
        // Once the listening socket is closed, a caller knows that nothing was sent.
        if (!result && result.error() != httplib::Error::Connection) ++cut_off;
        if (!result) return;
      }
    });
  }

  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  entry.Server().Stop();
  stopped = true;

  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(cut_off, 0);
}

}  // namespace
}  // namespace currantpost

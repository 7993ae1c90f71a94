#include <grpcpp/create_channel.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/peer/heartbeat_message.h"
#include "currantpost/peer/peer_client.h"
#include "currantpost/peer/peer_server.h"
#include "sample_heartbeat.h"
#include "tcp_relay.h"

namespace currantpost {
namespace {

constexpr Millis kDeadline(400);

Address Loopback(int port) { return Address{.host = "127.0.0.1", .port = port}; }

Result<Heartbeat> AnswerAsServer(const Heartbeat& /*heartbeat*/) {
  return SampleHeartbeat("server");
}

TEST(PeerExchange, EachSideGetsTheOthersHeartbeat) {
  std::string received_from;
  PeerServer server(Loopback(0), [&received_from](const Heartbeat& heartbeat) {
    received_from = heartbeat.sender.entry.Text();
    return AnswerAsServer(heartbeat);
  });
  const Result<int> port = server.Start();
  ASSERT_TRUE(port.has_value());

  GrpcPeerClient client(kDeadline * 10);
  const Result<Heartbeat> answer = client.Exchange(Loopback(*port), SampleHeartbeat("client"));

  ASSERT_TRUE(answer.has_value()) << answer.error().detail;
  EXPECT_EQ(received_from, "client");
  EXPECT_EQ(answer->sender.entry.Text(), "server");
  EXPECT_EQ(answer->racks.size(), 1u);
}

TEST(PeerExchange, RejectsAMalformedHeartbeatAndKeepsServing) {
  std::atomic<int> calls = 0;
  PeerServer server(Loopback(0), [&calls](const Heartbeat& heartbeat) {
    ++calls;
    return AnswerAsServer(heartbeat);
  });
  const Result<int> port = server.Start();
  ASSERT_TRUE(port.has_value());

  const auto channel = grpc::CreateChannel("ipv4:127.0.0.1:" + std::to_string(*port),
                                           grpc::InsecureChannelCredentials());
  const auto stub = wire::Peer::NewStub(channel);
  grpc::ClientContext context;
  wire::HeartbeatMessage answer;
  const grpc::Status status = stub->Exchange(&context, wire::HeartbeatMessage(), &answer);

  EXPECT_EQ(status.error_code(), grpc::StatusCode::INVALID_ARGUMENT);
  EXPECT_NE(status.error_message().find("sender"), std::string::npos);
  EXPECT_EQ(calls, 0);

  GrpcPeerClient client(kDeadline * 10);
  EXPECT_TRUE(client.Exchange(Loopback(*port), SampleHeartbeat("client")).has_value());
}

TEST(PeerExchange, RejectsAMessageThatIsTooLarge) {
  std::atomic<int> calls = 0;
  PeerServer server(Loopback(0), [&calls](const Heartbeat& heartbeat) {
    ++calls;
    return AnswerAsServer(heartbeat);
  });
  const Result<int> port = server.Start();
  ASSERT_TRUE(port.has_value());

  const auto channel = grpc::CreateChannel("ipv4:127.0.0.1:" + std::to_string(*port),
                                           grpc::InsecureChannelCredentials());
  const auto stub = wire::Peer::NewStub(channel);
  wire::HeartbeatMessage message = ToMessage(SampleHeartbeat("client"));
  message.set_configuration(std::string(kMaxPeerMessageBytes + 1, ' '));
  grpc::ClientContext context;
  wire::HeartbeatMessage answer;

  EXPECT_EQ(stub->Exchange(&context, message, &answer).error_code(),
            grpc::StatusCode::RESOURCE_EXHAUSTED);
  EXPECT_EQ(calls, 0);
}

TEST(PeerExchange, ReportsAPeerThatDoesNotListen) {
  int port = 0;

  {
    PeerServer server(Loopback(0), AnswerAsServer);
    port = server.Start().value();
  }

  GrpcPeerClient client(kDeadline);
  const Result<Heartbeat> answer = client.Exchange(Loopback(port), SampleHeartbeat("client"));

  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().code, ErrorCode::kUnavailable);
}

TEST(PeerExchange, NeverResolvesAName) {
  GrpcPeerClient client(kDeadline);
  const Result<Heartbeat> answer =
      client.Exchange(Address{.host = "localhost", .port = 1}, SampleHeartbeat("client"));

  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().code, ErrorCode::kInvalidArgument);
}

TEST(PeerExchange, TimesOutOnASlowPeer) {
  PeerServer server(Loopback(0), [](const Heartbeat& heartbeat) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kDeadline.Count() * 3));
    return AnswerAsServer(heartbeat);
  });
  const int port = server.Start().value();

  GrpcPeerClient client(kDeadline);
  const Result<Heartbeat> answer = client.Exchange(Loopback(port), SampleHeartbeat("client"));

  ASSERT_FALSE(answer.has_value());
  EXPECT_EQ(answer.error().code, ErrorCode::kTimeout);
}

TEST(PeerExchange, ReconnectsAfterAConnectionStoppedResponding) {
  PeerServer server(Loopback(0), AnswerAsServer);
  TcpRelay relay(server.Start().value());
  GrpcPeerClient client(kDeadline);
  const Address address = Loopback(relay.Port());
  ASSERT_TRUE(client.Exchange(address, SampleHeartbeat("client")).has_value());

  relay.SilencePresent();

  const Result<Heartbeat> lost = client.Exchange(address, SampleHeartbeat("client"));
  ASSERT_FALSE(lost.has_value());
  EXPECT_EQ(lost.error().code, ErrorCode::kTimeout);
  EXPECT_TRUE(client.Exchange(address, SampleHeartbeat("client")).has_value());
}

TEST(PeerExchange, ReportsAPortThatIsInUse) {
  PeerServer first(Loopback(0), AnswerAsServer);
  const int port = first.Start().value();

  PeerServer second(Loopback(port), AnswerAsServer);
  const Result<int> result = second.Start();

  ASSERT_FALSE(result.has_value());
  EXPECT_EQ(result.error().code, ErrorCode::kUnavailable);
}

TEST(PeerExchange, ServesConcurrentPeers) {
  PeerServer server(Loopback(0), AnswerAsServer);
  const int port = server.Start().value();
  std::atomic<int> answered = 0;
  std::vector<std::thread> peers;

  for (int number = 0; number < 8; ++number) {
    peers.emplace_back([&answered, port] {
      GrpcPeerClient client(kDeadline * 10);

      for (int turn = 0; turn < 5; ++turn) {
        if (client.Exchange(Loopback(port), SampleHeartbeat("client"))) ++answered;
      }
    });
  }

  for (std::thread& peer : peers) peer.join();

  EXPECT_EQ(answered, 40);
}

}  // namespace
}  // namespace currantpost

#include "currantpost/daemon/daemon.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <thread>

#include "currantpost/daemon/signal_thread.h"
#include "fakes.h"

namespace currantpost {
namespace {

constexpr int kTimeoutSeconds = 20;

/// Returns a port that nothing listens on.
int FreePort() {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);

  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size);
  close(probe);

  return ntohs(address.sin_port);
}

DaemonSettings Settings() {
  DaemonSettings settings;
  settings.control = LoneEntrySettings();
  settings.control.shutdown_grace = Millis(100);
  settings.control.identity.peer_address.port = FreePort();
  settings.control.identity.operator_address.port = FreePort();
  settings.platform.kv_threads = 2;
  settings.platform.worker_threads = 2;

  return settings;
}

class DaemonTest : public testing::Test {
 protected:
  static void SetUpTestSuite() { BlockSignals(); }

  void Run() {
    thread_ = std::thread([this] { error_ = daemon_->Run(); });
  }

  void TearDown() override {
    if (thread_.joinable()) thread_.join();
  }

  /// Returns the body of a page, asking again until the server is up.
  [[nodiscard]] std::string Page(const std::string& path) const {
    httplib::Client client("127.0.0.1", settings_.control.identity.operator_address.port);
    client.set_read_timeout(kTimeoutSeconds);

    while (true) {
      if (const auto result = client.Get(path)) return result->body;
      std::this_thread::yield();
    }
  }

  MonotonicClock clock_;
  FakeKv kv_;
  FakeVmList vm_list_;
  FakeWorkers workers_;
  FakePeers peers_;
  FakeTraffic traffic_;
  DaemonSettings settings_ = Settings();
  std::unique_ptr<Daemon> daemon_ = std::make_unique<Daemon>(
      settings_, DaemonPorts{kv_, vm_list_, workers_, peers_, traffic_}, clock_);
  Error error_;
  std::thread thread_;
};

TEST_F(DaemonTest, ATerminationSignalEndsItInOrder) {
  Run();
  EXPECT_EQ(Page("/health"), "ok\n");

  kill(getpid(), SIGTERM);
  thread_.join();

  EXPECT_FALSE(error_.code) << ErrorName(error_.code);
  EXPECT_TRUE(traffic_.Started());
  EXPECT_TRUE(traffic_.Stopped());
  EXPECT_TRUE(traffic_.Published());
}

TEST_F(DaemonTest, ServesItsStateAndMetrics) {
  Run();
  const std::string state = Page("/v1/state");
  const std::string metrics = Page("/metrics");
  kill(getpid(), SIGUSR1);
  kill(getpid(), SIGTERM);

  EXPECT_NE(state.find("\"entry\":\"entry-1\""), std::string::npos) << state;
  EXPECT_NE(metrics.find("currantpost_resident_bytes"), std::string::npos);
  EXPECT_NE(metrics.find("currantpost_fake_total 3"), std::string::npos);
}

TEST_F(DaemonTest, DoesNotStartHalf) {
  PeerServer taken(settings_.control.identity.peer_address,
                   [](const Heartbeat& heartbeat) { return heartbeat; });
  ASSERT_TRUE(taken.Start().has_value());

  Run();
  thread_.join();

  EXPECT_EQ(error_.code, ErrorCode::kUnavailable);
  EXPECT_TRUE(traffic_.Stopped());
}

}  // namespace
}  // namespace currantpost

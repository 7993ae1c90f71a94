#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "currantpost/base/time.h"
#include "running_fleet.h"
#include "tcp_relay.h"

namespace currantpost::testing_support {
namespace {

using nlohmann::json;

constexpr Millis kTarget(11'000);
constexpr size_t kSwitchEntry = 0;
constexpr size_t kKilled = 1;
constexpr size_t kCutOff = 3;
constexpr const char* kPreset = "peak";

/// What an entry says of its configuration.
struct Applied {
  bool known = false;
  int64_t revision = 0;
  std::string in_force;
};

/// Returns nothing known if the entry does not answer.
Applied AppliedAt(const Address& operators) {
  const json state = Ask(operators, "GET", "/v1/state");
  if (!state.is_object()) return Applied{};

  const json& part = state.at("configuration");
  return Applied{part.at("known"), part.at("revision"), part.at("in_force")};
}

/// Looks at all entries again and again, and counts how often one showed a lower revision than it
/// had shown before, over all its lives.
class RevisionObserver {
 public:
  explicit RevisionObserver(const Fleet& fleet) {
    for (const Entry& entry : fleet.Entries()) operators_.push_back(entry.operators);
    thread_ = std::thread([this] { Run(); });
  }
  ~RevisionObserver() { Stop(); }

  RevisionObserver(const RevisionObserver&) = delete;
  RevisionObserver& operator=(const RevisionObserver&) = delete;

  int64_t CountReverted() {
    Stop();
    return reverted_;
  }

 private:
  void Stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }

  void Run() {
    std::map<Address, int64_t> highest;

    while (!stopping_) {
      for (const Address& operators : operators_) {
        const Applied applied = AppliedAt(operators);
        // A new process knows nothing yet, and says so.
        if (!applied.known) continue;

        if (applied.revision < highest[operators]) ++reverted_;
        highest[operators] = std::max(highest[operators], applied.revision);
      }

      Sleep(Millis(50));
    }
  }

  std::vector<Address> operators_;
  std::atomic<bool> stopping_ = false;
  int64_t reverted_ = 0;
  std::thread thread_;
};

/// A fleet whose last entry reaches the store through a relay, which can go silent.
class RelayedFleet {
 public:
  RelayedFleet()
      : fleet_({}, [this](Fleet& fleet) {
          relay_ = std::make_unique<TcpRelay>(fleet.Kv().port);
          fleet.SetKv(kCutOff, Address{"127.0.0.1", relay_->Port()});
        }) {}

  RunningFleet& operator*() { return fleet_; }
  RunningFleet* operator->() { return &fleet_; }
  TcpRelay& Relay() { return *relay_; }

 private:
  std::unique_ptr<TcpRelay> relay_;
  RunningFleet fleet_;
};

/// Brings the preset in and returns whether it was accepted.
bool SetPreset(const Address& operators) {
  return WaitUntil(
      [&] {
        return Ask(operators, "PUT", std::string("/v1/presets/") + kPreset,
                   json{{"name", kPreset}, {"batch_share", 0.5}})
            .is_object();
      },
      Millis(20'000));
}

/// Switches to the preset and returns the revision; -1 if it was not accepted.
int64_t SwitchPreset(const Address& operators) {
  const json accepted =
      Ask(operators, "POST", std::string("/v1/presets/") + kPreset + "/switch", json::object());
  return accepted.is_object() ? accepted.value("revision", int64_t{-1}) : -1;
}

void ExpectInForce(const Entry& entry, int64_t revision, Millis end) {
  const MonotonicClock clock;
  Applied applied;

  const bool in_force = WaitUntil(
      [&] {
        applied = AppliedAt(entry.operators);
        return applied.revision >= revision && applied.in_force == kPreset;
      },
      end - clock.Now());

  EXPECT_TRUE(in_force) << entry.name << " has revision " << applied.revision << " of " << revision;
}

TEST(ConfigurationHolds, SwitchReachesEntriesKilledAndCutOffInTime) {
  RelayedFleet fleet;
  const MonotonicClock clock;
  const std::vector<Entry>& entries = fleet->Entries();
  ASSERT_TRUE(SetPreset(entries[kSwitchEntry].operators));
  RevisionObserver observer(*fleet);

  fleet.Relay().SetSilent(true);
  fleet->Kill(kKilled);
  const int64_t revision = SwitchPreset(entries[kSwitchEntry].operators);
  ASSERT_GT(revision, 0);

  const Millis end = clock.Now() + kTarget;
  for (const Entry& entry : entries) {
    if (!entry.is_killed) ExpectInForce(entry, revision, end);
  }

  fleet->Restart(kKilled);
  ExpectInForce(entries[kKilled], revision, clock.Now() + kTarget);
  EXPECT_EQ(observer.CountReverted(), 0);
}

/// Its peers are all that it can learn from.
TEST(ConfigurationHolds, EntryRestartedWithoutTheStoreHasItInTime) {
  RelayedFleet fleet;
  const MonotonicClock clock;
  const Entry& cut_off = fleet->Entries()[kCutOff];
  ASSERT_TRUE(SetPreset(fleet->Entries()[kSwitchEntry].operators));
  const int64_t revision = SwitchPreset(fleet->Entries()[kSwitchEntry].operators);
  ASSERT_GT(revision, 0);
  RevisionObserver observer(*fleet);

  fleet.Relay().SetSilent(true);
  fleet->Kill(kCutOff);
  fleet->Restart(kCutOff);

  ExpectInForce(cut_off, revision, clock.Now() + kTarget);
  EXPECT_EQ(observer.CountReverted(), 0);
}

}  // namespace
}  // namespace currantpost::testing_support

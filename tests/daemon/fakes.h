#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/daemon/command_gateway.h"
#include "currantpost/daemon/control_thread.h"
#include "currantpost/daemon/traffic_port.h"
#include "currantpost/peer/peer_client.h"
#include "currantpost/platform/kv_client.h"
#include "currantpost/platform/vm_list_client.h"
#include "currantpost/platform/worker_client.h"

namespace currantpost {

/// What goes wrong with one call to the fake key-value service.
enum class KvFault {
  kNone,
  /// The call never arrives.
  kUnavailable,
  /// The call takes effect and its answer is lost.
  kAnswerLost,
  /// The call is lost on its way, which its caller cannot know.
  kCallLost,
};

/// A key-value service in memory. Faults are used up one for each call, in order.
class FakeKv final : public KvClient {
 public:
  KvReply Get(const std::string& key) override {
    return Call([&] { return Read(key); });
  }

  KvReply List(const std::string& prefix) override {
    return Call([&] { return ReadAll(prefix); });
  }

  KvReply Put(const std::string& key, const std::string& value, KvRevision expected) override {
    return Call([&] { return Write(key, value, expected); });
  }

  KvReply Delete(const std::string& key, KvRevision expected) override {
    return Call([&] { return Write(key, std::nullopt, expected); });
  }

  KvReply Watch(const std::string& /*prefix*/, KvRevision after, Millis /*timeout*/) override {
    absl::SleepFor(absl::Milliseconds(20));
    return KvReply{.status = KvStatus::kOk, .revision = after};
  }

  void PlanFaults(std::vector<KvFault> faults) {
    absl::MutexLock lock(&mutex_);
    faults_ = std::move(faults);
  }

  [[nodiscard]] size_t KeyCount() const {
    absl::MutexLock lock(&mutex_);
    return entries_.size();
  }

 private:
  template <typename Body>
  KvReply Call(Body body) {
    absl::MutexLock lock(&mutex_);
    KvFault fault = KvFault::kNone;

    if (!faults_.empty()) {
      fault = faults_.front();
      faults_.erase(faults_.begin());
    }

    if (fault == KvFault::kUnavailable) return KvReply{.status = KvStatus::kUnavailable};
    if (fault == KvFault::kCallLost) return KvReply{.status = KvStatus::kUnknown};

    const KvReply reply = body();
    if (fault == KvFault::kAnswerLost) return KvReply{.status = KvStatus::kUnknown};

    return reply;
  }

  KvReply Read(const std::string& key) const ABSL_NO_THREAD_SAFETY_ANALYSIS {
    KvReply reply{.status = KvStatus::kOk, .revision = revision_};
    const auto found = entries_.find(key);
    if (found != entries_.end()) reply.entries.push_back(found->second);

    return reply;
  }

  KvReply ReadAll(const std::string& prefix) const ABSL_NO_THREAD_SAFETY_ANALYSIS {
    KvReply reply{.status = KvStatus::kOk, .revision = revision_};

    for (const auto& [key, entry] : entries_) {
      if (key.starts_with(prefix)) reply.entries.push_back(entry);
    }

    return reply;
  }

  KvReply Write(const std::string& key, std::optional<std::string> value,
                KvRevision expected) ABSL_NO_THREAD_SAFETY_ANALYSIS {
    KvReply present = Read(key);
    const KvRevision revision = present.entries.empty() ? 0 : present.entries.front().revision;

    if (revision != expected) {
      present.status = KvStatus::kConflict;
      return present;
    }

    ++revision_;

    if (value) {
      entries_[key] = KvEntry{.key = key, .value = std::move(value), .revision = revision_};
    } else {
      entries_.erase(key);
    }

    return KvReply{.status = KvStatus::kOk, .revision = revision_};
  }

  mutable absl::Mutex mutex_;
  std::map<std::string, KvEntry> entries_ ABSL_GUARDED_BY(mutex_);
  std::vector<KvFault> faults_ ABSL_GUARDED_BY(mutex_);
  KvRevision revision_ ABSL_GUARDED_BY(mutex_) = 0;
};

/// A list of VMs that never changes.
class FakeVmList final : public VmListClient {
 public:
  Result<std::vector<VmRecord>> Read() override { return std::vector<VmRecord>(); }
};

/// Workers that cannot be reached.
class FakeWorkers final : public WorkerClient {
 public:
  WorkerReply SendOrder(const Address& /*address*/, const VmId& /*worker*/,
                        Incarnation /*incarnation*/, Epoch /*epoch*/,
                        const WorkerOrder& /*order*/) override {
    return WorkerReply{.status = WorkerStatus::kUnreachable};
  }
};

/// Peers that cannot be reached.
class FakePeers final : public PeerClient {
 public:
  Result<Heartbeat> Exchange(const Address& peer, const Heartbeat& /*heartbeat*/) override {
    return Fail(ErrorCode::kUnavailable, peer.host);
  }
};

/// Traffic threads without any traffic.
class FakeTraffic final : public TrafficPort {
 public:
  Result<int> Start() override {
    started_ = true;
    return 1;
  }

  void Publish(std::shared_ptr<const RoutingSnapshot> snapshot) override {
    published_ = snapshot != nullptr;
  }

  TrafficReported TakeReport() override { return {}; }

  [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override {
    prometheus::ClientMetric metric;
    metric.counter.value = 3;

    return {prometheus::MetricFamily{.name = "currantpost_fake_total",
                                     .help = "A figure.",
                                     .type = prometheus::MetricType::Counter,
                                     .metric = {metric}}};
  }

  void Stop() override { stopped_ = true; }

  [[nodiscard]] bool Started() const { return started_; }
  [[nodiscard]] bool Stopped() const { return stopped_; }
  [[nodiscard]] bool Published() const { return published_; }

 private:
  std::atomic<bool> started_ = false;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> published_ = false;
};

/// Hands each effect on to the command gateway, and keeps no others.
class ReplySink final : public EffectSink {
 public:
  explicit ReplySink(CommandGateway& commands) : commands_(commands) {}

  void Run(Effects effects) override {
    for (const Effect& effect : effects) {
      if (const auto* reply = std::get_if<CommandReply>(&effect)) commands_.Complete(*reply);
    }
  }

 private:
  CommandGateway& commands_;
};

/// Settings of an entry that is alone.
inline ControlSettings LoneEntrySettings() {
  ControlSettings settings;
  settings.identity = EntryIdentity{
      .entry = EntryId("entry-1"),
      .incarnation = 7,
      .data_centre = DataCentreId("dc-1"),
      .peer_address = Address{.host = "127.0.0.1", .port = 0},
      .operator_address = Address{.host = "127.0.0.1", .port = 0},
  };

  return settings;
}

}  // namespace currantpost

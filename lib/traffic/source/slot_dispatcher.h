#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "currantpost/base/error.h"
#include "currantpost/base/time.h"
#include "currantpost/model/traffic_settings.h"
#include "currantpost/traffic/admission_queue.h"
#include "currantpost/traffic/upstream_table.h"
#include "upstream_connection_pool.h"

namespace currantpost {

class SlotDispatcher;

/// A slot held by one request. Returned when destroyed, so that none is lost.
class HeldSlot {
 public:
  HeldSlot(SlotDispatcher& dispatcher, ReservedSlot slot);
  ~HeldSlot();

  HeldSlot(HeldSlot&& other) noexcept;
  HeldSlot& operator=(HeldSlot&&) = delete;

  [[nodiscard]] const ReservedSlot& Slot() const { return slot_; }

  /// Gives the slot back with what was learnt, and the connection if it may be used again.
  void Return(const AttemptReport& report, std::unique_ptr<UpstreamConnection> connection);

 private:
  SlotDispatcher* dispatcher_;
  ReservedSlot slot_;
};

/// Hands out the slots and idle connections of all upstreams. Usable from any thread.
class SlotDispatcher {
 public:
  SlotDispatcher(const TrafficSettings& settings, const Clock& clock, uint64_t seed);

  /// Takes over a snapshot.
  void Publish(const RoutingSnapshot& snapshot);

  /// Says whether a request of this priority would have to be shed at once.
  [[nodiscard]] bool MustShed(Priority priority) const;

  /// Waits for a slot, but no longer than the queue allows. Fails with `kUnavailable`,
  /// `kOverloaded` or `kTimeout`.
  Result<HeldSlot> Acquire(Priority priority, Millis deadline, const std::vector<VmId>& excluded);

  /// Takes a free slot without waiting.
  std::optional<HeldSlot> TryAcquire(const std::vector<VmId>& excluded);

  /// Takes an idle connection that was used not longer than `largest_idle_age` ago, and makes room
  /// for a new one if there is none.
  std::unique_ptr<UpstreamConnection> TakeConnection(const ReservedSlot& slot,
                                                     Millis largest_idle_age);

  /// Closes the idle connections of an upstream that were not used after a point in time.
  void DropUnusedConnections(const VmId& vm, Millis since);

  /// Returns the latency that most answers of an upstream stay below, if known.
  [[nodiscard]] std::optional<Millis> HighLatency(const VmId& vm) const;

  std::vector<UpstreamObservation> TakeObservations();
  [[nodiscard]] int32_t QueueLength() const;

 private:
  friend class HeldSlot;

  struct Waiter;

  void Return(const ReservedSlot& slot, const AttemptReport& report,
              std::unique_ptr<UpstreamConnection> connection);
  void GrantWaiters();
  void TrimConnections(const VmId& vm);

  const TrafficSettings settings_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  UpstreamTable table_;
  UpstreamConnectionPool pool_;
  AdmissionQueue queue_;
};

}  // namespace currantpost

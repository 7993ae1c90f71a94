#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "currantpost/model/routing.h"
#include "currantpost/traffic/concurrency_limit.h"

namespace currantpost {

/// How an attempt counts for its upstream.
enum class AttemptVerdict {
  kAnswered,
  kFailed,
  /// No connection could be made.
  kRefused,
  /// No byte came until the deadline.
  kTimedOut,
  /// Says nothing about the upstream.
  kNotCounted,
};

/// What an attempt taught about its upstream.
struct AttemptReport {
  AttemptVerdict verdict = AttemptVerdict::kNotCounted;
  Millis latency;
  bool said_leaving = false;
};

/// A request's place at one upstream.
struct ReservedSlot {
  VmId vm;
  Incarnation incarnation = 0;
  Address address;
};

/// The upstreams, and the requests that this entry has in flight at each. Never lets them exceed
/// the entry's share, whatever snapshots come. Not usable from several threads.
class UpstreamTable {
 public:
  explicit UpstreamTable(uint64_t seed);

  /// Takes over a snapshot. Requests in flight at an upstream go on counting, also if it is gone
  /// from the snapshot or has a new incarnation.
  void Apply(const RoutingSnapshot& snapshot);

  /// Reserves a slot at the better of two upstreams chosen at random: own data centre first, never
  /// one of `excluded`, never a leaving one, an ejected one only if there is no other.
  std::optional<ReservedSlot> Reserve(const std::vector<VmId>& excluded);

  /// Says whether some upstream may take the request, now or once a slot is free.
  [[nodiscard]] bool HasCandidate(const std::vector<VmId>& excluded) const;

  /// Returns a slot.
  void Release(const ReservedSlot& slot, const AttemptReport& report);

  /// Returns the requests in flight at an upstream.
  [[nodiscard]] int32_t InFlight(const VmId& vm) const;

  /// Returns how many idle connections an upstream may have beside its requests in flight.
  [[nodiscard]] int32_t IdleRoom(const VmId& vm) const;

  /// Returns the incarnation that may be given new requests, if any.
  [[nodiscard]] std::optional<Incarnation> UsableIncarnation(const VmId& vm) const;

  /// Returns the latency that most answers of an upstream stay below, if enough were seen.
  [[nodiscard]] std::optional<Millis> HighLatency(const VmId& vm) const;

  /// Returns and forgets what was seen since the last call.
  std::vector<UpstreamObservation> TakeObservations();

 private:
  /// Choice groups, in the order in which they are tried.
  enum class Group { kOwn, kOther, kOwnEjected, kOtherEjected };

  struct Row {
    RoutedUpstream routed;
    bool is_present = false;
    /// Sticky for the life of the incarnation.
    bool said_leaving = false;
    int32_t in_flight = 0;
    ConcurrencyLimit limit;
    /// Moving average in milliseconds.
    double latency = 0.0;
    std::vector<int64_t> recent_latencies;
    size_t next_latency = 0;
  };

  struct Observed {
    UpstreamObservation counts;
    std::vector<int64_t> latencies;
  };

  [[nodiscard]] static bool MayTakeNew(const Row& row);
  [[nodiscard]] static bool IsForgettable(const Row& row);
  [[nodiscard]] static int32_t Share(const Row& row);
  [[nodiscard]] static double Load(const Row& row);
  [[nodiscard]] Group GroupOf(const Row& row) const;
  [[nodiscard]] bool HasHealthy() const;
  Row* Better(const std::vector<Row*>& rows);
  void Learn(Row& row, const AttemptReport& report);
  void Observe(const ReservedSlot& slot, const AttemptReport& report);

  DataCentreId own_data_centre_;
  std::map<VmId, Row> rows_;
  std::map<std::pair<VmId, Incarnation>, Observed> observed_;
  std::mt19937_64 random_;
};

}  // namespace currantpost

#include "currantpost/traffic/upstream_table.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace currantpost {
namespace {

/// Weight of a new sample in the moving average of latency.
constexpr double kLatencyWeight = 0.1;
/// Share of its average latency that an upstream is forgiven each time another one is preferred to
/// it. An upstream that gets no requests brings no samples, so one slow answer would count for
/// good; one that is ten times as slow as its neighbour is tried by about 1 in 250 requests.
constexpr double kLatencyForgiven = 0.0025;
/// Loads that differ by less than this share are taken as alike; latencies are whole milliseconds.
constexpr double kAlike = 0.1;
/// Latencies kept of one upstream for its percentiles.
constexpr size_t kLatenciesKept = 128;
/// Latencies needed before a high percentile is believed.
constexpr size_t kLatenciesNeeded = 20;
/// Latencies kept of one upstream between two reports.
constexpr size_t kLatenciesReported = 1'024;

/// Returns the least value that at least this share of the values does not exceed.
Millis Percentile(std::vector<int64_t> values, double share) {
  if (values.empty()) return Millis(0);

  const auto rank = static_cast<size_t>(std::ceil(share * static_cast<double>(values.size()))) - 1;
  std::ranges::nth_element(values, values.begin() + static_cast<int64_t>(rank));
  return Millis(values[rank]);
}

bool Contains(const std::vector<VmId>& vms, const VmId& vm) {
  return std::ranges::find(vms, vm) != vms.end();
}

}  // namespace

UpstreamTable::UpstreamTable(uint64_t seed) : random_(seed) {}

void UpstreamTable::Apply(const RoutingSnapshot& snapshot) {
  own_data_centre_ = snapshot.own_data_centre;

  for (auto& [vm, row] : rows_) row.is_present = false;

  for (const RoutedUpstream& routed : snapshot.upstreams) {
    Row& row = rows_[routed.vm];

    if (row.routed.incarnation != routed.incarnation) {
      const int32_t in_flight = row.in_flight;
      row = Row();
      row.in_flight = in_flight;
    }

    row.routed = routed;
    row.is_present = true;
  }

  std::erase_if(rows_, [](const auto& entry) { return IsForgettable(entry.second); });
}

std::optional<ReservedSlot> UpstreamTable::Reserve(const std::vector<VmId>& excluded) {
  constexpr size_t kGroups = 4;
  std::array<std::vector<Row*>, kGroups> free;

  for (auto& [vm, row] : rows_) {
    if (!MayTakeNew(row) || Contains(excluded, vm)) continue;
    if (row.in_flight >= Share(row)) continue;
    free[static_cast<size_t>(GroupOf(row))].push_back(&row);
  }

  if (HasHealthy()) {
    free[static_cast<size_t>(Group::kOwnEjected)].clear();
    free[static_cast<size_t>(Group::kOtherEjected)].clear();
  }

  for (const std::vector<Row*>& group : free) {
    if (group.empty()) continue;

    Row* row = Better(group);
    ++row->in_flight;
    return ReservedSlot{row->routed.vm, row->routed.incarnation, row->routed.address};
  }

  return std::nullopt;
}

bool UpstreamTable::HasCandidate(const std::vector<VmId>& excluded) const {
  const bool has_healthy = HasHealthy();

  return std::ranges::any_of(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    return MayTakeNew(row) && !(has_healthy && row.routed.ejected) && row.routed.slot_share > 0 &&
           row.routed.connection_share > 0 && !Contains(excluded, entry.first);
  });
}

void UpstreamTable::Release(const ReservedSlot& slot, const AttemptReport& report) {
  Observe(slot, report);

  const auto found = rows_.find(slot.vm);
  if (found == rows_.end()) return;

  Row& row = found->second;
  --row.in_flight;

  if (row.routed.incarnation == slot.incarnation) Learn(row, report);
  if (IsForgettable(row)) rows_.erase(found);
}

int32_t UpstreamTable::InFlight(const VmId& vm) const {
  const auto found = rows_.find(vm);
  return found == rows_.end() ? 0 : found->second.in_flight;
}

int32_t UpstreamTable::IdleRoom(const VmId& vm) const {
  const auto found = rows_.find(vm);
  if (found == rows_.end() || !found->second.is_present) return 0;

  return std::max(found->second.routed.connection_share - found->second.in_flight, 0);
}

std::optional<Incarnation> UpstreamTable::UsableIncarnation(const VmId& vm) const {
  const auto found = rows_.find(vm);
  if (found == rows_.end() || !MayTakeNew(found->second)) return std::nullopt;

  return found->second.routed.incarnation;
}

std::optional<Millis> UpstreamTable::HighLatency(const VmId& vm) const {
  constexpr double kHighShare = 0.95;
  const auto found = rows_.find(vm);

  if (found == rows_.end() || found->second.recent_latencies.size() < kLatenciesNeeded) {
    return std::nullopt;
  }

  return Percentile(found->second.recent_latencies, kHighShare);
}

std::vector<UpstreamObservation> UpstreamTable::TakeObservations() {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  std::vector<UpstreamObservation> observations;

  for (auto& [key, observed] : observed_) {
    UpstreamObservation counts = observed.counts;
    counts.vm = key.first;
    counts.incarnation = key.second;
    counts.latency_p50 = Percentile(observed.latencies, kMedian);
    counts.latency_p99 = Percentile(std::move(observed.latencies), kTail);
    observations.push_back(std::move(counts));
  }

  observed_.clear();
  return observations;
}

bool UpstreamTable::MayTakeNew(const Row& row) {
  return row.is_present && !row.routed.leaving && !row.said_leaving;
}

bool UpstreamTable::IsForgettable(const Row& row) {
  // One that said it leaves is kept, or a list that lags could bring it back.
  return !row.is_present && row.in_flight == 0 && !row.said_leaving;
}

int32_t UpstreamTable::Share(const Row& row) {
  return row.limit.Allowed(std::min(row.routed.slot_share, row.routed.connection_share));
}

double UpstreamTable::Load(const Row& row) {
  const double use = static_cast<double>(row.in_flight + 1) / std::max(row.routed.slot_share, 1);
  return use * (row.latency + 1.0) * std::max(row.routed.predicted_slowdown, 1.0);
}

UpstreamTable::Group UpstreamTable::GroupOf(const Row& row) const {
  const bool is_own = row.routed.data_centre == own_data_centre_;

  if (row.routed.ejected) return is_own ? Group::kOwnEjected : Group::kOtherEjected;
  return is_own ? Group::kOwn : Group::kOther;
}

bool UpstreamTable::HasHealthy() const {
  return std::ranges::any_of(rows_, [](const auto& entry) {
    return MayTakeNew(entry.second) && !entry.second.routed.ejected;
  });
}

UpstreamTable::Row* UpstreamTable::Better(const std::vector<Row*>& rows) {
  if (rows.size() == 1) return rows.front();

  std::uniform_int_distribution<size_t> first_choice(0, rows.size() - 1);
  std::uniform_int_distribution<size_t> second_choice(0, rows.size() - 2);
  const size_t first = first_choice(random_);
  size_t second = second_choice(random_);
  if (second >= first) ++second;

  Row* better = rows[first];
  Row* other = rows[second];
  if (Load(*other) < Load(*better)) std::swap(better, other);
  if (Load(*other) <= Load(*better) * (1.0 + kAlike)) return rows[first];

  other->latency -= other->latency * kLatencyForgiven;
  return better;
}

void UpstreamTable::Learn(Row& row, const AttemptReport& report) {
  row.said_leaving = row.said_leaving || report.said_leaving;

  if (report.verdict == AttemptVerdict::kTimedOut) row.limit.OnTimeout(row.routed.slot_share);
  if (report.verdict != AttemptVerdict::kAnswered) return;

  const int64_t latency = report.latency.Count();
  row.limit.OnAnswer(report.latency, row.routed.slot_share);
  row.latency += (static_cast<double>(latency) - row.latency) * kLatencyWeight;

  if (row.recent_latencies.size() < kLatenciesKept) {
    row.recent_latencies.push_back(latency);
    return;
  }

  row.recent_latencies[row.next_latency] = latency;
  row.next_latency = (row.next_latency + 1) % kLatenciesKept;
}

void UpstreamTable::Observe(const ReservedSlot& slot, const AttemptReport& report) {
  if (report.verdict == AttemptVerdict::kNotCounted && !report.said_leaving) return;

  Observed& observed = observed_[{slot.vm, slot.incarnation}];
  observed.counts.said_leaving = observed.counts.said_leaving || report.said_leaving;

  switch (report.verdict) {
    case AttemptVerdict::kAnswered:
      ++observed.counts.completed;
      if (observed.latencies.size() < kLatenciesReported) {
        observed.latencies.push_back(report.latency.Count());
      }
      return;
    case AttemptVerdict::kFailed:
    case AttemptVerdict::kTimedOut:
      ++observed.counts.failed;
      return;
    case AttemptVerdict::kRefused:
      ++observed.counts.refused;
      return;
    case AttemptVerdict::kNotCounted:
      return;
  }
}

}  // namespace currantpost

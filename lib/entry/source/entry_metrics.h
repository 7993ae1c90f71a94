#pragma once

#include <prometheus/registry.h>

#include <array>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "currantpost/scheduler/counts.h"
#include "currantpost/scheduler/effects.h"
#include "currantpost/scheduler/events.h"
#include "currantpost/scheduler/state.h"

namespace currantpost {

/// Why a caller's request never reached the scheduler.
enum class Rejection {
  kConfigurationUnknown,
  kUnknownQueue,
  kMalformed,
};

inline constexpr EnumNames kRejectionNames(std::to_array<EnumName<Rejection>>({
    {Rejection::kConfigurationUnknown, "configuration_unknown"},
    {Rejection::kUnknownQueue, "unknown_queue"},
    {Rejection::kMalformed, "malformed"},
}));

/// What an entry counts beside its scheduler.
struct EntryCounts {
  /// By kind of event: how late it was handled, and how long that took with all effects.
  /// @{
  std::array<scheduler::Times, scheduler::kEventKindNames.size()> lateness;
  std::array<scheduler::Times, scheduler::kEventKindNames.size()> turns;
  /// @}
  scheduler::CountsBy<scheduler::CallerOutcome, scheduler::CallerOutcome::kUnavailable> answers;
  scheduler::CountsBy<Rejection, Rejection::kMalformed> rejections;
};

/// The metrics of an entry. Counting happens elsewhere; the counts are copied when they are read.
class EntryMetrics {
 public:
  /// Both arguments must outlive the metrics.
  EntryMetrics(const scheduler::State& state, const EntryCounts& counts);

  /// Returns all metrics in the text format of Prometheus.
  std::string Text();

 private:
  struct CounterRow {
    prometheus::Counter* counter = nullptr;
    std::function<uint64_t()> read;
  };
  struct GaugeRow {
    prometheus::Gauge* gauge = nullptr;
    std::function<double()> read;
  };
  struct HistogramRow {
    prometheus::Histogram* histogram = nullptr;
    std::span<const uint64_t> buckets;
    std::function<Millis()> sum;
    /// What was copied last.
    std::vector<uint64_t> copied_buckets;
    Millis copied_sum;
  };

  template <typename Label, Label kLast, typename Names>
  void AddCounters(const char* name, const char* help, const char* label, const Names& names,
                   const scheduler::CountsBy<Label, kLast>& counts);
  void AddCounter(const char* name, const char* help, std::function<uint64_t()> read);
  void AddGauge(const char* name, const char* help, std::function<double()> read);
  template <const auto& kBounds>
  void AddHistogram(prometheus::Family<prometheus::Histogram>& family,
                    const prometheus::Labels& labels,
                    const scheduler::Durations<kBounds>& durations);
  void AddTurns(const EntryCounts& counts);
  void AddHolds(const scheduler::Counts& counts);
  void AddWaits(const scheduler::Counts& counts);
  void AddStoreCalls(const scheduler::Counts& counts);
  void AddGauges(const scheduler::State& state);

  prometheus::Registry registry_;
  std::vector<CounterRow> counters_;
  std::vector<GaugeRow> gauges_;
  std::vector<HistogramRow> histograms_;
};

}  // namespace currantpost

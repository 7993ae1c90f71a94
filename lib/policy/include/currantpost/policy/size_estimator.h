#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/time.h"
#include "currantpost/model/resources.h"
#include "currantpost/policy/usage_histogram.h"

namespace currantpost {

/// Which of the declared and the learned size is committed.
enum class SizeRule {
  /// As declared; nothing is learned.
  kDeclared,
  /// The larger one in each dimension.
  kLargest,
  /// Learned processors in place of declared ones, also when smaller; the larger memory.
  kLearnedProcessors,
  /// Learned processors and memory in place of declared ones, also when smaller.
  kLearned,
};

inline constexpr EnumNames kSizeRuleNames(std::to_array<EnumName<SizeRule>>({
    {SizeRule::kDeclared, "declared"},
    {SizeRule::kLargest, "largest"},
    {SizeRule::kLearnedProcessors, "learned_processors"},
    {SizeRule::kLearned, "learned"},
}));

/// Settings of a `SizeEstimator`.
struct SizeEstimatorSettings {
  SizeRule rule = SizeRule::kLearnedProcessors;
  /// Share of a kind's samples that its learned size covers.
  /// Processors can be shared and throttled, so the sum over a VM counts; memory cannot.
  double processor_quantile = 0.5;
  double memory_quantile = 0.99;
  /// What learned memory that replaces a larger declared one is multiplied by.
  double memory_margin = 1.1;
  /// A learned size never goes below this share of the declared one.
  double min_share_of_declared = 0.2;
  /// Samples of a kind before what was learned is used.
  int64_t min_samples = 20;
  /// Samples after which a sample counts half.
  double half_life = 500;
  /// Kinds remembered; the one not observed for longest is forgotten first.
  size_t max_kinds = 2'048;
};

/// Learns what tasks of a kind really use and how long they really run.
///
/// Accelerators are committed whole and always as declared.
class SizeEstimator {
 public:
  explicit SizeEstimator(SizeEstimatorSettings settings = {}) : settings_(settings) {}

  /// Takes in the usage of one task, as measured.
  void Observe(std::string_view kind, const Resources& used);

  /// Takes in how long one finished task ran at full speed, all attempts together.
  void ObserveRunTime(std::string_view kind, Millis run_time);

  /// Returns what to commit for a task of the kind before it starts.
  [[nodiscard]] Resources Estimate(std::string_view kind, const Resources& declared) const;

  /// Returns the run time to expect, the median of those seen, or the declared one while unknown.
  [[nodiscard]] Millis EstimateRunTime(std::string_view kind, Millis declared) const;

  /// Returns the number of kinds remembered.
  [[nodiscard]] size_t KindCount() const { return kinds_.size(); }

 private:
  struct Kind {
    explicit Kind(double half_life)
        : millicores(half_life), memory_mib(half_life), run_time(half_life) {}

    UsageHistogram millicores;
    UsageHistogram memory_mib;
    UsageHistogram run_time;
    uint64_t last_observed = 0;
  };

  Kind& FindOrAddKind(std::string_view kind);
  void RemoveOldest();
  [[nodiscard]] int64_t AtLeastFloor(int64_t learned, int64_t declared) const;

  SizeEstimatorSettings settings_;
  std::map<std::string, Kind, std::less<>> kinds_;
  uint64_t observations_ = 0;
};

/// Returns what a running task counts for: what was committed at its start, or its latest measured
/// use where that is larger. Accelerators stay as committed.
Resources CommitmentOf(const Resources& committed_at_start, const Resources& used);

}  // namespace currantpost

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

/// Which of the declared and the learned size to commit.
enum class SizeRule {
  /// The declared size; learned sizes are ignored.
  kDeclared,
  /// The larger of the two in each dimension.
  kLargest,
  /// Learned processors, even if fewer than declared; the larger of the two for memory.
  kLearnedProcessors,
  /// Learned processors and memory, even if less than declared.
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
  /// Quantile of the samples of a kind that is its learned size. Processors can be shared and
  /// throttled, so only the sum over a VM matters; memory cannot.
  double processor_quantile = 0.5;
  double memory_quantile = 0.99;
  /// Factor on learned memory that replaces a larger declared size.
  double memory_margin = 1.1;
  /// Lower bound of a learned size, as a share of the declared size.
  double min_share_of_declared = 0.2;
  /// Samples of a kind needed before its learned size is used.
  int64_t min_samples = 20;
  /// Number of later samples after which the weight of a sample has halved.
  double half_life = 500;
  /// Kinds stored; the least recently observed one is dropped first.
  size_t max_kinds = 2'048;
};

/// Learns the actual use and run time of tasks by kind.
///
/// Accelerators are committed whole and always as declared.
class SizeEstimator {
 public:
  explicit SizeEstimator(SizeEstimatorSettings settings = {}) : settings_(settings) {}

  /// Adds the measured usage of one task.
  void Observe(std::string_view kind, const Resources& used);

  /// Adds the run time of one finished task, at full speed and summed over all attempts.
  void ObserveRunTime(std::string_view kind, Millis run_time);

  /// Returns the resources to commit for a task of the kind at its start.
  [[nodiscard]] Resources Estimate(std::string_view kind, const Resources& declared) const;

  /// Returns the expected run time: the median of the samples, or the declared run time if there
  /// are too few.
  [[nodiscard]] Millis EstimateRunTime(std::string_view kind, Millis declared) const;

  /// Returns the number of kinds stored.
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

/// Returns the commitment of a running task: the size committed at its start, or its latest
/// measured use in the dimensions where that is larger. Accelerators stay as committed.
Resources CommitmentOf(const Resources& committed_at_start, const Resources& used);

}  // namespace currantpost

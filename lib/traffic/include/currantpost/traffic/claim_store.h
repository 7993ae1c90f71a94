#pragma once

#include <string>

#include "currantpost/base/enum_names.h"

namespace currantpost {

/// How an attempt to claim an idempotency key ended.
enum class ClaimOutcome {
  kClaimed,
  /// An earlier submission holds the key.
  kAlreadyClaimed,
  /// The store could not be asked; the key is surely not claimed.
  kUnavailable,
  /// The store did not answer; the key may be claimed.
  kUnknown,
};

inline constexpr EnumNames kClaimOutcomeNames(std::to_array<EnumName<ClaimOutcome>>({
    {ClaimOutcome::kClaimed, "claimed"},
    {ClaimOutcome::kAlreadyClaimed, "already_claimed"},
    {ClaimOutcome::kUnavailable, "unavailable"},
    {ClaimOutcome::kUnknown, "unknown"},
}));

/// Grants each idempotency key at most once across all entries. Usable from any thread.
class ClaimStore {
 public:
  virtual ~ClaimStore() = default;

  /// Claims a key for one submission under a route's prefix.
  virtual ClaimOutcome Claim(const std::string& route, const std::string& key) = 0;

  /// Gives a claim back after a submission that was not run. Returns whether it is surely given
  /// back.
  virtual bool Release(const std::string& route, const std::string& key) = 0;
};

}  // namespace currantpost

#pragma once

#include <atomic>
#include <optional>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/control/control_settings.h"
#include "currantpost/platform/kv_client.h"
#include "currantpost/traffic/claim_store.h"

namespace currantpost {

/// Claims in the platform's key-value service, at "claims/<route hash>/<key hash>".
///
/// A claim is written where there is none, under a change id of its own; a lost answer is settled
/// by reading the claim back. So at most one caller's request gets each claim, over all entries.
class KvClaimStore final : public ClaimStore {
 public:
  /// Gives up after `longest_time`.
  KvClaimStore(const EntryIdentity& identity, KvClient& kv, const Clock& clock,
               Millis longest_time);

  ClaimOutcome Claim(const std::string& route, const std::string& key) override;

  /// Removes a claim of this process. Returns whether the claim is surely gone.
  bool Release(const std::string& route, const std::string& key) override;

 private:
  /// One write, and its settling. Returns nothing if its outcome is still unknown.
  std::optional<ClaimOutcome> TryClaim(const std::string& path, const std::string& value);
  std::optional<ClaimOutcome> ReadBack(const std::string& path, const std::string& value);
  std::optional<bool> TryRelease(const std::string& path);
  [[nodiscard]] std::string ClaimValue();
  [[nodiscard]] bool IsOwn(const std::string& value) const;

  const EntryId entry_;
  const Incarnation incarnation_;
  KvClient& kv_;
  const Clock& clock_;
  const Millis longest_time_;
  std::atomic<uint64_t> next_claim_ = 1;
};

}  // namespace currantpost

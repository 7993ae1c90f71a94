#include "currantpost/daemon/kv_claim_store.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace currantpost {
namespace {

constexpr int kMostTries = 3;

std::string HashText(const std::string& text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());

  return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

std::string PathOf(const std::string& route, const std::string& key) {
  return "claims/" + HashText(route) + "/" + HashText(key);
}

ClaimOutcome OutcomeOf(const KvEntry& present, const std::string& own_value) {
  return present.value == own_value ? ClaimOutcome::kClaimed : ClaimOutcome::kAlreadyClaimed;
}

/// Returns the claim that a reply shows, or null.
const KvEntry* ClaimIn(const KvReply& reply) {
  if (reply.entries.empty() || !reply.entries.front().value) return nullptr;

  return &reply.entries.front();
}

}  // namespace

KvClaimStore::KvClaimStore(const EntryIdentity& identity, KvClient& kv, const Clock& clock,
                           Millis longest_time)
    : entry_(identity.entry),
      incarnation_(identity.incarnation),
      kv_(kv),
      clock_(clock),
      longest_time_(longest_time) {}

ClaimOutcome KvClaimStore::Claim(const std::string& route, const std::string& key) {
  const std::string path = PathOf(route, key);
  const std::string value = ClaimValue();
  const Millis give_up_at = clock_.Now() + longest_time_;

  // Writing the same claim again is idempotent, as it asks for the key to be absent.
  for (int tries = 0; tries < kMostTries; ++tries) {
    const std::optional<ClaimOutcome> outcome = TryClaim(path, value);

    // A write before this one may still take effect, so "unavailable" holds for the first only.
    const bool is_settled = outcome && (tries == 0 || outcome != ClaimOutcome::kUnavailable);
    if (is_settled) return *outcome;

    if (clock_.Now() >= give_up_at) break;
  }

  return ClaimOutcome::kUnknown;
}

bool KvClaimStore::Release(const std::string& route, const std::string& key) {
  const std::string path = PathOf(route, key);
  const Millis give_up_at = clock_.Now() + longest_time_;

  for (int tries = 0; tries < kMostTries; ++tries) {
    const std::optional<bool> released = TryRelease(path);
    if (released) return *released;

    if (clock_.Now() >= give_up_at) break;
  }

  return false;
}

std::optional<ClaimOutcome> KvClaimStore::TryClaim(const std::string& path,
                                                   const std::string& value) {
  const KvReply reply = kv_.Put(path, value, 0);

  switch (reply.status) {
    case KvStatus::kOk:
      return ClaimOutcome::kClaimed;
    case KvStatus::kUnavailable:
      return ClaimOutcome::kUnavailable;
    case KvStatus::kConflict:
      if (const KvEntry* present = ClaimIn(reply)) return OutcomeOf(*present, value);
      return ReadBack(path, value);
    case KvStatus::kUnknown:
    case KvStatus::kMalformed:
      return ReadBack(path, value);
  }

  return std::nullopt;
}

std::optional<ClaimOutcome> KvClaimStore::ReadBack(const std::string& path,
                                                   const std::string& value) {
  const KvReply reply = kv_.Get(path);
  if (reply.status != KvStatus::kOk) return std::nullopt;

  const KvEntry* present = ClaimIn(reply);
  if (present == nullptr) return std::nullopt;

  return OutcomeOf(*present, value);
}

std::optional<bool> KvClaimStore::TryRelease(const std::string& path) {
  const KvReply read = kv_.Get(path);
  if (read.status != KvStatus::kOk) return std::nullopt;

  const KvEntry* present = ClaimIn(read);
  if (present == nullptr) return true;
  if (!IsOwn(*present->value)) return false;

  const KvReply removed = kv_.Delete(path, present->revision);
  if (removed.status == KvStatus::kOk) return true;

  return std::nullopt;
}

std::string KvClaimStore::ClaimValue() {
  const std::string number = std::to_string(next_claim_.fetch_add(1));
  const nlohmann::json value = {
      {"entry", entry_.Text()},
      {"incarnation", incarnation_},
      {"change_id", entry_.Text() + "." + std::to_string(incarnation_) + ".q" + number},
  };

  return value.dump();
}

bool KvClaimStore::IsOwn(const std::string& value) const {
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_object()) return false;

  return json.value("entry", nlohmann::json()) == entry_.Text() &&
         json.value("incarnation", nlohmann::json()) == incarnation_;
}

}  // namespace currantpost

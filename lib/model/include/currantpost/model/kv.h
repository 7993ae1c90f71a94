#pragma once

#include <optional>
#include <string>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/ids.h"

namespace currantpost {

/// Outcome of a call to the platform's key-value service.
enum class KvStatus {
  /// The call took effect.
  kOk,
  /// The key's revision was not the expected one; nothing was changed.
  kConflict,
  /// The call did not reach the service; nothing was changed.
  kUnavailable,
  /// The call was sent but not answered; it may have taken effect or may still do so.
  kUnknown,
  /// The answer was malformed; treated like an unknown outcome.
  kMalformed,
};

inline constexpr EnumNames kKvStatusNames(std::to_array<EnumName<KvStatus>>({
    {KvStatus::kOk, "ok"},
    {KvStatus::kConflict, "conflict"},
    {KvStatus::kUnavailable, "unavailable"},
    {KvStatus::kUnknown, "unknown"},
    {KvStatus::kMalformed, "malformed"},
}));

/// One key with its value. A watch reports a removed key without a value.
struct KvEntry {
  std::string key;
  std::optional<std::string> value;
  /// Revision of the write that made this value; unique and increasing across the whole service.
  KvRevision revision = 0;
};

/// The answer to any call.
struct KvReply {
  KvStatus status = KvStatus::kUnknown;
  /// Entries read; on a conflict, the current entry, if there is one.
  std::vector<KvEntry> entries;
  /// Revision of the service when it answered: the revision of the write, or the one to continue a
  /// watch from.
  KvRevision revision = 0;
};

}  // namespace currantpost

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace currantpost {

/// A string identifier with a type of its own, so that ids of different kinds cannot be mixed up.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  /// Returns the id as text.
  [[nodiscard]] const std::string& Text() const { return value_; }

  /// Returns whether the id is empty.
  [[nodiscard]] bool Empty() const { return value_.empty(); }

  auto operator<=>(const Id&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const Id& id) {
    return Hash::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

/// Identifies a VM: a worker, an upstream or an entry VM.
using VmId = Id<struct VmTag>;
/// Identifies an entry, the currantpost process on an entry VM.
using EntryId = Id<struct EntryTag>;
/// Identifies a rack of one data centre.
using RackId = Id<struct RackTag>;
/// Identifies a data centre.
using DataCentreId = Id<struct DataCentreTag>;
/// Identifies a job within its data centre.
using JobId = Id<struct JobTag>;
/// Identifies a team that has a quota.
using TeamId = Id<struct TeamTag>;

/// Distinguishes restarts of the same VM or process; a later incarnation has a larger number.
using Incarnation = uint64_t;
/// Fencing token of a rack's owner; increases with each grant.
using Epoch = int64_t;
/// Matches an effect with the event that answers it. Unique within one process.
using RequestId = uint64_t;
/// Revision of a key in the platform's key-value service; 0 means that the key is absent.
using KvRevision = int64_t;

}  // namespace currantpost

template <typename Tag>
struct std::hash<currantpost::Id<Tag>> {
  size_t operator()(const currantpost::Id<Tag>& id) const {
    return std::hash<std::string>()(id.Text());
  }
};

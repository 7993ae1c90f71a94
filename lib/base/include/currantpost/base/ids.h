#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace currantpost {

/// A name that cannot be mistaken for a name of another kind.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  /// Returns the name as text.
  [[nodiscard]] const std::string& Text() const { return value_; }

  /// Says whether the name is missing.
  [[nodiscard]] bool Empty() const { return value_.empty(); }

  auto operator<=>(const Id&) const = default;

  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const Id& id) {
    return Hash::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

/// Names a VM: a worker, an upstream or an entry VM.
using VmId = Id<struct VmTag>;
/// Names an entry, the process of currantpost on an entry VM.
using EntryId = Id<struct EntryTag>;
/// Names a rack of one data centre.
using RackId = Id<struct RackTag>;
/// Names a data centre.
using DataCentreId = Id<struct DataCentreTag>;
/// Names a job within its data centre.
using JobId = Id<struct JobTag>;
/// Names a team that has a quota.
using TeamId = Id<struct TeamTag>;

/// Tells two lives of the same VM or process apart; a later life has a larger number.
using Incarnation = uint64_t;
/// Fencing token of a rack's owner; rises with each grant.
using Epoch = int64_t;
/// Ties an effect to the event that answers it. Unique within one process.
using RequestId = uint64_t;
/// Version of a key in the platform's key-value service; 0 stands for an absent key.
using KvRevision = int64_t;

}  // namespace currantpost

template <typename Tag>
struct std::hash<currantpost::Id<Tag>> {
  size_t operator()(const currantpost::Id<Tag>& id) const {
    return std::hash<std::string>()(id.Text());
  }
};

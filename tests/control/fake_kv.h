#pragma once

#include <map>
#include <string>
#include <variant>

#include "currantpost/control/effects.h"
#include "currantpost/model/kv.h"

namespace currantpost {

/// The platform's key-value service, in memory. Every call is atomic.
class FakeKv {
 public:
  /// Carries a call out.
  KvReply Apply(const KvCall& call);

  /// Returns the keys under a prefix that changed after a revision.
  [[nodiscard]] KvReply ChangesAfter(const std::string& prefix, KvRevision after) const;

  /// Returns the value of a key, or nothing.
  [[nodiscard]] std::optional<std::string> Value(const std::string& key) const;

  /// Returns all keys under a prefix with their values.
  [[nodiscard]] std::map<std::string, std::string> Values(const std::string& prefix) const;

 private:
  struct Item {
    std::optional<std::string> value;
    KvRevision revision = 0;
  };

  KvReply Get(const KvGet& get) const;
  KvReply List(const KvList& list) const;
  KvReply Change(const std::string& key, std::optional<std::string> value, KvRevision expected);

  std::map<std::string, Item> items_;
  KvRevision revision_ = 0;
};

}  // namespace currantpost

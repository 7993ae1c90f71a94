#pragma once

#include <map>
#include <string>
#include <variant>

#include "currantpost/control/effects.h"
#include "currantpost/model/kv.h"

namespace currantpost {

/// In-memory fake of the platform's key-value service. Every call is atomic.
class FakeKv {
 public:
  /// Executes a call and returns its reply.
  KvReply Apply(const KvCall& call);

  /// Returns the keys under a prefix that changed after a revision, deleted ones without a value.
  [[nodiscard]] KvReply ChangesAfter(const std::string& prefix, KvRevision after) const;

  /// Returns the value of a key, or nullopt if the key does not exist.
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

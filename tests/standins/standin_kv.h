#pragma once

#include <map>
#include <mutex>
#include <string>

#include "currantpost/model/kv.h"
#include "faulty_service.h"

namespace currantpost::standins {

/// The platform's key-value service: compare-and-swap, one rising revision, lists and watches.
class StandinKv {
 public:
  StandinKv();
  ~StandinKv() { service_.Stop(); }

  int Start(int port = 0) { return service_.Start(port); }
  FaultyService& Service() { return service_; }

  /// The calls themselves, without faults, for an outside observer.
  /// @{
  KvReply Get(const std::string& key) const;
  KvReply List(const std::string& prefix) const;
  KvReply Put(const std::string& key, const std::string& value, KvRevision expected);
  KvReply Delete(const std::string& key, KvRevision expected);
  KvReply Watch(const std::string& prefix, KvRevision after, Millis timeout);
  /// @}

 private:
  KvReply Write(const std::string& key, std::optional<std::string> value, KvRevision expected);
  KvReply Changes(const std::string& prefix, KvRevision after) const;

  mutable std::mutex mutex_;
  /// Holds removed keys too, without a value, so that watches can tell of them.
  std::map<std::string, KvEntry> entries_;
  KvRevision revision_ = 0;
  FaultyService service_;
};

}  // namespace currantpost::standins

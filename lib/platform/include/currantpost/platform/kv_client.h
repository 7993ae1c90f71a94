#pragma once

#include <memory>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/model/kv.h"
#include "currantpost/model/vm.h"

namespace currantpost {

class HttpChannel;

/// The platform's key-value service. A call is made once and never repeated by the client.
class KvClient {
 public:
  virtual ~KvClient() = default;

  /// Reads one key; no entry if it is absent.
  virtual KvReply Get(const std::string& key) = 0;

  /// Reads all keys under a prefix, with the service's revision.
  virtual KvReply List(const std::string& prefix) = 0;

  /// Writes a key if its revision is `expected`; 0 asks that the key be absent.
  virtual KvReply Put(const std::string& key, const std::string& value, KvRevision expected) = 0;

  /// Removes a key if its revision is `expected`.
  virtual KvReply Delete(const std::string& key, KvRevision expected) = 0;

  /// Waits until a key under a prefix changes after a revision. `kOk` without entries once
  /// `timeout` is over.
  virtual KvReply Watch(const std::string& prefix, KvRevision after, Millis timeout) = 0;
};

/// The key-value service over HTTP and JSON. Usable from many threads at a time; each call in
/// progress has a connection of its own, and idle ones are used again.
class HttpKvClient final : public KvClient {
 public:
  /// `call_timeout` bounds each call, and is added to the time that a watch waits.
  HttpKvClient(Address address, Millis call_timeout);
  ~HttpKvClient() override;

  KvReply Get(const std::string& key) override;
  KvReply List(const std::string& prefix) override;
  KvReply Put(const std::string& key, const std::string& value, KvRevision expected) override;
  KvReply Delete(const std::string& key, KvRevision expected) override;
  KvReply Watch(const std::string& prefix, KvRevision after, Millis timeout) override;

 private:
  std::unique_ptr<HttpChannel> channel_;
  Millis call_timeout_;
};

}  // namespace currantpost

#pragma once

#include <memory>
#include <string>

#include "currantpost/base/time.h"
#include "currantpost/model/kv.h"
#include "currantpost/model/vm.h"

namespace currantpost {

class HttpChannel;

/// Client of the platform's key-value service. Makes each call once; never retries.
class KvClient {
 public:
  virtual ~KvClient() = default;

  /// Reads one key. The reply has no entry if the key is absent.
  virtual KvReply Get(const std::string& key) = 0;

  /// Reads all keys under a prefix, and the service's revision.
  virtual KvReply List(const std::string& prefix) = 0;

  /// Writes a key if its revision is `expected`; 0 requires that the key is absent.
  virtual KvReply Put(const std::string& key, const std::string& value, KvRevision expected) = 0;

  /// Removes a key if its revision is `expected`.
  virtual KvReply Delete(const std::string& key, KvRevision expected) = 0;

  /// Waits until a key under a prefix changes after a revision. Returns `kOk` without entries when
  /// `timeout` expires.
  virtual KvReply Watch(const std::string& prefix, KvRevision after, Millis timeout) = 0;
};

/// Calls the key-value service with JSON over HTTP. Thread-safe; each call in flight has its own
/// connection, and idle connections are reused.
class HttpKvClient final : public KvClient {
 public:
  /// `call_timeout` limits each call. For a watch, it is added to the time that the watch waits.
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

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "fault_server.h"

namespace currantpost::standins {

/// The switches that every stand-in has.
struct ServiceFaults {
  /// Answers that nothing was done, status 503.
  bool down = false;
  /// Closes each connection without doing or answering anything.
  bool dead = false;
  /// Reads requests and neither does nor answers anything.
  bool silent = false;
  /// Time that each call waits before it takes effect.
  Millis slow;
  /// The next calls wait longer, so that their effect comes late.
  int32_t delay_next = 0;
  Millis delay;
  /// How many of the next answers go wrong, by kind.
  std::map<AnswerFault, int32_t> next;
};

/// What a stand-in's service says of itself.
struct ServiceOptions {
  /// Header that says on an answer that nothing was done.
  std::string not_done_header;
  int64_t most_connections = 1'024;
};

/// An HTTP service with faults, call counts and an interface for the tests under "/admin/".
class FaultyService {
 public:
  using Handler = std::function<void(const httplib::Request&, httplib::Response&)>;

  explicit FaultyService(ServiceOptions options);

  /// Serves a path (a regular expression) for a method. The faults apply.
  void Serve(const std::string& method, const std::string& path, Handler handler);

  /// Serves a path of the tests' own interface. No fault applies.
  void ServeAdmin(const std::string& method, const std::string& path, Handler handler);

  /// Starts on a port, any free one for 0. Returns the port, or -1 if it is taken.
  int Start(int port) { return server_.Start(port); }
  void Stop() { server_.Stop(); }

  FaultServer& Server() { return server_; }

  /// Replaces all faults.
  void SetFaults(const ServiceFaults& faults);
  /// Makes the next answers fail in one way, and leaves all else.
  void FailNext(AnswerFault fault, int32_t count);

  /// Returns how often each path was called, with faults or without.
  std::map<std::string, int64_t> Counts() const;

 private:
  void Register(const std::string& method, const std::string& path, const Handler& handler);
  void Handle(const httplib::Request& request, httplib::Response& response, const Handler& handler);
  bool RefuseOrWait(httplib::Response& response);
  void SpoilAnswer(httplib::Response& response);
  AnswerFault NextFault();
  void ServeFaultsAdmin();

  const ServiceOptions options_;
  FaultServer server_;
  mutable std::mutex mutex_;
  ServiceFaults faults_;
  std::map<std::string, int64_t> counts_;
};

/// Changes the faults that the JSON names and leaves the others.
void ReadFaults(const nlohmann::json& json, ServiceFaults& faults);

/// Answers with JSON.
void AnswerJson(httplib::Response& response, int status, const nlohmann::json& body);

}  // namespace currantpost::standins

#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "currantpost/traffic/traffic_server.h"

namespace currantpost {

/// Claims in memory, with the failures that a test sets.
class FakeClaimStore final : public ClaimStore {
 public:
  ClaimOutcome Claim(const std::string& route, const std::string& key) override;
  bool Release(const std::string& route, const std::string& key) override;

  /// Answers every claim with a failure from now on.
  void Fail(ClaimOutcome failure) { failure_ = failure; }

  /// Makes every claim take this long from now on.
  void Delay(Millis delay) { delay_ = delay.Count(); }

  [[nodiscard]] size_t Held() const;

 private:
  mutable std::mutex mutex_;
  std::set<std::pair<std::string, std::string>> held_;
  ClaimOutcome failure_ = ClaimOutcome::kClaimed;
  std::atomic<int64_t> delay_ = 0;
};

/// An entry's traffic part on a port of 127.0.0.1.
class Entry {
 public:
  static TrafficSettings Settings();

  explicit Entry(TrafficSettings settings = Settings());

  /// Publishes upstreams under one route, "/".
  void Route(std::vector<RoutedUpstream> upstreams, Millis timeout = Millis(5'000));

  /// Publishes a whole snapshot.
  void Route(RoutingSnapshot snapshot);

  /// Sends a request as a caller.
  [[nodiscard]] httplib::Result Send(const std::string& method, const std::string& target,
                                     const httplib::Headers& headers = {},
                                     const std::string& body = {}) const;

  /// Sends plain text and returns all that comes back until the connection ends.
  [[nodiscard]] std::string SendRaw(const std::string& text) const;

  /// Opens a caller's connection.
  [[nodiscard]] int Connect() const;

  TrafficServer& Server() { return *server_; }
  FakeClaimStore& Claims() { return claims_; }
  [[nodiscard]] int Port() const { return port_; }

  /// Returns what was seen of an upstream since the last call.
  UpstreamObservation Observed(const std::string& name);

 private:
  MonotonicClock clock_;
  FakeClaimStore claims_;
  std::unique_ptr<TrafficServer> server_;
  int port_ = 0;
};

/// Returns the outcome that an answer tells.
std::string OutcomeOf(const httplib::Result& result);

/// Returns the error that an answer's body tells.
std::string ErrorOf(const httplib::Result& result);

}  // namespace currantpost

#pragma once

#include <string>
#include <vector>

#include "currantpost/transport/http_client.h"
#include "entry_fleet.h"

namespace currantpost::soak {

/// Asks the entries whether they are ready, as the balancer does, and keeps their rotation.
class ReadinessProber {
 public:
  ReadinessProber(EventLoop& loop, const Clock& clock, EntryFleet& fleet);

  /// Returns the address of an entry in rotation; if fewer than half are, of any entry.
  [[nodiscard]] Address ChooseEntry(Random& random) const;
  /// Returns whether the last probes of all entries that are not removed found them ready.
  [[nodiscard]] bool AllReady() const;
  /// Returns the names of the entries that are not.
  [[nodiscard]] std::string NotReady() const;

 private:
  void Probe();

  EventLoop& loop_;
  EntryFleet& fleet_;
  HttpClient http_;
  /// Probes that each entry has missed in succession.
  std::vector<int> misses_;
};

}  // namespace currantpost::soak

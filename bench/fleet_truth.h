#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/model/resources.h"

/// What a run of the fleet model is given, and what is hidden from the policies under test.

namespace currantpost::bench {

/// How a user weighs the measures; the three add up to 1.
struct ScoreWeights {
  double tail_latency = 0.0;
  double throughput = 0.0;
  double evictions = 0.0;
};

/// Size of one user's fleet.
struct UserProfile {
  std::string name;
  int32_t data_centres = 0;
  int32_t workers = 0;
  int32_t workers_per_rack = 0;
  Resources capacity;
  std::vector<std::string> services;
  /// Requests that one worker handles at a time, and those that may wait beside them.
  int32_t slots = 8;
  int32_t connections = 64;
  ScoreWeights weights;
};

/// Hinokage: 48 workers of 32 cores and 125 GB in three data centres.
UserProfile Hinokage();

/// Tepalcate: 48 workers of 64 cores and 250 GB in four data centres.
UserProfile Tepalcate();

/// One run.
struct Scenario {
  UserProfile user;
  uint64_t seed = 0;
  /// Lost workers and racks, workers that fail all they start, jobs that never run, lagging
  /// reports.
  bool faults = false;
  int32_t seconds = 3'000;
  /// Seconds at the start that are not counted.
  int32_t warm_up_seconds = 300;
};

/// A kind of batch as it is, and as it is declared.
struct BatchKindTruth {
  std::string name;
  Resources used;
  double run_seconds = 0.0;
  Resources declared;
  Millis declared_run_time;
  /// Factor on the processors used while a wave lasts.
  double wave_factor = 1.0;
};

/// Everything about a run that no policy is told.
struct FleetTruth {
  std::vector<BatchKindTruth> kinds;
  /// Slowdown that a whole VM of a batch kind adds to a service: [service][kind].
  std::vector<std::vector<double>> interference;
};

/// Draws the hidden truth of a run.
FleetTruth DrawTruth(const UserProfile& user, std::mt19937_64& generator);

/// Share of a worker's processors and memory committed to its service.
inline constexpr double kServiceShare = 0.3;

}  // namespace currantpost::bench

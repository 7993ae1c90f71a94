#pragma once

#include <string>

#include "running_fleet.h"

namespace currantpost::testing_support {

/// A batch job that a test brings in and follows to its end.
struct BatchJob {
  std::string name;
  int tasks = 0;
  Millis run_time;
};

/// Submits a job once and returns the answer.
Answer Submit(const Address& operators, const BatchJob& job);

/// Submits a job until it is accepted, as racks may not be owned yet. Says whether it was.
bool SubmitUntilAccepted(const Address& operators, const BatchJob& job);

/// Waits until workers run tasks of the job. Says whether they do in time.
bool AwaitRunning(const Fleet& fleet, const BatchJob& job);

/// Waits until the job is told complete, then checks by the workers' own records that each task
/// finished once, that none ran in two places at once and that no VM was committed beyond what it
/// holds.
void ExpectFinishesOnce(const Fleet& fleet, const Address& operators, const BatchJob& job);

}  // namespace currantpost::testing_support

#pragma once

#include "internal.h"

/// Declarations shared by the handlers of callers' requests.

namespace currantpost::scheduler {

/// Time after which a submission or cancellation that the store has not confirmed is answered as
/// unknown, so that the caller retries. Below the usual caller timeout of 3 s.
inline constexpr Millis kSettleTimeout = Millis(2'500);

void Answer(Effects& effects, RequestId call, CallerOutcome outcome);
void AnswerAll(Effects& effects, const std::vector<RequestId>& calls, CallerOutcome outcome);

/// Returns whether this entry's copy of the records has the job.
bool IsKnown(const State& state, const JobId& id);

void HandleJobStatus(State& state, Effects& effects, const CallerRequested& asked,
                     const JobStatusRequested& body);
void HandleCancel(State& state, Effects& effects, const CallerRequested& asked,
                  const JobCancelled& body);
void UpdateCancels(State& state, Effects& effects);

/// Returns whether one more job may be withdrawn now.
bool MayWithdraw(const State& state);

/// Asks the store for a record that no submission of an absent job gets past. Returns the request.
RequestId SendWithdrawal(State& state, Effects& effects, const JobId& id);

/// Removes the withdrawal records that no submission in flight can meet any more, as the
/// coordinator.
void RemoveWithdrawals(State& state, Effects& effects);
void HandleWithdrawalsRemoved(State& state, Effects& effects, const WithdrawalsRemoved& removed,
                              const StoreReply& reply);

}  // namespace currantpost::scheduler

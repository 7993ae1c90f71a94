#include "poll_schedule.h"

#include <algorithm>

namespace currantpost::scheduler {
namespace {

/// A poll is repeated once its reply is overdue by this fraction of what is then left of the lease,
/// so that several repeats fit whatever is left.
constexpr int64_t kRepeatFraction = 5;
/// Minimum interval between repeats. Replies take a few milliseconds.
constexpr Millis kMinRepeatDelay = Millis(200);
/// Maximum number of polls of a worker in flight. Repeats would delay an owner further that handles
/// replies late.
constexpr size_t kMaxPollsInFlight = 3;
/// The same before the worker has answered under the grant: a new owner polls all workers with runs
/// at once.
constexpr size_t kMaxFirstPollsInFlight = 2;
/// What must be left of a lease when the reply to its renewal is due: time for four repeats.
constexpr Millis kRenewalReserve = Millis(1'500);
/// The same of the lease of a worker that may leave at any moment: time for two repeats. As much is
/// added as handling the replies takes, as a multiple of what one takes.
constexpr Millis kDepartureRenewalReserve = Millis(450);
constexpr int64_t kReplyDelayFactor = 3;
/// Minimum wait of a renewal at a worker whose lease cannot be extended any further. Without it,
/// each reply would be followed by the next poll at once.
constexpr Millis kMinRenewalWait = Millis(100);
constexpr Millis kMaxFailedPollBackoff = Millis(1'000);

/// Returns how long the reply to a poll that is expected at a time may be overdue before the poll
/// is repeated.
Millis RepeatDelay(const WorkerState& worker, Millis expected_at) {
  const int64_t left = (worker.lease.earliest - expected_at).Count();
  return std::clamp(Millis(left / (kRepeatFraction + 1)), kMinRepeatDelay, kOrderTimeout);
}

/// Returns whether runs on the worker may still be saved by a renewal. At most the lease ends that
/// this owner has granted already can be confirmed by a late reply.
bool IsLeaseAtStake(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  return state.now < worker.lease.own && NeedsLease(state, cell, worker);
}

/// Returns whether the worker has neither answered the first polls under the grant nor failed to.
bool AwaitsFirstReply(const WorkerState& worker) {
  return !worker.contacted && worker.failed_polls == 0 && MayHaveRuns(worker);
}

/// Returns whether the worker has answered a later poll than this one, which is still in flight.
bool IsSuperseded(const WorkerState& worker, const PollInFlight& poll) {
  return worker.failed_polls == 0 && poll.sequence <= worker.settled_polls;
}

}  // namespace

std::optional<Millis> NextPollTime(const State& state, const OwnedCell& cell,
                                   const WorkerState& worker) {
  const FencingToken token = TokenOf(cell, worker);
  const PollInFlight* newest = nullptr;
  size_t in_flight = 0;

  for (const PollInFlight& poll : worker.polls) {
    if (poll.token != token) continue;

    ++in_flight;
    if (IsSuperseded(worker, poll)) continue;
    if (newest == nullptr || poll.sequence > newest->sequence) newest = &poll;
  }

  if (newest == nullptr && in_flight < kMaxPollsInFlight) return worker.next_poll;

  const bool is_first = AwaitsFirstReply(worker);
  if (in_flight >= (is_first ? kMaxFirstPollsInFlight : kMaxPollsInFlight)) return std::nullopt;
  if (!is_first && !IsLeaseAtStake(state, cell, worker)) return std::nullopt;

  const Millis expected_at = newest->sent_at + newest->wait;
  return std::max(worker.next_poll, expected_at + RepeatDelay(worker, expected_at));
}

std::optional<LeaseGrant> GrantOfNextPoll(const State& state, const OwnedCell& cell,
                                          const WorkerState& worker) {
  if (!NeedsLease(state, cell, worker)) return std::nullopt;

  // Repeating an end that was granted before cannot extend the bound on the lease. New ends would:
  // the tasks of a worker that is lost would never start elsewhere.
  if (worker.unanswered_grant) {
    const bool may_repeat = !cell.maybe_released && cell.release_request == 0;
    return may_repeat ? worker.unanswered_grant : std::nullopt;
  }

  if (worker.failed_polls > 0 || !HasAnsweredRecently(state, worker)) return std::nullopt;

  return NextLeaseGrant(state, cell, worker);
}

bool IsRepeat(const OwnedCell& cell, const WorkerState& worker) {
  if (worker.failed_polls > 0 || worker.unanswered_grant) return true;

  const FencingToken token = TokenOf(cell, worker);
  return std::ranges::any_of(worker.polls, [&](const PollInFlight& poll) {
    return poll.token == token && !IsSuperseded(worker, poll);
  });
}

Millis MaxRenewalWait(const State& state, const WorkerState& worker) {
  const Millis left = worker.lease.earliest - state.now;
  // The first renewal is to be confirmed at once.
  if (left <= Millis(0)) return Millis(0);

  const Millis reserve =
      worker.info.draining
          ? std::min(kDepartureRenewalReserve + worker.reply_delay * kReplyDelayFactor,
                     kRenewalReserve)
          : kRenewalReserve;
  return std::max(left - reserve, kMinRenewalWait);
}

Millis PauseAfterFailedPoll(const State& state, const OwnedCell& cell, const WorkerState& worker) {
  const Millis backoff = std::min(kFailedPollBackoff * worker.failed_polls, kMaxFailedPollBackoff);
  if (!IsLeaseAtStake(state, cell, worker)) return backoff;

  return std::min(backoff, RepeatDelay(worker, state.now));
}

}  // namespace currantpost::scheduler

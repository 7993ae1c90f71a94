#include "callers.h"

/// Records of jobs that callers withdrew before they were stored. The store may carry out a write
/// long after it should have answered it, so the answer that there is no such job is true only if
/// such a write of a submission finds a record that rejects it.

namespace currantpost::scheduler {
namespace {

/// Longest time after which the store carries out a write that it has not answered. It promises
/// seconds.
constexpr Millis kMaxWriteDelay = Millis(10'000);
/// Time for which a withdrawal is kept: a submission that was sent before may reach an entry late,
/// is written again until it is answered as unknown, and its last write may be carried out late.
constexpr Millis kWithdrawalLife = kMaxRequestDelay + kSettleTimeout + kMaxWriteDelay;
/// Maximum number of withdrawals at a time. All entries keep a copy of them.
constexpr size_t kMaxWithdrawals = 5'000;
/// Maximum number of withdrawals removed per write. Each has a condition, and the store accepts 32
/// rows.
constexpr size_t kMaxWithdrawalsPerRemoval = 15;
/// Interval between two searches for withdrawals to remove.
constexpr Millis kRemovalInterval = Millis(1'000);

}  // namespace

bool MayWithdraw(const State& state) { return state.view.withdrawn.size() < kMaxWithdrawals; }

RequestId SendWithdrawal(State& state, Effects& effects, const JobId& id) {
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{JobKey(id), 0});
  write.puts.push_back(RecordPut{WithdrawnKey(id), "{}", 0});
  return CallStore(state, effects, CancelAnswered{id}, std::move(write));
}

void RemoveWithdrawals(State& state, Effects& effects) {
  if (state.view.withdrawn.empty() || state.withdrawal_removal != 0) return;
  if (state.now < state.next_withdrawal_removal || !IsCoordinator(state)) return;

  state.next_withdrawal_removal = state.now + kRemovalInterval;
  WriteRecords write;
  WithdrawalsRemoved removed;

  for (const auto& [id, job] : state.view.withdrawn) {
    if (state.now - job.seen_at < kWithdrawalLife) continue;

    write.expected.push_back(ExpectedRecord{WithdrawnKey(id), job.revision});
    write.removals.push_back(WithdrawnKey(id));
    removed.jobs.push_back(id);
    if (removed.jobs.size() >= kMaxWithdrawalsPerRemoval) break;
  }

  if (removed.jobs.empty()) return;

  state.withdrawal_removal = CallStore(state, effects, std::move(removed), std::move(write));
}

void HandleWithdrawalsRemoved(State& state, Effects& effects, const WithdrawalsRemoved& removed,
                              const StoreReply& reply) {
  state.withdrawal_removal = 0;

  for (const StoreItem& item : reply.items) {
    // The job was withdrawn again meanwhile, or another entry has removed the record.
    ApplyRecord(state, effects, item);
    if (item.removed) state.view.withdrawn.erase(JobId(item.key.substr(kWithdrawnPrefix.size())));
  }
  if (reply.status != StoreStatus::kOk) return;

  for (const JobId& id : removed.jobs) {
    ApplyRecord(state, effects,
                StoreItem{.key = WithdrawnKey(id), .revision = reply.revision, .removed = true});
  }

  state.next_withdrawal_removal = state.now;
}

}  // namespace currantpost::scheduler

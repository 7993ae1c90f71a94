#include <xxhash.h>

#include "internal.h"

/// Witnesses of outages of the store. docs/design/platform.md explains what they prove.

namespace currantpost::scheduler {
namespace {

/// Number of witnesses of an owner. All of them have to confirm an outage, and one that is left can
/// deny it.
constexpr size_t kWitnesses = 3;
/// An entry that the store has not answered for this long misses it: longer than a renewal interval
/// and the reply of a slow store.
constexpr Millis kMissedAfter = Millis(1'400);
/// Time that the store has for the answer to a renewal before it is missed.
constexpr Millis kMinAnswerTime = Millis(400);
/// How long a confirmation counts from its question.
constexpr Millis kConfirmationTime = Millis(1'000);
constexpr Millis kQuestionInterval = Millis(300);
/// Interval between choices of the witnesses.
constexpr Millis kChoiceInterval = Millis(250);
/// Interval between questions of a new owner to the witnesses of the former one.
constexpr Millis kDenialQuestionInterval = Millis(500);
/// How long a witness remembers its confirmations, and confirms nothing after a denial. Longer than
/// any lease that a former owner may renew.
constexpr Millis kMemory = Millis(15'000);

EntryInstance SelfInstance(const State& state) {
  return EntryInstance{state.settings.entry, state.settings.incarnation};
}

/// Returns whether the store has not answered for long. An answer that waits unread counts, and an
/// entry that has just returned has to ask first.
bool MissesStore(const State& state) {
  if (!state.store_answered_at) return true;

  const Millis answered_at = *state.store_answered_at;
  const Millis asked_at = state.lease.unanswered_since;
  const bool has_asked = asked_at > answered_at && state.handled_up_to - asked_at >= kMinAnswerTime;
  return has_asked && state.handled_up_to - answered_at >= kMissedAfter;
}

/// Returns the witnesses that the record of a cell names or may name.
std::map<EntryInstance, Address> NeededWitnesses(const HandOverState& hand_over) {
  std::map<EntryInstance, Address> witnesses = hand_over.recorded_witnesses;
  witnesses.insert(hand_over.maybe_recorded_witnesses.begin(),
                   hand_over.maybe_recorded_witnesses.end());
  return witnesses;
}

/// Promises to confirm no outage to an entry. Returns false if that comes too late.
bool Deny(State& state, const EntryInstance& owner) {
  const auto confirmed = state.outage.last_confirmation.find(owner);
  const bool has_confirmed =
      confirmed != state.outage.last_confirmation.end() && state.now - confirmed->second < kMemory;
  if (has_confirmed) return false;

  std::erase_if(state.outage.denied_until,
                [&](const auto& row) { return row.second <= state.now; });
  state.outage.denied_until[owner] = state.now + kMemory;
  return true;
}

/// Shortens the waits for leases that a former owner left, once it is proved that its own lease has
/// ended at the store, and that it renews leases for a short time only after that.
void ApplyProof(const State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  if (!hand_over.denied || !hand_over.former_lease_ended_at) return;

  hand_over.default_expiry = std::min(
      hand_over.default_expiry, *hand_over.former_lease_ended_at +
                                    MaxLeaseDuration(kStoreLeaseTtl + kUnconfirmedRenewalPeriod));
  ShortenWaits(state, effects, cell, "a witness of the former owner has confirmed no outage to it");
}

/// Ends the lease of a former owner at the store. The store may have removed the owner's keys
/// without ending the lease, which then could still be renewed.
void EndFormerLease(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  if (hand_over.former_lease_ended_at || hand_over.lease_end_request != 0) return;
  if (hand_over.former.lease == 0) return;

  // The former owner may have lost only this cell.
  const auto entry = state.view.entries.find(hand_over.former.owner);
  if (entry != state.view.entries.end() && entry->second.lease == hand_over.former.lease) return;

  if (state.now < hand_over.lease_end_at) {
    WakeAt(state, hand_over.lease_end_at);
    return;
  }

  hand_over.lease_end_request = CallStore(state, effects, FormerLeaseEnded{cell.cell, cell.grant},
                                          RevokeLease{hand_over.former.lease});
}

/// Returns the entries that have to confirm an outage to this one: some of its data centre, or of
/// all others if it is the only one there.
std::map<EntryInstance, Address> ChooseWitnesses(const State& state) {
  using Rank = std::pair<bool, uint64_t>;
  std::vector<std::pair<Rank, EntryId>> ranked;
  bool any_local = false;

  for (const auto& [id, entry] : state.view.entries) {
    if (id == state.settings.entry) continue;

    const std::string text = state.settings.entry.Text() + "/" + id.Text();
    const bool elsewhere = entry.record.data_centre != state.settings.data_centre;
    any_local = any_local || !elsewhere;
    ranked.emplace_back(Rank{elsewhere, XXH64(text.data(), text.size(), 0)}, id);
  }

  std::ranges::sort(ranked);
  std::map<EntryInstance, Address> witnesses;

  for (const auto& [rank, id] : ranked) {
    if (witnesses.size() == kWitnesses || (any_local && rank.first)) break;

    const EntryRecord& record = state.view.entries.at(id).record;
    witnesses[EntryInstance{id, record.incarnation}] = record.peer_address;
  }

  return witnesses;
}

/// Asks the witnesses for confirmations while this entry misses the store.
void AskWitnesses(State& state, Effects& effects) {
  if (!MissesStore(state)) return;

  if (state.now < state.outage.next_question) {
    WakeAt(state, state.outage.next_question);
    return;
  }

  std::map<EntryInstance, Address> witnesses;

  for (const auto& [id, cell] : state.cells) {
    if (cell.hand_over.written) witnesses.merge(NeededWitnesses(cell.hand_over));
  }

  if (witnesses.empty()) return;

  state.outage.next_question = state.now + kQuestionInterval;
  WakeAt(state, state.outage.next_question);
  std::erase_if(state.outage.confirmed_at,
                [&](const auto& row) { return state.now - row.second > kConfirmationTime; });

  for (const auto& [witness, address] : witnesses) {
    const OutageQuestion question{.owner = SelfInstance(state),
                                  .witness_incarnation = witness.incarnation,
                                  .asked_at = state.now,
                                  .reply_to = state.settings.peer_address};
    PushMessage(effects, address, kOutageQuestionPrefix, witness.entry.Text(), Encode(question));
  }
}

}  // namespace

bool IsOutageConfirmed(const State& state, const OwnedCell& cell) {
  // Asked for each renewal, and nobody confirms anything while the store answers.
  if (state.outage.confirmed_at.empty()) return false;

  const std::map<EntryInstance, Address> witnesses = NeededWitnesses(cell.hand_over);
  if (witnesses.empty()) return false;

  return std::ranges::all_of(witnesses, [&](const auto& row) {
    const auto confirmed = state.outage.confirmed_at.find(row.first);
    return confirmed != state.outage.confirmed_at.end() &&
           state.now - confirmed->second < kConfirmationTime;
  });
}

void UpdateWitnesses(State& state, Effects& effects) {
  if (state.now >= state.outage.choose_at) {
    state.outage.choose_at = state.now + kChoiceInterval;
    state.outage.witnesses = ChooseWitnesses(state);
  }

  AskWitnesses(state, effects);
}

void ApplyOutageQuestion(State& state, Effects& effects, const EntryId& witness,
                         const StoreItem& item) {
  const Result<OutageQuestion> question = DecodeOutageQuestion(item.value);
  if (!question) return LogUnreadable(effects, item, question.error());

  const bool is_asked = witness == state.settings.entry &&
                        question->witness_incarnation == state.settings.incarnation;
  if (!is_asked || !MissesStore(state)) return;

  OutageState& outage = state.outage;
  const auto denied = outage.denied_until.find(question->owner);
  if (denied != outage.denied_until.end() && state.now < denied->second) return;

  std::erase_if(outage.last_confirmation,
                [&](const auto& row) { return state.now - row.second >= kMemory; });
  outage.last_confirmation[question->owner] = state.now;
  const OutageConfirmation confirmation{.owner = question->owner,
                                        .witness_incarnation = question->witness_incarnation,
                                        .asked_at = question->asked_at};
  PushMessage(effects, question->reply_to, kOutageConfirmationPrefix, witness.Text(),
              Encode(confirmation));
}

void ApplyOutageConfirmation(State& state, Effects& effects, const EntryId& witness,
                             const StoreItem& item) {
  const Result<OutageConfirmation> confirmation = DecodeOutageConfirmation(item.value);
  if (!confirmation) return LogUnreadable(effects, item, confirmation.error());
  if (confirmation->owner != SelfInstance(state) || confirmation->asked_at > state.now) return;

  const EntryInstance instance{witness, confirmation->witness_incarnation};
  const auto [known, added] = state.outage.confirmed_at.emplace(instance, confirmation->asked_at);
  if (!added) known->second = std::max(known->second, confirmation->asked_at);
}

void AskForDenial(State& state, Effects& effects, OwnedCell& cell) {
  HandOverState& hand_over = cell.hand_over;
  const HandOverRecord& former = hand_over.former;
  if (!former.witnesses || !AwaitsFormerLeases(state, cell)) return;

  EndFormerLease(state, effects, cell);
  if (hand_over.denied) return;

  const EntryInstance owner{former.owner, former.incarnation};
  const bool is_witness = former.witnesses->contains(SelfInstance(state));

  if (former.witnesses->empty() || (is_witness && Deny(state, owner))) {
    hand_over.denied = true;
    return ApplyProof(state, effects, cell);
  }

  if (state.now < hand_over.next_denial_question) {
    WakeAt(state, hand_over.next_denial_question);
    return;
  }

  hand_over.next_denial_question = state.now + kDenialQuestionInterval;

  for (const auto& [witness, address] : *former.witnesses) {
    if (witness.entry == state.settings.entry) continue;

    const DenialQuestion question{.former_owner = owner,
                                  .former_grant = former.grant,
                                  .witness_incarnation = witness.incarnation,
                                  .reply_to = state.settings.peer_address};
    PushMessage(effects, address, kDenialQuestionPrefix, cell.cell.Text(), Encode(question));
  }
}

void ApplyDenialQuestion(State& state, Effects& effects, const CellId& cell,
                         const StoreItem& item) {
  const Result<DenialQuestion> question = DecodeDenialQuestion(item.value);
  if (!question) return LogUnreadable(effects, item, question.error());
  if (question->witness_incarnation != state.settings.incarnation) return;
  if (!Deny(state, question->former_owner)) return;

  const Denial denial{.former_grant = question->former_grant};
  PushMessage(effects, question->reply_to, kDenialPrefix, cell.Text(), Encode(denial));
}

void ApplyDenialAnswer(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const Result<Denial> denial = DecodeDenial(item.value);
  if (!denial) return LogUnreadable(effects, item, denial.error());

  const auto cell = state.cells.find(id);
  if (cell == state.cells.end()) return;

  const HandOverRecord& former = cell->second.hand_over.former;
  if (former.owner.Empty() || former.grant != denial->former_grant) return;

  cell->second.hand_over.denied = true;
  ApplyProof(state, effects, cell->second);
}

void HandleFormerLeaseEnded(State& state, Effects& effects, const FormerLeaseEnded& ended,
                            const StoreReply& reply) {
  OwnedCell* cell = FindCell(state, ended.cell, ended.grant);
  if (cell == nullptr) return;

  cell->hand_over.lease_end_request = 0;
  cell->hand_over.lease_end_at = state.now + kStoreRetryDelay;
  if (reply.status != StoreStatus::kOk && reply.status != StoreStatus::kNotFound) return;

  cell->hand_over.former_lease_ended_at = state.now;
  ApplyProof(state, effects, *cell);
}

}  // namespace currantpost::scheduler

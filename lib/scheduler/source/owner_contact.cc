#include "owner_contact.h"

namespace currantpost::scheduler {
namespace {

/// Limits of the pause after a request without a reply. A slow owner takes twice its reply time at
/// least, and one that does not reply at all has to be asked again within the time that a
/// long-running task may wait.
constexpr Millis kMinOwnerPause = Millis(300);
constexpr Millis kMaxOwnerPause = Millis(1'000);
constexpr int64_t kPauseFactor = 2;

Millis PauseOf(const OwnerContact& contact) {
  return std::clamp(contact.reply_time * kPauseFactor, kMinOwnerPause, kMaxOwnerPause);
}

/// Returns the owner of a cell, empty if there is none.
EntryId OwnerOf(const State& state, const CellId& cell) {
  const auto view = state.view.cells.find(cell);
  return view == state.view.cells.end() ? EntryId() : view->second.record.owner;
}

}  // namespace

bool CanReachOwner(const State& state, const CellId& cell) {
  if (state.cells.contains(cell)) return true;

  const auto view = state.view.cells.find(cell);
  if (view == state.view.cells.end()) return false;

  const EntryId& owner = view->second.record.owner;
  return owner != state.settings.entry && state.view.entries.contains(owner);
}

bool IsOwnerPaused(const State& state, const CellId& cell) {
  const auto contact = state.owner_contacts.find(cell);
  return contact != state.owner_contacts.end() && state.now < contact->second.paused_until &&
         !state.cells.contains(cell) && contact->second.owner == OwnerOf(state, cell);
}

std::optional<Millis> ReplyTimeOf(const State& state, const CellId& cell) {
  const auto found = state.owner_contacts.find(cell);
  if (found == state.owner_contacts.end()) return std::nullopt;

  const OwnerContact& contact = found->second;
  if (contact.unanswered_since || contact.owner != OwnerOf(state, cell)) return std::nullopt;

  return contact.reply_time;
}

void NoteOwnerAsked(State& state, const CellId& cell) {
  const auto found = state.owner_contacts.find(cell);
  if (found == state.owner_contacts.end()) return;

  OwnerContact& contact = found->second;
  const bool is_slow = contact.reply_time > kReplyTimeout;
  if (is_slow && contact.owner == OwnerOf(state, cell)) {
    contact.paused_until = state.now + PauseOf(contact);
  }
}

void NoteOwnerSilent(State& state, const CellId& cell, Millis asked_at) {
  // Requests that were under way together have one pause.
  if (IsOwnerPaused(state, cell)) return;

  const EntryId owner = OwnerOf(state, cell);
  OwnerContact& contact = state.owner_contacts[cell];
  if (contact.owner != owner) contact = OwnerContact{.owner = owner};
  // A reply that has come since says more than a request that is older.
  if (!contact.unanswered_since) contact.unanswered_since = asked_at;

  contact.reply_time = std::max(contact.reply_time, state.now - *contact.unanswered_since);
  contact.paused_until = state.now + PauseOf(contact);
}

void NoteOwnerReplied(State& state, const CellId& cell, Millis asked_at) {
  const auto contact = state.owner_contacts.find(cell);
  if (contact == state.owner_contacts.end()) return;

  contact->second.unanswered_since.reset();
  contact->second.paused_until = Millis(0);
  const bool is_measured = asked_at > Millis(0) && asked_at <= state.now;
  if (is_measured) contact->second.reply_time = state.now - asked_at;
}

}  // namespace currantpost::scheduler

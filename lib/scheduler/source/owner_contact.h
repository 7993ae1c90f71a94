#pragma once

#include "internal.h"

/// Pauses of requests for capacity to owners that do not reply. A pause follows from the measured
/// reply time of that owner.

namespace currantpost::scheduler {

/// How long a reply is awaited before another cell is asked. Peers reply within milliseconds, and
/// those that are short of processor time in tens of milliseconds.
inline constexpr Millis kReplyTimeout = Millis(150);

/// Returns whether a request for a cell has somebody to reply to it: this entry, or an owner whose
/// address is known.
bool CanReachOwner(const State& state, const CellId& cell);

/// Returns whether the owner of a cell is not asked now because it has not replied.
bool IsOwnerPaused(const State& state, const CellId& cell);

/// Returns how long the owner of a cell took to reply last. Empty if that is not known, or if it
/// has not replied since it was asked again.
std::optional<Millis> ReplyTimeOf(const State& state, const CellId& cell);

/// Notes a request that is sent now. An owner that replies late is asked one at a time.
void NoteOwnerAsked(State& state, const CellId& cell);

/// Notes a request that had no reply in time.
void NoteOwnerSilent(State& state, const CellId& cell, Millis asked_at);

/// Notes a reply, however late and whichever job it is for.
void NoteOwnerReplied(State& state, const CellId& cell, Millis asked_at);

}  // namespace currantpost::scheduler

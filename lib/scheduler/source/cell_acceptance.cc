#include "cell_acceptance.h"

#include <utility>

/// Acceptance of cells that other entries offer. An owner keeps the runs of a cell alive only once
/// it has read their progress, so an entry reads it before it accepts the cell: if that takes too
/// long now, it would also do so afterwards.

namespace currantpost::scheduler {
namespace {

/// Minimum interval between two acceptances, so that an entry that returns does not get all cells
/// of its data centre together.
constexpr Millis kAcceptancePause = Millis(200);
/// Longest time that the read of the progress may take. Shorter than the owner waits for the reply,
/// and than the leases of the cell's workers.
constexpr Millis kMaxReadTime = Millis(1'500);

bool MayAccept(const State& state) {
  const bool opening =
      std::ranges::any_of(state.cells, [](const auto& row) { return !row.second.open; });
  return HoldsLease(state) && state.lease.registered && !state.stopping && IsCaughtUp(state) &&
         !opening && state.now >= state.next_acceptance;
}

void SendReply(Effects& effects, const CellId& cell, const TransferOffer& offer,
               TransferReply reply) {
  reply.grant = offer.grant;
  reply.number = offer.number;
  PushMessage(effects, offer.reply_to, kTransferReplyPrefix, cell.Text(), Encode(reply));
}

void Accept(State& state, Effects& effects, const CellId& cell, const TransferOffer& offer) {
  state.next_acceptance = state.now + kAcceptancePause;
  SendReply(effects, cell, offer, TransferReply{.lease = state.lease.lease});
}

void ReadPage(State& state, Effects& effects, const CellOffer& offered) {
  const std::string prefix = std::string(kProgressPrefix) + offered.cell.Text() + "/";
  CallStore(state, effects,
            OfferedProgressListed{offered.cell, offered.offer.grant, offered.offer.number},
            ListRecords{prefix, offered.read_up_to}, kMaxReadTime);
}

bool IsExpired(const State& state, const CellOffer& offered) {
  return state.now - offered.received_at > kMaxReadTime;
}

}  // namespace

void ApplyTransferOffer(State& state, Effects& effects, const CellId& cell, const StoreItem& item) {
  const Result<TransferOffer> offer = DecodeTransferOffer(item.value);
  if (!offer) return LogUnreadable(effects, item, offer.error());
  if (offer->successor_incarnation != state.settings.incarnation) return;

  const bool reading = state.offered && !IsExpired(state, *state.offered);
  if (!MayAccept(state) || reading) return SendReply(effects, cell, *offer, {});

  // An owner that stops cannot keep the cell until this entry has read its progress.
  if (offer->stopping) return Accept(state, effects, cell, *offer);

  state.offered = CellOffer{.cell = cell, .offer = *offer, .received_at = state.now};
  ReadPage(state, effects, *state.offered);
}

void HandleOfferedProgressListed(State& state, Effects& effects,
                                 const OfferedProgressListed& listed, const StoreReply& reply) {
  if (!state.offered || state.offered->cell != listed.cell) return;

  const TransferOffer& offer = state.offered->offer;
  if (offer.grant != listed.grant || offer.number != listed.number) return;

  const bool failed = reply.status != StoreStatus::kOk || IsExpired(state, *state.offered);

  if (!failed && reply.truncated && !reply.items.empty()) {
    state.offered->read_up_to = reply.items.back().key;
    ReadPage(state, effects, *state.offered);
    return;
  }

  const CellOffer read = *std::exchange(state.offered, std::nullopt);

  if (!failed && MayAccept(state)) {
    Accept(state, effects, read.cell, read.offer);
  } else {
    SendReply(effects, read.cell, read.offer, TransferReply{.read_too_long = failed});
  }
}

}  // namespace currantpost::scheduler

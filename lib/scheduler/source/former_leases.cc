#include "former_leases.h"

namespace currantpost::scheduler {

Millis Remaining(Millis expiry, Millis now) { return std::max(expiry - now, Millis(0)); }

void AddLease(HandOverRecord& record, const VmId& id, Millis expiry, Millis now) {
  record.leases[id] = Remaining(expiry, now);
}

std::map<VmId, Address> KnownAddresses(const OwnedCell& cell) {
  std::map<VmId, Address> addresses;

  for (const auto& [id, worker] : cell.workers) {
    if (worker.info.address.port != 0) addresses[id] = worker.info.address;
  }

  return addresses;
}

HandOverRecord FormerLeases(const State& state, const CellId& cell, KvRevision grant) {
  HandOverRecord record{.grant = grant};
  const auto former = state.former_cells.find(std::make_pair(cell, grant));
  if (former == state.former_cells.end()) return record;

  for (const auto& [id, expiry] : former->second.expiries) {
    if (expiry > state.now) AddLease(record, id, expiry, state.now);
  }

  return record;
}

HandOverRecord RemainingLeases(const State& state, const OwnedCell& cell) {
  HandOverRecord record{.grant = cell.grant, .addresses = KnownAddresses(cell)};

  for (const auto& [id, worker] : cell.workers) {
    if (worker.lease.Expiry() > state.now) AddLease(record, id, worker.lease.Expiry(), state.now);
  }

  return record;
}

void RememberFormerLeases(State& state, const OwnedCell& cell) {
  std::erase_if(state.former_cells, [&](const auto& row) {
    return std::ranges::all_of(row.second.expiries,
                               [&](const auto& lease) { return lease.second <= state.now; });
  });

  // Nothing was sent to a worker before they were polled, and no record was written.
  if (!cell.polled_since) return;

  FormerCell& former = state.former_cells[{cell.cell, cell.grant}];
  for (const auto& [id, worker] : cell.workers) former.expiries[id] = worker.lease.Expiry();
}

void ReportFormerLeases(State& state, Effects& effects, const CellId& cell) {
  const std::optional<Address> owner = OwnerAddress(state, cell);
  if (!owner) return;

  for (const auto& [key, former] : state.former_cells) {
    if (key.first != cell) continue;

    PushMessage(effects, *owner, kHandOverAnswerPrefix, cell.Text(),
                Encode(FormerLeases(state, cell, key.second)));
  }
}

void ApplyHandOverQuestion(State& state, Effects& effects, const CellId& cell,
                           const StoreItem& item) {
  const Result<HandOverQuestion> question = DecodeHandOverQuestion(item.value);
  if (!question) return LogUnreadable(effects, item, question.error());
  if (question->incarnation != state.settings.incarnation) return;

  const auto own = state.cells.find(cell);

  if (own != state.cells.end() && own->second.grant == question->grant) {
    if (question->current_grant <= question->grant) return;

    DropCell(state, effects, cell, "the next owner asked for the remaining leases");
  }

  PushMessage(effects, question->reply_to, kHandOverAnswerPrefix, cell.Text(),
              Encode(FormerLeases(state, cell, question->grant)));
}

}  // namespace currantpost::scheduler

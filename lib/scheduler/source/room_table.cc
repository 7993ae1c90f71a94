#include "currantpost/scheduler/room_table.h"

#include <algorithm>
#include <utility>

namespace currantpost::scheduler {
namespace {

/// Time after which demand sent to a cell is no longer subtracted from its free capacity. A cell
/// whose load has hardly changed makes no new report.
constexpr Millis kMaxUnreportedTime = Millis(1'500);
/// Maximum number of images with known shares per service. Far more than wait at a time.
constexpr size_t kMaxImages = 1'000;

RoomRow RowOf(const CellId& cell, const ServiceLoad& load) {
  int64_t long_running = 0;
  for (const auto& [image, millicores] : load.long_running_by_image) long_running += millicores;

  return RoomRow{.cell = cell,
                 .capacity = load.capacity,
                 .free = load.free,
                 .waiting = load.waiting,
                 .largest_free = load.largest_free,
                 .largest_long_running = load.largest_long_running,
                 .free_best_effort = load.free_best_effort,
                 .waiting_best_effort = load.waiting_best_effort,
                 .waiting_interrupted = load.waiting_interrupted,
                 .long_running = long_running,
                 .interrupted_waits = {},
                 .sent = {}};
}

/// Returns the tasks that a report names. Those of the former report keep their pauses.
std::vector<ReportedWait> WaitsOf(const ServiceLoad& load, std::vector<ReportedWait> former,
                                  Millis now) {
  std::vector<ReportedWait> waits;

  for (const InterruptedWait& task : load.interrupted_waits) {
    const auto known = std::ranges::find_if(former, [&](const ReportedWait& each) {
      return each.task.name == task.name && each.task.job == task.job;
    });
    const bool is_known = known != former.end();
    waits.push_back(ReportedWait{.task = task,
                                 .absent_since = now - task.absent,
                                 .offer_pause = is_known ? known->offer_pause : DoublingPause()});
    if (is_known) former.erase(known);
  }

  return waits;
}

}  // namespace

SentDemand RoomRow::UnreportedDemand(Millis now) const {
  return now - sent.sent_at < kMaxUnreportedTime ? sent : SentDemand{};
}

std::optional<double>& ServiceRooms::ShareOf(std::string_view image, size_t row) const {
  auto found = shares_.find(image);

  if (found == shares_.end()) {
    if (shares_.size() >= kMaxImages) shares_.clear();
    found = shares_.try_emplace(std::string(image), rows_.size()).first;
  }

  return found->second[row];
}

std::vector<RoomRow>::iterator ServiceRooms::LowerBound(const CellId& cell) {
  return std::ranges::lower_bound(rows_, cell, {}, &RoomRow::cell);
}

RoomRow* ServiceRooms::Find(const CellId& cell) {
  const auto row = LowerBound(cell);
  return row == rows_.end() || row->cell != cell ? nullptr : &*row;
}

void ServiceRooms::Put(const CellId& cell, const ServiceLoad& load, Millis now) {
  auto row = LowerBound(cell);
  std::vector<ReportedWait> former;

  if (row == rows_.end() || row->cell != cell) {
    row = rows_.insert(row, RowOf(cell, load));
    shares_.clear();
  } else {
    former = std::move(row->interrupted_waits);
    *row = RowOf(cell, load);
    const auto number = static_cast<size_t>(row - rows_.begin());
    for (auto& [image, shares] : shares_) shares[number].reset();
  }

  row->interrupted_waits = WaitsOf(load, std::move(former), now);
  UpdateSums();
}

void ServiceRooms::Remove(const CellId& cell) {
  const auto row = LowerBound(cell);
  if (row == rows_.end() || row->cell != cell) return;

  rows_.erase(row);
  shares_.clear();
  UpdateSums();
}

void ServiceRooms::UpdateSums() {
  maxima_ = {};
  totals_ = {};

  for (const RoomRow& row : rows_) {
    maxima_.free = std::max(maxima_.free, row.free);
    maxima_.largest_free = std::max(maxima_.largest_free, row.largest_free);
    maxima_.largest_long_running = std::max(maxima_.largest_long_running, row.largest_long_running);
    maxima_.best_effort =
        std::max(maxima_.best_effort, row.free_best_effort - row.waiting_best_effort);
    totals_.capacity += row.capacity;
    totals_.long_running += row.long_running;
    totals_.waiting_interrupted += row.waiting_interrupted;
    totals_.interrupted_waits += row.interrupted_waits.size();
  }
}

void RoomTable::SetReport(const CellId& cell, const LoadRecord& report, Millis now) {
  for (auto& [service, rooms] : services_) {
    if (!report.services.contains(service)) rooms.Remove(cell);
  }

  for (const auto& [service, load] : report.services) services_[service].Put(cell, load, now);
}

void RoomTable::RemoveReport(const CellId& cell) {
  for (auto& [service, rooms] : services_) rooms.Remove(cell);
}

void RoomTable::SetReply(const CellId& cell, const std::string& service, const ServiceLoad& load) {
  const auto rooms = services_.find(service);
  RoomRow* row = rooms == services_.end() ? nullptr : rooms->second.Find(cell);
  if (row == nullptr) return;

  std::vector<ReportedWait> waits = std::move(row->interrupted_waits);
  *row = RowOf(cell, load);
  row->interrupted_waits = std::move(waits);
  rooms->second.UpdateSums();
  ClearSentDemand(cell);
}

void RoomTable::VisitOfferable(const CellId& cell, const JobId& job, Millis now,
                               const std::function<void(ReportedWait&)>& visit) {
  for (auto& [service, rooms] : services_) {
    RoomRow* row = rooms.Find(cell);
    if (row == nullptr) continue;

    const auto wait = std::ranges::find_if(row->interrupted_waits, [&](const ReportedWait& each) {
      return each.task.job == job && each.offer_pause.until <= now;
    });
    if (wait != row->interrupted_waits.end()) visit(*wait);
  }
}

void RoomTable::DeferOffers(const CellId& cell, const JobId& job, Millis now, Millis first,
                            int32_t max_doublings) {
  VisitOfferable(cell, job, now,
                 [&](ReportedWait& wait) { wait.offer_pause.Extend(now, first, max_doublings); });
}

void RoomTable::NoteOfferUsed(const CellId& cell, const JobId& job, Millis now, Millis until) {
  VisitOfferable(cell, job, now, [&](ReportedWait& wait) { wait.offer_pause.until = until; });

  for (auto& [service, rooms] : services_) {
    RoomRow* row = rooms.Find(cell);
    if (row == nullptr) continue;

    for (ReportedWait& wait : row->interrupted_waits) {
      if (wait.task.job == job) wait.offer_pause.extensions = 0;
    }
  }
}

void RoomTable::AddSentDemand(const CellId& cell, int64_t reserved, int64_t best_effort,
                              Millis now) {
  for (auto& [service, rooms] : services_) {
    RoomRow* row = rooms.Find(cell);
    if (row == nullptr) continue;

    row->sent = row->UnreportedDemand(now);
    row->sent.reserved += reserved;
    row->sent.best_effort += best_effort;
    row->sent.sent_at = now;
  }
}

void RoomTable::ClearSentDemand(const CellId& cell) {
  for (auto& [service, rooms] : services_) {
    if (RoomRow* row = rooms.Find(cell)) row->sent = {};
  }
}

bool RoomTable::HasInterruptedWaits() const {
  return std::ranges::any_of(
      services_, [](const auto& row) { return row.second.Totals().interrupted_waits > 0; });
}

const ServiceRooms* RoomTable::Find(std::string_view service) const {
  const auto rooms = services_.find(service);
  return rooms == services_.end() ? nullptr : &rooms->second;
}

}  // namespace currantpost::scheduler

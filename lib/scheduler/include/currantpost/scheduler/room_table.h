#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/time.h"
#include "currantpost/scheduler/doubling_pause.h"
#include "currantpost/scheduler/records.h"

/// Free capacity of all cells by service, for the choice of cells. It is updated with each load
/// report and reply, as there are far fewer of them than searches for capacity.

namespace currantpost::scheduler {

/// Demand sent to a cell since its last load report, in thousandths of a core.
struct SentDemand {
  int64_t reserved = 0;
  int64_t best_effort = 0;
  /// When demand was last added.
  Millis sent_at;
};

/// An interrupted task that waits in a cell, by the cell's last report.
struct ReportedWait {
  InterruptedWait task;
  /// Since when it is without a run, by this entry's clock. Later than in truth by the time that
  /// the report took.
  Millis absent_since;
  /// It is offered no worker meanwhile. Doubles with each offer that it does not come for.
  DoublingPause offer_pause;
};

/// What a cell last reported for a service, in thousandths of a core, see `ServiceLoad`.
struct RoomRow {
  CellId cell;
  int64_t capacity = 0;
  int64_t free = 0;
  int64_t waiting = 0;
  int64_t largest_free = 0;
  int64_t largest_long_running = 0;
  int64_t free_best_effort = 0;
  int64_t waiting_best_effort = 0;
  int64_t waiting_interrupted = 0;
  /// Reservations of long-running tasks.
  int64_t long_running = 0;
  std::vector<ReportedWait> interrupted_waits;
  SentDemand sent;

  /// Returns the demand sent to the cell that its report may not contain yet.
  [[nodiscard]] SentDemand UnreportedDemand(Millis now) const;

  /// Returns the free capacity without the unreported demand.
  [[nodiscard]] int64_t Free(Millis now) const { return free - UnreportedDemand(now).reserved; }

  /// Returns the free capacity without the demand that waits in the cell and the unreported demand.
  [[nodiscard]] int64_t FreeAfterWaiting(Millis now) const { return Free(now) - waiting; }

  /// Returns the same for best-effort tasks if they slow down no other task. A lesser share of the
  /// free capacity counts for images that do.
  [[nodiscard]] int64_t MaxBestEffort(Millis now) const {
    return free_best_effort - waiting_best_effort - UnreportedDemand(now).best_effort;
  }
};

/// Upper bounds on what any cell reports for a service. A task that needs more fits nowhere.
struct RoomMaxima {
  int64_t free = 0;
  int64_t largest_free = 0;
  int64_t largest_long_running = 0;
  /// Free capacity for best-effort tasks without the demand that waits.
  int64_t best_effort = 0;
};

/// What all cells report for a service together, in thousandths of a core.
struct RoomTotals {
  int64_t capacity = 0;
  int64_t long_running = 0;
  int64_t waiting_interrupted = 0;
  /// Number of the interrupted tasks that they name.
  size_t interrupted_waits = 0;
};

/// The free capacity of all cells for one service.
class ServiceRooms {
 public:
  /// Returns the cells that report workers of the service, in ascending order.
  [[nodiscard]] std::span<const RoomRow> Rows() const { return rows_; }
  [[nodiscard]] const RoomMaxima& Maxima() const { return maxima_; }
  [[nodiscard]] const RoomTotals& Totals() const { return totals_; }

  /// Returns the share of a cell's capacity that best-effort work of an image can use. Empty until
  /// it is set, and again after each load report of the cell.
  [[nodiscard]] std::optional<double>& ShareOf(std::string_view image, size_t row) const;

 private:
  friend class RoomTable;

  /// Returns the row of a cell, or the place for it.
  [[nodiscard]] std::vector<RoomRow>::iterator LowerBound(const CellId& cell);
  [[nodiscard]] RoomRow* Find(const CellId& cell);
  void Put(const CellId& cell, const ServiceLoad& load, Millis now);
  void Remove(const CellId& cell);
  void UpdateSums();

  std::vector<RoomRow> rows_;
  RoomMaxima maxima_;
  RoomTotals totals_;
  /// By image, then by row. Computed when a search first needs them.
  mutable std::map<std::string, std::vector<std::optional<double>>, std::less<>> shares_;
};

/// The free capacity of all cells for each service.
class RoomTable {
 public:
  /// Replaces what is known of a cell by its load report.
  void SetReport(const CellId& cell, const LoadRecord& report, Millis now);

  /// Removes a cell that has no load report any more.
  void RemoveReport(const CellId& cell);

  /// Replaces the free capacity of a cell by what its owner has just replied.
  void SetReply(const CellId& cell, const std::string& service, const ServiceLoad& load);

  /// Extends the pause of the first interrupted task of a job in a cell's report that may be
  /// offered a worker.
  void DeferOffers(const CellId& cell, const JobId& job, Millis now, Millis first,
                   int32_t max_doublings);

  /// Notes that the first such task has come for a worker. It is offered none before a time.
  void NoteOfferUsed(const CellId& cell, const JobId& job, Millis now, Millis until);

  /// Counts demand that was sent to a cell, until its next load report or reply.
  void AddSentDemand(const CellId& cell, int64_t reserved, int64_t best_effort, Millis now);

  /// Returns whether some cell reports an interrupted task that waits.
  [[nodiscard]] bool HasInterruptedWaits() const;

  /// Returns the free capacity for a service, or null if no cell has ever reported workers of it.
  [[nodiscard]] const ServiceRooms* Find(std::string_view service) const;

 private:
  /// Calls a function for the first interrupted task of a job in a cell's report that may be
  /// offered a worker, of each service.
  void VisitOfferable(const CellId& cell, const JobId& job, Millis now,
                      const std::function<void(ReportedWait&)>& visit);
  void ClearSentDemand(const CellId& cell);

  std::map<std::string, ServiceRooms, std::less<>> services_;
};

}  // namespace currantpost::scheduler

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "world.h"

namespace currantpost::scheduler {

/// Compares start orders to workers, and the runs there, with the requests of callers.
class OrderAudit {
 public:
  using Fail = std::function<void(const std::string& check, const std::string& text)>;

  OrderAudit(World& world, Fail fail);

  /// Records the answer to a caller.
  void RecordAnswer(const ObservedAnswer& observed);

  /// Checks the runs at all workers, and cancel requests that have not been answered.
  void Check();

  /// Number of start orders, of those with a checkpoint, and of starts of jobs whose cancellation
  /// had been acknowledged before.
  int64_t orders = 0;
  int64_t resumes = 0;
  int64_t starts_after_cancel = 0;

 private:
  struct StartedRun {
    std::string entry;
    Millis started_at;
    std::string text;
    bool delayed = false;
  };

  void CheckContent(const ObservedStart& start);
  void CheckTime(const ObservedStart& start);
  void CheckRun(const std::string& worker, const TaskName& name);
  void TreatUnansweredAsAcknowledged();
  [[nodiscard]] std::string Describe(const ObservedStart& start) const;

  World& world_;
  Fail fail_;
  std::map<JobId, Millis> accepted_at_;
  std::map<JobId, Millis> acknowledged_at_;
  /// The last start of a task at a worker.
  std::map<std::pair<std::string, TaskName>, StartedRun> started_runs_;
  std::set<std::tuple<std::string, TaskName, Millis>> reported_;
};

}  // namespace currantpost::scheduler

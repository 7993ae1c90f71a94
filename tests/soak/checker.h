#pragma once

#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "currantpost/base/time.h"
#include "job_plan.h"
#include "observer.h"

namespace currantpost::soak {

/// A broken promise.
struct Finding {
  Millis at;
  std::string promise;
  std::string detail;
};

/// What the checker has seen, so that a run that tests nothing shows.
struct CheckCounts {
  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  int cancelled = 0;
  int completed = 0;
  int starts = 0;
  int lapsed = 0;
};

/// Checks the promises, from what callers and workers see. Bounds count from the last fault.
class Checker final : public WorkerObserver, public CallerObserver {
 public:
  /// Writes all that it sees to a log.
  Checker(const Clock& clock, const JobBook& jobs, const std::string& log_path);

  /// Writes a line to the log.
  void Note(const std::string& line);

  /// Brackets each fault. Faults may overlap.
  /// @{
  void OnFaultBegins();
  void OnFaultEnds();
  /// @}

  void OnStart(const RunKey& run, bool held_up, bool over_capacity) override;
  void OnEnd(const RunKey& run, const std::string& how) override;
  void OnNoted(const RunKey& run, const std::string& how, bool lapsed) override;
  void OnWorkerGone(const std::string& worker, int64_t life) override;
  void OnOrder(const std::string& worker, int64_t life, int64_t token) override;

  void OnSubmitSent(const JobPlan& job) override;
  void OnSubmitAnswer(const std::string& job, int status) override;
  void OnCancelSent(const std::string& job) override;
  void OnCancelAnswer(const std::string& job, int status) override;
  void OnState(const std::string& job, int status, const std::string& state) override;

  /// Returns since when no fault was under way, nothing while there is one.
  [[nodiscard]] std::optional<Millis> CalmSince() const;

  /// Checks what is due by now.
  void Tick();
  /// Returns whether each accepted job is shown as completed, but for cancelled and long-running
  /// ones, and each cancelled job's tasks are gone.
  [[nodiscard]] bool AllSettled() const;
  /// Reports what isn't settled, and jobs that were refused and started.
  void Finish();

  void Report(const std::string& promise, const std::string& detail);
  [[nodiscard]] const std::vector<Finding>& findings() const { return findings_; }
  [[nodiscard]] const CheckCounts& counts() const { return counts_; }

 private:
  struct JobRecord {
    int sent = 0;
    int refused = 0;
    bool started = false;
    std::optional<Millis> accepted_at;
    bool cancel_sent = false;
    std::optional<Millis> cancelled_at;
    std::optional<Millis> completed_at;
    std::string last_answer = "none";
  };

  struct DoneEnd {
    RunKey run;
    std::optional<Millis> noted_at;
    /// A later start, if there was one.
    std::string started_again;
  };

  struct TaskRecord {
    /// The runs that are under way and when they started; the flag says that an order came late.
    std::map<RunKey, std::pair<Millis, bool>> running;
    std::vector<DoneEnd> done;
    std::optional<Millis> last_ended_at;
    bool reported = false;
  };

  /// Returns whether machines are in touch: it was calm for the contact time.
  [[nodiscard]] bool InTouch() const;
  void CheckStart(const RunKey& run, const TaskRecord& record, bool held_up);
  void CheckOrder(const RunKey& run);
  void CheckCancelledJob(const std::string& job, const JobRecord& record, Millis calm_since);
  void CheckLongRunningJob(const JobPlan& plan, const JobRecord& record, Millis calm_since);
  [[nodiscard]] bool IsSettled(const std::string& job, const JobRecord& record) const;

  const Clock& clock_;
  const JobBook& jobs_;
  const Millis began_at_;
  int faults_ = 0;
  Millis calm_since_;
  std::ofstream log_;
  std::map<std::string, JobRecord> jobs_seen_;
  std::map<TaskKey, TaskRecord> tasks_;
  std::map<std::pair<std::string, int64_t>, int64_t> tokens_;
  std::vector<Finding> findings_;
  CheckCounts counts_;
};

}  // namespace currantpost::soak

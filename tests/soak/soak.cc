#include "soak.h"

#include <absl/strings/numbers.h>
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "bounds.h"
#include "caller.h"
#include "readiness_prober.h"
#include "schedule.h"

namespace currantpost::soak {
namespace {

constexpr Millis kTickInterval = Millis(10);
constexpr Millis kCheckInterval = Millis(100);
constexpr int kCallers = 4;
/// One long-running job for so many workers.
constexpr int kWorkersPerLongRunningJob = 2;
constexpr Millis kAcknowledgement = Millis(4'000);

/// Returns the highest number that follows a name in the part of a log after an offset.
int64_t HighestField(const std::string& path, std::streamoff from, const std::string& name) {
  std::ifstream log(path);
  log.seekg(from);
  int64_t highest = 0;

  for (std::string line; std::getline(log, line);) {
    if (line.find("slow turn of the scheduler") == std::string::npos) continue;
    const size_t found = line.find(" " + name + "=");
    if (found == std::string::npos) continue;
    const size_t begin = found + name.size() + 2;
    const size_t end = line.find_first_not_of("0123456789", begin);
    int64_t number = 0;
    if (absl::SimpleAtoi(line.substr(begin, end - begin), &number)) {
      highest = std::max(highest, number);
    }
  }

  return highest;
}

/// Connections whose calls are never answered stay open, more than the usual limit.
void AllowManyConnections() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

/// One run, on one event loop.
class Run {
 public:
  explicit Run(const SoakOptions& options)
      : options_(options),
        random_(options.seed),
        checker_(clock_, jobs_, options.log_folder + "/events.log"),
        fleet_(loop_, clock_, jobs_, checker_, options.fleet, options.seed, options.log_folder),
        prober_(loop_, clock_, fleet_),
        injector_(loop_, clock_, fleet_, checker_),
        tick_timer_(loop_),
        check_timer_(loop_),
        began_at_(clock_.Now()) {
    for (int i = 0; i < kCallers; ++i) {
      callers_.push_back(std::make_unique<Caller>(
          loop_, clock_, jobs_, checker_,
          [this](Random& random) { return prober_.ChooseEntry(random); }, options.seed * 100 + i));
    }
  }

  SoakReport Play() {
    const std::vector<PlannedFault> faults = DrawSchedule(options_.seed, options_.span);
    if (options_.faults) injector_.Plan(faults);
    Tick();
    Check();
    loop_.After(kBounds.contact, [this] { BeginTraffic(); });
    loop_.Run();

    SoakReport report{.findings = checker_.findings(), .counts = checker_.counts()};
    report.faults = options_.faults ? faults.size() : 0;
    report.own_lateness = own_lateness_;
    for (size_t i = 0; i < log_sizes_.size(); ++i) {
      const std::string path = fleet_.entries()[i]->LogPath();
      const int64_t late = std::max(HighestField(path, log_sizes_[i], "late_ms"),
                                    HighestField(path, log_sizes_[i], "ms"));
      report.entry_lateness = std::max(report.entry_lateness, Millis(late));
    }
    return report;
  }

 private:
  enum class Phase { kTraffic, kSettling, kCancelling, kStopping };

  void Tick() {
    const Millis now = clock_.Now();
    if (ticked_at_ > Millis(0)) {
      own_lateness_ = std::max(own_lateness_, now - ticked_at_ - kTickInterval);
    }
    ticked_at_ = now;
    fleet_.Tick();
    tick_timer_.Set(kTickInterval, [this] { Tick(); });
  }

  void Check() {
    if (phase_ != Phase::kStopping) checker_.Tick();
    Advance();
    check_timer_.Set(kCheckInterval, [this] { Check(); });
  }

  void BeginTraffic() {
    const int lasting = std::max(options_.fleet.workers / kWorkersPerLongRunningJob, 1);
    for (int i = 0; i < lasting; ++i) callers_[i % kCallers]->Submit(true);
    SubmitNext();
  }

  void SubmitNext() {
    if (phase_ != Phase::kTraffic) return;
    callers_[Draw(random_, 0, kCallers - 1)]->Submit(false);
    const auto mean = static_cast<int64_t>(1'000 / options_.jobs_per_second);
    loop_.After(Millis(Draw(random_, 1, 2 * mean)), [this] { SubmitNext(); });
  }

  /// Goes on to the next phase when the present one is over.
  void Advance() {
    const Millis now = clock_.Now();

    switch (phase_) {
      case Phase::kTraffic:
        if (now - began_at_ >= options_.span) Enter(Phase::kSettling);
        return;
      case Phase::kSettling:
        return AdvanceSettling(now);
      case Phase::kCancelling: {
        const Millis longest = kAcknowledgement + kBounds.cancel + kBounds.stop;
        const bool is_over = now - phase_began_at_ > longest + kCheckInterval * 2;
        if (checker_.AllSettled() || is_over) StopFleet(now);
        return;
      }
      case Phase::kStopping: {
        const bool gone = std::ranges::none_of(fleet_.entries(),
                                               [](const auto& entry) { return entry->Running(); });
        if (gone) loop_.Stop();
        return;
      }
    }
  }

  void AdvanceSettling(Millis now) {
    const std::optional<Millis> calm_since = checker_.CalmSince();
    if (!calm_since) return;
    if (log_sizes_.empty() && now - *calm_since >= kBounds.contact) NoteLogSizes();

    const Millis calm = now - std::max(*calm_since, phase_began_at_);
    const Millis observed = kBounds.contact + kBounds.absence + kBounds.absence_observed;
    const bool settled = calm > observed && checker_.AllSettled() && prober_.AllReady();
    const bool is_over = calm > kBounds.contact + kBounds.finish + kLongestJob;
    if (calm > kBounds.recovery && !prober_.AllReady() && !std::exchange(unready_reported_, true)) {
      checker_.Report("readiness hasn't returned", prober_.NotReady());
    }
    if (!settled && !is_over) return;

    checker_.Note("settled");
    Enter(Phase::kCancelling);
    for (const auto& caller : callers_) caller->CancelLongRunning();
  }

  void StopFleet(Millis now) {
    checker_.Finish();
    Enter(Phase::kStopping);
    for (const auto& entry : fleet_.entries()) entry->Terminate(now);
  }

  void Enter(Phase phase) {
    phase_ = phase;
    phase_began_at_ = clock_.Now();
  }

  void NoteLogSizes() {
    for (const auto& entry : fleet_.entries()) {
      log_sizes_.push_back(
          static_cast<std::streamoff>(std::filesystem::file_size(entry->LogPath())));
    }
  }

  const SoakOptions& options_;
  EventLoop loop_;
  const MonotonicClock clock_;
  Random random_;
  JobBook jobs_;
  Checker checker_;
  EntryFleet fleet_;
  ReadinessProber prober_;
  FaultInjector injector_;
  std::vector<std::unique_ptr<Caller>> callers_;
  Timer tick_timer_;
  Timer check_timer_;
  const Millis began_at_;
  Phase phase_ = Phase::kTraffic;
  Millis phase_began_at_;
  Millis ticked_at_;
  Millis own_lateness_;
  bool unready_reported_ = false;
  /// Sizes of the entries' logs when all machines were in touch after the last fault.
  std::vector<std::streamoff> log_sizes_;
};

}  // namespace

bool SoakReport::TooBusy() const {
  return std::max(own_lateness, entry_lateness) > kBounds.contact;
}

SoakReport RunSoak(const SoakOptions& options) {
  AllowManyConnections();
  std::filesystem::create_directories(options.log_folder);
  return Run(options).Play();
}

}  // namespace currantpost::soak

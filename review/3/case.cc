#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>

#include "world.h"

/// One job with many tasks among many small ones: do the small ones still run?

namespace {

using currantpost::Millis;
using currantpost::review::EntryProcess;
using currantpost::review::JobBody;
using currantpost::review::JobIdOf;
using currantpost::review::kCouldNotRun;
using currantpost::review::kRuleBroken;
using currantpost::review::kRuleHeld;
using currantpost::review::WorkerProcess;
using currantpost::review::World;

constexpr int kEntries = 3;
constexpr int kWorkersPerZone = 8;
constexpr Millis kLeadTime = Millis(10'000);
constexpr Millis kTraffic = Millis(45'000);
/// `finish_s`: how long after the end of the traffic the jobs are asked for.
constexpr Millis kFinish = Millis(14'000);
constexpr Millis kSubmitInterval = Millis(200);
constexpr Millis kAskTime = Millis(4'000);
/// For this long a job has nothing at work.
constexpr Millis kIdleTime = Millis(3'500);
constexpr Millis kLargeAt = Millis(5'000);
constexpr Millis kQuotaRun = Millis(25);
constexpr Millis kQuotaPause = Millis(75);
constexpr uint64_t kLargeJob = 0xfeed;
constexpr int kLargeCount = 10'000;
constexpr int64_t kLargeNeed = 10;
constexpr int64_t kSmallNeed = 1'000;

const char* const kZones[] = {"kyushu-a", "kyushu-b", "kyushu-c"};

int EnvironmentNumber(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

/// Gives each entry a quarter of a core, as `limits.cpu_share` of the site: it runs for a quarter
/// of each tenth of a second.
class Quota {
 public:
  Quota(World& world, const std::vector<EntryProcess>& entries) : world_(world), entries_(entries) {
    Resume();
  }

 private:
  void Resume() {
    for (const EntryProcess& entry : entries_) world_.Signal(entry.pid, SIGCONT);
    world_.loop().After(kQuotaRun, [this] { Pause(); });
  }

  void Pause() {
    for (const EntryProcess& entry : entries_) world_.Signal(entry.pid, SIGSTOP);
    world_.loop().After(kQuotaPause, [this] { Resume(); });
  }

  World& world_;
  const std::vector<EntryProcess>& entries_;
};

class Traffic {
 public:
  Traffic(World& world, std::vector<EntryProcess>& entries) : world_(world), entries_(entries) {}

  /// Submits a job, and again after each answer that is not final.
  void Submit(uint64_t number, const std::string& body, int attempt) {
    const EntryProcess& entry = entries_[(number + static_cast<size_t>(attempt)) % entries_.size()];
    const std::string path = "/small/" + JobIdOf(number);
    world_.Call(entry, "POST", path, body,
                [this, number, body, attempt, &entry](int status, const std::string&) {
                  world_.Record("POST " + JobIdOf(number) + " at " + entry.name + " -> " +
                                std::to_string(status));
                  if (status >= 200 && status < 300) accepted_.insert(number);
                  const bool again = status == 0 || status == 502 || status == 503 || status == 504;
                  if (!again || attempt >= 4) return;

                  world_.loop().After(Millis(1'000), [this, number, body, attempt] {
                    Submit(number, body, attempt + 1);
                  });
                });
  }

  void Ask() {
    for (const uint64_t number : accepted_) {
      for (const EntryProcess& entry : entries_) {
        world_.Call(entry, "GET", "/small/" + JobIdOf(number), "",
                    [this, number, &entry](int status, const std::string& answer) {
                      world_.Record("GET " + JobIdOf(number) + " at " + entry.name + " -> " +
                                    std::to_string(status) + " " + answer);
                      if (answer.find("completed") != std::string::npos) completed_.insert(number);
                    });
      }
    }
  }

  const std::set<uint64_t>& accepted() const { return accepted_; }
  const std::set<uint64_t>& completed() const { return completed_; }

 private:
  World& world_;
  std::vector<EntryProcess>& entries_;
  std::set<uint64_t> accepted_;
  std::set<uint64_t> completed_;
};

int Run(const std::string& record_path) {
  World world(record_path);
  world.StartStore();
  world.RunFor(Millis(300));
  int status = 0;
  world.OperatorPut("op/config", currantpost::review::ConfigBody(1, {"small"}, true),
                    [&](int answer) { status = answer; });
  world.RunFor(Millis(300));
  if (status != 200) return kCouldNotRun;

  std::vector<WorkerProcess> workers;

  for (const char* zone : kZones) {
    for (int number = 0; number < kWorkersPerZone; ++number) {
      WorkerProcess worker;
      worker.options.id = std::string(zone) + "-w" + std::to_string(number);
      worker.options.zone = zone;
      worker.options.kind = "a";
      worker.options.rack = std::string(zone) + "-r0";
      workers.push_back(worker);
    }
  }

  for (WorkerProcess& worker : workers) world.StartWorker(worker);

  std::vector<EntryProcess> entries;
  for (int number = 0; number < kEntries; ++number) {
    entries.push_back(
        world.MakeEntry("entry-" + std::to_string(number), kZones[number], 0, "0.25"));
  }
  for (EntryProcess& entry : entries) world.StartEntry(entry);

  world.RunFor(kLeadTime);
  Quota quota(world, entries);
  Traffic traffic(world, entries);
  const int count = EnvironmentNumber("COUNT", kLargeCount);
  const bool trouble = currantpost::review::WithTrouble();

  uint64_t number = 1;
  for (Millis at; at < kTraffic; at = at + kSubmitInterval) {
    traffic.Submit(number++, JobBody({2}, 300, kSmallNeed, "", "small"), 0);
    if (trouble && at == kLargeAt) {
      world.Record("large job with " + std::to_string(count) + " tasks");
      traffic.Submit(kLargeJob, JobBody({count}, 500, kLargeNeed, "", "large"), 0);
    }
    world.RunFor(kSubmitInterval);
  }

  world.RunFor(kFinish);
  const int64_t from = currantpost::review::UnixMillis();
  world.RunFor(kIdleTime);
  const int64_t to = currantpost::review::UnixMillis();
  traffic.Ask();
  world.RunFor(kAskTime);

  std::set<std::string> at_work;
  std::set<std::string> large_tasks;
  int64_t used = 0;

  for (const auto& run : world.CollectRuns()) {
    if (run.Job() == JobIdOf(kLargeJob)) large_tasks.insert(run.task);
    if (!run.OverlapsWith(from, to)) continue;

    at_work.insert(run.Job());
    used += run.Job() == JobIdOf(kLargeJob) ? kLargeNeed : kSmallNeed;
  }

  const int64_t capacity = static_cast<int64_t>(workers.size()) * workers[0].options.millicores;
  size_t lost = 0;

  for (const uint64_t job : traffic.accepted()) {
    if (traffic.completed().contains(job) || at_work.contains(JobIdOf(job))) continue;

    ++lost;
    world.Record("accepted, not completed, and nothing of it at work: " + JobIdOf(job));
  }

  size_t ended = 0;
  for (const EntryProcess& entry : entries) {
    if (world.HasEnded(entry.pid)) ++ended;
  }

  std::ostringstream verdict;
  verdict << "accepted " << traffic.accepted().size() << ", idle and not completed " << lost
          << "; of the large job " << large_tasks.size() << " tasks started; in the last "
          << kIdleTime.Count() << " ms at most " << used << " of " << capacity
          << " thousandths of a core in use; entries that ended " << ended;
  world.Record(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (traffic.accepted().size() < 50) return kCouldNotRun;

  return lost > 0 && used < capacity / 2 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc > 1 ? argv[1] : "record.txt"); }

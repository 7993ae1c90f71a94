#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "world.h"

/// A scheduled job with many occurrences among small jobs, on machines with little memory: do the
/// entries stay up, and are the small jobs completed?

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

constexpr int kWorkersPerZone = 4;
/// `limits.memory_mb`. The platform kills a process that exceeds it, and starts it again.
constexpr int64_t kMemoryMb = 260;
constexpr Millis kRestartDelay = Millis(500);
constexpr Millis kMemoryCheck = Millis(50);
constexpr Millis kTraffic = Millis(30'000);
constexpr Millis kSubmitInterval = Millis(200);
constexpr Millis kScheduledAt = Millis(5'000);
constexpr Millis kFinish = Millis(14'000);
constexpr Millis kAskTime = Millis(4'000);
/// The rule: processes of this many machines end this many times each.
constexpr int64_t kMachines = 2;
constexpr int kKills = 3;
constexpr uint64_t kScheduledJob = 0x5c4ed;
/// Every minute for a year.
constexpr int64_t kOccurrences = 525'600;
constexpr int64_t kIntervalMs = 60'000;
constexpr int kScheduledCount = 4;

const char* const kZones[] = {"kyushu-a", "kyushu-b", "kyushu-c"};

int64_t MemoryMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;

  while (std::getline(file, line)) {
    if (!line.starts_with("VmRSS:")) continue;

    return std::atoll(line.substr(line.find(':') + 1).c_str()) / 1'024;
  }

  return 0;
}

/// The platform's part: kills an entry that exceeds its memory, and starts each that has ended.
class Keeper {
 public:
  Keeper(World& world, std::vector<EntryProcess>& entries) : world_(world), entries_(entries) {
    Check();
  }

  int kills() const { return kills_; }
  /// How many entries were killed `times` times or more.
  int64_t KilledOften(int times) const {
    return std::ranges::count_if(kills_of_,
                                 [times](const auto& row) { return row.second >= times; });
  }
  int64_t peak_mb() const { return peak_mb_; }

 private:
  void Check() {
    for (EntryProcess& entry : entries_) {
      if (entry.pid == 0) continue;

      const int64_t used = MemoryMb(entry.pid);
      peak_mb_ = std::max(peak_mb_, used);
      if (used <= kMemoryMb && !world_.HasEnded(entry.pid)) continue;

      ++kills_;
      ++kills_of_[entry.name];
      world_.Record(entry.name + " is killed with " + std::to_string(used) + " MB");
      world_.Signal(entry.pid, SIGKILL);
      entry.pid = 0;
      world_.loop().After(kRestartDelay, [this, &entry] { world_.StartEntry(entry); });
    }

    world_.loop().After(kMemoryCheck, [this] { Check(); });
  }

  World& world_;
  std::vector<EntryProcess>& entries_;
  int kills_ = 0;
  std::map<std::string, int> kills_of_;
  int64_t peak_mb_ = 0;
};

std::string ScheduledBody(int64_t occurrences) {
  nlohmann::json job =
      nlohmann::json::parse(JobBody({kScheduledCount}, 300, 1'000, "", "scheduled"));
  job["repeat_count"] = occurrences;
  job["interval_ms"] = kIntervalMs;
  job["first_run_ms"] = currantpost::review::UnixMillis() + kIntervalMs;
  return job.dump();
}

int Run(const std::string& record_path) {
  World world(record_path);
  world.StartStore();
  world.RunFor(Millis(300));
  int status = 0;
  world.OperatorPut("op/config", currantpost::review::ConfigBody(1, {"menu"}, true),
                    [&](int answer) { status = answer; });
  world.RunFor(Millis(300));
  if (status != 200) return kCouldNotRun;

  std::vector<WorkerProcess> workers;
  std::vector<EntryProcess> entries;

  for (const char* zone : kZones) {
    for (int number = 0; number < kWorkersPerZone; ++number) {
      WorkerProcess worker;
      worker.options.id = std::string(zone) + "-w" + std::to_string(number);
      worker.options.zone = zone;
      worker.options.kind = "a";
      worker.options.rack = std::string(zone) + "-r0";
      workers.push_back(worker);
    }
    entries.push_back(world.MakeEntry(zone, zone));
  }

  for (WorkerProcess& worker : workers) world.StartWorker(worker);
  for (EntryProcess& entry : entries) world.StartEntry(entry);
  world.RunFor(Millis(10'000));
  Keeper keeper(world, entries);

  const bool trouble = currantpost::review::WithTrouble();
  std::set<std::string> accepted;
  std::set<std::string> completed;
  std::function<void(const std::string&, const std::string&, size_t)> submit =
      [&](const std::string& id, const std::string& body, size_t attempt) {
        const EntryProcess& entry = entries[(std::hash<std::string>()(id) + attempt) % 3];
        world.Call(entry, "POST", "/menu/" + id, body,
                   [&world, &accepted, &submit, id, body, attempt](int answer, const std::string&) {
                     world.Record("POST " + id + " -> " + std::to_string(answer));
                     if (answer == 200) accepted.insert(id);
                     if (answer == 200 || answer == 400 || attempt >= 4) return;

                     world.loop().After(Millis(1'000), [&submit, id, body, attempt] {
                       submit(id, body, attempt + 1);
                     });
                   });
      };

  uint64_t number = 1;

  for (Millis at; at < kTraffic; at = at + kSubmitInterval) {
    submit(JobIdOf(number++), JobBody({2}, 300, 1'000, "", "small"), 0);
    if (trouble && at == kScheduledAt) {
      submit(JobIdOf(kScheduledJob), ScheduledBody(kOccurrences), 0);
    }
    world.RunFor(kSubmitInterval);
  }

  world.RunFor(kFinish);
  const bool scheduled = accepted.erase(JobIdOf(kScheduledJob)) > 0;

  for (const std::string& id : accepted) {
    for (const EntryProcess& entry : entries) {
      world.Call(entry, "GET", "/menu/" + id, "",
                 [&world, &completed, &entry, id](int answer, const std::string& body) {
                   world.Record("GET " + id + " at " + entry.name + " -> " +
                                std::to_string(answer) + " " + body);
                   if (body.find("completed") != std::string::npos) completed.insert(id);
                 });
    }
  }

  world.RunFor(kAskTime);
  world.CollectRuns();
  std::ostringstream verdict;
  verdict << "scheduled job " << (scheduled ? "accepted" : "not accepted")
          << "; small jobs accepted " << accepted.size() << ", completed " << completed.size()
          << "; processes killed for memory " << keeper.kills() << ", highest memory "
          << keeper.peak_mb() << " MB of " << kMemoryMb;
  world.Record(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (accepted.size() < 50) return kCouldNotRun;

  return keeper.KilledOften(kKills) >= kMachines ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc > 1 ? argv[1] : "record.txt"); }

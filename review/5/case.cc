#include <csignal>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "world.h"

/// A machine of the system is replaced for good as a worker of its cell is lost: are the worker's
/// tasks that last at work elsewhere in time?

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

constexpr int kWorkersPerZone = 6;
constexpr int kJobs = 18;
constexpr int kTasksPerJob = 2;
constexpr int64_t kNeed = 2'000;
constexpr int64_t kWorkMs = 1'000'000;
/// The rule allows 6 s after the last run and 3 s without one.
constexpr int64_t kAllowedMs = 9'000;
constexpr Millis kNewMachineAfter = Millis(2'000);
constexpr Millis kWatched = Millis(25'000);

const char* const kZones[] = {"kyushu-a", "kyushu-b", "kyushu-c"};

std::string LastingJob(int image) {
  nlohmann::json job =
      nlohmann::json::parse(JobBody({kTasksPerJob}, kWorkMs, kNeed, "", "lasting"));
  job["steps"][0]["long_running"] = true;
  job["steps"][0]["image"] = "watch-" + std::to_string(image);
  return job.dump();
}

int Run(const std::string& record_path) {
  World world(record_path);
  world.StartStore();
  world.RunFor(Millis(300));
  int status = 0;
  world.OperatorPut("op/config", currantpost::review::ConfigBody(1, {"watch"}, true),
                    [&](int answer) { status = answer; });
  world.RunFor(Millis(300));
  if (status != 200) return kCouldNotRun;

  std::map<std::string, WorkerProcess> workers;
  std::vector<EntryProcess> entries;

  for (const char* zone : kZones) {
    for (int number = 0; number < kWorkersPerZone; ++number) {
      WorkerProcess worker;
      worker.options.id = std::string(zone) + "-w" + std::to_string(number);
      worker.options.zone = zone;
      worker.options.kind = "a";
      worker.options.rack = std::string(zone) + "-r0";
      workers[worker.options.id] = worker;
    }
    entries.push_back(world.MakeEntry("entry-" + std::string(zone), zone));
  }

  for (auto& [id, worker] : workers) world.StartWorker(worker);
  for (EntryProcess& entry : entries) world.StartEntry(entry);
  world.RunFor(Millis(10'000));

  for (int number = 0; number < kJobs; ++number) {
    const std::string id = JobIdOf(static_cast<uint64_t>(number) + 1);
    const EntryProcess& entry = entries[static_cast<size_t>(number) % entries.size()];
    world.Call(entry, "POST", "/watch/" + id, LastingJob(number),
               [&world, id](int answer, const std::string&) {
                 world.Record("POST " + id + " -> " + std::to_string(answer));
               });
    world.RunFor(Millis(100));
  }

  world.RunFor(Millis(6'000));

  // In each zone the one entry owns the zone's cell. The zone with most tasks is chosen, and in it
  // the worker with most.
  std::map<std::string, int> tasks_of_zone;
  std::map<std::string, int> tasks_of_worker;

  for (const auto& run : world.CollectRuns()) {
    ++tasks_of_zone[workers.at(run.worker).options.zone];
    ++tasks_of_worker[run.worker];
  }

  size_t zone = 0;
  for (size_t other = 1; other < entries.size(); ++other) {
    if (tasks_of_zone[kZones[other]] > tasks_of_zone[kZones[zone]]) zone = other;
  }

  std::string lost;
  for (const auto& [id, tasks] : tasks_of_worker) {
    if (workers.at(id).options.zone != kZones[zone]) continue;
    if (lost.empty() || tasks > tasks_of_worker[lost]) lost = id;
  }
  if (lost.empty()) return kCouldNotRun;

  EntryProcess replacement;
  const int64_t struck_at = currantpost::review::UnixMillis();

  const bool trouble = currantpost::review::WithTrouble();

  if (trouble) {
    world.Record(entries[zone].name + " is gone for good, and worker " + lost + " with " +
                 std::to_string(tasks_of_worker[lost]) + " tasks is lost");
    world.Signal(entries[zone].pid, SIGKILL);
    world.Signal(workers.at(lost).pid, SIGKILL);
    replacement = world.MakeEntry("entry-new", kZones[zone]);
    world.RunFor(kNewMachineAfter);
    world.StartEntry(replacement);
    world.Record("a new machine starts at another address");
  }

  world.RunFor(kWatched);
  const int64_t end = currantpost::review::UnixMillis();
  std::set<std::string> on_lost;
  std::set<std::string> hit;
  std::map<std::string, int64_t> back_after;

  for (const auto& run : world.CollectRuns()) {
    const bool before = run.began_unix_ms < struck_at;
    if (before && run.worker == lost) {
      on_lost.insert(run.task);
      if (trouble || run.ended_unix_ms != 0) hit.insert(run.task);
    }
    if (!before && !back_after.contains(run.task)) {
      back_after[run.task] = run.began_unix_ms - struck_at;
    }
  }

  int away = 0;
  int64_t longest = 0;

  for (const std::string& task : hit) {
    const bool back = back_after.contains(task);
    const int64_t after = back ? back_after[task] : end - struck_at;
    longest = std::max(longest, after);
    if (after <= kAllowedMs) continue;

    ++away;
    world.Record("away too long: " + task + " for " + std::to_string(after) + " ms" +
                 (back ? "" : " and still"));
  }

  std::ostringstream verdict;
  verdict << on_lost.size() << " tasks on the worker, " << hit.size() << " lost, " << away
          << " away for more than " << kAllowedMs << " ms, the longest for " << longest << " ms";
  world.Record(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (on_lost.empty()) return kCouldNotRun;

  return away > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc > 1 ? argv[1] : "record.txt"); }

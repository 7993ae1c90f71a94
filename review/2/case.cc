#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "world.h"

/// Only the workers of one zone have a label, and tasks that last hold a part of them: are jobs
/// that fill and require the label completed?

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

constexpr int kWorkersPerZone = 5;
constexpr int kJobs = 150;
constexpr Millis kSubmitInterval = Millis(100);
/// `finish_s`, and how long a job has nothing at work.
constexpr Millis kFinish = Millis(14'000);
constexpr Millis kIdleTime = Millis(3'500);
constexpr Millis kAskTime = Millis(3'000);
constexpr int64_t kNeed = 500;
constexpr int kTasksPerJob = 2;
/// Jobs that last and require the label, of two tasks each.
constexpr int kLastingJobs = 25;
constexpr int64_t kLastingNeed = 2'000;
constexpr uint64_t kFirstLasting = 0x1000;
constexpr int64_t kLastingMs = 1'000'000;

const char* const kZones[] = {"tramo-alto", "tramo-medio", "tramo-bajo", "delta-norte"};
constexpr const char* kLabel = "special";

std::string FillingJob(const std::string& label) {
  nlohmann::json job = nlohmann::json::parse(JobBody({kTasksPerJob}, 500, kNeed, label, "filling"));
  job["steps"][0]["fills"] = true;
  job["steps"][0]["image"] = "soup";
  return job.dump();
}

std::string LastingJob() {
  nlohmann::json job =
      nlohmann::json::parse(JobBody({kTasksPerJob}, kLastingMs, kLastingNeed, kLabel, "lasting"));
  job["steps"][0]["long_running"] = true;
  job["steps"][0]["image"] = "watch";
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
      worker.options.kind = zone == kZones[3] ? kLabel : "plain";
      worker.options.rack = std::string(zone) + "-r0";
      workers.push_back(worker);
    }
    entries.push_back(world.MakeEntry(zone, zone));
  }

  for (WorkerProcess& worker : workers) world.StartWorker(worker);
  for (EntryProcess& entry : entries) world.StartEntry(entry);
  world.RunFor(Millis(10'000));

  for (int number = 0; number < kLastingJobs; ++number) {
    const std::string id = JobIdOf(kFirstLasting + static_cast<uint64_t>(number));
    world.Call(entries[static_cast<size_t>(number) % entries.size()], "POST", "/menu/" + id,
               LastingJob(), [&world, id](int answer, const std::string&) {
                 world.Record("POST " + id + " -> " + std::to_string(answer));
               });
    world.RunFor(kSubmitInterval);
  }

  world.RunFor(Millis(3'000));
  const bool trouble = currantpost::review::WithTrouble();
  std::set<std::string> accepted;
  std::set<std::string> completed;

  for (int number = 1; number <= kJobs; ++number) {
    const std::string id = JobIdOf(static_cast<uint64_t>(number));
    const EntryProcess& entry = entries[static_cast<size_t>(number) % entries.size()];
    world.Call(entry, "POST", "/menu/" + id, FillingJob(trouble ? kLabel : ""),
               [&world, &accepted, id](int answer, const std::string&) {
                 world.Record("POST " + id + " -> " + std::to_string(answer));
                 if (answer == 200) accepted.insert(id);
               });
    world.RunFor(kSubmitInterval);
  }

  world.RunFor(kFinish);
  const int64_t from = currantpost::review::UnixMillis();
  world.RunFor(kIdleTime);
  const int64_t to = currantpost::review::UnixMillis();

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
  std::set<std::string> at_work;
  const auto runs = world.CollectRuns();
  int64_t used = 0;

  // The most that is in use at once, which is as some run begins.
  for (const auto& run : runs) {
    if (run.OverlapsWith(from, to)) at_work.insert(run.Job());
    if (run.worker.substr(0, run.worker.rfind('-')) != kZones[3]) continue;

    const int64_t at = std::max(run.began_unix_ms, from);
    int64_t beside = 0;
    for (const auto& other : runs) {
      const bool there = other.worker.substr(0, other.worker.rfind('-')) == kZones[3];
      if (!there || at > to || !other.OverlapsWith(at, at)) continue;

      beside += accepted.contains(other.Job()) ? kNeed : kLastingNeed;
    }
    used = std::max(used, beside);
  }

  size_t lost = 0;
  for (const std::string& id : accepted) {
    if (completed.contains(id) || at_work.contains(id)) continue;

    ++lost;
    world.Record("accepted, not completed, and nothing of it at work: " + id);
  }

  const int64_t labelled = int64_t{kWorkersPerZone} * workers[0].options.millicores;
  std::ostringstream verdict;
  verdict << "accepted " << accepted.size() << ", idle and not completed " << lost
          << "; in the last " << kIdleTime.Count() << " ms at most " << used << " of the "
          << labelled
          << " thousandths of a core of the zone whose workers all have the label in use";
  world.Record(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (accepted.size() < kJobs / 2) return kCouldNotRun;

  const bool has_room = labelled - used >= 2 * int64_t{kTasksPerJob} * kNeed;
  return lost > 0 && has_room ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc > 1 ? argv[1] : "record.txt"); }

#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "world.h"

/// The configuration sends a queue to another service while jobs of it are on their way: are they
/// completed?

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
constexpr int kJobs = 40;
constexpr Millis kSubmitInterval = Millis(250);
/// The change comes in the middle of the traffic.
constexpr int kChangeAtJob = 20;
/// `finish_s`, and how long a job has nothing at work.
constexpr Millis kFinish = Millis(14'000);
constexpr Millis kIdleTime = Millis(3'500);
constexpr Millis kAskTime = Millis(3'000);
constexpr int64_t kNeed = 1'000;

struct Place {
  const char* zone;
  const char* service;
};

constexpr Place kPlaces[] = {{"kyushu-a", "svc"}, {"kyushu-b", "other"}, {"kyushu-c", "svc"}};

int Run(const std::string& record_path) {
  World world(record_path);
  world.StartStore();
  world.RunFor(Millis(300));
  int status = 0;
  const auto configure = [&](int version, const std::string& queue) {
    world.OperatorPut(
        "op/config", currantpost::review::ConfigBody(version, {queue, "rest:other"}, true),
        [&world, &status, queue](int answer) {
          status = answer;
          world.Record("configuration with " + queue + " -> " + std::to_string(answer));
        });
  };
  configure(1, "menu:svc");
  world.RunFor(Millis(300));
  if (status != 200) return kCouldNotRun;

  std::vector<WorkerProcess> workers;
  std::vector<EntryProcess> entries;
  std::map<std::string, int64_t> capacity;

  for (const Place& place : kPlaces) {
    for (int number = 0; number < kWorkersPerZone; ++number) {
      WorkerProcess worker;
      worker.options.id = std::string(place.zone) + "-w" + std::to_string(number);
      worker.options.zone = place.zone;
      worker.options.service = place.service;
      worker.options.kind = "a";
      worker.options.rack = std::string(place.zone) + "-r0";
      capacity[place.service] += worker.options.millicores;
      workers.push_back(worker);
    }
    entries.push_back(world.MakeEntry(place.zone, place.zone));
  }

  for (WorkerProcess& worker : workers) world.StartWorker(worker);
  for (EntryProcess& entry : entries) world.StartEntry(entry);
  world.RunFor(Millis(10'000));

  const bool trouble = currantpost::review::WithTrouble();
  std::set<std::string> accepted;
  std::set<std::string> completed;

  for (int number = 1; number <= kJobs; ++number) {
    const std::string id = JobIdOf(static_cast<uint64_t>(number));
    const EntryProcess& entry = entries[static_cast<size_t>(number) % entries.size()];
    world.Call(entry, "POST", "/menu/" + id, JobBody({4, 4}, 1'500, kNeed, "", "menu", true),
               [&world, &accepted, id](int answer, const std::string&) {
                 world.Record("POST " + id + " -> " + std::to_string(answer));
                 if (answer == 200) accepted.insert(id);
               });
    if (trouble && number == kChangeAtJob) configure(2, "menu:other");
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
  int64_t used = 0;

  for (const auto& run : world.CollectRuns()) {
    if (!run.OverlapsWith(from, to)) continue;

    at_work.insert(run.Job());
    used += kNeed;
  }

  size_t lost = 0;
  for (const std::string& id : accepted) {
    if (completed.contains(id) || at_work.contains(id)) continue;

    ++lost;
    world.Record("accepted, not completed, and nothing of it at work: " + id);
  }

  std::ostringstream verdict;
  verdict << "accepted " << accepted.size() << ", idle and not completed " << lost
          << "; in the last " << kIdleTime.Count() << " ms at most " << used
          << " thousandths of a core in use of " << capacity["svc"] << " of the old service and "
          << capacity["other"] << " of the new one";
  world.Record(verdict.str());
  std::cout << verdict.str() << std::endl;
  if (accepted.size() < kJobs / 2) return kCouldNotRun;

  return lost > 0 && used < capacity["other"] / 2 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Run(argc > 1 ? argv[1] : "record.txt"); }

#include "entry_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <stdexcept>

namespace currantpost::soak {
namespace {

constexpr int kStorePort = 8'169;
constexpr int kCallersPort = 8'161;
constexpr int kWorkersPort = 8'170;
constexpr int kMostZones = 3;
constexpr int kRacksPerZone = 2;
/// At most one of so many entries leaves for good.
constexpr size_t kEntriesPerRemoval = 3;

/// The networks of a run, the third byte of an address.
constexpr int kEntries = 1;
constexpr int kStorePaths = 2;
constexpr int kCallerPaths = 3;
constexpr int kWorkerPaths = 4;
constexpr int kWorkers = 5;
constexpr int kStore = 6;

/// Every other run on this machine most probably has another second byte.
constexpr int kFirstRun = 16;
constexpr int kRuns = 200;

constexpr int64_t kSlowClockPercent = 2;
constexpr int64_t kFailingPermille = 20;

}  // namespace

EntryFleet::EntryFleet(EventLoop& loop, const Clock& clock, const JobBook& jobs, Checker& checker,
                       FleetSize size, uint64_t seed, const std::string& log_folder)
    : clock_(clock), checker_(checker), store_(loop, clock, seed) {
  const Address store{.host = Host(kStore, 0), .port = kStorePort};
  const Error error = store_.Listen(store);
  if (error.code) throw std::runtime_error(store.host + " can't be bound");

  store_.PutOperatorKey("op/config", ConfigurationDocument(7));
  const int zones = std::clamp(size.entries / 2, 1, kMostZones);

  for (int i = 0; i < size.entries; ++i) {
    const std::string host = Host(kEntries, i);
    const Address store_path{.host = Host(kStorePaths, i), .port = kStorePort};
    const Address caller_path = CallerAddress(i);
    store_paths_.push_back(&proxies_.Add(store_path, store.host, store.port));
    caller_paths_.push_back(&proxies_.Add(caller_path, host, kCallersPort));
    entries_.push_back(
        std::make_unique<EntryProcess>(EntryProfile{.name = "entry-" + std::to_string(i),
                                                    .host = host,
                                                    .zone = "zone-" + std::to_string(i % zones),
                                                    .store = store_path,
                                                    .log_folder = log_folder}));
  }

  for (int i = 0; i < size.workers; ++i) {
    const int zone = i / 2 % zones;
    WorkerProfile profile{.id = "worker-" + std::to_string(i),
                          .service = std::string(kServices[i % 2]),
                          .zone = "zone-" + std::to_string(zone),
                          .address = {.host = Host(kWorkerPaths, i), .port = kWorkersPort},
                          .guards_capacity = i % 2 == 0,
                          .failing_permille = kFailingPermille};
    profile.rack = "rack-" + std::to_string(zone) + "-" + std::to_string(i / 4 % kRacksPerZone);
    profile.clock_slow_percent = i / 2 % 2 == 0 ? 0 : kSlowClockPercent;
    worker_paths_.push_back(&proxies_.Add(profile.address, Host(kWorkers, i), 0));
    workers_.push_back(std::make_unique<WorkerStandin>(loop, clock, std::move(profile), jobs,
                                                       store_, checker, seed * 1'000 + i));
    StartWorker(i);
  }

  for (size_t i = 0; i < entries_.size(); ++i) StartEntry(i);
}

std::string EntryFleet::Host(int network, size_t machine) const {
  return "127." + std::to_string(kFirstRun + getpid() % kRuns) + "." + std::to_string(network) +
         "." + std::to_string(machine + 1);
}

Address EntryFleet::CallerAddress(size_t entry) const {
  return Address{.host = Host(kCallerPaths, entry), .port = kCallersPort};
}

void EntryFleet::StartEntry(size_t entry) {
  if (!entries_[entry]->Running() && !IsRemoved(entry)) entries_[entry]->Start();
}

void EntryFleet::RemoveEntry(size_t entry, bool with_notice) {
  const size_t most = entries_.size() / kEntriesPerRemoval;
  if (removed_.size() >= most || !removed_.insert(entry).second) return;

  if (with_notice) {
    entries_[entry]->Terminate(clock_.Now());
  } else {
    entries_[entry]->Kill();
  }
}

void EntryFleet::StartWorker(size_t worker) {
  if (workers_[worker]->Up()) return;

  const Error error = workers_[worker]->Start(Host(kWorkers, worker));
  if (error.code) throw std::runtime_error("no port for a worker");
  worker_paths_[worker]->SetTargetPort(workers_[worker]->Port());
}

void EntryFleet::Tick() {
  store_.Tick();

  for (size_t i = 0; i < workers_.size(); ++i) {
    workers_[i]->Tick();
    worker_paths_[i]->SetTargetPort(workers_[i]->Port());
  }

  for (const auto& entry : entries_) {
    const std::optional<int> code = entry->Tick(clock_.Now());
    if (!code) continue;

    checker_.Report("an entry process ended by itself",
                    entry->profile().name + ", code " + std::to_string(*code));
    entry->Start();
  }
}

}  // namespace currantpost::soak

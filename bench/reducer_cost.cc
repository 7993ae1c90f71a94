#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "currantpost/model/codec.h"
#include "one_entry.h"
#include "reducer_sizes.h"
#include "slopes.h"

/// What the reducer of one entry costs, by the size of what is around it. Times are of `Reduce`
/// alone; stores, workers and peers answer in memory.

namespace currantpost::bench {
namespace {

constexpr double kMicros = 1e6;
constexpr Millis kSecond = Millis(1'000);
constexpr Millis kLongRun = Millis(1'000'000'000);

Slopes& AllSlopes() {
  static Slopes slopes;
  return slopes;
}

/// Which number of the surroundings a series varies.
struct SteadyCase {
  const char* name;
  Surroundings surroundings;
  int tasks_per_worker;
  double size;
};

/// The sizes of today, of a growing fleet, and of the plan.
std::vector<SteadyCase> SteadyCases() {
  constexpr int kFleet = 14'000;
  std::vector<SteadyCase> cases;

  for (const int seen : {48, 1'000, kFleet}) {
    cases.push_back({"by VMs listed (48 owned)",
                     {.workers = 48, .foreign_vms = seen - 48, .entries = 1, .foreign_entries = 0},
                     0,
                     static_cast<double>(seen)});
  }

  for (const int owned : {32, 64, 280, 560}) {
    cases.push_back({"by workers owned (no others listed)",
                     {.workers = owned, .foreign_vms = 0, .entries = 1, .foreign_entries = 0},
                     0,
                     static_cast<double>(owned)});
  }

  for (const int entries : {1, 3, 10, 20}) {
    cases.push_back({"by entries here (560 workers, none owned but its share)",
                     {.workers = 560, .foreign_vms = 0, .entries = entries, .foreign_entries = 0},
                     0,
                     static_cast<double>(entries)});
  }

  for (const int elsewhere : {0, 120, 480}) {
    cases.push_back({"by entries elsewhere (48 workers, 3 entries here)",
                     {.workers = 48, .foreign_vms = 0, .entries = 3, .foreign_entries = elsewhere},
                     0,
                     static_cast<double>(elsewhere)});
  }

  for (const int tasks : {0, 5, 15, 50}) {
    cases.push_back({"by tasks of each of 48 workers owned",
                     {.workers = 48, .foreign_vms = 0, .entries = 1, .foreign_entries = 0},
                     tasks,
                     static_cast<double>(tasks)});
  }

  cases.push_back({"plan: 14,000 VMs, 25 x 20 entries, 15 tasks a worker",
                   {.workers = 560, .foreign_vms = 13'440, .entries = 20, .foreign_entries = 480},
                   15,
                   1});
  cases.push_back({"plan, worst: one entry left of its data centre",
                   {.workers = 560, .foreign_vms = 13'440, .entries = 1, .foreign_entries = 480},
                   15,
                   1});
  cases.push_back({"today: 48 workers, 9 entries in 3 data centres",
                   {.workers = 16, .foreign_vms = 32, .entries = 3, .foreign_entries = 6},
                   8,
                   1});
  return cases;
}

/// Mean microseconds of one event of a kind, between two readings.
double MeanMicros(const KindCost& before, const KindCost& after) {
  const auto events = static_cast<double>(after.events - before.events);
  return events > 0 ? (after.seconds - before.seconds) * kMicros / events : 0.0;
}

/// Mean microseconds of an action, of a few times.
template <typename Action>
double MicrosOf(const Action& action) {
  constexpr int kTimes = 5;
  const auto begin = std::chrono::steady_clock::now();
  for (int time = 0; time < kTimes; ++time) action();
  const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
  return taken.count() * kMicros / kTimes;
}

/// One iteration is a second of simulated time with all that comes in it.
void SteadySecond(benchmark::State& run) {
  const SteadyCase each = SteadyCases()[static_cast<size_t>(run.range(0))];
  run.SetLabel(each.name + (" at " + std::to_string(static_cast<int>(each.size))));
  OneEntry entry(each.surroundings);

  if (each.tasks_per_worker > 0) {
    entry.Submit(FillingJob("weekly-menu", each.surroundings.workers * each.tasks_per_worker,
                            each.tasks_per_worker, kLongRun));
    entry.Run(kSecond * 10);
  }

  const KindCost tick = entry.CostOf<Tick>();
  const KindCost heartbeat = entry.CostOf<HeartbeatReceived>();
  const KindCost worker = entry.CostOf<WorkerAnswered>();
  const KindCost list = entry.CostOf<VmListRead>();
  const double begin = entry.Spent();
  double seconds = 0.0;

  while (run.KeepRunning()) {
    const double before = entry.Spent();
    entry.Run(kSecond);
    run.SetIterationTime(entry.Spent() - before);
    seconds += 1.0;
  }

  const std::string name = each.name;
  const double share = (entry.Spent() - begin) / seconds * 100.0;
  Slopes& slopes = AllSlopes();
  slopes.Add(name + ": tick", "us", each.size, MeanMicros(tick, entry.CostOf<Tick>()));
  slopes.Add(name + ": heartbeat", "us", each.size,
             MeanMicros(heartbeat, entry.CostOf<HeartbeatReceived>()));
  slopes.Add(name + ": worker answer", "us", each.size,
             MeanMicros(worker, entry.CostOf<WorkerAnswered>()));
  slopes.Add(name + ": VM list", "us", each.size, MeanMicros(list, entry.CostOf<VmListRead>()));
  slopes.Add(name + ": all together", "% of core", each.size, share);

  run.counters["core_percent"] = share;
  run.counters["racks"] = static_cast<double>(entry.OwnedRacks());
  run.counters["workers"] = static_cast<double>(entry.OwnedWorkers());
  run.counters["tasks"] = static_cast<double>(entry.RunningTasks());
}

/// Job records of a data centre that changed, as a watch answers.
KvReply ChangedJobs(int count, KvRevision first) {
  KvReply reply{.status = KvStatus::kOk};

  for (int job = 0; job < count; ++job) {
    JobRecord record;
    record.spec = FillingJob(absl::StrFormat("job-%06d", job), 70, 15, kLongRun);
    record.change_id = "change-1";
    for (int rack = 0; rack < 70; ++rack) {
      record.parts.push_back(JobPart{RackId(absl::StrFormat("dc-00-rack-%03d", rack)), rack, 1});
    }

    reply.revision = first + job;
    reply.entries.push_back(
        KvEntry{"dc/dc-00/jobs/" + record.spec.job.Text(), Encode(record), reply.revision});
  }

  return reply;
}

void WatchAnswer(benchmark::State& run) {
  const auto changes = static_cast<int>(run.range(0));
  OneEntry entry({.workers = 560, .foreign_vms = 0, .entries = 20});
  KvRevision revision = 1'000'000;
  double seconds = 0.0;
  int64_t answers = 0;

  while (run.KeepRunning()) {
    const KvReply reply = ChangedJobs(changes, revision);
    revision += changes;
    const double taken = entry.Probe(KvWatchAnswered{entry.Entry().work.watch.request, reply});
    run.SetIterationTime(taken);
    seconds += taken;
    ++answers;
  }

  AllSlopes().Add("watch answer by changed jobs of 70 parts", "us", changes,
                  seconds * kMicros / static_cast<double>(answers));
}

void TaskStart(benchmark::State& run) {
  const auto tasks = static_cast<int>(run.range(0));
  double started = 0.0;
  double seconds = 0.0;

  while (run.KeepRunning()) {
    OneEntry entry({.workers = 32, .foreign_vms = 0, .entries = 1, .foreign_entries = 0});
    const double idle_begin = entry.Spent();
    entry.Run(kSecond * 5);
    const double idle = entry.Spent() - idle_begin;

    entry.Submit(FillingJob("weekly-menu", 32 * tasks, tasks, kLongRun));
    const double begin = entry.Spent();
    entry.Run(kSecond * 5);
    const double taken = entry.Spent() - begin - idle;

    run.SetIterationTime(taken);
    seconds += taken;
    started += static_cast<double>(entry.RunningTasks());
  }

  AllSlopes().Add("start of one task by tasks of its worker", "us", tasks,
                  seconds * kMicros / started);
  run.counters["started"] = started / static_cast<double>(run.iterations());
}

void SubmitJobs(benchmark::State& run) {
  const auto vms = static_cast<int>(run.range(0));
  const int own = std::min(vms, 560);
  OneEntry entry({.workers = own, .foreign_vms = vms - own, .entries = 20});
  RequestId command = 1'000'000;
  double seconds = 0.0;

  while (run.KeepRunning()) {
    const std::string name = "job-" + std::to_string(++command);
    const double taken =
        entry.Probe(CommandReceived{command, name, SubmitJob{FillingJob(name, own, 15, kLongRun)}});
    run.SetIterationTime(taken);
    seconds += taken;
  }

  AllSlopes().Add("submit of a job by VMs listed", "us", vms,
                  seconds * kMicros / static_cast<double>(command - 1'000'000));
}

/// Cancels a job whose tasks wait for room.
void CancelQueued(benchmark::State& run) {
  const auto queued = static_cast<int>(run.range(0));
  double seconds = 0.0;
  RequestId command = 1'000'000;

  while (run.KeepRunning()) {
    OneEntry entry({.workers = 48, .foreign_vms = 0, .entries = 1, .foreign_entries = 0});
    entry.Submit(FillingJob("blocking", 48, 1, kLongRun));
    entry.Run(kSecond * 3);
    entry.Submit(FillingJob("waiting", queued, 1, kLongRun));
    entry.Run(kSecond);

    const double begin = entry.Spent();
    entry.Take(CommandReceived{++command, "change", CancelJob{JobId("waiting")}});
    entry.Deliver();
    run.SetIterationTime(entry.Spent() - begin);
    seconds += entry.Spent() - begin;
  }

  AllSlopes().Add("cancellation by queued tasks", "us", queued,
                  seconds * kMicros / static_cast<double>(run.iterations()));
}

/// The list as read again, unchanged.
void VmList(benchmark::State& run) {
  const auto vms = static_cast<int>(run.range(0));
  const int own = std::min(vms, 560);
  OneEntry entry({.workers = own, .foreign_vms = vms - own, .entries = 20});
  double seconds = 0.0;
  int64_t lists = 0;

  while (run.KeepRunning()) {
    const double taken = entry.Probe(VmListRead{entry.List()});
    run.SetIterationTime(taken);
    seconds += taken;
    ++lists;
  }

  AllSlopes().Add("VM list by VMs listed", "us", vms,
                  seconds * kMicros / static_cast<double>(lists));
  const std::string text = Encode(entry.List());
  AllSlopes().Add("VM list as JSON by VMs listed", "bytes", vms, static_cast<double>(text.size()));
  AllSlopes().Add("VM list decoded by VMs listed", "us", vms,
                  MicrosOf([&] { benchmark::DoNotOptimize(DecodeVmList(text)); }));
}

/// What a worker answers every order with, as text.
void WorkerTableText(benchmark::State& run) {
  const auto tasks = static_cast<int>(run.range(0));
  WorkerTable table{.incarnation = 1'764'828'000'000, .epoch = int64_t{5} << 32};

  for (int task = 0; task < tasks; ++task) {
    const TaskKey key{JobId("weekly-menu-20261204"), task};
    table.tasks.push_back(WorkerTask{.task = key, .attempt = 1, .held = {4'000, 8'000, 0}});
    table.usage.push_back(TaskUsage{.task = key, .attempt = 1, .used = {3'000, 6'000, 0}});
  }

  const std::string text = Encode(table);
  while (run.KeepRunning()) {
    run.SetIterationTime(MicrosOf([&] { benchmark::DoNotOptimize(DecodeWorkerTable(text)); }) /
                         kMicros);
  }

  AllSlopes().Add("worker table as JSON by tasks", "bytes", tasks,
                  static_cast<double>(text.size()));
  AllSlopes().Add("worker table decoded by tasks", "us", tasks,
                  MicrosOf([&] { benchmark::DoNotOptimize(DecodeWorkerTable(text)); }));
}

void Dump(benchmark::State& run) {
  const auto vms = static_cast<int>(run.range(0));
  const int own = std::min(vms, 560);
  OneEntry entry({.workers = own, .foreign_vms = vms - own, .entries = 20});
  RequestId command = 1'000'000;
  double seconds = 0.0;

  while (run.KeepRunning()) {
    const double taken = entry.Probe(CommandReceived{++command, "dump", DumpState{}});
    run.SetIterationTime(taken);
    seconds += taken;
  }

  AllSlopes().Add("state dump by VMs listed", "us", vms,
                  seconds * kMicros / static_cast<double>(command - 1'000'000));
}

/// A few iterations each, as one may take a second.
void Settle(benchmark::internal::Benchmark* one, int iterations) {
  one->UseManualTime()->Iterations(iterations)->Unit(benchmark::kMicrosecond);
}

void OfSteadyCases(benchmark::internal::Benchmark* one) {
  one->DenseRange(0, static_cast<int64_t>(SteadyCases().size()) - 1);
  Settle(one, 5);
}

void OfVms(benchmark::internal::Benchmark* one) {
  one->Arg(48)->Arg(1'000)->Arg(14'000);
  Settle(one, 20);
}

void OfChanges(benchmark::internal::Benchmark* one) {
  one->Arg(1)->Arg(10)->Arg(100);
  Settle(one, 20);
}

void OfQueuedTasks(benchmark::internal::Benchmark* one) {
  one->Arg(100)->Arg(1'000)->Arg(10'000);
  Settle(one, 3);
}

void OfWorkerTasks(benchmark::internal::Benchmark* one) {
  one->Arg(1)->Arg(5)->Arg(15)->Arg(50);
  Settle(one, 2);
}

BENCHMARK(SteadySecond)->Apply(OfSteadyCases);
BENCHMARK(WatchAnswer)->Apply(OfChanges);
BENCHMARK(TaskStart)->Apply(OfWorkerTasks);
BENCHMARK(SubmitJobs)->Apply(OfVms);
BENCHMARK(CancelQueued)->Apply(OfQueuedTasks);
BENCHMARK(VmList)->Apply(OfVms);
BENCHMARK(WorkerTableText)->Apply(OfWorkerTasks);
BENCHMARK(Dump)->Apply(OfVms);

}  // namespace
}  // namespace currantpost::bench

int main(int argc, char** argv) {
  benchmark::Initialize(&argc, argv);
  if (benchmark::ReportUnrecognizedArguments(argc, argv)) return 1;

  benchmark::RunSpecifiedBenchmarks();
  currantpost::bench::AllSlopes().Print("Processor time of the reducer");
  currantpost::bench::PrintMemory();
  currantpost::bench::PrintHeartbeatBytes();
  currantpost::bench::PrintTraffic();
  return 0;
}

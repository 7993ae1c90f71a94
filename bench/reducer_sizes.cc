#include "reducer_sizes.h"

#include <cstdio>
#include <functional>
#include <memory>

#include "absl/strings/str_format.h"
#include "allocation_count.h"
#include "currantpost/model/codec.h"
#include "currantpost/peer/heartbeat_message.h"
#include "one_entry.h"
#include "slopes.h"

namespace currantpost::bench {
namespace {

constexpr Millis kLongRun = Millis(1'000'000'000);

/// Returns how many bytes an action leaves on the heap.
double BytesOf(const std::function<void()>& action) {
  const int64_t before = HeldBytes();
  action();
  return static_cast<double>(HeldBytes() - before);
}

void AddMemoryOfVms(Slopes& slopes) {
  for (const int vms : {48, 1'000, 14'000}) {
    State state{ControlSettings{}};
    const OneEntry source({.workers = 8, .foreign_vms = vms - 8, .entries = 1});
    const double bytes = BytesOf([&] {
      Effects effects;
      Reduce(state, Event{Millis(1'000), VmListRead{source.List()}}, effects);
    });
    slopes.Add("state by VMs listed, first list", "bytes", vms, bytes);
  }
}

void AddMemoryOfWorkers(Slopes& slopes) {
  for (const int workers : {8, 64, 560}) {
    OneEntry entry({.workers = workers, .foreign_vms = 0, .entries = 1, .foreign_entries = 0});
    const double bytes = BytesOf([&] { entry.Entry().work.racks.clear(); });
    slopes.Add("racks and workers by owned workers", "bytes", workers, -bytes);
  }
}

void AddMemoryOfTasks(Slopes& slopes) {
  for (const int tasks : {1, 15, 60}) {
    OneEntry entry({.workers = 8, .foreign_vms = 0, .entries = 1, .foreign_entries = 0});
    entry.Submit(FillingJob("weekly-menu", tasks * 8, tasks, kLongRun));
    entry.Run(Millis(10'000));
    const auto running = static_cast<double>(entry.RunningTasks());
    const double bytes = BytesOf([&] { entry.Entry().work.racks.clear(); });
    slopes.Add("racks by running tasks (8 workers)", "bytes", running, -bytes);
  }
}

void AddMemoryOfJobs(Slopes& slopes) {
  for (const int jobs : {100, 1'000}) {
    OneEntry entry({.workers = 560, .foreign_vms = 0, .entries = 20, .foreign_entries = 0});
    const double before = BytesOf([] {});
    for (int job = 0; job < jobs; ++job) {
      entry.Submit(FillingJob(absl::StrFormat("job-%06d", job), 70, 15, Millis(1)));
    }
    entry.Run(Millis(60'000));
    const double bytes = BytesOf([&] { entry.Entry().work.jobs.clear(); });
    slopes.Add("job records by jobs of 70 tasks in 70 racks", "bytes", jobs, before - bytes);
    const double parts = BytesOf([&] { entry.Entry().work.racks.clear(); });
    slopes.Add("parts of ended jobs at one of 20 owners, by jobs", "bytes", jobs, -parts);
  }
}

void AddMemoryOfPeers(Slopes& slopes) {
  for (const int peers : {8, 100, 499}) {
    OneEntry entry({.workers = 8, .foreign_vms = 0, .entries = 1, .foreign_entries = peers});
    const double bytes = BytesOf([&] { entry.Entry().membership.peers.clear(); });
    slopes.Add("membership by known entries", "bytes", peers, -bytes);
  }
}

void AddMemoryOfPresets(Slopes& slopes) {
  for (const int presets : {1, 10, 100}) {
    Configuration configuration = BuiltInConfiguration();
    const Preset ordinary = configuration.presets.begin()->second;
    const double bytes = BytesOf([&] {
      for (int preset = 0; preset < presets; ++preset) {
        const std::string name = absl::StrFormat("preset-%03d", preset);
        configuration.presets[name] = ordinary;
        configuration.presets[name].name = name;
      }
    });
    slopes.Add("configuration by presets", "bytes", presets, bytes);
    slopes.Add("configuration as JSON by presets", "bytes", presets,
               static_cast<double>(Encode(configuration).size()));
  }
}

Heartbeat PlainHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = OneEntry({.foreign_entries = 1}).HeartbeatOf(0).sender;
  heartbeat.sender.configuration_revision = 25'000;
  return heartbeat;
}

double SizeOf(const Heartbeat& heartbeat) {
  return static_cast<double>(ToMessage(heartbeat).ByteSizeLong());
}

/// A series of calls counted over simulated time.
struct TrafficCase {
  const char* series;
  double size;
  Surroundings surroundings;
  /// Jobs submitted through the entry in each second, of so many tasks.
  int jobs_per_second = 0;
  int tasks = 0;
  /// If not 0, one job comes every so many seconds instead.
  int seconds_per_job = 0;
};

void CountTraffic(const TrafficCase& each, Slopes& slopes) {
  constexpr int kSeconds = 120;
  OneEntry entry(each.surroundings);
  const Traffic before = entry.Seen();
  int job = 0;

  for (int second = 0; second < kSeconds; ++second) {
    for (int turn = 0; turn < each.jobs_per_second; ++turn) {
      entry.Submit(FillingJob(absl::StrFormat("job-%06d", job++), each.tasks, 40, Millis(500)));
    }

    if (each.seconds_per_job > 0 && second % each.seconds_per_job == 0) {
      entry.Submit(FillingJob(absl::StrFormat("job-%06d", job++), each.tasks, 40, Millis(10'000)));
    }

    entry.Run(Millis(1'000));
  }

  const Traffic after = entry.Seen();
  const std::string series = each.series;
  const auto rate = [](int64_t from, int64_t to) {
    return static_cast<double>(to - from) / kSeconds;
  };
  const int64_t reads = after.kv_reads + after.kv_lists + after.kv_watches;
  const int64_t reads_before = before.kv_reads + before.kv_lists + before.kv_watches;

  slopes.Add(series + ": reads and watches", "calls/s", each.size, rate(reads_before, reads));
  slopes.Add(series + ": writes", "calls/s", each.size, rate(before.kv_writes, after.kv_writes));
  slopes.Add(series + ": orders to workers", "calls/s", each.size,
             rate(before.orders, after.orders));
  slopes.Add(series + ": heartbeats both ways", "bytes/s", each.size,
             rate(before.heartbeat_bytes, after.heartbeat_bytes));
  slopes.Add(series + ": log lines", "lines/s", each.size, rate(before.log_lines, after.log_lines));
}

}  // namespace

void PrintMemory() {
  Slopes slopes;
  AddMemoryOfVms(slopes);
  AddMemoryOfWorkers(slopes);
  AddMemoryOfTasks(slopes);
  AddMemoryOfJobs(slopes);
  AddMemoryOfPeers(slopes);
  AddMemoryOfPresets(slopes);
  slopes.Print("Memory held");
}

void PrintHeartbeatBytes() {
  Slopes slopes;

  for (const int count : {0, 4, 16, 64}) {
    Heartbeat racks = PlainHeartbeat();
    Heartbeat known = PlainHeartbeat();
    Heartbeat leaving = PlainHeartbeat();

    for (int turn = 0; turn < count; ++turn) {
      racks.racks.push_back(RackClaim{RackId(absl::StrFormat("dc-00-rack-%03d", turn)), 12});
      known.known.push_back(PlainHeartbeat().sender);
      known.known.back().age_ms = 1'500;
      leaving.leaving_upstreams.push_back(LeavingUpstream{
          VmId(absl::StrFormat("dc-00-rack-%03d-vm-01", turn)), racks.sender.incarnation});
    }

    slopes.Add("heartbeat by racks owned", "bytes", count, SizeOf(racks));
    slopes.Add("heartbeat by known entries passed on", "bytes", count, SizeOf(known));
    slopes.Add("heartbeat by leaving upstreams passed on", "bytes", count, SizeOf(leaving));
  }

  slopes.Print("Bytes of one heartbeat message (protobuf, without gRPC's own)");
}

void PrintTraffic() {
  Slopes slopes;

  for (const int racks : {1, 6, 70}) {
    CountTraffic({"racks owned, idle",
                  static_cast<double>(racks),
                  {.workers = racks * 8, .foreign_vms = 0, .entries = 1, .foreign_entries = 0}},
                 slopes);
  }

  for (const int entries : {1, 3, 20}) {
    CountTraffic({"entries of a data centre, 70 racks",
                  static_cast<double>(entries),
                  {.workers = 560, .foreign_vms = 0, .entries = entries, .foreign_entries = 0}},
                 slopes);
  }

  for (const int entries : {6, 120, 480}) {
    CountTraffic({"entries elsewhere, 20 here",
                  static_cast<double>(entries),
                  {.workers = 560, .foreign_vms = 0, .entries = 20, .foreign_entries = entries}},
                 slopes);
  }

  CountTraffic({"today: 3 entries here, 6 elsewhere",
                1,
                {.workers = 16, .foreign_vms = 32, .entries = 3, .foreign_entries = 6}},
               slopes);

  for (const int jobs : {1, 2, 4}) {
    CountTraffic({"jobs/s of 48 tasks, 6 racks owned",
                  static_cast<double>(jobs),
                  {.workers = 48, .foreign_vms = 0, .entries = 1, .foreign_entries = 0},
                  jobs,
                  48},
                 slopes);
    CountTraffic({"jobs/s of 4 tasks, 6 racks owned",
                  static_cast<double>(jobs),
                  {.workers = 48, .foreign_vms = 0, .entries = 1, .foreign_entries = 0},
                  jobs,
                  4},
                 slopes);
  }

  for (const int leaving : {0, 64, 600}) {
    CountTraffic({"leaving upstreams, 20 entries",
                  static_cast<double>(leaving),
                  {.workers = 560,
                   .foreign_vms = 2'400,
                   .entries = 20,
                   .foreign_entries = 0,
                   .leaving = leaving}},
                 slopes);
  }

  // 7.5 completions a second in 6 racks, as 2,200 a second are in 1,750.
  for (const int interval : {500, 2'000, 10'000, 30'000}) {
    CountTraffic({"completion interval in ms, 7.5 completions/s in 6 racks",
                  static_cast<double>(interval),
                  {.workers = 48,
                   .foreign_vms = 0,
                   .entries = 1,
                   .foreign_entries = 0,
                   .completion_interval = Millis(interval)},
                  0,
                  45,
                  6},
                 slopes);
  }

  slopes.Print("Calls and messages of one entry, over simulated time");
}

}  // namespace currantpost::bench

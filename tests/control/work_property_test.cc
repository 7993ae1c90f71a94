#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_world.h"

/// Checks under a random combination of faults that each task runs on one worker at a time and
/// finishes once.

namespace currantpost {
namespace {

const DataCentreId kDataCentre("dc0");
const JobId kJob("review");
constexpr int32_t kTasks = 40;

JobSpec ReviewJob() {
  return JobSpec{.job = kJob,
                 .team = TeamId("permits"),
                 .kind = "sediment",
                 .declared = Resources{.millicores = 1'000, .memory_mib = 500},
                 .task_count = kTasks,
                 .run_time = Millis(8'000)};
}

WorldShape Shape() {
  return WorldShape{.data_centres = 1,
                    .entries = 3,
                    .racks = 2,
                    .workers = 3,
                    .capacity = {.millicores = 4'000, .memory_mib = 4'000}};
}

/// Fault that may be injected at one step.
enum class Fault {
  kNone,
  kRestartEntry,
  kPauseEntry,
  kResumeEntries,
  kReplaceWorker,
  kCutEntryFromStore,
  kCutEntryFromWorker,
  kCutEntryFromEntry,
  kRestoreLinks,
  kStoreDown,
  kStoreUp,
  kFreezeList,
  kFaultCount,
};

EntryId AnyEntry() { return EntryId("e0" + std::to_string(*rc::gen::inRange(0, 3))); }

VmId AnyWorker() { return VmId("vm0" + std::to_string(*rc::gen::inRange(0, 6))); }

void CutBothWays(FakeWorld& world, const std::string& left, const std::string& right) {
  world.CutLink(left, right);
  world.CutLink(right, left);
}

void ResumeAll(FakeWorld& world) {
  for (const EntryId& entry : world.Entries()) {
    if (world.IsUp(entry)) world.Resume(entry);
  }
}

void InjectFault(FakeWorld& world, Fault fault) {
  const EntryId entry = AnyEntry();

  switch (fault) {
    case Fault::kNone:
    case Fault::kFaultCount:
      return;
    case Fault::kRestartEntry:
      world.Kill(entry);
      return world.Start(entry);
    case Fault::kPauseEntry:
      return world.Pause(entry);
    case Fault::kResumeEntries:
      return ResumeAll(world);
    case Fault::kReplaceWorker:
      return world.ReplaceWorker(AnyWorker());
    case Fault::kCutEntryFromStore:
      return CutBothWays(world, entry.Text(), "kv");
    case Fault::kCutEntryFromWorker:
      return CutBothWays(world, entry.Text(), AnyWorker().Text());
    case Fault::kCutEntryFromEntry:
      return CutBothWays(world, entry.Text(), AnyEntry().Text());
    case Fault::kRestoreLinks:
      return world.RestoreLinks();
    case Fault::kStoreDown:
      return world.SetKvDown(true);
    case Fault::kStoreUp:
      return world.SetKvDown(false);
    case Fault::kFreezeList:
      return world.FreezeList(true);
  }
}

void EndFaults(FakeWorld& world) {
  world.SetFaults({});
  world.RestoreLinks();
  world.SetKvDown(false);
  world.FreezeList(false);
  ResumeAll(world);
}

RC_GTEST_PROP(OnePlace, EachTaskRunsInOnePlaceAndFinishesOnce, ()) {
  FakeWorld world(*rc::gen::arbitrary<uint64_t>(), Shape());
  world.Run(Millis(8'000));
  world.Submit(EntryId("e00"), SubmitJob{ReviewJob()});
  world.Run(Millis(1'000));
  world.SetFaults(
      {.loss_probability = 0.03, .duplicate_probability = 0.05, .delay_probability = 0.05});

  for (int step = 0; step < 12; ++step) {
    const auto fault =
        static_cast<Fault>(*rc::gen::inRange(0, static_cast<int>(Fault::kFaultCount)));
    InjectFault(world, fault);
    world.Run(Millis(*rc::gen::inRange(200, 6'000)));
  }

  EndFaults(world);
  world.Run(Millis(120'000));

  if (!world.Violations().empty()) RC_FAIL(*world.Violations().begin());
  RC_ASSERT(world.CompletedTasks(kDataCentre, kJob).size() == size_t{kTasks});
}

}  // namespace
}  // namespace currantpost

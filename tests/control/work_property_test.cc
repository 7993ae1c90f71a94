#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fake_world.h"

/// The promises about tasks, under everything that may fail at once.

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

/// What may go wrong at one step.
enum class Trouble {
  kNone,
  kRestartEntry,
  kPauseEntry,
  kResumeEntries,
  kReplaceWorker,
  kCutEntryFromStore,
  kCutEntryFromWorker,
  kCutEntriesApart,
  kMend,
  kStoreDown,
  kStoreUp,
  kFreezeList,
  kLast,
};

EntryId AnyEntry() { return EntryId("e0" + std::to_string(*rc::gen::inRange(0, 3))); }

VmId AnyWorker() { return VmId("vm0" + std::to_string(*rc::gen::inRange(0, 6))); }

void CutBothWays(FakeWorld& world, const std::string& left, const std::string& right) {
  world.Cut(left, right);
  world.Cut(right, left);
}

void ResumeAll(FakeWorld& world) {
  for (const EntryId& entry : world.Entries()) {
    if (world.IsUp(entry)) world.Resume(entry);
  }
}

void Apply(FakeWorld& world, Trouble trouble) {
  const EntryId entry = AnyEntry();

  switch (trouble) {
    case Trouble::kNone:
    case Trouble::kLast:
      return;
    case Trouble::kRestartEntry:
      world.Kill(entry);
      return world.Start(entry);
    case Trouble::kPauseEntry:
      return world.Pause(entry);
    case Trouble::kResumeEntries:
      return ResumeAll(world);
    case Trouble::kReplaceWorker:
      return world.ReplaceWorker(AnyWorker());
    case Trouble::kCutEntryFromStore:
      return CutBothWays(world, entry.Text(), "kv");
    case Trouble::kCutEntryFromWorker:
      return CutBothWays(world, entry.Text(), AnyWorker().Text());
    case Trouble::kCutEntriesApart:
      return CutBothWays(world, entry.Text(), AnyEntry().Text());
    case Trouble::kMend:
      return world.Mend();
    case Trouble::kStoreDown:
      return world.SetKvDown(true);
    case Trouble::kStoreUp:
      return world.SetKvDown(false);
    case Trouble::kFreezeList:
      return world.FreezeList(true);
  }
}

void Calm(FakeWorld& world) {
  world.SetFaults({});
  world.Mend();
  world.SetKvDown(false);
  world.FreezeList(false);
  ResumeAll(world);
}

RC_GTEST_PROP(OnePlace, EachTaskRunsInOnePlaceAndFinishesOnce, ()) {
  FakeWorld world(*rc::gen::arbitrary<uint64_t>(), Shape());
  world.Run(Millis(8'000));
  world.Submit(EntryId("e00"), SubmitJob{ReviewJob()});
  world.Run(Millis(1'000));
  world.SetFaults({.lose = 0.03, .repeat = 0.05, .delay = 0.05});

  for (int step = 0; step < 12; ++step) {
    const auto trouble =
        static_cast<Trouble>(*rc::gen::inRange(0, static_cast<int>(Trouble::kLast)));
    Apply(world, trouble);
    world.Run(Millis(*rc::gen::inRange(200, 6'000)));
  }

  Calm(world);
  world.Run(Millis(120'000));

  if (!world.Violations().empty()) RC_FAIL(*world.Violations().begin());
  RC_ASSERT(world.CompletedTasks(kDataCentre, kJob).size() == size_t{kTasks});
}

}  // namespace
}  // namespace currantpost

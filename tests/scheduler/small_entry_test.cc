#include <gtest/gtest.h>

#include "order_audit.h"

/// Entries whose processor is so small that events wait for it.

namespace currantpost::scheduler {
namespace {

TEST(SmallEntry, AnOwnerThatIsASecondBehindStopsACancelledJobInTime) {
  World world{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 1, .millicores = {69, 69}}};
  std::vector<std::string> found;
  OrderAudit audit(world, [&](const std::string& check, const std::string& text) {
    found.push_back(check + ": " + text);
  });
  world.on_answer = [&](const Told& told) { audit.Take(told); };
  world.planner = [](const TaskName&) {
    return RunPlan{.lasts = true, .need = Resources{.millicores = 1'000}};
  };
  std::string busy;
  // Callers' questions keep the owner busy.
  const auto run = [&](Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(100)) {
      for (int32_t question = 0; question < 8 && !busy.empty(); ++question) {
        world.Ask(busy, "unknown");
      }
      world.Run(Millis(100));
      audit.Check();
    }
  };

  run(Millis(3'500));
  JobSpec spec = MakeJob("job", 8);
  spec.steps[0].lasting = true;
  world.Submit("e0", spec);
  run(Millis(2'000));
  ASSERT_EQ(world.WorkersOf("job").size(), 8U);

  busy = world.OwnerOf("job");
  world.Equip(busy, Machine{.per_event = Millis(40), .longest_wait = Millis(1'000)});
  run(Millis(4'000));
  ASSERT_EQ(world.OwnerOf("job"), busy);
  world.Cancel(busy == "e0" ? "e1" : "e0", "job");
  run(Millis(6'000));

  EXPECT_EQ(found, std::vector<std::string>());
}

}  // namespace
}  // namespace currantpost::scheduler

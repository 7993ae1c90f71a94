#include <gtest/gtest.h>

#include "order_audit.h"

/// Entries with so little processor time that events queue up.

namespace currantpost::scheduler {
namespace {

TEST(SmallEntry, AnOwnerThatIsASecondBehindStopsACancelledJobInTime) {
  World world{WorldShape{.entries = 2, .racks = 1, .workers_per_rack = 1, .millicores = {69, 69}}};
  std::vector<std::string> found;
  OrderAudit audit(world, [&](const std::string& check, const std::string& text) {
    found.push_back(check + ": " + text);
  });
  world.on_answer = [&](const ObservedAnswer& answer) { audit.RecordAnswer(answer); };
  world.planner = [](const TaskName&) {
    return RunPlan{.never_ends = true, .need = Resources{.millicores = 1'000}};
  };
  std::string busy_owner;
  // Callers' queries keep the owner busy.
  const auto run = [&](Millis span) {
    for (Millis passed; passed < span; passed = passed + Millis(100)) {
      for (int32_t query = 0; query < 8 && !busy_owner.empty(); ++query) {
        world.RequestStatus(busy_owner, "unknown");
      }
      world.Run(Millis(100));
      audit.Check();
    }
  };

  run(Millis(3'500));
  JobSpec spec = MakeJob("job", 8);
  spec.steps[0].is_long_running = true;
  world.Submit("e0", spec);
  run(Millis(2'000));
  ASSERT_EQ(world.WorkersOf("job").size(), 8U);

  busy_owner = world.OwnerOf("job");
  world.SetMachine(busy_owner, Machine{.per_event = Millis(40), .max_wait = Millis(1'000)});
  run(Millis(4'000));
  ASSERT_EQ(world.OwnerOf("job"), busy_owner);
  world.Cancel(busy_owner == "e0" ? "e1" : "e0", "job");
  run(Millis(6'000));

  EXPECT_EQ(found, std::vector<std::string>());
}

}  // namespace
}  // namespace currantpost::scheduler

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "callers.h"
#include "currantpost/base/time.h"
#include "fleet.h"
#include "verdict.h"

/// The main job: requests, a batch job and a preset switch through a small fleet, one entry of
/// which is killed meanwhile.

namespace {

namespace demo = currantpost::demo;
namespace support = currantpost::testing_support;
using currantpost::Millis;
using nlohmann::json;

constexpr int kBroken = 1;
constexpr int kNotStarted = 2;
constexpr int kHttpOk = 200;
/// The answer to a job that an earlier try, whose answer was lost, has brought in.
constexpr int kHttpConflict = 409;

/// Entries by number: which submits the job, which takes the switch, and which is killed.
constexpr size_t kJobEntry = 0;
constexpr size_t kKilledEntry = 1;
constexpr size_t kSwitchEntry = 2;

constexpr Millis kTimeBeforeKill(2'000);
constexpr Millis kTimeAfterKill(4'000);
constexpr Millis kSubmitDeadline(15'000);
constexpr Millis kJobDeadline(90'000);
constexpr Millis kPollInterval(250);
constexpr const char* kPreset = "peak";

const demo::DemoJob kJob{"pantry-orders", 24};

void Sleep(Millis span) { std::this_thread::sleep_for(std::chrono::milliseconds(span.Count())); }

void Say(const std::string& text) {
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
}

json JobSpec() {
  return json{{"job", kJob.name},
              {"team", "kitchen"},
              {"class", "batch"},
              {"kind", "pantry-order"},
              {"declared", {{"millicores", 1'000}, {"memory_mib", 500}, {"accelerators", 0}}},
              {"task_count", kJob.tasks},
              {"run_time_ms", 1'000}};
}

/// Submits the job until it is accepted, as racks may not be owned yet. Returns the last answer.
support::Answer SubmitJob(const currantpost::Address& operators) {
  const currantpost::MonotonicClock clock;
  const Millis end = clock.Now() + kSubmitDeadline;
  support::Answer answer;

  while (clock.Now() < end) {
    answer = support::Send(operators, "POST", "/v1/jobs", JobSpec());
    if (answer.status == kHttpOk || answer.status == kHttpConflict) break;

    Say("job refused for now: " + answer.body.dump());
    Sleep(kPollInterval);
  }

  return answer;
}

/// Waits until the job is told complete, and returns the last answer.
json AwaitJob(const currantpost::Address& operators) {
  const currantpost::MonotonicClock clock;
  const Millis end = clock.Now() + kJobDeadline;
  json answer;

  while (clock.Now() < end) {
    answer = support::Ask(operators, "GET", "/v1/jobs/" + kJob.name);
    if (answer.is_object() && answer.value("completed", 0) == kJob.tasks) break;
    Sleep(kPollInterval);
  }

  return answer;
}

/// Sends a job through one entry, switches the preset through another and kills a third, while
/// callers go on.
std::vector<demo::Check> RunMainJob(support::Fleet& fleet) {
  const std::vector<support::Entry>& entries = fleet.Entries();
  std::vector<currantpost::Address> addresses;
  for (const support::Entry& entry : entries) addresses.push_back(entry.callers);

  const json preset =
      support::Ask(entries[kSwitchEntry].operators, "PUT", std::string("/v1/presets/") + kPreset,
                   json{{"name", kPreset}, {"batch_share", 0.5}});
  Say(std::string("preset \"peak\": ") + preset.dump());

  support::Callers callers(addresses);
  callers.Start();

  const support::Answer accepted = SubmitJob(entries[kJobEntry].operators);
  Say("job through " + entries[kJobEntry].name + ": " + accepted.body.dump());

  Sleep(kTimeBeforeKill);
  fleet.Kill(kKilledEntry);
  Say("killed " + entries[kKilledEntry].name);

  const json switched =
      support::Ask(entries[kSwitchEntry].operators, "POST",
                   std::string("/v1/presets/") + kPreset + "/switch", json::object());
  Say("switch through " + entries[kSwitchEntry].name + ": " + switched.dump());

  Sleep(kTimeAfterKill);
  callers.Stop();
  const json job = AwaitJob(entries[kJobEntry].operators);
  Say("job at the end: " + job.dump());

  demo::PrintCallers(callers.Records(), entries);

  std::vector<demo::Check> checks = demo::CheckCallers(callers.Records(), fleet.Vms());
  for (demo::Check& check : demo::CheckJob(kJob, job, fleet.Vms())) {
    checks.push_back(std::move(check));
  }
  checks.push_back(demo::CheckPreset(kPreset, switched, entries));

  const int stopped = fleet.StopEntries();
  checks.push_back({"a planned stop ends well",
                    std::to_string(stopped) + " of " + std::to_string(entries.size() - 1),
                    stopped == static_cast<int>(entries.size()) - 1});
  return checks;
}

int RunDemo(int argc, char** argv) {
  CLI::App app("Runs currantpost with stand-ins for all around it, and checks its promises.");
  std::string build = "build";
  app.add_option("--build-dir", build, "Folder that the programs were built in");
  CLI11_PARSE(app, argc, argv);

  support::Fleet fleet(support::Programs{build + "/main/currantpostd/currantpostd",
                                         build + "/tests/standins/standin_platform",
                                         build + "/tests/standins/standin_vm"});

  if (!fleet.Start()) {
    Say("The entries did not become ready in time.\n" + fleet.EntryOutput());
    return kNotStarted;
  }

  Say("4 entries and 8 VMs in 2 data centres are ready");
  const bool is_kept = demo::PrintChecks(RunMainJob(fleet));
  if (!is_kept) Say("\n" + fleet.EntryOutput());

  Say(is_kept ? "\nAll promises checked were kept." : "\nA promise was broken.");
  return is_kept ? 0 : kBroken;
}

}  // namespace

/// Exit codes: 0 all kept, 1 a promise was broken, 2 the fleet did not start.
int main(int argc, char** argv) {
  try {
    return RunDemo(argc, argv);
  } catch (const std::exception& exception) {
    std::fprintf(stderr, "[demo] %s\n", exception.what());
    return kNotStarted;
  }
}

#include <absl/strings/numbers.h>

#include <iostream>
#include <map>
#include <string>

#include "store.h"
#include "worker.h"

/// Stands in for the platform's store or for one worker, until it is killed:
///
///     standin store|worker NAME=VALUE...

namespace {

using currantpost::EventLoop;
using currantpost::MonotonicClock;

constexpr size_t kDefaultValueBytes = 1'048'576;

using Flags = std::map<std::string, std::string>;

int64_t Number(const Flags& flags, const std::string& name, int64_t default_value) {
  const auto flag = flags.find(name);
  int64_t number = 0;
  if (flag == flags.end() || !absl::SimpleAtoi(flag->second, &number)) return default_value;

  return number;
}

int RunStore(const Flags& flags) {
  EventLoop loop;
  const MonotonicClock clock;
  currantpost::review::Store store(
      loop, clock, static_cast<size_t>(Number(flags, "value_bytes", kDefaultValueBytes)));
  if (!store.Listen(static_cast<int>(Number(flags, "port", 0)))) return 2;

  loop.Run();
  return 0;
}

int RunWorker(Flags flags) {
  EventLoop loop;
  const MonotonicClock clock;
  currantpost::review::WorkerOptions options;
  options.id = flags["id"];
  options.zone = flags["zone"];
  options.kind = flags["kind"];
  options.rack = flags["rack"];
  if (flags.contains("service")) options.service = flags["service"];
  options.port = static_cast<int>(Number(flags, "port", 0));
  options.store_port = static_cast<int>(Number(flags, "store", 0));
  options.millicores = Number(flags, "cpu", options.millicores);
  options.guards = Number(flags, "guards", 1) != 0;
  currantpost::review::Worker worker(loop, clock, options);
  if (!worker.Listen()) return 2;

  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  Flags flags;

  for (int at = 2; at < argc; ++at) {
    const std::string text = argv[at];
    const size_t equals = text.find('=');
    if (equals != std::string::npos) flags[text.substr(0, equals)] = text.substr(equals + 1);
  }

  if (mode == "store") return RunStore(flags);
  if (mode == "worker") return RunWorker(flags);

  std::cerr << "usage: standin store|worker NAME=VALUE...\n";
  return 2;
}

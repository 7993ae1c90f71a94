#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "worker.h"

/// One life of a stand-in worker. Arguments: id, host, port, store's host, store's port, zone,
/// labels joined by commas, thousandths of a core, whether it rejects what does not fit ("yes" or
/// "no"), its service, and the record's path.

namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  size_t at = 0;

  while (at <= text.size()) {
    const size_t end = std::min(text.find(',', at), text.size());
    parts.push_back(text.substr(at, end - at));
    at = end + 1;
  }

  return parts;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 12;
  if (argc != kArguments) return EXIT_FAILURE;

  try {
    const std::vector<std::string> args(argv, argv + argc);
    review::WorkerOptions options;
    options.id = args[1];
    options.address = {args[2], std::stoi(args[3])};
    options.store = {args[4], std::stoi(args[5])};
    options.zone = args[6];
    options.labels = Split(args[7]);
    options.cpu = std::stoll(args[8]);
    options.guards = args[9] == "yes";
    options.service = args[10];

    currantpost::EventLoop loop;
    const currantpost::MonotonicClock clock;
    review::Worker worker(loop, clock, options, review::Record(args[11]));
    worker.Start();
    loop.Run();
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n";
    return EXIT_FAILURE;
  }

  return EXIT_SUCCESS;
}

#include <algorithm>
#include <cstdio>
#include <map>

#include "fleet.h"

/// Workers crash and start again under their id, as machines of another kind. Clients hand in jobs
/// whose tasks need a label that only one kind has.

namespace {

using review::Fleet;
using review::Step;

constexpr int kPlainWorkers = 10;
constexpr int kSpecialWorkers = 10;
/// At most this share of the workers is down at once: 3 of 20.
constexpr int kDownAtOnce = 3;
constexpr int64_t kLengthMs = 75'000;
constexpr int64_t kFirstCrashMs = 15'000;
constexpr int64_t kRoundMs = 10'000;
constexpr int64_t kJobIntervalMs = 250;
constexpr int64_t kCpu = 8'000;
constexpr const char* kNeeded = "stone";
constexpr const char* kPlain = "steel";

std::string WorkerName(int number) { return "w-" + std::to_string(number); }

class KindCase {
 public:
  explicit KindCase(Fleet& fleet) : fleet_(fleet) {}

  int Play() {
    fleet_.Configure(3, {review::Route{.name = "flour", .prefix = "/flour/"}});
    fleet_.AddEntry("front-1", "valley", false);
    fleet_.AddEntry("front-2", "valley", false);

    for (int number = 0; number < kPlainWorkers + kSpecialWorkers; ++number) {
      const char* kind = number % 2 == 0 ? kNeeded : kPlain;
      const std::string rack = "r-" + std::to_string(number / 10);
      fleet_.AddWorker(WorkerName(number), "valley", rack, kind, kCpu);
      fleet_.StartWorker(WorkerName(number));
    }

    fleet_.After(8'000, [this] { SubmitNext(); });
    if (review::WithTrouble()) fleet_.After(kFirstCrashMs, [this] { CrashSome(); });
    fleet_.After(kLengthMs, [this] { fleet_.Stop(); });
    fleet_.Run();
    return Judge();
  }

 private:
  void SubmitNext() {
    const int64_t number = ++jobs_;
    // Half of the jobs need the label, and together they want more than the workers have.
    const bool needs = number % 2 == 0;
    const Step step{.count = 8,
                    .cpu = 2'000,
                    .duration_ms = 2'000,
                    .label = needs ? std::string(kNeeded) : std::string()};
    fleet_.Submit(number % 4 < 2 ? "front-1" : "front-2", "/flour/" + review::JobIdOf(number),
                  {step}, 3, nullptr);
    fleet_.After(kJobIntervalMs, [this] { SubmitNext(); });
  }

  /// Crashes three workers with the label. Each starts again at its address as the other kind.
  void CrashSome() {
    int crashed = 0;

    for (int number = 0; number < kPlainWorkers + kSpecialWorkers && crashed < kDownAtOnce;
         ++number) {
      const std::string id = WorkerName((next_ + number) % (kPlainWorkers + kSpecialWorkers));
      if (fleet_.worker(id).labels.front() != kNeeded) continue;

      ++crashed;
      fleet_.KillWorker(id);
      fleet_.After(700 + 400 * crashed, [this, id] {
        fleet_.worker(id).labels.front() = kPlain;
        fleet_.StartWorker(id);
      });
    }

    next_ += 7;
    // Before the next round workers of the other kind take the place of the lost ones.
    fleet_.After(kRoundMs / 2, [this] { RestoreSome(); });
    fleet_.After(kRoundMs, [this] { CrashSome(); });
  }

  void RestoreSome() {
    int restored = 0;

    for (int number = 0; number < kPlainWorkers + kSpecialWorkers && restored < kDownAtOnce;
         ++number) {
      const std::string id = WorkerName((next_ + 3 + number) % (kPlainWorkers + kSpecialWorkers));
      if (fleet_.worker(id).labels.front() != kPlain) continue;

      ++restored;
      fleet_.KillWorker(id);
      fleet_.After(700 + 400 * restored, [this, id] {
        fleet_.worker(id).labels.front() = kNeeded;
        fleet_.StartWorker(id);
      });
    }
  }

  int Judge() {
    int starts = 0;
    int special = 0;
    int broken = 0;

    for (const std::string& line : fleet_.record().Lines()) {
      if (line.find(" START ") == std::string::npos) continue;

      ++starts;
      const std::string need = review::ValueOf(line, "need");
      if (need.empty()) continue;

      ++special;
      const std::string labels = "," + review::ValueOf(line, "labels") + ",";
      if (labels.find("," + need + ",") != std::string::npos) continue;

      ++broken;
      std::printf("without the label: %s\n", line.c_str());
    }

    std::printf("%d starts, %d of tasks that need the label, %d of them on workers without it\n",
                starts, special, broken);
    fleet_.record().Write("RESULT starts=" + std::to_string(starts) + " special=" +
                          std::to_string(special) + " broken=" + std::to_string(broken));
    if (special == 0 || !fleet_.EntriesRun()) return 2;
    return broken > 0 ? 1 : 0;
  }

  Fleet& fleet_;
  int64_t jobs_ = 0;
  int next_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, [](Fleet& fleet) { return KindCase(fleet).Play(); });
}

#include <cstdio>
#include <string>
#include <vector>

#include "fleet.h"

/// Open connections between the entries and the store go silent for good while new ones work. Then
/// the operator adds one queue and drops another. Counts are requested directly from each entry.

namespace {

using review::Fleet;
using review::Route;

constexpr int64_t kContactMs = 3'000;
constexpr int64_t kConfigApplyMs = 2'000;
constexpr int64_t kMaxStretchMs = 5'000;
constexpr int kRounds = 9;
constexpr int64_t kRoundMs = 11'000;
constexpr int64_t kFirstRoundMs = 9'000;
/// The configuration is written this long after the connections have gone silent.
constexpr int64_t kConfigAfterMs = 400;
constexpr int64_t kProbeIntervalMs = 50;
constexpr int64_t kProbeTimeMs = 3'500;

class SilentCase {
 public:
  explicit SilentCase(Fleet& fleet) : fleet_(fleet) {}

  int Play() {
    fleet_.Configure(version_, Routes());
    for (const char* name : kEntries) fleet_.AddEntry(name, "valley", true);

    for (int number = 0; number < 4; ++number) {
      const std::string id = "w-" + std::to_string(number);
      fleet_.AddWorker(id, "valley", "r-0", "stone", 8'000);
      fleet_.StartWorker(id);
    }

    for (int round = 0; round < kRounds; ++round) {
      // Uneven, as the entries' watches follow each other at even intervals.
      fleet_.After(kFirstRoundMs + round * kRoundMs + (round * 370) % 1'900, [this] { Round(); });
    }

    fleet_.After(kFirstRoundMs + kRounds * kRoundMs, [this] { fleet_.Stop(); });
    fleet_.Run();
    return Judge();
  }

 private:
  /// The queue of each version exists only in that version; one more exists in all.
  [[nodiscard]] std::vector<Route> Routes() const {
    return {Route{.name = "flour", .prefix = "/flour/"},
            Route{.name = "q" + std::to_string(version_), .prefix = PrefixOf(version_)}};
  }

  static std::string PrefixOf(int64_t version) { return "/q" + std::to_string(version) + "/"; }

  void Round() {
    if (review::WithTrouble()) {
      int silent = 0;
      for (const char* name : kEntries) silent += fleet_.relay(name).SilencePresent();
      fleet_.record().Write("SILENCED connections=" + std::to_string(silent));
    }

    silenced_at_ = review::NowMs();
    fleet_.After(kConfigAfterMs, [this] {
      version_ += 3;
      fleet_.Configure(version_, Routes());
      acked_at_ = review::NowMs();
    });
    fleet_.After(kContactMs + kProbeIntervalMs, [this] { Probe(); });
  }

  /// Requests the count of the queue that was added and of the one that was dropped.
  void Probe() {
    if (review::NowMs() - silenced_at_ > kContactMs + kProbeTimeMs) return;

    for (const char* name : kEntries) {
      Ask(name, PrefixOf(version_), 404);
      Ask(name, PrefixOf(version_ - 3), 200);
    }

    fleet_.After(kProbeIntervalMs, [this] { Probe(); });
  }

  /// `old` is the status by which only an older version answers.
  void Ask(const std::string& entry, const std::string& path, int old) {
    const int64_t sent_at = review::NowMs();
    // By the rule the entry has to be in touch, and the bound has to have passed.
    const bool judged = sent_at - silenced_at_ > kContactMs && sent_at - acked_at_ > kConfigApplyMs;
    const int64_t since_silence = sent_at - silenced_at_;
    const int64_t since_ack = sent_at - acked_at_;
    fleet_.Request(
        entry, "GET", path, "",
        [this, entry, path, old, judged, since_silence, since_ack](int status, const std::string&) {
          if (!judged) return;

          ++asked_;
          if (status != old) return;

          ++broken_;
          latest_ = std::max(latest_, since_ack);
          std::printf(
              "%s answered %d for %s, %lld ms after the silence and %lld ms "
              "after the acknowledgement\n",
              entry.c_str(), status, path.c_str(), static_cast<long long>(since_silence),
              static_cast<long long>(since_ack));
        });
  }

  int Judge() {
    const std::string result = "asked=" + std::to_string(asked_) +
                               " by_older_version=" + std::to_string(broken_) +
                               " latest_after_ack_ms=" + std::to_string(latest_);
    std::printf("%s\n", result.c_str());
    fleet_.record().Write("RESULT " + result);
    if (asked_ == 0 || !fleet_.EntriesRun()) return 2;
    return broken_ > 0 ? 1 : 0;
  }

  static constexpr const char* kEntries[] = {"front-1", "front-2", "front-3"};

  Fleet& fleet_;
  int64_t version_ = 3;
  int64_t silenced_at_ = 0;
  int64_t acked_at_ = 0;
  int64_t latest_ = 0;
  int asked_ = 0;
  int broken_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  static_assert(kFirstRoundMs + kRounds * kRoundMs < 115'000);
  static_assert(kMaxStretchMs > 0);
  return review::RunCase(argc, argv, [](Fleet& fleet) { return SilentCase(fleet).Play(); });
}

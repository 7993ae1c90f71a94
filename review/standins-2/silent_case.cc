#include <cstdio>
#include <iterator>
#include <map>
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
constexpr int kRounds = 9;
constexpr int64_t kRoundMs = 11'000;
constexpr int64_t kFirstRoundMs = 9'000;
/// The configuration is written this long after the connections have gone silent.
constexpr int64_t kConfigAfterMs = 400;
constexpr int64_t kProbeIntervalMs = 50;
constexpr int64_t kProbeTimeMs = 3'500;
constexpr int64_t kJobIntervalMs = 150;

class SilentCase {
 public:
  explicit SilentCase(Fleet& fleet) : fleet_(fleet) {}

  int Play() {
    fleet_.Configure(version_, Routes());
    for (const char* name : kEntries) fleet_.AddEntry(name, "valley", true);

    for (int number = 0; number < 8; ++number) {
      const std::string id = "w-" + std::to_string(number);
      const std::string rack = "r-" + std::to_string(number / 4);
      fleet_.AddWorker(id, "valley", rack, "stone", 8'000, number % 2 == 0 ? "grinders" : "mixers");
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
  /// The queue of each version exists only in that version. One more exists in all, and goes to
  /// another service with each version.
  [[nodiscard]] std::vector<Route> Routes() const {
    return {Route{.name = "flour", .prefix = "/flour/", .service = ServiceOf(version_)},
            Route{.name = "q" + std::to_string(version_), .prefix = PrefixOf(version_)}};
  }

  static std::string ServiceOf(int64_t version) { return version % 2 == 0 ? "mixers" : "grinders"; }

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
    // One client, whose connections all go to one entry.
    client_entry_ = kEntries[static_cast<size_t>(rounds_++) % std::size(kEntries)];
    fleet_.After(kContactMs + kProbeIntervalMs, [this] { SubmitNext(); });
  }

  void SubmitNext() {
    const int64_t sent_at = review::NowMs();
    if (sent_at - silenced_at_ > kContactMs + kProbeTimeMs) return;

    const std::string id = review::JobIdOf(++jobs_);
    const bool judged = sent_at - silenced_at_ > kContactMs && sent_at - acked_at_ > kConfigApplyMs;
    if (judged) service_[id] = ServiceOf(version_);
    fleet_.Submit(client_entry_, "/flour/" + id, {review::Step{.count = 2, .duration_ms = 100}}, 3,
                  nullptr);
    fleet_.After(kJobIntervalMs, [this] { SubmitNext(); });
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

  /// Counts the tasks of jobs that were submitted after the bound and ran at the old service.
  int CountOldService() {
    int count = 0;

    for (const std::string& line : fleet_.record().Lines()) {
      if (line.find(" START ") == std::string::npos) continue;

      const auto service = service_.find(review::ValueOf(line, "task").substr(0, 16));
      if (service == service_.end() || service->second == review::ValueOf(line, "service"))
        continue;

      ++count;
      std::printf("at the old service: %s\n", line.c_str());
    }

    return count;
  }

  int Judge() {
    const int old_service = CountOldService();
    const std::string result = "asked=" + std::to_string(asked_) +
                               " by_older_version=" + std::to_string(broken_) +
                               " latest_after_ack_ms=" + std::to_string(latest_) +
                               " jobs=" + std::to_string(service_.size()) +
                               " tasks_at_old_service=" + std::to_string(old_service);
    std::printf("%s\n", result.c_str());
    fleet_.record().Write("RESULT " + result);
    if (asked_ == 0 || !fleet_.EntriesRun()) return 2;
    return broken_ + old_service > 0 ? 1 : 0;
  }

  static constexpr const char* kEntries[] = {"front-1", "front-2", "front-3"};

  Fleet& fleet_;
  int64_t version_ = 3;
  int64_t silenced_at_ = 0;
  int64_t acked_at_ = 0;
  int64_t latest_ = 0;
  int64_t jobs_ = 0;
  int rounds_ = 0;
  std::string client_entry_;
  /// The service that has to run each judged job.
  std::map<std::string, std::string> service_;
  int asked_ = 0;
  int broken_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  static_assert(kFirstRoundMs + kRounds * kRoundMs < 115'000);
  return review::RunCase(argc, argv, [](Fleet& fleet) { return SilentCase(fleet).Play(); });
}

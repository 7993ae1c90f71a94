#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>

#include "fleet.h"

/// The store carries writes out seconds later and does not answer them. Clients whose submission
/// had an unknown outcome withdraw the job, and are told that there is no such job.

namespace {

using review::Fleet;
using review::Step;

constexpr int64_t kContactMs = 3'000;
constexpr int64_t kCancelMs = 3'000;
constexpr int64_t kStopMs = 400;
/// The store loses this share of the writes for this long, and carries each out 1 to 6 s later.
constexpr double kLostShare = 0.35;
constexpr int64_t kLostTimeMs = 4'500;
constexpr int64_t kMinLateMs = 1'000;
constexpr int64_t kMaxLateMs = 6'000;
constexpr int64_t kFirstWindowMs = 10'000;
constexpr int kWindows = 2;
constexpr int64_t kWindowMs = 30'000;
constexpr int kJobsPerWindow = 60;
constexpr int64_t kJobIntervalMs = 60;
constexpr int64_t kTaskMs = 40'000;
constexpr unsigned kSeed = 20'261'206;

class WithdrawnCase {
 public:
  explicit WithdrawnCase(Fleet& fleet) : fleet_(fleet) {}

  int Play() {
    fleet_.Configure(3, {review::Route{.name = "flour", .prefix = "/flour/"}});
    for (const char* name : kEntries) fleet_.AddEntry(name, "valley", false);

    for (int number = 0; number < 8; ++number) {
      const std::string id = "w-" + std::to_string(number);
      fleet_.AddWorker(id, "valley", "r-" + std::to_string(number / 4), "stone", 32'000);
      fleet_.StartWorker(id);
    }

    fleet_.store().txn_fault = [this](const nlohmann::json&) { return Fault(); };

    for (int window = 0; window < kWindows; ++window) {
      fleet_.After(kFirstWindowMs + window * kWindowMs, [this] { Window(); });
    }

    fleet_.After(kFirstWindowMs + kWindows * kWindowMs, [this] { fleet_.Stop(); });
    fleet_.Run();
    return Judge();
  }

 private:
  review::TxnFault Fault() {
    if (review::NowMs() >= lost_until_ || share_(random_) >= kLostShare) {
      return review::TxnFault::kNone;
    }

    fleet_.store().late_ms = late_(random_);
    return review::TxnFault::kLate;
  }

  void Window() {
    if (review::WithTrouble()) lost_until_ = review::NowMs() + kLostTimeMs;
    fleet_.record().Write("WINDOW lost_until=" + std::to_string(lost_until_));

    for (int number = 0; number < kJobsPerWindow; ++number) {
      fleet_.After(number * kJobIntervalMs, [this] { SubmitNext(); });
    }
  }

  void SubmitNext() {
    const int64_t number = ++jobs_;
    const std::string path = "/flour/" + review::JobIdOf(number);
    const std::string entry = kEntries[static_cast<size_t>(number) % std::size(kEntries)];
    const Step step{.count = 1, .cpu = 500, .duration_ms = kTaskMs};
    fleet_.Submit(entry, path, {step}, 0, [this, path, number](int status) {
      // The client gives up at once where the outcome is unknown, and withdraws the job.
      if (status == 504 || status == 0) Withdraw(path, number, 3);
    });
  }

  void Withdraw(const std::string& path, int64_t number, int retries) {
    const std::string entry = kEntries[static_cast<size_t>(number + 1) % std::size(kEntries)];
    fleet_.Request(entry, "DELETE", path, "",
                   [this, path, number, retries](int status, const std::string&) {
                     const bool acknowledged = status == 410 || (status >= 200 && status < 300);

                     if (acknowledged) {
                       const std::string id = review::JobIdOf(number);
                       acked_at_[id] = review::NowMs();
                       status_[id] = status;
                     } else if (retries > 0) {
                       Withdraw(path, number, retries - 1);
                     }
                   });
  }

  int Judge() {
    std::map<std::string, std::pair<std::string, int64_t>> running;
    std::set<std::string> broken;
    // The disruption ends once the last write may have been carried out.
    const int64_t end = review::NowMs();

    for (const std::string& line : fleet_.record().Lines()) {
      const std::string task = review::ValueOf(line, "task");
      if (line.find(" START ") != std::string::npos) running[task] = {line, end};
      if (line.find(" END ") != std::string::npos && running.contains(task)) {
        running[task].second = review::TimeOf(line);
      }
    }

    for (const auto& [task, run] : running) {
      const std::string job = task.substr(0, task.find('.'));
      const auto acked = acked_at_.find(job);
      if (acked == acked_at_.end()) continue;

      // The task has to be gone this long after the answer, and after the end of the disruption.
      const int64_t started = review::TimeOf(run.first);
      const int64_t calm = CalmSince(started) + kContactMs;
      const int64_t gone = std::max(acked->second, calm) + kCancelMs + kStopMs;
      if (run.second <= gone) continue;

      broken.insert(job);
      std::printf(
          "job %s: DELETE answered %d; its task started %lld ms later and ran on for "
          "another %lld ms\n",
          job.c_str(), status_[job], static_cast<long long>(started - acked->second),
          static_cast<long long>(run.second - started));
    }

    const std::string result = "jobs=" + std::to_string(jobs_) +
                               " withdrawn=" + std::to_string(acked_at_.size()) +
                               " run_on=" + std::to_string(broken.size());
    std::printf("%s\n", result.c_str());
    fleet_.record().Write("RESULT " + result);
    if (running.empty() || !fleet_.EntriesRun()) return 2;
    return broken.empty() ? 0 : 1;
  }

  /// Returns the end of the last disruption that began before a time.
  [[nodiscard]] int64_t CalmSince(int64_t time) const {
    int64_t calm = 0;

    for (const std::string& line : fleet_.record().Lines()) {
      if (line.find(" WINDOW ") == std::string::npos || review::TimeOf(line) > time) continue;
      calm = std::strtoll(review::ValueOf(line, "lost_until").c_str(), nullptr, 10) + kMaxLateMs;
    }

    return calm;
  }

  static constexpr const char* kEntries[] = {"front-1", "front-2", "front-3"};

  Fleet& fleet_;
  std::mt19937 random_{kSeed};
  std::uniform_real_distribution<double> share_{0.0, 1.0};
  std::uniform_int_distribution<int64_t> late_{kMinLateMs, kMaxLateMs};
  int64_t lost_until_ = 0;
  int64_t jobs_ = 0;
  std::map<std::string, int64_t> acked_at_;
  std::map<std::string, int> status_;
};

}  // namespace

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, [](Fleet& fleet) { return WithdrawnCase(fleet).Play(); });
}

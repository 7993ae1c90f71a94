#include "readiness_prober.h"

namespace currantpost::soak {
namespace {

constexpr Millis kProbeInterval = Millis(1'000);
constexpr int kMissesAllowed = 1;

}  // namespace

ReadinessProber::ReadinessProber(EventLoop& loop, const Clock& clock, EntryFleet& fleet)
    : loop_(loop),
      fleet_(fleet),
      http_(loop, clock, HttpClientLimits{}),
      misses_(fleet.entries().size(), kMissesAllowed + 1) {
  Probe();
}

void ReadinessProber::Probe() {
  for (size_t i = 0; i < misses_.size(); ++i) {
    http_.Send(fleet_.entries()[i]->Readiness(), HttpRequest{.target = "/readiness"},
               kProbeInterval, [this, i](const HttpReply& reply) {
                 const bool ready =
                     reply.outcome == CallOutcome::kAnswered && reply.response.status == 200;
                 misses_[i] = ready ? 0 : misses_[i] + 1;
               });
  }

  loop_.After(kProbeInterval, [this] { Probe(); });
}

Address ReadinessProber::ChooseEntry(Random& random) const {
  std::vector<size_t> rotation;
  for (size_t i = 0; i < misses_.size(); ++i) {
    if (misses_[i] <= kMissesAllowed) rotation.push_back(i);
  }

  const auto size = static_cast<int64_t>(misses_.size());
  const auto ready = static_cast<int64_t>(rotation.size());
  if (ready * 2 < size) return fleet_.CallerAddress(Draw(random, 0, size - 1));

  return fleet_.CallerAddress(rotation[Draw(random, 0, ready - 1)]);
}

bool ReadinessProber::AllReady() const { return NotReady().empty(); }

std::string ReadinessProber::NotReady() const {
  std::string names;
  for (size_t i = 0; i < misses_.size(); ++i) {
    if (misses_[i] > 0 && !fleet_.IsRemoved(i)) names += fleet_.entries()[i]->profile().name + " ";
  }
  return names;
}

}  // namespace currantpost::soak

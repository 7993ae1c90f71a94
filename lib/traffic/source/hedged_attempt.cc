#include "hedged_attempt.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace currantpost {
namespace {

/// A hedge is sent no earlier than this, however fast the upstream usually is.
constexpr Millis kLeastHedgeDelay(5);

/// Tells a thread that waits for a socket that its answer is no longer wanted.
class AbandonSignal {
 public:
  AbandonSignal() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~AbandonSignal() { close(descriptor_); }

  AbandonSignal(const AbandonSignal&) = delete;
  AbandonSignal& operator=(const AbandonSignal&) = delete;

  void Raise() const { eventfd_write(descriptor_, 1); }

  [[nodiscard]] int Descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

bool IsAnswered(const AttemptResult& result) { return result.outcome == AttemptOutcome::kAnswered; }

}  // namespace

/// What the two attempts share. The second may outlive the request.
class HedgedAttempt::Race {
 public:
  /// Ends the second attempt.
  void EndSecond(AttemptResult result) {
    const std::lock_guard lock(mutex_);
    const bool wins = IsAnswered(result);
    second_ = std::move(result);
    has_ended_ = true;
    ended_.notify_one();
    if (wins) first_abandoned_.Raise();
  }

  /// Waits for the end of the second attempt.
  AttemptResult AwaitSecond() {
    std::unique_lock lock(mutex_);
    ended_.wait(lock, [this] { return has_ended_; });
    return std::move(second_);
  }

  AbandonSignal& FirstAbandoned() { return first_abandoned_; }
  AbandonSignal& SecondAbandoned() { return second_abandoned_; }

 private:
  std::mutex mutex_;
  std::condition_variable ended_;
  bool has_ended_ = false;
  AttemptResult second_;
  AbandonSignal first_abandoned_;
  AbandonSignal second_abandoned_;
};

class HedgedAttempt::SecondWatch final : public ReadWatch {
 public:
  explicit SecondWatch(Race& race) : race_(race) {}

  [[nodiscard]] int AbandonSocket() const override { return race_.SecondAbandoned().Descriptor(); }

 private:
  Race& race_;
};

/// Starts the second attempt when the first is late.
class HedgedAttempt::FirstWatch final : public ReadWatch {
 public:
  FirstWatch(HedgedAttempt& owner, VmId first_vm, std::shared_ptr<const CallerRequest> request,
             std::shared_ptr<const RequestPlan> plan, Millis hedge_at)
      : owner_(owner),
        first_vm_(std::move(first_vm)),
        request_(std::move(request)),
        plan_(std::move(plan)),
        hedge_at_(hedge_at) {}

  [[nodiscard]] Millis NextCheck() const override { return hedge_at_; }

  bool GivesUp() override {
    hedge_at_ = kNever;
    StartSecond();
    return false;
  }

  [[nodiscard]] int AbandonSocket() const override {
    return race_ == nullptr ? kNoSocket : race_->FirstAbandoned().Descriptor();
  }

  /// Returns the race, or null if no second attempt was started.
  [[nodiscard]] Race* StartedRace() const { return race_.get(); }

 private:
  void StartSecond() {
    std::optional<HeldSlot> slot = owner_.dispatcher_.TryAcquire({first_vm_});
    if (!slot) return;

    if (!owner_.budgets_.TakeHedge()) {
      owner_.counters_.Count(&TrafficMetrics::budget_refusals);
      return;
    }

    auto race = std::make_shared<Race>();
    // Shared because std::function copies what it holds.
    auto held = std::make_shared<HeldSlot>(*std::move(slot));

    const bool is_started = owner_.pool_.TryRun(
        [&runner = owner_.runner_, race, held, request = request_, plan = plan_] {
          SecondWatch watch(*race);
          race->EndSecond(runner.Run(std::move(*held), *request, *plan, watch));
        });

    if (!is_started) return;

    owner_.counters_.Count(&TrafficMetrics::hedges);
    race_ = std::move(race);
  }

  HedgedAttempt& owner_;
  const VmId first_vm_;
  const std::shared_ptr<const CallerRequest> request_;
  const std::shared_ptr<const RequestPlan> plan_;
  Millis hedge_at_;
  std::shared_ptr<Race> race_;
};

HedgedAttempt::HedgedAttempt(const Clock& clock, AttemptRunner& runner, SlotDispatcher& dispatcher,
                             AttemptBudgets& budgets, TrafficCounters& counters, HedgePool& pool)
    : clock_(clock),
      runner_(runner),
      dispatcher_(dispatcher),
      budgets_(budgets),
      counters_(counters),
      pool_(pool) {}

AttemptResult HedgedAttempt::Run(HeldSlot slot, std::shared_ptr<const CallerRequest> request,
                                 std::shared_ptr<const RequestPlan> plan) {
  const std::optional<Millis> high = dispatcher_.HighLatency(slot.Slot().vm);
  const bool may_hedge = plan->is_repeatable && high.has_value();
  const Millis hedge_at =
      may_hedge ? clock_.Now() + std::max(*high, kLeastHedgeDelay) : ReadWatch::kNever;

  FirstWatch watch(*this, slot.Slot().vm, request, plan, hedge_at);
  AttemptResult first = runner_.Run(std::move(slot), *request, *plan, watch);
  Race* race = watch.StartedRace();

  if (race == nullptr) return first;

  if (IsAnswered(first)) {
    race->SecondAbandoned().Raise();
    return first;
  }

  AttemptResult second = race->AwaitSecond();
  const bool second_tells_more = IsAnswered(second) || first.outcome != AttemptOutcome::kUnknown;
  return second_tells_more ? second : first;
}

}  // namespace currantpost

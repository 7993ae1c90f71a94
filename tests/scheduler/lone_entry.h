#pragma once

#include <memory>
#include <string>
#include <vector>

#include "currantpost/scheduler/scheduler.h"
#include "currantpost/scheduler/state.h"

namespace currantpost::scheduler {

/// A single reducer. The test replies to its calls itself, in any order.
class LoneEntry {
 public:
  LoneEntry() {
    Settings settings;
    settings.entry = EntryId("e0");
    settings.incarnation = "1";
    state_ = MakeState(settings);
    Handle(Tick{});
    Answer(LatestCall<ListFeed>([](const ListFeed& call) { return call.feed == Feed::kMembers; }),
           StoreReply{.status = StoreStatus::kOk});
  }

  void Handle(decltype(Event::body) body) {
    now_ = now_ + Millis(5);
    Reduce(*state_, Event{now_, now_.Count(), std::move(body)}, effects);
  }

  void Push(StoreItem item) { Handle(RecordsPushed{{std::move(item)}}); }
  void Answer(RequestId request, StoreReply reply) {
    Handle(StoreAnswered{request, std::move(reply)});
  }

  void Wait(Millis span) {
    now_ = now_ + span;
    Handle(Tick{});
  }

  /// Returns the entry's latest matching call to the store, 0 if there is none.
  template <typename Body, typename Matches>
  [[nodiscard]] RequestId LatestCall(Matches matches) const {
    RequestId latest = 0;

    for (const Effect& effect : effects) {
      const auto* call = std::get_if<StoreCall>(&effect);
      const auto* body = call == nullptr ? nullptr : std::get_if<Body>(&call->body);
      if (body != nullptr && matches(*body)) latest = call->request;
    }

    return latest;
  }

  /// Returns all answers to callers.
  [[nodiscard]] std::vector<AnswerCaller> Answers() const {
    std::vector<AnswerCaller> answers;

    for (const Effect& effect : effects) {
      if (const auto* answer = std::get_if<AnswerCaller>(&effect)) answers.push_back(*answer);
    }

    return answers;
  }

  [[nodiscard]] State& state() { return *state_; }

  /// All effects of the reducer so far.
  Effects effects;

 private:
  std::unique_ptr<State> state_;
  Millis now_ = Millis(1'000);
};

}  // namespace currantpost::scheduler

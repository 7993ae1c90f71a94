#include <gtest/gtest.h>

#include "lone_entry.h"
#include "world.h"

/// Answers of the store to calls that the entry has abandoned, after a caller has repeated its
/// request.

namespace currantpost::scheduler {
namespace {

/// Longer than an entry retries the store calls of a caller's request.
constexpr Millis kPastRetryDeadline = Millis(2'600);

StoreItem Job(const std::string& id, KvRevision revision) {
  JobRecord record{.queue = "queue", .service = "service", .cell = CellId("dc0/0")};
  record.spec = MakeJob(id, 1);
  return StoreItem{
      .key = std::string(kJobPrefix) + id, .revision = revision, .value = Encode(record)};
}

TEST(LateAnswer, ALateReadDoesNotAcknowledgeACancelThatIsNotWritten) {
  LoneEntry entry;
  entry.Handle(CallerRequested{1, Millis(3'000), JobCancelled{JobId("a")}});
  const RequestId read = entry.LatestCall<ReadRecord>([](const ReadRecord&) { return true; });
  entry.Wait(kPastRetryDeadline);
  ASSERT_EQ(entry.Answers().size(), 1U);

  entry.Push(Job("a", 5));
  entry.Handle(CallerRequested{2, Millis(3'000), JobCancelled{JobId("a")}});
  entry.Answer(read, {.status = StoreStatus::kOk, .revision = 6, .items = {Job("a", 5)}});
  EXPECT_EQ(entry.Answers().size(), 1U) << "acknowledged before the store has it";
}

TEST(LateAnswer, AnAnswerToAnEarlierWriteIsNotTakenForTheNextOne) {
  World world{WorldShape{.entries = 1}};
  world.Run(Millis(3'500));
  State& state = world.state("e0");
  Millis now = world.now();

  // Returns the request and the value with which the entry writes the job.
  const auto submit = [&](RequestId call) {
    Effects effects;
    Reduce(state,
           Event{now, now.Count(),
                 CallerRequested{call, Millis(3'000), JobSubmitted{"queue", MakeJob("job", 1)}}},
           effects);

    for (const Effect& effect : effects) {
      const auto* written = std::get_if<StoreCall>(&effect);
      const auto* write = written == nullptr ? nullptr : std::get_if<WriteRecords>(&written->body);
      const bool found =
          write != nullptr && write->puts.front().key == std::string(kJobPrefix) + "job";
      if (found) return std::make_pair(written->request, write->puts.front().value);
    }

    return std::make_pair(RequestId{0}, std::string());
  };

  const auto [first, first_value] = submit(1'000);
  now = now + kPastRetryDeadline;
  Effects effects;
  Reduce(state, Event{now, now.Count(), Tick{}}, effects);
  const auto [second, second_value] = submit(1'001);
  ASSERT_NE(first, 0U);
  ASSERT_NE(second, 0U);
  ASSERT_NE(first_value, second_value);

  const StoreReply reply{.status = StoreStatus::kOk, .revision = 1'000};
  Reduce(state, Event{now, now.Count(), StoreAnswered{first, reply}}, effects);
  const auto known = state.view.jobs.find(JobId("job"));
  const bool agrees = known == state.view.jobs.end() || known->second.revision == 0 ||
                      known->second.value == first_value;
  EXPECT_TRUE(agrees) << "the store has " << first_value << "\nthe entry knows "
                      << known->second.value;
}

}  // namespace
}  // namespace currantpost::scheduler

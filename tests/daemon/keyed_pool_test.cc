#include "currantpost/daemon/keyed_pool.h"

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <vector>

namespace currantpost {
namespace {

constexpr absl::Duration kLongWait = absl::Seconds(20);

PoolLimits Limits(int threads) {
  return PoolLimits{
      .threads = threads,
      .queue_length = 200,
      .total_length = 400,
      .longest_wait = Millis(1'000),
  };
}

PoolJob Job(std::function<PoolVerdict()> run) {
  return PoolJob{.run = std::move(run), .expire = [] {}};
}

TEST(KeyedPool, RunsJobsOfOneKeyInOrderAndOneAtATime) {
  ManualClock clock;
  KeyedPool pool(Limits(8), clock);
  absl::BlockingCounter left(100);
  std::atomic<int> running = 0;
  std::atomic<bool> overlapped = false;
  std::vector<int> order;

  for (int number = 0; number < 100; ++number) {
    ASSERT_TRUE(pool.Add("worker", Job([&, number] {
                           if (running.fetch_add(1) != 0) overlapped = true;
                           order.push_back(number);
                           running.fetch_sub(1);
                           left.DecrementCount();
                           return PoolVerdict::kPrompt;
                         })));
  }

  left.Wait();
  pool.Stop();

  EXPECT_FALSE(overlapped);
  ASSERT_EQ(order.size(), 100u);
  for (int number = 0; number < 100; ++number) EXPECT_EQ(order[number], number);
}

TEST(KeyedPool, SilentKeysLeaveThreadsToTheOthers) {
  ManualClock clock;
  KeyedPool pool(Limits(4), clock);
  absl::BlockingCounter found_silent(8);

  for (int number = 0; number < 8; ++number) {
    pool.Add("silent-" + std::to_string(number), Job([&found_silent] {
               found_silent.DecrementCount();
               return PoolVerdict::kSilent;
             }));
  }

  found_silent.Wait();

  absl::Notification release;

  for (int number = 0; number < 8; ++number) {
    pool.Add("silent-" + std::to_string(number), Job([&release] {
               release.WaitForNotification();
               return PoolVerdict::kSilent;
             }));
  }

  absl::Notification served;
  pool.Add("prompt", Job([&served] {
             served.Notify();
             return PoolVerdict::kPrompt;
           }));

  EXPECT_TRUE(served.WaitForNotificationWithTimeout(kLongWait));
  release.Notify();
}

TEST(KeyedPool, AJobThatWaitedTooLongExpiresUnrun) {
  ManualClock clock;
  KeyedPool pool(Limits(1), clock);
  absl::Notification begun;
  absl::Notification release;
  pool.Add("busy", Job([&] {
             begun.Notify();
             release.WaitForNotification();
             return PoolVerdict::kPrompt;
           }));
  begun.WaitForNotification();

  std::atomic<bool> ran = false;
  absl::Notification expired;
  pool.Add("late", PoolJob{
                       .run =
                           [&ran] {
                             ran = true;
                             return PoolVerdict::kPrompt;
                           },
                       .expire = [&expired] { expired.Notify(); },
                   });
  clock.Advance(Millis(1'001));
  release.Notify();

  EXPECT_TRUE(expired.WaitForNotificationWithTimeout(kLongWait));
  EXPECT_FALSE(ran);
}

TEST(KeyedPool, RefusesJobsBeyondItsBounds) {
  ManualClock clock;
  KeyedPool pool(Limits(1), clock);
  absl::Notification begun;
  absl::Notification release;
  pool.Add("busy", Job([&] {
             begun.Notify();
             release.WaitForNotification();
             return PoolVerdict::kPrompt;
           }));
  begun.WaitForNotification();

  const auto idle = [] { return PoolVerdict::kPrompt; };
  int taken_of_one_key = 0;
  while (pool.Add("one", Job(idle))) ++taken_of_one_key;

  int taken_of_others = 0;
  while (pool.Add("other-" + std::to_string(taken_of_others), Job(idle))) ++taken_of_others;

  EXPECT_EQ(taken_of_one_key, 200);
  EXPECT_EQ(taken_of_others, 200);
  EXPECT_EQ(pool.Waiting(), 400u);

  release.Notify();
  pool.Stop();
  EXPECT_FALSE(pool.Add("after", Job(idle)));
}

}  // namespace
}  // namespace currantpost

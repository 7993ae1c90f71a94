#include "currantpost/daemon/event_queue.h"

#include <gtest/gtest.h>

#include <thread>

namespace currantpost {
namespace {

constexpr Millis kNoWait(0);
constexpr Millis kLongWait(10'000);

TEST(EventQueue, GivesEventsInOrder) {
  EventQueue queue;
  queue.Push(KvAnswered{.request = 1});
  queue.Push(KvAnswered{.request = 2});

  EXPECT_EQ(std::get<KvAnswered>(*queue.Pop(kNoWait)).request, 1u);
  EXPECT_EQ(std::get<KvAnswered>(*queue.Pop(kNoWait)).request, 2u);
  EXPECT_FALSE(queue.Pop(kNoWait).has_value());
}

TEST(EventQueue, BoundsCommandsAndTakesThemAgainLater) {
  EventQueue queue;
  int taken = 0;
  while (queue.Push(CommandReceived{.body = ListPresets{}})) ++taken;

  EXPECT_EQ(taken, 256);
  EXPECT_EQ(queue.Dropped(), 1);

  queue.Pop(kNoWait);
  EXPECT_TRUE(queue.Push(CommandReceived{.body = ListPresets{}}));
}

TEST(EventQueue, NeverDropsAnAnswerOrAShutdown) {
  EventQueue queue;
  while (queue.Push(CommandReceived{.body = ListPresets{}})) continue;
  while (queue.Push(HeartbeatReceived{})) continue;
  while (queue.Push(VmListRead{})) continue;
  while (queue.Push(TrafficReported{})) continue;

  for (RequestId request = 1; request <= 10'000; ++request) {
    ASSERT_TRUE(queue.Push(KvAnswered{.request = request}));
    ASSERT_TRUE(queue.Push(WorkerAnswered{.request = request}));
  }

  EXPECT_TRUE(queue.Push(ShutdownRequested{}));
}

TEST(EventQueue, WakesTheWaitingThread) {
  EventQueue queue;
  std::thread pusher([&queue] { queue.Push(ShutdownRequested{}); });
  const std::optional<EventBody> body = queue.Pop(kLongWait);
  pusher.join();

  ASSERT_TRUE(body.has_value());
  EXPECT_TRUE(std::holds_alternative<ShutdownRequested>(*body));
}

TEST(EventQueue, RefusesEventsOnceClosed) {
  EventQueue queue;
  queue.Close();

  EXPECT_FALSE(queue.Push(ShutdownRequested{}));
  EXPECT_FALSE(queue.Pop(kLongWait).has_value());
}

}  // namespace
}  // namespace currantpost

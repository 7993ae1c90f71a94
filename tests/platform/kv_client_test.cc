#include "currantpost/platform/kv_client.h"

#include <gtest/gtest.h>

#include <thread>

#include "standin_kv.h"

namespace currantpost {
namespace {

using standins::AnswerFault;
using standins::ServiceFaults;
using standins::StandinKv;

constexpr Millis kCallTimeout(300);

/// A stand-in key-value service and its client.
class KvClientTest : public testing::Test {
 protected:
  int64_t Calls(const std::string& path) { return kv_.Service().Counts()[path]; }

  StandinKv kv_;
  HttpKvClient client_{Address{"127.0.0.1", kv_.Start()}, kCallTimeout};
};

TEST_F(KvClientTest, WritesReadsListsAndRemoves) {
  const KvReply put = client_.Put("a/1", "one", 0);
  ASSERT_EQ(put.status, KvStatus::kOk);
  ASSERT_EQ(client_.Put("b/1", "other", 0).status, KvStatus::kOk);

  const KvReply got = client_.Get("a/1");
  ASSERT_EQ(got.entries.size(), 1);
  EXPECT_EQ(got.entries[0].value, "one");
  EXPECT_EQ(got.entries[0].revision, put.revision);

  const KvReply listed = client_.List("a/");
  EXPECT_EQ(listed.entries.size(), 1);
  EXPECT_EQ(listed.revision, put.revision + 1);

  EXPECT_EQ(client_.Delete("a/1", put.revision).status, KvStatus::kOk);
  EXPECT_TRUE(client_.Get("a/1").entries.empty());
  EXPECT_TRUE(client_.List("a/").entries.empty());
}

TEST_F(KvClientTest, PreservesSpecialCharacters) {
  const std::string value = "line\nquote\" \\ é \x01 &?#%";
  ASSERT_EQ(client_.Put("a key/?&#%20+", value, 0).status, KvStatus::kOk);

  const KvReply got = client_.Get("a key/?&#%20+");
  ASSERT_EQ(got.entries.size(), 1);
  EXPECT_EQ(got.entries[0].value, value);
}

TEST_F(KvClientTest, ConflictReturnsTheCurrentEntry) {
  ASSERT_EQ(client_.Put("a", "first", 0).status, KvStatus::kOk);

  const KvReply lost = client_.Put("a", "second", 0);
  EXPECT_EQ(lost.status, KvStatus::kConflict);
  ASSERT_EQ(lost.entries.size(), 1);
  EXPECT_EQ(lost.entries[0].value, "first");

  EXPECT_EQ(client_.Delete("a", 99).status, KvStatus::kConflict);
}

TEST_F(KvClientTest, PutReturnsTheRevisionOfItsOwnWrite) {
  const KvReply first = client_.Put("a", "1", 0);
  const KvReply second = client_.Put("a", "2", first.revision);

  EXPECT_EQ(second.status, KvStatus::kOk);
  EXPECT_GT(second.revision, first.revision);
  EXPECT_EQ(client_.Get("a").entries.at(0).revision, second.revision);
}

TEST_F(KvClientTest, RefusedConnectionIsUnavailable) {
  kv_.Service().Stop();

  EXPECT_EQ(client_.Put("a", "1", 0).status, KvStatus::kUnavailable);
  EXPECT_EQ(client_.Watch("a", 0, Millis(10)).status, KvStatus::kUnavailable);
}

TEST_F(KvClientTest, TypedRefusalIsUnavailable) {
  kv_.Service().SetFaults(ServiceFaults{.down = true});

  EXPECT_EQ(client_.Put("a", "1", 0).status, KvStatus::kUnavailable);
  EXPECT_TRUE(kv_.Get("a").entries.empty());
}

TEST_F(KvClientTest, ClosedConnectionIsUnknown) {
  kv_.Service().SetFaults(ServiceFaults{.dead = true});

  EXPECT_EQ(client_.Put("a", "1", 0).status, KvStatus::kUnknown);
  EXPECT_EQ(Calls("/kv/put"), 1);
}

TEST_F(KvClientTest, AnswerLostAfterTheEffectIsUnknownAndSentOnce) {
  for (const AnswerFault fault : {AnswerFault::kLost, AnswerFault::kResetBefore,
                                  AnswerFault::kResetAfter, AnswerFault::kCutOff}) {
    const std::string key(standins::kAnswerFaultNames.Name(fault));
    const int64_t calls = Calls("/kv/put");
    kv_.Service().FailNext(fault, 1);

    EXPECT_EQ(client_.Put(key, "1", 0).status, KvStatus::kUnknown) << key;
    EXPECT_EQ(kv_.Get(key).entries.size(), 1) << key;
    EXPECT_EQ(Calls("/kv/put"), calls + 1) << key;
  }
}

TEST_F(KvClientTest, AnswerLostOnAReusedConnectionIsSentOnce) {
  ASSERT_EQ(client_.Put("a", "1", 0).status, KvStatus::kOk);
  kv_.Service().FailNext(AnswerFault::kLost, 1);

  EXPECT_EQ(client_.Put("b", "1", 0).status, KvStatus::kUnknown);
  EXPECT_EQ(Calls("/kv/put"), 2);
  EXPECT_EQ(client_.Get("b").entries.size(), 1);
}

TEST_F(KvClientTest, SilenceIsUnknownAfterTheTimeout) {
  kv_.Service().FailNext(AnswerFault::kSilent, 1);

  EXPECT_EQ(client_.Put("a", "1", 0).status, KvStatus::kUnknown);
  EXPECT_EQ(client_.Get("a").entries.size(), 1);
}

TEST_F(KvClientTest, SilencedConnectionIsNotUsedAgain) {
  ASSERT_EQ(client_.Put("a", "1", 0).status, KvStatus::kOk);
  kv_.Service().Server().SilenceOpenConnections();

  EXPECT_EQ(client_.Get("a").status, KvStatus::kUnknown);
  EXPECT_EQ(client_.Get("a").status, KvStatus::kOk);
}

TEST_F(KvClientTest, WriteAppliedAfterTheTimeoutIsUnknown) {
  kv_.Service().SetFaults(ServiceFaults{.delay_next = 1, .delay = kCallTimeout * 2});

  EXPECT_EQ(client_.Put("a", "late", 0).status, KvStatus::kUnknown);
  EXPECT_TRUE(kv_.Get("a").entries.empty());

  const KvReply seen = kv_.Watch("a", 0, kCallTimeout * 20);
  ASSERT_EQ(seen.entries.size(), 1);
  EXPECT_EQ(seen.entries[0].value, "late");
}

TEST_F(KvClientTest, CrossedAnswerIsUnknown) {
  kv_.Service().FailNext(AnswerFault::kCrossed, 1);

  EXPECT_EQ(client_.Put("a", "1", 0).status, KvStatus::kUnknown);
}

TEST_F(KvClientTest, AnswerOutsideTheProtocolIsMalformed) {
  for (const AnswerFault fault : {AnswerFault::kMalformed, AnswerFault::kFailed}) {
    kv_.Service().FailNext(fault, 1);
    EXPECT_EQ(client_.Get("a").status, KvStatus::kMalformed);
  }
}

TEST_F(KvClientTest, TextThatIsNotUtf8IsNeverSent) {
  EXPECT_EQ(client_.Put("a", "\xff", 0).status, KvStatus::kUnavailable);
  EXPECT_EQ(Calls("/kv/put"), 0);
}

TEST_F(KvClientTest, AcceptsTheLargestValueAndNoLarger) {
  const std::string largest(1'048'576, 'x');

  EXPECT_EQ(client_.Put("a", largest, 0).status, KvStatus::kOk);
  EXPECT_EQ(client_.Get("a").entries.at(0).value, largest);
  EXPECT_EQ(client_.Put("b", largest + "x", 0).status, KvStatus::kUnavailable);
}

TEST_F(KvClientTest, WatchReportsChangesAndRemovals) {
  const KvReply before = client_.Put("a/1", "1", 0);

  KvReply watched;
  std::thread watcher([&] { watched = client_.Watch("a/", before.revision, Millis(10'000)); });
  EXPECT_EQ(kv_.Put("b/1", "1", 0).status, KvStatus::kOk);
  EXPECT_EQ(kv_.Put("a/2", "2", 0).status, KvStatus::kOk);
  watcher.join();

  EXPECT_EQ(watched.status, KvStatus::kOk);
  ASSERT_EQ(watched.entries.size(), 1);
  EXPECT_EQ(watched.entries[0].key, "a/2");

  EXPECT_EQ(client_.Delete("a/1", before.revision).status, KvStatus::kOk);
  const KvReply removed = client_.Watch("a/", watched.revision, Millis(10'000));
  ASSERT_EQ(removed.entries.size(), 1);
  EXPECT_EQ(removed.entries[0].key, "a/1");
  EXPECT_FALSE(removed.entries[0].value);
}

TEST_F(KvClientTest, WatchEndsWithoutEntries) {
  const KvReply reply = client_.Watch("a/", 0, kCallTimeout * 2);

  EXPECT_EQ(reply.status, KvStatus::kOk);
  EXPECT_TRUE(reply.entries.empty());
}

TEST_F(KvClientTest, IsUsableFromManyThreads) {
  constexpr int kThreads = 8;
  constexpr int kWrites = 25;
  std::vector<std::thread> threads;

  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int write = 0; write < kWrites; ++write) {
        const std::string key = std::to_string(thread) + "/" + std::to_string(write);
        EXPECT_EQ(client_.Put(key, key, 0).status, KvStatus::kOk);
      }
    });
  }

  for (std::thread& thread : threads) thread.join();

  EXPECT_EQ(kv_.List("").entries.size(), kThreads * kWrites);
  EXPECT_LE(kv_.Service().Server().Counts().accepted, kThreads);
}

}  // namespace
}  // namespace currantpost

#include "currantpost/daemon/kv_claim_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "fakes.h"

namespace currantpost {
namespace {

constexpr Millis kLongestTime(1'000);

EntryIdentity Identity(const std::string& entry, Incarnation incarnation) {
  return EntryIdentity{.entry = EntryId(entry), .incarnation = incarnation};
}

class KvClaimStoreTest : public testing::Test {
 protected:
  ManualClock clock_;
  FakeKv kv_;
  KvClaimStore store_{Identity("entry-1", 1), kv_, clock_, kLongestTime};
  KvClaimStore other_{Identity("entry-2", 1), kv_, clock_, kLongestTime};
};

TEST_F(KvClaimStoreTest, ClaimsOnceOverAllEntries) {
  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kClaimed);
  EXPECT_EQ(other_.Claim("/", "key"), ClaimOutcome::kAlreadyClaimed);
  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kAlreadyClaimed);
}

TEST_F(KvClaimStoreTest, KeepsRoutesAndKeysApart) {
  EXPECT_EQ(store_.Claim("/permits", "key"), ClaimOutcome::kClaimed);
  EXPECT_EQ(store_.Claim("/orders", "key"), ClaimOutcome::kClaimed);
  EXPECT_EQ(store_.Claim("/orders", "key-2"), ClaimOutcome::kClaimed);
}

TEST_F(KvClaimStoreTest, ALostAnswerAfterTheEffectIsAClaim) {
  kv_.PlanFaults({KvFault::kAnswerLost});

  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kClaimed);
  EXPECT_EQ(other_.Claim("/", "key"), ClaimOutcome::kAlreadyClaimed);
}

TEST_F(KvClaimStoreTest, ALostCallIsMadeAgain) {
  kv_.PlanFaults({KvFault::kCallLost});

  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kClaimed);
  EXPECT_EQ(kv_.KeyCount(), 1u);
}

TEST_F(KvClaimStoreTest, ALostAnswerDoesNotTakeTheOthersClaim) {
  ASSERT_EQ(other_.Claim("/", "key"), ClaimOutcome::kClaimed);
  kv_.PlanFaults({KvFault::kAnswerLost});

  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kAlreadyClaimed);
}

TEST_F(KvClaimStoreTest, TellsThatNothingWasClaimedWhileTheServiceIsDown) {
  kv_.PlanFaults({KvFault::kUnavailable});

  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kUnavailable);
  EXPECT_EQ(kv_.KeyCount(), 0u);
}

TEST_F(KvClaimStoreTest, NeverSaysUnclaimedAfterAWriteMayHaveGoneOut) {
  kv_.PlanFaults({KvFault::kAnswerLost, KvFault::kUnavailable, KvFault::kUnavailable,
                  KvFault::kUnavailable, KvFault::kUnavailable, KvFault::kUnavailable});

  EXPECT_EQ(store_.Claim("/", "key"), ClaimOutcome::kUnknown);
}

TEST_F(KvClaimStoreTest, ReleasesItsOwnClaimOnly) {
  ASSERT_EQ(store_.Claim("/", "key"), ClaimOutcome::kClaimed);
  KvClaimStore reborn(Identity("entry-1", 2), kv_, clock_, kLongestTime);

  EXPECT_FALSE(other_.Release("/", "key"));
  EXPECT_FALSE(reborn.Release("/", "key"));
  EXPECT_TRUE(store_.Release("/", "key"));
  EXPECT_EQ(other_.Claim("/", "key"), ClaimOutcome::kClaimed);
}

TEST_F(KvClaimStoreTest, AReleaseWhoseAnswerIsLostIsSettled) {
  ASSERT_EQ(store_.Claim("/", "key"), ClaimOutcome::kClaimed);
  kv_.PlanFaults({KvFault::kNone, KvFault::kAnswerLost});

  EXPECT_TRUE(store_.Release("/", "key"));
  EXPECT_EQ(kv_.KeyCount(), 0u);
}

RC_GTEST_PROP(KvClaimStoreProperty, GrantsAKeyAtMostOnceUnderAnyFaults, ()) {
  ManualClock clock;
  FakeKv kv;
  kv.PlanFaults(*rc::gen::container<std::vector<KvFault>>(rc::gen::element(
      KvFault::kNone, KvFault::kUnavailable, KvFault::kAnswerLost, KvFault::kCallLost)));
  int granted = 0;
  int unsettled = 0;

  for (int number = 0; number < 4; ++number) {
    KvClaimStore store(Identity("entry-" + std::to_string(number), 1), kv, clock, kLongestTime);
    const ClaimOutcome outcome = store.Claim("/", "key");
    granted += outcome == ClaimOutcome::kClaimed ? 1 : 0;
    unsettled += outcome == ClaimOutcome::kUnknown ? 1 : 0;
  }

  RC_ASSERT(granted <= 1);
  // A key in the service belongs to the one that was granted it, or to an unsettled claim.
  RC_ASSERT(kv.KeyCount() == 0 || granted + unsettled > 0);
}

}  // namespace
}  // namespace currantpost

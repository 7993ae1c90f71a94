#include <gtest/gtest.h>

#include "currantpost/scheduler/records.h"

/// Addresses of workers in the handover record.

namespace currantpost::scheduler {
namespace {

TEST(HandOverAddresses, AreReadAsWritten) {
  HandOverRecord record{.grant = 7};
  record.addresses[VmId("w1")] = Address{"10.0.0.1", 80};
  const Result<HandOverRecord> read = DecodeHandOver(Encode(record));

  ASSERT_TRUE(read);
  EXPECT_EQ(*read, record);
}

TEST(HandOverAddresses, MayBeMissingInRecordsOfEarlierBuilds) {
  const Result<HandOverRecord> read = DecodeHandOver(R"({"grant":7,"leases":{}})");

  ASSERT_TRUE(read);
  EXPECT_TRUE(read->addresses.empty());
}

// Guards against a process that ends because of one malformed record.
TEST(HandOverAddresses, FailWithATypedErrorIfTheyAreMalformed) {
  for (const char* addresses : {"[1]", R"({"w1":7})", R"({"w1":{"host":1}})", "\"x\""}) {
    const std::string value =
        R"({"grant":7,"leases":{},"addresses":)" + std::string(addresses) + "}";
    const Result<HandOverRecord> read = DecodeHandOver(value);

    ASSERT_FALSE(read) << addresses;
    EXPECT_EQ(read.error().code, ErrorCode::kMalformed) << addresses;
  }
}

}  // namespace
}  // namespace currantpost::scheduler

#include "currantpost/model/codec.h"

#include <gtest/gtest.h>

namespace currantpost {
namespace {

JobSpec Spec() {
  return JobSpec{.job = JobId("pantry-7"),
                 .team = TeamId("kitchen"),
                 .kind = "pantry-order",
                 .declared = {.millicores = 500, .memory_mib = 256},
                 .task_count = 3,
                 .run_time = Millis(2'000)};
}

TEST(Codec, JobSpecRoundTrips) {
  const Result<JobSpec> decoded = DecodeJobSpec(Encode(Spec()));

  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, Spec());
}

TEST(Codec, RejectsAJobNameWithASlash) {
  JobSpec spec = Spec();
  spec.job = JobId("a/../b");

  EXPECT_EQ(DecodeJobSpec(Encode(spec)).error().code, ErrorCode::kInvalidArgument);
}

TEST(Codec, RejectsMalformedText) {
  for (const char* text : {"", "{", "[]", "{\"revision\":\"x\"}", "\xff"}) {
    EXPECT_EQ(DecodeConfiguration(text).error().code, ErrorCode::kMalformed) << text;
    EXPECT_EQ(DecodeWorkerTable(text).error().code, ErrorCode::kMalformed) << text;
  }
}

TEST(Codec, RejectsAConfigurationWithoutItsPresetInForce) {
  Configuration configuration = BuiltInConfiguration();
  configuration.in_force = "peak";

  EXPECT_EQ(DecodeConfiguration(Encode(configuration)).error().code, ErrorCode::kNotFound);
}

}  // namespace
}  // namespace currantpost

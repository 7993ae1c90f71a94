#include "currantpost/peer/heartbeat_message.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "sample_heartbeat.h"

namespace currantpost {
namespace {

KnownEntry GenerateKnownEntry() {
  KnownEntry known =
      SampleKnownEntry(*rc::gen::element<std::string>("entry-1", "entry-2", "entry-3"));
  known.incarnation = *rc::gen::arbitrary<uint64_t>();
  known.peer_address.port = *rc::gen::inRange(1, 65'536);
  known.configuration_revision = *rc::gen::inRange<int64_t>(0, 1'000'000);
  known.age_ms = *rc::gen::inRange<int64_t>(0, 1'000'000);
  known.leaving = *rc::gen::arbitrary<bool>();

  return known;
}

Heartbeat GenerateHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.sender = GenerateKnownEntry();

  const int known_count = *rc::gen::inRange(0, 5);
  for (int number = 0; number < known_count; ++number)
    heartbeat.known.push_back(GenerateKnownEntry());

  const int rack_count = *rc::gen::inRange(0, 5);
  for (int number = 0; number < rack_count; ++number) {
    heartbeat.racks.push_back(RackClaim{.rack = RackId("rack-" + std::to_string(number)),
                                        .epoch = *rc::gen::inRange<Epoch>(0, 1'000)});
    heartbeat.leaving_upstreams.push_back(
        LeavingUpstream{.vm = VmId("vm-" + std::to_string(number)),
                        .incarnation = *rc::gen::arbitrary<uint64_t>()});
  }

  heartbeat.configuration = *rc::gen::element<std::string>("", R"({"revision":7})");
  heartbeat.wants_vm_list = *rc::gen::arbitrary<bool>();
  heartbeat.vm_list = *rc::gen::element<std::string>("", "[]");
  heartbeat.wants_leaving = *rc::gen::arbitrary<bool>();

  if (*rc::gen::arbitrary<bool>()) {
    heartbeat.leaving_report = LeavingReport{.upstreams = heartbeat.leaving_upstreams,
                                             .is_whole = *rc::gen::arbitrary<bool>()};
  }

  return heartbeat;
}

RC_GTEST_PROP(HeartbeatMessage, DecodesWhatWasEncoded, ()) {
  const Heartbeat heartbeat = GenerateHeartbeat();
  const wire::HeartbeatMessage message = ToMessage(heartbeat);

  wire::HeartbeatMessage received;
  RC_ASSERT(received.ParseFromString(message.SerializeAsString()));

  const Result<Heartbeat> read = FromMessage(received);
  RC_ASSERT(read.has_value());
  RC_ASSERT(ToMessage(*read).SerializeAsString() == message.SerializeAsString());
  RC_ASSERT(read->sender.incarnation == heartbeat.sender.incarnation);
  RC_ASSERT(read->racks.size() == heartbeat.racks.size());
  RC_ASSERT(read->wants_leaving == heartbeat.wants_leaving);
  RC_ASSERT(read->leaving_report.has_value() == heartbeat.leaving_report.has_value());
  if (!read->leaving_report) return;

  RC_ASSERT(read->leaving_report->upstreams == heartbeat.leaving_report->upstreams);
  RC_ASSERT(read->leaving_report->is_whole == heartbeat.leaving_report->is_whole);
}

struct MalformedCase {
  const char* name;
  ErrorCode expected;
  std::function<void(wire::HeartbeatMessage&)> corrupt;

  friend void PrintTo(const MalformedCase& row, std::ostream* out) { *out << row.name; }
};

const std::vector<MalformedCase>& MalformedCases() {
  static const std::vector<MalformedCase> rows = {
      {"NoSender", ErrorCode::kMalformed, [](auto& message) { message.clear_sender(); }},
      {"NoEntry", ErrorCode::kMalformed,
       [](auto& message) { message.mutable_sender()->clear_entry(); }},
      {"NoDataCentre", ErrorCode::kMalformed,
       [](auto& message) { message.mutable_sender()->clear_data_centre(); }},
      {"LongEntry", ErrorCode::kTooLarge,
       [](auto& message) { message.mutable_sender()->set_entry(std::string(257, 'e')); }},
      {"HostName", ErrorCode::kMalformed,
       [](auto& message) {
         message.mutable_sender()->mutable_peer_address()->set_host("localhost");
       }},
      {"PortZero", ErrorCode::kOutOfRange,
       [](auto& message) { message.mutable_sender()->mutable_peer_address()->set_port(0); }},
      {"PortTooHigh", ErrorCode::kOutOfRange,
       [](auto& message) {
         message.mutable_sender()->mutable_operator_address()->set_port(65'536);
       }},
      {"NegativeAge", ErrorCode::kOutOfRange,
       [](auto& message) { message.mutable_known(0)->set_age_ms(-1); }},
      {"NegativeRevision", ErrorCode::kOutOfRange,
       [](auto& message) { message.mutable_sender()->set_configuration_revision(-1); }},
      {"NoRack", ErrorCode::kMalformed, [](auto& message) { message.add_racks()->set_epoch(1); }},
      {"NegativeEpoch", ErrorCode::kOutOfRange,
       [](auto& message) { message.mutable_racks(0)->set_epoch(-1); }},
      {"NoLeavingVm", ErrorCode::kMalformed,
       [](auto& message) { message.add_leaving_upstreams(); }},
      {"NoVmInLeavingReport", ErrorCode::kMalformed,
       [](auto& message) { message.mutable_leaving_report()->add_upstreams(); }},
      {"LongLeavingReport", ErrorCode::kTooLarge,
       [](auto& message) {
         for (int number = 0; number < 16'385; ++number) {
           message.mutable_leaving_report()->add_upstreams()->set_vm("vm");
         }
       }},
      {"LargeConfiguration", ErrorCode::kTooLarge,
       [](auto& message) { message.set_configuration(std::string(1'048'577, ' ')); }},
      {"LargeVmList", ErrorCode::kTooLarge,
       [](auto& message) { message.set_vm_list(std::string(1'048'577, ' ')); }},
      {"TooManyKnown", ErrorCode::kTooLarge,
       [](auto& message) {
         for (int number = 0; number < 4'097; ++number) {
           *message.add_known() = message.sender();
         }
       }},
  };

  return rows;
}

class MalformedMessage : public testing::TestWithParam<MalformedCase> {};

TEST_P(MalformedMessage, IsRejectedWithItsErrorCode) {
  wire::HeartbeatMessage message = ToMessage(SampleHeartbeat("entry-1"));
  ASSERT_TRUE(FromMessage(message).has_value());

  GetParam().corrupt(message);

  const Result<Heartbeat> read = FromMessage(message);
  ASSERT_FALSE(read.has_value());
  EXPECT_EQ(read.error().code, GetParam().expected) << read.error().detail;
  EXPECT_FALSE(read.error().detail.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, MalformedMessage, testing::ValuesIn(MalformedCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace currantpost

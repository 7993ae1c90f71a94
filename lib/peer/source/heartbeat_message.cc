#include "currantpost/peer/heartbeat_message.h"

#include <string>
#include <utility>

#include "target.h"

namespace currantpost {
namespace {

constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxConfigurationBytes = 1'048'576;
constexpr size_t kMaxVmListBytes = 1'048'576;
constexpr int kMaxKnownEntries = 4'096;
constexpr int kMaxRacks = 16'384;
constexpr int kMaxLeavingUpstreams = 16'384;
constexpr int kMaxPort = 65'535;

void Encode(wire::AddressMessage& message, const Address& address) {
  message.set_host(address.host);
  message.set_port(address.port);
}

void Encode(wire::KnownEntryMessage& message, const KnownEntry& known) {
  message.set_entry(known.entry.Text());
  message.set_incarnation(known.incarnation);
  message.set_data_centre(known.data_centre.Text());
  Encode(*message.mutable_peer_address(), known.peer_address);
  Encode(*message.mutable_operator_address(), known.operator_address);
  message.set_configuration_revision(known.configuration_revision);
  message.set_age_ms(known.age_ms);
  message.set_leaving(known.leaving);
}

void Encode(wire::LeavingUpstreamMessage& message, const LeavingUpstream& upstream) {
  message.set_vm(upstream.vm.Text());
  message.set_incarnation(upstream.incarnation);
}

void Encode(wire::LeavingReportMessage& message, const LeavingReport& report) {
  for (const LeavingUpstream& upstream : report.upstreams) {
    Encode(*message.add_upstreams(), upstream);
  }

  message.set_is_whole(report.is_whole);
}

Error CheckName(const std::string& name, const char* field) {
  if (name.empty()) return MakeError(ErrorCode::kMalformed, field);
  if (name.size() > kMaxNameBytes) return MakeError(ErrorCode::kTooLarge, field);

  return {};
}

Error CheckAddress(const wire::AddressMessage& message, const char* field) {
  if (!IsIpAddress(message.host())) return MakeError(ErrorCode::kMalformed, field);
  if (message.port() < 1 || message.port() > kMaxPort) {
    return MakeError(ErrorCode::kOutOfRange, field);
  }

  return {};
}

Error CheckKnownEntry(const wire::KnownEntryMessage& message) {
  if (Error error = CheckName(message.entry(), "entry"); error.code) return error;
  if (Error error = CheckName(message.data_centre(), "data_centre"); error.code) return error;
  if (Error error = CheckAddress(message.peer_address(), "peer_address"); error.code) return error;
  if (Error error = CheckAddress(message.operator_address(), "operator_address"); error.code) {
    return error;
  }

  if (message.age_ms() < 0) return MakeError(ErrorCode::kOutOfRange, "age_ms");
  if (message.configuration_revision() < 0) {
    return MakeError(ErrorCode::kOutOfRange, "configuration_revision");
  }

  return {};
}

Error CheckRack(const wire::RackClaimMessage& message) {
  if (Error error = CheckName(message.rack(), "rack"); error.code) return error;
  if (message.epoch() < 0) return MakeError(ErrorCode::kOutOfRange, "epoch");

  return {};
}

/// Checks that a sender is present and that all lists and texts are within their size limits.
Error CheckSizes(const wire::HeartbeatMessage& message) {
  if (!message.has_sender()) return MakeError(ErrorCode::kMalformed, "sender");
  if (message.known_size() > kMaxKnownEntries) return MakeError(ErrorCode::kTooLarge, "known");
  if (message.racks_size() > kMaxRacks) return MakeError(ErrorCode::kTooLarge, "racks");
  if (message.leaving_upstreams_size() > kMaxLeavingUpstreams) {
    return MakeError(ErrorCode::kTooLarge, "leaving_upstreams");
  }

  if (message.leaving_report().upstreams_size() > kMaxLeavingUpstreams) {
    return MakeError(ErrorCode::kTooLarge, "leaving_report");
  }

  if (message.configuration().size() > kMaxConfigurationBytes) {
    return MakeError(ErrorCode::kTooLarge, "configuration");
  }

  if (message.vm_list().size() > kMaxVmListBytes) {
    return MakeError(ErrorCode::kTooLarge, "vm_list");
  }

  return {};
}

Error CheckMessage(const wire::HeartbeatMessage& message) {
  if (Error error = CheckSizes(message); error.code) return error;
  if (Error error = CheckKnownEntry(message.sender()); error.code) return error;

  for (const auto& known : message.known()) {
    if (Error error = CheckKnownEntry(known); error.code) return error;
  }

  for (const auto& rack : message.racks()) {
    if (Error error = CheckRack(rack); error.code) return error;
  }

  for (const auto& leaving : message.leaving_upstreams()) {
    if (Error error = CheckName(leaving.vm(), "vm"); error.code) return error;
  }

  for (const auto& leaving : message.leaving_report().upstreams()) {
    if (Error error = CheckName(leaving.vm(), "leaving_report"); error.code) return error;
  }

  return {};
}

Address DecodeAddress(const wire::AddressMessage& message) {
  return Address{.host = message.host(), .port = message.port()};
}

KnownEntry DecodeKnownEntry(const wire::KnownEntryMessage& message) {
  return KnownEntry{
      .entry = EntryId(message.entry()),
      .incarnation = message.incarnation(),
      .data_centre = DataCentreId(message.data_centre()),
      .peer_address = DecodeAddress(message.peer_address()),
      .operator_address = DecodeAddress(message.operator_address()),
      .configuration_revision = message.configuration_revision(),
      .age_ms = message.age_ms(),
      .leaving = message.leaving(),
  };
}

LeavingUpstream DecodeLeavingUpstream(const wire::LeavingUpstreamMessage& message) {
  return LeavingUpstream{.vm = VmId(message.vm()), .incarnation = message.incarnation()};
}

LeavingReport DecodeLeavingReport(const wire::LeavingReportMessage& message) {
  LeavingReport report{.is_whole = message.is_whole()};

  for (const auto& upstream : message.upstreams()) {
    report.upstreams.push_back(DecodeLeavingUpstream(upstream));
  }

  return report;
}

}  // namespace

wire::HeartbeatMessage ToMessage(const Heartbeat& heartbeat) {
  wire::HeartbeatMessage message;
  Encode(*message.mutable_sender(), heartbeat.sender);

  for (const KnownEntry& known : heartbeat.known) Encode(*message.add_known(), known);

  for (const RackClaim& claim : heartbeat.racks) {
    wire::RackClaimMessage& rack = *message.add_racks();
    rack.set_rack(claim.rack.Text());
    rack.set_epoch(claim.epoch);
  }

  for (const LeavingUpstream& upstream : heartbeat.leaving_upstreams) {
    Encode(*message.add_leaving_upstreams(), upstream);
  }

  message.set_configuration(heartbeat.configuration);
  message.set_wants_vm_list(heartbeat.wants_vm_list);
  message.set_vm_list(heartbeat.vm_list);
  message.set_wants_leaving(heartbeat.wants_leaving);

  if (heartbeat.leaving_report) {
    Encode(*message.mutable_leaving_report(), *heartbeat.leaving_report);
  }

  return message;
}

Result<Heartbeat> FromMessage(const wire::HeartbeatMessage& message) {
  if (Error error = CheckMessage(message); error.code) {
    return tl::unexpected<Error>(std::move(error));
  }

  Heartbeat heartbeat;
  heartbeat.sender = DecodeKnownEntry(message.sender());

  for (const auto& known : message.known()) heartbeat.known.push_back(DecodeKnownEntry(known));

  for (const auto& rack : message.racks()) {
    heartbeat.racks.push_back(RackClaim{.rack = RackId(rack.rack()), .epoch = rack.epoch()});
  }

  for (const auto& leaving : message.leaving_upstreams()) {
    heartbeat.leaving_upstreams.push_back(DecodeLeavingUpstream(leaving));
  }

  heartbeat.configuration = message.configuration();
  heartbeat.wants_vm_list = message.wants_vm_list();
  heartbeat.vm_list = message.vm_list();
  heartbeat.wants_leaving = message.wants_leaving();

  if (message.has_leaving_report()) {
    heartbeat.leaving_report = DecodeLeavingReport(message.leaving_report());
  }

  return heartbeat;
}

}  // namespace currantpost

#include "currantpost/daemon/own_heartbeat.h"

namespace currantpost {

OwnHeartbeat::OwnHeartbeat(const EntryIdentity& identity, const Clock& clock)
    : clock_(clock), kept_at_(clock.Now()) {
  latest_.sender = KnownEntry{
      .entry = identity.entry,
      .incarnation = identity.incarnation,
      .data_centre = identity.data_centre,
      .peer_address = identity.peer_address,
      .operator_address = identity.operator_address,
  };
}

void OwnHeartbeat::Keep(const Heartbeat& heartbeat) {
  absl::MutexLock lock(&mutex_);
  latest_ = heartbeat;
  kept_at_ = clock_.Now();

  if (!heartbeat.configuration.empty()) {
    configuration_ = heartbeat.configuration;
    configuration_revision_ = heartbeat.sender.configuration_revision;
  }

  // What was meant for one receiver goes to no other.
  latest_.configuration.clear();
  latest_.vm_list.clear();
  latest_.leaving_report.reset();
  // An answer asks nothing, or two entries would go on replying to each other's answers.
  latest_.wants_leaving = false;
}

Heartbeat OwnHeartbeat::AnswerTo(const Heartbeat& peer) const {
  absl::MutexLock lock(&mutex_);
  Heartbeat answer = latest_;
  const int64_t passed = (clock_.Now() - kept_at_).Count();

  answer.sender.age_ms += passed;
  for (KnownEntry& known : answer.known) known.age_ms += passed;

  const bool is_behind = peer.sender.configuration_revision < configuration_revision_;
  const bool is_present = configuration_revision_ == answer.sender.configuration_revision;
  if (is_behind && is_present) answer.configuration = configuration_;

  return answer;
}

}  // namespace currantpost

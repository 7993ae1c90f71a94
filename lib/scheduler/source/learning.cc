#include "internal.h"

/// Shares what the entries learn about interference between images. In a deployment of many entries
/// each one sees only few pairs of images; alone it would take minutes to learn what all of them
/// together know within seconds.
///
/// Each entry sends its measurements to the coordinator. The coordinator merges them and writes a
/// record with its estimates for all pairs, which the other entries adopt, including those that
/// have just started.

namespace currantpost::scheduler {
namespace {

/// Time between two messages to the coordinator, and between two writes by it. Factors are learned
/// within several seconds, and each write is sent to all entries.
constexpr Millis kShareInterval = Millis(2'000);
/// Maximum number of pairs in the record; 18 images beside 10 are 180 pairs. Bounds the record,
/// which is sent to all entries, to 80 KB.
constexpr size_t kMaxPairs = 2'000;
/// Weight of another entry's mean stress of an image.
constexpr double kReportedWeight = 0.1;

void MergeImages(ImageStats& known, const ImageStats& reported, double weight) {
  for (const auto& [image, stress] : reported.mean_stress) {
    double& mean = known.mean_stress.try_emplace(image, stress).first->second;
    mean += weight * (stress - mean);
  }

  for (const auto& [image, tail] : reported.min_tail) {
    if (tail <= 0) continue;

    int64_t& least = known.min_tail.try_emplace(image, tail).first->second;
    least = std::min(least, tail);
  }
}

void SendEvidence(State& state, Effects& effects) {
  if (state.view.entries.empty()) return;

  EvidenceRecord record{.pairs = state.interference.DrainEvidence(), .images = state.images};
  if (record.pairs.empty()) return;

  PushMessage(effects, state.view.entries.begin()->second.record.peer_address, kEvidencePrefix,
              state.settings.entry.Text(), Encode(record));
}

void WriteLearnedRecord(State& state, Effects& effects) {
  LearningState& learning = state.learning;
  // The coordinator's estimates already include its own measurements.
  if (!state.interference.DrainEvidence().empty()) learning.changed = true;
  if (!learning.changed || learning.request != 0 || !HoldsLease(state)) return;

  learning.changed = false;
  WriteRecords write;
  write.expected.push_back(ExpectedRecord{std::string(kLearnedKey), learning.revision});
  write.puts.push_back(
      RecordPut{std::string(kLearnedKey),
                Encode(LearnedRecord{.pairs = state.interference.Estimates(kMaxPairs),
                                     .images = state.images}),
                0});
  learning.request = CallStore(state, effects, LearnedWritten{}, std::move(write));
}

}  // namespace

bool IsCoordinator(const State& state) {
  return !state.view.entries.empty() && state.view.entries.begin()->first == state.settings.entry;
}

void UpdateLearning(State& state, Effects& effects) {
  if (state.stopping || !state.feeds[Feed::kRecords].synced) return;

  if (state.now < state.learning.next_at) {
    WakeAt(state, state.learning.next_at);
    return;
  }

  state.learning.next_at = state.now + kShareInterval;

  if (IsCoordinator(state)) {
    WriteLearnedRecord(state, effects);
  } else {
    SendEvidence(state, effects);
  }
}

void ApplyEvidence(State& state, Effects& effects, const EntryId& /*entry*/,
                   const StoreItem& item) {
  const Result<EvidenceRecord> record = DecodeEvidence(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  for (const PairEvidence& pair : record->pairs) state.interference.MergeEvidence(pair);
  MergeImages(state.images, record->images, kReportedWeight);
  state.learning.changed = true;
}

void ApplyLearned(State& state, Effects& effects, const StoreItem& item) {
  if (item.removed || item.revision <= state.learning.revision) return;

  state.learning.revision = item.revision;
  const Result<LearnedRecord> record = DecodeLearned(item.value);
  if (!record) return LogUnreadable(effects, item, record.error());

  for (const PairEstimate& pair : record->pairs) state.interference.SetEstimate(pair);
  MergeImages(state.images, record->images, 1.0);
}

void HandleLearnedWritten(State& state, Effects& effects, const StoreReply& reply) {
  LearningState& learning = state.learning;
  learning.request = 0;

  if (reply.status == StoreStatus::kOk) {
    learning.revision = std::max(learning.revision, reply.revision);
    return;
  }

  // Retries after the next interval, once a record that another coordinator wrote is adopted.
  learning.changed = true;
  for (const StoreItem& item : reply.items) ApplyRecord(state, effects, item);
}

}  // namespace currantpost::scheduler

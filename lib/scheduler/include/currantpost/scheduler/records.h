#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "currantpost/base/enum_names.h"
#include "currantpost/base/error.h"
#include "currantpost/base/ids.h"
#include "currantpost/model/vm.h"
#include "currantpost/policy/interference_model.h"
#include "currantpost/scheduler/job_spec.h"
#include "currantpost/scheduler/worker.h"

/// What the scheduler keeps in the store. docs/design/platform.md says who writes which record.

namespace currantpost::scheduler {

/// Names a cell: some whole racks of one data centre that have one owner.
using CellId = Id<struct CellTag>;

/// What all entries watch. All else is read only by the owner of a cell when it takes the cell.
inline constexpr std::string_view kSharedPrefix = "shared/";

/// Prefixes of the keys of the records, and the two keys that stand alone.
/// @{
inline constexpr std::string_view kEntryPrefix = "shared/entries/";
inline constexpr std::string_view kCellPrefix = "shared/cells/";
inline constexpr std::string_view kLoadPrefix = "shared/load/";
inline constexpr std::string_view kJobPrefix = "shared/jobs/";
inline constexpr std::string_view kCancelPrefix = "shared/cancelled/";
inline constexpr std::string_view kLayoutKey = "shared/layout";
inline constexpr std::string_view kLearnedKey = "shared/learned";
/// Followed by the cell and the job.
inline constexpr std::string_view kProgressPrefix = "progress/";
/// Followed by the cell.
inline constexpr std::string_view kHandOverPrefix = "hand-over/";
/// Passed between peers, never stored: what entries tell the keeper of what was learned, the
/// question to a former owner what it left in a cell, and its answer.
/// @{
inline constexpr std::string_view kEvidencePrefix = "evidence/";
inline constexpr std::string_view kHandOverQuestionPrefix = "hand-over-question/";
inline constexpr std::string_view kHandOverAnswerPrefix = "hand-over-answer/";
/// @}
/// @}

/// A live entry. Attached to its lease.
struct EntryRecord {
  std::string incarnation;
  DataCentreId data_centre;
  Address peer_address;
  /// Processors that the entry has, in thousandths of a core.
  int64_t millicores = 0;
};

/// Which cell each rack belongs to. Racks are only ever added.
struct LayoutRecord {
  std::map<RackId, CellId> cell_of_rack;
};

/// The owner of a cell. Attached to the owner's lease; the revision that wrote it is the grant.
struct CellRecord {
  EntryId owner;
  std::string incarnation;
};

/// What the next owner of a cell has to know of the leases of its workers. Written by the owner
/// before it renews any, and when it gives the cell up; stays when the owner's lease at the store
/// ends.
struct HandOverRecord {
  /// The owner that may renew leases by a grant, and where peers reach it. Empty once nobody may.
  EntryId owner;
  std::string incarnation;
  Address peer_address;
  KvRevision grant = 0;
  /// Workers whose leases the owner does not renew, with the longest time that these may still run
  /// when this is written. Of a cell that was given up, all workers with a lease.
  std::map<VmId, Millis> leases;

  bool operator==(const HandOverRecord&) const = default;
};

/// Asks a former owner of a cell what leases it left there.
struct HandOverQuestion {
  /// The grant that is asked about, and the life of the entry that had it.
  KvRevision grant = 0;
  std::string incarnation;
  /// The present grant, and where the answer is to go.
  KvRevision current_grant = 0;
  Address reply_to;
};

/// Room of the workers of one service in one cell, in thousandths of a core.
struct ServiceLoad {
  int64_t capacity = 0;
  /// Room for tasks that hold what they ask for, and the largest such task that fits.
  int64_t free = 0;
  int64_t largest_free = 0;
  /// Room for filling tasks.
  int64_t free_best_effort = 0;
  /// What waits for room.
  int64_t waiting = 0;
  int64_t waiting_best_effort = 0;
  /// What lasting tasks hold, by image.
  std::map<std::string, int64_t> long_running;

  bool operator==(const ServiceLoad&) const = default;
};

/// Jobs of a cell of which no task has begun, without those that have times of their own.
struct PendingJobs {
  std::map<std::string, int64_t> by_queue;
  /// Jobs recorded up to this revision are counted, later ones are not.
  KvRevision up_to = 0;

  bool operator==(const PendingJobs&) const = default;
};

/// What the owner of a cell tells of it. Attached to the owner's lease.
struct LoadRecord {
  std::map<std::string, ServiceLoad> services;
  PendingJobs waiting;

  bool operator==(const LoadRecord&) const = default;
};

/// What is known of images beside how they disturb each other.
struct ImageStats {
  /// Mean of the stress of each image of lasting tasks by their own load.
  std::map<std::string, double> mean_stress;
  /// Least tail seen of each image of lasting tasks, in milliseconds.
  std::map<std::string, int64_t> min_tail;

  bool operator==(const ImageStats&) const = default;
};

/// What an entry measured since it last said so.
struct EvidenceRecord {
  std::vector<PairEvidence> pairs;
  ImageStats images;
};

/// What all entries learned together. Written by the keeper.
struct LearnedRecord {
  std::vector<PairEstimate> pairs;
  ImageStats images;
};

/// What is recorded of a task.
enum class TaskStatus {
  /// Not begun, or to be begun again.
  kWaiting,
  /// May run at a worker.
  kBound,
  kDone,
  /// Out of attempts.
  kFailed,
  /// Lent to another cell, where a job of its own runs it.
  kLent,
};

/// What is recorded of a task that was begun at least once, or lent.
struct TaskProgress {
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;
  TaskStatus status = TaskStatus::kWaiting;
  /// Last run that was begun or may have been.
  Run run = 0;
  int32_t failures = 0;
  /// Worker and its life that the run is bound to.
  VmId worker;
  int64_t worker_incarnation = 0;
  std::string checkpoint;
  /// The job that runs a lent task.
  JobId lent_to;

  bool operator==(const TaskProgress&) const = default;
};

/// How far a job is. Written by the owner of its cell.
struct ProgressRecord {
  /// Queued until a worker has begun a run of it.
  JobPhase phase = JobPhase::kQueued;
  std::vector<TaskProgress> tasks;

  bool operator==(const ProgressRecord&) const = default;
};

/// An accepted job, or some tasks of one that its cell has lent to another.
struct JobRecord {
  std::string queue;
  std::string service;
  int32_t priority = 0;
  int32_t max_attempts = 1;
  /// The cell whose owner starts the job's tasks.
  CellId cell;
  /// Time of day of the acceptance; orders waiting jobs, and decides nothing else.
  int64_t accepted_unix_ms = 0;
  /// Time in which it should be done, 0 if there is none; orders waiting jobs too.
  Millis objective;
  /// How often the job was moved to another cell.
  int32_t moves = 0;
  JobSpec spec;
  /// Of lent tasks: the job that they are of, and which they are. `spec` is that job's, but for the
  /// id.
  JobId parent;
  std::vector<TaskProgress> lent;
  /// Of a moved job: what its former cells did of it.
  ProgressRecord carried_progress;
};

std::string Encode(const EntryRecord& record);
std::string Encode(const LayoutRecord& record);
std::string Encode(const CellRecord& record);
std::string Encode(const HandOverRecord& record);
std::string Encode(const HandOverQuestion& question);
std::string Encode(const LoadRecord& record);
std::string Encode(const EvidenceRecord& record);
std::string Encode(const LearnedRecord& record);
std::string Encode(const JobRecord& record);
/// What is left of an ended job: the head, with how it ended.
std::string EncodeEnded(const JobRecord& record, JobPhase phase);
std::string Encode(const ProgressRecord& record);

/// Each fails with `kMalformed` on a value that is not such a record.
/// @{
Result<EntryRecord> DecodeEntry(std::string_view value);
Result<LayoutRecord> DecodeLayout(std::string_view value);
Result<CellRecord> DecodeCell(std::string_view value);
Result<HandOverRecord> DecodeHandOver(std::string_view value);
Result<HandOverQuestion> DecodeHandOverQuestion(std::string_view value);
Result<LoadRecord> DecodeLoad(std::string_view value);
Result<EvidenceRecord> DecodeEvidence(std::string_view value);
Result<LearnedRecord> DecodeLearned(std::string_view value);
Result<JobRecord> DecodeJob(std::string_view value);
Result<ProgressRecord> DecodeProgress(std::string_view value);
/// @}

/// The part of a job record that every entry needs; cheaper than the whole.
struct JobHead {
  std::string queue;
  CellId cell;
  int64_t accepted_unix_ms = 0;
  /// The job has no times of its own, so it counts as pending until it begins.
  bool immediate = true;
  /// Of lent tasks, the job that they are of.
  JobId parent;
  /// How it ended, if it has.
  std::optional<JobPhase> ended;
};
Result<JobHead> DecodeJobHead(std::string_view value);

/// Reads only the phase of a progress record.
Result<JobPhase> DecodePhase(std::string_view value);

}  // namespace currantpost::scheduler

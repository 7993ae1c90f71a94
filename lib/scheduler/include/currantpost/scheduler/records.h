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
#include "currantpost/scheduler/store.h"
#include "currantpost/scheduler/worker.h"

/// Records that the scheduler keeps in the store. docs/design/platform.md lists the writer of each.

namespace currantpost::scheduler {

/// Identifies a cell: a set of whole racks in one data centre that has one owner.
using CellId = Id<struct CellTag>;

/// Prefixes of the records that all entries watch, as `Feed::kMembers` and `Feed::kRecords`. An
/// owner reads the other records only when it takes over a cell.
/// @{
inline constexpr std::string_view kMembersPrefix = "members/";
inline constexpr std::string_view kSharedPrefix = "shared/";
/// @}

/// Key prefixes of the records, and the two records that have a key of their own.
/// @{
inline constexpr std::string_view kEntryPrefix = "members/entries/";
inline constexpr std::string_view kCellPrefix = "members/cells/";
/// Written with each grant: the owner's copy of the records holds everything up to the grant once
/// it holds this record.
inline constexpr std::string_view kGrantPrefix = "shared/grants/";
inline constexpr std::string_view kLoadPrefix = "shared/load/";
inline constexpr std::string_view kJobPrefix = "shared/jobs/";
inline constexpr std::string_view kCancelPrefix = "shared/cancelled/";
/// A caller was told that there is no such job: no submission of it that is still in flight may be
/// stored.
inline constexpr std::string_view kWithdrawnPrefix = "shared/withdrawn/";
inline constexpr std::string_view kLayoutKey = "members/layout";
inline constexpr std::string_view kLearnedKey = "shared/learned";
/// Followed by the cell and the job: `progress/CELL/JOB`.
inline constexpr std::string_view kProgressPrefix = "progress/";
/// Followed by the cell.
inline constexpr std::string_view kHandOverPrefix = "hand-over/";
/// Messages between peers that are never stored: interference measurements for the entry that
/// merges them, the question to a former owner about leases that it left in a cell, and its answer,
/// the offer of a cell to its next owner, and the reply.
/// @{
inline constexpr std::string_view kEvidencePrefix = "evidence/";
inline constexpr std::string_view kHandOverQuestionPrefix = "hand-over-question/";
inline constexpr std::string_view kHandOverAnswerPrefix = "hand-over-answer/";
inline constexpr std::string_view kTransferOfferPrefix = "transfer-offer/";
inline constexpr std::string_view kTransferReplyPrefix = "transfer-reply/";
/// @}
/// @}

/// One start of an entry's process.
struct EntryInstance {
  EntryId entry;
  std::string incarnation;

  auto operator<=>(const EntryInstance&) const = default;
};

/// A live entry. Attached to the entry's lease at the store.
struct EntryRecord {
  std::string incarnation;
  DataCentreId data_centre;
  Address peer_address;
  /// Processor capacity of the entry, in thousandths of a core.
  int64_t millicores = 0;
  /// The entry's copy of the records is recent enough to start tasks by.
  bool caught_up = true;
};

/// The cell of each rack. Racks are added but never removed.
struct LayoutRecord {
  std::map<RackId, CellId> cell_of_rack;
};

/// The owner of a cell. Attached to the owner's lease at the store. The revision of the write is
/// the grant.
struct CellRecord {
  EntryId owner;
  std::string incarnation;
};

/// Worker leases that the next owner of a cell has to wait for. The owner writes the record before
/// it renews any worker lease and when it releases the cell. The record outlives the owner's lease
/// at the store.
struct HandOverRecord {
  /// The owner that may renew leases under the grant, and its address for peers. Empty once no
  /// owner may renew them.
  EntryId owner;
  std::string incarnation;
  Address peer_address;
  KvRevision grant = 0;
  /// Workers whose leases the owner does not renew, with the longest time that each lease may still
  /// run at the time of the write. Once the cell is released, all workers with a lease.
  std::map<VmId, Millis> leases;
  /// The owner's lease at the store, 0 if it is not known.
  LeaseId lease = 0;
  /// Addresses of the cell's workers. The next owner may find some of them in no registry: the
  /// store drops workers that are cut off, or all of them in an outage.
  std::map<VmId, Address> addresses;
  /// Entries that all have to confirm an outage of the store before the owner renews leases for
  /// long without it, with their addresses for peers. Absent if it needs none.
  std::optional<std::map<EntryInstance, Address>> witnesses;

  bool operator==(const HandOverRecord&) const = default;
};

/// Asks a former owner of a cell which worker leases it left there.
struct HandOverQuestion {
  /// The former grant, and the incarnation of the entry that held it.
  KvRevision grant = 0;
  std::string incarnation;
  /// The current grant, and the address for the answer.
  KvRevision current_grant = 0;
  Address reply_to;
};

/// Asks an entry to take over a cell from its owner.
struct TransferOffer {
  /// The owner's grant, and the incarnation of the entry that is asked.
  KvRevision grant = 0;
  /// Distinguishes the offers that are made under the grant.
  int64_t number = 0;
  std::string successor_incarnation;
  /// The owner stops, and keeps the cell for a short time only.
  bool stopping = false;
  Address reply_to;
};

struct TransferReply {
  KvRevision grant = 0;
  int64_t number = 0;
  /// The lease at the store to attach the cell to, 0 if the entry does not accept the cell.
  LeaseId lease = 0;
  /// The entry does not accept it because it could not read the progress in time.
  bool read_too_long = false;
};

/// An interrupted long-running task that waits for a worker, in a load report.
struct InterruptedWait {
  /// Its step, and the job in which it waits. The job differs from that of the step if the task is
  /// borrowed.
  StepName name;
  JobId job;
  Resources need;
  std::string worker_label;
  int32_t max_per_worker = 0;
  /// Priority of its queue.
  int32_t priority = 0;
  /// How long it had been without a run when this was written.
  Millis absent;

  bool operator==(const InterruptedWait&) const = default;
};

/// Maximum number of such tasks that a load report names for a service.
inline constexpr size_t kMaxReportedWaits = 24;

/// Capacity and load of the workers of one service in one cell, in thousandths of a core.
struct ServiceLoad {
  int64_t capacity = 0;
  /// Free capacity for tasks with reserved resources, and the largest such task that fits.
  int64_t free = 0;
  int64_t largest_free = 0;
  /// Free capacity for best-effort tasks.
  int64_t free_best_effort = 0;
  /// Demand of the tasks that wait for placement.
  int64_t waiting = 0;
  int64_t waiting_best_effort = 0;
  /// The largest long-running task that fits on a worker once the short tasks there have ended.
  int64_t largest_long_running = 0;
  /// Demand of the interrupted long-running tasks that have waited long for placement, and of those
  /// on workers that are about to leave or do not answer.
  int64_t waiting_interrupted = 0;
  /// Reservations of long-running tasks, by image.
  std::map<std::string, int64_t> long_running_by_image;
  /// The interrupted tasks for which the cell keeps no worker, longest absence first.
  std::vector<InterruptedWait> interrupted_waits;

  bool operator==(const ServiceLoad&) const = default;
};

/// Number of jobs of a cell of which no task has started, without scheduled jobs.
struct PendingJobs {
  std::map<std::string, int64_t> by_queue;
  /// The count covers jobs recorded up to and including this revision.
  KvRevision up_to = 0;

  bool operator==(const PendingJobs&) const = default;
};

/// The load of a cell, reported by its owner. Attached to the owner's lease at the store.
struct LoadRecord {
  std::map<std::string, ServiceLoad> services;
  PendingJobs waiting;

  bool operator==(const LoadRecord&) const = default;
};

/// Statistics of single images. Interference between images is kept as pairs.
struct ImageStats {
  /// Mean stress that long-running tasks cause by their own load, by image.
  std::map<std::string, double> mean_stress;
  /// Lowest tail latency of long-running tasks, by image, in milliseconds.
  std::map<std::string, int64_t> min_tail;

  bool operator==(const ImageStats&) const = default;
};

/// Measurements of an entry since its last such message.
struct EvidenceRecord {
  std::vector<PairEvidence> pairs;
  ImageStats images;
};

/// Interference model merged from the measurements of all entries. Written by the entry that merges
/// them.
struct LearnedRecord {
  std::vector<PairEstimate> pairs;
  ImageStats images;
};

/// Recorded state of a task.
enum class TaskStatus {
  /// Not started yet, or waiting for its next run.
  kWaiting,
  /// Bound to a worker, where it may run.
  kBound,
  kDone,
  /// All attempts have failed.
  kFailed,
  /// Lent to another cell, where a separate job runs it.
  kLent,
};

/// Recorded progress of a task that was started at least once, or lent.
struct TaskProgress {
  int32_t occurrence = 0;
  int32_t step = 0;
  int32_t index = 0;
  TaskStatus status = TaskStatus::kWaiting;
  /// The last run that was started or may have been started.
  Run run = 0;
  int32_t failures = 0;
  /// Worker, and its incarnation, that the run is bound to.
  VmId worker;
  int64_t worker_incarnation = 0;
  std::string checkpoint;
  /// The job that runs a lent task.
  JobId lent_to;
  /// The last worker on which it failed.
  VmId avoided_worker;
  /// How long it had waited for a worker when this was written, 0 if it was not waiting.
  Millis waited;

  bool operator==(const TaskProgress&) const = default;
};

/// Progress of a job. Written by the owner of its cell.
struct ProgressRecord {
  /// Queued until a worker has started a run of the job.
  JobPhase phase = JobPhase::kQueued;
  std::vector<TaskProgress> tasks;

  bool operator==(const ProgressRecord&) const = default;
};

/// An accepted job, or a job made of tasks that one cell has lent to another.
struct JobRecord {
  std::string queue;
  /// The service of the queue at the acceptance, or when the record was last moved or lent.
  std::string service;
  int32_t priority = 0;
  int32_t max_attempts = 1;
  /// The cell whose owner starts the job's tasks.
  CellId cell;
  /// Time of day of the acceptance. Used only to order waiting jobs.
  int64_t accepted_unix_ms = 0;
  /// Time in which the job should complete, 0 if it has no objective. Orders waiting jobs too.
  Millis objective;
  /// Number of moves to another cell.
  int32_t moves = 0;
  JobSpec spec;
  /// For borrowed tasks: the job that they belong to, and which tasks they are. `spec` is that of
  /// the parent job except for the id.
  JobId parent;
  std::vector<TaskProgress> lent;
  /// For a moved job: its progress in its former cells.
  ProgressRecord carried_progress;
};

std::string Encode(const EntryRecord& record);
std::string Encode(const LayoutRecord& record);
std::string Encode(const CellRecord& record);
std::string Encode(const HandOverRecord& record);
std::string Encode(const HandOverQuestion& question);
std::string Encode(const TransferOffer& offer);
std::string Encode(const TransferReply& reply);
std::string Encode(const LoadRecord& record);
std::string Encode(const EvidenceRecord& record);
std::string Encode(const LearnedRecord& record);
std::string Encode(const JobRecord& record);
/// Encodes an ended job: only the head, with the phase in which it ended.
std::string EncodeEnded(const JobRecord& record, JobPhase phase);
std::string Encode(const ProgressRecord& record);

/// Each fails with `kMalformed` if the value is not a record of that type.
/// @{
Result<EntryRecord> DecodeEntry(std::string_view value);
Result<LayoutRecord> DecodeLayout(std::string_view value);
Result<CellRecord> DecodeCell(std::string_view value);
Result<HandOverRecord> DecodeHandOver(std::string_view value);
Result<HandOverQuestion> DecodeHandOverQuestion(std::string_view value);
Result<TransferOffer> DecodeTransferOffer(std::string_view value);
Result<TransferReply> DecodeTransferReply(std::string_view value);
Result<LoadRecord> DecodeLoad(std::string_view value);
Result<EvidenceRecord> DecodeEvidence(std::string_view value);
Result<LearnedRecord> DecodeLearned(std::string_view value);
Result<JobRecord> DecodeJob(std::string_view value);
Result<ProgressRecord> DecodeProgress(std::string_view value);
/// @}

/// The part of a job record that every entry needs. Cheaper to decode than the whole record.
struct JobHead {
  std::string queue;
  CellId cell;
  int64_t accepted_unix_ms = 0;
  /// The job is neither scheduled nor made of borrowed tasks, so it counts as pending until it
  /// starts.
  bool immediate = true;
  /// For borrowed tasks: the job that they belong to.
  JobId parent;
  /// The phase in which the job ended, if it has.
  std::optional<JobPhase> ended;
};
Result<JobHead> DecodeJobHead(std::string_view value);

/// Decodes only the phase of a progress record.
Result<JobPhase> DecodePhase(std::string_view value);

}  // namespace currantpost::scheduler

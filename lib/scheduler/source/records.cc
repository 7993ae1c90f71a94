#include "currantpost/scheduler/records.h"

#include <cmath>
#include <set>
#include <tuple>

#include "currantpost/model/json_integer.h"
#include "currantpost/scheduler/limits.h"
#include "record_json.h"

namespace currantpost::scheduler {
namespace {

// The value of a job or progress record starts with one line that every entry needs. The rest
// follows after it, so that most entries need not parse it.
constexpr char kLineEnd = '\n';

std::string_view HeadOf(std::string_view value) { return value.substr(0, value.find(kLineEnd)); }

std::string_view RestOf(std::string_view value) {
  const size_t end = value.find(kLineEnd);
  return end == std::string_view::npos ? std::string_view() : value.substr(end + 1);
}

/// Rounds to four decimals. More are below the measurement accuracy, and each byte is sent to all
/// entries.
double Rounded(double figure) {
  constexpr double kDecimals = 10'000.0;
  return std::round(figure * kDecimals) / kDecimals;
}

Json ImagesJson(const ImageStats& images) {
  Json usual = Json::object();
  for (const auto& [image, stress] : images.mean_stress) usual[image] = Rounded(stress);

  return Json{{"usual", std::move(usual)}, {"least", images.min_tail}};
}

ImageStats ImagesOf(const Json& json) {
  return ImageStats{.mean_stress = json.at("usual").get<std::map<std::string, double>>(),
                    .min_tail = json.at("least").get<std::map<std::string, int64_t>>()};
}

/// Encodes each task as a row: the common members, then the worker and its incarnation or the job
/// that runs a lent task, then the checkpoint, then the worker to avoid, then how long it has
/// waited. Trailing members with default values are left out.
Json TasksJson(const std::vector<TaskProgress>& tasks) {
  Json rows = Json::array();

  for (const TaskProgress& task : tasks) {
    Json row = Json::array({task.occurrence, task.step, task.index, static_cast<int>(task.status),
                            task.run, task.failures});
    const bool bound = task.status == TaskStatus::kBound;
    const bool lent = task.status == TaskStatus::kLent;
    const bool has_waited = task.waited > Millis(0);
    const bool has_avoided_worker = has_waited || !task.avoided_worker.Empty();
    const bool has_checkpoint = has_avoided_worker || !task.checkpoint.empty();

    if (bound || lent || has_checkpoint) {
      row.push_back(bound ? task.worker.Text() : task.lent_to.Text());
      row.push_back(bound ? task.worker_incarnation : 0);
    }

    if (has_checkpoint) row.push_back(task.checkpoint);

    if (has_avoided_worker) row.push_back(task.avoided_worker.Text());
    if (has_waited) row.push_back(task.waited.Count());

    rows.push_back(std::move(row));
  }

  return rows;
}

/// Reads the rows of `TasksJson`. Throws if a task has two.
std::vector<TaskProgress> TasksOf(const Json& json) {
  constexpr int kLastStatus = static_cast<int>(TaskStatus::kLent);
  std::vector<TaskProgress> tasks;
  std::set<std::tuple<int32_t, int32_t, int32_t>> names;

  for (const Json& row : json) {
    TaskProgress task;
    task.occurrence = ReadInteger<int32_t>(row.at(0), 0);
    task.step = ReadInteger<int32_t>(row.at(1), 0);
    task.index = ReadInteger<int32_t>(row.at(2), 0);
    task.status = static_cast<TaskStatus>(ReadInteger(row.at(3), 0, kLastStatus));
    task.run = ReadInteger<Run>(row.at(4), 0, kMaxRun);
    task.failures = ReadInteger<int32_t>(row.at(5), 0, kMaxRun);

    if (!names.emplace(task.occurrence, task.step, task.index).second) {
      throw Json::other_error::create(501, "a task has two rows", &row);
    }

    if (row.size() > 7) {
      const std::string name = row.at(6).get<std::string>();
      if (task.status == TaskStatus::kBound) task.worker = VmId(name);
      if (task.status == TaskStatus::kLent) task.lent_to = JobId(name);
      task.worker_incarnation = ReadInteger<int64_t>(row.at(7));
    }

    if (row.size() > 8) task.checkpoint = row.at(8).get<std::string>();

    if (row.size() > 9) task.avoided_worker = VmId(row.at(9).get<std::string>());
    if (row.size() > 10) task.waited = ReadDuration(row.at(10));

    tasks.push_back(std::move(task));
  }

  return tasks;
}

Json LeasesJson(const std::map<VmId, Millis>& leases) {
  Json json = Json::object();
  for (const auto& [worker, rest] : leases) json[worker.Text()] = rest.Count();

  return json;
}

std::map<VmId, Millis> LeasesOf(const Json& json) {
  std::map<VmId, Millis> leases;
  for (const auto& [worker, rest] : json.items()) {
    leases[VmId(worker)] = ReadDuration(rest);
  }

  return leases;
}

Json AddressesJson(const std::map<VmId, Address>& addresses) {
  Json json = Json::object();
  for (const auto& [worker, address] : addresses) json[worker.Text()] = AddressJson(address);

  return json;
}

std::map<VmId, Address> AddressesOf(const Json& json) {
  std::map<VmId, Address> addresses;
  for (const auto& [worker, address] : json.items()) {
    addresses[VmId(worker)] = AddressOf(address);
  }

  return addresses;
}

ProgressRecord CarriedOf(const Json& json) {
  if (!json.contains("carried")) return ProgressRecord{};

  const auto phase = kJobPhaseNames.Find(json.value("phase", std::string()));
  return ProgressRecord{.phase = phase.value_or(JobPhase::kQueued),
                        .tasks = TasksOf(json.at("carried"))};
}

Json HeadJson(const JobRecord& record) {
  Json head{{"queue", record.queue}, {"cell", record.cell.Text()}, {"at", record.accepted_unix_ms}};
  if (record.spec.occurrences > 0) head["times"] = record.spec.occurrences;
  if (!record.parent.Empty()) head["parent"] = record.parent.Text();

  return head;
}

int32_t OccurrencesOf(const Json& head) { return ReadIntegerOr(head, "times", int32_t{0}); }

JobHead HeadOfJob(const Json& json) {
  return JobHead{.queue = json.at("queue").get<std::string>(),
                 .cell = CellId(json.at("cell").get<std::string>()),
                 .accepted_unix_ms = ReadInteger(json.at("at"), -kMaxUnixMillis, kMaxUnixMillis),
                 .immediate = OccurrencesOf(json) == 0 && !json.contains("parent"),
                 .parent = JobId(json.value("parent", std::string())),
                 .ended = kJobPhaseNames.Find(json.value("ended", std::string()))};
}

}  // namespace

std::string Encode(const EntryRecord& record) {
  return Dump(Json{{"life", record.incarnation},
                   {"dc", record.data_centre.Text()},
                   {"peer", AddressJson(record.peer_address)},
                   {"cpu", record.millicores},
                   {"caught_up", record.caught_up}});
}

Result<EntryRecord> DecodeEntry(std::string_view value) {
  return Decode<EntryRecord>(value, "entry record", [](const Json& json) {
    return EntryRecord{.incarnation = json.at("life").get<std::string>(),
                       .data_centre = DataCentreId(json.at("dc").get<std::string>()),
                       .peer_address = AddressOf(json.at("peer")),
                       .millicores = ReadInteger<int64_t>(json.at("cpu"), 0, kMaxAmount),
                       .caught_up = json.value("caught_up", true)};
  });
}

std::string Encode(const LayoutRecord& record) {
  Json json = Json::object();
  for (const auto& [rack, cell] : record.cell_of_rack) json[rack.Text()] = cell.Text();
  return Dump(json);
}

Result<LayoutRecord> DecodeLayout(std::string_view value) {
  return Decode<LayoutRecord>(value, "layout record", [](const Json& json) {
    LayoutRecord record;

    for (const auto& [rack, cell] : json.items()) {
      record.cell_of_rack[RackId(rack)] = CellId(cell.get<std::string>());
    }

    return record;
  });
}

std::string Encode(const CellRecord& record) {
  return Dump(Json{{"owner", record.owner.Text()}, {"life", record.incarnation}});
}

Result<CellRecord> DecodeCell(std::string_view value) {
  return Decode<CellRecord>(value, "cell record", [](const Json& json) {
    return CellRecord{.owner = EntryId(json.at("owner").get<std::string>()),
                      .incarnation = json.at("life").get<std::string>()};
  });
}

std::string Encode(const HandOverRecord& record) {
  Json json{{"grant", record.grant}, {"leases", LeasesJson(record.leases)}};
  if (!record.addresses.empty()) json["addresses"] = AddressesJson(record.addresses);

  if (record.lease != 0) json["lease"] = record.lease;

  if (record.witnesses) {
    Json& rows = json["witnesses"] = Json::array();
    for (const auto& [witness, address] : *record.witnesses) {
      rows.push_back(
          Json::array({witness.entry.Text(), witness.incarnation, AddressJson(address)}));
    }
  }

  if (record.owner.Empty()) return Dump(json);

  json["owner"] = record.owner.Text();
  json["life"] = record.incarnation;
  json["peer"] = AddressJson(record.peer_address);
  return Dump(json);
}

Result<HandOverRecord> DecodeHandOver(std::string_view value) {
  return Decode<HandOverRecord>(value, "hand-over record", [](const Json& json) {
    HandOverRecord record;
    record.grant = ReadInteger<KvRevision>(json.at("grant"), 0);

    record.leases = LeasesOf(json.at("leases"));

    if (json.contains("addresses")) record.addresses = AddressesOf(json.at("addresses"));

    record.lease = ReadIntegerOr(json, "lease", LeaseId{0});

    if (json.contains("witnesses")) {
      record.witnesses.emplace();
      for (const Json& row : json.at("witnesses")) {
        const EntryInstance witness{EntryId(row.at(0).get<std::string>()),
                                    row.at(1).get<std::string>()};
        (*record.witnesses)[witness] = AddressOf(row.at(2));
      }
    }

    if (!json.contains("owner")) return record;

    record.owner = EntryId(json.at("owner").get<std::string>());
    record.incarnation = json.at("life").get<std::string>();
    record.peer_address = AddressOf(json.at("peer"));
    return record;
  });
}

std::string Encode(const HandOverQuestion& question) {
  return Dump(Json{{"grant", question.grant},
                   {"life", question.incarnation},
                   {"present", question.current_grant},
                   {"peer", AddressJson(question.reply_to)}});
}

Result<HandOverQuestion> DecodeHandOverQuestion(std::string_view value) {
  return Decode<HandOverQuestion>(value, "question to a former owner", [](const Json& json) {
    return HandOverQuestion{.grant = ReadInteger<KvRevision>(json.at("grant"), 0),
                            .incarnation = json.at("life").get<std::string>(),
                            .current_grant = ReadInteger<KvRevision>(json.at("present"), 0),
                            .reply_to = AddressOf(json.at("peer"))};
  });
}

std::string Encode(const TransferOffer& offer) {
  return Dump(Json{{"grant", offer.grant},
                   {"number", offer.number},
                   {"life", offer.successor_incarnation},
                   {"stopping", offer.stopping},
                   {"peer", AddressJson(offer.reply_to)}});
}

Result<TransferOffer> DecodeTransferOffer(std::string_view value) {
  return Decode<TransferOffer>(value, "offer of a cell", [](const Json& json) {
    return TransferOffer{.grant = ReadInteger<KvRevision>(json.at("grant"), 0),
                         .number = ReadInteger<int64_t>(json.at("number")),
                         .successor_incarnation = json.at("life").get<std::string>(),
                         .stopping = json.value("stopping", false),
                         .reply_to = AddressOf(json.at("peer"))};
  });
}

std::string Encode(const TransferReply& reply) {
  return Dump(Json{{"grant", reply.grant},
                   {"number", reply.number},
                   {"lease", reply.lease},
                   {"read_too_long", reply.read_too_long}});
}

Result<TransferReply> DecodeTransferReply(std::string_view value) {
  return Decode<TransferReply>(value, "reply to the offer of a cell", [](const Json& json) {
    return TransferReply{.grant = ReadInteger<KvRevision>(json.at("grant"), 0),
                         .number = ReadInteger<int64_t>(json.at("number")),
                         .lease = ReadInteger<LeaseId>(json.at("lease")),
                         .read_too_long = json.value("read_too_long", false)};
  });
}

std::string Encode(const EvidenceRecord& record) {
  Json pairs = Json::array();

  for (const PairEvidence& pair : record.pairs) {
    pairs.push_back(Json::array({pair.service_kind, pair.batch_kind, Rounded(pair.precision),
                                 Rounded(pair.weighted_sum), pair.measurements}));
  }

  return Dump(Json{{"pairs", std::move(pairs)}, {"images", ImagesJson(record.images)}});
}

Result<EvidenceRecord> DecodeEvidence(std::string_view value) {
  return Decode<EvidenceRecord>(value, "evidence record", [](const Json& json) {
    EvidenceRecord record;

    for (const Json& row : json.at("pairs")) {
      record.pairs.push_back(PairEvidence{.service_kind = row.at(0).get<std::string>(),
                                          .batch_kind = row.at(1).get<std::string>(),
                                          .precision = row.at(2).get<double>(),
                                          .weighted_sum = row.at(3).get<double>(),
                                          .measurements = ReadInteger<int32_t>(row.at(4))});
    }

    record.images = ImagesOf(json.at("images"));
    return record;
  });
}

std::string Encode(const LearnedRecord& record) {
  Json pairs = Json::array();

  for (const PairEstimate& pair : record.pairs) {
    pairs.push_back(Json::array(
        {pair.service_kind, pair.batch_kind, Rounded(pair.mean), Rounded(pair.deviation)}));
  }

  return Dump(Json{{"pairs", std::move(pairs)}, {"images", ImagesJson(record.images)}});
}

Result<LearnedRecord> DecodeLearned(std::string_view value) {
  return Decode<LearnedRecord>(value, "learned record", [](const Json& json) {
    LearnedRecord record;

    for (const Json& row : json.at("pairs")) {
      record.pairs.push_back(PairEstimate{.service_kind = row.at(0).get<std::string>(),
                                          .batch_kind = row.at(1).get<std::string>(),
                                          .mean = row.at(2).get<double>(),
                                          .deviation = row.at(3).get<double>()});
    }

    record.images = ImagesOf(json.at("images"));
    return record;
  });
}

std::string EncodeEnded(const JobRecord& record, JobPhase phase) {
  Json head = HeadJson(record);
  head["ended"] = kJobPhaseNames.Name(phase);
  return Dump(head);
}

std::string Encode(const JobRecord& record) {
  Json steps = Json::array();
  for (const StepSpec& step : record.spec.steps) steps.push_back(StepJson(step));

  Json rest{{"job", record.spec.job.Text()},  {"service", record.service},
            {"priority", record.priority},    {"attempts", record.max_attempts},
            {"payload", record.spec.payload}, {"steps", std::move(steps)}};

  if (record.objective > Millis(0)) rest["objective"] = record.objective.Count();
  if (record.moves > 0) rest["moves"] = record.moves;
  if (!record.lent.empty()) rest["lent"] = TasksJson(record.lent);
  if (record.carried_progress != ProgressRecord{}) {
    rest["carried"] = TasksJson(record.carried_progress.tasks);
    rest["phase"] = kJobPhaseNames.Name(record.carried_progress.phase);
  }

  if (record.spec.occurrences > 0) {
    rest["first"] = record.spec.first_due_unix_ms;
    rest["interval"] = record.spec.interval.Count();
  }

  return Dump(HeadJson(record)) + kLineEnd + Dump(rest);
}

Result<JobHead> DecodeJobHead(std::string_view value) {
  return Decode<JobHead>(HeadOf(value), "job record", HeadOfJob);
}

Result<JobRecord> DecodeJob(std::string_view value) {
  const Result<Json> head_json = Parse(HeadOf(value), "job record");
  if (!head_json) return tl::unexpected<Error>(head_json.error());

  return Decode<JobRecord>(RestOf(value), "job record", [&](const Json& json) {
    const JobHead head = HeadOfJob(*head_json);
    JobRecord record;
    record.queue = head.queue;
    record.cell = head.cell;
    record.accepted_unix_ms = head.accepted_unix_ms;
    record.service = json.at("service").get<std::string>();
    record.priority = ReadInteger<int32_t>(json.at("priority"));
    record.max_attempts = ReadInteger<int32_t>(json.at("attempts"));
    record.spec.job = JobId(json.at("job").get<std::string>());
    record.spec.payload = json.at("payload").get<std::string>();
    for (const Json& step : json.at("steps")) record.spec.steps.push_back(StepOf(step));

    record.spec.occurrences = OccurrencesOf(*head_json);
    record.spec.first_due_unix_ms = ReadIntegerOr(json, "first", int64_t{0});
    record.spec.interval = ReadDurationOr(json, "interval", Millis(0));
    record.objective = ReadDurationOr(json, "objective", Millis(0));
    record.moves = ReadIntegerOr(json, "moves", int32_t{0}, int32_t{0}, kMaxRun);
    record.parent = head.parent;
    if (json.contains("lent")) record.lent = TasksOf(json.at("lent"));
    record.carried_progress = CarriedOf(json);

    const std::string fault = FindFault(record.spec);
    if (!fault.empty()) throw Json::out_of_range::create(406, fault, &json);

    return record;
  });
}

std::string Encode(const ProgressRecord& record) {
  return std::string(kJobPhaseNames.Name(record.phase)) + kLineEnd + Dump(TasksJson(record.tasks));
}

Result<JobPhase> DecodePhase(std::string_view value) {
  const std::optional<JobPhase> phase = kJobPhaseNames.Find(HeadOf(value));
  if (!phase) return Fail(ErrorCode::kMalformed, "progress record");
  return *phase;
}

Result<ProgressRecord> DecodeProgress(std::string_view value) {
  const Result<JobPhase> phase = DecodePhase(value);
  if (!phase) return tl::unexpected<Error>(phase.error());

  return Decode<ProgressRecord>(RestOf(value), "progress record", [&](const Json& json) {
    ProgressRecord record;
    record.phase = *phase;

    record.tasks = TasksOf(json);
    return record;
  });
}

}  // namespace currantpost::scheduler

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_format.h"
#include "currantpost/scheduler/reservation.h"
#include "currantpost/scheduler/scheduler.h"
#include "currantpost/scheduler/state.h"

/// What the scheduler of one entry costs while jobs wait in a fleet that reports no room, by cells
/// owned, jobs waiting and cells in the fleet. Times are processor time of `Reduce` alone; the
/// store and the peers answer in memory.

namespace currantpost::scheduler {
namespace {

constexpr Millis kStep = Millis(10);
constexpr Millis kReportInterval = Millis(500);
/// Time for the entry to own its cells, and for its jobs to have waited long.
constexpr Millis kMaxOpening = Millis(20'000);
constexpr Millis kSettling = Millis(1'500);
constexpr Millis kMeasured = Millis(1'000);
constexpr double kMicros = 1e6;

constexpr int kCellsPerForeignOwner = 3;
constexpr int kLongRunningImages = 12;
constexpr int kBestEffortImages = 8;
constexpr LeaseId kOwnLease = 1;
constexpr LeaseId kForeignLease = 2;
constexpr char kService[] = "kitchen";

/// Returns the processor time that this thread has used, in seconds.
double ProcessorSeconds() {
  timespec used = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

struct Surroundings {
  int owned = 1;
  int jobs = 10;
  int cells = 30;
  /// Peers decline requests for capacity. Otherwise they do not reply.
  bool peers_reply = true;
};

std::string LongRunningImage(int number) { return absl::StrFormat("serving-image-%02d", number); }
std::string BestEffortImage(int number) { return absl::StrFormat("filling-image-%02d", number); }

/// Records in memory. Answers calls at once, and watches once there is something to return.
class Store {
 public:
  void Put(const std::string& key, const std::string& value, LeaseId lease = 0) {
    Append(StoreItem{.key = key, .revision = ++revision_, .lease = lease, .value = value});
  }

  /// Returns the reply to a call, or nothing if it waits.
  std::optional<StoreReply> Answer(const StoreBody& body) {
    StoreReply reply{.status = StoreStatus::kOk, .revision = revision_};

    if (const auto* watch = std::get_if<WatchFeed>(&body)) {
      if (revision_ <= watch->after) return std::nullopt;
      for (auto item = history_.upper_bound(watch->after); item != history_.end(); ++item) {
        if (IsIn(watch->feed, item->second.key)) reply.items.push_back(item->second);
      }
    } else if (const auto* list = std::get_if<ListFeed>(&body)) {
      for (const auto& [key, item] : items_) {
        if (IsIn(list->feed, key)) reply.items.push_back(item);
      }
    } else if (const auto* page = std::get_if<ListRecords>(&body)) {
      for (const auto& [key, item] : items_) {
        if (key.starts_with(page->prefix)) reply.items.push_back(item);
      }
    } else if (const auto* read = std::get_if<ReadRecord>(&body)) {
      const auto item = items_.find(read->key);
      if (item == items_.end()) reply.status = StoreStatus::kNotFound;
      if (item != items_.end()) reply.items.push_back(item->second);
    } else if (const auto* write = std::get_if<WriteRecords>(&body)) {
      Write(*write, reply);
    } else if (std::holds_alternative<GrantLease>(body) ||
               std::holds_alternative<RenewLease>(body)) {
      reply.lease = kOwnLease;
      reply.ttl = Millis(2'500);
    }

    return reply;
  }

 private:
  static bool IsIn(Feed feed, const std::string& key) {
    if (feed == Feed::kMembers) return key.starts_with(kMembersPrefix);
    return feed == Feed::kRecords && key.starts_with(kSharedPrefix);
  }

  void Append(StoreItem item) {
    history_.emplace(item.revision, item);
    const std::string key = item.key;
    items_[key] = std::move(item);
  }

  void Write(const WriteRecords& write, StoreReply& reply) {
    reply.revision = ++revision_;
    for (const RecordPut& put : write.puts) {
      StoreItem item{.key = put.key, .revision = revision_, .lease = put.lease, .value = put.value};
      items_[put.key] = item;
      history_.emplace(revision_, std::move(item));
    }
  }

  KvRevision revision_ = 0;
  std::map<std::string, StoreItem> items_;
  std::multimap<KvRevision, StoreItem> history_;
};

/// Costs since the last reset.
struct Costs {
  int64_t events = 0;
  double seconds = 0.0;
  double longest = 0.0;
  /// Updates of all jobs of a cell, and the time of the events with such updates.
  int64_t passes = 0;
  double pass_seconds = 0.0;
  int64_t requests = 0;
};

/// The reducer of one entry, which owns the cells of its data centre.
class LoadedEntry {
 public:
  explicit LoadedEntry(const Surroundings& surroundings) : surroundings_(surroundings) {
    Settings settings;
    settings.entry = EntryId("m0");
    settings.data_centre = DataCentreId("own");
    settings.incarnation = "1";
    settings.peer_address = Address{.host = "m0", .port = 1};
    settings.millicores = 16'000;
    state_ = MakeState(settings);
    AddFleet();
    AddEstimates();
  }

  /// Runs until the entry owns its cells, and adds the jobs.
  void Open() {
    for (Millis passed; passed < kMaxOpening && OpenedCells() < surroundings_.owned;
         passed = passed + kStep) {
      Step();
    }
    AddJobs();
  }

  void Run(Millis span) {
    for (Millis passed; passed < span; passed = passed + kStep) Step();
  }

  [[nodiscard]] int OpenedCells() const {
    return static_cast<int>(
        std::ranges::count_if(state_->cells, [](const auto& row) { return row.second.open; }));
  }

  [[nodiscard]] int64_t WaitingTasks() const {
    int64_t waiting = 0;
    for (const auto& [id, cell] : state_->cells) {
      waiting += static_cast<int64_t>(cell.waiting.size());
    }
    return waiting;
  }

  Costs costs;

 private:
  using Body = decltype(Event::body);

  void AddFleet() {
    LayoutRecord layout;
    const auto add_cell = [&](const CellId& cell) {
      layout.cell_of_rack[RackId(cell.Text() + "-rack")] = cell;
    };

    for (int cell = 0; cell < surroundings_.owned; ++cell) add_cell(OwnCell(cell));

    for (int number = surroundings_.owned; number < surroundings_.cells; ++number) {
      const CellId cell(absl::StrFormat("other/%03d", number));
      const std::string owner = absl::StrFormat("f%03d", number / kCellsPerForeignOwner);
      add_cell(cell);
      foreign_cells_.push_back(cell);
      store_.Put(std::string(kEntryPrefix) + owner,
                 Encode(EntryRecord{.incarnation = "1",
                                    .data_centre = DataCentreId("other"),
                                    .peer_address = Address{.host = owner, .port = 1},
                                    .millicores = 1'000}),
                 kForeignLease);
      store_.Put(std::string(kCellPrefix) + cell.Text(), Encode(CellRecord{EntryId(owner), "1"}),
                 kForeignLease);
      Report(cell);
    }

    store_.Put(std::string(kLayoutKey), Encode(layout));
  }

  void AddEstimates() {
    LearnedRecord learned;

    for (int service = 0; service < kLongRunningImages; ++service) {
      for (int batch = 0; batch < kBestEffortImages; ++batch) {
        learned.pairs.push_back(PairEstimate{.service_kind = LongRunningImage(service),
                                             .batch_kind = BestEffortImage(batch),
                                             .mean = 0.1 * ((service + batch) % 7),
                                             .deviation = 0.05});
      }
    }

    store_.Put(std::string(kLearnedKey), Encode(learned));
  }

  /// Stores the load report of a full cell. It differs from the last one.
  void Report(const CellId& cell) {
    ServiceLoad load{.capacity = 96'000,
                     .free = 400 + reports_ % 100,
                     .largest_free = 300,
                     .free_best_effort = 400,
                     .waiting = 20'000,
                     .waiting_best_effort = 10'000,
                     .largest_long_running = 300};
    for (int image = 0; image < kLongRunningImages; ++image) {
      load.long_running_by_image[LongRunningImage(image)] = 4'000;
    }

    ++reports_;
    store_.Put(std::string(kLoadPrefix) + cell.Text(),
               Encode(LoadRecord{.services = {{kService, load}}}), kForeignLease);
  }

  /// Adds long-running, short and best-effort jobs of one task in equal numbers.
  void AddJobs() {
    constexpr int kKinds = 3;
    constexpr int64_t kSizes = 4;

    for (int number = 0; number < surroundings_.jobs; ++number) {
      const int kind = number % kKinds;
      StepSpec step;
      step.need = Resources{.millicores = 1'000 * (1 + number % kSizes), .memory_mib = 100};
      step.estimate = Millis(500);
      step.is_long_running = kind == 0;
      step.best_effort = kind == 2;
      step.image = step.best_effort ? BestEffortImage(number % kBestEffortImages)
                                    : LongRunningImage(number % kLongRunningImages);

      JobRecord record;
      record.queue = "orders";
      record.service = kService;
      record.cell = OwnCell(number % surroundings_.owned);
      record.spec.job = JobId(absl::StrFormat("job-%05d", number));
      record.spec.steps.push_back(std::move(step));
      store_.Put(std::string(kJobPrefix) + record.spec.job.Text(), Encode(record));
    }
  }

  static CellId OwnCell(int number) { return CellId(absl::StrFormat("own/%03d", number)); }

  void Step() {
    now_ = now_ + kStep;
    WriteDueReports();
    Handle(Tick{});
    AnswerCalls();
  }

  /// Stores the reports of the cells whose turn it is: each has one per interval.
  void WriteDueReports() {
    const auto steps = static_cast<size_t>(kReportInterval.Count() / kStep.Count());
    const size_t step = static_cast<size_t>(now_.Count() / kStep.Count()) % steps;
    for (size_t cell = step; cell < foreign_cells_.size(); cell += steps) {
      Report(foreign_cells_[cell]);
    }
  }

  /// Answers the calls of all events so far, and of the events that answer them.
  void AnswerCalls() {
    std::deque<StoreCall> held = std::exchange(watches_, {});
    std::deque<Effect> left(held.begin(), held.end());
    std::ranges::move(std::exchange(effects_, {}), std::back_inserter(left));

    while (!left.empty()) {
      const Effect effect = std::move(left.front());
      left.pop_front();
      Answer(effect);
      std::ranges::move(std::exchange(effects_, {}), std::back_inserter(left));
    }
  }

  void Answer(const Effect& effect) {
    if (const auto* call = std::get_if<StoreCall>(&effect)) {
      std::optional<StoreReply> reply = store_.Answer(call->body);
      if (reply) return Handle(StoreAnswered{call->request, *std::move(reply)});

      watches_.push_back(*call);
    } else if (const auto* push = std::get_if<PushRecords>(&effect)) {
      for (const StoreItem& item : push->items) AnswerPush(item);
    }
  }

  /// Declines a request for capacity.
  void AnswerPush(const StoreItem& item) {
    if (!item.key.starts_with(kReservationRequestPrefix)) return;

    ++costs.requests;
    const auto request = DecodeReservationRequest(item.value);
    if (!request || !surroundings_.peers_reply) return;

    const std::string cell = item.key.substr(kReservationRequestPrefix.size());
    const ReservationReply reply{.from = request->from,
                                 .job = request->job,
                                 .asked_at = request->asked_at,
                                 .service = request->service,
                                 .free = 400,
                                 .largest_free = 300,
                                 .largest_long_running = 300,
                                 .free_best_effort = 400};
    Handle(RecordsPushed{
        {StoreItem{.key = std::string(kReservationReplyPrefix) + cell, .value = Encode(reply)}}});
  }

  /// Returns the number of updates of all jobs that are due now.
  [[nodiscard]] int64_t DuePasses() const {
    return std::ranges::count_if(state_->cells, [&](const auto& row) {
      return row.second.open && now_ >= row.second.next_job_update;
    });
  }

  void Handle(Body body) {
    const Event event{now_, now_.Count(), std::move(body)};
    const int64_t passes = DuePasses();
    const double begin = ProcessorSeconds();
    Reduce(*state_, event, effects_);
    const double taken = ProcessorSeconds() - begin;

    ++costs.events;
    costs.seconds += taken;
    costs.longest = std::max(costs.longest, taken);
    costs.passes += passes;
    if (passes > 0) costs.pass_seconds += taken;
  }

  Surroundings surroundings_;
  Store store_;
  std::unique_ptr<State> state_;
  Millis now_ = Millis(1'000);
  Effects effects_;
  std::deque<StoreCall> watches_;
  std::vector<CellId> foreign_cells_;
  int64_t reports_ = 0;
};

void Measure(const Surroundings& surroundings) {
  LoadedEntry entry(surroundings);
  entry.Open();
  entry.Run(kSettling);
  entry.costs = {};
  entry.Run(kMeasured);

  const Costs& costs = entry.costs;
  const double seconds = static_cast<double>(kMeasured.Count()) / 1'000.0;
  absl::PrintF(
      "%5d %6d %6d  %-7s %7d %9.1f %9.1f %9.2f %8.2f %9d\n", surroundings.owned, surroundings.jobs,
      surroundings.cells, surroundings.peers_reply ? "decline" : "silent", entry.WaitingTasks(),
      costs.seconds * kMicros / static_cast<double>(std::max<int64_t>(costs.events, 1)),
      costs.pass_seconds * kMicros / static_cast<double>(std::max<int64_t>(costs.passes, 1)),
      costs.longest * 1'000.0, costs.seconds / seconds * 100.0, costs.requests);
}

void MeasureAll() {
  absl::PrintF("%5s %6s %6s  %-7s %7s %9s %9s %9s %8s %9s\n", "owned", "jobs", "cells", "peers",
               "waiting", "us/event", "us/pass", "max ms", "% core", "requests");

  for (const bool peers_reply : {true, false}) {
    for (const int owned : {1, 10}) {
      for (const int jobs : {10, 100, 1'000}) {
        for (const int cells : {30, 150}) {
          Measure({.owned = owned, .jobs = jobs, .cells = cells, .peers_reply = peers_reply});
        }
      }
    }
  }
}

}  // namespace
}  // namespace currantpost::scheduler

int main() {
  currantpost::scheduler::MeasureAll();
  return 0;
}

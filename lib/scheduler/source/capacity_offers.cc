#include "capacity_offers.h"

#include "overdue_request.h"
#include "owner_contact.h"
#include "worker_hold.h"

namespace currantpost::scheduler {
namespace {

/// Maximum number of offers that a job has at a time. Its tasks are passed on one by one.
constexpr size_t kMaxOffersPerJob = 4;
/// How long an offered worker is kept after the time in which it may be used: the request for it is
/// on its way.
constexpr Millis kRequestTime = Millis(50);
/// How long an offer may be used, as a multiple of what a reply takes.
constexpr int64_t kReplyFactor = 2;
/// How late an owner that offers workers may handle the requests for them.
constexpr Millis kMaxOfferLateness = kMinOfferUsableTime / 2;

/// Returns how long the owner of a cell may use an offer.
Millis UsableTimeFor(const State& state, const CellId& waits_in) {
  const std::optional<Millis> reply_time = ReplyTimeOf(state, waits_in);
  // An owner that takes longer can't use any offer; the next one shows whether it still does.
  if (!reply_time || *reply_time >= kMaxOfferUsableTime) return kMinOfferUsableTime;

  return std::clamp(*reply_time * kReplyFactor, kMinOfferUsableTime, kMaxOfferUsableTime);
}

/// Returns the number of interrupted tasks of a job that wait in the cell without a worker that is
/// kept for them there, and that may be passed on.
int64_t CountUnserved(const OwnedCell& cell, const JobState& job) {
  const bool may_leave = !job.move && (job.record.parent.Empty() || job.bound == 0);
  if (!may_leave || job.cancelled || job.attempts_exhausted || cell.releasing) return 0;

  int64_t unserved = 0;
  VisitWaitingTasks(cell, job, [&](const TaskRef& ref) {
    if (!IsInterrupted(job, ref)) return false;

    ++unserved;
    return true;
  });
  const JobId& id = job.record.spec.job;
  return unserved - std::ranges::count_if(cell.holds, [&](const WorkerHold& hold) {
           return hold.job == id && hold.is_interrupted;
         });
}

/// Removes the offers of a job that can't be used any more.
void DropOldOffers(const State& state, JobState& job) {
  std::erase_if(job.offers, [&](const JobState::OfferedWorker& offer) {
    return state.now >= offer.expires_at;
  });
}

/// Uses an offer to a job, or keeps it until the job may ask. Returns false if no task of the job
/// needs it.
bool AcceptOffer(State& state, Effects& effects, const CellId& id, const CapacityOffer& offer,
                 Millis expires_at) {
  OwnedCell* cell = FindOpenCell(state, id);
  if (cell == nullptr) return false;

  const auto found = cell->jobs.find(offer.job);
  if (found == cell->jobs.end()) return false;

  JobState& job = found->second;
  DropOldOffers(state, job);
  const int64_t used = static_cast<int64_t>(job.offers.size()) +
                       (job.reservation && job.reservation->is_offered ? 1 : 0);
  if (job.offers.size() == kMaxOffersPerJob || CountUnserved(*cell, job) <= used) return false;

  job.offers.push_back({offer.from, expires_at, offer.offered_at});
  ++job.search.offered;
  // A reply that comes later counts all the same.
  if (job.reservation && !job.reservation->is_offered) job.reservation.reset();
  SearchWithoutDelay(state, job);
  TryLendTasks(state, effects, *cell, job);
  return true;
}

/// Gives the worker that was offered to a job to the next task.
void HandleRefusal(State& state, const CellId& from, const OfferRefusal& refusal) {
  DeferOffers(state, refusal.waits_in, refusal.job);
  OwnedCell* cell = FindOpenCell(state, from);
  if (cell == nullptr) return;

  const auto hold = std::ranges::find_if(cell->holds, [&](const WorkerHold& each) {
    return each.offered_to == refusal.waits_in && each.job == refusal.job;
  });
  if (hold == cell->holds.end()) return;

  CountEndOfHold(state, HoldEvent::kRefused, *hold);
  cell->holds.erase(hold);
  cell->placement_due = true;
}

}  // namespace

bool MayOffer(const State& state, const OwnedCell& cell) {
  const Millis lateness = std::max(state.lateness, state.background.pace.Lateness());
  return cell.hand_over.written && HoldsLease(state) && lateness < kMaxOfferLateness;
}

std::optional<OfferedTask> MakeOffer(const State& state, OwnedCell& cell, RoomBound& bound,
                                     const InterruptedTask& task, int32_t rank) {
  const InterruptedWait& wait = task.reported->task;
  if (rank <= CountHolds(cell, wait.name, wait.job, true)) return std::nullopt;

  const StepSpec spec = SpecOfReported(wait);
  const HoldRequest request{.placement = PlacementRequest{.name = wait.name,
                                                          .spec = spec,
                                                          .service = *task.service,
                                                          .avoided_worker = VmId(),
                                                          .ready_at = state.now,
                                                          .priority = wait.priority,
                                                          .absent_since = task.absent_since},
                            .job = wait.job,
                            .tasks = 1,
                            .priority = wait.priority};
  if (!bound.MayFit(request.placement)) return std::nullopt;

  const Millis usable_time = UsableTimeFor(state, *task.waits_in);
  const Millis kept_time = usable_time + kRequestTime;
  if (!KeepOfferedWorker(state, cell, request, *task.waits_in, kept_time)) return std::nullopt;

  return OfferedTask{*task.waits_in, wait.job, usable_time};
}

void SendOffers(State& state, Effects& effects, const CellId& from,
                const std::vector<OfferedTask>& offers) {
  for (const OfferedTask& offered : offers) {
    const CapacityOffer offer{.from = from,
                              .job = offered.job,
                              .offered_at = state.now,
                              .usable_time = offered.usable_time,
                              .reply_to = state.settings.peer_address};

    if (!state.cells.contains(offered.waits_in)) {
      PushToOwner(state, effects, offered.waits_in,
                  StoreItem{.key = std::string(kCapacityOfferPrefix) + offered.waits_in.Text(),
                            .value = Encode(offer)});
    } else if (!AcceptOffer(state, effects, offered.waits_in, offer,
                            state.now + offered.usable_time)) {
      HandleRefusal(state, from, OfferRefusal{offered.waits_in, offered.job, state.now});
    }
  }
}

void ApplyCapacityOffer(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const Result<CapacityOffer> offer = DecodeCapacityOffer(item.value);
  if (!offer) return LogUnreadable(effects, item, offer.error());

  const Millis expires_at = state.now - state.lateness + offer->usable_time;
  if (!IsOverdue(state, offer->usable_time) && AcceptOffer(state, effects, id, *offer, expires_at))
    return;

  PushMessage(effects, offer->reply_to, kOfferRefusalPrefix, offer->from.Text(),
              Encode(OfferRefusal{id, offer->job, offer->offered_at}));
}

void ApplyOfferRefusal(State& state, Effects& effects, const CellId& id, const StoreItem& item) {
  const Result<OfferRefusal> refusal = DecodeOfferRefusal(item.value);
  if (!refusal) return LogUnreadable(effects, item, refusal.error());

  NoteOwnerReplied(state, refusal->waits_in, refusal->offered_at);
  HandleRefusal(state, id, *refusal);
}

std::optional<JobState::OfferedWorker> TakeOffer(const State& state, JobState& job,
                                                 bool is_interrupted) {
  if (job.offers.empty() || !is_interrupted) return std::nullopt;

  DropOldOffers(state, job);
  if (job.offers.empty()) return std::nullopt;

  const JobState::OfferedWorker offer = job.offers.front();
  job.offers.erase(job.offers.begin());
  return offer;
}

void NoteServed(State& state, const ReservationRequest& request, const ReservationReply& reply) {
  if (request.is_interrupted && (reply.tasks > 0 || reply.keeps)) {
    NoteOfferUsed(state, request.from, request.job);
  }
}

}  // namespace currantpost::scheduler

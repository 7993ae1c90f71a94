#include <algorithm>
#include <array>

#include "world.h"

/// Calls between entries, workers and the store, with their delays, cuts and losses.

namespace currantpost::scheduler {
namespace {

constexpr Millis kHopDelay = Millis(2);
/// Size in bytes of an order on the wire, and of a record without its key and value.
constexpr int64_t kOrderBytes = 400;
constexpr int64_t kRecordBytes = 100;

int64_t BytesOf(const std::vector<StoreItem>& items) {
  int64_t bytes = 0;
  for (const StoreItem& item : items) {
    bytes += kRecordBytes + static_cast<int64_t>(item.key.size() + item.value.size());
  }
  return bytes;
}

bool ReadsRecords(const StoreBody& body) {
  if (const auto* list = std::get_if<ListFeed>(&body)) return list->feed == Feed::kRecords;

  const auto* watch = std::get_if<WatchFeed>(&body);
  return watch != nullptr && watch->feed == Feed::kRecords;
}

}  // namespace

void World::ExecuteEffects(const std::string& entry, Effects effects) {
  for (const Effect& effect : effects) {
    if (const auto* call = std::get_if<StoreCall>(&effect)) {
      CallStore(entry, *call);
    } else if (const auto* call = std::get_if<WorkerCall>(&effect)) {
      CallWorker(entry, *call);
    } else if (const auto* push = std::get_if<PushRecords>(&effect)) {
      const std::string peer = push->peer.host;
      if (on_push) {
        for (const StoreItem& item : push->items) on_push(entry, peer, item);
      }
      if (IsCut(entry, peer) || !incarnation_of_.contains(peer)) continue;
      const Millis delay = LinkDelay(entry, BytesOf(push->items));
      ScheduleAt(now_ + kHopDelay + delay, [this, peer, items = push->items] {
        if (incarnation_of_.contains(peer))
          Deliver(peer, incarnation_of_.at(peer), RecordsPushed{items});
      });
    } else if (const auto* query = std::get_if<QueryPeer>(&effect)) {
      CallPeer(entry, *query);
    } else if (const auto* answer = std::get_if<AnswerPeer>(&effect)) {
      peer_calls_.at(answer->call)(answer->phase);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      Answer(entry, *answer);
    } else if (const auto* line = std::get_if<LogLine>(&effect)) {
      std::string text = line->message;
      for (const LogField& field : line->fields) text += " " + field.name + "=" + field.value;
      Log(entry, text);
    }
  }
}

bool World::ShouldLoseAnswer() {
  return loss > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random_) < loss;
}

Millis World::StoreDelay(const std::string& entry, const StoreBody& body) const {
  if (const auto slow = slow_records_.find(entry);
      slow != slow_records_.end() && ReadsRecords(body))
    return slow->second;

  const bool list =
      std::holds_alternative<ListFeed>(body) || std::holds_alternative<ListRecords>(body);
  if (!list && !std::holds_alternative<WatchFeed>(body)) return Millis(0);

  const auto& delays = list ? slow_lists_ : slow_watches_;
  const auto delay = delays.find(entry);
  return delay == delays.end() ? Millis(0) : delay->second;
}

Millis World::LateReplyDelay(const std::string& entry, const StoreBody& body) const {
  const bool is_watch = std::holds_alternative<WatchFeed>(body);
  if (!is_watch && !std::holds_alternative<ReadWorker>(body)) return Millis(0);

  const auto& delays = is_watch ? delayed_watches_ : delayed_reads_;
  const auto delay = delays.find(entry);
  return delay == delays.end() ? Millis(0) : delay->second;
}

Millis World::WriteDelay(const std::string& entry, const StoreBody& body) const {
  const auto* write = std::get_if<WriteRecords>(&body);
  if (write == nullptr) return Millis(0);

  Millis delay;
  for (const auto& [concerned, span] : write_delays_) {
    const auto& [writer, prefix] = concerned;
    const bool puts = std::ranges::any_of(write->puts, [&start = prefix](const RecordPut& put) {
      return put.key.starts_with(start);
    });
    if (writer == entry && puts) delay = std::max(delay, span);
  }

  return delay;
}

void World::CallStore(const std::string& entry, const StoreCall& call) {
  const uint64_t incarnation = incarnation_of_.at(entry);
  const auto answered = std::make_shared<bool>(false);
  const Millis delay = StoreDelay(entry, call.body);
  const Millis late = LateReplyDelay(entry, call.body);
  const int32_t delayed_count = delay > Millis(0) ? 1 : 0;
  delayed_replies_[entry] += delayed_count;
  const auto answer = [this, entry, incarnation, delay = delay + late, delayed_count,
                       request = call.request, answered, sent_at = now_](StoreReply reply) {
    const Millis transfer = LinkDelay(entry, BytesOf(reply.items));
    ScheduleAt(now_ + kHopDelay + delay + transfer,
               [this, entry, incarnation, delayed_count, request, answered, sent_at, reply] {
                 if (*answered || sent_at <= silenced_at_) return;
                 if (IsCut(entry, "store") && reply.status != StoreStatus::kUnavailable) return;
                 *answered = true;
                 delayed_replies_[entry] -= delayed_count;
                 Deliver(entry, incarnation, StoreAnswered{request, reply});
               });
  };

  ScheduleAt(now_ + call.timeout + delay,
             [this, entry, incarnation, delayed_count, request = call.request, answered] {
               if (*answered) return;
               *answered = true;
               delayed_replies_[entry] -= delayed_count;
               Deliver(entry, incarnation,
                       StoreAnswered{request, StoreReply{.status = StoreStatus::kUnknown}});
             });

  if (IsCut(entry, "store")) return;

  const Millis write_delay = WriteDelay(entry, call.body);
  const bool lost = ShouldLoseAnswer() || write_delay > Millis(0);
  ScheduleAt(now_ + kHopDelay + write_delay, [this, body = call.body, answer, lost] {
    store.Handle(body, now_, lost ? SimStore::Reply([](const StoreReply&) {}) : answer);
  });
}

void World::LoseCalls(const std::string& worker) {
  for (const Action& lose : std::exchange(lose_calls_[worker], {})) lose();
}

void World::CallWorker(const std::string& entry, const WorkerCall& call) {
  const uint64_t incarnation = incarnation_of_.at(entry);
  const std::string id = call.worker.Text();
  const auto answered = std::make_shared<bool>(false);

  const int64_t timeouts = EffectiveMachine(entry).reply_timeouts;
  const auto expires_at =
      timeouts == 0 ? std::nullopt : std::optional(now_ + call.timeout * timeouts);

  const auto answer = [this, entry, incarnation, id, request = call.request, answered,
                       sent_at = now_, expires_at](const WorkerReply& reply) {
    ScheduleAt(now_ + kHopDelay,
               [this, entry, incarnation, id, request, answered, sent_at, expires_at, reply] {
                 if (*answered || sent_at <= silenced_at_) return;
                 if (answers_lost_.contains(id) || IsCut(entry, id)) return;
                 *answered = true;
                 Deliver(entry, incarnation, WorkerAnswered{request, reply}, expires_at);
               });
  };

  ScheduleAt(now_ + call.timeout, [this, entry, incarnation, request = call.request, answered] {
    if (*answered) return;
    *answered = true;
    Deliver(entry, incarnation, WorkerAnswered{request, WorkerReply{}});
  });

  if (resets_connections || ended_workers_refuse) {
    lose_calls_[id].push_back([answer] { answer(WorkerReply{}); });
  }

  if (IsCut(entry, id)) return;
  if (std::holds_alternative<StopTask>(call.order) && stops_lost_.contains(id)) return;
  if (loses_order(call)) return;
  if (resets_order(call)) return answer(WorkerReply{});

  const bool is_start = std::holds_alternative<StartTask>(call.order);
  const auto start_delay = start_delays_.find(id);
  const Millis delay =
      is_start && start_delay != start_delays_.end() ? start_delay->second : Millis(0);
  const bool lost = ShouldLoseAnswer() || delay > Millis(0) || loses_reply(call);
  const int64_t worker_incarnation =
      workers_.contains(id) ? workers_.at(id)->info().incarnation : 0;
  const Millis connect = connect_time(call);
  const bool is_connected = connect == Millis(0);
  const Millis transfer = LinkDelay(entry, kOrderBytes) + connect;
  const std::optional<ObservedStart> start = DescribeStart(entry, call, delay > Millis(0));

  ScheduleAt(now_ + kHopDelay + delay + transfer, [this, id, call, answer, lost, worker_incarnation,
                                                   is_connected, start] {
    const auto worker = workers_.find(id);
    if (worker == workers_.end()) return;
    if (!worker->second->up) {
      if (ended_workers_refuse) answer(WorkerReply{.status = OrderStatus::kUnreachable});
      return;
    }
    // Connections to an earlier incarnation are closed.
    const bool same = worker->second->info().incarnation == worker_incarnation;
    if (is_connected && !same) return;

    // The probe of a new connection tells which incarnation has accepted it.
    const int64_t incarnation = worker->second->info().incarnation;
    if (call.incarnation != 0 && call.incarnation != incarnation) {
      const auto refuse = [answer](WorkerReply reply) {
        if (reply.status == OrderStatus::kOk) {
          reply.status = OrderStatus::kOtherIncarnation;
        }
        answer(reply);
      };
      worker->second->Handle(call.token, PollWorker{}, now_,
                             lost ? SimWorker::Reply([](const WorkerReply&) {}) : refuse);
      return;
    }

    if (start && on_start_order) on_start_order(*start);
    current_start_ = start ? &*start : nullptr;
    worker->second->Handle(call.token, call.order, now_,
                           lost ? SimWorker::Reply([](const WorkerReply&) {}) : answer);
    current_start_ = nullptr;
  });
}

std::optional<ObservedStart> World::DescribeStart(const std::string& entry, const WorkerCall& call,
                                                  bool delayed) {
  const auto* start = std::get_if<StartTask>(&call.order);
  if (start == nullptr) return std::nullopt;

  const std::optional<Millis> known_at = state(entry).feeds[Feed::kRecords].known_at;
  ObservedStart observed{.worker = call.worker.Text(),
                         .entry = entry,
                         .order = *start,
                         .sent_at = now_,
                         .delayed = delayed};
  if (known_at) observed.records_age = now_ - *known_at;
  return observed;
}

void World::CallPeer(const std::string& entry, const QueryPeer& query) {
  const uint64_t incarnation = incarnation_of_.at(entry);
  const std::string peer = query.peer.host;
  const auto answered = std::make_shared<bool>(false);
  const auto settle = [this, entry, incarnation, answered,
                       request = query.request](std::optional<JobPhase> phase) {
    if (std::exchange(*answered, true)) return;
    Deliver(entry, incarnation, PeerAnswered{request, phase});
  };

  ScheduleAt(now_ + query.timeout, [settle] { settle(std::nullopt); });
  if (IsCut(entry, peer) || !IsUp(peer)) return;

  const RequestId call = ++last_call_;
  peer_calls_[call] = [this, entry, peer, settle, sent_at = now_](std::optional<JobPhase> phase) {
    if (sent_at <= silenced_at_) return;
    if (!IsCut(entry, peer)) ScheduleAt(now_ + kHopDelay, [settle, phase] { settle(phase); });
  };
  ScheduleAt(now_ + kHopDelay, [this, peer, call, job = query.job, timeout = query.timeout] {
    if (IsUp(peer)) Deliver(peer, incarnation_of_.at(peer), PeerQueried{call, job, timeout});
  });
}

Millis World::LinkDelay(const std::string& entry, int64_t bytes) {
  const Machine machine = EffectiveMachine(entry);
  Millis& free_at = link_free_at_[entry];
  free_at = std::max(free_at, now_);
  if (machine.link_bytes == 0) return free_at - now_;

  free_at = std::min(free_at + Millis(bytes / machine.link_bytes), now_ + machine.max_transfer);
  return free_at - now_;
}

bool World::IsCut(const std::string& one, const std::string& other) const {
  return cuts_.contains({one, other}) || cuts_.contains({other, one});
}

void World::Cut(const std::string& one, const std::string& other) { cuts_.emplace(one, other); }

void World::Reconnect(const std::string& one, const std::string& other) {
  cuts_.erase({one, other});
  cuts_.erase({other, one});
}

void World::Mark(std::set<std::string>& marks, const std::string& name, bool set) {
  if (set) {
    marks.insert(name);
  } else {
    marks.erase(name);
  }
}

}  // namespace currantpost::scheduler

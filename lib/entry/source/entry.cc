#include "currantpost/entry/entry.h"

#include <chrono>
#include <map>
#include <optional>

#include "currantpost/base/logging.h"
#include "currantpost/scheduler/scheduler.h"
#include "currantpost/transport/http_server.h"
#include "currantpost/transport/loop_lag.h"
#include "entry_metrics.h"
#include "metrics_server.h"
#include "peer_protocol.h"

namespace currantpost {
namespace {

/// Timeout for pushing records to a peer. A peer that misses a push still gets the records
/// by its watch.
constexpr Millis kPushTimeout = Millis(1'000);
/// How long the entry keeps serving after the handover. The balancer stops sending new connections
/// only after two failed readiness probes, one second apart.
constexpr Millis kBalancerGracePeriod = Millis(2'300);
/// Longest wait for requests in flight after the grace period.
constexpr Millis kDrainTimeout = Millis(1'500);
constexpr Millis kDrainPollInterval = Millis(50);
/// Turns of the scheduler and waits for a turn that take longer are logged.
constexpr Millis kSlowTurn = Millis(100);
constexpr Millis kLateTurn = Millis(300);

int64_t UnixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

HttpServerLimits ToServerLimits(const scheduler::RequestLimits& limits) {
  HttpServerLimits result;
  result.max_header_bytes = static_cast<size_t>(limits.header_bytes);
  result.max_body_bytes = static_cast<size_t>(limits.body_bytes);
  result.header_timeout = limits.header_timeout;
  result.idle_timeout = limits.idle_timeout;
  return result;
}

/// Limits for peers, which push whole records. These may be larger than callers' requests.
HttpServerLimits PeerLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 4U << 20U;
  limits.idle_timeout = Millis(30'000);
  return limits;
}

}  // namespace

struct Entry::Impl {
  Impl(EventLoop& the_loop, const Clock& the_clock, EntryAddresses the_addresses,
       scheduler::Settings settings, StorePort& the_store, WorkerPort& the_workers,
       const CallerProtocol& the_callers)
      : loop(the_loop),
        clock(the_clock),
        addresses(std::move(the_addresses)),
        store(the_store),
        workers(the_workers),
        callers(the_callers),
        state(scheduler::MakeState(std::move(settings))),
        peers(loop, clock, HttpClientLimits{}),
        wake_timer(loop),
        loop_lag(loop, clock),
        caller_server(loop, clock, HttpServerLimits{},
                      [this](const ReceivedRequest& request, Respond respond) {
                        HandleCallerRequest(request, std::move(respond));
                      }),
        readiness_server(loop, clock, HttpServerLimits{},
                         [this](const ReceivedRequest& request, const Respond& respond) {
                           HandleReadinessProbe(request, respond);
                         }),
        peer_server(loop, clock, PeerLimits(),
                    [this](const ReceivedRequest& request, Respond respond) {
                      HandlePeerRequest(request, std::move(respond));
                    }),
        metrics_server(loop, clock, addresses.metrics_path, [this] { return MetricsText(); }) {}

  /// Passes an event to the scheduler, carries out the resulting effects and sets the timer for the
  /// scheduler's next wake-up.
  template <typename Body>
  void Dispatch(Body body) {
    const Millis began = clock.Now();
    const bool has_run = state->wake_at > Millis(0);
    const Millis overdue = has_run ? std::max(began - state->wake_at, Millis(0)) : Millis(0);
    const Millis late = std::max(overdue, loop_lag.Lateness());
    loop_lag.Measure();
    scheduler::Effects effects;
    scheduler::Event event{
        began, UnixMillis(), std::move(body), {late, loop_lag.HandledUpTo().value_or(Millis(0))}};
    const size_t kind = event.body.index();
    scheduler::Reduce(*state, event, effects);
    const size_t effect_count = effects.size();
    for (scheduler::Effect& effect : effects) std::visit(*this, effect);
    const Millis took = clock.Now() - began;
    counts.lateness[kind].Add(late);
    counts.turns[kind].Add(took);
    LogSlowTurn(kind, late, took, effect_count);

    const Millis pause = std::max(state->wake_at - clock.Now(), Millis(1));
    wake_timer.Set(pause, [this] { Dispatch(scheduler::Tick{}); });
  }

  /// Logs a turn that took long, or began long after it was due: the process is short of processor
  /// time, and whatever it sends is late.
  static void LogSlowTurn(size_t kind, Millis late, Millis took, size_t effect_count) {
    if (took < kSlowTurn && late < kLateTurn) return;

    WriteLog(Severity::kWarning, "entry", "slow turn of the scheduler",
             {{"event", std::string(scheduler::kEventKindNames[kind])},
              {"ms", std::to_string(took.Count())},
              {"late_ms", std::to_string(late.Count())},
              {"effects", std::to_string(effect_count)}});
  }

  // Effect handlers.

  void operator()(const scheduler::StoreCall& call) {
    store.Call(call, [this, request = call.request](scheduler::StoreReply reply) {
      Dispatch(scheduler::StoreAnswered{request, std::move(reply)});
    });
  }

  void operator()(const scheduler::WorkerCall& call) {
    workers.Call(call, [this, request = call.request](scheduler::WorkerReply reply) {
      Dispatch(scheduler::WorkerAnswered{request, std::move(reply)});
    });
  }

  void operator()(const scheduler::PushRecords& push) {
    HttpRequest request{.method = "POST", .target = std::string(kRecordsPath)};
    request.body = EncodeItems(push.items);
    peers.Send(push.peer, request, kPushTimeout, [](const HttpReply&) {});
  }

  void operator()(const scheduler::QueryPeer& query) {
    const HttpRequest request{
        .target = std::string(kJobPhasePath) + query.job.Text(),
        .fields = {{std::string(kTimeoutField), std::to_string(query.timeout.Count())}}};
    peers.Send(query.peer, request, query.timeout,
               [this, id = query.request](const HttpReply& reply) {
                 scheduler::PeerAnswered answered{.request = id};
                 if (reply.outcome == CallOutcome::kAnswered && reply.response.status == 200) {
                   answered.phase = DecodePeerPhase(reply.response.body);
                 }
                 Dispatch(answered);
               });
  }

  void operator()(const scheduler::AnswerPeer& answer) {
    SendResponse(answer.call, HttpResponse{.body = EncodePhase(answer.phase)});
  }

  void operator()(const scheduler::AnswerCaller& answer) {
    counts.answers.Add(answer.outcome);
    SendResponse(answer.call, callers.Encode(answer));
  }

  void operator()(const scheduler::SetReadiness& readiness) {
    ready = readiness.ready;
    WriteLog(Severity::kInfo, "entry", ready ? "ready" : "not ready");
  }

  void operator()(const scheduler::ApplyRouting& routing) {
    caller_server.SetLimits(ToServerLimits(routing.routing->limits));
  }

  void operator()(const scheduler::ReadyToExit&) {
    loop.After(kBalancerGracePeriod, [this] {
      caller_server.BeginDrain();
      FinishWhenIdle(clock.Now() + kDrainTimeout);
    });
  }

  void operator()(const scheduler::LogLine& line) {
    WriteLog(line.severity, "scheduler", line.message, line.fields);
  }

  // Request handlers.

  RequestId AddPendingResponse(Respond respond) {
    const RequestId call = ++last_request_id;
    pending_responses[call] = std::move(respond);
    return call;
  }

  void SendResponse(RequestId call, HttpResponse response) {
    const auto open = pending_responses.find(call);
    if (open == pending_responses.end()) return;

    const Respond respond = std::move(open->second);
    pending_responses.erase(open);
    respond(std::move(response));
  }

  void HandleCallerRequest(const ReceivedRequest& request, Respond respond) {
    if (!state->routing) {
      counts.rejections.Add(Rejection::kConfigurationUnknown);
      scheduler::AnswerCaller refusal{.outcome = scheduler::CallerOutcome::kRefused,
                                      .retry_after = Millis(1'000)};
      respond(callers.Encode(refusal));
      return;
    }

    Result<CallerRequest> decoded = callers.Decode(request, state->queues);

    if (!decoded) {
      const bool is_unknown = decoded.error().code == ErrorCode::kNotFound;
      counts.rejections.Add(is_unknown ? Rejection::kUnknownQueue : Rejection::kMalformed);
      respond(callers.Encode(decoded.error()));
      return;
    }

    scheduler::CallerRequested event;
    event.call = AddPendingResponse(std::move(respond));
    event.caller_timeout = decoded->timeout;
    event.body = std::move(decoded->body);
    Dispatch(std::move(event));
  }

  void HandleReadinessProbe(const ReceivedRequest& request, const Respond& respond) const {
    if (request.target != addresses.readiness_path) {
      respond(HttpResponse{.status = 404});
      return;
    }

    respond(HttpResponse{.status = ready ? 200 : 503});
  }

  void HandlePeerRequest(const ReceivedRequest& request, Respond respond) {
    if (request.target == kRecordsPath) {
      Result<std::vector<scheduler::StoreItem>> items = DecodeItems(request.body);
      respond(HttpResponse{.status = items ? 200 : 400});

      if (!items) {
        WriteLog(Severity::kWarning, "entry", "ignored malformed records from a peer",
                 {{"error", items.error().detail}});
        return;
      }

      Dispatch(scheduler::RecordsPushed{*std::move(items)});
      return;
    }

    if (request.target.starts_with(kJobPhasePath)) {
      const RequestId call = AddPendingResponse(std::move(respond));
      Dispatch(scheduler::PeerQueried{call, JobId(request.target.substr(kJobPhasePath.size())),
                                      DecodeTimeout(request.Field(kTimeoutField))});
      return;
    }

    respond(HttpResponse{.status = 404});
  }

  /// Creates the metrics for the first reader: most processes have none.
  std::string MetricsText() {
    if (!metrics) metrics.emplace(*state, counts);
    return metrics->Text();
  }

  /// Serves the metrics if they have an address. The entry does its work without them.
  void ListenForMetrics() {
    if (!addresses.metrics) return;

    if (const Error error = metrics_server.Listen(*addresses.metrics); error.code) {
      WriteLog(Severity::kWarning, "entry", "metrics are not served", {{"error", error.detail}});
      return;
    }

    WriteLog(Severity::kInfo, "entry", "serving metrics",
             {{"host", addresses.metrics->host},
              {"port", std::to_string(metrics_server.port())},
              {"path", addresses.metrics_path}});
  }

  void FinishWhenIdle(Millis deadline) {
    const bool idle = caller_server.open_requests() == 0;

    if (idle || clock.Now() >= deadline) {
      // Waits once more, so that the last responses are sent before the process ends.
      loop.After(kDrainPollInterval, [this] {
        if (done) done();
      });
      return;
    }

    loop.After(kDrainPollInterval, [this, deadline] { FinishWhenIdle(deadline); });
  }

  EventLoop& loop;
  const Clock& clock;
  EntryAddresses addresses;
  StorePort& store;
  WorkerPort& workers;
  const CallerProtocol& callers;
  std::unique_ptr<scheduler::State> state;
  HttpClient peers;
  Timer wake_timer;
  LoopLag loop_lag;
  HttpServer caller_server;
  HttpServer readiness_server;
  HttpServer peer_server;
  EntryCounts counts;
  std::optional<EntryMetrics> metrics;
  MetricsServer metrics_server;
  std::map<RequestId, Respond> pending_responses;
  RequestId last_request_id = 0;
  bool ready = false;
  std::function<void()> done;
};

Entry::Entry(EventLoop& loop, const Clock& clock, EntryAddresses addresses,
             scheduler::Settings settings, StorePort& store, WorkerPort& workers,
             const CallerProtocol& callers)
    : impl_(std::make_unique<Impl>(loop, clock, std::move(addresses), std::move(settings), store,
                                   workers, callers)) {}

Entry::~Entry() = default;

Error Entry::Start() {
  if (Error error = impl_->peer_server.Listen(impl_->addresses.peers); error.code) return error;
  if (Error error = impl_->readiness_server.Listen(impl_->addresses.readiness); error.code) {
    return error;
  }
  if (Error error = impl_->caller_server.Listen(impl_->addresses.callers); error.code) return error;

  impl_->ListenForMetrics();
  impl_->Dispatch(scheduler::Tick{});
  return Error{};
}

int Entry::metrics_port() const { return impl_->metrics_server.port(); }

void Entry::Stop(std::function<void()> done) {
  impl_->done = std::move(done);
  impl_->Dispatch(scheduler::StopRequested{});
}

}  // namespace currantpost

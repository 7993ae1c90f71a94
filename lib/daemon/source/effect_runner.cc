#include "currantpost/daemon/effect_runner.h"

#include <string>
#include <utility>

#include "currantpost/base/logging.h"

namespace currantpost {
namespace {

constexpr int kWatchThreads = 3;
constexpr int kHeartbeatThreads = 4;
constexpr Millis kLongestHeartbeatWait(500);

/// Calls are independent of each other, so each has a key of its own.
PoolLimits KvLimits(const PlatformSettings& settings) {
  return PoolLimits{
      .threads = settings.kv_threads,
      .queue_length = 1,
      .total_length = 4'096,
      .longest_wait = settings.call_timeout,
  };
}

PoolLimits WatchLimits(const PlatformSettings& settings) {
  return PoolLimits{
      .threads = kWatchThreads,
      .queue_length = 2,
      .total_length = 16,
      .longest_wait = settings.watch_timeout,
  };
}

PoolLimits WorkerLimits(const PlatformSettings& settings) {
  return PoolLimits{
      .threads = settings.worker_threads,
      .queue_length = 1'024,
      .total_length = 32'768,
      .longest_wait = settings.worker_timeout,
  };
}

/// Only the latest heartbeat to a peer is worth sending.
PoolLimits HeartbeatLimits() {
  return PoolLimits{
      .threads = kHeartbeatThreads,
      .queue_length = 1,
      .total_length = 256,
      .longest_wait = kLongestHeartbeatWait,
  };
}

KvReply NeverSent() { return KvReply{.status = KvStatus::kUnavailable}; }

std::string KeyOf(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

/// Makes the call that an effect asks for.
struct KvCaller {
  KvClient& kv;

  KvReply operator()(const KvGet& get) const { return kv.Get(get.key); }
  KvReply operator()(const KvList& list) const { return kv.List(list.prefix); }
  KvReply operator()(const KvPut& put) const { return kv.Put(put.key, put.value, put.expected); }
  KvReply operator()(const KvDelete& remove) const {
    return kv.Delete(remove.key, remove.expected);
  }
};

}  // namespace

EffectRunner::EffectRunner(const PlatformSettings& settings, const Clock& clock, DaemonPorts ports,
                           DaemonParts parts)
    : watch_timeout_(settings.watch_timeout),
      ports_(ports),
      parts_(parts),
      kv_pool_(KvLimits(settings), clock),
      watch_pool_(WatchLimits(settings), clock),
      worker_pool_(WorkerLimits(settings), clock),
      heartbeat_pool_(HeartbeatLimits(), clock) {}

void EffectRunner::Run(Effects effects) {
  for (Effect& effect : effects) {
    std::visit([this](auto& body) { Carry(std::move(body)); }, effect);
  }
}

void EffectRunner::Stop() {
  watch_pool_.Stop();
  kv_pool_.Stop();
  worker_pool_.Stop();
  heartbeat_pool_.Stop();
}

size_t EffectRunner::Waiting() const {
  return kv_pool_.Waiting() + watch_pool_.Waiting() + worker_pool_.Waiting() +
         heartbeat_pool_.Waiting();
}

void EffectRunner::Carry(KvCall call) {
  const RequestId request = call.request;
  const auto answer = [this, request](KvReply reply) {
    parts_.metrics.CountKvCall(reply.status);
    parts_.events.Push(KvAnswered{.request = request, .reply = std::move(reply)});
  };

  const bool taken =
      kv_pool_.Add(std::to_string(request), PoolJob{
                                                .run =
                                                    [this, answer, call = std::move(call)] {
                                                      answer(CallKv(call));
                                                      return PoolVerdict::kPrompt;
                                                    },
                                                .expire = [answer] { answer(NeverSent()); },
                                            });
  if (!taken) answer(NeverSent());
}

void EffectRunner::Carry(KvWatch watch) {
  const RequestId request = watch.request;
  const auto answer = [this, request](KvReply reply) {
    parts_.metrics.CountKvCall(reply.status);
    parts_.events.Push(KvWatchAnswered{.request = request, .reply = std::move(reply)});
  };
  const std::string prefix = watch.prefix;
  const bool taken = watch_pool_.Add(
      prefix, PoolJob{
                  .run =
                      [this, answer, watch = std::move(watch)] {
                        answer(ports_.kv.Watch(watch.prefix, watch.after, watch_timeout_));
                        return PoolVerdict::kPrompt;
                      },
                  .expire = [answer] { answer(NeverSent()); },
              });
  if (!taken) answer(NeverSent());
}

void EffectRunner::Carry(WorkerCall call) {
  const auto shared = std::make_shared<const WorkerCall>(std::move(call));
  const auto refuse = [this, shared] {
    AnswerOrder(*shared, WorkerReply{.status = WorkerStatus::kUnreachable});
  };
  const bool taken =
      worker_pool_.Add(shared->worker.Text(), PoolJob{
                                                  .run = [this, shared] { return Order(*shared); },
                                                  .expire = refuse,
                                              });
  if (!taken) refuse();
}

void EffectRunner::Carry(SendHeartbeat send) {
  parts_.own_heartbeat.Keep(send.heartbeat);

  const auto skip = [this] { parts_.metrics.CountHeartbeat(HeartbeatOutcome::kSkipped); };
  const std::string key = KeyOf(send.peer);
  const bool taken =
      heartbeat_pool_.Add(key, PoolJob{
                                   .run = [this, send = std::move(send)] { return Exchange(send); },
                                   .expire = skip,
                               });
  if (!taken) skip();
}

void EffectRunner::Carry(PublishRouting publish) {
  ports_.traffic.Publish(std::move(publish.snapshot));
}

void EffectRunner::Carry(const CommandReply& reply) { parts_.commands.Complete(reply); }

void EffectRunner::Carry(const SetReadiness& readiness) { parts_.status.SetReady(readiness.ready); }

void EffectRunner::Carry(const ExitProcess& /*exit*/) { parts_.status.RequestExit(); }

void EffectRunner::Carry(const LogLine& line) {
  WriteLog(line.severity, kLogComponentNames.Name(line.component), line.message, line.fields);
}

KvReply EffectRunner::CallKv(const KvCall& call) {
  return std::visit(KvCaller{ports_.kv}, call.body);
}

PoolVerdict EffectRunner::Order(const WorkerCall& call) {
  WorkerReply reply =
      ports_.workers.SendOrder(call.address, call.worker, call.incarnation, call.epoch, call.order);
  const bool silent =
      reply.status == WorkerStatus::kUnreachable || reply.status == WorkerStatus::kUnknown;

  AnswerOrder(call, std::move(reply));

  return silent ? PoolVerdict::kSilent : PoolVerdict::kPrompt;
}

void EffectRunner::AnswerOrder(const WorkerCall& call, WorkerReply reply) {
  parts_.metrics.CountWorkerOrder(reply.status);
  parts_.events.Push(
      WorkerAnswered{.request = call.request, .worker = call.worker, .reply = std::move(reply)});
}

PoolVerdict EffectRunner::Exchange(const SendHeartbeat& send) {
  Result<Heartbeat> answer = ports_.peers.Exchange(send.peer, send.heartbeat);

  if (!answer) {
    parts_.metrics.CountHeartbeat(HeartbeatOutcome::kFailed);
    return PoolVerdict::kSilent;
  }

  parts_.metrics.CountHeartbeat(HeartbeatOutcome::kAnswered);
  parts_.events.Push(HeartbeatReceived{.heartbeat = *std::move(answer)});

  return PoolVerdict::kPrompt;
}

}  // namespace currantpost

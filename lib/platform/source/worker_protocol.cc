#include "currantpost/platform/worker_protocol.h"

#include <array>
#include <string>
#include <string_view>
#include <type_traits>

#include "currantpost/model/json.h"

namespace currantpost::worker_protocol {

using nlohmann::json;

namespace {

constexpr const char* kTypeKey = "type";

/// Encode and decode the fields of each kind of order, except its type.
/// @{
json Fields(const RaiseEpoch& /*order*/) { return json::object(); }

json Fields(const RenewLeases& order) { return json{{"lease_ms", order.lease}}; }

json Fields(const StartTask& order) {
  return json{{"task", order.task},
              {"attempt", order.attempt},
              {"class", kTaskClassNames.Name(order.task_class)},
              {"kind", order.kind},
              {"size", order.size},
              {"run_time_ms", order.run_time},
              {"checkpoint", order.checkpoint},
              {"lease_ms", order.lease}};
}

json Fields(const CheckpointTask& order) {
  return json{{"task", order.task}, {"attempt", order.attempt}};
}

json Fields(const StopTask& order) {
  return json{{"task", order.task}, {"attempt", order.attempt}};
}

json Fields(const ThrottleTask& order) {
  return json{{"task", order.task}, {"attempt", order.attempt}, {"throttled", order.throttled}};
}

json Fields(const AcknowledgeTask& order) {
  return json{{"task", order.task}, {"attempt", order.attempt}};
}

void ReadFields(const json& /*in*/, RaiseEpoch& /*order*/) {}

void ReadFields(const json& in, RenewLeases& order) { Read(in, "lease_ms", order.lease); }

void ReadFields(const json& in, StartTask& order) {
  Read(in, "task", order.task);
  Read(in, "attempt", order.attempt);
  ReadName(in, "class", kTaskClassNames, order.task_class);
  Read(in, "kind", order.kind);
  Read(in, "size", order.size);
  Read(in, "run_time_ms", order.run_time);
  Read(in, "checkpoint", order.checkpoint);
  Read(in, "lease_ms", order.lease);
}

void ReadFields(const json& in, ThrottleTask& order) {
  Read(in, "task", order.task);
  Read(in, "attempt", order.attempt);
  Read(in, "throttled", order.throttled);
}

template <typename Order>
void ReadFields(const json& in, Order& order) {
  Read(in, "task", order.task);
  Read(in, "attempt", order.attempt);
}
/// @}

template <typename Order>
WorkerOrder ReadAs(const json& in) {
  Order order;
  ReadFields(in, order);
  return order;
}

/// One kind of order: its name and its decoder.
struct OrderKind {
  std::string_view name;
  WorkerOrder (*read)(const json& in);
};

/// All kinds of orders, in the same sequence as the alternatives of `WorkerOrder`.
constexpr std::array kOrderKinds = {
    OrderKind{"raise_epoch", &ReadAs<RaiseEpoch>},
    OrderKind{"renew_leases", &ReadAs<RenewLeases>},
    OrderKind{"start_task", &ReadAs<StartTask>},
    OrderKind{"checkpoint_task", &ReadAs<CheckpointTask>},
    OrderKind{"stop_task", &ReadAs<StopTask>},
    OrderKind{"throttle_task", &ReadAs<ThrottleTask>},
    OrderKind{"acknowledge_task", &ReadAs<AcknowledgeTask>},
};

static_assert(kOrderKinds.size() == std::variant_size_v<WorkerOrder>);

WorkerOrder ReadBody(const json& in) {
  const auto type = in.at(kTypeKey).get<std::string>();

  for (const OrderKind& kind : kOrderKinds) {
    if (kind.name == type) return kind.read(in);
  }

  throw json::other_error::create(501, "type=" + type, &in);
}

}  // namespace

json OrderJson(const AddressedOrder& order) {
  json body = std::visit([](const auto& each) { return Fields(each); }, order.order);
  body[kTypeKey] = kOrderKinds.at(order.order.index()).name;

  return json{{"worker", order.worker},
              {"incarnation", order.incarnation},
              {"epoch", order.epoch},
              {"order", std::move(body)}};
}

AddressedOrder ReadOrder(const json& in) {
  AddressedOrder order;
  Read(in, "worker", order.worker);
  Read(in, "incarnation", order.incarnation);
  Read(in, "epoch", order.epoch);
  order.order = ReadBody(in.at("order"));
  return order;
}

json ReplyJson(const WorkerReply& reply) {
  return json{{"status", kWorkerStatusNames.Name(reply.status)}, {"table", reply.table}};
}

WorkerReply ReadReply(const json& in) {
  WorkerReply reply;
  ReadName(in, "status", kWorkerStatusNames, reply.status);
  Read(in, "table", reply.table);
  return reply;
}

}  // namespace currantpost::worker_protocol

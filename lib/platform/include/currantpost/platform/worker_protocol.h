#pragma once

#include <nlohmann/json.hpp>

#include "currantpost/base/ids.h"
#include "currantpost/model/worker.h"

/// JSON encoding and path of the orders to workers. See docs/design/platform-protocol.md.

namespace currantpost::worker_protocol {

inline constexpr const char* kOrderPath = "/worker/order";

/// An order with the worker, incarnation and epoch that it is addressed to.
struct AddressedOrder {
  VmId worker;
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  WorkerOrder order;
};

/// Encodes an order.
nlohmann::json OrderJson(const AddressedOrder& order);

/// Decodes an order. Throws `nlohmann::json::exception`.
AddressedOrder ReadOrder(const nlohmann::json& json);

/// Encodes a reply.
nlohmann::json ReplyJson(const WorkerReply& reply);

/// Decodes a reply. Throws `nlohmann::json::exception`.
WorkerReply ReadReply(const nlohmann::json& json);

}  // namespace currantpost::worker_protocol

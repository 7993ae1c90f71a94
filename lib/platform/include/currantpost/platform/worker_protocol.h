#pragma once

#include <nlohmann/json.hpp>

#include "currantpost/base/ids.h"
#include "currantpost/model/worker.h"

/// JSON forms and path of the orders to workers. See docs/design/platform-protocol.md.

namespace currantpost::worker_protocol {

inline constexpr const char* kOrderPath = "/worker/order";

/// An order with all that says for whom it is.
struct AddressedOrder {
  VmId worker;
  Incarnation incarnation = 0;
  Epoch epoch = 0;
  WorkerOrder order;
};

/// Writes an order.
nlohmann::json OrderJson(const AddressedOrder& order);

/// Reads an order. Throws `nlohmann::json::exception`.
AddressedOrder ReadOrder(const nlohmann::json& json);

/// Writes an answer.
nlohmann::json ReplyJson(const WorkerReply& reply);

/// Reads an answer. Throws `nlohmann::json::exception`.
WorkerReply ReadReply(const nlohmann::json& json);

}  // namespace currantpost::worker_protocol

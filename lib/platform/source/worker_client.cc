#include "currantpost/platform/worker_client.h"

#include <utility>

#include "currantpost/platform/worker_protocol.h"
#include "http_channel.h"

namespace currantpost {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;

/// Returns whether a worker can report this status itself; the client sets the other ones.
bool IsReportedByWorker(WorkerStatus status) {
  return status == WorkerStatus::kOk || status == WorkerStatus::kStaleEpoch ||
         status == WorkerStatus::kRefused;
}

WorkerReply ReadBody(const std::string& body) {
  try {
    WorkerReply reply = worker_protocol::ReadReply(json::parse(body));
    return IsReportedByWorker(reply.status) ? reply : WorkerReply{WorkerStatus::kUnknown};
  } catch (const json::exception&) {
    return WorkerReply{WorkerStatus::kUnknown};
  }
}

WorkerReply ReadExchange(const Exchange& exchange) {
  if (exchange.status == ExchangeStatus::kNotSent) return WorkerReply{WorkerStatus::kUnreachable};
  if (exchange.status == ExchangeStatus::kUnknown) return WorkerReply{WorkerStatus::kUnknown};
  if (exchange.not_applied) return WorkerReply{WorkerStatus::kUnreachable};
  if (exchange.http_status != kHttpOk) return WorkerReply{WorkerStatus::kUnknown};

  return ReadBody(exchange.body);
}

}  // namespace

WorkerReply HttpWorkerClient::SendOrder(const Address& address, const VmId& worker,
                                        Incarnation incarnation, Epoch epoch,
                                        const WorkerOrder& order) {
  std::string body;

  try {
    body = worker_protocol::OrderJson({worker, incarnation, epoch, order}).dump();
  } catch (const json::exception&) {
    // A string in the order is not valid UTF-8, so nothing was sent.
    return WorkerReply{WorkerStatus::kUnreachable};
  }

  return ReadExchange(ExchangeOnce(
      address, HttpCall{"POST", worker_protocol::kOrderPath, std::move(body), timeout_}));
}

}  // namespace currantpost

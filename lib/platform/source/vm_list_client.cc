#include "currantpost/platform/vm_list_client.h"

#include <utility>

#include "currantpost/model/codec.h"
#include "http_channel.h"

namespace currantpost {
namespace {

constexpr const char* kVmListPath = "/vms";
constexpr int kHttpOk = 200;

}  // namespace

HttpVmListClient::HttpVmListClient(Address address, Millis timeout)
    : channel_(std::make_unique<HttpChannel>(std::move(address))), timeout_(timeout) {}

HttpVmListClient::~HttpVmListClient() = default;

Result<std::vector<VmRecord>> HttpVmListClient::Read() {
  const Exchange exchange = channel_->Call(HttpCall{"GET", kVmListPath, "", timeout_});

  if (exchange.status == ExchangeStatus::kNotSent) return Fail(ErrorCode::kUnavailable, "vms");
  if (exchange.status == ExchangeStatus::kUnknown) return Fail(ErrorCode::kTimeout, "vms");
  if (exchange.not_applied) return Fail(ErrorCode::kUnavailable, "vms");
  if (exchange.http_status != kHttpOk) return Fail(ErrorCode::kMalformed, "vms");

  return DecodeVmList(exchange.body);
}

}  // namespace currantpost

#include "currantpost/tool/operator_client.h"

#include <httplib.h>

#include "currantpost/base/enum_names.h"

namespace currantpost {
namespace {

constexpr time_t kConnectSeconds = 2;
/// Longer than an entry takes for the longest command.
constexpr time_t kAnswerSeconds = 15;

httplib::Client Connect(const Address& entry) {
  httplib::Client client(entry.host, entry.port);
  client.set_connection_timeout(kConnectSeconds);
  client.set_read_timeout(kAnswerSeconds);
  client.set_keep_alive(false);
  return client;
}

std::string Where(const Address& entry) { return entry.host + ":" + std::to_string(entry.port); }

Error ErrorOf(const nlohmann::json& answer, int status) {
  const std::string name = answer.value("error", "");
  const std::string detail = answer.value("detail", "HTTP status " + std::to_string(status));

  for (int value = 0; value <= static_cast<int>(ErrorCode::kInternal); ++value) {
    const auto code = static_cast<ErrorCode>(value);
    if (code != ErrorCode::kOk && ErrorName(code) == name) return MakeError(code, detail);
  }

  return MakeError(ErrorCode::kInternal, detail);
}

Result<nlohmann::json> Interpret(const Address& entry, const httplib::Result& result) {
  if (!result) {
    // Without a connection nothing was asked; after it, anything may have happened.
    const bool never_asked = result.error() == httplib::Error::Connection;
    return Fail(never_asked ? ErrorCode::kUnavailable : ErrorCode::kOutcomeUnknown, Where(entry));
  }

  const bool is_ok = result->status >= 200 && result->status < 300;
  nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);

  if (answer.is_discarded()) {
    return Fail(is_ok ? ErrorCode::kOutcomeUnknown : ErrorCode::kInternal, Where(entry));
  }

  if (!is_ok) return tl::unexpected<Error>(ErrorOf(answer, result->status));

  return answer;
}

}  // namespace

Result<nlohmann::json> OperatorClient::Get(const std::string& path) const {
  return Interpret(entry_, Connect(entry_).Get(path));
}

Result<nlohmann::json> OperatorClient::Post(const std::string& path,
                                            const std::string& body) const {
  return Interpret(entry_, Connect(entry_).Post(path, body, "application/json"));
}

Result<nlohmann::json> OperatorClient::Put(const std::string& path, const std::string& body) const {
  return Interpret(entry_, Connect(entry_).Put(path, body, "application/json"));
}

}  // namespace currantpost

#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "currantpost/base/error.h"
#include "currantpost/model/vm.h"

namespace currantpost {

/// Talks to the operators' interface of one entry, over HTTP.
///
/// Each call gives the answer's JSON. A failure is the entry's own typed error, `kUnavailable` if
/// no connection could be made, or `kOutcomeUnknown` if the answer did not come.
class OperatorClient {
 public:
  explicit OperatorClient(Address entry) : entry_(std::move(entry)) {}

  [[nodiscard]] Result<nlohmann::json> Get(const std::string& path) const;
  [[nodiscard]] Result<nlohmann::json> Post(const std::string& path, const std::string& body) const;
  [[nodiscard]] Result<nlohmann::json> Put(const std::string& path, const std::string& body) const;

  [[nodiscard]] const Address& Entry() const { return entry_; }

 private:
  Address entry_;
};

}  // namespace currantpost

#include "currantpost/traffic/outcome.h"

#include <utility>

namespace currantpost {

RequestFailure NotRun(ErrorCode code, int status, std::string detail) {
  return {
      .outcome = Outcome::kNotRun, .error = MakeError(code, std::move(detail)), .status = status};
}

}  // namespace currantpost

#pragma once

#include <string>

#include "currantpost/base/error.h"

namespace currantpost {

/// Returns the HTTP status that tells a failure.
int HttpStatusOf(const std::error_code& code);

/// Returns the body that tells a failure: its name, its detail and, if there is one, the present
/// state as JSON.
std::string ErrorBody(const Error& error, const std::string& present = {});

/// Returns the failure that an HTTP status stands for, when the HTTP library refused a request.
Error ErrorOfHttpStatus(int status);

}  // namespace currantpost

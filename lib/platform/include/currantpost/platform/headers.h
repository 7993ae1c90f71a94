#pragma once

/// HTTP headers of the platform's services and of the workers.

namespace currantpost::platform_headers {

/// Id of a request. A response with a different id belongs to another request.
inline constexpr const char* kRequestId = "X-Request-Id";
/// "1" in a response means that the call had no effect and will have none.
inline constexpr const char* kNotApplied = "X-Not-Applied";

}  // namespace currantpost::platform_headers

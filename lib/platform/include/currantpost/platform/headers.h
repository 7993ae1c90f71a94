#pragma once

/// HTTP headers of the platform's services and of the workers.

namespace currantpost::platform_headers {

/// Names a request; an answer that carries another name belongs to another request.
inline constexpr const char* kRequestId = "X-Request-Id";
/// Set to "1" on an answer that says that the call had, and will have, no effect.
inline constexpr const char* kNotApplied = "X-Not-Applied";

}  // namespace currantpost::platform_headers

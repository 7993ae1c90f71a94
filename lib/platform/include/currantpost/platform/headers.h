#pragma once

/// HTTP headers that the platform's services, the workers and the upstreams share.

namespace currantpost {

/// Names a request; an answer that carries another name belongs to another request.
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
/// Set to "1" on an answer that says that the call had, and will have, no effect.
inline constexpr const char* kNotAppliedHeader = "X-Not-Applied";

}  // namespace currantpost

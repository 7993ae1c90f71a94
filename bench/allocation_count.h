#pragma once

#include <cstdint>

namespace currantpost::bench {

/// Returns how many bytes the program holds on the heap, as the allocator rounded them up. Programs
/// that link this file count every `new` and `delete`.
int64_t HeldBytes();

}  // namespace currantpost::bench

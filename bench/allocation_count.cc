#include "allocation_count.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<int64_t> held = 0;

void* Allocate(size_t size) {
  void* const block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();

  held.fetch_add(static_cast<int64_t>(malloc_usable_size(block)), std::memory_order_relaxed);
  return block;
}

void Free(void* block) {
  if (block == nullptr) return;

  held.fetch_sub(static_cast<int64_t>(malloc_usable_size(block)), std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

void* operator new(size_t size) { return Allocate(size); }
void* operator new[](size_t size) { return Allocate(size); }
void operator delete(void* block) noexcept { Free(block); }
void operator delete[](void* block) noexcept { Free(block); }
void operator delete(void* block, size_t /*size*/) noexcept { Free(block); }
void operator delete[](void* block, size_t /*size*/) noexcept { Free(block); }

namespace currantpost::bench {

int64_t HeldBytes() { return held.load(std::memory_order_relaxed); }

}  // namespace currantpost::bench

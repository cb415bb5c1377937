#ifndef KNAPWEED_TESTS_ALLOCATION_COUNT_H_
#define KNAPWEED_TESTS_ALLOCATION_COUNT_H_

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <new>

/// Replaces the program's global operator new by one that counts its calls.
/// Include it in only one source file of a test or benchmark.
namespace knapweed {

inline std::atomic<uint64_t> allocation_count{0};

/// Returns the number of calls of operator new so far, from all threads.
inline uint64_t AllocationCount() { return allocation_count.load(); }

}  // namespace knapweed

// A replacement operator must not be inline.
// NOLINTNEXTLINE(misc-definitions-in-headers)
[[gnu::noinline]] void* operator new(size_t size) {
  knapweed::allocation_count.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(size);
  if (memory == nullptr) std::abort();
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

#endif  // KNAPWEED_TESTS_ALLOCATION_COUNT_H_

#ifndef KNAPWEED_STANDINS_MEMORY_STORE_H_
#define KNAPWEED_STANDINS_MEMORY_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "knapweed/base/clock.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// Faults to inject into a MemoryStore. Each counter is decremented when its
/// fault is injected.
struct StoreFaults {
  /// Delay before each operation is applied.
  Ms latency = {};
  /// Every operation fails with Unavailable and changes nothing.
  bool outage = false;
  /// This many commits are applied, but return Unknown.
  uint32_t lose_commit_answers = 0;
  /// This many commits change nothing and return Unavailable.
  uint32_t fail_commits = 0;
  /// This many commits change nothing and return Unknown, as when the request
  /// itself was lost.
  uint32_t lose_commits = 0;
  /// The same for puts of objects.
  uint32_t lose_put_answers = 0;
  uint32_t fail_puts = 0;
  /// When set, the counted commit faults apply only to commits that write a row
  /// whose key has this prefix.
  std::string commit_key_prefix = {};
};

/// Numbers of operations that reached the store, successful or not.
struct StoreCounts {
  uint64_t reads = 0;
  uint64_t scans = 0;
  uint64_t commits = 0;
  uint64_t puts = 0;
  uint64_t gets = 0;
  uint64_t removes = 0;
  uint64_t lists = 0;
};

/// An in-memory table service and object store with fault injection.
/// Thread-safe. The services that it returns share its state and stay valid
/// after it is destroyed.
///
/// Example:
///   MemoryStore store;
///   store.SetFaults({.lose_commit_answers = 1});
///   store.Table().commit(transaction);  // applied, returns Unknown
class MemoryStore {
 public:
  MemoryStore();

  TableService Table() const;
  ObjectStore Objects() const;

  void SetFaults(const StoreFaults& faults);
  /// Returns the faults with their remaining counts.
  StoreFaults Faults() const;
  StoreCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_MEMORY_STORE_H_

#ifndef KNAPWEED_STANDINS_MEMORY_STORE_H_
#define KNAPWEED_STANDINS_MEMORY_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "knapweed/base/clock.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// What goes wrong at a MemoryStore. The counts go down as they are used up.
struct StoreFaults {
  /// Slept before each operation is applied.
  Ms latency = {};
  /// Every operation is refused as Unavailable and changes nothing.
  bool outage = false;
  /// The next commits are applied, but answered Unknown.
  uint32_t lose_commit_answers = 0;
  /// The next commits change nothing and are answered Unavailable.
  uint32_t fail_commits = 0;
  /// The next commits change nothing and are answered Unknown, as when the
  /// request itself was lost.
  uint32_t lose_commits = 0;
  /// The same for objects that are put.
  uint32_t lose_put_answers = 0;
  uint32_t fail_puts = 0;
  /// When set, the counted commit faults hit only commits that write a row
  /// whose key starts so.
  std::string commit_key_prefix = {};
};

/// Operations that reached the store, whether they succeeded or not.
struct StoreCounts {
  uint64_t reads = 0;
  uint64_t scans = 0;
  uint64_t commits = 0;
  uint64_t puts = 0;
  uint64_t gets = 0;
  uint64_t removes = 0;
  uint64_t lists = 0;
};

/// A table service and an object store in memory, with faults. Safe from any
/// thread; the services that it gives stay valid after it is gone.
///
/// Example:
///   MemoryStore store;
///   store.SetFaults({.lose_commit_answers = 1});
///   store.Table().commit(transaction);  // applied, answered Unknown
class MemoryStore {
 public:
  MemoryStore();

  TableService Table() const;
  ObjectStore Objects() const;

  void SetFaults(const StoreFaults& faults);
  /// The faults that are left.
  StoreFaults Faults() const;
  StoreCounts Counts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_MEMORY_STORE_H_

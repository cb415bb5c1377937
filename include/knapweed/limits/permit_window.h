#ifndef KNAPWEED_LIMITS_PERMIT_WINDOW_H_
#define KNAPWEED_LIMITS_PERMIT_WINDOW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "knapweed/base/clock.h"

/// Counts permits exactly: never more than a number of them in any span of
/// time.
namespace knapweed {

/// The permits that were granted lately, as plain data of one owner. Not
/// thread-safe.
class PermitWindow {
 public:
  /// Grants a permit under `id` if fewer than `most` were granted in the last
  /// `span`. Ids increase from call to call.
  bool Take(uint64_t id, size_t most, Ms span, Ms now);
  /// Takes back a permit that was not used. Has no effect the second time.
  void Return(uint64_t id);
  /// Counts permits that an earlier process granted, at `at` at the latest.
  /// `at` does not decrease from call to call.
  void Restore(uint64_t first_id, size_t count, Ms at);
  /// Returns the number of permits granted in the last `span`.
  size_t Count(Ms span, Ms now);
  /// Returns the number of permits granted after `time`, of those that the last
  /// call of `Count` left.
  size_t CountAfter(Ms time) const;
  /// Returns the times at which the permits were granted that the last call of
  /// `Count` left, oldest first.
  std::vector<Ms> Times() const;
  /// Returns whether no permit was granted in the last `span`.
  bool IsEmpty(Ms span, Ms now) const {
    return granted_.empty() || now - granted_.back().at > span;
  }
  /// Returns the time until the oldest permit leaves the span; nothing if there
  /// is none.
  std::optional<Ms> UntilNextFree(Ms span, Ms now) const;

 private:
  struct Permit {
    uint64_t id = 0;
    Ms at;
  };

  void DropOlder(Ms span, Ms now);

  /// Oldest first, which is also the order of ids.
  std::deque<Permit> granted_;
};

}  // namespace knapweed

#endif  // KNAPWEED_LIMITS_PERMIT_WINDOW_H_

#ifndef KNAPWEED_TESTS_WINDOW_JUDGE_H_
#define KNAPWEED_TESTS_WINDOW_JUDGE_H_

#include <cstddef>
#include <vector>

#include "knapweed/gateway/quotas.h"
#include "tests/rate_fleet.h"

namespace knapweed::gateway {

/// Counts the calls of a workspace in each window against the limits that were
/// in force there.
class WindowJudge {
 public:
  /// Time until all gateways have a new limit.
  static constexpr Ms kMaxApplyTime{2000};

  /// Sets the calls that are tolerated in a window from now on.
  void SetLimit(Ms now, size_t permits) { limits_.push_back({now, permits}); }
  void AddCall(Ms now) { calls_.push_back(now); }
  /// Fills in the worst window and how many windows exceeded.
  void Judge(FleetOutcome* outcome);

 private:
  struct Limit {
    Ms from;
    size_t permits = 0;
  };

  /// Returns the largest limit that may be in force in a window: a lower one
  /// binds a window after all gateways have it.
  size_t ToleratedIn(Ms from, Ms to) const;

  QuotaTolerance tolerance_;
  std::vector<Limit> limits_;
  std::vector<Ms> calls_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_WINDOW_JUDGE_H_

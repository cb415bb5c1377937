#include "tests/window_judge.h"

#include <algorithm>

namespace knapweed::gateway {

void WindowJudge::Judge(FleetOutcome* outcome) {
  std::sort(calls_.begin(), calls_.end());
  double worst = 0;
  for (size_t from = 0, to = 0; from < calls_.size(); ++from) {
    const Ms begin = calls_[from];
    while (to < calls_.size() && calls_[to] - begin <= tolerance_.window) ++to;
    const size_t tolerated = ToleratedIn(begin, begin + tolerance_.window);
    const double share =
        static_cast<double>(to - from) / static_cast<double>(tolerated);
    if (to - from > tolerated) ++outcome->exceeded;
    if (share <= worst) continue;
    worst = share;
    outcome->most = to - from;
    outcome->tolerated = tolerated;
  }
}

size_t WindowJudge::ToleratedIn(Ms from, Ms to) const {
  size_t most = 0;
  for (size_t i = 0; i < limits_.size(); ++i) {
    const bool began = limits_[i].from < to;
    const bool is_last = i + 1 == limits_.size();
    const bool holds =
        is_last ||
        limits_[i + 1].from + kMaxApplyTime + tolerance_.window >= from;
    if (began && holds) most = std::max(most, limits_[i].permits);
  }
  return most;
}

}  // namespace knapweed::gateway

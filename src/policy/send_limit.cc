#include "knapweed/policy/send_limit.h"

namespace knapweed {

StatedLimit LimitInResponse(std::optional<double> stated_per_s, Ms sent_at,
                            Ms received_at) {
  return {stated_per_s, stated_per_s.has_value() ? received_at : sent_at};
}

bool MergeLimit(StatedLimit& known, const StatedLimit& news) {
  const bool is_newer = news.observed_at > known.observed_at;
  // Of two statements from the same time, the one with a limit counts.
  const bool decides_tie =
      news.observed_at == known.observed_at && news.per_s.has_value();
  if (!is_newer && !decides_tie) return false;
  const bool changed = news.per_s != known.per_s;
  known = news;
  return changed;
}

}  // namespace knapweed

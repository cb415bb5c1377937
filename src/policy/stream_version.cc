#include "knapweed/policy/stream_version.h"

namespace knapweed {
namespace {

/// Longest time from the first event of a stream until its caller has resumed
/// it.
constexpr Ms kLongestInterruption{15000};

}  // namespace

ResumeDecision DecideResume(const ResumedStream& stream) {
  if (stream.begun_version.has_value()) return {true, *stream.begun_version};
  const SeenVersion* only = nullptr;
  for (const SeenVersion& seen : stream.versions) {
    if (stream.now - seen.last_listed_at > kLongestInterruption) continue;
    if (only != nullptr) return {};
    only = &seen;
  }
  if (only == nullptr) return {};
  const bool knows_past =
      stream.now - stream.followed_since > kLongestInterruption;
  if (stream.names_beginning && !knows_past) return {};
  return {true, only->version};
}

}  // namespace knapweed

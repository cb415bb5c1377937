#include "knapweed/policy/stream_version.h"

#include <algorithm>

namespace knapweed {
namespace {

/// The only origin of the streams that may still be resumed.
struct OnlyOrigin {
  const PossibleOrigin* origin = nullptr;
  bool is_only = true;
};

OnlyOrigin FindOnly(std::span<const PossibleOrigin> possible, Ms longest_span,
                    Ms now) {
  OnlyOrigin only;
  for (const PossibleOrigin& it : possible) {
    if (now - it.last_begun_at > longest_span) continue;
    const bool differs =
        only.origin != nullptr && (it.service != only.origin->service ||
                                   it.version != only.origin->version);
    if (differs) only.is_only = false;
    only.origin = &it;
  }
  return only;
}

/// Returns the decision for a stream that began at `origin`.
ResumeDecision GoOnAt(const PossibleOrigin& origin,
                      const ResumedStream& stream) {
  const bool leads_there =
      std::find(stream.services.begin(), stream.services.end(),
                origin.service) != stream.services.end();
  if (!leads_there) return {};
  return {true, origin.service, origin.version};
}

}  // namespace

ResumeDecision DecideResume(const ResumedStream& stream) {
  if (stream.begun.has_value()) return GoOnAt(*stream.begun, stream);
  if (!stream.knows_all) return {};
  const OnlyOrigin only =
      FindOnly(stream.possible, stream.longest_span, stream.now);
  if (only.origin == nullptr || !only.is_only) return {};
  return GoOnAt(*only.origin, stream);
}

}  // namespace knapweed

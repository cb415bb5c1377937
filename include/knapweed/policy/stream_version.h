#ifndef KNAPWEED_POLICY_STREAM_VERSION_H_
#define KNAPWEED_POLICY_STREAM_VERSION_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "knapweed/base/clock.h"

/// Decides whether a stream that a caller resumes may go on, and at which
/// upstreams. What upstreams of two software versions write does not fit
/// together, and upstreams don't check it. Pure functions.
namespace knapweed {

/// A version that a gateway has seen among the upstreams of a service.
struct SeenVersion {
  std::string_view version;
  /// When an upstream of this version was last listed.
  Ms last_listed_at;
};

/// What a gateway knows of a stream that a caller resumes.
struct ResumedStream {
  /// The version that began it, if this gateway or another one knows it.
  std::optional<std::string_view> begun_version;
  /// The caller names the request that began it, so gateways could know it.
  bool names_beginning = false;
  /// Versions of the service, as this gateway has seen them.
  std::span<const SeenVersion> versions;
  /// Since when this gateway has followed the list of upstreams.
  Ms followed_since;
  Ms now;
};

/// The result of `DecideResume`.
struct ResumeDecision {
  /// False if the stream may have begun at another version than the one at
  /// which it would go on.
  bool may_go_on = false;
  /// The version at which it goes on.
  std::string_view version;
};

/// Decides by the version that began the stream. Where nobody knows that, the
/// stream goes on only if one version has served for as long as a stream can be
/// interrupted; a gateway that has just started does not know that, and
/// believes its list only for a caller that does not name the beginning.
ResumeDecision DecideResume(const ResumedStream& stream);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_STREAM_VERSION_H_

#ifndef KNAPWEED_POLICY_STREAM_VERSION_H_
#define KNAPWEED_POLICY_STREAM_VERSION_H_

#include <optional>
#include <span>
#include <string_view>

#include "knapweed/base/clock.h"

/// Decides whether a stream that a caller resumes may go on, and at which
/// upstreams. A stream is placed once, when it begins: the weights by which a
/// route now shares its calls among services don't matter. What upstreams of
/// two services or of two software versions write does not fit together, and
/// upstreams don't check it. Pure functions.
namespace knapweed {

/// The upstreams at which a stream may have begun.
struct PossibleOrigin {
  std::string_view service;
  std::string_view version;
  /// When the last stream may have begun there.
  Ms last_begun_at;
};

/// What a gateway knows of a stream that a caller resumes.
struct ResumedStream {
  /// Where it began, if this gateway or another one knows it.
  std::optional<PossibleOrigin> begun;
  /// Where streams of the same route may have begun.
  std::span<const PossibleOrigin> possible;
  /// `possible` holds what every gateway has recorded until this stream was
  /// resumed, those that have died included.
  bool knows_all = false;
  /// The services that the route leads to now.
  std::span<const std::string_view> services;
  /// Longest time from the begin of a stream until its caller resumes it.
  Ms longest_span;
  Ms now;
};

/// The result of `DecideResume`.
struct ResumeDecision {
  /// False if the stream may have begun elsewhere than where it would go on.
  bool may_go_on = false;
  /// The service and the version at which it goes on.
  std::string_view service;
  std::string_view version;
};

/// Decides by the service and version that began the stream, which goes on
/// there as long as the route leads to that service. Where nobody knows
/// these, the stream goes on only if it can have begun in one place, which the
/// present list of upstreams does not tell: the upstreams that began it may
/// have left it.
ResumeDecision DecideResume(const ResumedStream& stream);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_STREAM_VERSION_H_

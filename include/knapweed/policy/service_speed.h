#ifndef KNAPWEED_POLICY_SERVICE_SPEED_H_
#define KNAPWEED_POLICY_SERVICE_SPEED_H_

#include <cstdint>
#include <optional>

#include "knapweed/base/clock.h"

/// Speeds of upstreams as one gateway measures them by the answers to its own
/// calls. Answers two loads: upstreams of one service that differ in speed, and
/// a service that gets slower because it has more calls than it can serve.
namespace knapweed {

/// A figure that rises with load: its recent mean, and its base, which is the
/// lowest that the mean has been lately.
struct LoadedFigure {
  double recent = 0;
  double base = 0;
  uint32_t samples = 0;
  Ms sampled_at;
};

/// Adds a sample. One that is not positive, or far beyond what a call can take,
/// is left out, since a clock that jumped may have made it.
void AddSample(LoadedFigure& figure, double sample, Ms now);

/// Returns the recent mean, nearer to the base the older the last sample is,
/// because an upstream that gets no calls gets no samples either.
double RecentAt(const LoadedFigure& figure, Ms now);

/// What one gateway has measured of all upstreams of a service.
struct ServiceSpeed {
  /// Time between two tokens of a stream, in ms. For a service that streams
  /// nothing, the time of an answer in ms.
  LoadedFigure unit_ms;
  /// Time to the first event less the time of its prefill, in ms.
  LoadedFigure wait_ms;
  /// Prefill speed of an engine without other calls; a high quantile of the
  /// samples, since waiting makes most of them lower.
  double prefill_tokens_per_s = 0;
  /// Output tokens and prompt tokens to prefill of a mean call.
  double mean_output_tokens = 0;
  double mean_prefill_tokens = 0;
};

/// A call up to the first event of its stream.
struct FirstEvent {
  uint64_t prefill_tokens = 0;
  Ms span;
};

/// Adds the time to a first event.
void RecordFirstEvent(ServiceSpeed& speed, const FirstEvent& event, Ms now);
/// Adds the output of a call that has ended.
void RecordOutput(ServiceSpeed& speed, double tokens);

/// Returns the time in ms that an engine without other calls takes to prefill
/// `tokens`; 0 if it is not known.
double PrefillMs(const ServiceSpeed& speed, double tokens);

/// Returns the time in ms of a mean call when the service was last lightly
/// loaded; 0 if it is not known.
double IdleTurnMs(const ServiceSpeed& speed);

/// Returns the time in ms at present of a call with so many prompt tokens to
/// prefill and a mean output; 0 if it is not known.
double ExpectedTurnMs(const ServiceSpeed& speed, double prefill_tokens, Ms now);

/// Calls of this gateway that have waited for their first event until now.
struct WaitingCalls {
  uint32_t count = 0;
  /// Mean time since they were sent.
  Ms mean_age;
};

/// Returns how much longer a mean call takes at present than when the service
/// was last lightly loaded; 1 if it is no slower or not known.
double SlowdownOf(const ServiceSpeed& speed, const WaitingCalls& waiting,
                  Ms now);

/// Speed of one upstream relative to its service, from few samples: above 1 it
/// is slower than the others.
struct RelativeSpeed {
  double factor = 1;
  Ms sampled_at;
};

/// Returns whether differences between the upstreams of a service show their
/// speeds. Under more load than usual they mostly show how many calls each has.
bool ShowsSpeed(const LoadedFigure& unit_ms);

/// Adds a span that took `ratio` times as long as the service's recent mean.
void AddRatio(RelativeSpeed& speed, double ratio, Ms now);
/// Keeps the factor from fading for as long as the upstream gets calls that
/// don't show its speed.
void HoldRatio(RelativeSpeed& speed, Ms now);
/// Returns the factor, nearer to 1 the older the last sample is, so that an
/// upstream that was slow gets calls again.
double FactorAt(const RelativeSpeed& speed, Ms now);

/// Returns the factor to place calls by: 1 for a speed near that of the
/// service, because a difference that few samples show may be chance, and calls
/// that follow it leave their cached histories behind.
double PlacementFactor(double factor);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_SERVICE_SPEED_H_

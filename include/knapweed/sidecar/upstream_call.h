#ifndef KNAPWEED_SIDECAR_UPSTREAM_CALL_H_
#define KNAPWEED_SIDECAR_UPSTREAM_CALL_H_

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"
#include "knapweed/http/client.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// What one call brought, and how long its phases took.
struct UpstreamOutcome {
  wire::ResultT result;
  /// The connection broke under the call; the upstream may have died.
  bool connection_lost = false;
  /// The call may still run at the upstream and should be cancelled there.
  bool needs_cancel = false;
  Ms time_to_first_token;
  Ms duration;
};

/// A failed result.
wire::ResultT FailedResult(ErrorCode code, RunState run, Ms retry_after,
                           std::string_view message);

/// Whether a dispatch is for a model rather than a plain service.
bool IsModelCall(const wire::DispatchT& dispatch);

/// Runs a model call at an engine as a stream, and hands over its text piece by
/// piece. `cancelled` may be set at any time and ends the call at its next
/// piece. Blocks.
UpstreamOutcome RunModelCall(
    HttpClient& engine, const wire::DispatchT& dispatch, Ms timeout,
    const std::function<void(std::string_view)>& on_text,
    const std::atomic<bool>& cancelled);

/// Runs a call of a plain service. Only the headers that it needs are sent.
/// Blocks.
UpstreamOutcome RunServiceCall(HttpClient& service,
                               const wire::DispatchT& dispatch, Ms timeout);

/// What an engine says of itself.
struct EngineStats {
  std::string incarnation;
  std::vector<std::string> holds;
};

absl::StatusOr<EngineStats> ReadEngineStats(HttpClient& engine);
absl::Status CancelAtEngine(HttpClient& engine, std::string_view request_id);
/// Holds the cached prompt and answer of a request that ended.
absl::Status HoldCache(HttpClient& engine, std::string_view hold,
                       std::string_view request_id);
absl::Status ReleaseCache(HttpClient& engine, std::string_view hold);

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_UPSTREAM_CALL_H_

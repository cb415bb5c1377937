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

/// The result of one call at the upstream, and its duration.
struct UpstreamOutcome {
  wire::ResultT result;
  /// The connection could not be made or was lost during the call; the upstream
  /// may have failed.
  bool connection_lost = false;
  /// The call may still be running at the upstream and should be cancelled
  /// there.
  bool needs_cancel = false;
  /// From the start of the call; zero if no text arrived.
  Ms time_to_first_token;
  /// Of the whole call; may be zero if it failed.
  Ms duration;
};

/// Returns a failed result.
wire::ResultT FailedResult(ErrorCode code, RunState run, Ms retry_after,
                           std::string_view message);

/// Whether a dispatch is for a model, not for a plain service.
bool IsModelCall(const wire::DispatchT& dispatch);

/// Runs a model call at an engine and passes its text to `on_text` as it is
/// streamed. Setting `cancelled` at any time ends the call at the next piece of
/// the reply. Blocks.
UpstreamOutcome RunModelCall(
    HttpClient& engine, const wire::DispatchT& dispatch, Ms timeout,
    const std::function<void(std::string_view)>& on_text,
    const std::atomic<bool>& cancelled);

/// Runs a call of a plain service. Sends none of the caller's own headers.
/// Blocks.
UpstreamOutcome RunServiceCall(HttpClient& service,
                               const wire::DispatchT& dispatch, Ms timeout);

/// An engine's /stats.
struct EngineStats {
  std::string incarnation;
  std::vector<std::string> holds;
};

/// Reads an engine's /stats. Blocks.
absl::StatusOr<EngineStats> ReadEngineStats(HttpClient& engine);
/// Cancels a request. NotFound if the engine has no such request. Blocks.
absl::Status CancelAtEngine(HttpClient& engine, std::string_view request_id);
/// Pins the cached prompt and reply of a request that ended. Blocks.
absl::Status HoldCache(HttpClient& engine, std::string_view hold,
                       std::string_view request_id);
/// Releases a hold. NotFound if the engine has no such hold. Blocks.
absl::Status ReleaseCache(HttpClient& engine, std::string_view hold);

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_UPSTREAM_CALL_H_

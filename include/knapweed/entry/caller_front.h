#ifndef KNAPWEED_ENTRY_CALLER_FRONT_H_
#define KNAPWEED_ENTRY_CALLER_FRONT_H_

#include <atomic>

#include "knapweed/base/clock.h"
#include "knapweed/base/metrics.h"
#include "knapweed/entry/call_router.h"
#include "knapweed/entry/caller_api.h"
#include "knapweed/entry/entry_config.h"
#include "knapweed/entry/rate_gate.h"
#include "knapweed/http/server.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/rules/rules_watcher.h"

namespace knapweed {

/// What the callers' interface works with; all outlive it.
struct CallerFrontParts {
  const EntryConfig& config;
  const Clock& clock;
  const RulesHolder& rules;
  const RulesWatcher& watcher;
  RateGate& rates;
  CallRouter& router;
  Metrics& metrics;
};

/// The interface to callers over HTTP: health, routes by rule, and the end of
/// programs (DELETE /v1/programs/NAME). Safe from any thread.
class CallerFront {
 public:
  explicit CallerFront(CallerFrontParts parts) : parts_(parts) {}

  void Handle(const HttpRequest& request, HttpResponder& responder);
  /// Makes the health check fail, so that the balancer sends no new callers.
  void SetLeaving() { leaving_ = true; }
  /// Requests that have not been answered in full.
  int in_flight() const { return in_flight_; }

 private:
  void HandleCall(const HttpRequest& request, HttpResponder& responder);
  void HandleEndProgram(const HttpRequest& request, HttpResponder& responder);
  void RunCall(const wire::CallT& call, RouteKind kind,
               const CallerIdentity& caller, HttpResponder& responder);
  void Stream(const wire::CallT& call, const CallerIdentity& caller,
              HttpResponder& responder);
  /// Whether a key that was good when its call began still is.
  bool IsKeyValid(const CallerIdentity& caller, uint64_t* seen_version) const;

  CallerFrontParts parts_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> in_flight_{0};
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CALLER_FRONT_H_

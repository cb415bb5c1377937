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

/// Dependencies of a CallerFront; all must outlive it.
struct CallerFrontParts {
  const EntryConfig& config;
  const Clock& clock;
  const RulesHolder& rules;
  const RulesWatcher& watcher;
  RateGate& rates;
  CallRouter& router;
  Metrics& metrics;
};

/// The HTTP interface for callers: health check, configured routes, and ending
/// of programs (DELETE /v1/programs/NAME). Safe from any thread.
class CallerFront {
 public:
  explicit CallerFront(CallerFrontParts parts) : parts_(parts) {}

  /// Handles one request and blocks until its reply is sent.
  void Handle(const HttpRequest& request, HttpResponder& responder);
  /// Makes the health check fail, so that the load balancer routes no new
  /// requests to this process.
  void SetLeaving() { leaving_ = true; }
  /// Returns the number of requests whose reply is not complete.
  int in_flight() const { return in_flight_; }

 private:
  void HandleCall(const HttpRequest& request, HttpResponder& responder);
  void HandleEndProgram(const HttpRequest& request, HttpResponder& responder);
  void RunCall(const wire::CallT& call, RouteKind kind,
               const CallerIdentity& caller, HttpResponder& responder);
  void Stream(const wire::CallT& call, const CallerIdentity& caller,
              HttpResponder& responder);
  /// Returns whether the key of a running call is still valid. `seen_version`
  /// is the configuration version of the last check; it is updated.
  bool IsKeyValid(const CallerIdentity& caller, uint64_t* seen_version) const;

  CallerFrontParts parts_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> in_flight_{0};
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CALLER_FRONT_H_

#ifndef KNAPWEED_ENTRY_CALL_ROUTER_H_
#define KNAPWEED_ENTRY_CALL_ROUTER_H_

#include "knapweed/base/clock.h"
#include "knapweed/base/metrics.h"
#include "knapweed/entry/store_contact.h"
#include "knapweed/entry/turn_runner.h"
#include "knapweed/membership/membership.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Dependencies of a CallRouter; all must outlive it.
struct CallRouterParts {
  const Clock& clock;
  Membership& membership;
  TurnRunner& runner;
  const StoreContact& contact;
  RpcPool& rpc;
  Metrics& metrics;
  uint32_t partition_count;
};

/// Routes a call to the owner of its program, in this process or another one,
/// and retries when the owner changes meanwhile. Retrying is safe since every
/// call carries an idempotency key under which the owner stores its outcome.
/// Used by CallerFront. Safe from any thread.
class CallRouter {
 public:
  explicit CallRouter(CallRouterParts parts) : parts_(parts) {}

  /// Blocks until the final result or the call's deadline. Passes each byte of
  /// a streamed answer to `sink` once, across retries. Failures are reported in
  /// the result.
  wire::ResultT Route(wire::CallT call, const ChunkSink& sink);

 private:
  wire::ResultT RouteOnce(const wire::CallT& call, const ChunkSink& sink);

  CallRouterParts parts_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CALL_ROUTER_H_

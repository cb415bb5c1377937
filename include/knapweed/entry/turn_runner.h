#ifndef KNAPWEED_ENTRY_TURN_RUNNER_H_
#define KNAPWEED_ENTRY_TURN_RUNNER_H_

#include <cstdint>
#include <mutex>

#include "knapweed/base/clock.h"
#include "knapweed/base/metrics.h"
#include "knapweed/base/outcome.h"
#include "knapweed/entry/crash_board.h"
#include "knapweed/entry/store_contact.h"
#include "knapweed/entry/upstream_directory.h"
#include "knapweed/membership/membership.h"
#include "knapweed/policy/retry.h"
#include "knapweed/program/program_table.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Dependencies of a TurnRunner; all must outlive it.
struct TurnRunnerParts {
  const Clock& clock;
  const RulesHolder& rules;
  const Membership& membership;
  ProgramTable& programs;
  UpstreamDirectory& upstreams;
  CrashBoard& crashes;
  const StoreContact& contact;
  RpcPool& rpc;
  Metrics& metrics;
  uint32_t partition_count;
};

/// Runs the calls of the programs that this process owns: waits for the
/// program's earlier calls, checks its budget, places the call on an upstream,
/// records an intent where the route is non-idempotent, dispatches, retries and
/// records the outcome durably. CallRouter and PeerService call it. Safe from
/// any thread.
class TurnRunner {
 public:
  explicit TurnRunner(TurnRunnerParts parts) : parts_(parts) {}

  /// Runs a call and blocks until it has its final result. Passes pieces of a
  /// model's answer to `sink` as they arrive; a sink that returns false cancels
  /// the call. Failures are reported in the result's `failure`.
  wire::ResultT Run(const wire::CallT& call, const ChunkSink& sink);

  /// Ends a program and releases its pinned caches and other state.
  wire::ResultT EndProgram(const wire::CallT& call);

 private:
  struct Turn;
  enum class Resolution : uint8_t;

  /// Runs a call that the program table has admitted.
  wire::ResultT RunTurn(Turn& turn, TurnHold hold);
  bool PreparePrompt(Turn& turn, TurnHold& hold);
  static bool MustRecordOutcome(const Turn& turn, const wire::ResultT& result);
  /// Determines the outcome of an attempt whose owner died before recording it,
  /// by querying the sidecar that it was dispatched to. Sets `result` unless
  /// the attempt never ran.
  Resolution ResolveOpenIntent(Turn& turn, const TurnHold& hold,
                               wire::ResultT* result);
  bool IsRegistered(const Intent& intent) const;
  /// Returns whether this process may run calls of the turn's partition now: it
  /// holds the lease, or its lease lapsed in an outage of the store.
  bool MayServe(const Turn& turn) const;
  /// Chooses an upstream. Waits a bounded time while none accepts work, then
  /// returns null.
  UpstreamPtr PlaceOrWait(Turn& turn, int dispatch);
  bool MayRetry(const Turn& turn, const wire::ResultT& result,
                uint32_t attempts, Ms* wait);
  wire::ResultT DispatchWithRetries(Turn& turn, TurnHold& hold);
  wire::ResultT DispatchOnce(Turn& turn, TurnHold& hold,
                             const UpstreamPtr& upstream);
  void RecordUpstreamResult(const Turn& turn, UpstreamState& upstream,
                            const wire::ResultT& result);
  void ReleasePins(uint64_t program_hash);
  wire::ResultT Finish(Turn& turn, TurnHold hold, wire::ResultT result);

  TurnRunnerParts parts_;
  std::mutex retry_mu_;
  RetryBudget retry_budget_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_TURN_RUNNER_H_

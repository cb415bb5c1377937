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

/// What a turn runner works with; all outlive it.
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

/// Runs calls of the programs that this process owns: order and budget by the
/// program table, placement, intent, dispatch, retries, and a durable outcome.
/// Safe from any thread.
class TurnRunner {
 public:
  explicit TurnRunner(TurnRunnerParts parts) : parts_(parts) {}

  /// Blocks until the call has its final answer. Pieces of a model's answer go
  /// to `sink` as they come; when it returns false the call is cancelled.
  /// A failure stands in the result.
  wire::ResultT Run(const wire::CallT& call, const ChunkSink& sink);

  /// Ends a program and frees what it holds.
  wire::ResultT EndProgram(const wire::CallT& call);

 private:
  struct Turn;
  enum class Resolution : uint8_t;

  wire::ResultT RunTurn(Turn& turn, TurnHold hold);
  bool PreparePrompt(Turn& turn, TurnHold& hold);
  static bool MustRecordOutcome(const Turn& turn, const wire::ResultT& result);
  /// Settles what became of an attempt whose owner died before its outcome.
  Resolution ResolveOpenIntent(Turn& turn, const TurnHold& hold,
                               wire::ResultT* result);
  bool IsRegistered(const Intent& intent) const;
  /// Whether this process may act for the turn's partition now.
  bool MayServe(const Turn& turn) const;
  /// Waits a bounded time while no upstream takes work; null when none did.
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

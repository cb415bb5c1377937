#ifndef KNAPWEED_POLICY_CALL_QUEUE_H_
#define KNAPWEED_POLICY_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A call that waits at a sidecar. `ticket` identifies the call to the user of
/// the queue.
struct QueuedCall {
  uint64_t ticket = 0;
  uint64_t workspace_hash = 0;
  uint64_t program_hash = 0;
  double weight = 1;
  /// Tokens that the program has used so far across the fleet.
  uint64_t attained_tokens = 0;
  /// Tokens that the workspace has used so far across the fleet, as reported by
  /// its owner; zero when unknown.
  uint64_t workspace_tokens = 0;
  /// Estimated tokens that the call uses.
  uint64_t cost_tokens = 0;
  Ms queued_at;
  /// Zero when there is none.
  Ms deadline;
};

/// Parameters of the scheduling order.
struct CallQueueOptions {
  /// Calls and workspaces for which memory is reserved in the constructor.
  /// Beyond these the queue allocates.
  size_t reserve_calls = 1024;
  size_t reserve_workspaces = 64;
  /// Above this number, idle workspaces are evicted.
  size_t max_workspaces = 8192;
  /// Attained tokens that one ms of waiting offsets.
  double ageing_tokens_per_ms = 1;
  /// Upper bound, in tokens per unit of weight, on how far service on other
  /// upstreams can put a workspace behind the others.
  double max_lead_tokens = 100000;
  /// When false, the order is first come, first served (for comparison).
  bool fair = true;
};

/// The calls that wait for an upstream, in scheduling order: weighted fair
/// queueing across workspaces, then least attained service with ageing across
/// the programs of a workspace. Push, Pop, PopExpired and Remove take O(log n).
/// Not thread-safe.
class CallQueue {
 public:
  explicit CallQueue(const CallQueueOptions& options = {});
  ~CallQueue();
  CallQueue(CallQueue&&) noexcept;
  CallQueue& operator=(CallQueue&&) noexcept;

  /// Adds a call. Does nothing if its ticket is already queued.
  void Push(const QueuedCall& call);
  /// Removes and returns the call that runs next; none when the queue is empty.
  std::optional<QueuedCall> Pop(Ms now);
  /// Removes and returns a call whose deadline has passed at `now`, so that it
  /// can be failed at once; none when there is no such call.
  std::optional<QueuedCall> PopExpired(Ms now);
  /// Removes a cancelled call. Returns false when it is not queued.
  bool Remove(uint64_t ticket);
  /// Corrects the account of a workspace by the tokens that a call used beyond
  /// its `cost_tokens`; negative for a refund.
  void Settle(uint64_t workspace_hash, double weight, int64_t extra_tokens);
  /// Returns the tokens that would run before a new call of this workspace: all
  /// queued tokens, or fewer when the fair share of the workspace puts the call
  /// ahead of some.
  uint64_t TokensAhead(uint64_t workspace_hash, double weight) const;
  size_t size() const;
  uint64_t queued_tokens() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CALL_QUEUE_H_

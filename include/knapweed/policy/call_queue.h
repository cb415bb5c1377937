#ifndef KNAPWEED_POLICY_CALL_QUEUE_H_
#define KNAPWEED_POLICY_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A call that waits at a sidecar. `ticket` names it for the caller of the
/// queue.
struct QueuedCall {
  uint64_t ticket = 0;
  uint64_t workspace_hash = 0;
  uint64_t program_hash = 0;
  double weight = 1;
  /// Tokens that the program has used so far, fleet-wide.
  uint64_t attained_tokens = 0;
  /// Tokens that the workspace has used so far, fleet-wide, as the owner knows;
  /// zero when it doesn't.
  uint64_t workspace_tokens = 0;
  uint64_t cost_tokens = 0;
  Ms queued_at;
  /// Zero when there is none.
  Ms deadline;
};

/// Constants of the order.
struct CallQueueOptions {
  /// Calls and workspaces for which memory is set aside at the start; more of
  /// them allocate.
  size_t reserve_calls = 1024;
  size_t reserve_workspaces = 64;
  /// Idle workspaces are forgotten above this.
  size_t max_workspaces = 8192;
  /// A call that has waited this much longer makes up for one more attained
  /// token: (tokens per ms).
  double ageing_tokens_per_ms = 1;
  /// Bound on how far service elsewhere can put a workspace back, in tokens per
  /// unit of weight.
  double max_lead_tokens = 100000;
  /// False: first come, first served (for comparison).
  bool fair = true;
};

/// The calls that wait for an upstream, in the order in which they should run:
/// weighted fair across workspaces, least attained service across programs,
/// with ageing. Every operation is O(log n). Not safe from several threads.
class CallQueue {
 public:
  explicit CallQueue(const CallQueueOptions& options = {});
  ~CallQueue();
  CallQueue(CallQueue&&) noexcept;
  CallQueue& operator=(CallQueue&&) noexcept;

  /// Adds a call; a ticket that is queued already is left as it is.
  void Push(const QueuedCall& call);
  /// Takes the call that should run next.
  std::optional<QueuedCall> Pop(Ms now);
  /// Takes a call whose deadline has passed at `now`, so that it can get its
  /// answer at once.
  std::optional<QueuedCall> PopExpired(Ms now);
  /// Takes out a call that was cancelled. False when it is not queued.
  bool Remove(uint64_t ticket);
  /// Corrects a workspace's account by the tokens that a call used beyond its
  /// `cost_tokens`.
  void Settle(uint64_t workspace_hash, double weight, int64_t extra_tokens);
  /// Tokens that would run before a new call of this workspace: all that is
  /// queued, or less when the workspace's fair share brings it forward.
  uint64_t TokensAhead(uint64_t workspace_hash, double weight) const;
  size_t size() const;
  uint64_t queued_tokens() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CALL_QUEUE_H_

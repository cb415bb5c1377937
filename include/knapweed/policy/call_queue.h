#ifndef KNAPWEED_POLICY_CALL_QUEUE_H_
#define KNAPWEED_POLICY_CALL_QUEUE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

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
  /// Tokens that the workspace has used so far, fleet-wide, as the owner knows.
  uint64_t workspace_tokens = 0;
  uint64_t cost_tokens = 0;
  Ms queued_at;
  Ms deadline;
};

/// The calls that wait for an upstream, in the order in which they should run:
/// weighted fair across workspaces, least attained service across programs,
/// with ageing. Not safe from several threads.
class CallQueue {
 public:
  CallQueue();
  ~CallQueue();
  CallQueue(CallQueue&&) noexcept;
  CallQueue& operator=(CallQueue&&) noexcept;

  void Push(const QueuedCall& call);
  /// Takes the call that should run next.
  std::optional<QueuedCall> Pop(Ms now);
  /// Takes out a call that was cancelled or whose deadline passed. False when
  /// it is not queued.
  bool Remove(uint64_t ticket);
  /// Corrects a workspace's account by the tokens that a call used beyond its
  /// `cost_tokens`.
  void Settle(uint64_t workspace_hash, double weight, int64_t extra_tokens);
  size_t size() const;
  uint64_t queued_tokens() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_CALL_QUEUE_H_

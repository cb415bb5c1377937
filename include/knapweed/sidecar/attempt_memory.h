#ifndef KNAPWEED_SIDECAR_ATTEMPT_MEMORY_H_
#define KNAPWEED_SIDECAR_ATTEMPT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

/// The state in an AttemptReply for an attempt that has not ended; the other
/// states are those of RunState.
inline constexpr uint8_t kAttemptStateRunning = 3;

using SharedResult = std::shared_ptr<const wire::ResultT>;

enum class AttemptPhase : uint8_t {
  kNeverSeen,
  /// Queued or at the upstream.
  kRunning,
  kEnded,
  /// Asked for before it arrived; it may never run.
  kRefused,
  /// Seen once, and dropped from memory since, or perhaps so.
  kDropped,
};

/// What is known of an attempt. A result that took too much room is dropped
/// before its `run` state is.
struct AttemptView {
  AttemptPhase phase = AttemptPhase::kNeverSeen;
  RunState run = RunState::kNotRun;
  SharedResult result;
};

/// Bounds of the memory. `keep` must be longer than any caller goes on trying.
struct AttemptMemoryOptions {
  Ms retention = Seconds(600);
  size_t max_ended = 4096;
  size_t max_result_bytes = 16 << 20;
  /// Ids whose attempt was dropped are still recognised, at a few bytes each.
  size_t max_dropped_ids = 131072;
};

/// The attempts that came to a sidecar, so that none is passed on twice and
/// their owner's successor learns what became of them. Bounded in count, bytes
/// and time; what it no longer knows it never calls "never seen". Not safe from
/// several threads.
class AttemptMemory {
 public:
  AttemptMemory(const AttemptMemoryOptions& options, uint32_t partition_count);

  /// Finds an attempt that its owner sends, each id of which it makes only
  /// once.
  AttemptView Find(const AttemptId& attempt) const;
  /// Finds an attempt for somebody who can't know when it was sent. Where ids
  /// of the partition were forgotten, one that isn't found is not "never seen".
  AttemptView FindForSuccessor(const AttemptId& attempt,
                               PartitionId partition) const;
  /// Takes up an attempt that was never seen.
  void Begin(const AttemptId& attempt, PartitionId partition);
  /// Keeps what came of a running attempt.
  void End(const AttemptId& attempt, RunState run, SharedResult result, Ms now);
  /// Makes sure that an attempt that was never seen never runs.
  void Refuse(const AttemptId& attempt, PartitionId partition, Ms now);
  /// Drops what is older than the bounds allow.
  void Expire(Ms now);

  size_t size() const { return attempts_.size(); }
  size_t result_bytes() const { return result_bytes_; }
  size_t dropped_ids() const { return dropped_.size(); }

 private:
  struct Attempt {
    AttemptView view;
    PartitionId partition;
    Ms ended;
  };

  struct DroppedId {
    uint64_t id_hash = 0;
    PartitionId partition;
  };

  void RecordEnded(const AttemptId& attempt, Attempt& entry, Ms now);
  void DropOldest();
  void DropOldestResult();
  static size_t ResultBytes(const SharedResult& result);

  AttemptMemoryOptions options_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  /// Ended attempts, oldest first; the first `results_dropped_` of them have no
  /// result any more.
  std::deque<AttemptId> ended_;
  size_t results_dropped_ = 0;
  size_t result_bytes_ = 0;
  std::unordered_set<uint64_t> dropped_;
  std::deque<DroppedId> dropped_order_;
  /// Partitions of which even ids were forgotten.
  std::vector<bool> history_incomplete_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_ATTEMPT_MEMORY_H_

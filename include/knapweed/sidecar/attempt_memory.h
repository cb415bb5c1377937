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

/// AttemptReply.state of an attempt that is queued or running. An attempt that
/// has ended, or never runs, has its RunState as state.
inline constexpr uint8_t kAttemptStateRunning = 3;

/// A stored result, shared by the attempt memory and the replies made from it.
using SharedResult = std::shared_ptr<const wire::ResultT>;

/// Progress of an attempt, as far as the sidecar has a record of it.
enum class AttemptPhase : uint8_t {
  kNeverSeen,
  /// Queued or running at the upstream.
  kRunning,
  kEnded,
  /// The partition's next owner queried it before it arrived; it is refused if
  /// it arrives later.
  kRefused,
  /// Seen earlier, or possibly so, but its record was dropped. Its run state is
  /// unknown.
  kDropped,
};

/// The recorded state of an attempt. The result is null while the attempt runs
/// and after the result was dropped to save memory; `run` is kept longer than
/// the result.
struct AttemptView {
  AttemptPhase phase = AttemptPhase::kNeverSeen;
  RunState run = RunState::kNotRun;
  SharedResult result;
};

/// Limits of an AttemptMemory.
struct AttemptMemoryOptions {
  /// How long an ended attempt is kept. Must exceed the time for which any
  /// caller retries.
  Ms retention = Seconds(600);
  /// Ended attempts kept, with or without their result.
  size_t max_ended = 4096;
  size_t max_result_bytes = 16 << 20;
  /// Ids of dropped attempts that are still recognised. Each takes a few bytes,
  /// as only its hash is kept.
  size_t max_dropped_ids = 131072;
};

/// Records the attempts that reached a sidecar. The Dispatcher uses it to pass
/// each attempt on at most once, and to tell a partition's next owner how the
/// attempts of the former one ended. Limited in count, bytes and time. An
/// attempt that may have been dropped is reported as kDropped, not as
/// kNeverSeen. Not thread-safe.
class AttemptMemory {
 public:
  AttemptMemory(const AttemptMemoryOptions& options, uint32_t partition_count);

  /// Looks up an attempt sent by the owner of its partition. Owners never reuse
  /// an id, so an id without a record is kNeverSeen.
  AttemptView Find(const AttemptId& attempt) const;
  /// Looks up an attempt for the partition's next owner, which can't tell when
  /// the attempt was sent. If ids of this partition were dropped, an id without
  /// a record may be one of them and is kDropped.
  AttemptView FindForSuccessor(const AttemptId& attempt,
                               PartitionId partition) const;
  /// Records a new attempt as running.
  void Begin(const AttemptId& attempt, PartitionId partition);
  /// Records the result of a running attempt. Ignored if the attempt is not
  /// running.
  void End(const AttemptId& attempt, RunState run, SharedResult result, Ms now);
  /// Records that an attempt is refused, so that it does not run if it arrives
  /// later. Ignored if the attempt has a record.
  void Refuse(const AttemptId& attempt, PartitionId partition, Ms now);
  /// Drops attempts that ended `retention` or longer ago.
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

  /// A dropped attempt whose id is still recognised.
  struct DroppedId {
    uint64_t id_hash = 0;
    PartitionId partition;
  };

  /// Appends to the ended attempts and enforces the limits on them.
  void RecordEnded(const AttemptId& attempt, Attempt& record, Ms now);
  void DropOldest();
  void DropOldestResult();
  static size_t ResultBytes(const SharedResult& result);

  AttemptMemoryOptions options_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  /// Ended attempts, oldest first. The first `results_dropped_` of them have no
  /// result any more.
  std::deque<AttemptId> ended_;
  size_t results_dropped_ = 0;
  size_t result_bytes_ = 0;
  /// Hashes of the dropped ids that are still recognised; `dropped_order_` has
  /// them oldest first.
  std::unordered_set<uint64_t> dropped_;
  std::deque<DroppedId> dropped_order_;
  /// By partition: whether the ids of some of its attempts are no longer
  /// recognised.
  std::vector<bool> history_incomplete_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_ATTEMPT_MEMORY_H_

#ifndef KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_
#define KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/settings.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// An entry as its member row describes it. `incarnation` is new with each
/// start.
struct Member {
  MemberId id;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  bool leaving = false;
};

/// A sidecar as it registered itself.
struct SidecarRecord {
  UpstreamId upstream;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  std::string pool;
  std::vector<std::string> models;
  bool leaving = false;
};

/// Called after other members closed this process's fence and all its
/// partitions were lost, with the incarnation under which it joins anew. After
/// an error it is called again, with another incarnation.
using RejoinHandler = std::function<absl::Status(const std::string&)>;

struct MembershipOptions {
  Member self;
  Ms lease = Seconds(5);
  /// Renewals are jittered downwards by up to a fifth of this.
  Ms renew_every = Ms{1500};
  /// How often the other members' rows and the change rows are read.
  Ms scan_every = Ms{500};
  /// What clocks may drift apart during one lease.
  Ms max_clock_drift = Ms{100};
  uint32_t partition_count = 64;
  /// Partitions given to a better placed member in one round.
  uint32_t max_moves_per_round = 8;
  /// Whether calls of a partition are in flight; such a one stays where it is
  /// for up to `max_busy_delay`, since giving it away refuses its callers until
  /// those calls have ended.
  std::function<bool(PartitionId)> busy;
  Ms max_busy_delay = Seconds(60);
  /// Without it a fenced process stays fenced and owns nothing.
  RejoinHandler on_rejoin;
};

/// Who owns a partition, as far as this process knows.
struct PartitionOwner {
  Member member;
  Epoch epoch;
  /// True only while this process owns the partition and its lease holds by the
  /// monotonic clock.
  bool self = false;
  /// True when this process owned the partition up to the end of its lease and
  /// has heard of no other owner since, as in an outage of the store.
  /// Idempotent work may go on: its fence decides what can still be recorded.
  bool self_lease_expired = false;
};

/// One run of a member and how often it has renewed its lease.
struct MemberRenewals {
  Member member;
  uint64_t renewal_count = 0;
};

/// Called with a partition and its new epoch after this process gained it,
/// before it is served; recovers the partition's programs. After an error it is
/// called again, until it succeeds or the partition is lost. `old_owner` is the
/// incarnation that owned it before, empty when there was none.
using GainHandler = std::function<absl::Status(PartitionId, Epoch,
                                               const std::string& old_owner)>;
/// Called before this process gives a partition away, and after it lost one.
/// Blocks until calls in flight have ended and are recorded. After an error the
/// partition is not given away, and the gain handler is called again.
using LossHandler = std::function<absl::Status(PartitionId)>;

/// Keeps this process's lease, watches the others', and divides the partitions
/// among live members.
///
/// Rows: "member/ID" is the lease, rewritten with each renewal;
/// "fence/INCARNATION" is open until the incarnation left or was taken over
/// from, and every commit of its journal is conditional on it; "partition/N"
/// names owner, epoch and the logs that hold the partition's data.
class Membership {
 public:
  Membership(TableService table, const Clock& clock, MembershipOptions options,
             GainHandler on_gain, LossHandler on_loss);
  ~Membership();

  /// Registers, and starts renewing and watching on its own threads. After a
  /// crash it waits for the lease of its own earlier process; AlreadyExists
  /// when another process of the same id keeps renewing.
  absl::Status Start();
  /// Hands all partitions over and leaves; blocks until done or the deadline.
  /// DeadlineExceeded when something was left for others to take over.
  absl::Status Leave(Ms timeout);

  std::optional<PartitionOwner> OwnerOf(PartitionId partition) const;
  /// Whether the lease holds now, by the monotonic clock.
  bool LeaseHolds() const;
  /// When the lease ends unless it is renewed, on the monotonic clock.
  Ms LeaseUntil() const;
  /// Whether other members closed this process's fence and it has not joined
  /// anew.
  bool Fenced() const;
  std::string Incarnation() const;
  std::vector<Member> Members() const;
  /// Every member's renewals so far, as last read from the store.
  std::vector<MemberRenewals> RenewalCounts() const;
  std::vector<SidecarRecord> Sidecars() const;
  /// A hint from a peer or a broken connection that something changed; the
  /// watcher looks at once.
  void RequestScan();
  std::string DumpJson() const;

  /// The single steps, for tests and for those who bring their own threads.
  /// `Start` is `Join` and then `Renew`, `Watch`, `GainPending` and
  /// `Rebalance`, each in a loop on a thread of its own.
  /// `Join` returns AlreadyExists while an earlier process of the same id may
  /// hold its lease.
  absl::Status Join();
  /// Renews the lease once.
  absl::Status Renew();
  /// Reads the rows, fences members whose lease lapsed, and claims partitions.
  /// Does nothing but read while the own lease does not hold.
  absl::Status Watch();
  /// Calls the gain handler for partitions that are owned and not yet served.
  void GainPending();
  /// Gives partitions to members that rendezvous hashing puts before this one,
  /// such as one that has just joined.
  void Rebalance();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Writes or rewrites a sidecar's row; used by the sidecar at its start and
/// when it leaves.
absl::Status RegisterSidecar(const TableService& table,
                             const SidecarRecord& record);
absl::Status RemoveSidecar(const TableService& table,
                           const SidecarRecord& record);
/// The epoch of every partition, in the order of their numbers, for a sidecar
/// that starts with nothing remembered; 0 where no one ever owned it.
absl::StatusOr<std::vector<Epoch>> ReadEpochFloor(const TableService& table,
                                                  uint32_t partition_count);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_

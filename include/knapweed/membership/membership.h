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

/// An entry process as described by its member row. Each start of the process
/// has a new `incarnation`.
struct Member {
  MemberId id;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  bool leaving = false;
};

/// A sidecar as described by the row that it registered.
struct SidecarRecord {
  UpstreamId upstream;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  std::string pool;
  std::vector<std::string> models;
  bool leaving = false;
};

/// Called with the new incarnation before this process rejoins, after another
/// member fenced it and it lost all its partitions. After an error it is called
/// again with another incarnation.
using RejoinHandler = std::function<absl::Status(const std::string&)>;

struct MembershipOptions {
  Member self;
  Ms lease = Seconds(5);
  /// Interval between lease renewals, shortened by a random jitter of up to a
  /// fifth.
  Ms renew_every = Ms{1500};
  /// Interval between scans of the member rows and the change rows.
  Ms scan_every = Ms{500};
  /// Largest assumed drift between two members' clocks during one lease.
  Ms max_clock_drift = Ms{100};
  uint32_t partition_count = 64;
  /// Limit on the partitions handed to their preferred owners by one
  /// `Rebalance`.
  uint32_t max_moves_per_round = 8;
  /// Returns whether calls of a partition are in flight. `Rebalance` delays the
  /// handover of such a partition by up to `max_busy_delay`, since a handover
  /// refuses new calls until those in flight have ended.
  std::function<bool(PartitionId)> busy;
  Ms max_busy_delay = Seconds(60);
  /// When empty, a fenced process stays fenced and owns no partitions.
  RejoinHandler on_rejoin;
};

/// The owner of a partition according to the last rows read.
struct PartitionOwner {
  Member member;
  Epoch epoch;
  /// True only while this process serves the partition and its lease holds by
  /// the monotonic clock.
  bool self = false;
  /// True when this process served the partition until its lease expired and
  /// has read of no other owner since, as during an outage of the store.
  /// Idempotent work may continue: the fence row determines whether its results
  /// can still be recorded.
  bool self_lease_expired = false;
};

/// A member's incarnation and how often it has renewed its lease.
struct MemberRenewals {
  Member member;
  uint64_t renewal_count = 0;
};

/// Called with a partition and its new epoch after this process became its
/// owner and before it serves the partition; recovers the partition's programs.
/// After an error it is called again, until it succeeds or the partition is
/// lost. `old_owner` is the previous owner's incarnation, empty when there was
/// none.
using GainHandler = std::function<absl::Status(PartitionId, Epoch,
                                               const std::string& old_owner)>;
/// Called before this process hands a partition over, and after it lost one.
/// Blocks until the calls in flight have ended and are recorded. After an error
/// the partition is not handed over, and the gain handler is called again.
using LossHandler = std::function<absl::Status(PartitionId)>;

/// Renews this process's lease, detects members whose leases expired, and
/// divides the partitions among the live members. Each entry process owns one.
/// The const functions are thread-safe and don't access the store.
///
/// Rows in the table service:
/// - "member/ID" is the member's lease, rewritten by each renewal.
/// - "fence/INCARNATION" is open until the incarnation leaves or is fenced;
///   every commit of its journal is conditional on it.
/// - "partition/N" holds the owner, the epoch and the logs that contain the
///   partition's data.
class Membership {
 public:
  Membership(TableService table, const Clock& clock, MembershipOptions options,
             GainHandler on_gain, LossHandler on_loss);
  ~Membership();

  /// Joins and starts the background threads. After a crash it blocks until the
  /// lease of the earlier process with this id has expired, for at most twice
  /// the lease and clock drift. Returns AlreadyExists when another process with
  /// the same id keeps renewing.
  absl::Status Start();
  /// Hands over all partitions and leaves; blocks until this is done or
  /// `timeout` has passed. Returns DeadlineExceeded when some partitions were
  /// not handed over; the other members claim those.
  absl::Status Leave(Ms timeout);

  /// Returns nullopt when the partition has no owner or its owner is not among
  /// the members.
  std::optional<PartitionOwner> OwnerOf(PartitionId partition) const;
  /// Returns whether the lease holds now, by the monotonic clock.
  bool LeaseHolds() const;
  /// Returns the time on the monotonic clock at which the lease ends unless it
  /// is renewed.
  Ms LeaseUntil() const;
  /// Returns whether another member fenced this process and it has not rejoined
  /// since.
  bool Fenced() const;
  std::string Incarnation() const;
  std::vector<Member> Members() const;
  /// Returns every member's number of renewals as last read from the store.
  std::vector<MemberRenewals> RenewalCounts() const;
  std::vector<SidecarRecord> Sidecars() const;
  /// Makes the watch thread scan the rows immediately. Called when a peer or a
  /// broken connection indicates that the rows may have changed.
  void RequestScan();
  std::string DumpJson() const;

  // The single steps, for tests and for callers with threads of their own.
  // `Start` calls `Join` and then runs `Renew`, `Watch`, `GainPending` and
  // `Rebalance`, each in a loop on its own thread.

  /// Writes the member row and opens the fence. Returns AlreadyExists while an
  /// earlier process with the same id may hold its lease.
  absl::Status Join();
  /// Renews the lease once. When this process was fenced, calls the loss
  /// handler for the partitions that it served, tries to rejoin and returns
  /// FailedPrecondition.
  absl::Status Renew();
  /// Reads the rows and drops the partitions that have another owner. While
  /// this process's lease holds, also fences members whose leases expired and
  /// claims partitions without a live owner.
  absl::Status Watch();
  /// Calls the gain handler for the partitions that this process owns but does
  /// not serve yet.
  void GainPending();
  /// Hands over partitions whose preferred owner is another member, such as one
  /// that has just joined.
  void Rebalance();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Writes a sidecar's row, replacing any earlier one; called by the sidecar at
/// its start and when it leaves.
absl::Status RegisterSidecar(const TableService& table,
                             const SidecarRecord& record);
/// Deletes a sidecar's row unless another incarnation has replaced it.
absl::Status RemoveSidecar(const TableService& table,
                           const SidecarRecord& record);
/// Returns the epoch of every partition, indexed by partition number; 0 where
/// the partition never had an owner. A sidecar that starts without stored state
/// uses them as its lowest valid epochs.
absl::StatusOr<std::vector<Epoch>> ReadEpochFloor(const TableService& table,
                                                  uint32_t partition_count);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_

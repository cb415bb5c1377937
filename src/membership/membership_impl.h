#ifndef KNAPWEED_MEMBERSHIP_MEMBERSHIP_IMPL_H_
#define KNAPWEED_MEMBERSHIP_MEMBERSHIP_IMPL_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/membership/failure_detector.h"
#include "knapweed/membership/membership.h"
#include "knapweed/membership/rows.h"

namespace knapweed {

/// A partition's row with the version at which it was read.
struct VersionedPartition {
  PartitionRow row;
  uint64_t version = 0;
};

/// A snapshot of the rows as last read or written by this process; immutable
/// once published. Both member maps are keyed by incarnation.
struct MembershipView {
  std::string self_incarnation;
  std::map<std::string, MemberRow> members;
  std::map<std::string, uint64_t> member_versions;
  std::vector<std::optional<VersionedPartition>> partitions;
  std::vector<SidecarRecord> sidecars;
};

/// State and steps of `Membership`, grouped by the file that implements them.
struct Membership::Impl {
  Impl(TableService table_in, const Clock& clock_in,
       MembershipOptions options_in, GainHandler gain, LossHandler loss);

  // lease.cc
  absl::Status Join();
  absl::Status TryJoin();
  bool EarlierLeaseExpired(const MemberRow& row, uint64_t version);
  absl::Status Renew();
  absl::Status ResolveRenewalConflict();
  void OnFenced();
  absl::Status CloseOwnFence();
  bool LeaseHolds() const;
  Transaction RenewalTransaction(const MemberRow& row) const;

  // watch.cc
  absl::Status Watch();
  absl::Status ReadRows(Ms now);
  absl::Status ReadPartitions(MembershipView& view);
  absl::Status ReadSidecars(MembershipView& view);
  void FenceExpired(Ms now);
  bool FenceMember(const MemberRow& row, uint64_t version);
  void ClaimUnowned();
  std::optional<RowCondition> ClosedFenceCondition(
      const std::string& incarnation);
  void ClaimAll(std::span<const PartitionId> partitions,
                const std::map<std::string, RowCondition>& fences);
  absl::Status Claim(std::span<const PartitionId> partitions,
                     const std::map<std::string, RowCondition>& fences);
  void Rebalance();
  absl::Status Release(PartitionId partition, const Member& target);
  absl::Status HandOver(PartitionId partition, const Member& target);
  void DropLost();
  void GainPending();
  void GainOne(PartitionId partition);

  // membership.cc
  std::optional<PartitionOwner> OwnerOf(PartitionId partition) const;
  std::vector<Member> Candidates() const;
  std::shared_ptr<const MembershipView> View() const {
    std::lock_guard<std::mutex> lock(pointer_mu);
    return view;
  }
  void Publish(std::shared_ptr<const MembershipView> next);
  bool Owns(PartitionId partition) const;
  void StartThreads();
  void StopThreads();
  void Sleep(std::unique_lock<std::mutex>& lock, Ms span, bool* requested);
  void RunRenew();
  void RunWatch();
  void RunGain();
  void RunRebalance();

  const TableService table;
  const Clock& clock;
  const MembershipOptions options;
  const GainHandler on_gain;
  const LossHandler on_loss;

  /// Guards only the pointer `view`, while it is copied or swapped. Used
  /// instead of std::atomic<std::shared_ptr>, which is lock-based as well and
  /// whose load releases its lock with relaxed ordering (libstdc++ 12).
  mutable std::mutex pointer_mu;
  std::shared_ptr<const MembershipView> view;
  std::atomic<int64_t> lease_until{0};
  std::atomic<bool> fenced{false};
  std::atomic<bool> leaving{false};
  std::atomic<bool> has_left{false};
  /// The epoch under which this process serves each partition; 0 when it does
  /// not.
  std::vector<std::atomic<uint64_t>> served_epochs;
  /// Whether each partition is being handed over; `GainPending` skips it then.
  std::vector<std::atomic<bool>> releasing;

  /// Serialises joining, renewing, leaving and the handling of being fenced.
  std::mutex lease_mu;
  MemberRow own_row;
  uint64_t own_version = 0;
  /// The lease of an earlier process with the same id, keyed by incarnation,
  /// and the time since which its row has been read unchanged.
  std::optional<LeaseObservation> earlier_lease;
  Ms earlier_unchanged_since;

  /// Serialises `Watch`: reading the rows, fencing members and claiming
  /// partitions.
  std::mutex watch_mu;
  FailureDetector detector;
  std::map<std::string, uint64_t> change_versions;
  /// Makes the next scan read all partition and sidecar rows, even when the
  /// change rows are unchanged.
  std::atomic<bool> full_read_pending{true};

  /// Serialises the updates of the view, and the check of the view with which
  /// `GainOne` sets `served_epochs`.
  std::mutex view_mu;
  /// Held while the gain handler runs.
  std::mutex gain_mu;

  /// Serialises handing partitions over.
  std::mutex rebalance_mu;
  /// The time since which each partition's preferred owner has been another
  /// member.
  std::vector<std::optional<Ms>> move_wanted_since;

  /// Guards the members below except `threads`.
  std::mutex thread_mu;
  std::condition_variable wake;
  bool stop = false;
  bool scan_requested = false;
  bool gain_requested = false;
  std::mt19937_64 random;
  std::vector<std::thread> threads;
};

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_MEMBERSHIP_IMPL_H_

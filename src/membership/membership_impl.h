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

/// A partition's row with the version at which it was seen.
struct VersionedPartition {
  PartitionRow row;
  uint64_t version = 0;
};

/// What this process knows of the rows; immutable once published.
struct MembershipView {
  std::string self_incarnation;
  std::map<std::string, MemberRow> members;  // by incarnation
  std::map<std::string, uint64_t> member_versions;
  std::vector<std::optional<VersionedPartition>> partitions;
  std::vector<SidecarRecord> sidecars;
};

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

  /// Guards the pointer alone, for as long as a copy of it takes. The library's
  /// atomic shared pointer is a lock as well, and its load releases that lock
  /// without ordering (libstdc++ 12).
  mutable std::mutex pointer_mu;
  std::shared_ptr<const MembershipView> view;
  std::atomic<int64_t> lease_until{0};
  std::atomic<bool> fenced{false};
  std::atomic<bool> leaving{false};
  std::atomic<bool> has_left{false};
  /// The epoch under which each partition is served; 0 when it is not.
  std::vector<std::atomic<uint64_t>> served_epochs;
  /// Partitions on their way to another member; not to be gained again.
  std::vector<std::atomic<bool>> releasing;

  /// Serialises joining, renewing and what follows a fence.
  std::mutex lease_mu;
  MemberRow own_row;
  uint64_t own_version = 0;
  std::optional<LeaseObservation> earlier_lease;
  Ms earlier_unchanged_since;

  /// Serialises reading the rows and changing partitions.
  std::mutex watch_mu;
  FailureDetector detector;
  std::map<std::string, uint64_t> change_versions;
  std::atomic<bool> full_read_pending{true};

  /// Guards the publication of views and `served`.
  std::mutex view_mu;
  std::mutex gain_mu;

  /// Serialises giving partitions away.
  std::mutex rebalance_mu;
  /// Since when each partition has had a better place.
  std::vector<std::optional<Ms>> move_wanted_since;

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

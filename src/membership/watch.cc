#include <algorithm>

#include "knapweed/base/log.h"
#include "knapweed/membership/assignment.h"
#include "membership_impl.h"

namespace knapweed {
namespace {

constexpr Logger kLog("membership");
/// A member waits one scan interval per rank before it fences an expired
/// member, so that the first in rank normally does it alone; ranks above this
/// one wait no longer than this one.
constexpr size_t kMaxWaitRank = 3;

uint64_t VersionOf(const std::map<std::string, uint64_t>& versions,
                   std::string_view key) {
  const auto it = versions.find(std::string(key));
  return it == versions.end() ? 0 : it->second;
}

}  // namespace

absl::Status Membership::Impl::Watch() {
  std::lock_guard<std::mutex> lock(watch_mu);
  const Ms now = clock.Now();
  absl::Status status = ReadRows(now);
  if (!status.ok()) return status;
  DropLost();
  // Only a member whose lease holds may change rows. The clock is read again,
  // since this process may have been paused during the reads.
  if (!LeaseHolds()) return absl::OkStatus();
  FenceExpired(clock.Now());
  if (!leaving.load()) ClaimUnowned();
  return absl::OkStatus();
}

absl::Status Membership::Impl::ReadRows(Ms now) {
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kMemberPrefix);
  if (!rows.ok()) return rows.status();
  const absl::StatusOr<std::vector<Row>> changes = table.scan(kChangePrefix);
  if (!changes.ok()) return changes.status();
  std::map<std::string, uint64_t> versions;
  for (const Row& it : *changes) versions[it.key] = it.version;

  MembershipView next = *View();
  next.members.clear();
  next.member_versions.clear();
  std::vector<LeaseObservation> observations;
  for (const Row& it : *rows) {
    const auto row = DecodeMember(it.value);
    if (!row) continue;
    next.members[row->member.incarnation] = *row;
    next.member_versions[row->member.incarnation] = it.version;
    observations.push_back({row->member.incarnation, it.version, row->lease});
  }
  detector.Observe(observations, now);

  const uint64_t partitions = VersionOf(versions, kPartitionChangeKey);
  if (full_read_pending ||
      partitions != VersionOf(change_versions, kPartitionChangeKey)) {
    absl::Status status = ReadPartitions(next);
    if (!status.ok()) return status;
  }
  const uint64_t sidecars = VersionOf(versions, kSidecarChangeKey);
  if (full_read_pending ||
      sidecars != VersionOf(change_versions, kSidecarChangeKey)) {
    absl::Status status = ReadSidecars(next);
    if (!status.ok()) return status;
  }
  full_read_pending = false;
  change_versions = std::move(versions);
  std::lock_guard<std::mutex> lock(view_mu);
  next.self_incarnation = View()->self_incarnation;
  Publish(std::make_shared<MembershipView>(std::move(next)));
  return absl::OkStatus();
}

absl::Status Membership::Impl::ReadPartitions(MembershipView& next) {
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kPartitionPrefix);
  if (!rows.ok()) return rows.status();
  for (const Row& it : *rows) {
    const auto partition = PartitionOfKey(it.key);
    auto row = DecodePartition(it.value);
    if (!partition || !row || partition->n >= options.partition_count) continue;
    next.partitions[partition->n] =
        VersionedPartition{std::move(*row), it.version};
  }
  return absl::OkStatus();
}

absl::Status Membership::Impl::ReadSidecars(MembershipView& next) {
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kSidecarPrefix);
  if (!rows.ok()) return rows.status();
  next.sidecars.clear();
  for (const Row& it : *rows) {
    auto record = DecodeSidecar(it.value);
    if (record) next.sidecars.push_back(std::move(*record));
  }
  return absl::OkStatus();
}

void Membership::Impl::FenceExpired(Ms now) {
  const auto current = View();
  std::vector<Member> live;
  std::vector<const MemberRow*> expired;
  for (const auto& [incarnation, row] : current->members) {
    const bool self = incarnation == current->self_incarnation;
    if (!self && detector.ExpiredFor(incarnation, now)) {
      expired.push_back(&row);
    } else {
      live.push_back(row.member);
    }
  }
  std::vector<std::string> fenced_incarnations;
  for (const MemberRow* it : expired) {
    const std::string& incarnation = it->member.incarnation;
    const size_t rank = RankFor(incarnation, options.self.id, live);
    const Ms wait =
        options.scan_every * static_cast<int64_t>(std::min(rank, kMaxWaitRank));
    if (*detector.ExpiredFor(incarnation, now) < wait) continue;
    const uint64_t version = current->member_versions.at(incarnation);
    if (FenceMember(*it, version)) fenced_incarnations.push_back(incarnation);
  }
  if (fenced_incarnations.empty()) return;
  std::lock_guard<std::mutex> lock(view_mu);
  auto next = std::make_shared<MembershipView>(*View());
  for (const std::string& it : fenced_incarnations) next->members.erase(it);
  Publish(std::move(next));
}

bool Membership::Impl::FenceMember(const MemberRow& row, uint64_t version) {
  const std::string key = MemberKey(row.member.id);
  const std::string fence = FenceKey(row.member.incarnation);
  const std::string self = View()->self_incarnation;
  Transaction transaction;
  transaction.conditions.push_back({key, version});
  transaction.conditions.push_back({fence, kOpenFenceVersion});
  transaction.conditions.push_back({FenceKey(self), kOpenFenceVersion});
  transaction.writes.push_back({fence, "fenced by " + self});
  transaction.writes.push_back({key, std::nullopt});
  transaction.writes.push_back({std::string(kPartitionChangeKey), key});
  absl::Status status = CommitAndConfirm(table, transaction, fence);
  if (!status.ok()) return false;
  kLog.Info("Fenced a member whose lease expired.",
            {{"member", row.member.id.value},
             {"incarnation", row.member.incarnation}});
  return true;
}

void Membership::Impl::ClaimUnowned() {
  const auto current = View();
  const std::vector<Member> candidates = Candidates();
  std::map<std::string, RowCondition> fences;
  std::vector<PartitionId> unowned;
  for (uint32_t n = 0; n < options.partition_count; ++n) {
    const auto& partition = current->partitions[n];
    if (partition && current->members.contains(partition->row.incarnation)) {
      continue;
    }
    const Member* target = PreferredOwner(PartitionId{n}, candidates);
    if (target == nullptr || target->id != options.self.id) continue;
    if (partition && !fences.contains(partition->row.incarnation)) {
      const auto fence = ClosedFenceCondition(partition->row.incarnation);
      if (!fence) continue;
      fences[partition->row.incarnation] = *fence;
    }
    unowned.push_back(PartitionId{n});
  }
  if (!unowned.empty()) ClaimAll(unowned, fences);
}

/// Returns the condition that an incarnation's fence is closed; nullopt while
/// the fence is open or when it could not be read.
std::optional<RowCondition> Membership::Impl::ClosedFenceCondition(
    const std::string& incarnation) {
  const std::string key = FenceKey(incarnation);
  const absl::StatusOr<Row> row = table.get(key);
  if (absl::IsNotFound(row.status())) return RowCondition{key, 0};
  if (!row.ok() || row->version == kOpenFenceVersion) return std::nullopt;
  return RowCondition{key, row->version};
}

/// Claims the partitions in one transaction. When it is aborted because another
/// member changed one of the rows, claims each half separately.
void Membership::Impl::ClaimAll(
    std::span<const PartitionId> partitions,
    const std::map<std::string, RowCondition>& fences) {
  absl::Status status = Claim(partitions, fences);
  if (status.ok()) return;
  full_read_pending = true;
  if (!absl::IsAborted(status) || partitions.size() == 1) return;
  const size_t half = partitions.size() / 2;
  ClaimAll(partitions.first(half), fences);
  ClaimAll(partitions.subspan(half), fences);
}

absl::Status Membership::Impl::Claim(
    std::span<const PartitionId> partitions,
    const std::map<std::string, RowCondition>& fences) {
  const auto current = View();
  Member self = options.self;
  self.incarnation = current->self_incarnation;
  Transaction transaction;
  transaction.conditions.push_back(
      {FenceKey(self.incarnation), kOpenFenceVersion});
  for (const auto& [incarnation, fence] : fences) {
    transaction.conditions.push_back(fence);
  }
  std::map<uint32_t, VersionedPartition> claimed;
  for (const PartitionId it : partitions) {
    const auto& old = current->partitions[it.n];
    VersionedPartition next = old.value_or(VersionedPartition{});
    next.row = WithOwner(std::move(next.row), self);
    const std::string key = PartitionKey(it);
    transaction.conditions.push_back({key, next.version});
    transaction.writes.push_back({key, EncodePartition(next.row)});
    ++next.version;
    claimed[it.n] = std::move(next);
  }
  transaction.writes.push_back(
      {std::string(kPartitionChangeKey), self.incarnation});
  absl::Status status =
      CommitAndConfirm(table, transaction, PartitionKey(partitions.front()));
  if (!status.ok()) return status;
  kLog.Info("Claimed partitions.", {{"count", partitions.size()}});
  std::lock_guard<std::mutex> lock(view_mu);
  auto next = std::make_shared<MembershipView>(*View());
  for (auto& [n, it] : claimed) next->partitions[n] = std::move(it);
  Publish(std::move(next));
  return status;
}

void Membership::Impl::Rebalance() {
  std::lock_guard<std::mutex> lock(rebalance_mu);
  const std::vector<Member> candidates = Candidates();
  uint32_t moves = 0;
  for (uint32_t n = 0; n < options.partition_count; ++n) {
    if (leaving.load() || !LeaseHolds()) return;
    const PartitionId partition{n};
    const Member* target = nullptr;
    if (served_epochs[n].load() != 0 && Owns(partition)) {
      target = PreferredOwner(partition, candidates);
    }
    if (target == nullptr || target->id == options.self.id) {
      move_wanted_since[n].reset();
      continue;
    }
    if (!move_wanted_since[n]) move_wanted_since[n] = clock.Now();
    const bool may_wait =
        clock.Now() - *move_wanted_since[n] < options.max_busy_delay;
    if (may_wait && options.busy && options.busy(partition)) continue;
    if (++moves > options.max_moves_per_round) return;
    absl::Status status = Release(partition, *target);
    if (!status.ok()) return;
  }
}

absl::Status Membership::Impl::Release(PartitionId partition,
                                       const Member& target) {
  releasing[partition.n].store(true);
  {
    // Waits for a running gain handler, which may be recovering this partition.
    std::lock_guard<std::mutex> lock(gain_mu);
    served_epochs[partition.n].store(0);
  }
  absl::Status status = on_loss(partition);
  if (status.ok()) status = HandOver(partition, target);
  if (!status.ok()) full_read_pending = true;
  releasing[partition.n].store(false);
  return status;
}

absl::Status Membership::Impl::HandOver(PartitionId partition,
                                        const Member& target) {
  const std::string key = PartitionKey(partition);
  const std::string self = View()->self_incarnation;
  const absl::StatusOr<Row> row = table.get(key);
  if (!row.ok()) return row.status();
  const auto old = DecodePartition(row->value);
  if (!old || old->incarnation != self) {
    return absl::AbortedError("the partition has another owner");
  }
  const VersionedPartition next{WithOwner(*old, target), row->version + 1};
  Transaction transaction;
  transaction.conditions = {{key, row->version},
                            {FenceKey(self), kOpenFenceVersion},
                            {FenceKey(target.incarnation), kOpenFenceVersion}};
  transaction.writes = {{key, EncodePartition(next.row)},
                        {std::string(kPartitionChangeKey), key}};
  absl::Status status = CommitAndConfirm(table, transaction, key);
  if (!status.ok()) return status;
  std::lock_guard<std::mutex> lock(view_mu);
  auto view_next = std::make_shared<MembershipView>(*View());
  view_next->partitions[partition.n] = next;
  Publish(std::move(view_next));
  kLog.Info("Handed over a partition.", {{"partition", partition.n},
                                         {"to", target.id.value},
                                         {"epoch", next.row.epoch.n}});
  return status;
}

void Membership::Impl::DropLost() {
  for (uint32_t n = 0; n < options.partition_count; ++n) {
    const PartitionId partition{n};
    if (served_epochs[n].load() == 0 || Owns(partition)) continue;
    served_epochs[n].store(0);
    // An error is ignored: calls still in flight can no longer be recorded.
    on_loss(partition).IgnoreError();
  }
}

void Membership::Impl::GainPending() {
  std::lock_guard<std::mutex> lock(gain_mu);
  for (uint32_t n = 0; n < options.partition_count; ++n) {
    const PartitionId partition{n};
    if (served_epochs[n].load() != 0 || releasing[n].load()) continue;
    if (Owns(partition) && LeaseHolds()) GainOne(partition);
  }
}

void Membership::Impl::GainOne(PartitionId partition) {
  const PartitionRow row = View()->partitions[partition.n]->row;
  std::string old_owner;
  for (const PartitionSource& it : row.sources) {
    if (it.incarnation != row.incarnation) old_owner = it.incarnation;
  }
  absl::Status status = on_gain(partition, row.epoch, old_owner);
  if (!status.ok()) {
    kLog.Warning("Recovery of a gained partition failed; will retry.",
                 {{"partition", partition.n}, {"error", status.ToString()}});
    return;
  }
  bool lost = false;
  {
    std::lock_guard<std::mutex> lock(view_mu);
    const auto& now = View()->partitions[partition.n];
    lost = !Owns(partition) || now->row.epoch != row.epoch;
    if (!lost) served_epochs[partition.n].store(row.epoch.n);
  }
  if (lost) on_loss(partition).IgnoreError();
}

}  // namespace knapweed

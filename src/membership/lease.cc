#include "knapweed/base/log.h"
#include "membership_impl.h"

namespace knapweed {
namespace {

constexpr Logger kLog("membership");
constexpr int kJoinAttempts = 5;

}  // namespace

bool Membership::Impl::LeaseHolds() const {
  return !has_left.load() && clock.Now().count < lease_until.load();
}

Transaction Membership::Impl::RenewalTransaction(const MemberRow& row) const {
  Transaction transaction;
  const std::string key = MemberKey(row.member.id);
  transaction.conditions.push_back({key, own_version});
  transaction.writes.push_back({key, EncodeMember(row)});
  return transaction;
}

absl::Status Membership::Impl::Join() {
  std::lock_guard<std::mutex> lock(lease_mu);
  absl::Status status;
  for (int i = 0; i < kJoinAttempts; ++i) {
    status = TryJoin();
    if (!absl::IsAborted(status)) break;
  }
  if (!status.ok()) return status;
  kLog.Info("Joined.", {{"member", own_row.member.id.value},
                        {"incarnation", own_row.member.incarnation}});
  return status;
}

absl::Status Membership::Impl::TryJoin() {
  const std::string key = MemberKey(own_row.member.id);
  const std::string fence = FenceKey(own_row.member.incarnation);
  const absl::StatusOr<Row> old = table.get(key);
  if (!old.ok() && !absl::IsNotFound(old.status())) return old.status();

  Transaction transaction;
  const uint64_t old_version = old.ok() ? old->version : 0;
  transaction.conditions.push_back({key, old_version});
  const auto old_row = old.ok() ? DecodeMember(old->value) : std::nullopt;
  const bool joined_before =
      old_row && old_row->member.incarnation == own_row.member.incarnation;
  if (joined_before) {
    // An earlier attempt took effect, but its response was lost.
    own_row.renewal_count = old_row->renewal_count;
  } else {
    transaction.conditions.push_back({fence, 0});
    transaction.writes.push_back({fence, "open"});
  }
  if (old_row && !joined_before) {
    if (!EarlierLeaseExpired(*old_row, old_version)) {
      return absl::AlreadyExistsError(
          "a process with this member's id may still hold its lease");
    }
    const std::string old_fence = FenceKey(old_row->member.incarnation);
    transaction.conditions.push_back({old_fence, kOpenFenceVersion});
    transaction.writes.push_back({old_fence, "restarted"});
  }
  ++own_row.renewal_count;
  transaction.writes.push_back({key, EncodeMember(own_row)});
  transaction.writes.push_back({std::string(kPartitionChangeKey), key});
  const Ms sent = clock.Now();
  absl::Status status = CommitAndConfirm(table, transaction, key);
  if (!status.ok()) return status;
  own_version = old_version + 1;
  fenced.store(false);
  lease_until.store((sent + options.lease).count);
  return status;
}

/// Returns whether the lease of an earlier process with the same id, such as
/// one that crashed, has expired: its row did not change for the lease and the
/// clock drift since this process first read it.
bool Membership::Impl::EarlierLeaseExpired(const MemberRow& row,
                                           uint64_t version) {
  const Ms now = clock.Now();
  const std::string& incarnation = row.member.incarnation;
  if (!earlier_lease || earlier_lease->key != incarnation ||
      earlier_lease->version != version) {
    earlier_lease = LeaseObservation{incarnation, version, row.lease};
    earlier_unchanged_since = now;
  }
  return now >= earlier_unchanged_since + row.lease + options.max_clock_drift;
}

absl::Status Membership::Impl::Renew() {
  std::lock_guard<std::mutex> lock(lease_mu);
  if (has_left.load()) return absl::FailedPreconditionError("member has left");
  if (fenced.load()) {
    OnFenced();
    return absl::FailedPreconditionError("member was fenced");
  }
  own_row.member.leaving = leaving.load();
  ++own_row.renewal_count;
  const Ms sent = clock.Now();
  const Transaction transaction = RenewalTransaction(own_row);
  absl::Status status =
      CommitAndConfirm(table, transaction, transaction.writes[0].key);
  if (absl::IsAborted(status)) return ResolveRenewalConflict();
  if (!status.ok()) return status;
  ++own_version;
  lease_until.store((sent + options.lease).count);
  return status;
}

/// Handles a renewal whose condition on the row's version failed. Either an
/// earlier renewal took effect although its response was lost; then the lease
/// is renewed from the stored version. Or the row was deleted or replaced,
/// which means that this process was fenced.
absl::Status Membership::Impl::ResolveRenewalConflict() {
  const absl::StatusOr<Row> row = table.get(MemberKey(own_row.member.id));
  if (!row.ok() && !absl::IsNotFound(row.status())) return row.status();
  const auto found = row.ok() ? DecodeMember(row->value) : std::nullopt;
  if (!found || found->member.incarnation != own_row.member.incarnation) {
    fenced.store(true);
    lease_until.store(0);
    kLog.Warning("Fenced by another member; all partitions were lost.",
                 {{"incarnation", own_row.member.incarnation}});
    OnFenced();
    return absl::FailedPreconditionError("member was fenced");
  }
  own_version = row->version;
  own_row.renewal_count = found->renewal_count + 1;
  const Ms sent = clock.Now();
  const Transaction transaction = RenewalTransaction(own_row);
  absl::Status status =
      CommitAndConfirm(table, transaction, transaction.writes[0].key);
  if (!status.ok()) return status;
  ++own_version;
  lease_until.store((sent + options.lease).count);
  return status;
}

void Membership::Impl::OnFenced() {
  for (uint32_t n = 0; n < options.partition_count; ++n) {
    if (served_epochs[n].exchange(0) == 0) continue;
    // An error is ignored: calls still in flight can no longer be recorded.
    on_loss(PartitionId{n}).IgnoreError();
  }
  if (!options.on_rejoin || leaving.load()) return;
  own_row.member.incarnation = RandomHexId();
  own_row.renewal_count = 0;
  const std::string& incarnation = own_row.member.incarnation;
  // The handler runs before the row is written, so that this member gains no
  // partitions before the handler is done.
  absl::Status status = options.on_rejoin(incarnation);
  if (status.ok()) status = TryJoin();
  if (!status.ok()) {
    kLog.Warning("Rejoin failed; will retry.", {{"error", status.ToString()}});
    return;
  }
  {
    std::lock_guard<std::mutex> lock(view_mu);
    auto next = std::make_shared<MembershipView>(*View());
    next->self_incarnation = incarnation;
    Publish(std::move(next));
  }
  kLog.Info("Rejoined under a new incarnation.",
            {{"incarnation", own_row.member.incarnation}});
}

absl::Status Membership::Impl::CloseOwnFence() {
  std::lock_guard<std::mutex> lock(lease_mu);
  const std::string key = MemberKey(own_row.member.id);
  const std::string fence = FenceKey(own_row.member.incarnation);
  Transaction transaction;
  transaction.conditions.push_back({fence, kOpenFenceVersion});
  transaction.writes.push_back({fence, "left"});
  transaction.writes.push_back({key, std::nullopt});
  transaction.writes.push_back({std::string(kPartitionChangeKey), key});
  has_left.store(true);
  lease_until.store(0);
  absl::Status status = CommitAndConfirm(table, transaction, fence);
  // Another member has already closed the fence and deleted the row.
  if (absl::IsAborted(status)) return absl::OkStatus();
  return status;
}

}  // namespace knapweed

#include "knapweed/membership/membership.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "knapweed/membership/assignment.h"
#include "membership_impl.h"

namespace knapweed {
namespace {

/// A failed renewal is retried after the renewal interval divided by this.
constexpr int64_t kRetryDivisor = 4;
/// Renewals come earlier by a random time of up to the renewal interval divided
/// by this, so that members that started together don't renew at the same time.
constexpr int64_t kJitterDivisor = 5;
/// Interval at which `Leave` retries the partitions not yet handed over.
constexpr Ms kLeaveRetryInterval{20};
/// Interval at which `Start` retries `Join` while an earlier process may hold
/// its lease.
constexpr Ms kJoinRetryInterval{50};

std::chrono::milliseconds Chrono(Ms span) {
  return std::chrono::milliseconds(span.count);
}

}  // namespace

Membership::Impl::Impl(TableService table_in, const Clock& clock_in,
                       MembershipOptions options_in, GainHandler gain,
                       LossHandler loss)
    : table(std::move(table_in)),
      clock(clock_in),
      options(std::move(options_in)),
      on_gain(std::move(gain)),
      on_loss(std::move(loss)),
      served_epochs(options.partition_count),
      releasing(options.partition_count),
      detector(options.max_clock_drift, options.lease / 2),
      move_wanted_since(options.partition_count),
      random(HashBytes(options.self.incarnation)) {
  own_row.member = options.self;
  own_row.lease = options.lease;
  auto initial = std::make_shared<MembershipView>();
  initial->self_incarnation = options.self.incarnation;
  initial->partitions.resize(options.partition_count);
  Publish(std::move(initial));
}

void Membership::Impl::Publish(std::shared_ptr<const MembershipView> next) {
  // The lock is released before `next`, which then holds the old view, is
  // freed.
  std::lock_guard<std::mutex> lock(pointer_mu);
  view.swap(next);
}

bool Membership::Impl::Owns(PartitionId partition) const {
  const auto current = View();
  const auto& row = current->partitions[partition.n];
  return row && row->row.incarnation == current->self_incarnation;
}

std::vector<Member> Membership::Impl::Candidates() const {
  const auto current = View();
  std::vector<Member> members;
  for (const auto& [incarnation, row] : current->members) {
    members.push_back(row.member);
    const bool self = incarnation == current->self_incarnation;
    if (self && leaving.load()) members.back().leaving = true;
  }
  return members;
}

std::optional<PartitionOwner> Membership::Impl::OwnerOf(
    PartitionId partition) const {
  const auto current = View();
  if (partition.n >= current->partitions.size()) return std::nullopt;
  const auto& row = current->partitions[partition.n];
  if (!row) return std::nullopt;
  PartitionOwner owner;
  owner.epoch = row->row.epoch;
  if (row->row.incarnation == current->self_incarnation) {
    owner.member = options.self;
    owner.member.incarnation = current->self_incarnation;
    const bool serving = served_epochs[partition.n].load() == owner.epoch.n;
    owner.self = serving && LeaseHolds();
    owner.self_lease_expired = serving && !owner.self && !fenced.load();
    return owner;
  }
  const auto member = current->members.find(row->row.incarnation);
  if (member == current->members.end()) return std::nullopt;
  owner.member = member->second.member;
  return owner;
}

void Membership::Impl::Sleep(std::unique_lock<std::mutex>& lock, Ms span,
                             bool* requested) {
  wake.wait_for(lock, Chrono(span),
                [&] { return stop || (requested && *requested); });
  if (requested) *requested = false;
}

void Membership::Impl::RunRenew() {
  std::unique_lock<std::mutex> lock(thread_mu);
  while (!stop) {
    const int64_t jitter = options.renew_every.count / kJitterDivisor;
    const Ms early{std::uniform_int_distribution<int64_t>(0, jitter)(random)};
    Sleep(lock, options.renew_every - early, nullptr);
    lock.unlock();
    absl::Status status = Renew();
    lock.lock();
    while (!status.ok() && !stop && !has_left.load()) {
      Sleep(lock, options.renew_every / kRetryDivisor, nullptr);
      lock.unlock();
      status = Renew();
      lock.lock();
    }
  }
}

void Membership::Impl::RunWatch() {
  std::unique_lock<std::mutex> lock(thread_mu);
  while (!stop) {
    lock.unlock();
    // A failed scan is retried after `scan_every`; until then the view is kept.
    absl::Status status = Watch();
    lock.lock();
    gain_requested = gain_requested || status.ok();
    wake.notify_all();
    Sleep(lock, options.scan_every, &scan_requested);
  }
}

void Membership::Impl::RunGain() {
  std::unique_lock<std::mutex> lock(thread_mu);
  while (!stop) {
    lock.unlock();
    GainPending();
    lock.lock();
    Sleep(lock, options.scan_every, &gain_requested);
  }
}

/// Runs on its own thread, since a handover blocks until the partition's calls
/// in flight have ended, which may take long.
void Membership::Impl::RunRebalance() {
  std::unique_lock<std::mutex> lock(thread_mu);
  while (!stop) {
    Sleep(lock, options.scan_every, nullptr);
    if (stop) return;
    lock.unlock();
    Rebalance();
    lock.lock();
  }
}

void Membership::Impl::StartThreads() {
  threads.emplace_back([this] { RunRenew(); });
  threads.emplace_back([this] { RunWatch(); });
  threads.emplace_back([this] { RunGain(); });
  threads.emplace_back([this] { RunRebalance(); });
}

void Membership::Impl::StopThreads() {
  {
    std::lock_guard<std::mutex> lock(thread_mu);
    stop = true;
  }
  wake.notify_all();
  for (std::thread& it : threads) it.join();
  threads.clear();
}

Membership::Membership(TableService table, const Clock& clock,
                       MembershipOptions options, GainHandler on_gain,
                       LossHandler on_loss)
    : impl_(std::make_unique<Impl>(std::move(table), clock, std::move(options),
                                   std::move(on_gain), std::move(on_loss))) {}

Membership::~Membership() { impl_->StopThreads(); }

absl::Status Membership::Start() {
  // Long enough for an earlier process with this id either to renew its lease
  // or to have it observed as expired.
  const Ms join_timeout =
      (impl_->options.lease + impl_->options.max_clock_drift) * 2;
  const Ms deadline = impl_->clock.Now() + join_timeout;
  absl::Status status = impl_->Join();
  while (absl::IsAlreadyExists(status) && impl_->clock.Now() < deadline) {
    SleepFor(kJoinRetryInterval);
    status = impl_->Join();
  }
  if (!status.ok()) return status;
  impl_->StartThreads();
  return status;
}

absl::Status Membership::Leave(Ms timeout) {
  const Ms deadline = impl_->clock.Now() + timeout;
  impl_->leaving.store(true);
  absl::Status status = impl_->Renew();
  bool all_handed_over = false;
  while (!all_handed_over && impl_->clock.Now() < deadline) {
    all_handed_over = true;
    {
      std::lock_guard<std::mutex> lock(impl_->rebalance_mu);
      const std::vector<Member> candidates = impl_->Candidates();
      for (uint32_t n = 0; n < impl_->options.partition_count; ++n) {
        const PartitionId partition{n};
        if (!impl_->Owns(partition)) continue;
        const Member* target = PreferredOwner(partition, candidates);
        // No other member remains; the next one to start claims the partition
        // and recovers it from the logs.
        if (target == nullptr) continue;
        all_handed_over =
            impl_->Release(partition, *target).ok() && all_handed_over;
      }
    }
    if (all_handed_over) break;
    SleepFor(kLeaveRetryInterval);
    status = impl_->Watch();
  }
  status = impl_->CloseOwnFence();
  if (!status.ok()) return status;
  if (all_handed_over) return absl::OkStatus();
  return absl::DeadlineExceededError("some partitions were not handed over");
}

std::optional<PartitionOwner> Membership::OwnerOf(PartitionId partition) const {
  return impl_->OwnerOf(partition);
}

bool Membership::LeaseHolds() const { return impl_->LeaseHolds(); }

Ms Membership::LeaseUntil() const { return Ms{impl_->lease_until.load()}; }

bool Membership::Fenced() const { return impl_->fenced.load(); }

std::string Membership::Incarnation() const {
  return impl_->View()->self_incarnation;
}

std::vector<MemberRenewals> Membership::RenewalCounts() const {
  const auto view = impl_->View();
  std::vector<MemberRenewals> counts;
  for (const auto& [incarnation, row] : view->members) {
    counts.push_back({row.member, row.renewal_count});
  }
  return counts;
}

std::vector<Member> Membership::Members() const {
  std::vector<Member> members;
  for (const auto& [incarnation, row] : impl_->View()->members) {
    members.push_back(row.member);
  }
  return members;
}

std::vector<SidecarRecord> Membership::Sidecars() const {
  return impl_->View()->sidecars;
}

void Membership::RequestScan() {
  {
    std::lock_guard<std::mutex> lock(impl_->thread_mu);
    impl_->scan_requested = true;
  }
  impl_->wake.notify_all();
}

absl::Status Membership::Join() { return impl_->Join(); }

absl::Status Membership::Renew() { return impl_->Renew(); }

absl::Status Membership::Watch() { return impl_->Watch(); }

void Membership::GainPending() { impl_->GainPending(); }

void Membership::Rebalance() { impl_->Rebalance(); }

std::string Membership::DumpJson() const {
  using Json = nlohmann::json;
  const auto view = impl_->View();
  Json members = Json::array();
  for (const auto& [incarnation, row] : view->members) {
    members.push_back(Json::parse(EncodeMember(row), nullptr, false));
  }
  Json partitions = Json::array();
  for (uint32_t n = 0; n < impl_->options.partition_count; ++n) {
    const auto& it = view->partitions[n];
    if (!it) continue;
    Json row = Json::parse(EncodePartition(it->row), nullptr, false);
    row["partition"] = n;
    row["served_epoch"] = impl_->served_epochs[n].load();
    partitions.push_back(std::move(row));
  }
  const int64_t remaining_ms =
      impl_->lease_until.load() - impl_->clock.Now().count;
  const Json json = {{"self", impl_->options.self.id.value},
                     {"incarnation", view->self_incarnation},
                     {"lease_holds", impl_->LeaseHolds()},
                     {"lease_left_ms", std::max<int64_t>(remaining_ms, 0)},
                     {"fenced", impl_->fenced.load()},
                     {"leaving", impl_->leaving.load()},
                     {"members", members},
                     {"partitions", partitions},
                     {"sidecars", view->sidecars.size()}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace knapweed

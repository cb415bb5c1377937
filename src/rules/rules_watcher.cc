#include "knapweed/rules/rules_watcher.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <limits>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "knapweed/base/log.h"
#include "knapweed/rules/config_store.h"

namespace knapweed {
namespace {

constexpr Logger kLog("rules");
/// Marks a confirmation time that was never set.
constexpr int64_t kNever = std::numeric_limits<int64_t>::min();
constexpr Ms kNeverConfirmedAge = Seconds(1'000'000);

}  // namespace

struct RulesWatcher::Impl {
  Impl(ConfigStore s, RulesHolder& h, const Clock& c, RulesWatcherOptions o)
      : store(std::move(s)), holder(h), clock(c), options(o) {}

  std::shared_ptr<const StoredConfig> Current() const;
  absl::Status Refresh();
  /// Reads the version that `head` names and publishes it, unless a newer one
  /// was published meanwhile.
  absl::Status ReadAndPublish(const StoredConfig& base, const ConfigHead& head);
  /// Requires `mu`.
  absl::Status Publish(StoredConfig next, std::optional<ConfigPush> push);
  /// Raises `confirmed_at` to `when`.
  void ConfirmAt(Ms when);
  /// Makes the polling thread refresh now.
  void Wake();
  void Run();
  /// Logs when polling starts to fail and when it recovers.
  void LogPoll(const absl::Status& status);

  const ConfigStore store;
  RulesHolder& holder;
  const Clock& clock;
  const RulesWatcherOptions options;

  /// Guards the three members below and serializes publishing. Not held while
  /// the store is read, so that a push never waits for a slow store.
  mutable std::mutex mu;
  std::shared_ptr<const StoredConfig> current =
      std::make_shared<const StoredConfig>();
  std::optional<ConfigPush> last_push;
  std::vector<std::function<void(const Rules&)>> callbacks;

  /// Times of the clock in milliseconds, or `kNever`.
  std::atomic<int64_t> confirmed_at{kNever};
  std::atomic<int64_t> confirmed_during_outage_at{kNever};

  std::mutex wake_mu;
  std::condition_variable wake;
  /// Guarded by `wake_mu`, as is `stopping`.
  bool wake_requested = false;
  bool stopping = false;
  /// Used by the polling thread only.
  bool last_poll_failed = false;
  std::thread thread;
};

void RulesWatcher::Impl::ConfirmAt(Ms when) {
  int64_t at = confirmed_at.load();
  while (at < when.count &&
         !confirmed_at.compare_exchange_weak(at, when.count)) {
  }
}

void RulesWatcher::Impl::Wake() {
  {
    const std::scoped_lock lock(wake_mu);
    wake_requested = true;
  }
  wake.notify_one();
}

absl::Status RulesWatcher::Impl::Publish(StoredConfig next,
                                         std::optional<ConfigPush> push) {
  const std::shared_ptr<const Rules> previous = holder.Snapshot();
  absl::StatusOr<std::unique_ptr<Rules>> rules =
      CompileConfig(next, previous.get());
  if (!rules.ok()) return rules.status();
  holder.Publish(*std::move(rules));
  current = std::make_shared<const StoredConfig>(std::move(next));
  last_push = std::move(push);
  kLog.Info("Published a configuration.", {{"version", current->version}});
  const std::shared_ptr<const Rules> now = holder.Snapshot();
  for (const auto& callback : callbacks) callback(*now);
  return absl::OkStatus();
}

std::shared_ptr<const StoredConfig> RulesWatcher::Impl::Current() const {
  const std::scoped_lock lock(mu);
  return current;
}

absl::Status RulesWatcher::Impl::Refresh() {
  const std::shared_ptr<const StoredConfig> base = Current();
  // The head row is known to be current at the time of the request, not at that
  // of the answer.
  const Ms requested_at = clock.Now();
  const absl::StatusOr<ConfigHead> head = ReadConfigHead(store);
  if (!head.ok()) return head.status();
  if (head->version < base->version) {
    return absl::DataLossError(
        absl::StrCat("the store has version ", head->version,
                     ", older than version ", base->version, " in force"));
  }
  if (head->version > base->version) {
    absl::Status status = ReadAndPublish(*base, *head);
    if (!status.ok()) return status;
  }
  ConfirmAt(requested_at);
  return absl::OkStatus();
}

absl::Status RulesWatcher::Impl::ReadAndPublish(const StoredConfig& base,
                                                const ConfigHead& head) {
  absl::StatusOr<StoredConfig> next = ReadConfig(store, head, base);
  if (!next.ok()) return next.status();
  std::optional<ConfigPush> push;
  if (next->version == base.version + 1) {
    push = ConfigPush{next->version, base.version, head.digest,
                      EncodeDelta(base, *next)};
  }
  const std::scoped_lock lock(mu);
  if (next->version <= current->version) return absl::OkStatus();
  return Publish(*std::move(next), std::move(push));
}

void RulesWatcher::Impl::LogPoll(const absl::Status& status) {
  if (!status.ok() && !last_poll_failed) {
    kLog.Warning("Failed to read the configuration.",
                 {{"error", status.ToString()}, {"version", holder.version()}});
  }
  if (status.ok() && last_poll_failed)
    kLog.Info("Reading the configuration succeeded again.");
  last_poll_failed = !status.ok();
}

void RulesWatcher::Impl::Run() {
  while (true) {
    LogPoll(Refresh());
    std::unique_lock lock(wake_mu);
    wake.wait_for(lock, std::chrono::milliseconds(options.poll_every.count),
                  [this] { return wake_requested || stopping; });
    if (stopping) return;
    wake_requested = false;
  }
}

RulesWatcher::RulesWatcher(TableService table, ObjectStore objects,
                           RulesHolder& holder, const Clock& clock,
                           RulesWatcherOptions options)
    : impl_(std::make_unique<Impl>(
          ConfigStore{std::move(table), std::move(objects)}, holder, clock,
          options)) {
  impl_->thread = std::thread([impl = impl_.get()] { impl->Run(); });
}

RulesWatcher::~RulesWatcher() {
  {
    const std::scoped_lock lock(impl_->wake_mu);
    impl_->stopping = true;
  }
  impl_->wake.notify_one();
  impl_->thread.join();
}

absl::Status RulesWatcher::Refresh() { return impl_->Refresh(); }

bool RulesWatcher::Confirmed() const {
  const Ms limit = impl_->options.confirm_within;
  const int64_t during_outage_at = impl_->confirmed_during_outage_at.load();
  if (during_outage_at != kNever &&
      impl_->clock.Now() - Ms{during_outage_at} <= limit) {
    return true;
  }
  return ConfirmedAge() <= limit;
}

void RulesWatcher::ConfirmDuringOutage() {
  impl_->confirmed_during_outage_at = impl_->clock.Now().count;
}

Ms RulesWatcher::ConfirmedAge() const {
  const int64_t at = impl_->confirmed_at.load();
  if (at == kNever) return kNeverConfirmedAge;
  return std::max(Ms{0}, impl_->clock.Now() - Ms{at});
}

void RulesWatcher::ConfirmFromPeer(uint64_t version, Ms age) {
  const uint64_t in_force = impl_->holder.version();
  if (version == in_force && age >= Ms{0})
    impl_->ConfirmAt(impl_->clock.Now() - age);
  if (version > in_force) impl_->Wake();
}

absl::Status RulesWatcher::ApplyPush(const ConfigPush& push) {
  const std::scoped_lock lock(impl_->mu);
  if (push.version <= impl_->current->version) return absl::OkStatus();
  absl::StatusOr<StoredConfig> next = ApplyDelta(*impl_->current, push.delta);
  absl::Status status = next.status();
  if (status.ok() &&
      (next->version != push.version || ConfigDigest(*next) != push.digest))
    status = absl::DataLossError("the pushed delta does not match its digest");
  if (status.ok()) status = impl_->Publish(*std::move(next), push);
  if (!status.ok()) impl_->Wake();
  return status;
}

std::optional<ConfigPush> RulesWatcher::LastPush() const {
  const std::scoped_lock lock(impl_->mu);
  return impl_->last_push;
}

void RulesWatcher::OnPublish(std::function<void(const Rules&)> callback) {
  const std::scoped_lock lock(impl_->mu);
  impl_->callbacks.push_back(std::move(callback));
}

}  // namespace knapweed

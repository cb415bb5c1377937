// The table of gateways: what this one announces of itself, and what it takes
// over from the others.
#include <algorithm>
#include <utility>

#include "knapweed/base/log.h"
#include "knapweed/gateway/fleet_watch.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("watch");

/// Interval at which a gateway publishes how many calls it has admitted.
constexpr Ms kAnnounceInterval{600};
/// A gateway counts as running if its last announcement is no older than this.
/// Longer than the rate window, so that the calls it admitted stay counted for
/// the whole window.
constexpr Ms kAnnouncementTtl{9000};
/// A gateway that has not announced itself for longer is gone; until then it
/// may be cut off and admit its part of the rates.
constexpr Ms kSilentTtl{20000};
/// After an outage of the store all gateways announce themselves anew within
/// this time.
constexpr Ms kReannounceTime{2000};

}  // namespace

std::vector<LimitRecord> FleetWatch::LimitsToTell() {
  std::vector<LimitRecord> records = send_limits_.Records();
  const Ms to_store_clock = store_.StoreNow() - clock_.Now();
  for (LimitRecord& record : records) {
    record.limit.observed_at += to_store_clock;
  }
  return records;
}

Task<bool> FleetWatch::Announce() {
  const Ms started_at = clock_.Now();
  const Announcement announcement{
      self_.peer_address, store_.StoreNow(),
      quotas_.OwnUse(),   crashes_.RecordsToPublish(),
      LimitsToTell(),     permits_.book().Granted(),
      has_stopped_};
  permits_.book().OnAnnouncing(started_at);
  const RowKey key{kGatewayTable, "", self_.name};
  Commit commit;
  commit.conditions.push_back({key, own_row_version_});
  commit.writes.push_back({key, EncodeAnnouncement(announcement)});
  const StoreAnswer answer = co_await store_.Apply(commit);
  permits_.book().OnAnnounceEnded(answer.outcome);
  if (answer.outcome == StoreOutcome::kDone) {
    own_row_version_ = answer.version;
    permits_.slots().OnAnnounced(started_at, answer.version);
    co_return true;
  }
  if (answer.outcome == StoreOutcome::kConflict) {
    own_row_version_ = 0;
    for (const Row& row : answer.rows) {
      if (row.key == key && !row.deleted) own_row_version_ = row.version;
    }
  }
  co_return false;
}

Ms FleetWatch::LongestAnnouncementAge() const {
  // An announcement that could not be renewed does not mean that its gateway is
  // gone.
  const Ms regained_at = store_.regained_at();
  const bool has_just_returned =
      regained_at > Ms{0} && clock_.Now() - regained_at < kReannounceTime;
  const Ms outage = has_just_returned ? regained_at - store_.lost_at() : Ms{0};
  return kAnnouncementTtl + std::max(outage, Ms{0});
}

std::optional<Announcement> FleetWatch::ReadAnnouncement(const Row& row) const {
  if (row.key.key == self_.name || row.key.key == kSlotsKey) {
    return std::nullopt;
  }
  absl::StatusOr<Announcement> told = DecodeAnnouncement(row.value);
  if (!told.ok()) {
    kLog.Warning("A gateway's row can't be decoded.",
                 {{"key", row.key.key}, {"error", told.status().ToString()}});
    return std::nullopt;
  }
  return *std::move(told);
}

Task<void> FleetWatch::UpdateSlots(const std::vector<Row>& rows) {
  const Ms now = store_.StoreNow();
  std::vector<ListedGateway> others;
  const Row* slots_row = nullptr;
  for (const Row& row : rows) {
    if (row.key.key == kSlotsKey) slots_row = &row;
    const std::optional<Announcement> told = ReadAnnouncement(row);
    if (!told.has_value()) continue;
    others.push_back({told->peer_address, row.key.key, row.version,
                      now - told->at, told->stopped});
  }
  RateSlots& slots = permits_.slots();
  slots.OnRead(slots_row);
  const std::optional<Commit> change = slots.NextChange(others);
  if (!change.has_value()) co_return;
  const StoreAnswer answer = co_await store_.Apply(*change);
  slots.OnCommitted(answer);
}

Task<void> FleetWatch::AnnounceStop() {
  permits_.Stop();
  has_stopped_ = true;
  // The loop may have announced it meanwhile, and the first try met a conflict.
  const bool ok = co_await Announce();
  if (!ok) {
    co_await Announce();
  }
}

void FleetWatch::MergeRecords(Announcement& told, Ms now, Ms age) {
  for (LimitRecord& record : told.limits) {
    // From the store's clock to that of this process.
    record.limit.observed_at += clock_.Now() - age - now;
  }
  send_limits_.MergeRecords(told.limits);
}

void FleetWatch::ApplyGateways(const std::vector<Row>& rows, Ms now, Ms age) {
  std::vector<Address> peers;
  std::vector<std::string> names;
  std::map<Address, UseByWorkspace> uses;
  UseOfOthers others;
  gateway_rows_ = rows;
  gateways_read_at_ = clock_.Now() - age;
  for (const Row& row : rows) {
    RunStep("a row of a gateway", [&] {
      std::optional<Announcement> told = ReadAnnouncement(row);
      if (!told.has_value()) return;
      // Crashes count for their own time, also if the gateway that saw them is
      // gone.
      crashes_.MergeRecords(told->crashes);
      const Ms silence = now - told->at;
      if (silence > LongestAnnouncementAge()) {
        if (silence <= kSilentTtl) AddSilent(told->use, others);
        return;
      }
      MergeRecords(*told, now, age);
      peers.push_back(told->peer_address);
      names.push_back(row.key.key);
      uses[told->peer_address] = std::move(told->use);
    });
  }
  for (const auto& [address, use] : uses) {
    AddUse(use, others.use);
    AddInContact(use, others);
  }
  if (others.silent_gateways > 0) AddInContact(quotas_.OwnUse(), others);
  others.gateways = static_cast<uint32_t>(uses.size());
  quotas_.SetUseOfOthers(std::move(others), age);
  use_exchange_.SetStored(std::move(uses));
  crashes_.SetGateways(self_.name, std::move(names));
  budgets_.SetOthers(peers);
  starts_.SetOthers(peers);
  send_limits_.SetOthers(peers, gateways_read_at_);
  stream_versions_.SetOthers(peers);
  gateways_read_ = true;
  for (const Address& seed : seeds_) {
    if (std::find(peers.begin(), peers.end(), seed) == peers.end()) {
      peers.push_back(seed);
    }
  }
  store_.SetPeers(std::move(peers));
}

void FleetWatch::TakeOverOwnRow(const std::vector<Row>& rows, Ms now) {
  own_use_restored_ = true;
  for (const Row& row : rows) {
    if (row.key.key != self_.name) continue;
    own_row_version_ = row.version;
    const absl::StatusOr<Announcement> told = DecodeAnnouncement(row.value);
    if (!told.ok()) continue;
    quotas_.RestoreUse(told->use, now - told->at);
    crashes_.Restore(told->crashes);
    if (told->granted.has_value()) {
      permits_.TakeOver(*told->granted, told->stopped, now - told->at);
    }
    const bool is_listed = told->peer_address == self_.peer_address &&
                           now - told->at <= LongestAnnouncementAge();
    if (is_listed) send_limits_.SetKnownBefore();
  }
}

Task<void> FleetWatch::RestoreOwnUse() {
  constexpr Ms kRetry{100};
  std::vector<Row> rows;
  uint64_t version = 0;
  while (!own_use_restored_) {
    const bool read = co_await ReadTable(kGatewayTable, &rows, &version);
    if (read && !own_use_restored_) TakeOverOwnRow(rows, store_.StoreNow());
    if (!read) {
      co_await Sleep(loop_, kRetry);
    }
  }
}

Task<void> FleetWatch::FollowGateways() {
  // The first read of the configuration sets the store's clock.
  while (view_.config == nullptr) {
    co_await Sleep(loop_, Ms{50});
  }
  constexpr Ms kRetry{300};
  co_await RestoreOwnUse();
  while (true) {
    bool ok = co_await Announce();
    if (!ok) {
      ok = co_await Announce();
    }
    std::vector<Row> rows;
    uint64_t version = 0;
    const bool read = co_await ReadTable(kGatewayTable, &rows, &version);
    if (read) {
      co_await UpdateSlots(rows);
      ApplyGateways(rows, store_.StoreNow(), Ms{0});
    }
    // A crash that quarantines a request is announced at once, before this
    // process may end.
    if (!announce_wanted_) {
      co_await announce_.Wait(ok && read ? kAnnounceInterval : kRetry);
    }
    announce_wanted_ = false;
  }
}

}  // namespace knapweed::gateway

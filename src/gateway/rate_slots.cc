#include "knapweed/gateway/rate_slots.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/announcement.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr Logger kLog("slots");

/// A gateway that announced itself this long ago may get slots.
constexpr Ms kMaxSilenceOfTarget{2000};
/// Longest rest that a row may state.
constexpr Ms kMaxRest = Seconds(600);

RowKey KeyOf(std::string_view name) {
  return {kGatewayTable, "", std::string(name)};
}

/// An entry is an array: address, name, and rest in ms.
std::optional<SlotEntry> DecodeEntry(const json& item) {
  constexpr size_t kFieldCount = 3;
  const bool has_fields = item.is_array() && item.size() == kFieldCount &&
                          item[0].is_string() && item[1].is_string();
  if (!has_fields) return std::nullopt;
  SlotEntry entry;
  entry.name = item[1].get<std::string>();
  const std::optional<Ms> rest = MsOf(item[2]);
  const bool readable =
      rest.has_value() && *rest >= Ms{0} && *rest <= kMaxRest &&
      ParseAddress(item[0].get_ref<const std::string&>(), &entry.holder);
  if (!readable) return std::nullopt;
  entry.rest = *rest;
  return entry;
}

}  // namespace

std::string EncodeSlots(const SlotTable& table) {
  json slots = json::array();
  for (const SlotEntry& entry : table) {
    slots.push_back({entry.holder.ToString(), entry.name, entry.rest.count});
  }
  return DumpJson({{"slots", std::move(slots)}});
}

absl::StatusOr<SlotTable> DecodeSlots(std::string_view bytes) {
  const json row = ParseJson(bytes);
  const json* slots = FindField(row, "slots");
  const bool has_all =
      slots != nullptr && slots->is_array() && slots->size() == kSlotCount;
  if (!has_all) return absl::InvalidArgumentError("not a table of slots");
  SlotTable table;
  for (size_t i = 0; i < kSlotCount; ++i) {
    std::optional<SlotEntry> entry = DecodeEntry((*slots)[i]);
    if (!entry.has_value()) return absl::InvalidArgumentError("malformed slot");
    table[i] = *std::move(entry);
  }
  return table;
}

size_t FirstSlotOf(std::string_view workspace) {
  return HashBytes(workspace) % kSlotGroups * kSlotsPerGroup;
}

RateSlots::RateSlots(const Clock& clock, const Address& self, std::string name,
                     Ms rest)
    : clock_(clock),
      self_(self),
      name_(std::move(name)),
      rest_(rest),
      started_at_(clock.Now()) {
  granted_at_.fill(started_at_ - kMaxRest);
  gave_in_use_at_.fill(started_at_ - kMaxRest);
}

void RateSlots::OnAnnounced(Ms started_at, uint64_t version) {
  const bool was_silent =
      announced_at_.has_value() && started_at - *announced_at_ > kHoldTime;
  // Meanwhile others may have claimed the slots.
  if (was_silent) ForgetHoldings();
  announced_at_ = started_at;
  announced_version_ = version;
  announced_since_change_ = true;
}

void RateSlots::ForgetHoldings() {
  holdings_.fill(Holding{});
  needs_adoption_ = true;
  started_at_ = clock_.Now();
  rests_at_start_ = true;
}

void RateSlots::OnRead(const Row* row) {
  was_read_ = true;
  if (row == nullptr) {
    if (version_ == 0) {
      for (Holding& holding : holdings_) holding.seen_elsewhere = true;
    }
    return;
  }
  if (announced_since_change_) {
    for (Holding& holding : holdings_) holding.giving = false;
  }
  // An answer that was overtaken by a newer one, or the same again.
  const bool is_known =
      row->version < version_ || (row->version == version_ && !needs_adoption_);
  if (is_known) return;
  absl::StatusOr<SlotTable> table = DecodeSlots(row->value);
  // Before the first announcement others may still claim the slots.
  if (!announced_at_.has_value()) {
    if (table.ok()) table_ = *std::move(table);
    return;
  }
  is_malformed_ = !table.ok();
  if (table.ok()) {
    Adopt(*table, row->version);
    return;
  }
  kLog.Warning("The table of slots can't be decoded; replacing it.",
               {{"error", table.status().ToString()}});
  ForgetHoldings();
  table_ = SlotTable{};
  version_ = row->version;
}

void RateSlots::LearnFromPeer(const Row& row) {
  if (was_read_) return;
  const absl::StatusOr<SlotTable> table = DecodeSlots(row.value);
  if (table.ok()) table_ = *table;
}

std::optional<Row> RateSlots::RowForPeer() const {
  if (version_ == 0 || is_malformed_) return std::nullopt;
  return Row{KeyOf(kSlotsKey), EncodeSlots(table_), version_, false};
}

void RateSlots::Adopt(const SlotTable& table, uint64_t version) {
  const Ms now = clock_.Now();
  for (size_t i = 0; i < kSlotCount; ++i) {
    Holding& holding = holdings_[i];
    holding.giving = false;
    if (table[i].holder != self_) {
      holding.held = false;
      holding.seen_elsewhere = true;
      continue;
    }
    if (holding.held) continue;
    holding.held = true;
    holding.usable_from = now + table[i].rest;
    // An earlier process of this gateway may have granted permits.
    const bool may_be_older = !holding.seen_elsewhere && rests_at_start_;
    if (may_be_older) {
      holding.usable_from = std::max(holding.usable_from, started_at_ + rest_);
    }
  }
  table_ = table;
  version_ = version;
  needs_adoption_ = false;
}

bool RateSlots::MayGrant(size_t slot, Ms now) const {
  const Holding& holding = holdings_[slot];
  return holding.held && !holding.giving && !stopped_ &&
         now >= holding.usable_from && announced_at_.has_value() &&
         now - *announced_at_ <= kHoldTime;
}

void RateSlots::SkipRestAtStart() {
  rests_at_start_ = false;
  granted_at_.fill(clock_.Now());
}

bool RateSlots::IsIdle(size_t slot) const {
  return clock_.Now() - granted_at_[slot] > rest_;
}

SlotEntry RateSlots::TargetOf(size_t slot,
                              std::span<const ListedGateway> others) const {
  const uint64_t seed = HashBytes("slot " + std::to_string(slot));
  SlotEntry target{self_, name_, Ms{0}};
  uint64_t best = HashBytes(self_.ToString(), seed);
  for (const ListedGateway& other : others) {
    const uint64_t weight = HashBytes(other.address.ToString(), seed);
    const bool may_hold =
        other.silence <= kMaxSilenceOfTarget && !other.stopped;
    if (weight <= best || !may_hold) continue;
    best = weight;
    target = {other.address, other.name, Ms{0}};
  }
  return target;
}

void RateSlots::NoteMissing(std::span<const ListedGateway> others) {
  std::map<Address, Ms> missing;
  for (const SlotEntry& entry : table_) {
    const bool is_listed = std::any_of(
        others.begin(), others.end(), [&](const ListedGateway& other) {
          return other.address == entry.holder && other.name == entry.name;
        });
    if (is_listed || entry.holder == self_) continue;
    const auto it = missing_since_.find(entry.holder);
    missing[entry.holder] =
        it == missing_since_.end() ? clock_.Now() : it->second;
  }
  missing_since_ = std::move(missing);
}

std::optional<RowCondition> RateSlots::IfGone(
    const SlotEntry& entry, std::span<const ListedGateway> others) const {
  const auto row = std::find_if(
      others.begin(), others.end(),
      [&](const ListedGateway& other) { return other.name == entry.name; });
  Ms silence;
  Ms claim_after = kClaimAfter;
  const auto missing = missing_since_.find(entry.holder);
  if (missing != missing_since_.end()) {
    silence = clock_.Now() - missing->second;
  } else if (row != others.end()) {
    silence = row->silence;
    if (row->stopped) claim_after = kClaimStoppedAfter;
  }
  if (silence <= claim_after) return std::nullopt;
  return RowCondition{KeyOf(entry.name),
                      row != others.end() ? row->version : 0};
}

bool RateSlots::ClaimGone(std::span<const ListedGateway> others,
                          SlotTable& next,
                          std::vector<RowCondition>& conditions) const {
  bool changed = false;
  for (size_t i = 0; i < kSlotCount; ++i) {
    if (table_[i].holder == self_) continue;
    const std::optional<RowCondition> condition = IfGone(table_[i], others);
    if (!condition.has_value()) continue;
    if (TargetOf(i, others).holder != self_) continue;
    next[i] = {self_, name_, rest_};
    changed = true;
    const bool is_known = table_[i].name == name_ ||
                          std::any_of(conditions.begin(), conditions.end(),
                                      [&](const RowCondition& item) {
                                        return item.key == condition->key;
                                      });
    if (!is_known) conditions.push_back(*condition);
  }
  return changed;
}

bool RateSlots::GiveAway(std::span<const ListedGateway> others,
                         SlotTable& next) {
  bool changed = false;
  for (size_t i = 0; i < kSlotCount; ++i) {
    if (!holdings_[i].held || holdings_[i].giving) continue;
    SlotEntry target = TargetOf(i, others);
    if (target.holder == self_) continue;
    const size_t group = i / kSlotsPerGroup;
    const bool is_idle = IsIdle(i) && clock_.Now() >= holdings_[i].usable_from;
    // A slot in use grants nothing while its new holder rests, so only one of a
    // group is given away at a time.
    const Ms since_last = clock_.Now() - gave_in_use_at_[group];
    if (!is_idle && since_last <= rest_ * 2) continue;
    if (!is_idle) gave_in_use_at_[group] = clock_.Now();
    target.rest = is_idle ? Ms{0} : rest_;
    next[i] = std::move(target);
    holdings_[i].giving = true;
    changed = true;
  }
  return changed;
}

std::optional<Commit> RateSlots::NextChange(
    std::span<const ListedGateway> others) {
  const bool is_fresh = announced_at_.has_value() &&
                        clock_.Now() - *announced_at_ <= kMaxSilenceOfTarget;
  if (!was_read_ || !is_fresh || stopped_ || !announced_since_change_) {
    return std::nullopt;
  }
  Commit commit;
  SlotTable next = table_;
  if (version_ == 0 || is_malformed_) {
    // Holders that can't read the store don't know of the new table.
    const Ms rest = is_malformed_ ? kClaimAfter + rest_ : Ms{0};
    for (size_t i = 0; i < kSlotCount; ++i) {
      next[i] = TargetOf(i, others);
      next[i].rest = rest;
    }
  } else {
    NoteMissing(others);
    const bool claims = ClaimGone(others, next, commit.conditions);
    const bool gives = GiveAway(others, next);
    if (!claims && !gives) return std::nullopt;
  }
  commit.conditions.push_back({KeyOf(name_), announced_version_});
  commit.conditions.push_back({KeyOf(kSlotsKey), version_});
  commit.writes.push_back({KeyOf(kSlotsKey), EncodeSlots(next)});
  proposed_ = std::move(next);
  announced_since_change_ = false;
  return commit;
}

void RateSlots::OnCommitted(const StoreAnswer& answer) {
  if (answer.outcome == StoreOutcome::kConflict) {
    for (const Row& row : answer.rows) {
      if (row.key == KeyOf(kSlotsKey) && !row.deleted) OnRead(&row);
    }
  }
  if (answer.outcome != StoreOutcome::kDone) return;
  is_malformed_ = false;
  Adopt(proposed_, answer.version);
  kLog.Info("Changed the holders of slots.", {{"version", answer.version}});
}

}  // namespace knapweed::gateway

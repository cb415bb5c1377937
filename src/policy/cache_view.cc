#include "knapweed/policy/cache_view.h"

#include <algorithm>

namespace knapweed {

CacheView::CacheView(const CacheViewOptions& options) : options_(options) {
  // Twice the needed capacity lets the table purge erased entries in place
  // instead of reallocating.
  index_.reserve(2 * options_.max_programs);
  slots_.reserve(options_.max_programs);
  free_.reserve(options_.max_programs);
  upstreams_.resize(options_.max_upstreams);
}

CacheView::UpstreamState& CacheView::StateOf(uint32_t upstream) {
  return upstreams_[upstream % upstreams_.size()];
}

void CacheView::Unlink(uint32_t item) {
  const Slot& slot = slots_[item];
  (slot.newer == kNone ? newest_ : slots_[slot.newer].older) = slot.older;
  (slot.older == kNone ? oldest_ : slots_[slot.older].newer) = slot.newer;
}

void CacheView::LinkNewest(uint32_t item) {
  slots_[item].newer = kNone;
  slots_[item].older = newest_;
  (newest_ == kNone ? oldest_ : slots_[newest_].newer) = item;
  newest_ = item;
}

uint32_t CacheView::FindOrAddSlot(uint64_t program_hash) {
  const auto it = index_.find(program_hash);
  if (it != index_.end()) {
    Unlink(it->second);
    LinkNewest(it->second);
    return it->second;
  }
  if (index_.size() >= options_.max_programs) {
    ForgetProgram(slots_[oldest_].program_hash);
  }
  uint32_t item = static_cast<uint32_t>(slots_.size());
  if (free_.empty()) {
    slots_.emplace_back();
  } else {
    item = free_.back();
    free_.pop_back();
  }
  slots_[item] = Slot{};
  slots_[item].program_hash = program_hash;
  index_.emplace(program_hash, item);
  LinkNewest(item);
  return item;
}

const CachedPrefix* CacheView::FindLocation(const Slot& slot,
                                            uint32_t upstream) {
  for (uint32_t i = 0; i < slot.count; ++i) {
    if (slot.locations[i].upstream == upstream) return &slot.locations[i];
  }
  return nullptr;
}

void CacheView::SetLocation(Slot& slot, const CachedPrefix& location) {
  RemoveLocation(slot, location.upstream, location.as_of);
  if (slot.count == kMaxLocations) --slot.count;
  std::move_backward(slot.locations, slot.locations + slot.count,
                     slot.locations + slot.count + 1);
  slot.locations[0] = location;
  ++slot.count;
}

void CacheView::RemoveLocation(Slot& slot, uint32_t upstream, Ms as_of) {
  auto* end = std::remove_if(
      slot.locations, slot.locations + slot.count, [&](const CachedPrefix& it) {
        return it.upstream == upstream && it.as_of <= as_of;
      });
  slot.count = static_cast<uint32_t>(end - slot.locations);
}

void CacheView::Record(const CacheReport& report, Ms now) {
  Slot& slot = slots_[FindOrAddSlot(report.program_hash)];
  const CachedPrefix* cached = FindLocation(slot, report.upstream);
  if (cached != nullptr && cached->tokens > 0) {
    const uint64_t tokens = std::min(cached->tokens, report.prompt_tokens);
    const double hit = static_cast<double>(report.cached_tokens) /
                       static_cast<double>(std::max<uint64_t>(tokens, 1));
    double& share = StateOf(report.upstream).hit_share;
    share += options_.newest_weight * (std::min(hit, 1.0) - share);
  }
  SetLocation(slot, {report.upstream,
                     report.prompt_tokens + report.completion_tokens, now});
}

EventResult CacheView::Apply(const CacheEvent& event) {
  UpstreamState& state = StateOf(event.upstream);
  if (event.sequence <= state.sequence) return EventResult::kStale;
  const bool gap = state.sequence > 0 && event.sequence != state.sequence + 1;
  state.sequence = event.sequence;
  state.gap = state.gap || gap;
  const auto it = index_.find(event.program_hash);
  if (it != index_.end()) {
    Slot& slot = slots_[it->second];
    const CachedPrefix* cached = FindLocation(slot, event.upstream);
    if (cached != nullptr && cached->as_of <= event.happened_at) {
      RemoveLocation(slot, event.upstream, event.happened_at);
      if (event.tokens > 0) {
        SetLocation(slot, {event.upstream, event.tokens, event.happened_at});
      }
    }
  }
  return gap ? EventResult::kGap : EventResult::kApplied;
}

void CacheView::Resync(uint32_t upstream, uint64_t sequence, Ms as_of,
                       std::span<const CacheEvent> entries) {
  for (const auto& [hash, item] : index_) {
    RemoveLocation(slots_[item], upstream, as_of);
  }
  for (const CacheEvent& event : entries) {
    const auto it = index_.find(event.program_hash);
    if (it == index_.end() || event.tokens == 0) continue;
    Slot& slot = slots_[it->second];
    if (FindLocation(slot, upstream) != nullptr) continue;
    SetLocation(slot, {upstream, event.tokens, as_of});
  }
  UpstreamState& state = StateOf(upstream);
  state.sequence = std::max(state.sequence, sequence);
  state.gap = false;
}

std::span<const CachedPrefix> CacheView::Find(uint64_t program_hash) const {
  const auto it = index_.find(program_hash);
  if (it == index_.end()) return {};
  const Slot& slot = slots_[it->second];
  return {slot.locations, slot.count};
}

uint64_t CacheView::ExpectedTokens(uint64_t program_hash,
                                   uint32_t upstream) const {
  const auto it = index_.find(program_hash);
  if (it == index_.end()) return 0;
  const CachedPrefix* location = FindLocation(slots_[it->second], upstream);
  if (location == nullptr) return 0;
  const UpstreamState& state = upstreams_[upstream % upstreams_.size()];
  const double share = state.gap ? state.hit_share / 2 : state.hit_share;
  return static_cast<uint64_t>(share * static_cast<double>(location->tokens));
}

void CacheView::ForgetProgram(uint64_t program_hash) {
  const auto it = index_.find(program_hash);
  if (it == index_.end()) return;
  Unlink(it->second);
  free_.push_back(it->second);
  index_.erase(it);
}

void CacheView::ForgetUpstream(uint32_t upstream) {
  for (const auto& [hash, item] : index_) {
    RemoveLocation(slots_[item], upstream, Ms{INT64_MAX});
  }
  StateOf(upstream) = UpstreamState{};
}

}  // namespace knapweed

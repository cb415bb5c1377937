#include "knapweed/gateway/upstreams.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/ids.h"

namespace knapweed::gateway {
namespace {

/// Fraction of an engine's cache that one gateway counts on; running calls and
/// other gateways take the rest.
constexpr double kCountedCacheShare = 0.6;

/// Time for which an upstream may still be running after it stated that it is
/// draining.
constexpr Ms kDrainNoticeTtl = Seconds(600);
/// Maximum difference between the wall clocks of two VMs.
constexpr Ms kMaxClockSkew{1000};

/// A row that arrives this soon after an upstream seems to have restarted may
/// have been written before that.
constexpr Ms kOldRowTime{500};

/// Speeds assumed of every engine. Only their ratio to one another and to the
/// latency between failure domains matters.
constexpr double kPrefillTokensPerS = 80000;
constexpr double kDecodeTokensPerS = 180;
/// Output tokens assumed for a call on a plain service, so that one rule places
/// both kinds of calls.
constexpr uint32_t kPlainCallTokens = 10;

bool Contains(std::span<const UpstreamPtr> all, const UpstreamPtr& up) {
  return std::find(all.begin(), all.end(), up) != all.end();
}

bool MayGetCall(const Upstream& up, const ChoiceInput& input) {
  const std::vector<std::string>& versions = input.versions;
  const bool is_listed_version =
      versions.empty() || std::find(versions.begin(), versions.end(),
                                    up.entry.version) != versions.end();
  const bool fits_version =
      is_listed_version &&
      (!input.continues_stream || up.version_unsure_until <= input.now);
  return AcceptsCalls(up) && up.entry.service == input.service && fits_version;
}

bool IsClosed(const Upstream& up, Ms now) {
  return NeedsGrant(up, now) && up.closed_until > now;
}

}  // namespace

uint64_t UpstreamSet::CachedTokens(const Upstream& up,
                                   const ChoiceInput& input) const {
  const uint64_t cached = up.cache.CachedTokens(input.prompt);
  if (!settings_.prefix_homes || input.prompt.size() < 2) return cached;
  const PromptPart& shared = input.prompt.front();
  if (cached > shared.tokens) return cached;
  if (input.home_share >= 1) return cached;
  const bool is_home =
      IsHome(HashBytes(up.entry.id, shared.id), input.home_share);
  return is_home ? shared.tokens : 0;
}

UpstreamView UpstreamSet::ViewOf(const Upstream& up, uint32_t index,
                                 const ChoiceInput& input) const {
  UpstreamView view;
  view.prefill_tokens_per_s = kPrefillTokensPerS;
  view.decode_tokens_per_s = kDecodeTokensPerS;
  // Where the memory binds, a program that moves to a faster engine costs more
  // than it gains: its history is prefilled again and evicts others.
  if (settings_.learn_speeds && !input.memory_binds) {
    const double factor = PlacementFactor(FactorAt(up.speed, input.now));
    view.prefill_tokens_per_s /= factor;
    view.decode_tokens_per_s /= factor;
  }
  const CallLoad& load = up.own;
  view.index = index;
  view.domain = up.entry.failure_domain == input.failure_domain ? 0 : 1;
  view.running = std::min(load.calls, up.entry.slots);
  view.queued = load.calls - view.running;
  view.slots = up.entry.slots;
  view.queued_prefill_tokens = load.pending_prefill_tokens;
  view.queued_decode_tokens =
      static_cast<uint64_t>(load.calls) * input.expected_output_tokens;
  view.cached_tokens = CachedTokens(up, input);
  return view;
}

void UpstreamSet::RecordUnit(Upstream& upstream, double ms, Ms now) {
  LoadedFigure& figure = SpeedOf(upstream.entry.service).unit_ms;
  const double typical = figure.recent;
  AddSample(figure, ms, now);
  if (!ShowsSpeed(figure)) {
    HoldRatio(upstream.speed, now);
  } else if (typical > 0) {
    AddRatio(upstream.speed, ms / typical, now);
  }
}

void ReadColdTime(Upstream& up, uint64_t row_version, Ms now) {
  ColdState& cold = up.cold;
  if (row_version <= cold.row_version) return;
  cold.row_version = row_version;
  const Ms until = now + up.entry.cold_remaining;
  const bool may_be_older =
      cold.suspected_at > Ms{0} && now - cold.suspected_at < kOldRowTime;
  if (may_be_older) {
    cold.until = std::max(cold.until, until);
    return;
  }
  cold.until = until;
  cold.suspected_at = Ms{0};
}

void SuspectCold(Upstream& up, Ms span, Ms now) {
  if (span <= Ms{0}) return;
  up.cold.until = std::max(up.cold.until, now + span);
  up.cold.suspected_at = now;
}

bool AcceptsCalls(const Upstream& up) {
  return up.listed && !up.entry.draining && !up.said_draining && !up.evacuated;
}

uint64_t PromptCacheModel::CachedTokens(
    std::span<const PromptPart> prompt) const {
  uint64_t tokens = 0;
  for (const PromptPart& part : prompt) {
    if (!parts_.contains(part.id)) break;
    tokens += part.tokens;
  }
  return tokens;
}

void PromptCacheModel::Record(std::span<const PromptPart> prompt, Ms now) {
  for (const PromptPart& part : prompt) {
    Part& held = parts_[part.id];
    total_tokens_ += part.tokens;
    total_tokens_ -= held.tokens;
    held.tokens = part.tokens;
    held.used_at = now;
  }
  Trim();
}

void PromptCacheModel::Trim() {
  const auto most = static_cast<uint64_t>(
      kCountedCacheShare * static_cast<double>(capacity_tokens_));
  while (total_tokens_ > most && !parts_.empty()) {
    const auto oldest = std::min_element(
        parts_.begin(), parts_.end(), [](const auto& a, const auto& b) {
          return a.second.used_at < b.second.used_at;
        });
    total_tokens_ -= oldest->second.tokens;
    parts_.erase(oldest);
  }
}

bool UpstreamSet::Put(UpstreamEntry entry, uint64_t cache_tokens) {
  const bool evacuated = evacuated_.contains(entry.failure_domain);
  UpstreamPtr& slot = by_id_[entry.id];
  const bool same = slot != nullptr &&
                    slot->entry.started_at_ms == entry.started_at_ms &&
                    slot->entry.address == entry.address &&
                    slot->entry.version == entry.version &&
                    slot->entry.service == entry.service;
  if (!same) {
    if (slot != nullptr) slot->listed = false;
    const bool said_draining = HasDrainNotice(entry);
    slot = std::make_shared<Upstream>(std::move(entry), cache_tokens);
    slot->said_draining = said_draining;
    slot->evacuated = evacuated;
    return true;
  }
  const bool changed = slot->entry.draining != entry.draining || !slot->listed;
  slot->entry = std::move(entry);
  slot->listed = true;
  slot->evacuated = evacuated;
  return changed;
}

void UpstreamSet::SetEvacuated(DomainSet domains) {
  evacuated_ = std::move(domains);
  for (const auto& [id, up] : by_id_) {
    up->evacuated = evacuated_.contains(up->entry.failure_domain);
  }
}

bool UpstreamSet::Remove(const std::string& id) {
  const auto it = by_id_.find(id);
  if (it == by_id_.end()) return false;
  it->second->listed = false;
  by_id_.erase(it);
  return true;
}

void UpstreamSet::MarkDraining(const UpstreamPtr& upstream, Ms wall_time) {
  if (upstream->said_draining) return;
  upstream->said_draining = true;
  std::erase_if(drain_notices_, [&](const auto& item) {
    return item.second.read_at + kDrainNoticeTtl < wall_time;
  });
  const UpstreamEntry& entry = upstream->entry;
  drain_notices_[entry.id] = {entry.address, entry.started_at_ms, wall_time};
}

bool UpstreamSet::HasDrainNotice(const UpstreamEntry& entry) const {
  const auto it = drain_notices_.find(entry.id);
  if (it == drain_notices_.end()) return false;
  const DrainNotice& notice = it->second;
  if (entry.address != notice.address) return false;
  if (entry.started_at_ms == notice.started_at_ms) return true;
  // Listed late: this incarnation was running already when the statement was
  // read, so the statement was its own.
  const Ms started_at{static_cast<int64_t>(entry.started_at_ms)};
  return started_at + kMaxClockSkew < notice.read_at;
}

UpstreamPtr UpstreamSet::FirstToOpen(
    const ChoiceInput& input, std::span<const UpstreamPtr> excluded) const {
  UpstreamPtr first;
  std::pair<Ms, uint64_t> first_order;
  for (const auto& [id, up] : by_id_) {
    if (!MayGetCall(*up, input) || Contains(excluded, up)) continue;
    if (!NeedsGrant(*up, input.now)) continue;
    const Ms opens_at = std::max(up->closed_until, input.now);
    // Calls spread over those that are open now.
    const auto order = std::pair(opens_at, HashBytes(id, input.random));
    if (first != nullptr && first_order <= order) continue;
    first = up;
    first_order = order;
  }
  return first;
}

bool UpstreamSet::HasHome(const ChoiceInput& input) const {
  if (input.home_share >= 1 || input.prompt.empty()) return true;
  return std::any_of(by_id_.begin(), by_id_.end(), [&](const auto& item) {
    const Upstream& up = *item.second;
    const uint64_t part = input.prompt.front().id;
    return MayGetCall(up, input) &&
           IsHome(HashBytes(up.entry.id, part), input.home_share);
  });
}

UpstreamPtr UpstreamSet::Choose(ChoiceInput input,
                                std::span<const UpstreamPtr> excluded) const {
  if (!HasHome(input)) input.home_share = 1;
  std::vector<UpstreamView> views;
  std::vector<UpstreamPtr> candidates;
  views.reserve(by_id_.size());
  for (const auto& [id, up] : by_id_) {
    if (!MayGetCall(*up, input) || Contains(excluded, up)) continue;
    if (IsClosed(*up, input.now)) continue;
    if (input.without_limit && NeedsGrant(*up, input.now)) continue;
    if (input.without_cold && IsCold(*up, input.now)) continue;
    views.push_back(
        ViewOf(*up, static_cast<uint32_t>(candidates.size()), input));
    views.back().usable =
        WouldAllowCall(up->breaker, input.now) && up->avoid_until <= input.now;
    candidates.push_back(up);
  }
  if (candidates.empty()) return nullptr;
  const bool none_usable =
      std::none_of(views.begin(), views.end(),
                   [](const UpstreamView& view) { return view.usable; });
  if (none_usable) {
    for (UpstreamView& view : views) view.usable = true;
  }
  PlacementCall call;
  call.prompt_tokens = input.prompt_tokens;
  call.expected_output_tokens = input.expected_output_tokens != 0
                                    ? input.expected_output_tokens
                                    : kPlainCallTokens;
  call.random = input.random;
  if (input.home_hash != 0) {
    uint64_t best = 0;
    for (const UpstreamView& view : views) {
      const std::string& id = candidates[view.index]->entry.id;
      const uint64_t weight = HashBytes(id, input.home_hash);
      if (!view.usable || weight < best) continue;
      best = weight;
      call.home = view.index;
    }
  }
  const Placement placement = PlaceCall(call, views);
  return placement.index == kNoUpstream ? nullptr : candidates[placement.index];
}

}  // namespace knapweed::gateway

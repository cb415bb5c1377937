#include "knapweed/entry/upstream_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace knapweed {
namespace {

// Upstream ids in the cache view; must exceed the registered upstreams.
constexpr uint32_t kMaxUpstreams = 65536;
/// Capacity assumed for an upstream that has not reported its load.
constexpr uint32_t kDefaultSlots = 8;
constexpr double kDefaultPrefillTokensPerS = 4000;
constexpr double kDefaultDecodeTokensPerS = 50;

bool Serves(const UpstreamState& upstream, const PlacementQuery& query) {
  const SidecarRecord& record = upstream.record;
  if (record.pool != query.pool) return false;
  if (query.model.empty()) return true;
  const auto end = record.models.end();
  return std::find(record.models.begin(), end, query.model) != end;
}

bool Contains(std::span<const UpstreamPtr> list, const UpstreamPtr& upstream) {
  return std::find(list.begin(), list.end(), upstream) != list.end();
}

uint32_t DomainNumber(const FailureDomain& domain) {
  return static_cast<uint32_t>(HashBytes(domain.value));
}

// Returns whether two records describe the same run of a sidecar.
bool SameProcess(const SidecarRecord& a, const SidecarRecord& b) {
  return a.upstream == b.upstream && a.incarnation == b.incarnation &&
         a.rpc == b.rpc;
}

LoadReport DefaultLoadReport() {
  LoadReport report;
  report.slots = kDefaultSlots;
  report.prefill_tokens_per_s = kDefaultPrefillTokensPerS;
  report.decode_tokens_per_s = kDefaultDecodeTokensPerS;
  return report;
}

LoadReport ToReport(const wire::LoadT& load, Ms now) {
  LoadReport report = DefaultLoadReport();
  report.as_of = now;
  report.running = load.running;
  report.queued = load.queued;
  report.queued_prefill_tokens = load.queued_tokens;
  if (load.slots > 0) report.slots = load.slots;
  if (load.prefill_tokens_per_s > 0) {
    report.prefill_tokens_per_s = load.prefill_tokens_per_s;
  }
  if (load.decode_tokens_per_s > 0) {
    report.decode_tokens_per_s = load.decode_tokens_per_s;
  }
  return report;
}

CacheViewOptions CacheOptions() {
  CacheViewOptions options;
  options.max_upstreams = kMaxUpstreams;
  return options;
}

}  // namespace

UpstreamDirectory::UpstreamDirectory(const Clock& clock, FailureDomain domain)
    : clock_(clock),
      domain_(std::move(domain)),
      upstreams_(std::make_shared<const Snapshot>()),
      cache_(CacheOptions()) {}

void UpstreamDirectory::Update(std::span<const SidecarRecord> records) {
  const std::lock_guard lock(update_mu_);
  const std::shared_ptr<const Snapshot> old = std::atomic_load(&upstreams_);
  auto next = std::make_shared<Snapshot>();
  for (const SidecarRecord& record : records) {
    const auto it =
        std::find_if(old->begin(), old->end(), [&](const UpstreamPtr& known) {
          return SameProcess(known->record, record);
        });
    UpstreamPtr upstream;
    if (it != old->end()) {
      upstream = *it;
    } else {
      const uint32_t cache_id = next_cache_id_++ % kMaxUpstreams;
      upstream = std::make_shared<UpstreamState>(record, cache_id);
      upstream->load.report = DefaultLoadReport();
      const std::lock_guard cache_lock(cache_mu_);
      cache_.ForgetUpstream(cache_id);
    }
    if (record.leaving) upstream->leaving = true;
    next->push_back(std::move(upstream));
  }
  std::atomic_store(&upstreams_,
                    std::shared_ptr<const Snapshot>(std::move(next)));
}

UpstreamView UpstreamDirectory::ViewOf(UpstreamState& upstream, uint32_t index,
                                       Ms now) const {
  UpstreamView view;
  view.index = index;
  view.domain = DomainNumber(upstream.record.domain);
  const std::lock_guard lock(upstream.mu);
  view.usable = !upstream.leaving && WouldAllowCall(upstream.breaker, now);
  FillLoad(upstream.load, now, view);
  return view;
}

// Sets the tokens that each upstream probably has cached. A sub-agent's prompt
// starts with its parent's, so the parent's cached prefixes are used until the
// sub-agent has its own.
void UpstreamDirectory::FillCached(const PlacementQuery& query,
                                   const Snapshot& upstreams,
                                   PlacementCall& call,
                                   std::span<UpstreamView> views) const {
  const std::lock_guard lock(cache_mu_);
  std::span<const CachedPrefix> prefixes = cache_.Find(query.program_hash);
  const bool own = !prefixes.empty();
  if (!own) prefixes = cache_.Find(query.parent_hash);
  if (prefixes.empty()) return;
  const uint64_t hash = own ? query.program_hash : query.parent_hash;
  for (UpstreamView& view : views) {
    const uint32_t cache_id = upstreams[view.index]->cache_id;
    const uint64_t tokens = cache_.ExpectedTokens(hash, cache_id);
    view.cached_tokens = std::min(tokens, query.prompt_tokens);
    if (own && prefixes.front().upstream == cache_id) call.home = view.index;
  }
}

UpstreamPtr UpstreamDirectory::Place(const PlacementQuery& query) {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  const Ms now = clock_.Now();
  thread_local std::vector<UpstreamView> views;
  views.clear();
  for (uint32_t i = 0; i < upstreams->size(); ++i) {
    const UpstreamPtr& upstream = (*upstreams)[i];
    if (!Serves(*upstream, query)) continue;
    if (Contains(query.tried, upstream)) continue;
    views.push_back(ViewOf(*upstream, i, now));
  }
  PlacementCall call;
  call.prompt_tokens = query.prompt_tokens;
  call.expected_output_tokens = query.expected_output_tokens;
  call.domain = DomainNumber(domain_);
  call.random = query.random;
  FillCached(query, *upstreams, call, views);
  const Placement placement = PlaceCall(call, views);
  if (placement.index == kNoUpstream) return nullptr;
  const UpstreamPtr& chosen = (*upstreams)[placement.index];
  const std::lock_guard lock(chosen->mu);
  // An open breaker admits one probe at a time; a concurrent second call gets
  // no upstream here.
  return AllowCall(chosen->breaker, now) ? chosen : nullptr;
}

void UpstreamDirectory::OnDispatch(UpstreamState& upstream,
                                   uint64_t prefill_tokens,
                                   uint64_t decode_tokens) const {
  upstream.outstanding.fetch_add(1);
  const std::lock_guard lock(upstream.mu);
  AddOwnDispatch(upstream.load,
                 {clock_.Now(), static_cast<uint32_t>(prefill_tokens),
                  static_cast<uint32_t>(decode_tokens)});
}

void UpstreamDirectory::OnAnswer(UpstreamState& upstream,
                                 const wire::LoadT* load) const {
  upstream.outstanding.fetch_sub(1);
  if (load == nullptr) return;
  if (load->leaving) upstream.leaving = true;
  const std::lock_guard lock(upstream.mu);
  RecordSuccess(upstream.breaker);
  ApplyLoadReport(upstream.load, ToReport(*load, clock_.Now()));
}

void UpstreamDirectory::OnFailure(UpstreamState& upstream,
                                  double random_unit) const {
  const std::lock_guard lock(upstream.mu);
  RecordFailure(upstream.breaker, clock_.Now(), random_unit);
}

void UpstreamDirectory::OnLeaving(std::string_view upstream) {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  for (const UpstreamPtr& it : *upstreams) {
    if (it->record.upstream.value == upstream) it->leaving = true;
  }
}

void UpstreamDirectory::OnCacheReport(const UpstreamState& upstream,
                                      uint64_t program_hash,
                                      const wire::ResultT& result) {
  CacheReport report;
  report.program_hash = program_hash;
  report.upstream = upstream.cache_id;
  report.prompt_tokens = result.prompt_tokens;
  report.cached_tokens = result.cached_tokens;
  report.completion_tokens = result.completion_tokens;
  const std::lock_guard lock(cache_mu_);
  cache_.Record(report, clock_.Now());
}

void UpstreamDirectory::ForgetProgram(uint64_t program_hash) {
  const std::lock_guard lock(cache_mu_);
  cache_.ForgetProgram(program_hash);
}

std::vector<UpstreamPtr> UpstreamDirectory::UpstreamsCaching(
    uint64_t program_hash) const {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  std::vector<UpstreamPtr> found;
  const std::lock_guard lock(cache_mu_);
  for (const CachedPrefix& prefix : cache_.Find(program_hash)) {
    for (const UpstreamPtr& it : *upstreams) {
      if (it->cache_id == prefix.upstream) found.push_back(it);
    }
  }
  return found;
}

std::string UpstreamDirectory::DumpJson() const {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  nlohmann::json list = nlohmann::json::array();
  const Ms now = clock_.Now();
  for (const UpstreamPtr& it : *upstreams) {
    const UpstreamView view = ViewOf(*it, 0, now);
    list.push_back({{"upstream", it->record.upstream.value},
                    {"sidecar", it->record.rpc.ToString()},
                    {"failure_domain", it->record.domain.value},
                    {"pool", it->record.pool},
                    {"models", it->record.models},
                    {"queued", view.queued},
                    {"running", view.running},
                    {"outstanding", it->outstanding.load()},
                    {"leaving", it->leaving.load()},
                    {"usable", view.usable}});
  }
  return list.dump();
}

}  // namespace knapweed

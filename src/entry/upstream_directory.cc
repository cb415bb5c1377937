#include "knapweed/entry/upstream_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace knapweed {
namespace {

constexpr Ms kUnreachablePause = Seconds(2);
constexpr size_t kMaxHomes = 200000;

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

bool SameRecord(const SidecarRecord& a, const SidecarRecord& b) {
  return a.upstream == b.upstream && a.incarnation == b.incarnation &&
         a.rpc == b.rpc;
}

}  // namespace

UpstreamDirectory::UpstreamDirectory(const Clock& clock, FailureDomain domain)
    : clock_(clock),
      domain_(std::move(domain)),
      upstreams_(std::make_shared<const Snapshot>()) {}

void UpstreamDirectory::Update(std::span<const SidecarRecord> records) {
  const std::shared_ptr<const Snapshot> old = std::atomic_load(&upstreams_);
  auto next = std::make_shared<Snapshot>();
  for (const SidecarRecord& record : records) {
    const auto it =
        std::find_if(old->begin(), old->end(), [&](const UpstreamPtr& known) {
          return SameRecord(known->record, record);
        });
    UpstreamPtr upstream =
        it == old->end() ? std::make_shared<UpstreamState>(record) : *it;
    if (record.leaving) upstream->leaving = true;
    next->push_back(std::move(upstream));
  }
  std::atomic_store(&upstreams_,
                    std::shared_ptr<const Snapshot>(std::move(next)));
}

UpstreamView UpstreamDirectory::ViewOf(const UpstreamState& upstream,
                                       uint32_t index, Ms now) const {
  UpstreamView view;
  view.index = index;
  view.domain = DomainNumber(upstream.record.domain);
  view.usable = !upstream.leaving && upstream.down_until_ms.load() <= now.count;
  const uint32_t seen = upstream.queued + upstream.running;
  const uint32_t outstanding = upstream.outstanding;
  view.running = std::max<uint32_t>(upstream.running, 0);
  view.queued = upstream.queued;
  if (outstanding > seen) view.queued += outstanding - seen;
  view.slots = std::max<uint32_t>(upstream.slots, 1);
  view.queued_prefill_tokens = std::max<uint64_t>(
      upstream.queued_tokens.load(), upstream.outstanding_tokens.load());
  view.prefill_tokens_per_s = upstream.prefill_tokens_per_s;
  view.decode_tokens_per_s = upstream.decode_tokens_per_s;
  view.view_age = now - Ms{upstream.load_at_ms.load()};
  return view;
}

UpstreamPtr UpstreamDirectory::Place(const PlacementQuery& query) const {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  const Ms now = clock_.Now();
  const Home home = FindHome(query.program);
  const Home parent_home =
      query.parent.empty() ? Home{}
                           : FindHome({query.program.workspace, query.parent});
  thread_local std::vector<UpstreamView> views;
  views.clear();
  PlacementCall call;
  call.prompt_tokens = query.prompt_tokens;
  call.expected_output_tokens = query.expected_output_tokens;
  call.domain = DomainNumber(domain_);
  call.home = kNoUpstream;
  call.random = query.random;
  for (uint32_t i = 0; i < upstreams->size(); ++i) {
    const UpstreamPtr& upstream = (*upstreams)[i];
    if (!Serves(*upstream, query)) continue;
    if (Contains(query.tried, upstream)) continue;
    UpstreamView view = ViewOf(*upstream, i, now);
    if (upstream->record.upstream == home.upstream) {
      call.home = i;
      view.cached_tokens = std::min(home.tokens, query.prompt_tokens);
    } else if (upstream->record.upstream == parent_home.upstream) {
      view.cached_tokens = std::min(parent_home.tokens, query.prompt_tokens);
    }
    views.push_back(view);
  }
  const Placement placement = PlaceCall(call, views);
  if (placement.index == kNoUpstream) return nullptr;
  return (*upstreams)[placement.index];
}

void UpstreamDirectory::OnDispatch(UpstreamState& upstream,
                                   uint64_t tokens) const {
  upstream.outstanding.fetch_add(1);
  upstream.outstanding_tokens.fetch_add(tokens);
}

void UpstreamDirectory::OnAnswer(UpstreamState& upstream, uint64_t tokens,
                                 const wire::LoadT* load) const {
  upstream.outstanding.fetch_sub(1);
  upstream.outstanding_tokens.fetch_sub(tokens);
  if (load == nullptr) return;
  upstream.queued = load->queued;
  upstream.running = load->running;
  upstream.queued_tokens = load->queued_tokens;
  if (load->slots > 0) upstream.slots = load->slots;
  if (load->prefill_tokens_per_s > 0) {
    upstream.prefill_tokens_per_s = load->prefill_tokens_per_s;
  }
  if (load->decode_tokens_per_s > 0) {
    upstream.decode_tokens_per_s = load->decode_tokens_per_s;
  }
  if (load->leaving) upstream.leaving = true;
  upstream.load_at_ms = clock_.Now().count;
}

void UpstreamDirectory::OnUnreachable(UpstreamState& upstream) const {
  upstream.down_until_ms = (clock_.Now() + kUnreachablePause).count;
}

void UpstreamDirectory::OnLeaving(std::string_view upstream) {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  for (const UpstreamPtr& it : *upstreams) {
    if (it->record.upstream.value == upstream) it->leaving = true;
  }
}

UpstreamDirectory::Home UpstreamDirectory::FindHome(
    const ProgramKey& program) const {
  const std::lock_guard lock(homes_mu_);
  const auto it = homes_.find(program);
  return it == homes_.end() ? Home{} : it->second;
}

void UpstreamDirectory::RememberHome(const ProgramKey& program,
                                     const UpstreamId& upstream,
                                     uint64_t tokens) {
  const std::lock_guard lock(homes_mu_);
  // A lost hint costs one recomputation; an unbounded table costs the process.
  if (homes_.size() >= kMaxHomes) homes_.erase(homes_.begin());
  homes_[program] = Home{upstream, tokens};
}

void UpstreamDirectory::ForgetHome(const ProgramKey& program) {
  const std::lock_guard lock(homes_mu_);
  homes_.erase(program);
}

std::string UpstreamDirectory::DumpJson() const {
  const std::shared_ptr<const Snapshot> upstreams =
      std::atomic_load(&upstreams_);
  nlohmann::json list = nlohmann::json::array();
  const Ms now = clock_.Now();
  for (const UpstreamPtr& it : *upstreams) {
    list.push_back({{"upstream", it->record.upstream.value},
                    {"sidecar", it->record.rpc.ToString()},
                    {"failure_domain", it->record.domain.value},
                    {"pool", it->record.pool},
                    {"queued", it->queued.load()},
                    {"running", it->running.load()},
                    {"outstanding", it->outstanding.load()},
                    {"leaving", it->leaving.load()},
                    {"down", it->down_until_ms.load() > now.count}});
  }
  return list.dump();
}

}  // namespace knapweed

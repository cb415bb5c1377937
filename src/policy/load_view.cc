#include "knapweed/policy/load_view.h"

#include <algorithm>

namespace knapweed {

bool ApplyLoadReport(LoadView& view, const LoadReport& report) {
  if (report.as_of < view.report.as_of) return false;
  view.report = report;
  auto* const begin = view.own.begin();
  auto* end = std::remove_if(
      begin, begin + view.own_count,
      [&](const OwnDispatch& it) { return it.at <= report.as_of; });
  view.own_count = static_cast<uint32_t>(end - begin);
  return true;
}

void AddOwnDispatch(LoadView& view, const OwnDispatch& dispatch) {
  if (view.own_count == LoadView::kMaxOwn) {
    OwnDispatch& second = view.own[1];
    second.prefill_tokens += view.own[0].prefill_tokens;
    second.decode_tokens += view.own[0].decode_tokens;
    std::copy(view.own.begin() + 1, view.own.end(), view.own.begin());
    --view.own_count;
  }
  view.own[view.own_count] = dispatch;
  ++view.own_count;
}

void FillLoad(const LoadView& view, Ms now, UpstreamView& upstream) {
  const LoadReport& report = view.report;
  upstream.running = report.running;
  upstream.queued = report.queued + view.own_count;
  upstream.slots = std::max(report.slots, 1U);
  upstream.queued_prefill_tokens = report.queued_prefill_tokens;
  upstream.queued_decode_tokens = report.queued_decode_tokens;
  upstream.prefill_tokens_per_s = std::max(report.prefill_tokens_per_s, 1.0);
  upstream.decode_tokens_per_s = std::max(report.decode_tokens_per_s, 1.0);
  upstream.view_age = now - report.as_of;
  for (uint32_t i = 0; i < view.own_count; ++i) {
    upstream.queued_prefill_tokens += view.own[i].prefill_tokens;
    upstream.queued_decode_tokens += view.own[i].decode_tokens;
  }
}

}  // namespace knapweed

#include <nlohmann/json.hpp>

#include "knapweed/sidecar/dispatcher.h"

namespace knapweed {
namespace {

using nlohmann::json;

/// Maximum number of active calls in a dump.
constexpr size_t kMaxDumpedCalls = 200;

json CallToJson(const ActiveCall& call, Ms now) {
  return {{"attempt", call.dispatch.attempt},
          {"workspace", call.dispatch.workspace},
          {"program", call.dispatch.program},
          {"model", call.dispatch.model},
          {"partition", call.dispatch.partition},
          {"non_idempotent", call.dispatch.non_idempotent},
          {"running", call.running},
          {"age_ms", (now - call.arrived).count},
          {"deadline_in_ms", (call.deadline - now).count}};
}

json EpochsToJson(const EpochFence& fence) {
  json epochs = json::object();
  for (size_t i = 0; i < fence.floor().size(); ++i) {
    const uint64_t n = fence.floor()[i].n;
    if (n != 0) epochs[std::to_string(i)] = n;
  }
  return epochs;
}

json QuarantineToJson(const Quarantine& quarantine) {
  json digests = json::object();
  for (const CrashRecord& record : quarantine.Records()) {
    if (record.cleared) continue;
    const QuarantineVerdict verdict =
        quarantine.VerdictOf(record.digest, WallTime());
    if (verdict == QuarantineVerdict::kClear) continue;
    digests[std::to_string(record.digest)] =
        verdict == QuarantineVerdict::kQuarantined ? "quarantined" : "suspect";
  }
  return digests;
}

}  // namespace

json Dispatcher::ToJson() const {
  const std::lock_guard lock(mu_);
  const Ms now = clock_.Now();
  json calls = json::array();
  for (const auto& [attempt, call] : active_) {
    if (calls.size() >= kMaxDumpedCalls) break;
    calls.push_back(CallToJson(*call, now));
  }
  json crashes = json::object();
  for (const auto& [digest, n] : local_crashes_) {
    crashes[std::to_string(digest)] = n;
  }
  const wire::LoadT load = LoadLocked();
  return {{"open", open_},
          {"draining", draining_},
          {"upstream_up", upstream_up_},
          {"calls", std::move(calls)},
          {"load",
           {{"queued", load.queued},
            {"running", load.running},
            {"slots", load.slots},
            {"queued_tokens", load.queued_tokens},
            {"decode_tokens_per_s", load.decode_tokens_per_s},
            {"prefill_tokens_per_s", load.prefill_tokens_per_s}}},
          {"attempts",
           {{"remembered", attempts_.size()},
            {"result_bytes", attempts_.result_bytes()},
            {"dropped_ids", attempts_.dropped_ids()}}},
          {"epochs", EpochsToJson(fence_)},
          {"crashes", std::move(crashes)},
          {"quarantine", QuarantineToJson(quarantine_)}};
}

}  // namespace knapweed

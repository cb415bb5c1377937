#include "knapweed/gateway/held_memory.h"

#include <algorithm>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("memory");

}  // namespace

HeldMemory::HeldMemory(uint64_t memory_mb, Metrics& metrics)
    : metrics_(metrics),
      copies_limit_bytes_(CopiesLimit(memory_mb)),
      account_(std::make_shared<Account>()) {
  account_->state.limit_bytes = HeldBytesLimit(memory_mb);
}

void HeldMemory::ReportRefusal(std::string_view request_id,
                               uint64_t wanted_bytes) {
  metrics_.GetCounter("memory_refusals_total").Add();
  kLog.Info("Refused a request for lack of memory.",
            {{"request", request_id},
             {"wanted_bytes", wanted_bytes},
             {"held_bytes", state().held_bytes},
             {"limit_bytes", state().limit_bytes}});
}

void HeldMemory::UpdateGauges() {
  if (!is_bounded()) return;
  const auto set = [this](std::string_view name, uint64_t bytes) {
    metrics_.GetGauge(name).Set(static_cast<int64_t>(bytes));
  };
  set("held_bytes", state().held_bytes);
  set("held_peak_bytes", account_->peak_bytes);
  set("held_limit_bytes", state().limit_bytes);
}

void HeldBytes::Set(uint64_t bytes) {
  HeldState& state = account_->state;
  if (state.limit_bytes == 0) return;
  state.held_bytes += bytes - bytes_;
  bytes_ = bytes;
  account_->peak_bytes = std::max(account_->peak_bytes, state.held_bytes);
}

}  // namespace knapweed::gateway

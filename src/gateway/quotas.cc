#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("quota");

/// Shares of the limit of a window. Below the first and the second a gateway
/// need not ask how the rate is split, only keep to a cap; above the third
/// programs do not begin. What lies above is for calls of those under way.
constexpr double kCalmShare = 0.65;
constexpr double kBusyShare = 0.85;
constexpr double kProgramShare = 0.7;
/// Programs do not begin either while those under way send more than this share
/// of the rate: their next calls are still to come.
constexpr double kProgramDemand = 0.85;
/// Part of the burst that the window's limit counts; the rest and the tolerance
/// cover what gateways have not heard of each other yet.
constexpr double kBurstCounted = 0.5;
/// The caps on a gateway's calls in a second: a number that programs send at
/// their start, and a multiple of its even part of the rate. They keep what the
/// others have not heard of yet within the tolerance.
constexpr double kCalmCalls = 10;
constexpr double kCalmRateFactor = 2;
constexpr double kBusyCalls = 8;
constexpr double kBusyRateFactor = 1.6;
/// Others that were not heard of for this long may have changed.
constexpr Ms kOutOfTouchAfter{2500};
/// What a gateway let through in this long before it died was told to nobody.
constexpr double kUntoldS = 0.6;
/// The share's own burst, in seconds of its rate and in calls.
constexpr double kShareBurstS = 1;
constexpr double kShareBurstLeast = 4;
/// When a refused call should come back.
constexpr Ms kRetryCall{300};
constexpr Ms kRetryProgram{700};

uint32_t Sum(std::span<const uint32_t> counts) {
  return std::accumulate(counts.begin(), counts.end(), uint32_t{0});
}

}  // namespace

double ShareOfRate(const QuotaInput& input) {
  const double all = input.own.demand_per_s + input.others.demand_per_s;
  if (all >= input.rate_per_s) {
    return input.rate_per_s * input.own.demand_per_s / std::max(all, 1e-9);
  }
  return input.own.demand_per_s +
         (input.rate_per_s - all) / std::max(input.gateways, uint32_t{1});
}

QuotaDecision DecideQuota(const QuotaInput& input) {
  const double limit =
      input.rate_per_s * input.window.Seconds() + kBurstCounted * input.burst;
  const double used = input.own.calls + input.others.calls;
  if (used >= limit) return QuotaDecision::kRefuse;
  if (input.begins_program) {
    const double demand = input.own.demand_per_s + input.others.demand_per_s;
    const bool room = used < kProgramShare * limit &&
                      demand < kProgramDemand * input.rate_per_s;
    if (!room) return QuotaDecision::kRefuse;
  }
  if (input.out_of_touch) return QuotaDecision::kFromShare;
  const double even = input.rate_per_s / std::max(input.gateways, uint32_t{1});
  const double cap = used < kCalmShare * limit
                         ? kCalmCalls + kCalmRateFactor * even
                         : std::max(kBusyCalls, kBusyRateFactor * even);
  const bool open = used < kBusyShare * limit && input.own_last_second < cap;
  return open ? QuotaDecision::kAllow : QuotaDecision::kFromShare;
}

int64_t Quotas::SlotNow() const {
  const int64_t span = tolerance_.window.count / static_cast<int64_t>(kSlots);
  return clock_.Now().count / std::max(span, int64_t{1});
}

void Quotas::Advance(Counts& counts) const {
  const int64_t now = SlotNow();
  const int64_t passed =
      std::min(now - counts.newest_slot, static_cast<int64_t>(kSlots));
  for (int64_t i = 0; i < passed; ++i) {
    std::rotate(counts.allowed.begin(), counts.allowed.begin() + 1,
                counts.allowed.end());
    counts.allowed.back() = 0;
    std::rotate(counts.came.begin(), counts.came.begin() + 1,
                counts.came.end());
    counts.came.back() = 0;
  }
  counts.newest_slot = now;
}

WorkspaceUse Quotas::UseOf(const Counts& counts) const {
  // The demand of the last second and a half, so that a new one shows soon.
  constexpr size_t kDemandSlots = 3;
  const std::span came(counts.came);
  const double span_s =
      tolerance_.window.Seconds() * kDemandSlots / static_cast<double>(kSlots);
  return {static_cast<double>(Sum(counts.allowed)),
          Sum(came.last(kDemandSlots)) / std::max(span_s, 1e-3)};
}

QuotaVerdict Quotas::Take(const Workspace& workspace, bool begins_program) {
  if (workspace.rate_per_s <= 0) return {true, Ms{0}};
  const auto [it, is_new] = counts_.try_emplace(workspace.name);
  Counts& counts = it->second;
  if (is_new) counts.share.tokens = kShareBurstLeast;
  Advance(counts);
  constexpr size_t kSecondSlots = 2;
  QuotaInput input;
  input.rate_per_s = workspace.rate_per_s;
  input.burst = workspace.burst;
  input.window = tolerance_.window;
  input.own = UseOf(counts);
  input.own_last_second = Sum(std::span(counts.allowed).last(kSecondSlots));
  const auto others = others_.find(workspace.name);
  if (others != others_.end()) input.others = others->second;
  input.gateways = gateways_;
  input.out_of_touch = clock_.Now() - heard_at_ > kOutOfTouchAfter;
  input.begins_program = begins_program;
  QuotaDecision decision = DecideQuota(input);
  if (decision == QuotaDecision::kFromShare) {
    const Ms now = clock_.Now();
    const double share = ShareOfRate(input);
    FillBucket(counts.share, now);
    counts.share.filled_at = now;
    counts.share.rate_per_s = share;
    counts.share.burst = std::max(kShareBurstS * share, kShareBurstLeast);
    const BucketTake take = TakeTokens(counts.share, 1, now);
    decision = take.taken ? QuotaDecision::kAllow : QuotaDecision::kRefuse;
  }
  // The first turn of a program that may not begin is no demand to share the
  // rate by.
  if (decision == QuotaDecision::kAllow || !begins_program) {
    ++counts.came.back();
  }
  if (decision == QuotaDecision::kAllow) {
    ++counts.allowed.back();
    return {true, Ms{0}};
  }
  kLog.Info("A call is over its workspace's rate.",
            {{"workspace", workspace.name},
             {"rate_per_s", std::to_string(workspace.rate_per_s)},
             {"own_calls", std::to_string(input.own.calls)},
             {"other_calls", std::to_string(input.others.calls)},
             {"heard_ms_ago", (clock_.Now() - heard_at_).count},
             {"begins_program", begins_program ? 1 : 0}});
  return {false, begins_program ? kRetryProgram : kRetryCall};
}

void Quotas::Return(const std::string& workspace) {
  const auto it = counts_.find(workspace);
  if (it == counts_.end()) return;
  uint32_t& newest = it->second.allowed.back();
  if (newest > 0) --newest;
}

UseByWorkspace Quotas::OwnUse() {
  UseByWorkspace use;
  for (auto& [name, counts] : counts_) {
    Advance(counts);
    const WorkspaceUse own = UseOf(counts);
    if (own.calls > 0 || own.demand_per_s > 0) use[name] = own;
  }
  return use;
}

void Quotas::Inherit(const UseByWorkspace& use, Ms age) {
  if (age > tolerance_.window) return;
  for (const auto& [name, item] : use) {
    const auto [it, is_new] = counts_.try_emplace(name);
    if (is_new) it->second.share.tokens = kShareBurstLeast;
    Advance(it->second);
    // Calls went on for a moment after they were last told of.
    const double calls = item.calls + item.demand_per_s * kUntoldS;
    it->second.allowed.back() += static_cast<uint32_t>(std::lround(calls));
  }
}

void Quotas::SetOthers(std::span<const UseByWorkspace> others) {
  others_.clear();
  for (const UseByWorkspace& use : others) {
    for (const auto& [name, item] : use) {
      others_[name].calls += item.calls;
      others_[name].demand_per_s += item.demand_per_s;
    }
  }
  gateways_ = static_cast<uint32_t>(others.size()) + 1;
  heard_at_ = clock_.Now();
}

}  // namespace knapweed::gateway

#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweed::gateway {
namespace {

/// Shares of the limit of a window. Below the first and the second a gateway
/// need not ask how the rate is split, only keep to a cap; above the third
/// programs do not begin. What lies above is for calls of those under way.
constexpr double kLowUseShare = 0.65;
constexpr double kHighUseShare = 0.85;
constexpr double kNewProgramShare = 0.85;
/// Below this share of the limit and of the rate programs begin freely.
constexpr double kUnrestrictedShare = 0.5;
/// The calls of the programs begun in a window, by the calls that a program
/// makes, against what the rate carries: some programs break off early.
constexpr double kProgramOvercommit = 1.1;
/// Share of that for programs that first asked longer ago than this.
constexpr double kRetriedProgramShare = 0.5;
constexpr Ms kRetriedAfter{300};
/// Weight of what was just heard in the calls that a program makes, and the
/// programs that it takes to learn anything.
constexpr double kEstimateWeight = 0.05;
constexpr double kMinProgramsToEstimate = 3;
constexpr double kMinCallsPerProgram = 1;
constexpr double kMaxCallsPerProgram = 60;
/// Part of the burst that the window's limit counts; the rest and the tolerance
/// cover what gateways have not heard of each other yet.
constexpr double kBurstCounted = 0.5;
/// The caps on a gateway's calls in a second: a number that programs send at
/// their start, and a multiple of its even part of the rate. They keep what the
/// others have not heard of yet within the tolerance.
constexpr double kLowUseCapCalls = 10;
constexpr double kLowUseCapFactor = 2;
constexpr double kMediumUseCapCalls = 8;
constexpr double kMediumUseCapFactor = 1.6;
/// Others that were not heard of for this long may have changed.
constexpr Ms kOthersStaleAfter{2500};
/// What a gateway let through in this long before it died was told to nobody.
constexpr double kUnreportedS = 0.6;
/// The share's own burst, in seconds of its rate and in calls.
constexpr double kShareBurstS = 1;
constexpr double kMinShareBurst = 4;
/// When a refused call should come back.
constexpr Ms kCallRetryAfter{300};
constexpr Ms kProgramRetryAfter{700};

template <size_t N>
void Shift(std::array<uint32_t, N>& slots) {
  std::rotate(slots.begin(), slots.begin() + 1, slots.end());
  slots.back() = 0;
}

uint32_t Sum(std::span<const uint32_t> counts) {
  return std::accumulate(counts.begin(), counts.end(), uint32_t{0});
}

/// Whether a program may begin. Each gateway takes its part of the room that is
/// left, by the first turns that come to it; the others hear of it later.
bool MayBegin(const QuotaInput& input, double used, double limit) {
  const double demand = input.own.demand_per_s + input.others.demand_per_s;
  const bool unrestricted = used < kUnrestrictedShare * limit &&
                            demand < kUnrestrictedShare * input.rate_per_s;
  if (unrestricted) return true;
  if (used >= kNewProgramShare * limit) return false;
  const double max_programs =
      kProgramOvercommit * input.rate_per_s * input.window.Seconds() /
      std::max(input.calls_per_program, kMinCallsPerProgram);
  // Programs begun here since then are taken from the part below.
  const double begun =
      input.own.programs + input.others.programs - input.begun_since_update;
  // One that was refused before will hardly end in time: it waits for others
  // that can, unless there is much room.
  const double share = input.waited > kRetriedAfter ? kRetriedProgramShare : 1;
  const double room = share * max_programs - begun;
  if (room <= 0) return false;
  const double total_demand =
      input.own.program_demand_per_s + input.others.program_demand_per_s;
  const double own_part = total_demand > 0
                              ? input.own.program_demand_per_s / total_demand
                              : 1.0 / std::max(input.gateways, uint32_t{1});
  return input.begun_since_update <
         std::floor(room * own_part + input.rounding_offset);
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
  if (input.begins_program && !MayBegin(input, used, limit)) {
    return QuotaDecision::kRefuse;
  }
  if (input.others_stale) return QuotaDecision::kFromShare;
  const double even_share =
      input.rate_per_s / std::max(input.gateways, uint32_t{1});
  const double cap =
      used < kLowUseShare * limit
          ? kLowUseCapCalls + kLowUseCapFactor * even_share
          : std::max(kMediumUseCapCalls, kMediumUseCapFactor * even_share);
  const bool below_cap =
      used < kHighUseShare * limit && input.own_last_second < cap;
  return below_cap ? QuotaDecision::kAllow : QuotaDecision::kFromShare;
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
    Shift(counts.allowed);
    Shift(counts.arrived);
    Shift(counts.begun);
    Shift(counts.begin_requests);
  }
  counts.newest_slot = now;
}

WorkspaceUse Quotas::UseOf(const Counts& counts) const {
  // The demand of the last second and a half, so that a new one shows soon.
  constexpr size_t kDemandSlots = 3;
  const double span_s = std::max(
      tolerance_.window.Seconds() * kDemandSlots / static_cast<double>(kSlots),
      1e-3);
  const auto per_s = [&](std::span<const uint32_t> slots) {
    return Sum(slots.last(kDemandSlots)) / span_s;
  };
  return {static_cast<double>(Sum(counts.allowed)), per_s(counts.arrived),
          static_cast<double>(Sum(counts.begun)), per_s(counts.begin_requests)};
}

QuotaVerdict Quotas::Take(const Workspace& workspace, bool begins_program,
                          Ms waited) {
  QuotaVerdict verdict;
  if (workspace.rate_per_s <= 0) {
    verdict.allowed = true;
    return verdict;
  }
  const auto [it, is_new] = counts_.try_emplace(workspace.name);
  Counts& counts = it->second;
  if (is_new) counts.share.tokens = kMinShareBurst;
  Advance(counts);
  if (begins_program) ++counts.begin_requests.back();
  constexpr size_t kSecondSlots = 2;
  QuotaInput& input = verdict.input;
  input.rate_per_s = workspace.rate_per_s;
  input.burst = workspace.burst;
  input.window = tolerance_.window;
  input.own = UseOf(counts);
  input.own_last_second = Sum(std::span(counts.allowed).last(kSecondSlots));
  const auto others = others_.find(workspace.name);
  if (others != others_.end()) input.others = others->second;
  input.gateways = gateways_;
  verdict.others_age = clock_.Now() - others_updated_at_;
  input.others_stale = verdict.others_age > kOthersStaleAfter;
  input.begins_program = begins_program;
  input.waited = waited;
  input.calls_per_program = counts.calls_per_program;
  input.begun_since_update = counts.begun_since_update;
  input.rounding_offset = std::uniform_real_distribution<double>(0, 1)(random_);
  QuotaDecision decision = DecideQuota(input);
  if (decision == QuotaDecision::kFromShare) {
    const Ms now = clock_.Now();
    const double share = ShareOfRate(input);
    FillBucket(counts.share, now);
    counts.share.filled_at = now;
    counts.share.rate_per_s = share;
    counts.share.burst = std::max(kShareBurstS * share, kMinShareBurst);
    const TakeResult take = TakeTokens(counts.share, 1, now);
    decision = take.taken ? QuotaDecision::kAllow : QuotaDecision::kRefuse;
  }
  // The first turn of a program that may not begin is no demand to share the
  // rate by.
  if (decision == QuotaDecision::kAllow || !begins_program) {
    ++counts.arrived.back();
  }
  if (decision == QuotaDecision::kAllow) {
    ++counts.allowed.back();
    if (begins_program) {
      ++counts.begun.back();
      ++counts.begun_since_update;
    }
    verdict.allowed = true;
    return verdict;
  }
  verdict.retry_after = begins_program ? kProgramRetryAfter : kCallRetryAfter;
  return verdict;
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

void Quotas::RestoreUse(const UseByWorkspace& use, Ms age) {
  if (age > tolerance_.window) return;
  for (const auto& [name, item] : use) {
    const auto [it, is_new] = counts_.try_emplace(name);
    if (is_new) it->second.share.tokens = kMinShareBurst;
    Advance(it->second);
    // Calls went on for a moment after they were last told of.
    const double calls = item.calls + item.demand_per_s * kUnreportedS;
    it->second.allowed.back() += static_cast<uint32_t>(std::lround(calls));
  }
}

void Quotas::SetOthers(std::span<const UseByWorkspace> others, Ms age) {
  others_.clear();
  for (const UseByWorkspace& use : others) {
    for (const auto& [name, item] : use) {
      others_[name].calls += item.calls;
      others_[name].demand_per_s += item.demand_per_s;
      others_[name].programs += item.programs;
      others_[name].program_demand_per_s += item.program_demand_per_s;
    }
  }
  gateways_ = static_cast<uint32_t>(others.size()) + 1;
  others_updated_at_ = clock_.Now() - age;
  UpdateCallsPerProgram();
}

void Quotas::UpdateCallsPerProgram() {
  for (auto& [name, counts] : counts_) {
    Advance(counts);
    counts.begun_since_update = 0;
    WorkspaceUse all = UseOf(counts);
    const auto others = others_.find(name);
    if (others != others_.end()) {
      all.calls += others->second.calls;
      all.programs += others->second.programs;
    }
    if (all.programs < kMinProgramsToEstimate) continue;
    const double observed = std::clamp(
        all.calls / all.programs, kMinCallsPerProgram, kMaxCallsPerProgram);
    counts.calls_per_program +=
        kEstimateWeight * (observed - counts.calls_per_program);
  }
}

}  // namespace knapweed::gateway

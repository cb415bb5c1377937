#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweed::gateway {
namespace {

/// Fractions of the window's limit. While less than the first or the second is
/// used, a gateway admits calls up to a cap per second without regard to its
/// share of the rate. Above the third no programs start, which leaves the rest
/// to the calls of programs in progress.
constexpr double kLowUseShare = 0.65;
constexpr double kHighUseShare = 0.85;
constexpr double kNewProgramShare = 0.85;
/// Below this fraction of the limit and of the rate programs start without
/// restriction.
constexpr double kUnrestrictedShare = 0.5;
/// Expected calls of the programs started in a window, relative to what the
/// rate allows. Above 1 because some programs end early.
constexpr double kProgramOvercommit = 1.1;
/// Fraction of that load up to which programs may start whose first attempt is
/// longer ago than `kRetriedAfter`.
constexpr double kRetriedProgramShare = 0.5;
constexpr Ms kRetriedAfter{300};
/// Weight of a new observation in the estimated calls per program, and the
/// programs that one observation requires.
constexpr double kEstimateWeight = 0.05;
constexpr double kMinProgramsToEstimate = 3;
constexpr double kMinCallsPerProgram = 1;
constexpr double kMaxCallsPerProgram = 60;
/// Fraction of the burst that counts into the window's limit. The rest and the
/// tolerance cover calls that gateways have not yet reported to each other.
constexpr double kBurstCounted = 0.5;
/// Caps on a gateway's calls per second, made of the number of calls that a
/// program sends at its start and a multiple of the gateway's even share of the
/// rate. They keep calls not yet reported to the other gateways within the
/// tolerance.
constexpr double kLowUseCapCalls = 10;
constexpr double kLowUseCapFactor = 2;
constexpr double kMediumUseCapCalls = 8;
constexpr double kMediumUseCapFactor = 1.6;
/// Age from which counts of the other gateways are out of date.
constexpr Ms kOthersStaleAfter{2500};
/// Seconds before a crash whose calls the gateway had not published.
constexpr double kUnreportedS = 0.6;
/// Burst of the token bucket of a gateway's share, in seconds of the share, and
/// its minimum in calls.
constexpr double kShareBurstS = 1;
constexpr double kMinShareBurst = 4;
/// Delay after which a refused call, or a refused program, should be retried.
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

/// Returns whether a program may start. Each gateway takes a part of the
/// remaining room, in proportion to the first turns that arrive there; the
/// other gateways receive its counts later.
bool MayBegin(const QuotaInput& input, double used, double limit) {
  const double demand = input.own.demand_per_s + input.others.demand_per_s;
  const bool unrestricted = used < kUnrestrictedShare * limit &&
                            demand < kUnrestrictedShare * input.rate_per_s;
  if (unrestricted) return true;
  if (used >= kNewProgramShare * limit) return false;
  const double max_programs =
      kProgramOvercommit * input.rate_per_s * input.window.Seconds() /
      std::max(input.calls_per_program, kMinCallsPerProgram);
  // Programs started here since the last update are counted against this
  // gateway's part below.
  const double begun =
      input.own.programs + input.others.programs - input.begun_since_update;
  // A program that was refused before is unlikely to end in time, so it yields
  // to others that can, unless there is much room.
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
  // Demand over the last 1.5 s of a 5 s window, so that a change shows quickly.
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
  // Refused first turns are not part of the demand by which the rate is shared.
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
    // Includes an estimate of the calls after the last publication.
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

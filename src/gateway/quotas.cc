#include "knapweed/gateway/quotas.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweed::gateway {
namespace {

/// Weight of a new observation in the estimated calls per program, and the
/// programs that one observation requires.
constexpr double kEstimateWeight = 0.05;
constexpr double kMinProgramsToEstimate = 3;
constexpr double kMinCallsPerProgram = 1;
constexpr double kMaxCallsPerProgram = 60;
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

}  // namespace

int64_t Quotas::SlotNow() const {
  const int64_t span =
      tolerance_.window.count / static_cast<int64_t>(kSlotsPerWindow);
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
    Shift(counts.granted);
  }
  counts.newest_slot = now;
}

Ms Quotas::DemandSpan() const {
  return tolerance_.window * static_cast<int64_t>(kDemandSlots) /
         static_cast<int64_t>(kSlotsPerWindow);
}

double Quotas::Programs(const Slots& slots) {
  return Sum(std::span(slots).last(kSlotsPerWindow));
}

WorkspaceUse Quotas::UseOf(const Counts& counts) const {
  const double span_s = std::max(DemandSpan().Seconds(), 1e-3);
  const auto per_s = [&](std::span<const uint32_t> slots) {
    return Sum(slots.last(kDemandSlots)) / span_s;
  };
  // Refused programs come back in waves, so a lull does not mean that few are
  // waiting: the larger of the short and the long average counts.
  const double program_demand =
      std::max(per_s(counts.begin_requests),
               Programs(counts.begin_requests) / tolerance_.window.Seconds());
  return {static_cast<double>(Sum(counts.allowed)), per_s(counts.allowed),
          per_s(counts.arrived), Programs(counts.begun), program_demand};
}

Quotas::Counts& Quotas::CountsOf(const std::string& workspace) {
  const auto [it, is_new] = counts_.try_emplace(workspace);
  if (is_new) it->second.share.tokens = kMinShareBurst;
  Advance(it->second);
  return it->second;
}

QuotaInput Quotas::InputFor(const Workspace& workspace, const Counts& counts) {
  QuotaInput input;
  input.rate_per_s = workspace.rate_per_s;
  input.burst = workspace.burst;
  input.tolerance = tolerance_;
  input.own = UseOf(counts);
  const auto others = others_.use.find(workspace.name);
  if (others != others_.use.end()) input.others = others->second;
  if (others_.silent_gateways > 0) {
    KnownDemand known;
    const auto it = others_.known.find(workspace.name);
    if (it != others_.known.end()) known = it->second;
    known.gateways_in_contact = gateways_;
    known.silent_gateways = others_.silent_gateways;
    const double part = PartInContact(workspace.rate_per_s, known);
    input.rate_per_s *= part;
    input.burst *= part;
    input.tolerance.slack_calls *= part;
  }
  input.others_age = clock_.Now() - others_updated_at_;
  input.demand_span = DemandSpan();
  input.gateways = gateways_;
  input.admitted_since_update = counts.admitted_since_update;
  input.demand_at_update_per_s = counts.demand_at_update_per_s;
  input.begun = input.own.programs + input.others.programs;
  input.begun_since_update = counts.begun_since_update;
  input.calls_per_program = counts.calls_per_program;
  input.rounding_offset = std::uniform_real_distribution<double>(0, 1)(random_);
  return input;
}

QuotaVerdict Quotas::GrantStart(const Workspace& workspace, Ms waited) {
  QuotaVerdict verdict;
  // The asking gateway may have another version of the configuration.
  if (workspace.rate_per_s <= 0) {
    verdict.allowed = true;
    return verdict;
  }
  Counts& counts = CountsOf(workspace.name);
  ++counts.begin_requests.back();
  verdict.input = InputFor(workspace, counts);
  verdict.input.waited = waited;
  verdict.input.decides_for_all = true;
  // Starts that gateways decided on while they could not ask are published.
  verdict.input.begun = std::max(verdict.input.begun, Programs(counts.granted));
  verdict.decided = verdict.input.others_age <= kOthersStaleAfter;
  verdict.allowed = verdict.decided && MayBegin(verdict.input);
  if (verdict.allowed) ++counts.granted.back();
  verdict.retry_after = kProgramRetryAfter;
  return verdict;
}

QuotaVerdict Quotas::Take(const Workspace& workspace, ProgramStart start,
                          Ms waited) {
  QuotaVerdict verdict;
  if (workspace.rate_per_s <= 0) {
    verdict.allowed = true;
    return verdict;
  }
  Counts& counts = CountsOf(workspace.name);
  const bool begins = start != ProgramStart::kNone;
  if (start == ProgramStart::kDecideHere) ++counts.begin_requests.back();
  verdict.input = InputFor(workspace, counts);
  verdict.input.waited = waited;
  const bool may_begin =
      start != ProgramStart::kDecideHere || MayBegin(verdict.input);
  if (may_begin) {
    verdict.decision = DecideQuota(verdict.input);
    verdict.allowed = bound_ == RateBound::kPermits ||
                      MayTake(*verdict.decision, verdict.input, counts);
  }
  // Refused first turns are not part of the demand by which the rate is shared.
  if (verdict.allowed || !begins) ++counts.arrived.back();
  if (!verdict.allowed) {
    verdict.retry_after = begins ? kProgramRetryAfter : kCallRetryAfter;
    return verdict;
  }
  ++counts.allowed.back();
  ++counts.admitted_since_update;
  if (begins) {
    ++counts.begun.back();
    ++counts.begun_since_update;
  }
  return verdict;
}

bool Quotas::MayTake(QuotaDecision decision, const QuotaInput& input,
                     Counts& counts) {
  if (decision != QuotaDecision::kFromShare) {
    return decision == QuotaDecision::kAllow;
  }
  const Ms now = clock_.Now();
  const double share = ShareOfRate(input);
  FillBucket(counts.share, now);
  counts.share.filled_at = now;
  counts.share.rate_per_s = share;
  counts.share.burst = std::max(kShareBurstS * share, kMinShareBurst);
  return TakeTokens(counts.share, 1, now).taken;
}

void Quotas::CountAttempt(const std::string& workspace) {
  Counts& counts = CountsOf(workspace);
  ++counts.allowed.back();
  ++counts.admitted_since_update;
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
    WorkspaceUse own = UseOf(counts);
    own.calls = Sum(std::span(counts.allowed).last(kPublishedSlots));
    if (own.calls > 0 || own.demand_per_s > 0) use[name] = own;
  }
  return use;
}

void Quotas::RestoreUse(const UseByWorkspace& use, Ms age) {
  if (age > tolerance_.window) return;
  for (const auto& [name, item] : use) {
    Counts& counts = CountsOf(name);
    // Includes an estimate of the calls after the last publication.
    const double calls = item.calls + item.demand_per_s * kUnreportedS;
    counts.allowed.back() += static_cast<uint32_t>(std::lround(calls));
    counts.begun.back() += static_cast<uint32_t>(std::lround(item.programs));
    // Demand goes on after a restart: callers retry what was cut off.
    const double arrived_per_slot =
        item.demand_per_s * DemandSpan().Seconds() / kDemandSlots;
    for (uint32_t& slot : std::span(counts.arrived).last(kDemandSlots)) {
      slot += static_cast<uint32_t>(std::lround(arrived_per_slot));
    }
  }
}

void AddUse(const UseByWorkspace& use, UseByWorkspace& sum) {
  for (const auto& [name, item] : use) {
    WorkspaceUse& all = sum[name];
    all.calls += item.calls;
    all.admitted_per_s += item.admitted_per_s;
    all.demand_per_s += item.demand_per_s;
    all.programs += item.programs;
    all.program_demand_per_s += item.program_demand_per_s;
  }
}

void AddInContact(const UseByWorkspace& use, UseOfOthers& others) {
  for (const auto& [name, item] : use) {
    others.known[name].in_contact_per_s += item.demand_per_s;
  }
}

void AddSilent(const UseByWorkspace& use, UseOfOthers& others) {
  ++others.silent_gateways;
  for (const auto& [name, item] : use) {
    others.known[name].silent_per_s += item.demand_per_s;
  }
}

void Quotas::SetOthers(std::span<const UseByWorkspace> others, Ms age) {
  UseOfOthers sum;
  for (const UseByWorkspace& use : others) AddUse(use, sum.use);
  sum.gateways = static_cast<uint32_t>(others.size());
  SetUseOfOthers(std::move(sum), age);
}

void Quotas::SetUseOfOthers(UseOfOthers others, Ms age) {
  others_ = std::move(others);
  gateways_ = others_.gateways + 1;
  others_updated_at_ = clock_.Now() - age;
  UpdateCallsPerProgram();
}

void Quotas::UpdateCallsPerProgram() {
  for (auto& [name, counts] : counts_) {
    Advance(counts);
    WorkspaceUse all = UseOf(counts);
    counts.begun_since_update = 0;
    counts.admitted_since_update = 0;
    counts.demand_at_update_per_s = all.demand_per_s;
    const auto others = others_.use.find(name);
    if (others != others_.use.end()) {
      all.calls += others->second.calls;
      all.programs += others->second.programs;
    }
    if (all.programs < kMinProgramsToEstimate) continue;
    const double calls_of_programs = all.calls * kSlotsPerWindow / kSlots;
    const double observed =
        std::clamp(calls_of_programs / all.programs, kMinCallsPerProgram,
                   kMaxCallsPerProgram);
    counts.calls_per_program +=
        kEstimateWeight * (observed - counts.calls_per_program);
  }
}

}  // namespace knapweed::gateway

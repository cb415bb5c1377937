// Checks before a call is sent to an upstream: route, key, history, budget and
// rate.
#include <algorithm>
#include <cmath>
#include <utility>

#include "call_state.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");
constexpr Logger kQuotaLog("quota");

/// A configuration that was not confirmed for this long may be outdated: a
/// route or key that it lacks may exist, so the call is refused with 503.
constexpr Ms kConfigStaleAfter{2600};
/// Two reads of the configuration, one that was under way and the next, end
/// within this time unless the store is slow.
constexpr Ms kMaxRouteWait{1600};
constexpr Ms kRouteWaitStep{20};
/// Retry-After of a gateway that has just started, and of one that has just
/// lost the store.
constexpr Ms kRetryStarting{300};
constexpr Ms kRetryShortOutage{400};
/// An outage of the store that lasts longer than this mostly goes on for
/// several seconds; callers that retry sooner exhaust their retries.
constexpr Ms kLongOutageThreshold{800};
constexpr Ms kRetryLongOutage{1500};
/// Another gateway may hold the rest of a nearly used budget; it returns it
/// soon after its turn of the program ends.
constexpr Ms kRetryBudgetHeld{300};

/// Time that the last answer of a process needs before its end.
constexpr Ms kLastAnswerTime{100};

/// Longest identifier that fits in a row's key beside what is added to it.
constexpr size_t kMaxIdBytes = 128;

/// Returns whether an identifier can be a part of rows and messages as it is.
bool IsValidId(std::string_view id) {
  const auto is_printable = [](char c) { return c > ' ' && c <= '~'; };
  return id.size() <= kMaxIdBytes &&
         std::all_of(id.begin(), id.end(), is_printable);
}

/// Returns what is wrong with a call's fields; empty if nothing is.
std::string_view FaultOf(const CallHead& head) {
  if (!IsValidId(head.request_id)) return "malformed request id";
  if (!IsValidId(head.program)) return "malformed program id";
  if (!IsValidId(head.previous_turn)) return "malformed id of previous turn";
  if (!IsValidId(head.begun_by)) return "malformed id of resumed request";
  return {};
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

Ms CallRunner::StoreRetryAfter() const {
  const bool long_outage =
      !deps_.store.reachable() &&
      deps_.clock.Now() - deps_.store.lost_at() > kLongOutageThreshold;
  return long_outage ? kRetryLongOutage : kRetryShortOutage;
}

Task<CallRunner::Step> CallRunner::CheckFields(StatePtr state) {
  const std::string_view fault = FaultOf(state->request.head);
  if (fault.empty()) co_return Step::kNext;
  co_await Refuse(state, 400, Ms{0}, fault);
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::ResolveRoute(StatePtr state) {
  const CallHead& head = state->request.head;
  state->config = deps_.view.config;
  if (state->config == nullptr) {
    co_await Refuse(state, 503, kRetryStarting, "no configuration yet");
    co_return Step::kDone;
  }
  const Ms now = deps_.clock.Now();
  const bool stale = now - deps_.view.config_confirmed_at > kConfigStaleAfter;
  state->route =
      FindRoute(*state->config, head.host, PathOf(state->request.target));
  const bool names_turn = !head.previous_turn.empty();
  if (state->route == nullptr && names_turn) {
    co_await WaitForRoute(state);
  }
  if (state->route == nullptr) {
    const bool unsure = stale || (names_turn && !ConfigCovers(*state));
    co_await Refuse(state, unsure ? 503 : 404, StoreRetryAfter(),
                    "no such route");
    co_return Step::kDone;
  }
  const Route& route = *state->route;
  const Ms wait =
      std::min(head.deadline.value_or(route.timeout), route.timeout);
  state->deadline = state->request.received + wait;
  if (!route.is_public && state->config->requires_keys) {
    state->workspace = FindWorkspace(*state->config, head.key);
    if (state->workspace == nullptr) {
      co_await Refuse(state, stale ? 503 : 401, StoreRetryAfter(),
                      "unknown key");
      co_return Step::kDone;
    }
  }
  co_return Step::kNext;
}

bool CallRunner::ConfigCovers(const State& state) const {
  return deps_.view.config_asked_at >= state.request.received;
}

// The configuration is followed anyway, so waiting costs the store nothing,
// however many calls wait.
Task<void> CallRunner::WaitForRoute(StatePtr state) {
  const CallHead& head = state->request.head;
  const Ms longest =
      std::min(head.deadline.value_or(kMaxRouteWait), kMaxRouteWait);
  const Ms until = state->request.received + longest;
  while (state->route == nullptr && !ConfigCovers(*state)) {
    const bool may_wait = deps_.clock.Now() < until &&
                          deps_.store.reachable() && !ends_at_.has_value() &&
                          !state->caller_disconnected;
    if (!may_wait) break;
    co_await Sleep(deps_.loop, kRouteWaitStep);
    state->config = deps_.view.config;
    state->route =
        FindRoute(*state->config, head.host, PathOf(state->request.target));
  }
}

Task<CallRunner::Step> CallRunner::CheckQuarantine(StatePtr state) {
  if (!deps_.crashes.HasRecords()) co_return Step::kNext;
  const uint64_t digest = DigestOf(*state);
  if (!deps_.crashes.IsQuarantined(digest)) co_return Step::kNext;
  state->is_probe =
      deps_.probes.IsDue(digest, deps_.crashes.SinceLastCrash(digest));
  if (state->is_probe) co_return Step::kNext;
  co_await Refuse(state, 503, Ms{0}, "it crashed several upstreams");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::ClaimProbe(StatePtr state) {
  if (!state->is_probe) co_return Step::kNext;
  const uint64_t digest = DigestOf(*state);
  const bool claimed = co_await deps_.probes.Claim(digest);
  kLog.Info("A quarantined call asked for a probe.",
            {{"request", state->request.head.request_id},
             {"digest", digest},
             {"since_crash_ms", deps_.crashes.SinceLastCrash(digest).count},
             {"granted", claimed ? 1 : 0}});
  if (claimed) co_return Step::kNext;
  co_await Refuse(state, 503, Ms{0}, "it crashed several upstreams");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::RefuseIfStopping(StatePtr state) {
  if (!ends_at_.has_value()) co_return Step::kNext;
  const Ms last_answer_at = *ends_at_ - kLastAnswerTime;
  if (state->deadline <= last_answer_at) co_return Step::kNext;
  const Ms left = last_answer_at - deps_.clock.Now();
  const Route& route = *state->route;
  // Cutting an idempotent call short harms nobody: it gets its answer before
  // the end, and its caller may send it again.
  if (route.idempotent && !route.streaming && left >= route.objective) {
    state->deadline = last_answer_at;
    co_return Step::kNext;
  }
  kLog.Info("Refused a call that may outlast this process.",
            {{"request", state->request.head.request_id},
             {"time_left_ms", (state->deadline - deps_.clock.Now()).count},
             {"process_left_ms", left.count}});
  // Another gateway may take it at once.
  co_await Refuse(state, 503, Ms{0}, "gateway is stopping");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::ChooseService(StatePtr state) {
  const CallHead& head = state->request.head;
  if (state->route->streaming && head.has_malformed_position) {
    // Taken for a new stream, it might go on at any version.
    co_await Refuse(state, 400, Ms{0}, "malformed position in a stream");
    co_return Step::kDone;
  }
  const Route& route = *state->route;
  const bool resumes = route.streaming && head.resume_after.has_value();
  if (!resumes) {
    const uint64_t split_hash =
        HashBytes(!head.line.empty() ? head.line : head.request_id);
    co_return co_await SetService(state, PickService(route, split_hash));
  }
  StreamToResume resumed;
  resumed.begun_by = head.begun_by;
  resumed.route = RouteKeyOf(route);
  resumed.services = ServicesOf(route);
  resumed.timeout = route.timeout;
  const StreamResume resume =
      co_await deps_.stream_versions.Resume(std::move(resumed));
  if (!resume.may_go_on) {
    co_await Refuse(state, 503, Ms{0}, "version of the stream is unknown");
    co_return Step::kDone;
  }
  state->stream_version = resume.origin.version;
  co_return co_await SetService(state, resume.origin.service);
}

Task<CallRunner::Step> CallRunner::SetService(StatePtr state,
                                              std::string_view name) {
  const auto service = state->config->services.find(name);
  if (service == state->config->services.end()) {
    co_await Refuse(state, 503, kRetryNoUpstream, "route without a service");
    co_return Step::kDone;
  }
  state->service = &service->second;
  co_return Step::kNext;
}

void CallRunner::LogOverRate(const State& state, const QuotaVerdict& verdict) {
  const QuotaInput& input = verdict.input;
  const auto text = [](double n) { return std::to_string(std::lround(n)); };
  kQuotaLog.Info("A call is over its workspace's rate.",
                 {{"request", state.request.head.request_id},
                  {"workspace", state.workspace->name},
                  {"rate_per_s", text(state.workspace->rate_per_s)},
                  {"own_calls", text(input.own.calls)},
                  {"other_calls", text(input.others.calls)},
                  {"heard_ms_ago", input.others_age.count},
                  {"calls_per_program", text(input.calls_per_program)},
                  {"programs_begun", text(input.begun)},
                  {"begins_program", state.begins_program ? 1 : 0},
                  {"waited_ms", input.waited.count}});
}

Task<CallRunner::Step> CallRunner::TakeRateToken(StatePtr state) {
  if (state->workspace == nullptr) co_return Step::kNext;
  QuotaVerdict verdict;
  if (state->begins_program) {
    verdict = co_await deps_.starts.Take(*state->workspace, state->waited);
  } else {
    verdict = deps_.quotas.Take(*state->workspace);
  }
  if (!verdict.allowed) {
    LogOverRate(*state, verdict);
    co_await Refuse(state, 429, verdict.retry_after, "over rate");
    co_return Step::kDone;
  }
  const Step step = co_await TakeFirstPermit(state);
  if (step == Step::kDone) {
    deps_.quotas.Return(state->workspace->name);
    co_return step;
  }
  state->holds_rate_token = true;
  if (verdict.decision.has_value()) {
    state->rate_admission = RateAdmission{deps_.clock.Now(), verdict};
  }
  co_return Step::kNext;
}

Task<CallRunner::Step> CallRunner::TakeFirstPermit(StatePtr state) {
  if (state->workspace->rate_per_s <= 0) co_return Step::kNext;
  const PermitResult result = co_await deps_.permits.Take(*state->workspace);
  if (result.permit.has_value()) {
    state->permit = result.permit;
    state->permitted_runs = 1;
    co_return Step::kNext;
  }
  kQuotaLog.Info("A call got no permit of its workspace's rate.",
                 {{"request", state->request.head.request_id},
                  {"workspace", state->workspace->name},
                  {"unsure", result.unsure ? 1 : 0}});
  // Another gateway may reach those that can decide.
  co_await Refuse(state, result.unsure ? 503 : 429, result.retry_after,
                  result.unsure ? "rate can't be decided" : "over rate");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::TakeAnotherPermit(StatePtr state) {
  const bool needs_permit = state->workspace != nullptr &&
                            state->workspace->rate_per_s > 0 &&
                            state->runs >= state->permitted_runs;
  if (!needs_permit) co_return Step::kNext;
  const PermitResult result = co_await deps_.permits.Take(*state->workspace);
  if (result.permit.has_value()) {
    deps_.quotas.CountAttempt(state->workspace->name);
    state->permit = result.permit;
    state->holds_rate_token = true;
    ++state->permitted_runs;
    co_return Step::kNext;
  }
  co_await Refuse(state, 502, Ms{0}, "no permit for another attempt");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::PrependHistory(StatePtr state) {
  CallerRequest& request = state->request;
  const bool continues =
      state->route->keeps_history && !request.head.previous_turn.empty();
  if (!continues) {
    state->body = request.body;
    co_return Step::kNext;
  }
  const std::string workspace =
      state->workspace != nullptr ? state->workspace->name : std::string();
  state->phase = CallPhase::kHistory;
  History history =
      co_await deps_.turns.HistoryOf(request.head.previous_turn, workspace,
                                     state->held_history, state->deadline);
  if (history.outcome == HistoryOutcome::kNotFound) {
    kLog.Info("A call continues a turn that is not there.",
              {{"request", request.head.request_id},
               {"turn", request.head.previous_turn},
               {"cause", history.cause}});
    co_await Refuse(state, 404, Ms{0}, "no such turn");
    co_return Step::kDone;
  }
  if (history.outcome == HistoryOutcome::kIncomplete) {
    co_await Refuse(state, 503, Ms{0}, "history lacks the start of a turn");
    co_return Step::kDone;
  }
  if (history.outcome == HistoryOutcome::kUnavailable) {
    kLog.Info("The history of a call can't be read.",
              {{"request", request.head.request_id},
               {"turn", request.head.previous_turn},
               {"cause", history.cause}});
    co_await Refuse(state, 503, StoreRetryAfter(), "history out of reach");
    co_return Step::kDone;
  }
  const uint64_t bytes = history.text.size() + request.body->size();
  const uint64_t more = bytes - std::min(bytes, state->held_history.bytes());
  if (history.outcome == HistoryOutcome::kNoRoom ||
      !MayHold(deps_.memory.state(), more)) {
    deps_.memory.ReportRefusal(request.head.request_id, more);
    state->held_history.Set(0);
    co_await Refuse(state, 503, kRetryMemory, "held memory is used up");
    co_return Step::kDone;
  }
  state->held_history.Set(bytes);
  state->chain_until = history.rows_until;
  history.text.reserve(bytes);
  history.text += *request.body;
  state->body = std::make_shared<const std::string>(std::move(history.text));
  co_return Step::kNext;
}

Task<CallRunner::Step> CallRunner::ReserveBudget(StatePtr state) {
  const CallHead& head = state->request.head;
  const bool has_budget = state->route->streaming && !head.program.empty() &&
                          head.token_budget.has_value();
  if (!has_budget) co_return Step::kNext;
  if (head.max_output_tokens == 0) {
    // A reservation of nothing always fits.
    co_await Refuse(state, 400, Ms{0},
                    "token budget without the most tokens of a turn");
    co_return Step::kDone;
  }
  state->ticket.program = head.program;
  if (state->workspace != nullptr) {
    state->ticket.program = state->workspace->name + "/" + head.program;
  }
  state->ticket.turn = head.request_id;
  state->ticket.max_tokens = head.max_output_tokens;
  state->phase = CallPhase::kBudget;
  const ReserveResult result = co_await deps_.budgets.Reserve(
      state->ticket, *head.token_budget, state->deadline);
  if (result.reservation == Reservation::kExhausted) {
    co_await Refuse(state, 402, Ms{0}, "token budget exhausted");
    co_return Step::kDone;
  }
  if (result.reservation == Reservation::kHeldElsewhere) {
    co_await Refuse(state, 503, kRetryBudgetHeld, "budget held elsewhere");
    co_return Step::kDone;
  }
  if (result.reservation == Reservation::kUnavailable) {
    co_await Refuse(state, 503, StoreRetryAfter(), "budget out of reach");
    co_return Step::kDone;
  }
  state->holds_budget = true;
  state->begins_program = result.begins_program && head.previous_turn.empty();
  state->waited = result.waited;
  co_return Step::kNext;
}

}  // namespace knapweed::gateway

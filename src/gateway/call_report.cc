// What the log and the metrics say of calls that have ended or are cut off.
#include <cmath>
#include <span>

#include "call_state.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");

std::string_view NameOf(CallerGone gone) {
  switch (gone) {
    case CallerGone::kNo:
      return "no";
    case CallerGone::kClosed:
      return "closed";
    case CallerGone::kReset:
      return "reset";
    case CallerGone::kWriteFailed:
      return "write_failed";
  }
  return "unknown";
}

std::string_view NameOf(CallPhase phase) {
  switch (phase) {
    case CallPhase::kAdmission:
      return "admission";
    case CallPhase::kHistory:
      return "history";
    case CallPhase::kBudget:
      return "budget";
    case CallPhase::kPlacement:
      return "placement";
    case CallPhase::kConnection:
      return "connection";
    case CallPhase::kResponse:
      return "response";
    case CallPhase::kBody:
      return "body";
    case CallPhase::kStoring:
      return "storing";
    case CallPhase::kCaller:
      return "caller";
  }
  return "unknown";
}

std::string_view NameOf(QuotaDecision decision) {
  switch (decision) {
    case QuotaDecision::kAllow:
      return "room";
    case QuotaDecision::kFromShare:
      return "share";
    case QuotaDecision::kRefuse:
      return "no_room";
  }
  return "unknown";
}

std::string JoinTimes(std::span<const Ms> times) {
  std::string text;
  for (const Ms time : times) {
    if (!text.empty()) text += ',';
    text += std::to_string(time.count);
  }
  return text;
}

/// Returns what decided on a call's rate, as one field, so that all calls of a
/// window can be added up from the lines of their ends.
std::string Describe(const RateAdmission& admission, const Permit& permit,
                     Ms received) {
  const QuotaInput& input = admission.verdict.input;
  const auto add = [](std::string& text, std::string_view name, int64_t n) {
    text.append(" ").append(name).append("=").append(std::to_string(n));
  };
  std::string text(NameOf(*admission.verdict.decision));
  add(text, "after_ms", (admission.at - received).count);
  add(text, "own", std::lround(input.own.calls));
  add(text, "others", std::lround(input.others.calls));
  add(text, "unread", std::lround(input.admitted_since_update));
  add(text, "heard_ms_ago", input.others_age.count);
  add(text, "gateways", input.gateways);
  text.append(" permit=")
      .append(permit.owner.ToString())
      .append("/")
      .append(std::to_string(permit.id));
  add(text, "limit",
      std::lround(input.rate_per_s * input.tolerance.window.Seconds() +
                  input.burst));
  return text;
}

}  // namespace

void CallRunner::ReportCut() const {
  for (const State* state : *calls_) {
    const CallerRequest& request = state->request;
    const std::string phase(NameOf(state->phase));
    deps_.metrics.GetCounter("calls_cut_total{phase=\"" + phase + "\"}").Add();
    kLog.Warning("The end of the process cuts off a call.",
                 {{"request", request.head.request_id},
                  {"route", state->route != nullptr ? state->route->name : ""},
                  {"phase", phase},
                  {"sent", state->sent},
                  {"ms", (deps_.clock.Now() - request.received).count},
                  {"time_left_ms", (state->deadline - deps_.clock.Now()).count},
                  {"stopping_ms", StoppingFor().count},
                  {"on_connection", request.number_on_connection}});
  }
}

void CallRunner::Report(const State& state) {
  const CallHead& head = state.request.head;
  const Ms took = deps_.clock.Now() - state.request.received;
  deps_.metrics.GetLatency("call_ms").Record(static_cast<double>(took.count));
  deps_.metrics
      .GetCounter("calls_total{status=\"" + std::to_string(state.status) +
                  "\"}")
      .Add();
  kLog.Info(
      "Call ended.",
      {{"request", head.request_id},
       {"route", state.route != nullptr ? state.route->name : ""},
       {"workspace", state.workspace != nullptr ? state.workspace->name : ""},
       {"program", head.program},
       {"status", state.status},
       {"ms", took.count},
       {"first_ms",
        state.first_event_at == Ms{0}
            ? 0
            : (state.first_event_at - state.request.received).count},
       {"budget", head.token_budget.value_or(0)},
       {"most", head.max_output_tokens},
       {"sent", state.sent},
       {"runs", state.runs},
       {"refusals", state.refusals},
       {"events", state.events_sent},
       {"upstream",
        state.last_upstream != nullptr ? state.last_upstream->entry.id : ""},
       {"answered", state.is_answered ? 1 : 0},
       {"gone", NameOf(state.gone)},
       {"broken_off", state.stream_aborted ? 1 : 0},
       {"on_connection", state.request.number_on_connection},
       {"stopping_ms", StoppingFor().count},
       {"sent_after_ms", JoinTimes(state.sent_after)},
       {"rate",
        state.rate_admission.has_value()
            ? Describe(*state.rate_admission, state.permit.value_or(Permit{}),
                       state.request.received)
            : std::string()},
       {"config", state.config != nullptr ? state.config->version : 0},
       {"reason", state.reason}});
}

}  // namespace knapweed::gateway

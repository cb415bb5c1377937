// Load and speed of upstreams, as the attempts of calls show them, and the
// admission of programs by it.
#include <algorithm>
#include <random>

#include "call_state.h"
#include "knapweed/base/log.h"
#include "knapweed/policy/dispatch_order.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("admission");
constexpr int kMostUrgent = 0;
constexpr int kLeastUrgent = 9;

/// A caller that takes longer to read a piece delays what is read after it, so
/// that the span until then says nothing of the engine.
constexpr Ms kSlowWrite{5};

Ms MsOf(double ms) { return Ms{static_cast<int64_t>(ms)}; }

}  // namespace

void CallRunner::BeginLoad(State& state, Upstream& upstream) {
  const CallHead& head = state.request.head;
  const uint64_t cached = upstream.cache.CachedTokens(head.prompt);
  state.load.calls = 1;
  state.load.pending_prefill_tokens =
      head.prompt_tokens - std::min<uint64_t>(cached, head.prompt_tokens);
  state.load.resident_tokens = head.prompt_tokens + head.max_output_tokens;
  state.sent_at = deps_.clock.Now();
  if (state.service->is_engine) RecordPromptMix(state);
  state.event_at = Ms{0};
  state.unsampled_tokens = 0;
  upstream.own = upstream.own + state.load;
  state.awaits_prefill = true;
  if (!state.route->streaming) return;
  state.awaits_event = true;
  Waiting& waiting = waiting_[state.service->name];
  ++waiting.count;
  waiting.sent_at_sum += state.sent_at;
}

void CallRunner::RecordPromptMix(const State& state) {
  const CallHead& head = state.request.head;
  // The last part belongs to the program alone.
  const PromptPart shared =
      head.prompt.size() > 1 ? head.prompt.front() : PromptPart{};
  const uint64_t own_tokens =
      state.load.resident_tokens -
      std::min<uint64_t>(shared.tokens, state.load.resident_tokens);
  deps_.view.upstreams.MixOf(state.service->name)
      .Record(shared.id, shared.tokens, static_cast<double>(own_tokens),
              state.sent_at);
}

void CallRunner::EndPrefill(State& state, Upstream& upstream) {
  if (!state.awaits_prefill) return;
  state.awaits_prefill = false;
  upstream.own.pending_prefill_tokens -= state.load.pending_prefill_tokens;
}

void CallRunner::StopWaiting(State& state) {
  if (!state.awaits_event) return;
  state.awaits_event = false;
  Waiting& waiting = waiting_[state.service->name];
  --waiting.count;
  waiting.sent_at_sum = waiting.sent_at_sum - state.sent_at;
}

void CallRunner::RecordEvents(State& state, Upstream& upstream,
                              uint64_t events) {
  if (events == 0) return;
  const Ms now = deps_.clock.Now();
  UpstreamSet& upstreams = deps_.view.upstreams;
  if (state.event_at == Ms{0}) {
    StopWaiting(state);
    RecordFirstEvent(upstreams.SpeedOf(state.service->name),
                     {state.load.pending_prefill_tokens, now - state.sent_at},
                     now);
    state.event_at = now;
    return;
  }
  // Events that arrive together are one sample with the next one.
  state.unsampled_tokens += events * state.service->tokens_per_event;
  if (now == state.event_at) return;
  const auto span = static_cast<double>((now - state.event_at).count);
  const auto tokens = static_cast<double>(state.unsampled_tokens);
  upstreams.RecordUnit(upstream, span / tokens, now);
  state.unsampled_tokens = 0;
  state.event_at = now;
}

void CallRunner::SkipCallerWait(State& state, Ms write_began) {
  const Ms now = deps_.clock.Now();
  if (now - write_began < kSlowWrite) return;
  state.unsampled_tokens = 0;
  state.event_at = now;
}

void CallRunner::RecordAnswer(const State& state, Upstream& upstream) {
  const bool is_measured = !state.route->streaming &&
                           state.attempt->status() >= 200 &&
                           state.attempt->status() < 300;
  if (!is_measured) return;
  const Ms now = deps_.clock.Now();
  const auto span = static_cast<double>((now - state.sent_at).count);
  deps_.view.upstreams.RecordUnit(upstream, span, now);
}

void CallRunner::EndLoad(State& state, Upstream& upstream) {
  if (state.load.calls == 0) return;
  StopWaiting(state);
  EndPrefill(state, upstream);
  state.load.calls = 0;
  --upstream.own.calls;
  upstream.own.resident_tokens -= state.load.resident_tokens;
  if (state.event_at == Ms{0}) return;
  RecordOutput(
      deps_.view.upstreams.SpeedOf(state.service->name),
      static_cast<double>(state.events_sent * state.service->tokens_per_event));
}

int CallRunner::PriorityFor(const State& state) const {
  const int priority = std::clamp(PriorityOf(*state.route, state.workspace),
                                  kMostUrgent, kLeastUrgent);
  if (!deps_.order_by_slack) return priority;
  const Ms now = deps_.clock.Now();
  const ServiceSpeed& speed = deps_.view.upstreams.SpeedOf(state.service->name);
  const CallHead& head = state.request.head;
  DispatchCall call;
  call.operator_priority = priority;
  if (head.finish.has_value()) {
    call.time_left = *head.finish - (now - state.request.received);
  }
  const auto tokens = static_cast<double>(state.load.pending_prefill_tokens);
  const double prefill_ms = PrefillMs(speed, tokens);
  const double typical_ms = PrefillMs(speed, speed.mean_prefill_tokens);
  call.alone = MsOf(IdleTurnMs(speed) - typical_ms + prefill_ms);
  call.expected = MsOf(ExpectedTurnMs(speed, tokens, now));
  call.prefill = MsOf(prefill_ms);
  call.typical_prefill = MsOf(typical_ms);
  call.first_part_objective = state.route->objective;
  return DispatchPriority(call);
}

WaitingCalls CallRunner::WaitingAt(const std::string& service) const {
  const auto it = waiting_.find(service);
  if (it == waiting_.end() || it->second.count == 0) return {};
  const Ms now = deps_.clock.Now();
  const auto n = static_cast<int64_t>(it->second.count);
  return {it->second.count, now - Ms{it->second.sent_at_sum.count / n}};
}

Task<CallRunner::Step> CallRunner::AdmitProgram(StatePtr state) {
  const CallHead& head = state->request.head;
  const bool is_turn = state->service->is_engine && head.finish.has_value();
  if (!deps_.admit_programs || !is_turn) co_return Step::kNext;
  ProgramPace& pace = paces_[state->service->name];
  const bool returns = state->begins_program && state->waited > Ms{0};
  if (!returns) RecordTurn(pace, state->begins_program, *head.finish);
  if (!state->begins_program) co_return Step::kNext;
  const Ms now = deps_.clock.Now();
  const ServiceSpeed& speed =
      deps_.view.upstreams.SpeedOf(state->service->name);
  const WaitingCalls waiting = WaitingAt(state->service->name);
  ProgramArrival arrival;
  arrival.slowdown = SlowdownOf(speed, waiting, now);
  arrival.target_slowdown = TargetSlowdown(pace, IdleTurnMs(speed));
  arrival.expected_time =
      MsOf(ExpectedTurnMs(speed, speed.mean_prefill_tokens, now));
  arrival.waited = state->waited;
  arrival.random_unit = std::uniform_real_distribution<double>(0, 1)(random_);
  const ProgramAdmission decision = DecideProgramStart(arrival);
  deps_.metrics
      .GetCounter(decision.admit ? "program_starts_total{admitted=\"1\"}"
                                 : "program_starts_total{admitted=\"0\"}")
      .Add();
  if (decision.admit) co_return Step::kNext;
  kLog.Info("A program is refused: the service has no room for it.",
            {{"request", head.request_id},
             {"service", state->service->name},
             {"slowdown", std::to_string(arrival.slowdown)},
             {"target_slowdown", std::to_string(arrival.target_slowdown)},
             {"waiting_calls", waiting.count},
             {"waiting_ms", waiting.mean_age.count},
             {"probability", std::to_string(decision.probability)},
             {"waited_ms", arrival.waited.count},
             {"retry_ms", decision.retry_after.count}});
  co_await Refuse(state, 503, decision.retry_after, "no room for a program");
  co_return Step::kDone;
}

}  // namespace knapweed::gateway

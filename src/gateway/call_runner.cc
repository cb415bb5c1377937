#include "knapweed/gateway/call_runner.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <utility>

#include "call_state.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");

constexpr Ms kConnectTimeout{400};
/// Maximum number of attempts that certainly did not run the call. They don't
/// count against the route's `max_attempts`.
constexpr uint32_t kMaxRefusals = 3;
/// Time for which an upstream is not chosen after it was full, after it was not
/// the listed incarnation (421), and after a connection to it failed.
constexpr Ms kAvoidFull{60};
constexpr Ms kAvoidMisdirected{2000};
constexpr Ms kAvoidBroken{500};
/// The same after a grant for a cold upstream expired during the connect.
constexpr Ms kAvoidSlowConnect{200};
/// With less time than this an upstream can't respond before the deadline.
constexpr Ms kMinAttemptTime{5};
/// The row of an upstream that starts again under its id tells of it within
/// this time.
constexpr Ms kMaxRowDelay{3000};

}  // namespace

CallRunner::CallRunner(CallRunnerDeps deps)
    : deps_(std::move(deps)), random_(HashBytes(RandomHexId())) {}

Task<void> CallRunner::Run(CallerRequest& request, CallerLink& link) {
  auto state = std::make_shared<State>(deps_.loop, deps_.memory, request, link);
  calls_->insert(state.get());
  const absl::Cleanup forget = [calls = calls_, call = state.get()] {
    calls->erase(call);
  };
  state->link.OnDisconnect(
      [weak = std::weak_ptr<State>(state)](CallerGone gone) {
        const StatePtr locked = weak.lock();
        if (locked == nullptr) return;
        locked->SetGone(gone);
        if (locked->attempt != nullptr) locked->attempt->Abort();
      });
  std::exception_ptr failure;
  try {
    co_await RunChecked(state);
  } catch (...) {
    failure = std::current_exception();
  }
  if (failure) {
    ReportException("a call", failure);
    co_await RefuseAfterException(state);
  }
  state->timer.cancel();
  state->attempt.reset();
  if (state->holds_rate_token && state->workspace != nullptr) {
    deps_.quotas.Return(state->workspace->name);
    if (state->permit.has_value()) {
      deps_.permits.Return(state->workspace->name, *state->permit);
    }
  }
  if (state->holds_budget) {
    const uint64_t per_event =
        state->service != nullptr ? state->service->tokens_per_event : 1;
    deps_.budgets.Settle(state->ticket, state->events_sent * per_event);
  }
  const bool succeeded = state->status == 200 && !state->stream_aborted &&
                         !state->caller_disconnected && state->runs > 0;
  if (succeeded && deps_.crashes.HasRecords()) {
    deps_.crashes.OnSuccess(DigestOf(*state));
  }
  Report(*state);
}

Task<void> CallRunner::RefuseAfterException(StatePtr state) {
  if (state->attempt != nullptr) state->attempt->Abort();
  if (state->last_upstream != nullptr) EndLoad(*state, *state->last_upstream);
  if (state->status != 0) {
    // A part of a response may have been written.
    state->stream_aborted = true;
    state->link.AbortStream();
    co_return;
  }
  co_await Refuse(state, 500, Ms{0}, "internal error");
}

Task<void> CallRunner::RunChecked(StatePtr state) {
  using Check = Task<Step> (CallRunner::*)(StatePtr);
  // The claim of a probe comes last, since what refuses the call must not use
  // up a probe.
  static constexpr Check kChecks[] = {
      &CallRunner::CheckFields,     &CallRunner::ResolveRoute,
      &CallRunner::CheckQuarantine, &CallRunner::RefuseIfStopping,
      &CallRunner::ChooseService,   &CallRunner::PrependHistory,
      &CallRunner::ReserveBudget,   &CallRunner::AdmitProgram,
      &CallRunner::TakeRateToken,   &CallRunner::ClaimProbe};
  for (const Check check : kChecks) {
    const Step step = co_await (this->*check)(state);
    if (step == Step::kDone) co_return;
  }
  StartDeadlineTimer(state);
  co_await RunAttempts(state);
}

void CallRunner::StartDeadlineTimer(const StatePtr& state) {
  const Ms left = std::max(state->deadline - deps_.clock.Now(), Ms{0});
  state->timer.expires_after(ToChrono(left));
  state->timer.async_wait(
      [weak = std::weak_ptr<State>(state)](const NetErrorCode& ec) {
        const StatePtr locked = weak.lock();
        if (ec || locked == nullptr) return;
        locked->timed_out = true;
        if (locked->attempt != nullptr) locked->attempt->Abort();
      });
}

Task<void> CallRunner::RunAttempts(StatePtr state) {
  while (!state->caller_disconnected) {
    const Ms left = state->deadline - deps_.clock.Now();
    if (state->timed_out || left < kMinAttemptTime) {
      co_await Refuse(state, state->runs == 0 ? 503 : 504, Ms{0},
                      "deadline passed");
      co_return;
    }
    Step step = co_await TakeAnotherPermit(state);
    if (step == Step::kDone) co_return;
    state->phase = CallPhase::kPlacement;
    UpstreamPtr upstream;
    if (state->reads_start) {
      upstream = co_await ChooseForStart(state);
    } else {
      upstream = co_await ChooseWithGrant(state);
    }
    if (upstream == nullptr) co_return;
    if (BeginsStream(*state)) {
      const RouteOrigin place = PlaceOf(*state, *upstream);
      const bool may_begin = co_await deps_.stream_versions.WillBegin(
          place, state->route->timeout);
      if (!may_begin) {
        co_await Refuse(state, state->runs == 0 ? 503 : 502, StoreRetryAfter(),
                        "origin of the stream can't be recorded");
        co_return;
      }
    }
    step = co_await RunAttempt(state, upstream);
    if (step == Step::kDone) co_return;
  }
}

bool CallRunner::BeginsStream(const State& state) {
  return state.route->streaming && state.route->resumable &&
         !state.stream_version.has_value();
}

RouteOrigin CallRunner::PlaceOf(const State& state, const Upstream& upstream) {
  return {RouteKeyOf(*state.route),
          {state.service->name, upstream.entry.version}};
}

UpstreamRequest CallRunner::MakeRequest(const State& state,
                                        const Upstream& upstream) {
  const CallHead& head = state.request.head;
  UpstreamRequest out;
  out.method = state.request.method;
  out.target = state.request.target;
  out.fields = WithoutHopFields(state.request.fields);
  out.body = state.body;
  DispatchHead dispatch;
  dispatch.time_left = state.deadline - deps_.clock.Now();
  dispatch.upstream_id = upstream.entry.id;
  if (state.workspace != nullptr) dispatch.workspace = state.workspace->name;
  if (state.service->is_engine) {
    dispatch.priority = PriorityFor(state);
  }
  dispatch.begins_anew = state.reads_start;
  if (!state.reads_start) {
    dispatch.resume_after =
        state.has_event ? std::optional(state.last_event) : head.resume_after;
  }
  deps_.dialect.encode_dispatch(dispatch, out.fields);
  return out;
}

Task<CallRunner::Step> CallRunner::RunAttempt(StatePtr state,
                                              UpstreamPtr upstream) {
  const Ms timeout =
      std::min(kConnectTimeout, state->deadline - deps_.clock.Now());
  state->phase = CallPhase::kConnection;
  std::unique_ptr<UpstreamConnection> conn =
      co_await deps_.pool.Get(upstream, timeout);
  if (state->caller_disconnected || state->timed_out) co_return Step::kNext;
  const bool may_send = deps_.clock.Now() <= state->send_by;
  if (conn != nullptr && !may_send) {
    if (IsCold(*upstream, deps_.clock.Now())) {
      upstream->avoid_until = deps_.clock.Now() + kAvoidSlowConnect;
    }
    co_return Step::kNext;
  }
  // It may have become cold during the connect.
  if (!state->has_grant && IsCold(*upstream, deps_.clock.Now())) {
    co_return Step::kNext;
  }
  state->tried.push_back(upstream);
  if (conn == nullptr) {
    RecordFailure(upstream->breaker, deps_.clock.Now(), 0.5);
    upstream->version_unsure_until = deps_.clock.Now() + kMaxRowDelay;
    upstream->avoid_until = deps_.clock.Now() + kAvoidBroken;
    SuspectRestart(*upstream);
    kLog.Info("Connecting to an upstream failed.",
              {{"request", state->request.head.request_id},
               {"upstream", upstream->entry.id}});
    if (++state->refusals > kMaxRefusals) {
      co_await Refuse(state, state->runs == 0 ? 503 : 502, kRetryFull,
                      "no connection to any upstream tried");
      co_return Step::kDone;
    }
    co_return Step::kNext;
  }
  // The upstream may have been removed or drained during the connect.
  if (!AcceptsCalls(*upstream)) co_return Step::kNext;
  BeginLoad(*state, *upstream);
  const UpstreamRequest request = MakeRequest(*state, *upstream);
  state->attempt =
      std::make_shared<Attempt>(deps_.loop, deps_.clock, deps_.dialect);
  const std::shared_ptr<Attempt> attempt = state->attempt;
  state->last_upstream = upstream;
  LogResume(*state, *upstream);
  state->holds_rate_token = false;
  const CallHead& head = state->request.head;
  if (IsLimited(*upstream)) ++upstream->sent_under_limit;
  ++state->sent;
  state->sent_after.push_back(deps_.clock.Now() - state->request.received);
  state->phase = CallPhase::kResponse;
  const AttemptOutcome outcome =
      co_await attempt->Begin(std::move(conn), request, head.request_id);
  EndPrefill(*state, *upstream);
  if (attempt->saw_draining()) MarkDraining(*state, upstream);
  if (outcome != AttemptOutcome::kBroken) {
    RecordLimit(*state, upstream, state->sent_at);
  }
  Step step = Step::kNext;
  if (state->caller_disconnected) {
    step = Step::kDone;
  } else if (outcome == AttemptOutcome::kNotRun) {
    step = co_await OnNotRun(state, upstream);
  } else if (outcome == AttemptOutcome::kBroken) {
    ++state->runs;
    if (!state->timed_out) SuspectRestart(*upstream);
    step = co_await OnBroken(state, upstream, "no answer");
  } else {
    ++state->runs;
    upstream->cache.Record(head.prompt, deps_.clock.Now());
    state->phase = CallPhase::kBody;
    step = co_await OnResponse(state, upstream);
  }
  EndLoad(*state, *upstream);
  deps_.pool.Put(upstream, attempt->TakeConnection());
  co_return step;
}

void CallRunner::SuspectRestart(Upstream& upstream) const {
  if (upstream.cold.per_s <= 0) return;
  kLog.Info("An upstream may have restarted and is treated as cold.",
            {{"upstream", upstream.entry.id},
             {"cold_ms", upstream.cold.start.count},
             {"per_s", std::to_string(upstream.cold.per_s)}});
  SuspectCold(upstream, upstream.cold.start, deps_.clock.Now());
}

void CallRunner::MarkDraining(const State& state, const UpstreamPtr& upstream) {
  if (upstream->said_draining) return;
  kLog.Info("An upstream says that it is draining.",
            {{"request", state.request.head.request_id},
             {"upstream", upstream->entry.id},
             {"listed_as_draining", upstream->entry.draining ? 1 : 0}});
  deps_.view.upstreams.MarkDraining(upstream, WallTime());
}

Task<CallRunner::Step> CallRunner::OnNotRun(StatePtr state,
                                            UpstreamPtr upstream) {
  const bool misdirected = state->attempt->status() == kMisdirected;
  upstream->avoid_until =
      deps_.clock.Now() + (misdirected ? kAvoidMisdirected : kAvoidFull);
  // The connection can be reused only after the body, which may be slow.
  constexpr size_t kMaxBytes = 65536;
  constexpr Ms kRefusalBodyTimeout{100};
  co_await state->attempt->Discard(kMaxBytes, kRefusalBodyTimeout);
  kLog.Info("An upstream refused a call.",
            {{"request", state->request.head.request_id},
             {"upstream", upstream->entry.id},
             {"status", state->attempt->status()},
             {"in_flight", upstream->own.calls}});
  if (++state->refusals <= kMaxRefusals) co_return Step::kNext;
  co_await Refuse(state, state->runs == 0 ? 503 : 502, kRetryFull,
                  "upstreams are full");
  co_return Step::kDone;
}

uint64_t CallRunner::DigestOf(const State& state) {
  DigestedRequest request;
  if (state.workspace != nullptr) request.workspace = state.workspace->name;
  request.target = state.request.target;
  if (state.route != nullptr && state.route->keeps_history) {
    request.previous_turn = state.request.head.previous_turn;
  }
  request.body = *state.request.body;
  return RequestDigest(request);
}

bool CallRunner::MayRunAgain(const State& state) const {
  if (state.body_begun || state.is_probe) return false;
  if (state.ends_without_id) return false;
  const bool allowed = state.has_event
                           ? state.route->resumable
                           : state.route->idempotent || state.route->resumable;
  return allowed && state.runs < state.route->max_attempts;
}

Task<CallRunner::Step> CallRunner::OnBroken(StatePtr state,
                                            UpstreamPtr upstream,
                                            std::string_view what) {
  state->attempt->Abort();
  if (state->caller_disconnected) co_return Step::kDone;
  if (!state->timed_out) {
    RecordFailure(upstream->breaker, deps_.clock.Now(), 0.5);
    deps_.crashes.OnBroken(DigestOf(*state), upstream,
                           state->request.head.request_id);
    kLog.Info("An attempt broke off.",
              {{"request", state->request.head.request_id},
               {"upstream", upstream->entry.id},
               {"events", state->events_sent},
               {"what", what}});
    if (MayRunAgain(*state)) co_return Step::kNext;
  }
  const bool timed_out = state->timed_out;
  co_await Refuse(state, timed_out ? 504 : 502, Ms{0},
                  timed_out ? "deadline passed" : "upstream broke off");
  co_return Step::kDone;
}

Task<void> CallRunner::Refuse(StatePtr state, unsigned status, Ms retry_after,
                              std::string_view reason) {
  state->reason = reason;
  if (state->caller_disconnected) co_return;
  if (state->stream_begun) {
    state->stream_aborted = true;
    state->link.AbortStream();
    co_return;
  }
  state->status = status;
  http::fields fields;
  deps_.dialect.encode_gateway_response(state->request.head, fields);
  fields.set(http::field::content_type, "application/json");
  if ((status == 503 || status == 429) && retry_after > Ms{0}) {
    fields.set(http::field::retry_after, std::to_string(retry_after.Seconds()));
  }
  std::string body = "{\"error\":\"";
  body.append(reason).append("\"}");
  state->phase = CallPhase::kCaller;
  const bool sent = co_await state->link.WriteResponse(status, fields, body);
  state->EndAnswer(sent);
}

void CallRunner::EndAt(Ms at) {
  ends_at_ = at;
  stopping_since_ = deps_.clock.Now();
}

Ms CallRunner::StoppingFor() const {
  return ends_at_.has_value() ? deps_.clock.Now() - stopping_since_ : Ms{0};
}

}  // namespace knapweed::gateway

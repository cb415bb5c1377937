#include "knapweed/gateway/call_runner.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/event_splitter.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");

/// A configuration that was not confirmed for this long may be older than what
/// an operator has put in force: what it does not know may exist.
constexpr Ms kConfigStale{2600};
constexpr Ms kConnectTimeout{400};
/// Upstreams tried beyond the attempts that may have run, each proven not to
/// have run the call.
constexpr uint32_t kMaxRefusals = 3;
/// How long an upstream that was full, or that was not what the list says, is
/// passed over.
constexpr Ms kAvoidFull{60};
constexpr Ms kAvoidWrong{2000};
constexpr Ms kAvoidBroken{500};
/// Less than this leaves an upstream no time to answer.
constexpr Ms kLeastTime{5};
/// When to come back after a refusal, by cause.
constexpr Ms kRetryStarting{300};
constexpr Ms kRetryStoreBlip{400};
/// An outage that has lasted for the first time mostly lasts some seconds more;
/// callers that come back sooner use up their tries.
constexpr Ms kOutageLasts{800};
constexpr Ms kRetryStoreAway{1500};
/// The gateway that holds the rest of a tight budget gives it back soon after
/// its turn of the program has ended.
constexpr Ms kRetryBudgetHeld{300};
constexpr Ms kRetryFull{150};
constexpr Ms kRetryNoUpstream{400};
constexpr size_t kMaxWholeAnswer = 64 << 20;
/// Events of an ordinary answer, for placement before anything is known.
constexpr uint32_t kUsualEvents = 8;
constexpr int kMostUrgent = 0;
constexpr int kLeastUrgent = 9;

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

/// Fields that concern one connection only.
constexpr http::field kHopFields[] = {
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::content_length,
    http::field::expect,
};

http::fields WithoutHopFields(const http::fields& fields) {
  http::fields out = fields;
  // Fields that Connection names are hop fields as well.
  const auto named = fields.equal_range(http::field::connection);
  for (auto it = named.first; it != named.second; ++it) {
    for (const auto& name : http::token_list(it->value())) out.erase(name);
  }
  for (const http::field field : kHopFields) out.erase(field);
  return out;
}

}  // namespace

/// Everything about one call under way.
struct CallRunner::State {
  State(asio::io_context& loop, CallerRequest& r, CallerLink& l)
      : request(r), link(l), timer(loop) {}

  CallerRequest& request;
  CallerLink& link;
  asio::steady_timer timer;
  ConfigPtr config;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  const Service* service = nullptr;
  Ms deadline;
  std::shared_ptr<const std::string> body;
  std::shared_ptr<Attempt> attempt;
  std::vector<UpstreamPtr> tried;
  UpstreamPtr last_upstream;
  /// Attempts that may have run.
  uint32_t runs = 0;
  uint32_t refusals = 0;
  bool gone = false;
  bool timed_out = false;
  /// A token of the workspace's rate is held and not yet used.
  bool holds_rate = false;
  bool holds_budget = false;
  /// The first turn of a program.
  bool begins_program = false;
  ReservationTicket ticket;
  // The answer so far.
  unsigned status = 0;
  std::string reason;
  bool stream_begun = false;
  uint64_t last_event = 0;
  bool has_event = false;
  uint64_t events_sent = 0;
  std::string output;
  bool broken_off = false;
  Ms first_event_at;
};

CallRunner::CallRunner(CallParts parts)
    : parts_(std::move(parts)), random_(HashBytes(RandomHexId())) {}

Task<void> CallRunner::Run(CallerRequest& request, CallerLink& link) {
  ++under_way_;
  auto state = std::make_shared<State>(parts_.loop, request, link);
  state->link.OnGone([weak = std::weak_ptr<State>(state)] {
    const StatePtr held = weak.lock();
    if (held == nullptr) return;
    held->gone = true;
    if (held->attempt != nullptr) held->attempt->Abort();
  });
  co_await RunChecked(state);
  state->timer.cancel();
  state->attempt.reset();
  if (state->holds_rate && state->workspace != nullptr) {
    parts_.quotas.Return(state->workspace->name);
  }
  if (state->holds_budget) {
    const uint64_t per_event =
        state->service != nullptr ? state->service->tokens_per_event : 1;
    parts_.budgets.Settle(state->ticket, state->events_sent * per_event);
  }
  Report(*state);
  --under_way_;
}

Task<void> CallRunner::RunChecked(StatePtr state) {
  Step step = co_await Admit(state);
  if (step == Step::kDone) co_return;
  step = co_await JoinHistory(state);
  if (step == Step::kDone) co_return;
  step = co_await ReserveBudget(state);
  if (step == Step::kDone) co_return;
  step = co_await TakeRate(state);
  if (step == Step::kDone) co_return;
  Arm(state);
  co_await RunAttempts(state);
}

Ms CallRunner::RetryForStore() const {
  const bool lasts = !parts_.store.reachable() &&
                     parts_.clock.Now() - parts_.store.lost_at() > kOutageLasts;
  return lasts ? kRetryStoreAway : kRetryStoreBlip;
}

Task<CallRunner::Step> CallRunner::Admit(StatePtr state) {
  const CallHead& head = state->request.head;
  state->config = parts_.view.config;
  if (state->config == nullptr) {
    co_await Refuse(state, 503, kRetryStarting, "no configuration yet");
    co_return Step::kDone;
  }
  const Ms now = parts_.clock.Now();
  const bool stale = now - parts_.view.config_confirmed_at > kConfigStale;
  state->route =
      FindRoute(*state->config, head.host, PathOf(state->request.target));
  if (state->route == nullptr) {
    co_await Refuse(state, stale ? 503 : 404, RetryForStore(), "no such route");
    co_return Step::kDone;
  }
  const Route& route = *state->route;
  const Ms wait =
      std::min(head.deadline.value_or(route.timeout), route.timeout);
  state->deadline = state->request.received + wait;
  if (!route.is_public && !state->config->keys.empty()) {
    state->workspace = FindWorkspace(*state->config, head.key);
    if (state->workspace == nullptr) {
      co_await Refuse(state, stale ? 503 : 401, RetryForStore(), "unknown key");
      co_return Step::kDone;
    }
  }
  const uint64_t split =
      HashBytes(!head.line.empty() ? head.line : head.request_id);
  const std::string_view name = PickBackend(route, split);
  const auto service = state->config->services.find(name);
  if (service == state->config->services.end()) {
    co_await Refuse(state, 503, kRetryNoUpstream, "route without a service");
    co_return Step::kDone;
  }
  state->service = &service->second;
  co_return Step::kNext;
}

Task<CallRunner::Step> CallRunner::TakeRate(StatePtr state) {
  if (state->workspace == nullptr) co_return Step::kNext;
  const QuotaVerdict verdict =
      parts_.quotas.Take(*state->workspace, state->begins_program);
  if (!verdict.allowed) {
    co_await Refuse(state, 429, verdict.retry_after, "over rate");
    co_return Step::kDone;
  }
  state->holds_rate = true;
  co_return Step::kNext;
}

Task<CallRunner::Step> CallRunner::JoinHistory(StatePtr state) {
  CallerRequest& request = state->request;
  const bool continues =
      state->route->keeps_history && !request.head.previous_turn.empty();
  if (!continues) {
    state->body = std::make_shared<const std::string>(request.body);
    co_return Step::kNext;
  }
  const std::string workspace =
      state->workspace != nullptr ? state->workspace->name : std::string();
  History history =
      co_await parts_.turns.HistoryOf(request.head.previous_turn, workspace);
  if (history.outcome == HistoryOutcome::kNotFound) {
    co_await Refuse(state, 404, Ms{0}, "no such turn");
    co_return Step::kDone;
  }
  if (history.outcome == HistoryOutcome::kUnavailable) {
    co_await Refuse(state, 503, RetryForStore(), "history out of reach");
    co_return Step::kDone;
  }
  history.text += request.body;
  state->body = std::make_shared<const std::string>(std::move(history.text));
  co_return Step::kNext;
}

Task<CallRunner::Step> CallRunner::ReserveBudget(StatePtr state) {
  const CallHead& head = state->request.head;
  const bool bound = state->route->streaming && !head.program.empty() &&
                     head.token_budget.has_value();
  if (!bound) co_return Step::kNext;
  state->ticket.program = head.program;
  if (state->workspace != nullptr) {
    state->ticket.program = state->workspace->name + "/" + head.program;
  }
  state->ticket.turn = head.request_id;
  state->ticket.most = head.max_output_tokens;
  const ReserveResult result = co_await parts_.budgets.Reserve(
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
    co_await Refuse(state, 503, RetryForStore(), "budget out of reach");
    co_return Step::kDone;
  }
  state->holds_budget = true;
  state->begins_program = result.is_new && head.previous_turn.empty();
  co_return Step::kNext;
}

void CallRunner::Arm(const StatePtr& state) {
  const Ms left = std::max(state->deadline - parts_.clock.Now(), Ms{0});
  state->timer.expires_after(ToChrono(left));
  state->timer.async_wait(
      [weak = std::weak_ptr<State>(state)](const ErrorCodeOut& ec) {
        const StatePtr held = weak.lock();
        if (ec || held == nullptr) return;
        held->timed_out = true;
        if (held->attempt != nullptr) held->attempt->Abort();
      });
}

UpstreamPtr CallRunner::Choose(State& state) {
  const CallHead& head = state.request.head;
  ChoiceInput input;
  input.service = state.service->name;
  input.failure_domain = parts_.failure_domain;
  input.prompt = head.prompt;
  input.prompt_tokens = head.prompt_tokens;
  input.expected_output_tokens =
      state.route->streaming ? kUsualEvents * state.service->tokens_per_event
                             : 0;
  if (!head.affinity.empty()) input.affinity_hash = HashBytes(head.affinity);
  input.random = random_();
  input.now = parts_.clock.Now();
  return parts_.view.upstreams.Choose(input, state.tried);
}

Task<void> CallRunner::RunAttempts(StatePtr state) {
  while (!state->gone) {
    const Ms left = state->deadline - parts_.clock.Now();
    if (state->timed_out || left < kLeastTime) {
      co_await Refuse(state, state->runs == 0 ? 503 : 504, Ms{0},
                      "deadline passed");
      co_return;
    }
    UpstreamPtr upstream = Choose(*state);
    if (upstream == nullptr) {
      const bool none = state->tried.empty();
      co_await Refuse(state, state->runs == 0 ? 503 : 502,
                      none ? kRetryNoUpstream : kRetryFull,
                      none ? "no upstream" : "every upstream refused");
      co_return;
    }
    const Step step = co_await RunAttempt(state, upstream);
    if (step == Step::kDone) co_return;
  }
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
  dispatch.time_left = state.deadline - parts_.clock.Now();
  dispatch.upstream_id = upstream.entry.id;
  if (state.workspace != nullptr) dispatch.workspace = state.workspace->name;
  if (state.service->is_engine) {
    dispatch.priority = std::clamp(PriorityOf(*state.route, state.workspace),
                                   kMostUrgent, kLeastUrgent);
  }
  dispatch.resume_after =
      state.has_event ? std::optional(state.last_event) : head.resume_after;
  parts_.dialect.encode_dispatch(dispatch, out.fields);
  return out;
}

Task<CallRunner::Step> CallRunner::RunAttempt(StatePtr state,
                                              UpstreamPtr upstream) {
  state->tried.push_back(upstream);
  const Ms timeout =
      std::min(kConnectTimeout, state->deadline - parts_.clock.Now());
  std::unique_ptr<UpstreamConnection> conn =
      co_await parts_.pool.Get(upstream, timeout);
  if (state->gone || state->timed_out) co_return Step::kNext;
  if (conn == nullptr) {
    RecordFailure(upstream->breaker, parts_.clock.Now(), 0.5);
    upstream->avoid_until = parts_.clock.Now() + kAvoidBroken;
    kLog.Info("An upstream took no connection.",
              {{"request", state->request.head.request_id},
               {"upstream", upstream->entry.id}});
    if (++state->refusals > kMaxRefusals) {
      co_await Refuse(state, state->runs == 0 ? 503 : 502, kRetryFull,
                      "no connection to any upstream tried");
      co_return Step::kDone;
    }
    co_return Step::kNext;
  }
  // It may have left while the connection was made.
  if (!upstream->listed || upstream->entry.draining) co_return Step::kNext;
  const UpstreamRequest request = MakeRequest(*state, *upstream);
  state->attempt =
      std::make_shared<Attempt>(parts_.loop, parts_.clock, parts_.dialect);
  const std::shared_ptr<Attempt> attempt = state->attempt;
  state->last_upstream = upstream;
  state->holds_rate = false;
  const CallHead& head = state->request.head;
  const uint64_t reading =
      head.prompt_tokens -
      std::min<uint64_t>(upstream->cache.CachedTokens(head.prompt),
                         head.prompt_tokens);
  ++upstream->in_flight;
  upstream->reading_tokens += reading;
  const AttemptOutcome outcome =
      co_await attempt->Begin(std::move(conn), request, head.request_id);
  upstream->reading_tokens -= reading;
  Step step = Step::kNext;
  if (state->gone) {
    step = Step::kDone;
  } else if (outcome == AttemptOutcome::kNotRun) {
    step = co_await OnNotRun(state, upstream);
  } else if (outcome == AttemptOutcome::kBroken) {
    ++state->runs;
    step = co_await OnBroken(state, upstream, "no answer");
  } else {
    ++state->runs;
    upstream->cache.Record(head.prompt, parts_.clock.Now());
    step = co_await OnAnswer(state, upstream);
  }
  --upstream->in_flight;
  parts_.pool.Put(upstream, attempt->TakeConnection());
  co_return step;
}

Task<CallRunner::Step> CallRunner::OnNotRun(StatePtr state,
                                            UpstreamPtr upstream) {
  const bool wrong = state->attempt->status() == 421;
  upstream->avoid_until =
      parts_.clock.Now() + (wrong ? kAvoidWrong : kAvoidFull);
  std::string ignored;
  constexpr size_t kMostBytes = 65536;
  co_await state->attempt->ReadAll(&ignored, kMostBytes);
  kLog.Info("An upstream refused a call.",
            {{"request", state->request.head.request_id},
             {"upstream", upstream->entry.id},
             {"status", state->attempt->status()},
             {"in_flight", upstream->in_flight}});
  if (++state->refusals <= kMaxRefusals) co_return Step::kNext;
  co_await Refuse(state, state->runs == 0 ? 503 : 502, kRetryFull,
                  "upstreams are full");
  co_return Step::kDone;
}

bool CallRunner::MayRunAgain(const State& state) const {
  const bool allowed = state.has_event
                           ? state.route->resumable
                           : state.route->idempotent || state.route->resumable;
  return allowed && state.runs < state.route->max_attempts;
}

Task<CallRunner::Step> CallRunner::OnBroken(StatePtr state,
                                            UpstreamPtr upstream,
                                            std::string_view what) {
  state->attempt->Abort();
  if (state->gone) co_return Step::kDone;
  if (!state->timed_out) {
    RecordFailure(upstream->breaker, parts_.clock.Now(), 0.5);
    kLog.Info("An attempt broke off.",
              {{"request", state->request.head.request_id},
               {"upstream", upstream->entry.id},
               {"events", state->events_sent},
               {"what", what}});
    if (MayRunAgain(*state)) co_return Step::kNext;
  }
  const bool late = state->timed_out;
  co_await Refuse(state, late ? 504 : 502, Ms{0},
                  late ? "deadline passed" : "upstream broke off");
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::OnAnswer(StatePtr state,
                                            UpstreamPtr upstream) {
  const Attempt& attempt = *state->attempt;
  const bool success = attempt.status() >= 200 && attempt.status() < 300;
  if (success && (!attempt.head().is_signed || attempt.head().is_encoded)) {
    co_return co_await OnBroken(state, upstream, "answer is not the service's");
  }
  if (success && state->route->streaming && attempt.head().is_event_stream) {
    co_return co_await OnStream(state, upstream);
  }
  co_return co_await OnWholeAnswer(state, upstream);
}

Task<CallRunner::Step> CallRunner::OnWholeAnswer(StatePtr state,
                                                 UpstreamPtr upstream) {
  Attempt& attempt = *state->attempt;
  std::string body;
  const bool whole = co_await attempt.ReadAll(&body, kMaxWholeAnswer);
  if (!whole) {
    co_return co_await OnBroken(state, upstream, "answer broke off");
  }
  RecordSuccess(upstream->breaker);
  const unsigned status = attempt.status();
  if (state->stream_begun) {
    co_return co_await OnBroken(state, upstream, "resume was refused");
  }
  if (status >= 500 && MayRunAgain(*state)) {
    kLog.Info("An upstream failed a call; trying another.",
              {{"request", state->request.head.request_id},
               {"upstream", upstream->entry.id},
               {"status", status}});
    co_return Step::kNext;
  }
  // These promise that the call has not run; from an upstream that does not say
  // so itself they would be no promise.
  const bool promises = status == 429 || status == 503 || status == 408;
  if (promises) {
    co_await Refuse(state, 502, Ms{0}, "upstream failed");
    co_return Step::kDone;
  }
  state->status = status;
  const http::fields fields = WithoutHopFields(attempt.header());
  const bool sent = co_await state->link.WriteWhole(status, fields, body);
  if (!sent) state->gone = true;
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::OnStream(StatePtr state,
                                            UpstreamPtr upstream) {
  Attempt& attempt = *state->attempt;
  if (!state->stream_begun) {
    state->stream_begun = true;
    state->status = attempt.status();
    const http::fields fields = WithoutHopFields(attempt.header());
    const bool ok = co_await state->link.BeginStream(state->status, fields);
    if (!ok) state->gone = true;
  }
  EventSplitter splitter;
  std::string piece;
  while (!state->gone) {
    const bool ok = co_await attempt.ReadSome(&piece);
    if (state->gone) break;
    if (!ok || !splitter.Feed(piece)) {
      co_return co_await OnBroken(state, upstream, "stream broke off");
    }
    StreamEvent event;
    std::string out;
    while (splitter.Next(&event)) {
      // A run that resumes may begin before the last event that was sent.
      if (state->has_event && event.id.has_value() &&
          *event.id <= state->last_event) {
        continue;
      }
      if (event.id.has_value()) {
        state->last_event = *event.id;
        state->has_event = true;
      }
      out.append(event.raw);
      ++state->events_sent;
      if (state->route->keeps_history) {
        state->output.append(event.data).push_back('\n');
      }
    }
    if (!out.empty()) {
      if (state->first_event_at == Ms{0}) {
        state->first_event_at = parts_.clock.Now();
      }
      const bool sent = co_await state->link.WritePiece(out);
      if (!sent) state->gone = true;
    }
    if (piece.empty()) break;
  }
  if (state->gone) {
    attempt.Abort();
    co_return Step::kDone;
  }
  if (splitter.HasRest()) {
    co_return co_await OnBroken(state, upstream, "stream ended in an event");
  }
  RecordSuccess(upstream->breaker);
  co_return co_await FinishStream(state);
}

Task<CallRunner::Step> CallRunner::FinishStream(StatePtr state) {
  const CallHead& head = state->request.head;
  if (state->route->keeps_history && !head.request_id.empty()) {
    auto turn = std::make_shared<Turn>();
    turn->id = head.request_id;
    if (state->workspace != nullptr) turn->workspace = state->workspace->name;
    turn->previous = head.previous_turn;
    turn->input = state->request.body;
    turn->output = state->output;
    const bool kept = co_await parts_.turns.Keep(
        turn, state->route->history_ttl, state->deadline);
    if (!kept) {
      co_await Refuse(state, 503, Ms{0}, "turn was not kept");
      co_return Step::kDone;
    }
  }
  const bool ended = co_await state->link.EndStream();
  if (!ended) state->gone = true;
  co_return Step::kDone;
}

Task<void> CallRunner::Refuse(StatePtr state, unsigned status, Ms retry_after,
                              std::string_view reason) {
  state->reason = reason;
  if (state->gone) co_return;
  if (state->stream_begun) {
    state->broken_off = true;
    state->link.BreakOff();
    co_return;
  }
  state->status = status;
  http::fields fields;
  parts_.dialect.encode_own_answer(state->request.head, fields);
  fields.set(http::field::content_type, "application/json");
  if ((status == 503 || status == 429) && retry_after > Ms{0}) {
    fields.set(http::field::retry_after, std::to_string(retry_after.Seconds()));
  }
  std::string body = "{\"error\":\"";
  body.append(reason).append("\"}");
  const bool sent = co_await state->link.WriteWhole(status, fields, body);
  if (!sent) state->gone = true;
}

void CallRunner::Report(const State& state) {
  const CallHead& head = state.request.head;
  const Ms took = parts_.clock.Now() - state.request.received;
  parts_.metrics.GetLatency("call_ms").Record(static_cast<double>(took.count));
  parts_.metrics
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
       {"runs", state.runs},
       {"refusals", state.refusals},
       {"events", state.events_sent},
       {"upstream",
        state.last_upstream != nullptr ? state.last_upstream->entry.id : ""},
       {"gone", state.gone ? 1 : 0},
       {"broken_off", state.broken_off ? 1 : 0},
       {"config", state.config != nullptr ? state.config->version : 0},
       {"reason", state.reason}});
}

}  // namespace knapweed::gateway

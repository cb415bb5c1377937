// Choice of the upstream for an attempt: placement, the limits that upstreams
// state, and the bounds of cold upstreams.
#include <algorithm>

#include "call_state.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");

/// Grants that may be refused to a call before it tries only upstreams that
/// need none, and then waits for one.
constexpr int kMaxGrantsRefused = 4;
/// Assumed number of events in a streamed response, for the choice of an
/// upstream.
constexpr uint32_t kExpectedEvents = 8;

}  // namespace

ChoiceInput CallRunner::ChoiceFor(const State& state) {
  const CallHead& head = state.request.head;
  ChoiceInput input;
  input.service = state.service->name;
  if (state.stream_version.has_value()) {
    input.versions = {*state.stream_version};
  } else if (BeginsStream(state)) {
    input.versions = deps_.stream_versions.VersionsToBegin(
        RouteKeyOf(*state.route), state.service->name);
  }
  input.continues_stream = state.stream_version.has_value();
  input.failure_domain = deps_.failure_domain;
  input.prompt = head.prompt;
  input.prompt_tokens = head.prompt_tokens;
  input.expected_output_tokens =
      state.route->streaming ? kExpectedEvents * state.service->tokens_per_event
                             : 0;
  input.home_hash = HomeHash({head.affinity, head.program});
  const PromptMix& mix = deps_.view.upstreams.MixOf(state.service->name);
  const EngineMemory memory =
      mix.MemoryOf(state.service->cache_tokens, state.service->engine_slots);
  input.memory_binds = state.service->is_engine && MemoryBinds(memory);
  input.home_share = HomeShare(memory);
  input.random = random_();
  input.now = deps_.clock.Now();
  return input;
}

Task<UpstreamPtr> CallRunner::ChooseWithGrant(StatePtr state) {
  const UpstreamSet& upstreams = deps_.view.upstreams;
  // Many upstreams may be cold at once, so a call asks for one of them and then
  // goes to one that is not, while there is any.
  bool avoids_cold = false;
  bool only_cold = false;
  for (int refused = 0;;) {
    ChoiceInput input = ChoiceFor(*state);
    input.without_limit = refused >= kMaxGrantsRefused;
    input.without_cold = avoids_cold && !only_cold;
    UpstreamPtr upstream = upstreams.Choose(input, state->tried);
    if (upstream == nullptr && input.without_cold && !input.without_limit) {
      only_cold = true;
      continue;
    }
    if (upstream == nullptr) break;
    const Ms asked_at = deps_.clock.Now();
    state->send_by = state->deadline;
    state->has_grant = NeedsGrant(*upstream, asked_at);
    if (!state->has_grant) co_return upstream;
    const SendGrant grant = co_await deps_.send_limits.Ask(upstream, Ms{0});
    state->send_by = SendBy(asked_at, grant);
    if (grant.granted) co_return upstream;
    ++refused;
    if (IsCold(*upstream, asked_at)) avoids_cold = true;
  }
  const UpstreamPtr first =
      upstreams.FirstToOpen(ChoiceFor(*state), state->tried);
  if (first != nullptr) {
    UpstreamPtr granted = co_await WaitForGrant(state, first);
    co_return granted;
  }
  const bool none = state->tried.empty();
  const std::string_view none_reason = state->stream_version.has_value()
                                           ? "no upstream of its version"
                                           : "no upstream";
  co_await Refuse(state, state->runs == 0 ? 503 : 502,
                  none ? kRetryNoUpstream : kRetryFull,
                  none ? none_reason : "every upstream refused");
  co_return nullptr;
}

Task<UpstreamPtr> CallRunner::ChooseForStart(StatePtr state) {
  // The last one has the prompt in its cache, and no further upstream runs the
  // call.
  const UpstreamPtr& last = state->last_upstream;
  const Ms now = deps_.clock.Now();
  const bool is_free = last != nullptr && AcceptsCalls(*last) &&
                       last->avoid_until <= now && !NeedsGrant(*last, now);
  if (is_free) {
    state->send_by = state->deadline;
    state->has_grant = false;
    co_return last;
  }
  if (state->is_probe || state->runs >= state->route->max_attempts) {
    co_await Refuse(state, 502, Ms{0}, "start of the turn can't be read");
    co_return nullptr;
  }
  UpstreamPtr chosen = co_await ChooseWithGrant(state);
  co_return chosen;
}

Task<UpstreamPtr> CallRunner::WaitForGrant(StatePtr state,
                                           UpstreamPtr upstream) {
  LimitedCall call;
  call.time_left = state->deadline - deps_.clock.Now();
  call.objective = state->route->objective;
  call.begins_program = state->begins_program;
  const Ms max_wait = MaxSendWait(call);
  const Ms asked_at = deps_.clock.Now();
  const SendGrant grant = co_await deps_.send_limits.Ask(upstream, max_wait);
  if (grant.granted) {
    state->send_by = SendBy(asked_at, grant);
    state->has_grant = true;
    co_await Sleep(deps_.loop, grant.wait);
    co_return upstream;
  }
  kLog.Info("The limits of all upstreams are used up.",
            {{"request", state->request.head.request_id},
             {"first_to_open", upstream->entry.id},
             {"cold", IsCold(*upstream, asked_at) ? 1 : 0},
             {"wait_ms", grant.wait.count},
             {"max_wait_ms", max_wait.count},
             {"begins_program", call.begins_program ? 1 : 0}});
  co_await Refuse(state, state->runs == 0 ? 503 : 502, grant.wait,
                  "upstreams at their limit");
  co_return nullptr;
}

void CallRunner::LogResume(const State& state, const Upstream& upstream) {
  const CallHead& head = state.request.head;
  if (!state.has_event && !head.resume_after.has_value()) return;
  if (state.reads_start) {
    kLog.Info("Reads the start of a turn that its caller resumed.",
              {{"request", head.request_id},
               {"begun_by", head.begun_by},
               {"until_event", *head.resume_after},
               {"upstream", upstream.entry.id}});
    return;
  }
  const bool is_own = !head.resume_after.has_value();
  const uint64_t after =
      state.has_event ? state.last_event : head.resume_after.value_or(0);
  kLog.Info("A stream goes on.",
            {{"request", head.request_id},
             {"begun_by", is_own ? head.request_id : head.begun_by},
             {"begun_version", state.stream_version.value_or("")},
             {"after_event", after},
             {"upstream", upstream.entry.id},
             {"version", upstream.entry.version}});
}

void CallRunner::RecordLimit(const State& state, const UpstreamPtr& upstream,
                             Ms sent_at) {
  // A 421 comes from another instance, at an address that was reused.
  if (state.attempt->status() == kMisdirected) return;
  const ResponseHead& head = state.attempt->head();
  // Without a signature the upstream's service may not have made the response.
  if (!head.limit_per_s.has_value() && !head.is_signed) return;
  const LimitInResponse news{head.limit_per_s, sent_at, deps_.clock.Now()};
  const bool had_limit = IsLimited(*upstream);
  if (!deps_.send_limits.RecordResponse(upstream, news)) return;
  kLog.Info(
      "The limit that an upstream states has changed.",
      {{"request", state.request.head.request_id},
       {"upstream", upstream->entry.id},
       {"per_s", news.per_s.has_value() ? std::to_string(*news.per_s) : "none"},
       {"sent_under_limit", upstream->sent_under_limit}});
  if (!had_limit) upstream->sent_under_limit = 0;
}

}  // namespace knapweed::gateway

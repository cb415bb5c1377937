// Forwarding of an upstream's response to the caller.
#include <algorithm>
#include <utility>

#include "call_state.h"
#include "knapweed/base/log.h"
#include "knapweed/base/parse.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("call");
/// A body up to this size is read completely first, so that a broken one can be
/// replaced by another attempt.
constexpr size_t kMaxBufferedBodyBytes = 256 << 10;
/// Output of a turn that can still be stored: a commit takes 1 MB in all.
constexpr size_t kMaxKeptOutputBytes = 512 << 10;
/// Start of a body that `kCallBufferBytes` has room for.
constexpr uint64_t kMinBufferedBodyBytes = 16 << 10;
/// Buffered events and their copies that `kCallBufferBytes` has room for.
constexpr uint64_t kMinEventBytes = 48 << 10;

/// Hop-by-hop fields: they apply to one connection only.
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

/// Returns how many bytes of a body are set aside beside
/// `kMinBufferedBodyBytes`, to read them before any is sent. Fewer if memory is
/// short; a response that breaks off then ends the call.
uint64_t BytesToReadFirst(const HeldState& memory,
                          const http::response_header<>& header) {
  uint64_t body_bytes = kMaxBufferedBodyBytes;
  uint64_t declared = 0;
  if (ParseNumber(std::string_view{header[http::field::content_length]},
                  &declared)) {
    body_bytes = std::min(body_bytes, declared);
  }
  return RoomFor(memory,
                 body_bytes - std::min(body_bytes, kMinBufferedBodyBytes));
}

}  // namespace

http::fields WithoutHopFields(const http::fields& fields) {
  http::fields out = fields;
  // Fields listed in Connection are hop-by-hop as well.
  const auto named = fields.equal_range(http::field::connection);
  for (auto it = named.first; it != named.second; ++it) {
    for (const auto& name : http::token_list(it->value())) out.erase(name);
  }
  for (const http::field field : kHopFields) out.erase(field);
  return out;
}

Task<CallRunner::Step> CallRunner::OnResponse(StatePtr state,
                                              UpstreamPtr upstream) {
  const Attempt& attempt = *state->attempt;
  const bool success = attempt.status() >= 200 && attempt.status() < 300;
  if (success && (!attempt.head().is_signed || attempt.head().is_encoded)) {
    co_return co_await OnBroken(state, upstream, "answer is not the service's");
  }
  // Answers to HEAD and those with another status have no events.
  const bool is_head = state->request.method == "HEAD";
  const bool has_events =
      attempt.head().is_event_stream && attempt.status() == 200 && !is_head;
  if (has_events && state->route->streaming) {
    co_return co_await OnStream(state, upstream);
  }
  const bool is_turn =
      state->route->streaming && state->route->keeps_history && !is_head;
  if (success && is_turn) {
    // The next turn could not continue it.
    co_return co_await OnBroken(state, upstream, "answer is not a stream");
  }
  co_return co_await OnUnaryResponse(state, upstream);
}

Task<CallRunner::Step> CallRunner::OnUnaryResponse(StatePtr state,
                                                   UpstreamPtr upstream) {
  Attempt& attempt = *state->attempt;
  std::string body;
  state->held_answer.Set(
      BytesToReadFirst(deps_.memory.state(), attempt.header()));
  const BodyRead read = co_await attempt.ReadAll(
      &body, kMinBufferedBodyBytes + state->held_answer.bytes());
  if (read == BodyRead::kBroken) {
    co_return co_await OnBroken(state, upstream, "answer broke off");
  }
  if (read == BodyRead::kComplete) {
    RecordSuccess(upstream->breaker);
    RecordAnswer(*state, *upstream);
  }
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
  // To callers these statuses mean that the call did not run. The upstream did
  // not state that, so they are replaced by 502.
  const bool implies_not_run = status == 429 || status == 503 || status == 408;
  if (implies_not_run) {
    co_await Refuse(state, 502, Ms{0}, "upstream failed");
    co_return Step::kDone;
  }
  if (read == BodyRead::kOverLimit) {
    co_return co_await ForwardBody(state, upstream, std::move(body));
  }
  state->status = status;
  http::fields fields = WithoutHopFields(attempt.header());
  // The length of the body that a GET would have.
  const auto length = attempt.header().find(http::field::content_length);
  if (state->request.method == "HEAD" && length != attempt.header().end()) {
    fields.set(http::field::content_length, length->value());
  }
  state->phase = CallPhase::kCaller;
  const bool sent = co_await state->link.WriteResponse(status, fields, body);
  state->EndAnswer(sent);
  co_return Step::kDone;
}

Task<CallRunner::Step> CallRunner::ForwardBody(StatePtr state,
                                               UpstreamPtr upstream,
                                               std::string piece) {
  Attempt& attempt = *state->attempt;
  state->stream_begun = true;
  state->body_begun = true;
  state->status = attempt.status();
  const http::fields fields = WithoutHopFields(attempt.header());
  bool sent = co_await state->link.BeginStream(state->status, fields);
  while (sent && !state->caller_disconnected) {
    if (!piece.empty()) {
      sent = co_await state->link.WriteChunk(piece);
    }
    if (state->held_answer.bytes() > 0) {
      // The first piece is the large one.
      piece = std::string();
      state->held_answer.Set(0);
    }
    if (!sent || attempt.is_complete()) break;
    const bool ok = co_await attempt.ReadSome(&piece);
    if (ok) continue;
    // Such a body is not slow but long, so a timeout counts as a failure too.
    if (state->timed_out) {
      RecordFailure(upstream->breaker, deps_.clock.Now(), 0.5);
    }
    co_return co_await OnBroken(state, upstream, "answer broke off");
  }
  if (!sent) state->SetGone(CallerGone::kWriteFailed);
  if (state->caller_disconnected) {
    attempt.Abort();
    co_return Step::kDone;
  }
  RecordSuccess(upstream->breaker);
  state->phase = CallPhase::kCaller;
  sent = co_await state->link.EndStream();
  state->EndAnswer(sent);
  co_return Step::kDone;
}

EventPlace CallRunner::FindPlace(const State& state, const StreamEvent& event) {
  if (event.id.has_value()) {
    // A resumed run may repeat events that were already sent.
    const bool was_sent = state.has_event && *event.id <= state.last_event;
    if (was_sent) return EventPlace::kSent;
    const bool skips = state.awaits_place && state.ids_count_events &&
                       *event.id > state.last_event + 1;
    return skips ? EventPlace::kUnknown : EventPlace::kNext;
  }
  if (!state.awaits_place) return EventPlace::kNext;
  return event.has_data ? EventPlace::kUnknown : EventPlace::kSent;
}

void CallRunner::Advance(State& state, const StreamEvent& event) {
  ++state.events_sent;
  if (!event.id.has_value()) {
    state.ends_without_id = state.ends_without_id || event.has_data;
    return;
  }
  const uint64_t last = state.has_event
                            ? state.last_event
                            : state.request.head.resume_after.value_or(0);
  state.ids_count_events = state.ids_count_events && *event.id <= last + 1;
  state.last_event = *event.id;
  state.has_event = true;
  state.ends_without_id = false;
  state.awaits_place = false;
}

std::string_view CallRunner::TakeEvents(State& state, EventSplitter& splitter,
                                        std::string* out) {
  const uint64_t per_event = state.service->tokens_per_event;
  // The last event may hold fewer tokens than the others.
  const uint64_t max_tokens =
      state.request.head.max_output_tokens + 2 * per_event;
  StreamEvent event;
  while (splitter.Next(&event)) {
    const EventPlace place = FindPlace(state, event);
    if (place == EventPlace::kSent) continue;
    if (place == EventPlace::kUnknown) return "stream goes on elsewhere";
    Advance(state, event);
    out->append(event.raw);
    if (state.route->keeps_history) {
      state.output.append(event.data).push_back('\n');
    }
    const bool over_tokens = state.request.head.max_output_tokens > 0 &&
                             state.events_sent * per_event > max_tokens;
    if (over_tokens || state.output.size() > kMaxKeptOutputBytes) {
      // A run that goes on elsewhere would send as much again.
      state.body_begun = true;
      return "too much output";
    }
  }
  return {};
}

void CallRunner::RecordStreamVersion(State& state, const Upstream& upstream) {
  if (state.stream_version.has_value()) return;
  state.stream_version = upstream.entry.version;
  const std::string& request_id = state.request.head.request_id;
  if (!state.route->resumable || request_id.empty()) return;
  deps_.stream_versions.Record(request_id, PlaceOf(state, upstream));
}

Task<CallRunner::Step> CallRunner::OnStream(StatePtr state,
                                            UpstreamPtr upstream) {
  Attempt& attempt = *state->attempt;
  if (state->reads_start) {
    co_return co_await OnStart(state, upstream);
  }
  RecordStreamVersion(*state, *upstream);
  if (!state->stream_begun) {
    state->stream_begun = true;
    state->status = attempt.status();
    const http::fields fields = WithoutHopFields(attempt.header());
    const bool ok = co_await state->link.BeginStream(state->status, fields);
    if (!ok) state->SetGone(CallerGone::kWriteFailed);
  }
  state->awaits_place = state->has_event;
  EventSplitter splitter;
  std::string piece;
  while (!state->caller_disconnected) {
    const bool ok = co_await attempt.ReadSome(&piece);
    if (state->caller_disconnected) break;
    if (!ok || !splitter.Feed(piece)) {
      co_return co_await OnBroken(state, upstream, "stream broke off");
    }
    // An event that is complete is copied once for the caller.
    const uint64_t event_bytes = 2 * splitter.size();
    state->held_answer.Set(state->output.size() + event_bytes -
                           std::min(event_bytes, kMinEventBytes));
    std::string out;
    const uint64_t events_before = state->events_sent;
    const std::string_view fault = TakeEvents(*state, splitter, &out);
    RecordEvents(*state, *upstream, state->events_sent - events_before);
    if (!fault.empty()) {
      co_return co_await OnBroken(state, upstream, fault);
    }
    if (!out.empty()) {
      if (state->first_event_at == Ms{0}) {
        state->first_event_at = deps_.clock.Now();
      }
      const Ms write_began = deps_.clock.Now();
      const bool sent = co_await state->link.WriteChunk(out);
      SkipCallerWait(*state, write_began);
      if (!sent) state->SetGone(CallerGone::kWriteFailed);
    }
    if (piece.empty()) break;
  }
  if (state->caller_disconnected) {
    attempt.Abort();
    co_return Step::kDone;
  }
  if (splitter.HasPartialEvent()) {
    co_return co_await OnBroken(state, upstream, "stream ended in an event");
  }
  RecordSuccess(upstream->breaker);
  if (LacksStart(*state)) {
    state->reads_start = true;
    state->tried.clear();
    co_return Step::kNext;
  }
  co_return co_await FinishStream(state);
}

bool CallRunner::LacksStart(const State& state) {
  const CallHead& head = state.request.head;
  return state.route->keeps_history && !head.request_id.empty() &&
         head.resume_after.value_or(0) > 0;
}

std::string_view CallRunner::TakeStart(State& state, EventSplitter& splitter,
                                       std::string* start) {
  const uint64_t end = *state.request.head.resume_after;
  StreamEvent event;
  while (state.last_of_start < end && splitter.Next(&event)) {
    if (!event.id.has_value() && !event.has_data) continue;
    const uint64_t last = state.last_of_start;
    const bool is_next =
        event.id.has_value() && *event.id > last && *event.id <= end;
    const bool skips =
        is_next && last > 0 && state.ids_count_events && *event.id > last + 1;
    if (!is_next || skips) return "start of the stream has a gap";
    state.last_of_start = *event.id;
    start->append(event.data).push_back('\n');
    if (state.output.size() + start->size() > kMaxKeptOutputBytes) {
      return "too much output";
    }
  }
  return {};
}

Task<CallRunner::Step> CallRunner::OnStart(StatePtr state,
                                           UpstreamPtr upstream) {
  Attempt& attempt = *state->attempt;
  const uint64_t end = *state->request.head.resume_after;
  state->last_of_start = 0;
  EventSplitter splitter;
  std::string start;
  std::string piece;
  while (!state->caller_disconnected && state->last_of_start < end) {
    const bool ok = co_await attempt.ReadSome(&piece);
    if (state->caller_disconnected) break;
    if (!ok || piece.empty() || !splitter.Feed(piece)) {
      co_return co_await OnBroken(state, upstream, "start broke off");
    }
    state->held_answer.Set(state->output.size() + start.size() +
                           splitter.size());
    const std::string_view fault = TakeStart(*state, splitter, &start);
    if (!fault.empty()) {
      co_return co_await OnBroken(state, upstream, fault);
    }
  }
  // The rest of the run was sent already.
  if (!attempt.is_complete()) attempt.Abort();
  if (state->caller_disconnected) co_return Step::kDone;
  RecordSuccess(upstream->breaker);
  state->output.insert(0, start);
  co_return co_await FinishStream(state);
}

Task<CallRunner::Step> CallRunner::FinishStream(StatePtr state) {
  const CallHead& head = state->request.head;
  if (state->route->keeps_history && !head.request_id.empty()) {
    FinishedTurn turn;
    turn.id = head.request_id;
    if (state->workspace != nullptr) turn.workspace = state->workspace->name;
    turn.previous = head.previous_turn;
    turn.text = state->request.body;
    turn.output = std::move(state->output);
    const Ms ttl = state->route->history_ttl;
    const bool outlives = !turn.previous.empty() &&
                          deps_.turns.OutlivesChain(state->chain_until, ttl);
    if (outlives) {
      turn.history_bytes = state->body->size() - turn.text->size();
      turn.text = state->body;
      kLog.Info("A turn is stored with its whole chain.",
                {{"request", turn.id}, {"history_bytes", *turn.history_bytes}});
    }
    state->held_answer.Set(turn.output.size());
    state->phase = CallPhase::kStoring;
    const bool kept =
        co_await deps_.turns.Save(std::move(turn), ttl, state->deadline);
    if (!kept) {
      co_await Refuse(state, 503, Ms{0}, "turn was not kept");
      co_return Step::kDone;
    }
  }
  state->phase = CallPhase::kCaller;
  const bool ended = co_await state->link.EndStream();
  state->EndAnswer(ended);
  if (ended) deps_.stream_versions.EndStream(head.request_id);
  co_return Step::kDone;
}

}  // namespace knapweed::gateway

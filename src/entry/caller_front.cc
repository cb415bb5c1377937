#include "knapweed/entry/caller_front.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace knapweed {
namespace {

constexpr std::string_view kHealthPath = "/healthz";
constexpr std::string_view kProgramsPath = "/v1/programs/";
// A comment line in the server-sent events format; clients ignore it.
constexpr std::string_view kKeepAliveEvent = ": waiting\n\n";

const CallError kNoRoute{ErrorCode::kNotFound, RunState::kNotRun, Ms{0},
                         "No rule names this path."};
const CallError kKeyWithdrawn{ErrorCode::kUnauthorized, RunState::kUnknown,
                              Ms{0}, "The key was withdrawn."};

// Counts a request as in flight for the guard's lifetime.
class InFlightGuard {
 public:
  explicit InFlightGuard(std::atomic<int>& n) : n_(n) { n_.fetch_add(1); }
  ~InFlightGuard() { n_.fetch_sub(1); }
  InFlightGuard(const InFlightGuard&) = delete;
  InFlightGuard& operator=(const InFlightGuard&) = delete;

 private:
  std::atomic<int>& n_;
};

}  // namespace

void CallerFront::Handle(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == kHealthPath) {
    const bool leaving = leaving_;
    responder.Send({leaving ? 503 : 200, {}, leaving ? "leaving\n" : "ok\n"});
    return;
  }
  const InFlightGuard guard(in_flight_);
  const Ms start = parts_.clock.Now();
  const bool ends_program =
      request.method == "DELETE" && request.path.starts_with(kProgramsPath);
  if (ends_program) {
    HandleEndProgram(request, responder);
  } else {
    HandleCall(request, responder);
  }
  const Ms elapsed = parts_.clock.Now() - start;
  parts_.metrics.GetLatency("call").Record(static_cast<double>(elapsed.count));
}

void CallerFront::HandleCall(const HttpRequest& request,
                             HttpResponder& responder) {
  std::optional<CallError> error;
  CallerIdentity caller;
  wire::CallT call;
  RouteKind kind = RouteKind::kModel;
  {
    const RulesHolder::ReadGuard rules = parts_.rules.Read();
    const RouteRule* route = FindRoute(*rules, request.path);
    if (route == nullptr) {
      responder.Send(ErrorReply(kNoRoute, ""));
      return;
    }
    kind = route->kind;
    std::variant<CallerIdentity, CallError> authorized =
        Authorize(*rules, *route, request, parts_.watcher.Confirmed());
    if (auto* refused = std::get_if<CallError>(&authorized)) {
      responder.Send(ErrorReply(*refused, ""));
      return;
    }
    caller = std::get<CallerIdentity>(std::move(authorized));
    std::variant<wire::CallT, CallError> parsed =
        ParseCall(*rules, *route, caller, request, parts_.config);
    if (auto* refused = std::get_if<CallError>(&parsed)) {
      responder.Send(ErrorReply(*refused, ""));
      return;
    }
    call = std::get<wire::CallT>(std::move(parsed));
  }
  const Ms admission_start = parts_.clock.Now();
  const Ms wait = std::min(parts_.config.rate_wait, Ms{call.deadline_ms});
  // A route that needs no key has no workspace and so no rate limit.
  if (!caller.key_id.empty()) {
    error = parts_.rates.Admit(caller.workspace, wait);
  }
  if (error.has_value()) {
    parts_.metrics.GetCounter("call.over_rate").Add();
    responder.Send(ErrorReply(*error, call.request_id));
    return;
  }
  call.deadline_ms -= (parts_.clock.Now() - admission_start).count;
  RunCall(call, kind, caller, responder);
}

void CallerFront::RunCall(const wire::CallT& call, RouteKind kind,
                          const CallerIdentity& caller,
                          HttpResponder& responder) {
  if (call.stream) {
    Stream(call, caller, responder);
    return;
  }
  uint64_t seen_version = call.config_version;
  const wire::ResultT result = parts_.router.Route(call, [&](std::string_view) {
    return IsKeyValid(caller, &seen_version);
  });
  if (!IsKeyValid(caller, &seen_version)) {
    responder.Send(ErrorReply(kKeyWithdrawn, call.request_id));
    return;
  }
  if (result.failure != nullptr) {
    responder.Send(ErrorReply(ToCallError(*result.failure), call.request_id));
    return;
  }
  responder.Send(kind == RouteKind::kModel ? CompletionReply(call, result)
                                           : ServiceReply(call, result));
}

void CallerFront::Stream(const wire::CallT& call, const CallerIdentity& caller,
                         HttpResponder& responder) {
  uint64_t seen_version = call.config_version;
  bool withdrawn = false;
  const auto begin = [&] {
    if (responder.started()) return;
    responder.Begin(200, {{"Content-Type", "text/event-stream"},
                          {"Cache-Control", "no-cache"},
                          {"X-Knapweed-Request", call.request_id},
                          {"X-Knapweed-Program", call.program}});
  };
  const wire::ResultT result =
      parts_.router.Route(call, [&](std::string_view piece) {
        withdrawn = !IsKeyValid(caller, &seen_version);
        if (withdrawn) return false;
        if (piece.empty()) {
          return !responder.started() || responder.Write(kKeepAliveEvent);
        }
        begin();
        return responder.Write(StreamEvent(call, piece));
      });
  std::optional<CallError> error;
  if (result.failure != nullptr) error = ToCallError(*result.failure);
  if (withdrawn || !IsKeyValid(caller, &seen_version)) error = kKeyWithdrawn;
  if (error.has_value() && !responder.started()) {
    responder.Send(ErrorReply(*error, call.request_id));
    return;
  }
  begin();
  responder.Write(error.has_value()
                      ? "data: " + ErrorBody(*error, call.request_id) + "\n\n"
                      : StreamEnd(call, result));
  responder.End();
}

void CallerFront::HandleEndProgram(const HttpRequest& request,
                                   HttpResponder& responder) {
  RouteRule authenticated_route;
  CallerIdentity caller;
  {
    const RulesHolder::ReadGuard rules = parts_.rules.Read();
    std::variant<CallerIdentity, CallError> authorized = Authorize(
        *rules, authenticated_route, request, parts_.watcher.Confirmed());
    if (auto* refused = std::get_if<CallError>(&authorized)) {
      responder.Send(ErrorReply(*refused, ""));
      return;
    }
    caller = std::get<CallerIdentity>(std::move(authorized));
  }
  wire::CallT call;
  call.workspace = caller.workspace.value;
  call.program = request.path.substr(kProgramsPath.size());
  call.request_id = RandomHexId();
  call.ends_program = true;
  call.deadline_ms = parts_.config.default_deadline.count;
  const wire::ResultT result = parts_.router.Route(call, {});
  if (result.failure != nullptr) {
    responder.Send(ErrorReply(ToCallError(*result.failure), call.request_id));
    return;
  }
  responder.Send(
      {200, {{"Content-Type", "application/json"}}, R"({"ended":true})"});
}

bool CallerFront::IsKeyValid(const CallerIdentity& caller,
                             uint64_t* seen_version) const {
  if (caller.key_id.empty()) return true;
  if (parts_.rules.version() == *seen_version) return true;
  const RulesHolder::ReadGuard rules = parts_.rules.Read();
  const KeyRecord* key = FindKeyRecord(*rules, caller.key_id);
  if (key == nullptr || key->withdrawn) return false;
  *seen_version = rules->version;
  return true;
}

}  // namespace knapweed

#include "knapweed/entry/caller_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "knapweed/base/parse.h"
#include "knapweed/program/program_table.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";

CallError BadRequest(std::string message) {
  return CallError{ErrorCode::kBadRequest, RunState::kNotRun, Ms{0},
                   std::move(message)};
}

// Names are used in table rows and HTTP headers, so only visible ASCII is
// allowed.
bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 127; });
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::variant<wire::CallT, CallError> ReadNameHeaders(const HttpRequest& request,
                                                     wire::CallT call) {
  struct NameCheck {
    std::string_view header;
    std::string* target;
  };
  const NameCheck checks[] = {{kProgramHeader, &call.program},
                              {kParentHeader, &call.parent},
                              {kIdempotencyHeader, &call.idempotency_key}};
  for (const NameCheck& check : checks) {
    const std::string_view value = FindHeader(request.headers, check.header);
    if (value.empty()) continue;
    if (!IsName(value)) {
      return BadRequest(std::string(check.header) +
                        " must be 1 to 200 visible ASCII characters.");
    }
    if (value.starts_with(kUnnamedProgramPrefix)) {
      return BadRequest(std::string(check.header) + " must not start with '" +
                        std::string(kUnnamedProgramPrefix) +
                        "', which names calls without a program.");
    }
    *check.target = value;
  }
  return call;
}

std::variant<Ms, CallError> ReadDeadline(const HttpRequest& request,
                                         const EntryConfig& config) {
  const std::string_view text = FindHeader(request.headers, kDeadlineHeader);
  if (text.empty()) return config.default_deadline;
  int64_t n = 0;
  if (!ParseNumber(text, &n) || n < 1) {
    return BadRequest(std::string(kDeadlineHeader) +
                      " must be a whole number of milliseconds.");
  }
  return std::min(Ms{n}, config.max_deadline);
}

// Returns what is wrong with the messages of a model request; empty if nothing.
std::string FindMessagesError(const Json& body) {
  const auto it = body.find("messages");
  if (it == body.end() || !it->is_array() || it->empty()) {
    return "'messages' must be a list of at least one message.";
  }
  for (const Json& message : *it) {
    const bool valid = message.is_object() && message.contains("role") &&
                       message["role"].is_string() &&
                       message.contains("content") &&
                       message["content"].is_string();
    if (!valid) {
      return "Each message must have a text 'role' and a text 'content'.";
    }
  }
  return "";
}

// Returns what is wrong with the body of a model request; empty if nothing.
std::string FindModelBodyError(const Json& body) {
  if (body.is_discarded() || !body.is_object()) {
    return "The body must be a JSON object.";
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return "'model' must name a model.";
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return "'stream' must be true or false.";
  }
  if (body.contains("max_tokens") && !body["max_tokens"].is_number_unsigned()) {
    return "'max_tokens' must be a whole number.";
  }
  return FindMessagesError(body);
}

bool ServesModel(const PoolRule* pool, const std::string& model) {
  if (pool == nullptr) return false;
  const auto end = pool->models.end();
  return std::find(pool->models.begin(), end, model) != end;
}

std::variant<wire::CallT, CallError> ReadModelBody(const Rules& rules,
                                                   const RouteRule& route,
                                                   const HttpRequest& request,
                                                   wire::CallT call) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::string error_text = FindModelBodyError(body);
  if (!error_text.empty()) return BadRequest(error_text);
  call.model = body["model"].get<std::string>();
  if (!ServesModel(FindPool(rules, route.pool), call.model)) {
    return CallError{
        ErrorCode::kUnknownModel, RunState::kNotRun, Ms{0},
        "No upstream of this route serves the model '" + call.model + "'."};
  }
  call.stream = body.value("stream", false);
  call.body = request.body;
  return call;
}

std::variant<wire::CallT, CallError> ReadServiceBody(const RouteRule& route,
                                                     const HttpRequest& request,
                                                     wire::CallT call) {
  if (route.non_idempotent && call.idempotency_key.empty()) {
    return BadRequest(
        "Calls of this route are non-idempotent; an Idempotency-Key header "
        "must name each.");
  }
  call.body = request.body;
  return call;
}

// A call without a program name gets a program of its own. The name is derived
// from the idempotency key when there is one, so that a re-sent call is routed
// to the same owner.
void AssignProgramName(wire::CallT& call) {
  const bool unnamed = call.idempotency_key.empty();
  if (unnamed) call.idempotency_key = "request-" + call.request_id;
  if (!call.program.empty()) return;
  call.program = unnamed ? std::string(kUnnamedProgramPrefix) + call.request_id
                         : "call-" + call.idempotency_key;
}

std::string CompletionId(const wire::CallT& call) {
  return "chatcmpl-" + call.request_id;
}

Json UsageOf(const wire::ResultT& result) {
  return {{"prompt_tokens", result.prompt_tokens},
          {"completion_tokens", result.completion_tokens},
          {"total_tokens", result.prompt_tokens + result.completion_tokens},
          {"cached_tokens", result.cached_tokens}};
}

std::vector<HttpHeader> ReplyHeaders(const wire::CallT& call,
                                     const wire::ResultT& result) {
  std::vector<HttpHeader> headers = {{"Content-Type", "application/json"},
                                     {"X-Knapweed-Request", call.request_id},
                                     {"X-Knapweed-Program", call.program},
                                     {"X-Knapweed-Upstream", result.upstream}};
  if (result.pending) headers.push_back({"X-Knapweed-Durable", "pending"});
  return headers;
}

}  // namespace

std::variant<CallerIdentity, CallError> Authorize(const Rules& rules,
                                                  const RouteRule& route,
                                                  const HttpRequest& request,
                                                  bool confirmed) {
  if (route.open) return CallerIdentity{WorkspaceId("open"), ""};
  if (!confirmed) {
    return CallError{ErrorCode::kStoreUnavailable, RunState::kNotRun,
                     Seconds(2), "Keys can't be confirmed at the moment."};
  }
  const std::string_view header = FindHeader(request.headers, "Authorization");
  const bool bearer = header.starts_with(kBearer);
  const KeyRecord* key =
      bearer ? FindKey(rules, header.substr(kBearer.size())) : nullptr;
  if (key == nullptr) {
    return CallError{ErrorCode::kUnauthorized, RunState::kNotRun, Ms{0},
                     "Authorization must be 'Bearer KEY' with a valid key."};
  }
  return CallerIdentity{key->workspace, key->id};
}

std::variant<wire::CallT, CallError> ParseCall(const Rules& rules,
                                               const RouteRule& route,
                                               const CallerIdentity& caller,
                                               const HttpRequest& request,
                                               const EntryConfig& config) {
  if (request.method != "POST") {
    return BadRequest("This route takes POST only.");
  }
  wire::CallT start;
  start.workspace = caller.workspace.value;
  start.route = route.path;
  start.config_version = rules.version;
  start.request_id = RandomHexId();
  const std::variant<Ms, CallError> deadline = ReadDeadline(request, config);
  if (const auto* error = std::get_if<CallError>(&deadline)) return *error;
  start.deadline_ms = std::get<Ms>(deadline).count;
  std::variant<wire::CallT, CallError> named =
      ReadNameHeaders(request, std::move(start));
  if (std::holds_alternative<CallError>(named)) return named;
  wire::CallT call = std::get<wire::CallT>(std::move(named));
  std::variant<wire::CallT, CallError> read =
      route.kind == RouteKind::kModel
          ? ReadModelBody(rules, route, request, std::move(call))
          : ReadServiceBody(route, request, std::move(call));
  if (auto* done = std::get_if<wire::CallT>(&read)) AssignProgramName(*done);
  return read;
}

std::string ErrorBody(const CallError& error, std::string_view request_id) {
  Json json = {{"code", ErrorCodeName(error.code)},
               {"message", error.message},
               {"run", RunStateName(error.run)}};
  if (error.retry_after > Ms{0}) {
    json["retry_after_ms"] = error.retry_after.count;
  }
  if (!request_id.empty()) json["request_id"] = request_id;
  return Dump({{"error", json}});
}

HttpReply ErrorReply(const CallError& error, std::string_view request_id) {
  HttpReply reply{HttpStatusOf(error.code),
                  {{"Content-Type", "application/json"}},
                  ErrorBody(error, request_id)};
  if (error.retry_after > Ms{0}) {
    const int64_t seconds = (error.retry_after.count + 999) / 1000;
    reply.headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  return reply;
}

HttpReply CompletionReply(const wire::CallT& call,
                          const wire::ResultT& result) {
  const Json message = {{"role", "assistant"}, {"content", result.body}};
  const Json choice = {
      {"index", 0}, {"message", message}, {"finish_reason", "stop"}};
  const Json json = {{"id", CompletionId(call)},
                     {"object", "chat.completion"},
                     {"model", call.model},
                     {"choices", Json::array({choice})},
                     {"usage", UsageOf(result)}};
  return {200, ReplyHeaders(call, result), Dump(json)};
}

std::string StreamEvent(const wire::CallT& call, std::string_view delta) {
  const Json choice = {{"index", 0}, {"delta", {{"content", delta}}}};
  const Json json = {{"id", CompletionId(call)},
                     {"object", "chat.completion.chunk"},
                     {"model", call.model},
                     {"choices", Json::array({choice})}};
  return "data: " + Dump(json) + "\n\n";
}

std::string StreamEnd(const wire::CallT& call, const wire::ResultT& result) {
  const Json choice = {
      {"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}};
  const Json json = {
      {"id", CompletionId(call)},  {"object", "chat.completion.chunk"},
      {"model", call.model},       {"choices", Json::array({choice})},
      {"usage", UsageOf(result)},  {"upstream", result.upstream},
      {"durable", !result.pending}};
  return "data: " + Dump(json) + "\n\ndata: [DONE]\n\n";
}

HttpReply ServiceReply(const wire::CallT& call, const wire::ResultT& result) {
  return {result.status, ReplyHeaders(call, result), result.body};
}

CallError ToCallError(const wire::FailureT& failure) {
  CallError error;
  error.code = failure.code < kErrorCodeCount
                   ? static_cast<ErrorCode>(failure.code)
                   : ErrorCode::kInternal;
  error.run = failure.run <= static_cast<uint8_t>(RunState::kUnknown)
                  ? static_cast<RunState>(failure.run)
                  : RunState::kUnknown;
  error.retry_after = Ms{failure.retry_after_ms};
  error.message = failure.message;
  return error;
}

wire::FailureT ToFailure(const CallError& error) {
  wire::FailureT failure;
  failure.code = static_cast<uint8_t>(error.code);
  failure.run = static_cast<uint8_t>(error.run);
  failure.retry_after_ms = error.retry_after.count;
  failure.message = error.message;
  return failure;
}

}  // namespace knapweed

#include "knapweed/sidecar/upstream_call.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/sidecar/sse_parser.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr char kChatPath[] = "/v1/chat/completions";
constexpr std::string_view kEndOfStream = "[DONE]";
constexpr Ms kBusyRetryAfter = Seconds(1);
constexpr Ms kControlTimeout = Seconds(2);
// Larger than the text of any model's longest answer; an engine may send events
// without end.
constexpr size_t kMaxAnswerBytes = size_t{16} << 20;

std::string Serialize(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpRequest PostJson(std::string path, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  return request;
}

// Identifies the attempt, workspace and program to the upstream. The caller's
// own headers are not sent.
HttpRequest MakeUpstreamRequest(const wire::DispatchT& dispatch,
                                std::string path, std::string body) {
  HttpRequest request = PostJson(std::move(path), std::move(body));
  request.headers.push_back({"X-Attempt", dispatch.attempt});
  request.headers.push_back({"X-Workspace", dispatch.workspace});
  request.headers.push_back({"X-Program", dispatch.program});
  return request;
}

/// Collects the text and token usage of a streamed reply.
struct StreamedAnswer {
  wire::ResultT result;
  bool complete = false;
  bool cancelled = false;
  bool too_large = false;

  // Adds the data of one event and returns its text.
  std::string Add(std::string_view data) {
    if (data == kEndOfStream) {
      complete = true;
      return "";
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) return "";
    try {
      AddUsage(event.value("usage", json::object()));
      const json choices = event.value("choices", json::array());
      if (choices.empty()) return "";
      const json finish = choices[0].value("finish_reason", json());
      if (finish == "cancelled") cancelled = true;
      const json delta = choices[0].value("delta", json::object());
      std::string text = delta.value("content", "");
      too_large =
          too_large || text.size() > kMaxAnswerBytes - result.body.size();
      if (too_large) return "";
      result.body.append(text);
      return text;
    } catch (const json::exception&) {
      // An event of unknown structure carries no text.
      return "";
    }
  }

  void AddUsage(const json& usage) {
    if (!usage.is_object() || usage.empty()) return;
    result.prompt_tokens = usage.value("prompt_tokens", uint64_t{0});
    result.cached_tokens = usage.value("cached_tokens", uint64_t{0});
    result.completion_tokens = usage.value("completion_tokens", uint64_t{0});
  }
};

// Maps an error status of the engine. It sends statuses below 500, and 503,
// before it runs anything.
wire::ResultT EngineErrorResult(int status, std::string_view body) {
  const std::string message = absl::StrCat("the engine answered ", status, ": ",
                                           std::string(body.substr(0, 200)));
  switch (status) {
    case 404:
      return FailedResult(ErrorCode::kUnknownModel, RunState::kNotRun, Ms{0},
                          message);
    case 409:
      return FailedResult(ErrorCode::kFenced, RunState::kNotRun, Ms{0},
                          message);
    case 429:
    case 503:
      return FailedResult(ErrorCode::kOverloaded, RunState::kNotRun,
                          kBusyRetryAfter, message);
    default:
      break;
  }
  if (status < 500) {
    return FailedResult(ErrorCode::kBadRequest, RunState::kNotRun, Ms{0},
                        message);
  }
  return FailedResult(ErrorCode::kUpstreamFailed, RunState::kUnknown,
                      kBusyRetryAfter, message);
}

// Maps the error of a call without a complete reply.
UpstreamOutcome FailedCallOutcome(const absl::Status& status,
                                  bool non_idempotent) {
  UpstreamOutcome outcome;
  switch (status.code()) {
    case absl::StatusCode::kUnavailable:
      outcome.connection_lost = true;
      outcome.result =
          FailedResult(ErrorCode::kUpstreamFailed, RunState::kNotRun,
                       kBusyRetryAfter, "the upstream can't be reached");
      return outcome;
    case absl::StatusCode::kDeadlineExceeded:
      outcome.needs_cancel = true;
      outcome.result = FailedResult(
          non_idempotent ? ErrorCode::kOutcomeUnknown
                         : ErrorCode::kDeadlineExceeded,
          RunState::kUnknown, Ms{0}, "no whole answer before the deadline");
      return outcome;
    default:
      outcome.connection_lost = true;
      outcome.result =
          FailedResult(non_idempotent ? ErrorCode::kOutcomeUnknown
                                      : ErrorCode::kUpstreamFailed,
                       RunState::kUnknown, Ms{0},
                       "the connection to the upstream broke during the call");
      return outcome;
  }
}

absl::StatusOr<std::string> MakeEngineBody(const wire::DispatchT& dispatch) {
  json body = json::parse(dispatch.body, nullptr, false);
  if (!body.is_object()) {
    return absl::InvalidArgumentError("the body is not a JSON object");
  }
  body["stream"] = true;
  body["request_id"] = dispatch.attempt;
  body["priority"] = 0;
  body["fencing"] = {{"scope", absl::StrCat("partition/", dispatch.partition)},
                     {"number", dispatch.epoch}};
  return Serialize(body);
}

absl::Status PostControl(HttpClient& engine, std::string path,
                         const json& body) {
  HttpCallOptions options;
  options.timeout = kControlTimeout;
  const auto reply =
      engine.Call(PostJson(std::move(path), Serialize(body)), options);
  if (!reply.ok()) return reply.status();
  if (reply->status == 404) return absl::NotFoundError(reply->body);
  if (reply->status != 200) return absl::InternalError(reply->body);
  return absl::OkStatus();
}

}  // namespace

wire::ResultT FailedResult(ErrorCode code, RunState run, Ms retry_after,
                           std::string_view message) {
  wire::ResultT result;
  result.status = HttpStatusOf(code);
  result.failure = std::make_unique<wire::FailureT>();
  result.failure->code = static_cast<uint8_t>(code);
  result.failure->run = static_cast<uint8_t>(run);
  result.failure->retry_after_ms = retry_after.count;
  result.failure->message = message;
  return result;
}

bool IsModelCall(const wire::DispatchT& dispatch) {
  return !dispatch.model.empty();
}

UpstreamOutcome RunModelCall(
    HttpClient& engine, const wire::DispatchT& dispatch, Ms timeout,
    const std::function<void(std::string_view)>& on_text,
    const std::atomic<bool>& cancelled) {
  UpstreamOutcome outcome;
  absl::StatusOr<std::string> body = MakeEngineBody(dispatch);
  if (!body.ok()) {
    outcome.result = FailedResult(ErrorCode::kBadRequest, RunState::kNotRun,
                                  Ms{0}, "the body is not a JSON object");
    return outcome;
  }
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  StreamedAnswer answer;
  std::string head;
  SseParser parser([&](std::string_view data) {
    const std::string piece = answer.Add(data);
    if (piece.empty()) return;
    if (outcome.time_to_first_token == Ms{0}) {
      outcome.time_to_first_token = clock.Now() - start;
    }
    on_text(piece);
  });
  HttpCallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  const auto reply = engine.Stream(
      MakeUpstreamRequest(dispatch, kChatPath, *std::move(body)), options,
      [&](std::string_view piece) {
        if (head.size() < 200) head.append(piece.substr(0, 200));
        return !cancelled.load() && parser.Feed(piece) && !answer.too_large;
      });
  outcome.duration = clock.Now() - start;
  if (cancelled.load() || answer.cancelled) {
    outcome.needs_cancel = true;
    outcome.result = FailedResult(ErrorCode::kCancelled, RunState::kUnknown,
                                  Ms{0}, "the call was cancelled");
    return outcome;
  }
  if (answer.too_large) {
    outcome.needs_cancel = true;
    outcome.result =
        FailedResult(ErrorCode::kUpstreamFailed, RunState::kUnknown, Ms{0},
                     "the engine's answer is too large");
    return outcome;
  }
  if (!reply.ok()) return FailedCallOutcome(reply.status(), false);
  if (reply->status != 200) {
    outcome.result = EngineErrorResult(reply->status, head);
    return outcome;
  }
  if (!answer.complete) {
    return FailedCallOutcome(absl::UnknownError("the stream ended early"),
                             false);
  }
  outcome.result = std::move(answer.result);
  outcome.result.status = 200;
  return outcome;
}

UpstreamOutcome RunServiceCall(HttpClient& service,
                               const wire::DispatchT& dispatch, Ms timeout) {
  HttpCallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  auto reply = service.Call(
      MakeUpstreamRequest(dispatch, dispatch.path, dispatch.body), options);
  if (!reply.ok()) {
    return FailedCallOutcome(reply.status(), dispatch.non_idempotent);
  }
  UpstreamOutcome outcome;
  outcome.duration = clock.Now() - start;
  outcome.result.status = reply->status;
  outcome.result.body = std::move(reply->body);
  return outcome;
}

absl::StatusOr<EngineStats> ReadEngineStats(HttpClient& engine) {
  HttpRequest request;
  request.path = "/stats";
  HttpCallOptions options;
  options.timeout = kControlTimeout;
  const auto reply = engine.Call(request, options);
  if (!reply.ok()) return reply.status();
  const json stats = json::parse(reply->body, nullptr, false);
  if (reply->status != 200 || !stats.is_object()) {
    return absl::InternalError("the engine's /stats can't be read");
  }
  EngineStats read;
  read.incarnation = Serialize(stats.value("incarnation", json()));
  for (const json& hold : stats.value("holds", json::array())) {
    if (!hold.is_object()) continue;
    const json name = hold.value("hold", json());
    if (name.is_string()) read.holds.push_back(name.get<std::string>());
  }
  return read;
}

absl::Status CancelAtEngine(HttpClient& engine, std::string_view request_id) {
  return PostControl(engine, "/v1/cancel", {{"request_id", request_id}});
}

absl::Status HoldCache(HttpClient& engine, std::string_view hold,
                       std::string_view request_id) {
  return PostControl(engine, "/cache/hold",
                     {{"hold", hold}, {"request_id", request_id}});
}

absl::Status ReleaseCache(HttpClient& engine, std::string_view hold) {
  return PostControl(engine, "/cache/release", {{"hold", hold}});
}

}  // namespace knapweed

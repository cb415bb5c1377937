#include "tests/process/caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr uint64_t kMaxTokens = 24;
constexpr Ms kAttemptTimeout = Seconds(8);
constexpr Ms kRetryDelay{50};

std::string FieldText(const json& object, const char* name) {
  if (!object.is_object() || !object.contains(name)) return "";
  const json& value = object[name];
  return value.is_string() ? value.get<std::string>() : "";
}

void ReadError(const json& body, CallerReply* reply) {
  if (!body.is_object() || !body.contains("error")) return;
  reply->code = FieldText(body["error"], "code");
  reply->run = FieldText(body["error"], "run");
}

// Sets status 0 if the stream ends without its end marker or with an error.
void ReadStream(const std::string& body, CallerReply* reply) {
  bool done = false;
  for (absl::string_view event : absl::StrSplit(body, "\n\n")) {
    if (!absl::ConsumePrefix(&event, "data: ")) continue;
    if (event == "[DONE]") {
      done = true;
      continue;
    }
    const json parsed = json::parse(event, nullptr, false);
    ReadError(parsed, reply);
    if (!parsed.is_object() || !parsed.contains("choices")) continue;
    reply->pending |= parsed.value("durable", json(true)) == false;
    reply->text += FieldText(parsed["choices"][0]["delta"], "content");
  }
  if (!done || !reply->code.empty()) reply->status = 0;
}

void ReadBody(const std::string& body, CallerReply* reply) {
  const json parsed = json::parse(body, nullptr, false);
  ReadError(parsed, reply);
  reply->text = body;
  if (!parsed.is_object() || !parsed.contains("choices")) return;
  reply->text = FieldText(parsed["choices"][0]["message"], "content");
}

CallerReply Send(Fleet& fleet, size_t entry, const HttpRequest& request,
                 bool stream, Ms timeout) {
  HttpClient client(fleet.entry(entry).listen);
  HttpCallOptions options;
  options.timeout = timeout;
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  const absl::StatusOr<HttpReply> reply = client.Call(request, options);
  CallerReply result;
  result.elapsed = clock.Now() - start;
  if (!reply.ok()) {
    // Only a refused connection proves that nothing was sent.
    if (absl::IsUnavailable(reply.status())) result.run = "not_run";
    return result;
  }
  result.status = reply->status;
  result.pending =
      FindHeader(reply->headers, "X-Knapweed-Durable") == "pending";
  if (stream && reply->status == 200) {
    ReadStream(reply->body, &result);
  } else {
    ReadBody(reply->body, &result);
  }
  return result;
}

}  // namespace

CallerReply SendTurn(Fleet& fleet, size_t entry, const std::string& workspace,
                     const std::string& program, const std::string& call_key,
                     const std::string& text, bool stream, Ms timeout) {
  const json message = {{"role", "user"}, {"content", text}};
  const json body = {{"model", "m"},
                     {"messages", json::array({message})},
                     {"max_tokens", kMaxTokens},
                     {"stream", stream}};
  const HttpRequest request{
      "POST",
      "/v1/chat/completions",
      "",
      {{"Authorization", "Bearer " + fleet.key(workspace)},
       {"X-Knapweed-Program", program},
       {"Idempotency-Key", call_key}},
      body.dump()};
  return Send(fleet, entry, request, stream, timeout);
}

CallerReply SendBooking(Fleet& fleet, size_t entry,
                        const std::string& reference, Ms timeout, Ms deadline) {
  const json body = {{"reference", reference}};
  HttpRequest request{"POST",
                      "/book",
                      "",
                      {{"Authorization", "Bearer " + fleet.key("w")},
                       {"X-Knapweed-Program", "desk-" + reference},
                       {"Idempotency-Key", reference}},
                      body.dump()};
  if (deadline > Ms{0}) {
    request.headers.push_back(
        {"X-Knapweed-Deadline-Ms", std::to_string(deadline.count)});
  }
  return Send(fleet, entry, request, false, timeout);
}

bool ProgramCaller::SendUntilAnswered(const std::string& text, Ms limit,
                                      size_t entry, bool stream) {
  // Each program sends different text, so that mixed histories are detected.
  const std::string message_text = absl::StrCat(program_, ": ", text);
  const std::string call_key = absl::StrCat(program_, "-", history_.size() / 2);
  const Clock clock = Clock::Steady();
  const Ms deadline = clock.Now() + limit;
  while (clock.Now() < deadline) {
    const Ms timeout = std::min(kAttemptTimeout, deadline - clock.Now());
    last_reply_ = SendTurn(fleet_, entry % fleet_.entry_count(), workspace_,
                           program_, call_key, message_text, stream, timeout);
    if (last_reply_.answered()) {
      history_.push_back({"user", message_text});
      CheckAnswer();
      pending_turns_ += last_reply_.pending ? 1 : 0;
      return true;
    }
    ++entry;
    SleepFor(kRetryDelay);
  }
  return false;
}

void ProgramCaller::CheckAnswer() {
  const std::string expected = EngineAnswer("m", history_, kMaxTokens);
  CAPTURE(program_);
  CAPTURE(history_.size());
  CAPTURE(pending_turns_);
  CHECK(last_reply_.text == expected);
  history_.push_back({"assistant", last_reply_.text});
}

Booking BookUntilSettled(Fleet& fleet, const std::string& reference, Ms limit,
                         size_t entry) {
  const Clock clock = Clock::Steady();
  const Ms deadline = clock.Now() + limit;
  Booking booking{reference, BookingOutcome::kNotRun, {}};
  std::string unknown_code;
  while (clock.Now() < deadline) {
    const Ms timeout = std::min(kAttemptTimeout, deadline - clock.Now());
    booking.last_reply =
        SendBooking(fleet, entry++ % fleet.entry_count(), reference, timeout);
    if (booking.last_reply.answered()) {
      booking.outcome = BookingOutcome::kAnswered;
      return booking;
    }
    const bool unknown = booking.last_reply.run == "unknown";
    if (unknown && booking.last_reply.code == unknown_code) {
      booking.outcome = BookingOutcome::kUnknown;
      return booking;
    }
    unknown_code = unknown ? booking.last_reply.code : "";
    if (booking.last_reply.run != "not_run") {
      booking.outcome = BookingOutcome::kNoReply;
    }
    SleepFor(kRetryDelay);
  }
  return booking;
}

}  // namespace knapweed

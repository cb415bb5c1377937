#ifndef KNAPWEED_ENTRY_CALLER_API_H_
#define KNAPWEED_ENTRY_CALLER_API_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "knapweed/base/ids.h"
#include "knapweed/base/outcome.h"
#include "knapweed/entry/entry_config.h"
#include "knapweed/http/http.h"
#include "knapweed/rules/rules.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

inline constexpr std::string_view kProgramHeader = "X-Knapweed-Program";
inline constexpr std::string_view kParentHeader = "X-Knapweed-Parent";
inline constexpr std::string_view kDeadlineHeader = "X-Knapweed-Deadline-Ms";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr size_t kMaxNameBytes = 200;

/// The workspace that a request may run for.
struct CallerIdentity {
  WorkspaceId workspace;
  /// Empty on a route that is open to all.
  std::string key_id;
};

/// Finds out for whom a request runs. Errors: unauthorized; store_unavailable
/// when no key can be trusted because the configuration is unconfirmed.
std::variant<CallerIdentity, CallError> Authorize(const Rules& rules,
                                                  const RouteRule& route,
                                                  const HttpRequest& request,
                                                  bool confirmed);

/// Checks a request whole and turns it into the message that travels to the
/// program's owner. Errors: bad_request with what was expected, unknown_model.
///
/// Example: a body of
/// `{"model":"m","messages":[{"role":"user","content":"hi"}]}` continues the
/// program that the X-Knapweed-Program header names; only new messages are
/// sent, the owner keeps the earlier ones.
std::variant<wire::CallT, CallError> ParseCall(const Rules& rules,
                                               const RouteRule& route,
                                               const CallerIdentity& caller,
                                               const HttpRequest& request,
                                               const EntryConfig& config);

/// The body of an error: {"error":{"code","message","run","retry_after_ms"}}.
std::string ErrorBody(const CallError& error, std::string_view request_id);
/// An error as a whole reply, with Retry-After where asking again helps.
HttpReply ErrorReply(const CallError& error, std::string_view request_id);

/// The reply to a model call in the shape of a chat completion.
HttpReply CompletionReply(const wire::CallT& call, const wire::ResultT& result);
/// One event of a streamed completion.
std::string StreamEvent(const wire::CallT& call, std::string_view delta);
/// The last events of a streamed completion.
std::string StreamEnd(const wire::CallT& call, const wire::ResultT& result);
/// The reply to a plain service call.
HttpReply ServiceReply(const wire::CallT& call, const wire::ResultT& result);

CallError ToCallError(const wire::FailureT& failure);
wire::FailureT ToFailure(const CallError& error);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CALLER_API_H_

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

/// Request headers that this API reads.
inline constexpr std::string_view kProgramHeader = "X-Knapweed-Program";
inline constexpr std::string_view kParentHeader = "X-Knapweed-Parent";
inline constexpr std::string_view kDeadlineHeader = "X-Knapweed-Deadline-Ms";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
/// Longest program name, parent name or idempotency key.
inline constexpr size_t kMaxNameBytes = 200;

/// The workspace that a request is authorized for.
struct CallerIdentity {
  WorkspaceId workspace;
  /// Empty on a route that needs no key.
  std::string key_id;
};

/// Authenticates a request by its bearer key. Errors: unauthorized;
/// store_unavailable when `confirmed` is false, since an unconfirmed
/// configuration may still hold keys that were withdrawn.
std::variant<CallerIdentity, CallError> Authorize(const Rules& rules,
                                                  const RouteRule& route,
                                                  const HttpRequest& request,
                                                  bool confirmed);

/// Validates a request completely and converts it to the message that is sent
/// to the program's owner. Errors: bad_request with what was expected,
/// unknown_model.
///
/// Example: a body of
/// `{"model":"m","messages":[{"role":"user","content":"hi"}]}` continues the
/// program that the X-Knapweed-Program header names. The body holds only the
/// new messages; the owner stores the earlier ones.
std::variant<wire::CallT, CallError> ParseCall(const Rules& rules,
                                               const RouteRule& route,
                                               const CallerIdentity& caller,
                                               const HttpRequest& request,
                                               const EntryConfig& config);

/// Returns the JSON body of an error:
/// {"error":{"code","message","run","retry_after_ms","request_id"}}, the last
/// two only when set.
std::string ErrorBody(const CallError& error, std::string_view request_id);
/// Returns the HTTP reply of an error, with Retry-After when the error has one.
HttpReply ErrorReply(const CallError& error, std::string_view request_id);

/// Returns the reply to a model call in the chat completion format.
HttpReply CompletionReply(const wire::CallT& call, const wire::ResultT& result);
/// Returns one server-sent event of a streamed completion.
std::string StreamEvent(const wire::CallT& call, std::string_view delta);
/// Returns the final events of a streamed completion, up to "[DONE]".
std::string StreamEnd(const wire::CallT& call, const wire::ResultT& result);
/// Returns the reply to a call of a service route, with the upstream's status.
HttpReply ServiceReply(const wire::CallT& call, const wire::ResultT& result);

/// Converts a failure from the wire; unknown codes become internal, unknown run
/// states become unknown.
CallError ToCallError(const wire::FailureT& failure);
wire::FailureT ToFailure(const CallError& error);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CALLER_API_H_

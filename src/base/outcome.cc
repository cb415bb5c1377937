#include "knapweed/base/outcome.h"

#include <array>

namespace knapweed {
namespace {

struct CodeRow {
  ErrorCode code;
  std::string_view name;
  int http_status;
};

constexpr std::array<CodeRow, kErrorCodeCount> kCodeRows{{
    {ErrorCode::kBadRequest, "bad_request", 400},
    {ErrorCode::kTooLarge, "too_large", 413},
    {ErrorCode::kUnauthorized, "unauthorized", 401},
    {ErrorCode::kForbidden, "forbidden", 403},
    {ErrorCode::kNotFound, "not_found", 404},
    {ErrorCode::kUnknownModel, "unknown_model", 404},
    {ErrorCode::kConflict, "conflict", 409},
    {ErrorCode::kKeyReused, "idempotency_key_reused", 422},
    {ErrorCode::kOverRate, "over_rate", 429},
    {ErrorCode::kBudgetExhausted, "budget_exhausted", 402},
    {ErrorCode::kQuarantined, "quarantined", 422},
    {ErrorCode::kDeadlineExceeded, "deadline_exceeded", 504},
    {ErrorCode::kOverloaded, "overloaded", 503},
    {ErrorCode::kNoUpstream, "no_upstream", 503},
    {ErrorCode::kUpstreamFailed, "upstream_failed", 502},
    {ErrorCode::kStoreUnavailable, "store_unavailable", 503},
    {ErrorCode::kNotOwner, "not_owner", 503},
    {ErrorCode::kFenced, "fenced", 503},
    {ErrorCode::kLeaving, "leaving", 503},
    {ErrorCode::kOutcomeUnknown, "outcome_unknown", 502},
    {ErrorCode::kCancelled, "cancelled", 499},
    {ErrorCode::kInternal, "internal", 500},
}};

constexpr const CodeRow& RowOf(ErrorCode code) {
  return kCodeRows.at(static_cast<size_t>(code));
}

}  // namespace

std::string_view ErrorCodeName(ErrorCode code) { return RowOf(code).name; }

int HttpStatusOf(ErrorCode code) { return RowOf(code).http_status; }

std::string_view RunStateName(RunState run) {
  switch (run) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace knapweed

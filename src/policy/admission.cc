#include "knapweed/policy/admission.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

Ms Scaled(Ms span, double factor) {
  return Ms{std::llround(static_cast<double>(span.count) * factor)};
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionCall& call,
                                  const AdmissionOptions& options) {
  const Ms need = call.expected_wait + call.expected_service;
  if (call.queued_calls >= options.max_queued_calls) {
    return {false, ErrorCode::kOverloaded,
            std::max(call.expected_wait, options.least_retry_after)};
  }
  if (call.deadline <= Ms{0}) return {};
  const Ms allowance = call.deadline - call.now;
  if (allowance <= Ms{0}) return {false, ErrorCode::kDeadlineExceeded, Ms{0}};
  const Ms bearable = Scaled(allowance, options.certainty);
  if (need <= bearable) return {};
  if (call.expected_service > bearable) {
    return {false, ErrorCode::kDeadlineExceeded, Ms{0}};
  }
  // The backlog shrinks by a ms in each ms: then the same request would fit.
  return {false, ErrorCode::kOverloaded,
          std::max(need - bearable, options.least_retry_after)};
}

bool ShouldGiveUp(Ms now, Ms deadline, Ms least_service) {
  return deadline > Ms{0} && now + least_service >= deadline;
}

}  // namespace knapweed

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
  const Ms expected_time = call.expected_wait + call.expected_service;
  if (call.queued_calls >= options.max_queued_calls) {
    return {false, ErrorCode::kOverloaded,
            std::max(call.expected_wait, options.min_retry_after)};
  }
  if (call.deadline <= Ms{0}) return {};
  const Ms time_left = call.deadline - call.now;
  if (time_left <= Ms{0}) return {false, ErrorCode::kDeadlineExceeded, Ms{0}};
  const Ms max_time = Scaled(time_left, options.estimate_error_factor);
  if (expected_time <= max_time) return {};
  if (call.expected_service > max_time) {
    return {false, ErrorCode::kDeadlineExceeded, Ms{0}};
  }
  // The backlog shrinks by 1 ms per ms, so the same request fits after the
  // excess has been worked off.
  return {false, ErrorCode::kOverloaded,
          std::max(expected_time - max_time, options.min_retry_after)};
}

bool WillMissDeadline(Ms now, Ms deadline, Ms min_service) {
  return deadline > Ms{0} && now + min_service >= deadline;
}

}  // namespace knapweed

#ifndef KNAPWEED_POLICY_ADMISSION_H_
#define KNAPWEED_POLICY_ADMISSION_H_

#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// Constants of admission.
struct AdmissionOptions {
  /// Estimates are off by this factor at times, so a call is refused only when
  /// its deadline would be missed by that much.
  double estimate_error_factor = 2;
  Ms min_retry_after{100};
  /// Bounds the memory of a queue.
  uint64_t max_queued_calls = 10000;
};

/// What is known when a call comes to a queue. `deadline` is zero when there is
/// none.
struct AdmissionCall {
  Ms now;
  Ms deadline;
  Ms expected_wait;
  Ms expected_service;
  uint64_t queued_calls = 0;
};

/// `code` is kOverloaded when a later request can do better (`retry_after` says
/// when) and kDeadlineExceeded when none with this allowance can.
struct AdmissionDecision {
  bool admit = true;
  ErrorCode code = ErrorCode::kOverloaded;
  Ms retry_after;
};

/// Queues a call unless its deadline can't be met or the queue is full.
AdmissionDecision DecideAdmission(const AdmissionCall& call,
                                  const AdmissionOptions& options = {});

/// Whether a queued call should get its final answer now, because running it
/// could no longer end before the deadline.
bool WillMissDeadline(Ms now, Ms deadline, Ms min_service);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_ADMISSION_H_

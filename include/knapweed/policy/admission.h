#ifndef KNAPWEED_POLICY_ADMISSION_H_
#define KNAPWEED_POLICY_ADMISSION_H_

#include <cstdint>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"

namespace knapweed {

/// Parameters of admission control.
struct AdmissionOptions {
  /// A call is rejected only if its expected time exceeds the time left by this
  /// factor, because estimates can be off by as much.
  double estimate_error_factor = 2;
  Ms min_retry_after{100};
  /// Further calls are rejected, which bounds the memory of a queue.
  uint64_t max_queued_calls = 10000;
};

/// A call that arrives at a queue, and the estimates for it. `deadline` is zero
/// when there is none.
struct AdmissionCall {
  Ms now;
  Ms deadline;
  Ms expected_wait;
  Ms expected_service;
  uint64_t queued_calls = 0;
};

/// The outcome of an admission check. For a rejected call, `code` is
/// kOverloaded when a later request can succeed (`retry_after` says when) and
/// kDeadlineExceeded when no request with the same time allowance can.
struct AdmissionDecision {
  bool admit = true;
  ErrorCode code = ErrorCode::kOverloaded;
  Ms retry_after;
};

/// Admits a call unless the queue is full or the call is expected to miss its
/// deadline.
AdmissionDecision DecideAdmission(const AdmissionCall& call,
                                  const AdmissionOptions& options = {});

/// Returns whether a call that needs at least `min_service` can no longer
/// finish before its deadline, so that a queued call can be failed at once. A
/// deadline of zero means none.
bool WillMissDeadline(Ms now, Ms deadline, Ms min_service);

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_ADMISSION_H_

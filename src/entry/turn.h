#ifndef KNAPWEED_SRC_ENTRY_TURN_H_
#define KNAPWEED_SRC_ENTRY_TURN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/base/outcome.h"
#include "knapweed/entry/prompt.h"
#include "knapweed/entry/stream_cursor.h"
#include "knapweed/entry/turn_runner.h"
#include "knapweed/rules/rules.h"

namespace knapweed {

/// Suggested to callers when no upstream accepts work.
inline constexpr Ms kNoUpstreamRetryAfter = Seconds(2);
/// Suggested to callers when a program's owner is changing.
inline constexpr Ms kOwnerRetryAfter = Ms{500};
/// Timeout of attempt queries and pin releases sent to a sidecar.
inline constexpr Ms kQueryTimeout = Seconds(2);

/// Returns a failed result with the HTTP status of its error code.
wire::ResultT FailureResult(const CallError& error);
/// Returns the failure of a non-idempotent call whose intent could not be
/// recorded in the store.
wire::ResultT IntentNotRecordedResult();
/// Returns the failure of a call whose program this process does not own.
wire::ResultT NotOwnerResult();

/// Returns the hash that identifies a program to policies and sidecars.
uint64_t ProgramHash(const ProgramKey& key);
/// Returns the ProgramHash of a call's parent; zero when it has none.
uint64_t ParentHashOf(const wire::CallT& call);
/// Returns a hash of the call's route and body. Earlier calls of the program
/// don't enter it.
uint64_t DigestOf(const wire::CallT& call);
/// Returns a number in [0, 1) for jitter, derived from the request id.
double JitterFraction(const wire::CallT& call);

/// State of an attempt whose owner died before recording the outcome: it never
/// ran, its outcome is final, or the outcome is still unknown.
enum class TurnRunner::Resolution : uint8_t {
  kNeverRan,
  kResolved,
  kUnresolved
};

/// State of one call while it runs. `call` and `sink` must outlive it.
struct TurnRunner::Turn {
  Turn(const wire::CallT& c, const ChunkSink& s)
      : call(c), sink(s), cursor(s) {}

  const wire::CallT& call;
  const ChunkSink& sink;
  StreamCursor cursor;
  ProgramKey key;
  uint64_t program_hash = 0;
  PartitionId partition;
  Ms deadline;
  RouteRule route;
  double weight = 1;
  ModelRequest request;
  /// Body that is sent to the upstream.
  std::string body;
  uint64_t prompt_tokens = 0;
  bool intent_recorded = false;
  /// Upstreams that failed this call.
  std::vector<UpstreamPtr> tried;
};
}  // namespace knapweed

#endif  // KNAPWEED_SRC_ENTRY_TURN_H_

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

/// How long a caller should wait while no upstream takes its work.
inline constexpr Ms kNoUpstreamRetryAfter = Seconds(2);
/// How long a caller should wait while a program's owner changes.
inline constexpr Ms kOwnerRetryAfter = Ms{500};
/// Bounds a short question to a sidecar.
inline constexpr Ms kQueryTimeout = Seconds(2);

/// A result that says why the call failed.
wire::ResultT FailureResult(const CallError& error);
/// The store can't take the record that a non-idempotent call needs.
wire::ResultT IntentNotRecordedResult();
/// Another process owns the program, or will soon.
wire::ResultT NotOwnerResult();

/// Names a program to policies and sidecars.
uint64_t ProgramHash(const ProgramKey& key);
/// The same for the parent that a call names; zero when it names none.
uint64_t ParentHashOf(const wire::CallT& call);
/// What the caller asked for, whatever came before it in the program.
uint64_t DigestOf(const wire::CallT& call);
/// A number in [0, 1) for jitter.
double JitterFraction(const wire::CallT& call);

/// What became of an attempt whose owner died before its outcome.
enum class TurnRunner::Resolution : uint8_t {
  kNeverRan,
  kResolved,
  kUnresolved
};

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
  std::string body;
  uint64_t prompt_tokens = 0;
  bool intent_recorded = false;
  std::vector<UpstreamPtr> tried;
};
}  // namespace knapweed

#endif  // KNAPWEED_SRC_ENTRY_TURN_H_

#ifndef KNAPWEED_GATEWAY_CALL_H_
#define KNAPWEED_GATEWAY_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

/// Contents of the headers of requests and responses, decoded once by the
/// platform's `Dialect`.
namespace knapweed::gateway {

/// A section of a prompt that several calls may have in common, so that an
/// engine's cache may hold it. `id` identifies its content.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// Decoded header fields of a caller's request. A string is empty if its field
/// is missing.
struct CallHead {
  /// Identifies this request; a retry by the caller has another id.
  std::string request_id;
  std::string host;
  std::string key;
  std::string program;
  /// Identifies a sequence of turns within the program.
  std::string line;
  /// Id of the turn that this one continues.
  std::string previous_turn;
  /// Key for affinity: calls with the same key prefer the same upstream.
  std::string affinity;
  std::string model;
  /// Time from now for which the caller waits for the response.
  std::optional<Ms> deadline;
  /// Time from now until the whole program should be complete.
  std::optional<Ms> finish;
  /// Maximum number of tokens that all turns of the program may generate.
  std::optional<uint64_t> token_budget;
  uint32_t prompt_tokens = 0;
  /// Maximum number of tokens that this turn may generate.
  uint32_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;
  /// Id of the last event that the caller has received, if it resumes a stream.
  std::optional<uint64_t> resume_after;
  /// The position is stated, but is no number of an event.
  bool has_malformed_position = false;
  /// Id of the request that brought the first event of the stream that it
  /// resumes.
  std::string begun_by;
};

/// Values that the gateway adds to the header of a request to an upstream.
struct DispatchHead {
  /// Time from now until the call's deadline.
  Ms time_left;
  /// Id of the upstream incarnation that may run the request; any other refuses
  /// it.
  std::string upstream_id;
  /// Empty on public routes.
  std::string workspace;
  /// 0 is the most urgent, 9 the least; unset if the upstream does not order
  /// requests by priority.
  std::optional<int> priority;
  /// Id of the event after which the upstream should resume the stream.
  std::optional<uint64_t> resume_after;
  /// The upstream should run the request from the start, although its caller
  /// resumes a stream.
  bool begins_anew = false;
};

/// Decoded header fields of an upstream's response.
struct ResponseHead {
  /// Id of the request that this responds to; empty if not stated.
  std::string request_id;
  /// Whether the upstream states that it did not run the request.
  bool not_run = false;
  /// Whether the upstream states that it is draining.
  bool draining = false;
  /// How many requests per second the upstream takes from all gateways
  /// together, if it states a limit.
  std::optional<double> limit_per_s;
  /// Whether the response is marked as made by the upstream's service, not by
  /// an intermediary.
  bool is_signed = false;
  bool is_event_stream = false;
  /// Time for which the upstream keeps an idle connection open, if stated.
  std::optional<Ms> keep_alive;
  /// Whether the body has a content encoding, so that its bytes differ from
  /// those that the upstream's service produced.
  bool is_encoded = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CALL_H_

#ifndef KNAPWEED_GATEWAY_CALL_H_
#define KNAPWEED_GATEWAY_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

/// What a caller asks and what an upstream answers, decoded from headers once.
namespace knapweed::gateway {

/// A part of a prompt that other calls may share.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

/// What the head of a caller's request says. Empty texts were not sent.
struct CallHead {
  /// Name of this attempt by the caller; a caller's retry has another.
  std::string request_id;
  std::string host;
  std::string key;
  std::string program;
  /// One line of turns within the program.
  std::string line;
  /// The turn that this one continues from.
  std::string previous_turn;
  /// Names the object that a call concerns.
  std::string affinity;
  std::string model;
  /// Time that the caller waits for the answer.
  std::optional<Ms> deadline;
  /// Time that is left until the whole program should be done.
  std::optional<Ms> finish;
  /// Tokens that all turns of the program may generate.
  std::optional<uint64_t> token_budget;
  uint32_t prompt_tokens = 0;
  /// Most tokens that this turn may generate.
  uint32_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;
  /// Number of the last event that the caller has, when it resumes a stream.
  std::optional<uint64_t> resume_after;
};

/// What the gateway says of itself and the caller in a request to an upstream.
struct DispatchHead {
  Ms time_left;
  /// The only incarnation that may run the request.
  std::string upstream_id;
  /// Empty on public routes.
  std::string workspace;
  /// 0 is the most urgent, 9 the least; unset where the upstream has no order.
  std::optional<int> priority;
  /// Goes on after this event of an earlier run.
  std::optional<uint64_t> resume_after;
};

/// What the head of an upstream's answer says.
struct ResponseHead {
  /// The request that it answers.
  std::string request_id;
  /// The upstream states that it did not run the request.
  bool not_run = false;
  /// Bears the upstream's signature.
  bool is_signed = false;
  bool is_event_stream = false;
  /// Time that the upstream keeps an idle connection, where it says so.
  std::optional<Ms> keep_alive;
  /// Bytes of the body are not as the upstream's service made them.
  bool is_encoded = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CALL_H_

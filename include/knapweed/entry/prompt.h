#ifndef KNAPWEED_ENTRY_PROMPT_H_
#define KNAPWEED_ENTRY_PROMPT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/program/program_table.h"

namespace knapweed {

/// Bytes of JSON text per token, for estimates before an engine has counted the
/// tokens.
inline constexpr uint64_t kEstimatedBytesPerToken = 4;
inline constexpr uint64_t kDefaultMaxTokens = 256;

/// The fields of a model request that the program's owner uses.
struct ModelRequest {
  std::string model;
  std::vector<HistoryMessage> messages;
  uint64_t max_tokens = kDefaultMaxTokens;
};

/// Parses a body that ParseCall has validated. Returns an empty request when it
/// is not a JSON object.
ModelRequest ReadModelRequest(std::string_view body);

/// Returns the request body for the engine: the program's history followed by
/// the new messages.
std::string BuildEngineBody(const ModelRequest& request,
                            std::span<const HistoryMessage> history);

/// Returns an assistant message as it is added to the history.
HistoryMessage AssistantMessage(std::string_view content);

/// Returns an estimate of the prompt's token count.
uint64_t EstimateTokens(std::span<const HistoryMessage> history,
                        std::span<const HistoryMessage> added);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_PROMPT_H_

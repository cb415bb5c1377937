#ifndef KNAPWEED_ENTRY_PROMPT_H_
#define KNAPWEED_ENTRY_PROMPT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/program/program_table.h"

namespace knapweed {

/// Bytes of JSON text that count as one token where no engine has counted yet.
inline constexpr uint64_t kEstimatedBytesPerToken = 4;
inline constexpr uint64_t kDefaultMaxTokens = 256;

/// The parts of a caller's body that the owner works with.
struct ModelRequest {
  std::string model;
  std::vector<HistoryMessage> messages;
  uint64_t max_tokens = kDefaultMaxTokens;
};

/// Reads a body that was checked when it arrived. Empty when it is no JSON.
ModelRequest ReadModelRequest(std::string_view body);

/// The engine's request: a program's history followed by its new messages.
std::string BuildEngineBody(const ModelRequest& request,
                            std::span<const HistoryMessage> history);

/// The assistant's message as it joins the history.
HistoryMessage AssistantMessage(std::string_view content);

/// An estimate of the prompt's tokens.
uint64_t EstimateTokens(std::span<const HistoryMessage> history,
                        std::span<const HistoryMessage> added);

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_PROMPT_H_

#include "standins/engine_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "knapweed/base/ids.h"

namespace knapweed {

using nlohmann::json;

uint64_t TokensOf(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::string PromptText(std::span<const ChatMessage> messages) {
  std::string text;
  for (const ChatMessage& it : messages) {
    const json message = {{"role", it.role}, {"content", it.content}};
    text += message.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  return text;
}

std::string MessagesDigest(std::span<const ChatMessage> messages) {
  return absl::StrFormat("%016x", HashBytes(PromptText(messages)));
}

std::string EngineAnswer(std::string_view model,
                         std::span<const ChatMessage> messages,
                         uint64_t max_tokens) {
  const std::string digest = MessagesDigest(messages);
  std::string text = absl::StrCat("seen ", digest, " ");
  const size_t shortest = text.size();
  uint64_t word = HashBytes(model, HashBytes(digest));
  const size_t wanted = max_tokens * kBytesPerToken;
  while (text.size() < wanted) {
    absl::StrAppendFormat(&text, "%03x ", word % 4096);
    word = HashBytes(digest, word);
  }
  text.resize(std::max(shortest, wanted));
  return text;
}

}  // namespace knapweed

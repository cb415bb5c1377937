#include "standins/engine_answer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "knapweed/base/ids.h"

namespace knapweed {

namespace {

std::string MessageText(const ChatMessage& message) {
  const nlohmann::json object = {{"role", message.role},
                                 {"content", message.content}};
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

uint64_t CountTokens(std::string_view text) {
  return (text.size() + kBytesPerToken - 1) / kBytesPerToken;
}

std::string PromptText(std::span<const ChatMessage> messages) {
  std::string text;
  for (const ChatMessage& it : messages) text += MessageText(it);
  return text;
}

std::vector<std::string> HistoryDigests(std::span<const ChatMessage> messages) {
  std::vector<std::string> digests;
  uint64_t hash = 0;
  for (const ChatMessage& it : messages) {
    hash = HashBytes(MessageText(it), hash);
    digests.push_back(absl::StrFormat("%016x", hash));
  }
  return digests;
}

std::string MessagesDigest(std::span<const ChatMessage> messages) {
  const std::vector<std::string> digests = HistoryDigests(messages);
  return digests.empty() ? std::string(16, '0') : digests.back();
}

std::string EngineAnswer(std::string_view model,
                         std::span<const ChatMessage> messages,
                         uint64_t max_tokens) {
  const std::string digest = MessagesDigest(messages);
  std::string text = absl::StrCat("seen ", digest, " ");
  const size_t min_bytes = text.size();
  uint64_t word = HashBytes(model, HashBytes(digest));
  const size_t target_bytes = max_tokens * kBytesPerToken;
  while (text.size() < target_bytes) {
    absl::StrAppendFormat(&text, "%03x ", word % 4096);
    word = HashBytes(digest, word);
  }
  text.resize(std::max(min_bytes, target_bytes));
  return text;
}

}  // namespace knapweed

#ifndef KNAPWEED_STANDINS_ENGINE_ANSWER_H_
#define KNAPWEED_STANDINS_ENGINE_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed {

struct ChatMessage {
  std::string role;
  std::string content;
};

/// A token of the engine stand-in is this many bytes of text.
inline constexpr size_t kBytesPerToken = 4;

/// Tokens of a text, rounded up.
uint64_t CountTokens(std::string_view text);

/// The text that the engine reads: one JSON object per message, in order. A
/// longer conversation starts with the text of a shorter one.
std::string PromptText(std::span<const ChatMessage> messages);

/// One digest for each message, of sixteen hexadecimal digits, over all roles
/// and contents up to it.
std::vector<std::string> HistoryDigests(std::span<const ChatMessage> messages);

/// The digest over all messages; zeros when there are none.
std::string MessagesDigest(std::span<const ChatMessage> messages);

/// The one answer that an engine gives to these messages: it contains their
/// digest and is as long as `max_tokens` says, but never shorter than the
/// digest.
std::string EngineAnswer(std::string_view model,
                         std::span<const ChatMessage> messages,
                         uint64_t max_tokens);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_ANSWER_H_

#ifndef KNAPWEED_STANDINS_ENGINE_ANSWER_H_
#define KNAPWEED_STANDINS_ENGINE_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace knapweed {

/// One message of a chat completion request.
struct ChatMessage {
  std::string role;
  std::string content;
};

/// The engine stand-in counts this many bytes of text as one token.
inline constexpr size_t kBytesPerToken = 4;

/// Returns the number of tokens in a text, rounded up.
uint64_t CountTokens(std::string_view text);

/// Returns the engine's prompt: one JSON object per message, in order. The
/// prompt of a conversation is a prefix of the prompt of its continuation.
std::string PromptText(std::span<const ChatMessage> messages);

/// Returns one digest of sixteen hexadecimal digits per message. Each covers
/// the roles and contents of all messages up to and including that one.
std::vector<std::string> HistoryDigests(std::span<const ChatMessage> messages);

/// Returns the digest over all messages; sixteen zeros when there are none.
std::string MessagesDigest(std::span<const ChatMessage> messages);

/// Returns the answer of an engine, which depends on the arguments alone. It
/// starts with "seen " and the digest of the messages, and is padded to
/// `max_tokens` tokens; a smaller `max_tokens` does not truncate the digest.
std::string EngineAnswer(std::string_view model,
                         std::span<const ChatMessage> messages,
                         uint64_t max_tokens);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_ANSWER_H_

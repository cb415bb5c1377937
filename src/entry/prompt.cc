#include "knapweed/entry/prompt.h"

#include <nlohmann/json.hpp>

namespace knapweed {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

uint64_t BytesOf(std::span<const HistoryMessage> messages) {
  uint64_t n = 0;
  for (const HistoryMessage& message : messages) n += message.size();
  return n;
}

void AppendMessages(std::span<const HistoryMessage> messages,
                    std::string* body) {
  for (const HistoryMessage& message : messages) {
    if (body->back() != '[') body->push_back(',');
    body->append(message);
  }
}

}  // namespace

ModelRequest ReadModelRequest(std::string_view body) {
  ModelRequest request;
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return request;
  request.model = json.value("model", "");
  request.max_tokens = json.value("max_tokens", kDefaultMaxTokens);
  for (const Json& message : json.value("messages", Json::array())) {
    request.messages.push_back(Dump(message));
  }
  return request;
}

std::string BuildEngineBody(const ModelRequest& request,
                            std::span<const HistoryMessage> history) {
  std::string body;
  body.reserve(BytesOf(history) + BytesOf(request.messages) + 256);
  body.append("{\"model\":").append(Dump(request.model));
  body.append(",\"max_tokens\":").append(std::to_string(request.max_tokens));
  body.append(",\"messages\":[");
  AppendMessages(history, &body);
  AppendMessages(request.messages, &body);
  body.append("]}");
  return body;
}

HistoryMessage AssistantMessage(std::string_view content) {
  return Dump({{"role", "assistant"}, {"content", content}});
}

uint64_t EstimateTokens(std::span<const HistoryMessage> history,
                        std::span<const HistoryMessage> added) {
  return (BytesOf(history) + BytesOf(added)) / kEstimatedBytesPerToken + 1;
}

}  // namespace knapweed

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "standins/engine_state.h"

namespace knapweed {

using nlohmann::json;

namespace {

// A message that contains this text crashes the engine.
constexpr char kCrashMarker[] = "CRASH-ENGINE";
constexpr Ms kPollInterval{2};

absl::StatusOr<ChatRequest> ParseChat(std::string_view text,
                                      uint64_t default_max_tokens) {
  const json parsed = json::parse(text, nullptr, false);
  ChatRequest chat;
  try {
    chat.model = parsed.at("model").get<std::string>();
    for (const json& it : parsed.at("messages")) {
      const json& content = it.at("content");
      chat.messages.push_back({it.at("role").get<std::string>(),
                               content.is_string() ? content.get<std::string>()
                                                   : DumpJson(content)});
    }
    chat.stream = parsed.value("stream", false);
    chat.max_tokens = parsed.value("max_tokens", default_max_tokens);
    chat.priority = parsed.value("priority", 0);
    chat.request_id = parsed.value("request_id", "");
    chat.fencing = parsed.value("fencing", json());
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return chat;
}

bool HasCrashMarker(const ChatRequest& chat) {
  return std::any_of(
      chat.messages.begin(), chat.messages.end(), [](const ChatMessage& it) {
        return it.content.find(kCrashMarker) != std::string::npos;
      });
}

json UsageToJson(const Generation& generation) {
  const size_t bytes = generation.produced.load();
  return {
      {"prompt_tokens", generation.prompt_tokens},
      {"completion_tokens", CountTokens(generation.answer.substr(0, bytes))},
      {"cached_tokens", generation.cached_tokens}};
}

const char* FinishReason(const Generation& generation) {
  return generation.cancelled.load() ? "cancelled" : "stop";
}

void WriteEvent(HttpResponder& responder, const json& event) {
  responder.Write(absl::StrCat("data: ", DumpJson(event), "\n\n"));
}

void WriteChunk(HttpResponder& responder, const Generation& generation,
                std::string_view chunk) {
  WriteEvent(
      responder,
      {{"id", generation.request_id},
       {"object", "chat.completion.chunk"},
       {"model", generation.model},
       {"choices",
        json::array({{{"index", 0}, {"delta", {{"content", chunk}}}}})}});
}

void WriteEnd(HttpResponder& responder, const Generation& generation) {
  WriteEvent(responder,
             {{"id", generation.request_id},
              {"object", "chat.completion.chunk"},
              {"model", generation.model},
              {"choices",
               json::array({{{"index", 0},
                             {"delta", json::object()},
                             {"finish_reason", FinishReason(generation)}}})},
              {"usage", UsageToJson(generation)}});
  responder.Write("data: [DONE]\n\n");
  responder.End();
}

const std::vector<HttpHeader>& EventStreamHeaders() {
  static const auto* const kHeaders = new std::vector<HttpHeader>{
      {"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
  return *kHeaders;
}

void SendStreamedAnswer(Engine& engine, Generation& generation, int priority,
                        HttpResponder& responder) {
  responder.Begin(200, EventStreamHeaders());
  RunGeneration(engine, generation, priority, [&](std::string_view chunk) {
    WriteChunk(responder, generation, chunk);
  });
  if (generation.incarnation != engine.incarnation.load()) {
    return responder.Drop();
  }
  WriteEnd(responder, generation);
}

void SendCompleteAnswer(Engine& engine, Generation& generation, int priority,
                        HttpResponder& responder) {
  RunGeneration(engine, generation, priority, [](std::string_view) {});
  if (generation.incarnation != engine.incarnation.load()) {
    return responder.Drop();
  }
  const std::string content =
      generation.answer.substr(0, generation.produced.load());
  const json choice = {
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", content}}},
      {"finish_reason", FinishReason(generation)}};
  SendJson(responder, 200,
           {{"id", generation.request_id},
            {"object", "chat.completion"},
            {"model", generation.model},
            {"choices", json::array({choice})},
            {"usage", UsageToJson(generation)}});
}

}  // namespace

void HandleChat(Engine& engine, const HttpRequest& request,
                HttpResponder& responder) {
  const EngineOptions options = CopyOptions(engine);
  const absl::StatusOr<ChatRequest> chat =
      ParseChat(request.body, options.default_max_tokens);
  if (!chat.ok()) return SendBadRequest(responder, chat.status());
  if (std::find(options.models.begin(), options.models.end(), chat->model) ==
      options.models.end()) {
    return SendError(responder, 404, "unknown model " + chat->model);
  }
  if (!AcceptsFencing(engine, chat->fencing)) {
    return SendError(responder, 409, "old fencing number");
  }
  const GenerationPtr generation = MakeGeneration(engine, request, *chat);
  if (HasCrashMarker(*chat)) {
    engine.record.Update(generation->record_index, {{"state", "crashed"}});
    Crash(engine);
    return responder.Drop();
  }
  if (chat->stream) {
    SendStreamedAnswer(engine, *generation, chat->priority, responder);
  } else {
    SendCompleteAnswer(engine, *generation, chat->priority, responder);
  }
}

void HandleResume(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found =
      FindGeneration(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  size_t sent = body.value("from", size_t{0});
  responder.Begin(200, EventStreamHeaders());
  while (true) {
    const bool ended = found->ended.load();
    const size_t produced = found->produced.load();
    if (produced > sent) {
      const std::string_view answer = found->answer;
      WriteChunk(responder, *found, answer.substr(sent, produced - sent));
      sent = produced;
    }
    if (ended) break;
    SleepFor(kPollInterval);
  }
  WriteEnd(responder, *found);
}

}  // namespace knapweed

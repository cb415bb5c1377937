#include <algorithm>
#include <cstdlib>
#include <utility>

#include "standins/engine_state.h"

namespace knapweed {

using nlohmann::json;

namespace {

constexpr size_t kMaxStoredGenerations = 1024;
constexpr Ms kPollInterval{2};
// Several tokens per decode step reduce the number of thread wake-ups.
constexpr uint64_t kTokensPerStep = 4;

// Makes the generation available to FindGeneration; evicts the oldest one when
// more than kMaxStoredGenerations are stored.
void StoreGeneration(Engine& engine, const GenerationPtr& generation) {
  if (generation->request_id.empty()) return;
  const std::lock_guard lock(engine.mu);
  engine.generations[generation->request_id] = generation;
  engine.generation_order.push_back(generation->request_id);
  if (engine.generation_order.size() > kMaxStoredGenerations) {
    engine.generations.erase(engine.generation_order.front());
    engine.generation_order.pop_front();
  }
}

bool IsStopped(const Engine& engine, const Generation& generation) {
  return generation.cancelled.load() ||
         generation.incarnation != engine.incarnation.load();
}

// Sleeps in steps of at most 20 ms, to notice a stop early. Returns false when
// the request was cancelled or the engine crashed meanwhile.
bool SimulateWork(const Engine& engine, const Generation& generation,
                  double seconds) {
  const Ms end =
      engine.clock.Now() + Ms{static_cast<int64_t>(seconds * 1000.0)};
  while (engine.clock.Now() < end) {
    if (IsStopped(engine, generation)) return false;
    SleepFor(std::min(Ms{20}, end - engine.clock.Now()));
  }
  return !IsStopped(engine, generation);
}

bool WaitForSlot(Engine& engine, const Generation& generation,
                 uint64_t ticket) {
  while (!engine.batch.TryStart(ticket)) {
    if (IsStopped(engine, generation)) return false;
    SleepFor(kPollInterval);
  }
  return true;
}

bool Prefill(Engine& engine, Generation& generation) {
  double rate = 0;
  size_t cached = 0;
  {
    const std::lock_guard lock(engine.mu);
    rate = engine.options.prefill_tokens_per_s;
    cached = engine.cache.Touch(generation.prompt_chain);
  }
  generation.cached_tokens = cached * kTokensPerBlock;
  const uint64_t uncached_tokens =
      generation.prompt_tokens - generation.cached_tokens;
  return SimulateWork(engine, generation,
                      static_cast<double>(uncached_tokens) / rate);
}

bool Decode(Engine& engine, Generation& generation, const AnswerSink& sink) {
  const EngineOptions options = CopyOptions(engine);
  const std::string_view answer = generation.answer;
  size_t done = 0;
  while (done < answer.size()) {
    const size_t n =
        std::min(answer.size() - done, kTokensPerStep * kBytesPerToken);
    const double other_requests = std::max(1U, engine.batch.running()) - 1;
    const double step_seconds = static_cast<double>(n) / kBytesPerToken /
                                options.decode_tokens_per_s *
                                (1 + options.batch_slowdown * other_requests);
    if (!SimulateWork(engine, generation, step_seconds)) return false;
    sink(answer.substr(done, n));
    done += n;
    generation.produced.store(done);
  }
  return true;
}

}  // namespace

EngineOptions CopyOptions(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  return engine.options;
}

bool AcceptsFencing(Engine& engine, const json& fencing) {
  if (!fencing.is_object()) return true;
  const json scope = fencing.value("scope", json());
  const json number = fencing.value("number", json());
  if (!scope.is_string() || !number.is_number_unsigned()) return true;
  const std::lock_guard lock(engine.mu);
  uint64_t& highest = engine.highest_fencing[scope.get<std::string>()];
  if (number.get<uint64_t>() < highest) return !engine.options.check_fencing;
  highest = number.get<uint64_t>();
  return true;
}

void Crash(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  if (engine.options.crash_mode == "exit") std::_Exit(EXIT_FAILURE);
  engine.incarnation.fetch_add(1);
  engine.cache.Clear();
  engine.generations.clear();
  engine.generation_order.clear();
  engine.highest_fencing.clear();
  engine.restart_ends_at = engine.clock.Now() + engine.options.restart;
}

GenerationPtr FindGeneration(Engine& engine, const std::string& request_id) {
  const std::lock_guard lock(engine.mu);
  const auto it = engine.generations.find(request_id);
  return it == engine.generations.end() ? nullptr : it->second;
}

GenerationPtr MakeGeneration(Engine& engine, const HttpRequest& request,
                             const ChatRequest& chat) {
  auto generation = std::make_shared<Generation>();
  generation->request_id = chat.request_id;
  generation->model = chat.model;
  generation->answer = EngineAnswer(chat.model, chat.messages, chat.max_tokens);
  const std::string prompt = PromptText(chat.messages);
  generation->prompt_tokens = CountTokens(prompt);
  generation->prompt_chain = BlockChain(prompt);
  std::vector<ChatMessage> conversation = chat.messages;
  conversation.push_back({"assistant", generation->answer});
  generation->conversation_chain = BlockChain(PromptText(conversation));
  generation->incarnation = engine.incarnation.load();
  std::vector<std::string> digests = HistoryDigests(conversation);
  const std::string conversation_digest = digests.back();
  digests.pop_back();
  generation->record_index =
      engine.record.Add(request, {{"kind", "chat"},
                                  {"model", chat.model},
                                  {"request_id", chat.request_id},
                                  {"messages", chat.messages.size()},
                                  {"digest", MessagesDigest(chat.messages)},
                                  {"prefixes", digests},
                                  {"after", conversation_digest},
                                  {"fencing", chat.fencing},
                                  {"prompt_tokens", generation->prompt_tokens},
                                  {"state", "arrived"}});
  StoreGeneration(engine, generation);
  return generation;
}

bool RunGeneration(Engine& engine, Generation& generation, int priority,
                   const AnswerSink& sink) {
  const uint64_t ticket = engine.batch.Enqueue(priority);
  bool done = WaitForSlot(engine, generation, ticket);
  if (done) {
    engine.record.Update(generation.record_index, {{"state", "running"}});
    done = Prefill(engine, generation) && Decode(engine, generation, sink);
  }
  engine.batch.Leave(ticket);
  if (done) {
    const std::lock_guard lock(engine.mu);
    engine.cache.Insert(generation.conversation_chain, engine.clock.Now());
  }
  const bool crashed = generation.incarnation != engine.incarnation.load();
  engine.record.Update(
      generation.record_index,
      {{"state", done ? "done" : (crashed ? "crashed" : "cancelled")},
       {"cached_tokens", generation.cached_tokens},
       {"ended_ms", WallTime().count}});
  generation.ended.store(true);
  return done;
}

}  // namespace knapweed

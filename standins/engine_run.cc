#include <algorithm>
#include <cstdlib>
#include <utility>

#include "standins/engine_state.h"

namespace knapweed {

using nlohmann::json;

namespace {

constexpr size_t kKeptGenerations = 1024;
constexpr Ms kPollEvery{2};
// A decode step of several tokens keeps the number of wake-ups small.
constexpr uint64_t kTokensPerStep = 4;

void Keep(Engine& engine, const GenerationPtr& generation) {
  if (generation->request_id.empty()) return;
  const std::lock_guard lock(engine.mu);
  engine.generations[generation->request_id] = generation;
  engine.generation_order.push_back(generation->request_id);
  if (engine.generation_order.size() > kKeptGenerations) {
    engine.generations.erase(engine.generation_order.front());
    engine.generation_order.pop_front();
  }
}

bool Stopped(const Engine& engine, const Generation& generation) {
  return generation.cancelled.load() ||
         generation.incarnation != engine.incarnation.load();
}

// Sleeps in short pieces. False when the request was stopped meanwhile.
bool Work(const Engine& engine, const Generation& generation, double seconds) {
  const Ms end =
      engine.clock.Now() + Ms{static_cast<int64_t>(seconds * 1000.0)};
  while (engine.clock.Now() < end) {
    if (Stopped(engine, generation)) return false;
    SleepFor(std::min(Ms{20}, end - engine.clock.Now()));
  }
  return !Stopped(engine, generation);
}

bool WaitForSlot(Engine& engine, const Generation& generation,
                 uint64_t ticket) {
  while (!engine.batch.TryStart(ticket)) {
    if (Stopped(engine, generation)) return false;
    SleepFor(kPollEvery);
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
  const uint64_t missing = generation.prompt_tokens - generation.cached_tokens;
  return Work(engine, generation, static_cast<double>(missing) / rate);
}

bool Decode(Engine& engine, Generation& generation, const PieceSink& sink) {
  const EngineOptions options = OptionsOf(engine);
  const std::string_view answer = generation.answer;
  size_t done = 0;
  while (done < answer.size()) {
    const size_t n =
        std::min(answer.size() - done, kTokensPerStep * kBytesPerToken);
    const double others = std::max(1U, engine.batch.running()) - 1;
    const double step = static_cast<double>(n) / kBytesPerToken /
                        options.decode_tokens_per_s *
                        (1 + options.batch_slowdown * others);
    if (!Work(engine, generation, step)) return false;
    sink(answer.substr(done, n));
    done += n;
    generation.produced.store(done);
  }
  return true;
}

}  // namespace

EngineOptions OptionsOf(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  return engine.options;
}

bool PassesFence(Engine& engine, const json& fencing) {
  if (!fencing.is_object()) return true;
  const json scope = fencing.value("scope", json());
  const json number = fencing.value("number", json());
  if (!scope.is_string() || !number.is_number_unsigned()) return true;
  const std::lock_guard lock(engine.mu);
  uint64_t& highest = engine.fences[scope.get<std::string>()];
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
  engine.fences.clear();
  engine.restarted_at = engine.clock.Now() + engine.options.restart;
}

GenerationPtr FindGeneration(Engine& engine, const std::string& request_id) {
  const std::lock_guard lock(engine.mu);
  const auto it = engine.generations.find(request_id);
  return it == engine.generations.end() ? nullptr : it->second;
}

GenerationPtr MakeGeneration(Engine& engine, const HttpRequest& request,
                             const ChatRequest& chat) {
  auto made = std::make_shared<Generation>();
  made->request_id = chat.request_id;
  made->model = chat.model;
  made->answer = EngineAnswer(chat.model, chat.messages, chat.max_tokens);
  const std::string prompt = PromptText(chat.messages);
  made->prompt_tokens = TokensOf(prompt);
  made->prompt_chain = BlockChain(prompt);
  std::vector<ChatMessage> after = chat.messages;
  after.push_back({"assistant", made->answer});
  made->whole_chain = BlockChain(PromptText(after));
  made->incarnation = engine.incarnation.load();
  std::vector<std::string> digests = HistoryDigests(after);
  const std::string after_digest = digests.back();
  digests.pop_back();
  made->record_line =
      engine.record.Add(request, {{"kind", "chat"},
                                  {"model", chat.model},
                                  {"request_id", chat.request_id},
                                  {"messages", chat.messages.size()},
                                  {"digest", MessagesDigest(chat.messages)},
                                  {"prefixes", digests},
                                  {"after", after_digest},
                                  {"fencing", chat.fencing},
                                  {"prompt_tokens", made->prompt_tokens},
                                  {"state", "arrived"}});
  Keep(engine, made);
  return made;
}

bool RunGeneration(Engine& engine, Generation& generation, int priority,
                   const PieceSink& sink) {
  const uint64_t ticket = engine.batch.Enqueue(priority);
  bool done = WaitForSlot(engine, generation, ticket);
  if (done) {
    engine.record.Update(generation.record_line, {{"state", "running"}});
    done = Prefill(engine, generation) && Decode(engine, generation, sink);
  }
  engine.batch.Leave(ticket);
  if (done) {
    const std::lock_guard lock(engine.mu);
    engine.cache.Insert(generation.whole_chain, engine.clock.Now());
  }
  const bool crashed = generation.incarnation != engine.incarnation.load();
  engine.record.Update(
      generation.record_line,
      {{"state", done ? "done" : (crashed ? "crashed" : "cancelled")},
       {"cached_tokens", generation.cached_tokens},
       {"ended_ms", WallTime().count}});
  generation.ended.store(true);
  return done;
}

}  // namespace knapweed

#include "standins/engine.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "standins/engine_answer.h"
#include "standins/engine_batch.h"
#include "standins/prefix_cache.h"
#include "standins/record.h"

namespace knapweed {

using nlohmann::json;

namespace {

constexpr char kCrashMark[] = "CRASH-ENGINE";
constexpr size_t kKeptGenerations = 1024;
constexpr Ms kPollEvery{2};
// A decode step of several tokens keeps the number of wake-ups small.
constexpr uint64_t kTokensPerStep = 4;

struct EngineOptions {
  std::vector<std::string> models = {"m"};
  uint32_t slots = 8;
  double prefill_tokens_per_s = 20000;
  double decode_tokens_per_s = 400;
  /// Each further running request makes a decode step this much longer.
  double batch_slowdown = 0.05;
  uint64_t default_max_tokens = 16;
  uint64_t cache_blocks = 4096;
  uint64_t bytes_per_token = 1024;
  Ms load_lag = Ms{500};
  Ms events_delay = Ms{200};
  /// Every so many cache events one is lost; zero loses none.
  uint32_t events_drop_every = 0;
  bool check_fencing = false;
  /// "exit" ends the process, "drop" drops all requests and the cache.
  std::string crash_mode = "drop";
  /// How long a dropped engine answers nothing.
  Ms restart = Ms{300};
  Ms load_model = Ms{100};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineOptions, models, slots,
                                   prefill_tokens_per_s, decode_tokens_per_s,
                                   batch_slowdown, default_max_tokens,
                                   cache_blocks, bytes_per_token, load_lag,
                                   events_delay, events_drop_every,
                                   check_fencing, crash_mode, restart,
                                   load_model)

// One request from arrival on, kept for a while after its end.
struct Generation {
  std::string request_id;
  std::string model;
  std::string answer;
  std::vector<uint64_t> prompt_chain;
  std::vector<uint64_t> whole_chain;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t incarnation = 0;
  size_t record_line = 0;
  // Bytes of the answer that exist so far.
  std::atomic<size_t> produced{0};
  std::atomic<bool> cancelled{false};
  std::atomic<bool> ended{false};
};
using GenerationPtr = std::shared_ptr<Generation>;

// A chat request, read and checked.
struct ChatRequest {
  std::string model;
  std::vector<ChatMessage> messages;
  bool stream = false;
  uint64_t max_tokens = 0;
  int priority = 0;
  std::string request_id;
  json fencing;
};

struct Engine {
  Clock clock = Clock::Steady();
  Record record;
  EngineBatch batch;
  std::atomic<uint64_t> incarnation{1};

  std::mutex mu;
  EngineOptions options;
  PrefixCache cache{EngineOptions().cache_blocks};
  std::map<std::string, GenerationPtr> generations;
  std::deque<std::string> generation_order;
  std::map<std::string, uint64_t> fences;
  Ms restarted_at;
  json load = json::object();
  Ms load_at{-1};
  std::string version;
  std::string role = "both";
};

EngineOptions OptionsOf(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  return engine.options;
}

absl::StatusOr<ChatRequest> ParseChat(std::string_view text,
                                      uint64_t default_max_tokens) {
  const json parsed = json::parse(text, nullptr, false);
  ChatRequest chat;
  try {
    chat.model = parsed.at("model").get<std::string>();
    for (const json& it : parsed.at("messages")) {
      const json& content = it.at("content");
      chat.messages.push_back(
          {it.at("role").get<std::string>(),
           content.is_string() ? content.get<std::string>() : ToText(content)});
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

// False for a number below one that was seen in the same scope. An engine that
// does not check accepts all.
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

// Forgets everything that an engine process holds in memory.
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

bool Restarting(Engine& engine) {
  const std::lock_guard lock(engine.mu);
  return engine.clock.Now() < engine.restarted_at;
}

bool IsCrashing(const ChatRequest& chat) {
  return std::any_of(chat.messages.begin(), chat.messages.end(),
                     [](const ChatMessage& it) {
                       return it.content.find(kCrashMark) != std::string::npos;
                     });
}

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

GenerationPtr Find(Engine& engine, const std::string& request_id) {
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

using PieceSink = std::function<void(std::string_view)>;

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

// Runs a request to its end, keeping on when its reader is gone. False when it
// was cancelled, or the engine crashed under it.
bool Run(Engine& engine, Generation& generation, int priority,
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

json UsageOf(const Generation& generation) {
  const size_t bytes = generation.produced.load();
  return {{"prompt_tokens", generation.prompt_tokens},
          {"completion_tokens", TokensOf(generation.answer.substr(0, bytes))},
          {"cached_tokens", generation.cached_tokens}};
}

const char* FinishReason(const Generation& generation) {
  return generation.cancelled.load() ? "cancelled" : "stop";
}

void WriteEvent(HttpResponder& responder, const json& event) {
  responder.Write(absl::StrCat("data: ", ToText(event), "\n\n"));
}

void WritePiece(HttpResponder& responder, const Generation& generation,
                std::string_view piece) {
  WriteEvent(
      responder,
      {{"id", generation.request_id},
       {"object", "chat.completion.chunk"},
       {"model", generation.model},
       {"choices",
        json::array({{{"index", 0}, {"delta", {{"content", piece}}}}})}});
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
              {"usage", UsageOf(generation)}});
  responder.Write("data: [DONE]\n\n");
  responder.End();
}

const std::vector<HttpHeader>& EventStreamHeaders() {
  static const auto* const kHeaders = new std::vector<HttpHeader>{
      {"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}};
  return *kHeaders;
}

void AnswerStream(Engine& engine, Generation& generation, int priority,
                  HttpResponder& responder) {
  responder.Begin(200, EventStreamHeaders());
  Run(engine, generation, priority, [&](std::string_view piece) {
    WritePiece(responder, generation, piece);
  });
  if (generation.incarnation != engine.incarnation.load()) {
    return responder.Drop();
  }
  WriteEnd(responder, generation);
}

void AnswerWhole(Engine& engine, Generation& generation, int priority,
                 HttpResponder& responder) {
  Run(engine, generation, priority, [](std::string_view) {});
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
            {"usage", UsageOf(generation)}});
}

void HandleChat(Engine& engine, const HttpRequest& request,
                HttpResponder& responder) {
  const EngineOptions options = OptionsOf(engine);
  const absl::StatusOr<ChatRequest> chat =
      ParseChat(request.body, options.default_max_tokens);
  if (!chat.ok()) return SendBadRequest(responder, chat.status());
  if (std::find(options.models.begin(), options.models.end(), chat->model) ==
      options.models.end()) {
    return SendError(responder, 404, "unknown model " + chat->model);
  }
  if (!PassesFence(engine, chat->fencing)) {
    return SendError(responder, 409, "old fencing number");
  }
  const GenerationPtr generation = MakeGeneration(engine, request, *chat);
  if (IsCrashing(*chat)) {
    engine.record.Update(generation->record_line, {{"state", "crashed"}});
    Crash(engine);
    return responder.Drop();
  }
  if (chat->stream) {
    AnswerStream(engine, *generation, chat->priority, responder);
  } else {
    AnswerWhole(engine, *generation, chat->priority, responder);
  }
}

void HandleCancel(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found = Find(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  found->cancelled.store(true);
  SendJson(responder, 200, json::object());
}

// Streams an answer again from a byte on, following it while it still grows.
void HandleResume(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found = Find(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  size_t sent = body.value("from", size_t{0});
  responder.Begin(200, EventStreamHeaders());
  while (true) {
    const bool ended = found->ended.load();
    const size_t produced = found->produced.load();
    if (produced > sent) {
      const std::string_view answer = found->answer;
      WritePiece(responder, *found, answer.substr(sent, produced - sent));
      sent = produced;
    }
    if (ended) break;
    SleepFor(kPollEvery);
  }
  WriteEnd(responder, *found);
}

void HandleHold(Engine& engine, const json& body, HttpResponder& responder) {
  const GenerationPtr found = Find(engine, body.value("request_id", ""));
  if (found == nullptr) return SendError(responder, 404, "no such request");
  const std::lock_guard lock(engine.mu);
  const size_t blocks =
      engine.cache.Hold(body.value("hold", ""), found->whole_chain);
  SendJson(responder, 200, {{"blocks", blocks}});
}

void HandleRelease(Engine& engine, const json& body, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  if (!engine.cache.Release(body.value("hold", ""))) {
    return SendError(responder, 404, "no such hold");
  }
  SendJson(responder, 200, json::object());
}

void HandleExport(Engine& engine, const HttpRequest& request,
                  HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const auto& holds = engine.cache.holds();
  const auto it = holds.find(QueryParam(request.query, "hold"));
  if (it == holds.end()) return SendError(responder, 404, "no such hold");
  SendJson(responder, 200, {{"blocks", it->second}});
}

void HandleImport(Engine& engine, const json& body, HttpResponder& responder) {
  const auto blocks = body.at("blocks").get<std::vector<uint64_t>>();
  const std::lock_guard lock(engine.mu);
  engine.cache.Insert(blocks, engine.clock.Now());
  SendJson(responder, 200, {{"blocks", blocks.size()}});
}

void HandleEvents(Engine& engine, const HttpRequest& request,
                  HttpResponder& responder) {
  const uint64_t since =
      std::strtoull(QueryParam(request.query, "since").c_str(), nullptr, 10);
  const std::lock_guard lock(engine.mu);
  const Ms until = engine.clock.Now() - engine.options.events_delay;
  const uint32_t drop_every = engine.options.events_drop_every;
  json events = json::array();
  for (const CacheEvent& it : engine.cache.events()) {
    if (it.n < since || it.at > until) continue;
    if (drop_every != 0 && it.n % drop_every == 0) continue;
    events.push_back({{"n", it.n},
                      {"kind", it.stored ? "stored" : "evicted"},
                      {"block", it.block}});
  }
  SendJson(responder, 200, {{"events", std::move(events)}});
}

// A report that is made anew only when it is older than its lag.
void HandleLoad(Engine& engine, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const Ms now = engine.clock.Now();
  if (engine.load_at.count < 0 ||
      now - engine.load_at >= engine.options.load_lag) {
    engine.load = {{"running", engine.batch.running()},
                   {"waiting", engine.batch.waiting()},
                   {"slots", engine.options.slots},
                   {"cache_blocks", engine.cache.size()},
                   {"cache_capacity", engine.options.cache_blocks}};
    engine.load_at = now;
  }
  json report = engine.load;
  report["age"] = now - engine.load_at;
  SendJson(responder, 200, report);
}

void HandleStats(Engine& engine, HttpResponder& responder) {
  const std::lock_guard lock(engine.mu);
  const uint64_t block_bytes = kTokensPerBlock * engine.options.bytes_per_token;
  json holds = json::array();
  for (const auto& [name, blocks] : engine.cache.holds()) {
    holds.push_back({{"hold", name},
                     {"blocks", blocks.size()},
                     {"bytes", blocks.size() * block_bytes}});
  }
  SendJson(responder, 200,
           {{"incarnation", engine.incarnation.load()},
            {"running", engine.batch.running()},
            {"waiting", engine.batch.waiting()},
            {"cache_blocks", engine.cache.size()},
            {"cache_bytes", engine.cache.size() * block_bytes},
            {"holds", std::move(holds)},
            {"models", engine.options.models},
            {"version", engine.version},
            {"role", engine.role}});
}

void HandleOrder(Engine& engine, const HttpRequest& request, const json& body,
                 HttpResponder& responder) {
  const auto kind = body.at("kind").get<std::string>();
  const auto name = body.at("name").get<std::string>();
  const json fencing = body.value("fencing", json());
  const bool accepted = PassesFence(engine, fencing);
  engine.record.Add(request, {{"kind", "order"},
                              {"order", kind},
                              {"name", name},
                              {"fencing", fencing},
                              {"accepted", accepted}});
  if (!accepted) return SendError(responder, 409, "old fencing number");
  if (kind == "load_model") SleepFor(OptionsOf(engine).load_model);
  const std::lock_guard lock(engine.mu);
  if (kind == "load_model" || kind == "load_adapter") {
    engine.options.models.push_back(name);
  } else if (kind == "set_version") {
    engine.version = name;
  } else if (kind == "set_role") {
    engine.role = name;
  } else {
    return SendError(responder, 400, "unknown kind of order");
  }
  SendJson(responder, 200, json::object());
}

void HandlePost(Engine& engine, const HttpRequest& request,
                HttpResponder& responder) {
  const std::string& path = request.path;
  if (path == "/v1/chat/completions") {
    return HandleChat(engine, request, responder);
  }
  const json body = json::parse(request.body, nullptr, false);
  try {
    if (path == "/v1/cancel") return HandleCancel(engine, body, responder);
    if (path == "/v1/resume") return HandleResume(engine, body, responder);
    if (path == "/cache/hold") return HandleHold(engine, body, responder);
    if (path == "/cache/release") return HandleRelease(engine, body, responder);
    if (path == "/cache/import") return HandleImport(engine, body, responder);
    if (path == "/orders") return HandleOrder(engine, request, body, responder);
  } catch (const json::exception& error) {
    return SendError(responder, 400, error.what());
  }
  SendError(responder, 404, "no such path");
}

void Handle(Engine& engine, const HttpRequest& request,
            HttpResponder& responder) {
  if (Restarting(engine)) return responder.Drop();
  const std::string& path = request.path;
  if (request.method == "POST") {
    HandlePost(engine, request, responder);
  } else if (path == "/cache/export") {
    HandleExport(engine, request, responder);
  } else if (path == "/cache/events") {
    HandleEvents(engine, request, responder);
  } else if (path == "/load") {
    HandleLoad(engine, responder);
  } else if (path == "/stats") {
    HandleStats(engine, responder);
  } else {
    SendError(responder, 404, "no such path");
  }
}

absl::Status Control(Engine& engine, const json& fields) {
  const std::lock_guard lock(engine.mu);
  absl::Status status = MergeFields(fields, &engine.options);
  engine.batch.SetSlots(engine.options.slots);
  engine.cache.SetCapacity(engine.options.cache_blocks);
  return status;
}

}  // namespace

Standin MakeEngineStandin() {
  const auto engine = std::make_shared<Engine>();
  engine->batch.SetSlots(engine->options.slots);
  Standin standin;
  standin.handle = [engine](const HttpRequest& request,
                            HttpResponder& responder) {
    Handle(*engine, request, responder);
  };
  standin.control = [engine](const json& fields) {
    return Control(*engine, fields);
  };
  standin.record = [engine] { return engine->record.ToJson(); };
  return standin;
}

}  // namespace knapweed

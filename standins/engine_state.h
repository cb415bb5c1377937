#ifndef KNAPWEED_STANDINS_ENGINE_STATE_H_
#define KNAPWEED_STANDINS_ENGINE_STATE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "standins/engine_answer.h"
#include "standins/engine_batch.h"
#include "standins/prefix_cache.h"
#include "standins/record.h"
#include "standins/standin.h"

namespace knapweed {

/// Speeds, sizes and faults of the engine stand-in.
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

/// One request from arrival on, kept for a while after its end.
struct Generation {
  std::string request_id;
  std::string model;
  std::string answer;
  std::vector<uint64_t> prompt_chain;
  std::vector<uint64_t> conversation_chain;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t incarnation = 0;
  size_t record_index = 0;
  /// Bytes of the answer that exist so far.
  std::atomic<size_t> produced{0};
  std::atomic<bool> cancelled{false};
  std::atomic<bool> ended{false};
};
using GenerationPtr = std::shared_ptr<Generation>;

/// A chat request, read and checked.
struct ChatRequest {
  std::string model;
  std::vector<ChatMessage> messages;
  bool stream = false;
  uint64_t max_tokens = 0;
  int priority = 0;
  std::string request_id;
  nlohmann::json fencing;
};

/// All that one engine stand-in holds.
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
  std::map<std::string, uint64_t> highest_fencing;
  Ms restart_ends_at;
  nlohmann::json load_report = nlohmann::json::object();
  Ms load_report_at{-1};
  std::string version;
  std::string role = "both";
};

EngineOptions CopyOptions(Engine& engine);

/// False for a fencing number below one that was seen in the same scope. An
/// engine that does not check accepts all.
bool AcceptsFencing(Engine& engine, const nlohmann::json& fencing);

/// Forgets everything that an engine process holds in memory, or ends the
/// process, as the crash mode says.
void Crash(Engine& engine);

/// The request of that name, running or kept since; null when there is none.
GenerationPtr FindGeneration(Engine& engine, const std::string& request_id);

/// Takes a request in: its answer is known from now on, and it is recorded.
GenerationPtr MakeGeneration(Engine& engine, const HttpRequest& request,
                             const ChatRequest& chat);

/// Takes a piece of an answer as it is decoded.
using AnswerSink = std::function<void(std::string_view)>;

/// Runs a request to its end, keeping on when its reader is gone. False when
/// it was cancelled, or the engine crashed under it.
bool RunGeneration(Engine& engine, Generation& generation, int priority,
                   const AnswerSink& sink);

/// Serves POST /v1/chat/completions.
void HandleChat(Engine& engine, const HttpRequest& request,
                HttpResponder& responder);
/// Serves POST /v1/resume: streams an answer again from a byte on, following
/// it while it still grows.
void HandleResume(Engine& engine, const nlohmann::json& body,
                  HttpResponder& responder);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_STATE_H_

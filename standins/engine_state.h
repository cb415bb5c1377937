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

/// Speeds, sizes and injected faults of the engine stand-in. The fields are set
/// by name with --set and /control.
struct EngineOptions {
  std::vector<std::string> models = {"m"};
  uint32_t slots = 8;
  double prefill_tokens_per_s = 20000;
  double decode_tokens_per_s = 400;
  /// Each other running request lengthens a decode step by this fraction.
  double batch_slowdown = 0.05;
  uint64_t default_max_tokens = 16;
  uint64_t cache_blocks = 4096;
  uint64_t bytes_per_token = 1024;
  /// Age at which the report of /load is rebuilt.
  Ms load_lag = Ms{500};
  /// Cache events become visible in /cache/events after this delay.
  Ms events_delay = Ms{200};
  /// Cache events whose number is a multiple of this are left out of
  /// /cache/events; 0 leaves none out.
  uint32_t events_drop_every = 0;
  /// Rejects requests and orders with an outdated fencing number.
  bool check_fencing = false;
  /// What a crash does: "exit" ends the process; any other value, such as
  /// "drop", drops all requests and the cache.
  std::string crash_mode = "drop";
  /// How long all requests are dropped after a crash in "drop" mode.
  Ms restart = Ms{300};
  /// How long a load_model order takes.
  Ms load_model = Ms{100};
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EngineOptions, models, slots,
                                   prefill_tokens_per_s, decode_tokens_per_s,
                                   batch_slowdown, default_max_tokens,
                                   cache_blocks, bytes_per_token, load_lag,
                                   events_delay, events_drop_every,
                                   check_fencing, crash_mode, restart,
                                   load_model)

/// A chat request that the engine has accepted. Stays available for /v1/resume
/// and /cache/hold after it has ended, until newer ones displace it.
struct Generation {
  std::string request_id;
  std::string model;
  std::string answer;
  /// Block hashes of the prompt, and of the prompt followed by the answer.
  std::vector<uint64_t> prompt_chain;
  std::vector<uint64_t> conversation_chain;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  /// The engine's incarnation at arrival. It differs from the current one once
  /// the engine has crashed.
  uint64_t incarnation = 0;
  size_t record_index = 0;
  /// Bytes of the answer that have been decoded so far.
  std::atomic<size_t> produced{0};
  std::atomic<bool> cancelled{false};
  std::atomic<bool> ended{false};
};
using GenerationPtr = std::shared_ptr<Generation>;

/// A parsed chat completion request.
struct ChatRequest {
  std::string model;
  std::vector<ChatMessage> messages;
  bool stream = false;
  uint64_t max_tokens = 0;
  int priority = 0;
  std::string request_id;
  nlohmann::json fencing;
};

/// The state of one engine stand-in, shared by its request handlers.
struct Engine {
  Clock clock = Clock::Steady();
  Record record;
  EngineBatch batch;
  /// Incremented by each crash.
  std::atomic<uint64_t> incarnation{1};

  /// Guards the members below.
  std::mutex mu;
  EngineOptions options;
  PrefixCache cache{EngineOptions().cache_blocks};
  std::map<std::string, GenerationPtr> generations;
  /// Request ids in order of arrival, for eviction from `generations`.
  std::deque<std::string> generation_order;
  /// The highest fencing number seen, by scope.
  std::map<std::string, uint64_t> highest_fencing;
  Ms restart_ends_at;
  /// The cached report of /load and when it was built; -1 when never.
  nlohmann::json load_report = nlohmann::json::object();
  Ms load_report_at{-1};
  std::string version;
  std::string role = "both";
};

/// Returns a copy of the options, taken under the lock.
EngineOptions CopyOptions(Engine& engine);

/// Returns false for a fencing number below the highest one seen in the same
/// scope. Accepts everything when `check_fencing` is off, and requests without
/// a well-formed scope and number.
bool AcceptsFencing(Engine& engine, const nlohmann::json& fencing);

/// Simulates a crash: ends the process or drops its requests, cache and fencing
/// numbers, depending on `crash_mode`.
void Crash(Engine& engine);

/// Returns the request with this id, running or ended; null if not found.
GenerationPtr FindGeneration(Engine& engine, const std::string& request_id);

/// Creates the generation of an accepted request, with its complete answer, and
/// adds it to the record and to the engine's generations.
GenerationPtr MakeGeneration(Engine& engine, const HttpRequest& request,
                             const ChatRequest& chat);

/// Receives each chunk of an answer as it is decoded.
using AnswerSink = std::function<void(std::string_view)>;

/// Waits for a slot, then simulates prefill and decode. Blocks until the
/// request ends; a disconnected client does not stop it. Returns false when the
/// request was cancelled or the engine crashed meanwhile.
bool RunGeneration(Engine& engine, Generation& generation, int priority,
                   const AnswerSink& sink);

/// Serves POST /v1/chat/completions.
void HandleChat(Engine& engine, const HttpRequest& request,
                HttpResponder& responder);
/// Serves POST /v1/resume: streams an answer from byte offset `from` on, until
/// the request has ended.
void HandleResume(Engine& engine, const nlohmann::json& body,
                  HttpResponder& responder);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_ENGINE_STATE_H_

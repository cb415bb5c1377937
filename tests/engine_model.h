#ifndef KNAPWEED_TESTS_ENGINE_MODEL_H_
#define KNAPWEED_TESTS_ENGINE_MODEL_H_

#include <cstdint>
#include <vector>

#include "knapweed/policy/upstream_load.h"

/// A model of an engine with continuous batching, and loads to play in it, for
/// tests of policies. It has a clock of its own, no thread and no randomness:
/// the same calls give the same result. Times are in milliseconds.
namespace knapweed {

/// Size and speed of an engine; the first customer's by default.
struct EngineSpec {
  /// Maximum number of sequences that run at once.
  uint32_t slots = 32;
  /// Tokens of prompts and output that fit into memory.
  uint64_t memory_tokens = 139891;
  /// Time of a step that decodes and prefills nothing.
  double step_ms = 4.73;
  double prefill_tokens_per_ms = 38.4;
  /// Maximum number of prompt tokens that one step prefills.
  uint64_t chunk_tokens = 1024;
};

/// A call sent to the engine.
struct EngineModelCall {
  uint64_t id = 0;
  /// 0 is started first.
  int priority = 5;
  /// Prompt tokens that are in the engine's memory when it arrives.
  uint64_t cached_tokens = 0;
  uint64_t unread_tokens = 0;
  /// At least 1.
  uint64_t output_tokens = 1;
};

/// A call that has ended.
struct EngineModelResult {
  uint64_t id = 0;
  double sent_ms = 0;
  /// When its first and its last token were there.
  double first_ms = 0;
  double ended_ms = 0;
  int preemptions = 0;
};

/// The engine. A step generates a token for each running sequence whose prompt
/// is read, and prefills a chunk: prompts one after the other, in the order in
/// which they were started. A waiting call is started when the chunk has room
/// and a slot and memory for its prompt are free, by priority and then by
/// arrival. When memory runs out, the newest of the least urgent sequences is
/// preempted: it waits again and reads its prompt and output anew.
class EngineModel {
 public:
  explicit EngineModel(const EngineSpec& spec) : spec_(spec) {}

  /// Adds a call that arrives at `at_ms`, which must not be before the start of
  /// the last step. Returns false if the call can never fit into memory.
  bool Send(const EngineModelCall& call, double at_ms);

  /// Runs one step. No effect without calls.
  void Step();

  /// Runs steps up to `until_ms`; the last one may end later.
  void AdvanceTo(double until_ms);

  /// Removes and returns the calls that have ended.
  std::vector<EngineModelResult> TakeEnded();

  /// Removes and returns the calls whose first token is there, with
  /// `ended_ms` unset.
  std::vector<EngineModelResult> TakeFirst();

  bool idle() const { return running_.empty() && waiting_.empty(); }
  double now_ms() const { return now_ms_; }
  int preemptions() const { return preemptions_; }

  /// Returns the load as the gateways together would count it.
  CallLoad Load() const;

 private:
  struct Sequence {
    EngineModelCall call;
    EngineModelResult result;
    uint64_t order = 0;
    uint64_t prefill_left = 0;
    uint64_t generated = 0;
    bool has_first = false;
    /// Tokens that it occupies in memory.
    uint64_t tokens = 0;
  };

  uint64_t UsedTokens() const;
  uint64_t CountDecoding() const;
  /// Preempts until each sequence that decodes has memory for a token. Returns
  /// whether any was preempted.
  bool MakeRoomToDecode();
  void Preempt();
  /// Starts the first waiting call if it fits. Returns whether it did.
  bool StartNext();
  /// Prefills up to a chunk. Returns the number of tokens.
  uint64_t PrefillChunk(bool may_start);
  uint64_t Prefill(Sequence& sequence, uint64_t most_tokens) const;
  /// Adds a token to each sequence that has decoded, and ends the complete.
  void Generate();

  EngineSpec spec_;
  double now_ms_ = 0;
  /// In order of their start; sequences prefill in this order.
  std::vector<Sequence> running_;
  /// By priority and arrival.
  std::vector<Sequence> waiting_;
  std::vector<EngineModelResult> ended_;
  std::vector<EngineModelResult> first_;
  uint64_t next_order_ = 0;
  int preemptions_ = 0;
};

/// Returns the time until the first token of a call that runs alone.
double FirstAloneMs(const EngineSpec& spec, uint64_t unread_tokens);
/// Returns the time of a whole call that runs alone.
double AloneMs(const EngineSpec& spec, uint64_t unread_tokens,
               uint64_t output_tokens);

/// One turn of a program.
struct LoadTurn {
  uint64_t unread_tokens = 0;
  uint64_t output_tokens = 1;
  bool is_long = false;
};

/// A program and when it arrives. Each turn follows the end of the one before.
struct LoadProgram {
  double at_ms = 0;
  std::vector<LoadTurn> turns;
};

/// A load of programs that arrive independently of each other.
struct LoadSpec {
  double programs_per_s = 1;
  int turns = 3;
  double span_ms = 20000;
  /// Share of the turns with a long prompt.
  double long_share = 0.08;
  uint64_t long_tokens = 8000;
  uint64_t min_short_tokens = 500;
  uint64_t max_short_tokens = 1000;
  uint64_t min_output_tokens = 20;
  uint64_t max_output_tokens = 60;
};

/// Returns the programs of a load in order of arrival.
std::vector<LoadProgram> MakeLoad(const LoadSpec& spec, uint64_t seed);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_ENGINE_MODEL_H_

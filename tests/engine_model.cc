#include "tests/engine_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <random>
#include <utility>

namespace knapweed {

bool EngineModel::Send(const EngineModelCall& call, double at_ms) {
  const uint64_t prompt = call.cached_tokens + call.unread_tokens;
  if (prompt + call.output_tokens > spec_.memory_tokens) return false;
  if (idle()) now_ms_ = std::max(now_ms_, at_ms);
  Sequence sequence;
  sequence.call = call;
  sequence.result.id = call.id;
  sequence.result.sent_ms = at_ms;
  sequence.order = next_order_++;
  sequence.prefill_left = call.unread_tokens;
  sequence.tokens = prompt;
  waiting_.push_back(sequence);
  return true;
}

void EngineModel::Step() {
  if (idle()) return;
  const bool preempted = MakeRoomToDecode();
  const uint64_t prefilled = PrefillChunk(!preempted);
  now_ms_ += spec_.step_ms +
             static_cast<double>(prefilled) / spec_.prefill_tokens_per_ms;
  Generate();
}

void EngineModel::AdvanceTo(double until_ms) {
  while (!idle() && now_ms_ < until_ms) Step();
  now_ms_ = std::max(now_ms_, until_ms);
}

std::vector<EngineModelResult> EngineModel::TakeEnded() {
  return std::exchange(ended_, {});
}

std::vector<EngineModelResult> EngineModel::TakeFirst() {
  return std::exchange(first_, {});
}

CallLoad EngineModel::Load() const {
  CallLoad load;
  for (const auto* list : {&running_, &waiting_}) {
    for (const Sequence& it : *list) {
      ++load.calls;
      if (!it.has_first) load.pending_prefill_tokens += it.call.unread_tokens;
      load.resident_tokens +=
          it.call.cached_tokens + it.call.unread_tokens + it.call.output_tokens;
    }
  }
  return load;
}

uint64_t EngineModel::UsedTokens() const {
  uint64_t used = 0;
  for (const Sequence& it : running_) used += it.tokens;
  return used;
}

uint64_t EngineModel::CountDecoding() const {
  return static_cast<uint64_t>(
      std::count_if(running_.begin(), running_.end(),
                    [](const Sequence& it) { return it.prefill_left == 0; }));
}

bool EngineModel::MakeRoomToDecode() {
  bool preempted = false;
  while (running_.size() > 1 &&
         UsedTokens() + CountDecoding() > spec_.memory_tokens) {
    Preempt();
    preempted = true;
  }
  return preempted;
}

void EngineModel::Preempt() {
  const auto victim =
      std::max_element(running_.begin(), running_.end(),
                       [](const Sequence& a, const Sequence& b) {
                         return std::pair(a.call.priority, a.order) <
                                std::pair(b.call.priority, b.order);
                       });
  victim->prefill_left = victim->tokens;
  ++victim->result.preemptions;
  ++preemptions_;
  waiting_.push_back(*victim);
  running_.erase(victim);
}

bool EngineModel::StartNext() {
  if (waiting_.empty() || running_.size() >= spec_.slots) return false;
  const auto next =
      std::min_element(waiting_.begin(), waiting_.end(),
                       [](const Sequence& a, const Sequence& b) {
                         return std::pair(a.call.priority, a.order) <
                                std::pair(b.call.priority, b.order);
                       });
  const bool fits =
      UsedTokens() + CountDecoding() + next->tokens + 1 <= spec_.memory_tokens;
  if (!fits && !running_.empty()) return false;
  running_.push_back(*next);
  waiting_.erase(next);
  return true;
}

uint64_t EngineModel::PrefillChunk(bool may_start) {
  uint64_t left = spec_.chunk_tokens;
  for (Sequence& it : running_) left -= Prefill(it, left);
  while (left > 0 && may_start && StartNext()) {
    left -= Prefill(running_.back(), left);
  }
  return spec_.chunk_tokens - left;
}

uint64_t EngineModel::Prefill(Sequence& sequence, uint64_t most_tokens) const {
  const uint64_t tokens = std::min(sequence.prefill_left, most_tokens);
  sequence.prefill_left -= tokens;
  return tokens;
}

void EngineModel::Generate() {
  for (Sequence& it : running_) {
    if (it.prefill_left > 0) continue;
    ++it.generated;
    ++it.tokens;
    if (!it.has_first) {
      it.result.first_ms = now_ms_;
      first_.push_back(it.result);
    }
    it.has_first = true;
    if (it.generated < it.call.output_tokens) continue;
    it.result.ended_ms = now_ms_;
    ended_.push_back(it.result);
  }
  std::erase_if(running_, [](const Sequence& it) {
    return it.generated >= it.call.output_tokens;
  });
}

double FirstAloneMs(const EngineSpec& spec, uint64_t unread_tokens) {
  const uint64_t steps = std::max<uint64_t>(
      1, (unread_tokens + spec.chunk_tokens - 1) / spec.chunk_tokens);
  return static_cast<double>(steps) * spec.step_ms +
         static_cast<double>(unread_tokens) / spec.prefill_tokens_per_ms;
}

double AloneMs(const EngineSpec& spec, uint64_t unread_tokens,
               uint64_t output_tokens) {
  return FirstAloneMs(spec, unread_tokens) +
         static_cast<double>(output_tokens - 1) * spec.step_ms;
}

std::vector<LoadProgram> MakeLoad(const LoadSpec& spec, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> pause_s(spec.programs_per_s);
  std::bernoulli_distribution is_long(spec.long_share);
  std::uniform_int_distribution<uint64_t> short_tokens(spec.min_short_tokens,
                                                       spec.max_short_tokens);
  std::uniform_int_distribution<uint64_t> output(spec.min_output_tokens,
                                                 spec.max_output_tokens);
  std::vector<LoadProgram> programs;
  double at_ms = pause_s(random) * 1000;
  for (; at_ms < spec.span_ms; at_ms += pause_s(random) * 1000) {
    LoadProgram program;
    program.at_ms = at_ms;
    for (int i = 0; i < spec.turns; ++i) {
      LoadTurn turn;
      turn.is_long = is_long(random);
      turn.unread_tokens =
          turn.is_long ? spec.long_tokens : short_tokens(random);
      turn.output_tokens = output(random);
      program.turns.push_back(turn);
    }
    programs.push_back(std::move(program));
  }
  return programs;
}

}  // namespace knapweed

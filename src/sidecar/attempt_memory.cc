#include "knapweed/sidecar/attempt_memory.h"

#include <algorithm>
#include <utility>

namespace knapweed {

AttemptMemory::AttemptMemory(const AttemptMemoryOptions& options,
                             uint32_t partition_count)
    : options_(options), history_incomplete_(partition_count) {}

AttemptView AttemptMemory::Find(const AttemptId& attempt) const {
  const auto it = attempts_.find(attempt);
  if (it != attempts_.end()) return it->second.view;
  AttemptView view;
  if (dropped_.contains(HashBytes(attempt.value))) {
    view.phase = AttemptPhase::kDropped;
    view.run = RunState::kUnknown;
  }
  return view;
}

AttemptView AttemptMemory::FindForSuccessor(const AttemptId& attempt,
                                            PartitionId partition) const {
  AttemptView view = Find(attempt);
  const bool incomplete = partition.n < history_incomplete_.size() &&
                          history_incomplete_[partition.n];
  if (view.phase == AttemptPhase::kNeverSeen && incomplete) {
    view.phase = AttemptPhase::kDropped;
    view.run = RunState::kUnknown;
  }
  return view;
}

void AttemptMemory::Begin(const AttemptId& attempt, PartitionId partition) {
  Attempt record;
  record.view.phase = AttemptPhase::kRunning;
  record.view.run = RunState::kUnknown;
  record.partition = partition;
  attempts_.insert_or_assign(attempt, std::move(record));
}

void AttemptMemory::End(const AttemptId& attempt, RunState run,
                        SharedResult result, Ms now) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  AttemptView& view = it->second.view;
  if (view.phase != AttemptPhase::kRunning) return;
  view.phase = AttemptPhase::kEnded;
  view.run = run;
  view.result = std::move(result);
  RecordEnded(attempt, it->second, now);
}

void AttemptMemory::Refuse(const AttemptId& attempt, PartitionId partition,
                           Ms now) {
  if (attempts_.contains(attempt)) return;
  Attempt record;
  record.view.phase = AttemptPhase::kRefused;
  record.partition = partition;
  const auto it = attempts_.emplace(attempt, std::move(record)).first;
  RecordEnded(attempt, it->second, now);
}

void AttemptMemory::Expire(Ms now) {
  while (!ended_.empty()) {
    const Attempt& oldest = attempts_.at(ended_.front());
    if (now - oldest.ended < options_.retention) return;
    DropOldest();
  }
}

void AttemptMemory::RecordEnded(const AttemptId& attempt, Attempt& record,
                                Ms now) {
  record.ended = now;
  ended_.push_back(attempt);
  result_bytes_ += ResultBytes(record.view.result);
  while (ended_.size() > options_.max_ended) DropOldest();
  while (result_bytes_ > options_.max_result_bytes) DropOldestResult();
}

void AttemptMemory::DropOldest() {
  const auto it = attempts_.find(ended_.front());
  const Attempt& oldest = it->second;
  const DroppedId dropped{HashBytes(it->first.value), oldest.partition};
  result_bytes_ -= ResultBytes(oldest.view.result);
  attempts_.erase(it);
  ended_.pop_front();
  if (results_dropped_ > 0) --results_dropped_;
  if (dropped_.insert(dropped.id_hash).second) {
    dropped_order_.push_back(dropped);
  }
  if (dropped_order_.size() <= options_.max_dropped_ids) return;
  const DroppedId& oldest_id = dropped_order_.front();
  if (oldest_id.partition.n < history_incomplete_.size()) {
    history_incomplete_[oldest_id.partition.n] = true;
  }
  dropped_.erase(oldest_id.id_hash);
  dropped_order_.pop_front();
}

void AttemptMemory::DropOldestResult() {
  Attempt& record = attempts_.at(ended_[results_dropped_]);
  result_bytes_ -= ResultBytes(record.view.result);
  record.view.result = nullptr;
  ++results_dropped_;
}

size_t AttemptMemory::ResultBytes(const SharedResult& result) {
  return result == nullptr ? 0 : sizeof(wire::ResultT) + result->body.size();
}

}  // namespace knapweed

#include "program.h"

#include <algorithm>

namespace knapweed {
namespace {

std::string StringOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

CallOutcome OutcomeOf(const journal::Record& record) {
  CallOutcome outcome;
  outcome.run = static_cast<RunState>(record.run());
  outcome.status = record.status();
  outcome.body = StringOf(record.body());
  outcome.error.code = static_cast<ErrorCode>(record.error_code());
  outcome.error.run = static_cast<RunState>(record.error_run());
  outcome.error.retry_after = Ms{record.retry_after_ms()};
  outcome.error.message = StringOf(record.error_message());
  outcome.prompt_tokens = record.prompt_tokens();
  outcome.completion_tokens = record.completion_tokens();
  if (record.added() != nullptr) {
    for (const auto* it : *record.added()) outcome.added.push_back(it->str());
  }
  return outcome;
}

Intent IntentOf(const journal::Record& record) {
  Intent intent;
  intent.attempt = AttemptId(StringOf(record.attempt()));
  intent.upstream = UpstreamId(StringOf(record.upstream()));
  intent.sidecar_incarnation = StringOf(record.sidecar_incarnation());
  intent.sidecar.host = StringOf(record.sidecar_host());
  intent.sidecar.port = record.sidecar_port();
  return intent;
}

void ApplyTurn(Program& program, const journal::Record& record,
               uint32_t outcome_bound) {
  const std::string key = StringOf(record.idempotency_key());
  CallOutcome outcome = OutcomeOf(record);
  program.used_tokens += outcome.prompt_tokens + outcome.completion_tokens;
  program.intents.erase(key);
  if (!CountsAsTurn(outcome)) return;
  if (record.counts_turn()) ++program.turns;
  program.history.insert(program.history.end(), outcome.added.begin(),
                         outcome.added.end());
  if (key.empty()) return;
  KeptOutcome kept{record.digest(), std::move(outcome), JournalPosition{}};
  KeepOutcome(program, key, std::move(kept), outcome_bound);
}

journal::RecordT MakeRecord(journal::RecordKind kind, const ProgramKey& key) {
  journal::RecordT record;
  record.kind = kind;
  record.workspace = key.workspace.value;
  record.program = key.program.value;
  return record;
}

}  // namespace

bool CountsAsTurn(const CallOutcome& outcome) {
  return outcome.run != RunState::kNotRun;
}

void KeepOutcome(Program& program, const std::string& key, KeptOutcome kept,
                 uint32_t bound) {
  // The added messages are already in the history.
  kept.outcome.added.clear();
  if (!program.outcomes.contains(key)) program.outcome_order.push_back(key);
  program.outcomes[key] = std::move(kept);
  while (program.outcome_order.size() > bound) {
    program.outcomes.erase(program.outcome_order.front());
    program.outcome_order.pop_front();
  }
}

void ApplyRecord(Program& program, const journal::Record& record, Ms now,
                 uint32_t outcome_bound) {
  program.sequence = std::max(program.sequence, record.sequence());
  switch (record.kind()) {
    case journal::RecordKind::Turn:
      ApplyTurn(program, record, outcome_bound);
      break;
    case journal::RecordKind::Intent:
      program.intents[StringOf(record.idempotency_key())] = {record.digest(),
                                                             IntentOf(record)};
      break;
    case journal::RecordKind::Charge:
      program.used_tokens += record.prompt_tokens();
      break;
    case journal::RecordKind::End:
      break;
  }
  program.started = now - Ms{record.elapsed_ms()};
  program.last_call = now;
}

journal::RecordT MakeIntentRecord(const CallIdentity& identity,
                                  const Intent& intent) {
  journal::RecordT record =
      MakeRecord(journal::RecordKind::Intent, identity.key);
  record.idempotency_key = identity.idempotency_key;
  record.digest = identity.digest;
  record.attempt = intent.attempt.value;
  record.upstream = intent.upstream.value;
  record.sidecar_incarnation = intent.sidecar_incarnation;
  record.sidecar_host = intent.sidecar.host;
  record.sidecar_port = intent.sidecar.port;
  return record;
}

journal::RecordT MakeTurnRecord(const CallIdentity& identity,
                                const CallOutcome& outcome) {
  journal::RecordT record = MakeRecord(journal::RecordKind::Turn, identity.key);
  record.idempotency_key = identity.idempotency_key;
  record.digest = identity.digest;
  record.run = static_cast<uint8_t>(outcome.run);
  record.status = outcome.status;
  record.body = outcome.body;
  record.error_code = static_cast<uint8_t>(outcome.error.code);
  record.error_run = static_cast<uint8_t>(outcome.error.run);
  record.retry_after_ms = outcome.error.retry_after.count;
  record.error_message = outcome.error.message;
  record.added = outcome.added;
  record.prompt_tokens = outcome.prompt_tokens;
  record.completion_tokens = outcome.completion_tokens;
  record.counts_turn = CountsAsTurn(outcome);
  return record;
}

journal::RecordT MakeChargeRecord(const ProgramKey& ancestor, uint64_t tokens) {
  journal::RecordT record = MakeRecord(journal::RecordKind::Charge, ancestor);
  record.prompt_tokens = tokens;
  return record;
}

journal::RecordT MakeEndRecord(const ProgramKey& key) {
  return MakeRecord(journal::RecordKind::End, key);
}

absl::StatusOr<std::vector<ProgramId>> AncestorsOf(
    const CallIdentity& identity) {
  const std::string& name = identity.key.program.value;
  std::string parent = identity.parent.value;
  if (!parent.empty() &&
      RootOf(identity.parent) != RootOf(identity.key.program)) {
    return absl::InvalidArgumentError(
        "a sub-agent's name starts with its root program's name and '/'");
  }
  if (parent == name) {
    return absl::InvalidArgumentError("a program can't be its own parent");
  }
  const auto parent_path = [](const std::string& path) {
    const size_t slash = path.rfind('/');
    return slash == std::string::npos ? std::string() : path.substr(0, slash);
  };
  if (parent.empty()) parent = parent_path(name);
  std::vector<ProgramId> ancestors;
  for (; !parent.empty(); parent = parent_path(parent)) {
    // A root may name its own sub-agent as its parent; its tokens must then not
    // be charged to itself a second time.
    if (parent != name) ancestors.emplace_back(parent);
  }
  return ancestors;
}

}  // namespace knapweed

#include "standins/memory_store.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

// The result to simulate for one commit.
enum class WriteOutcome : uint8_t { kApply, kFail, kLoseRequest, kLoseAnswer };

// Decrements a fault counter. Returns false when it is 0 already.
bool UseFault(uint32_t* remaining) {
  if (*remaining == 0) return false;
  --*remaining;
  return true;
}

absl::Status RefusedError() {
  return absl::UnavailableError(
      "the store is unavailable; nothing was applied");
}

// Checks what the HTTP client of the table service also requires, since it
// sends rows as JSON.
bool IsUtf8(const Transaction& transaction) {
  try {
    for (const RowWrite& it : transaction.writes) {
      (void)nlohmann::json(it.key).dump();
      (void)nlohmann::json(it.value.value_or("")).dump();
    }
  } catch (const nlohmann::json::exception&) {
    return false;
  }
  return true;
}

absl::Status AnswerLostError() {
  return absl::UnknownError("the store's answer was lost");
}

}  // namespace

struct MemoryStore::State {
  struct StoredRow {
    std::string value;
    uint64_t version = 0;
  };

  // Counts one operation and sleeps for the latency. Returns false in an
  // outage. Must be called without the lock.
  bool BeginOperation(uint64_t StoreCounts::*count) {
    Ms latency;
    {
      const std::lock_guard lock(mu);
      ++(counts.*count);
      latency = faults.latency;
    }
    if (latency.count > 0) SleepFor(latency);
    const std::lock_guard lock(mu);
    return !faults.outage;
  }

  // This function, VersionOf and Apply require the lock.
  WriteOutcome NextOutcome(const Transaction& transaction) {
    const std::string& prefix = faults.commit_key_prefix;
    const bool matches =
        prefix.empty() ||
        std::any_of(
            transaction.writes.begin(), transaction.writes.end(),
            [&](const RowWrite& it) { return it.key.starts_with(prefix); });
    if (!matches) return WriteOutcome::kApply;
    if (UseFault(&faults.fail_commits)) return WriteOutcome::kFail;
    if (UseFault(&faults.lose_commits)) return WriteOutcome::kLoseRequest;
    if (UseFault(&faults.lose_commit_answers)) return WriteOutcome::kLoseAnswer;
    return WriteOutcome::kApply;
  }

  uint64_t VersionOf(const std::string& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? 0 : it->second.version;
  }

  void Apply(const RowWrite& write) {
    if (!write.value) {
      rows.erase(write.key);
      return;
    }
    StoredRow& row = rows[write.key];
    row.value = *write.value;
    ++row.version;
  }

  absl::Status Apply(const Transaction& transaction) {
    for (const RowCondition& it : transaction.conditions) {
      const uint64_t version = VersionOf(it.key);
      if (version == it.version) continue;
      return absl::AbortedError(absl::StrCat("row ", it.key, " is at version ",
                                             version, ", not ", it.version));
    }
    for (const RowWrite& it : transaction.writes) Apply(it);
    return absl::OkStatus();
  }

  absl::StatusOr<Row> Get(std::string_view key);
  absl::StatusOr<std::vector<Row>> Scan(std::string_view prefix);
  absl::Status Commit(const Transaction& transaction);
  absl::Status Put(std::string_view name, std::string_view bytes);
  absl::StatusOr<std::string> GetObject(std::string_view name);
  absl::Status Remove(std::string_view name);
  absl::StatusOr<std::vector<std::string>> List(std::string_view prefix);

  mutable std::mutex mu;
  StoreFaults faults;
  StoreCounts counts;
  std::map<std::string, StoredRow, std::less<>> rows;
  std::map<std::string, std::string, std::less<>> objects;
};

absl::StatusOr<Row> MemoryStore::State::Get(std::string_view key) {
  if (!BeginOperation(&StoreCounts::reads)) return RefusedError();
  const std::lock_guard lock(mu);
  const auto it = rows.find(key);
  if (it == rows.end()) return absl::NotFoundError("no such row");
  return Row{it->first, it->second.value, it->second.version};
}

absl::StatusOr<std::vector<Row>> MemoryStore::State::Scan(
    std::string_view prefix) {
  if (!BeginOperation(&StoreCounts::scans)) return RefusedError();
  const std::lock_guard lock(mu);
  std::vector<Row> found;
  for (auto it = rows.lower_bound(prefix);
       it != rows.end() && it->first.starts_with(prefix); ++it) {
    found.push_back({it->first, it->second.value, it->second.version});
  }
  return found;
}

absl::Status MemoryStore::State::Commit(const Transaction& transaction) {
  if (!IsUtf8(transaction)) {
    return absl::InvalidArgumentError("row keys and values must be UTF-8");
  }
  if (!BeginOperation(&StoreCounts::commits)) return RefusedError();
  const std::lock_guard lock(mu);
  const WriteOutcome outcome = NextOutcome(transaction);
  if (outcome == WriteOutcome::kFail) return RefusedError();
  if (outcome == WriteOutcome::kLoseRequest) return AnswerLostError();
  absl::Status applied = Apply(transaction);
  return outcome == WriteOutcome::kLoseAnswer ? AnswerLostError() : applied;
}

absl::Status MemoryStore::State::Put(std::string_view name,
                                     std::string_view bytes) {
  if (!IsObjectName(name)) {
    return absl::InvalidArgumentError("bad object name");
  }
  if (!BeginOperation(&StoreCounts::puts)) return RefusedError();
  const std::lock_guard lock(mu);
  if (UseFault(&faults.fail_puts)) return RefusedError();
  objects[std::string(name)] = std::string(bytes);
  return UseFault(&faults.lose_put_answers) ? AnswerLostError()
                                            : absl::OkStatus();
}

absl::StatusOr<std::string> MemoryStore::State::GetObject(
    std::string_view name) {
  if (!BeginOperation(&StoreCounts::gets)) return RefusedError();
  const std::lock_guard lock(mu);
  const auto it = objects.find(name);
  if (it == objects.end()) return absl::NotFoundError("no such object");
  return it->second;
}

absl::Status MemoryStore::State::Remove(std::string_view name) {
  if (!BeginOperation(&StoreCounts::removes)) return RefusedError();
  const std::lock_guard lock(mu);
  const auto it = objects.find(name);
  if (it == objects.end()) return absl::NotFoundError("no such object");
  objects.erase(it);
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> MemoryStore::State::List(
    std::string_view prefix) {
  if (!BeginOperation(&StoreCounts::lists)) return RefusedError();
  const std::lock_guard lock(mu);
  std::vector<std::string> names;
  for (auto it = objects.lower_bound(prefix);
       it != objects.end() && it->first.starts_with(prefix); ++it) {
    names.push_back(it->first);
  }
  return names;
}

MemoryStore::MemoryStore() : state_(std::make_shared<State>()) {}

TableService MemoryStore::Table() const {
  TableService table;
  table.get = [state = state_](std::string_view key) {
    return state->Get(key);
  };
  table.scan = [state = state_](std::string_view prefix) {
    return state->Scan(prefix);
  };
  table.commit = [state = state_](const Transaction& transaction) {
    return state->Commit(transaction);
  };
  return table;
}

ObjectStore MemoryStore::Objects() const {
  ObjectStore objects;
  objects.put = [state = state_](std::string_view name,
                                 std::string_view bytes) {
    return state->Put(name, bytes);
  };
  objects.get = [state = state_](std::string_view name) {
    return state->GetObject(name);
  };
  objects.remove = [state = state_](std::string_view name) {
    return state->Remove(name);
  };
  objects.list = [state = state_](std::string_view prefix) {
    return state->List(prefix);
  };
  return objects;
}

void MemoryStore::SetFaults(const StoreFaults& faults) {
  const std::lock_guard lock(state_->mu);
  state_->faults = faults;
}

StoreFaults MemoryStore::Faults() const {
  const std::lock_guard lock(state_->mu);
  return state_->faults;
}

StoreCounts MemoryStore::Counts() const {
  const std::lock_guard lock(state_->mu);
  return state_->counts;
}

}  // namespace knapweed

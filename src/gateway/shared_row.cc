#include "knapweed/gateway/shared_row.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("rows");

/// Maximum number of marks in a row. A writer whose mark was evicted treats a
/// change in doubt as not made.
constexpr size_t kMaxMarks = 12;

nlohmann::json WithMark(const nlohmann::json& marks, const std::string& writer,
                        uint64_t sequence) {
  nlohmann::json next = nlohmann::json::array();
  for (const nlohmann::json& mark : marks) {
    if (mark.is_array() && mark.size() == 2 && mark[0] != writer) {
      next.push_back(mark);
    }
  }
  while (next.size() >= kMaxMarks) next.erase(next.begin());
  next.push_back({writer, sequence});
  return next;
}

}  // namespace

bool SharedRows::HasMark(const CachedRow& row, uint64_t sequence) const {
  return std::any_of(row.marks.begin(), row.marks.end(), [&](const auto& mark) {
    return mark.is_array() && mark.size() == 2 && mark[0] == writer_ &&
           mark[1] == sequence;
  });
}

void SharedRows::LoadAnswer(const StoreAnswer& answer, const RowKey& key,
                            CachedRow& row) {
  row = CachedRow{};
  row.confirmed = true;
  row.confirmed_at = clock_.Now();
  for (const Row& found : answer.rows) {
    if (found.key != key || found.deleted) continue;
    const nlohmann::json value = ParseJson(found.value);
    row.version = found.version;
    if (!value.is_object() || !value.contains("state")) {
      kLog.Warning("A shared row cannot be decoded; replacing it.",
                   {{"table", key.table}, {"key", key.key}});
      continue;
    }
    row.state = value["state"];
    const nlohmann::json* marks = FindField(value, "marks");
    const bool has_marks = marks != nullptr && marks->is_array();
    row.marks = has_marks ? *marks : nlohmann::json::array();
  }
}

void SharedRows::SetMade(nlohmann::json state, nlohmann::json marks,
                         uint64_t version, CachedRow& row) {
  row = CachedRow{};
  row.state = std::move(state);
  row.marks = std::move(marks);
  row.version = version;
  row.confirmed = true;
  row.confirmed_at = clock_.Now();
}

Task<ChangeFate> SharedRows::Resolve(const RowKey& key, CachedRow& row) {
  UnknownChange change = *row.unknown;
  const StoreAnswer answer = co_await store_.Apply(change.commit);
  switch (answer.outcome) {
    case StoreOutcome::kDone:
      SetMade(std::move(change.state), std::move(change.marks), answer.version,
              row);
      co_return ChangeFate::kMade;
    case StoreOutcome::kConflict:
      LoadAnswer(answer, key, row);
      co_return HasMark(row, change.sequence) ? ChangeFate::kMade
                                              : ChangeFate::kNotMade;
    case StoreOutcome::kRejected:
      row.unknown.reset();
      co_return ChangeFate::kNotMade;
    default:
      co_return ChangeFate::kUnknown;
  }
}

Task<StoreOutcome> SharedRows::Refresh(const RowKey& key, CachedRow& row) {
  RowRange range;
  range.table = key.table;
  range.part = key.part;
  range.from = key.key;
  range.to = key.key + '\x01';
  range.limit = 1;
  const StoreAnswer answer = co_await store_.Read(range);
  if (answer.outcome == StoreOutcome::kDone) LoadAnswer(answer, key, row);
  co_return answer.outcome;
}

Task<UpdateOutcome> SharedRows::Update(const RowKey& key, CachedRow& row,
                                       const RowChange& change, Ms deadline,
                                       Ms fresh) {
  if (row.unknown.has_value()) co_return UpdateOutcome::kNotDone;
  bool read_now = row.confirmed && clock_.Now() - row.confirmed_at < fresh;
  bool in_doubt = false;
  while (true) {
    nlohmann::json next = row.state;
    if (!change(next)) {
      if (read_now) co_return UpdateOutcome::kDeclined;
      const StoreOutcome outcome = co_await Refresh(key, row);
      if (outcome != StoreOutcome::kDone) co_return UpdateOutcome::kNotDone;
      read_now = true;
      continue;
    }
    const uint64_t sequence = ++sequence_;
    const nlohmann::json marks = WithMark(row.marks, writer_, sequence);
    Commit commit;
    commit.conditions.push_back({key, row.version});
    commit.writes.push_back(
        {key, DumpJson({{"state", next}, {"marks", marks}})});
    StoreAnswer answer;
    do {
      answer = co_await store_.Apply(commit);
      if (answer.outcome == StoreOutcome::kUnknown) in_doubt = true;
    } while (answer.outcome == StoreOutcome::kUnknown &&
             clock_.Now() < deadline);
    const bool is_answered = answer.outcome == StoreOutcome::kDone ||
                             answer.outcome == StoreOutcome::kConflict ||
                             answer.outcome == StoreOutcome::kRejected;
    if (in_doubt && !is_answered) {
      row.unknown =
          UnknownChange{sequence, std::move(commit), std::move(next), marks};
      co_return UpdateOutcome::kUnknown;
    }
    switch (answer.outcome) {
      case StoreOutcome::kDone:
        SetMade(std::move(next), marks, answer.version, row);
        co_return UpdateOutcome::kChanged;
      case StoreOutcome::kConflict:
        LoadAnswer(answer, key, row);
        read_now = true;
        // The conflict may be with this change itself, committed by an earlier
        // attempt whose answer was lost.
        if (HasMark(row, sequence)) co_return UpdateOutcome::kChanged;
        in_doubt = false;
        break;
      case StoreOutcome::kRejected:
        kLog.Error("The store rejected a commit as malformed.",
                   {{"table", key.table}, {"key", key.key}});
        co_return UpdateOutcome::kNotDone;
      case StoreOutcome::kNotDone:
      case StoreOutcome::kBusy:
      case StoreOutcome::kUnknown:
      case StoreOutcome::kHistoryLost:
        co_return UpdateOutcome::kNotDone;
    }
    if (clock_.Now() >= deadline) co_return UpdateOutcome::kNotDone;
  }
}

}  // namespace knapweed::gateway

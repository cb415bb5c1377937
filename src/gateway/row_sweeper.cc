#include "knapweed/gateway/row_sweeper.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"
#include "knapweed/base/parse.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("sweep");

/// Long enough that sweeps add little to a gateway's other store calls.
constexpr Ms kSweepInterval = Seconds(30);
/// Rows are kept longer than callers may return to a program, by a factor and a
/// margin: removing a budget row too early resets what the program has spent.
constexpr int64_t kRetentionFactor = 2;
constexpr Ms kRetentionMargin = Seconds(60);
/// A commit holds at most 100 entries, a condition and a removal for each row.
constexpr size_t kRowsPerCommit = 50;

/// Returns KEY of a key "KEY~N"; empty for others.
std::string_view FirstKeyOf(std::string_view key) {
  const size_t end = key.rfind('~');
  uint64_t number = 0;
  const bool is_further = end != std::string_view::npos &&
                          ParseNumber(key.substr(end + 1), &number);
  return is_further ? key.substr(0, end) : std::string_view();
}

}  // namespace

std::vector<const Row*> ExpiredRows(const SweptTable& table,
                                    std::span<const Row> rows, Ms now,
                                    Ms retention, SweptKeys& swept) {
  std::vector<const Row*> expired;
  for (const Row& row : rows) {
    const std::optional<Ms> at = table.expires_at(row.value, retention);
    const auto first = swept.find(FirstKeyOf(row.key.key));
    bool is_over = at.has_value() && *at < now;
    if (first != swept.end()) {
      // A key may end like that of a further piece and be of its own.
      const bool is_needed = at.has_value() && !is_over;
      is_over = first->second && !is_needed;
    } else {
      swept.emplace(row.key.key, is_over);
    }
    if (is_over) expired.push_back(&row);
  }
  return expired;
}

RowSweeper::RowSweeper(asio::io_context& loop, Store& store,
                       const FleetView& view, std::vector<SweptTable> tables)
    : loop_(loop),
      store_(store),
      view_(view),
      tables_(std::move(tables)),
      random_(HashBytes(RandomHexId())) {}

Ms RowSweeper::Retention() const {
  Ms longest;
  for (const Route& route : view_.config->routes) {
    longest = std::max(longest, route.history_ttl);
  }
  return longest * kRetentionFactor + kRetentionMargin;
}

Task<void> RowSweeper::Run() {
  for (size_t sweep = 0;; ++sweep) {
    co_await Sleep(loop_, kSweepInterval);
    if (view_.config == nullptr || !store_.reachable()) continue;
    const SweptTable& table = tables_[sweep % tables_.size()];
    const size_t removed = co_await SweepPart(table, random_() % table.parts);
    if (removed > 0) {
      kLog.Info("Removed expired rows.",
                {{"table", table.table}, {"rows", removed}});
    }
  }
}

Task<size_t> RowSweeper::SweepPart(const SweptTable& table, uint64_t part) {
  RowRange range;
  range.table = table.table;
  range.part = table.part_prefix + std::to_string(part);
  size_t removed = 0;
  SweptKeys swept;
  while (true) {
    const StoreAnswer answer = co_await store_.Read(range);
    if (answer.outcome != StoreOutcome::kDone) co_return removed;
    const std::vector<const Row*> expired =
        ExpiredRows(table, answer.rows, store_.StoreNow(), Retention(), swept);
    removed += co_await Remove(expired);
    if (!answer.more || answer.rows.empty()) co_return removed;
    range.from = answer.rows.back().key.key + '\x01';
  }
}

Task<size_t> RowSweeper::Remove(const std::vector<const Row*>& rows) {
  size_t removed = 0;
  for (size_t from = 0; from < rows.size(); from += kRowsPerCommit) {
    Commit commit;
    const size_t to = std::min(from + kRowsPerCommit, rows.size());
    for (size_t i = from; i < to; ++i) {
      commit.conditions.push_back({rows[i]->key, rows[i]->version});
      commit.removals.push_back(rows[i]->key);
    }
    const StoreAnswer answer = co_await store_.Apply(commit);
    // A batch with a row that another gateway changed meanwhile is left for a
    // later sweep.
    if (answer.outcome == StoreOutcome::kDone) removed += to - from;
  }
  co_return removed;
}

}  // namespace knapweed::gateway

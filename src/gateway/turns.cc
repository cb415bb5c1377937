#include "knapweed/gateway/turns.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"
#include "knapweed/base/log.h"
#include "knapweed/base/parse.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("turns");
constexpr uint64_t kParts = 256;
constexpr char kTable[] = "turns";
constexpr char kPartPrefix[] = "t";
constexpr size_t kCacheBytes = 8 << 20;
/// Maximum turns read for one chain, in case the rows form a cycle.
constexpr size_t kMaxChainTurns = 1000;
/// Rows stay this long after they expire, for turns that started just before.
constexpr Ms kRemovalMargin{20000};
constexpr Ms kRetryPause{60};
/// Rows stay for so many times the time for which a turn is kept. More copies a
/// chain less often and keeps its rows longer.
constexpr int64_t kRowsStay = 2;
/// Text that fits in one commit, which takes 1 MB in all, encoded as base64.
constexpr size_t kMaxTextBytes = 680 << 10;
/// Copies of a text while it is stored or decoded: the text, its rows, and the
/// message that carries them as base64. Those made and dropped in one step are
/// there for one turn at a time.
constexpr uint64_t kCopiesOfText = 4;

RowKey KeyOf(const std::string& id, size_t piece) {
  RowKey key{kTable, kPartPrefix + std::to_string(HashBytes(id) % kParts), id};
  if (piece > 0) key.key += "~" + std::to_string(piece);
  return key;
}

/// Returns the range of the first row of a turn. Ids consist of characters from
/// '!' on, so it holds no row of an id that begins with this one.
RowRange FirstRow(const std::string& id) {
  const RowKey key = KeyOf(id, 0);
  return {key.table, key.part, id, id + '\x01'};
}

/// Returns the range of the rows "ID~N", which holds no row of a section.
RowRange FurtherRows(const std::string& id) {
  const RowKey key = KeyOf(id, 0);
  return {key.table, key.part, id + "~1", id + "~:"};
}

bool IsInRange(const RowRange& range, const RowKey& key) {
  return key.table == range.table && key.part == range.part &&
         key.key >= range.from && key.key < range.to;
}

/// The value starts with the time until which the rows stay (decimal ms on the
/// store's clock) and a line feed, so that the expiry of a turn with several
/// pieces can be read from its first one.
std::string Encode(const Turn& turn) {
  const auto bytes = [](const std::string& text) {
    return nlohmann::json::binary({text.begin(), text.end()});
  };
  nlohmann::json json = {{"workspace", turn.workspace},
                         {"previous", turn.previous},
                         {"input", bytes(turn.input)},
                         {"output", bytes(turn.output)}};
  if (turn.history.has_value()) json["history"] = bytes(*turn.history);
  if (turn.is_section) json["section"] = true;
  std::string out = std::to_string(turn.rows_until.count) + '\n';
  nlohmann::json::to_cbor(json, out);
  return out;
}

/// Returns the time with which a value starts.
std::optional<Ms> RowsUntil(std::string_view value) {
  const size_t end = value.find('\n');
  Ms until;
  const bool readable = end != std::string_view::npos &&
                        ParseNumber(value.substr(0, end), &until.count);
  if (!readable) return std::nullopt;
  return until;
}

std::string BytesOf(const nlohmann::json& json, const char* name) {
  const nlohmann::json& value = json.at(name);
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::optional<Ms> ExpiresAt(std::string_view value, Ms /*retention*/) {
  const std::optional<Ms> until = RowsUntil(value);
  if (!until.has_value()) return std::nullopt;
  return *until + kRemovalMargin;
}

bool IsBinary(const nlohmann::json& json, const char* name) {
  const auto it = json.find(name);
  return it != json.end() && it->is_binary();
}

TurnPtr Decode(const std::string& id, std::string_view bytes) {
  const std::optional<Ms> until = RowsUntil(bytes);
  if (!until.has_value()) return nullptr;
  bytes.remove_prefix(bytes.find('\n') + 1);
  const nlohmann::json json = ParseCbor(bytes);
  const bool readable =
      json.is_object() && IsBinary(json, "input") && IsBinary(json, "output");
  if (!readable) return nullptr;
  auto turn = std::make_shared<Turn>();
  turn->id = id;
  turn->workspace = TextField(json, "workspace");
  turn->previous = TextField(json, "previous");
  if (IsBinary(json, "history")) turn->history = BytesOf(json, "history");
  turn->input = BytesOf(json, "input");
  turn->output = BytesOf(json, "output");
  turn->is_section = json.contains("section");
  turn->lacks_start = json.contains("lacks_start");
  turn->rows_until = *until;
  return turn;
}

size_t TextBytes(const Turn& turn) {
  const size_t history = turn.history.has_value() ? turn.history->size() : 0;
  return history + turn.input.size() + turn.output.size();
}

/// Returns whether the rows that a commit found are those that it writes: an
/// earlier try was committed although its answer was lost.
bool HoldsAll(std::span<const Row> rows, std::span<const RowWrite> writes) {
  return !rows.empty() &&
         std::all_of(rows.begin(), rows.end(), [&](const Row& row) {
           return std::any_of(
               writes.begin(), writes.end(), [&](const RowWrite& write) {
                 return write.key == row.key && write.value == row.value;
               });
         });
}

size_t SizeOf(const Turn& turn) {
  constexpr size_t kOverhead = 200;
  return TextBytes(turn) + turn.id.size() + kOverhead;
}

}  // namespace

SweptTable TurnTable() { return {kTable, kPartPrefix, kParts, ExpiresAt}; }

TurnPtr Turns::FindInCache(const std::string& id) {
  const auto it = cache_.find(id);
  if (it == cache_.end()) return nullptr;
  lru_.splice(lru_.begin(), lru_, it->second.lru_position);
  return it->second.turn;
}

void Turns::AddToCache(TurnPtr turn) {
  if (cache_.contains(turn->id)) return;
  lru_.push_front(turn->id);
  cached_bytes_ += SizeOf(*turn);
  const std::string id = turn->id;
  cache_[id] = Cached{std::move(turn), lru_.begin()};
  while (cached_bytes_ > kCacheBytes && lru_.size() > 1) {
    const auto oldest = cache_.find(lru_.back());
    cached_bytes_ -= SizeOf(*oldest->second.turn);
    cache_.erase(oldest);
    lru_.pop_back();
  }
}

Task<Turns::RowsRead> Turns::ReadRows(RowRange range, std::vector<Row>* rows) {
  RowsRead read = RowsRead::kWhole;
  while (true) {
    StoreAnswer answer = co_await store_.Read(range);
    if (answer.outcome != StoreOutcome::kDone) co_return RowsRead::kFailed;
    std::string last;
    if (!answer.rows.empty()) last = answer.rows.back().key.key;
    const size_t foreign = std::erase_if(answer.rows, [&](const Row& row) {
      return !IsInRange(range, row.key);
    });
    if (!answer.lists_rows || foreign > 0) read = RowsRead::kInPart;
    std::move(answer.rows.begin(), answer.rows.end(),
              std::back_inserter(*rows));
    if (!answer.more) co_return read;
    // Pages that don't advance would be read without end.
    if (last < range.from) co_return RowsRead::kInPart;
    range.from = last + '\x01';
  }
}

absl::StatusOr<std::string> JoinRows(const std::string& id,
                                     std::span<const Row> rows) {
  std::map<size_t, const std::string*> pieces;
  for (const Row& row : rows) {
    const std::string_view key = row.key.key;
    size_t number = 0;
    const bool is_first = key == id;
    const bool is_piece = key.size() > id.size() + 1 && key.starts_with(id) &&
                          key[id.size()] == '~' &&
                          ParseNumber(key.substr(id.size() + 1), &number);
    if (!is_first && !is_piece) continue;
    const bool is_new = pieces.emplace(number, &row.value).second;
    if (!is_new) {
      return absl::DataLossError("row " + std::to_string(number) +
                                 " is there twice");
    }
  }
  if (pieces.empty()) return absl::NotFoundError("no row");
  // Of numbers that are all different, the last one tells whether one is
  // missing.
  const size_t last = pieces.rbegin()->first;
  if (last != pieces.size() - 1) {
    return absl::DataLossError(std::to_string(pieces.size()) + " of " +
                               std::to_string(last + 1) + " rows are there");
  }
  std::string bytes;
  for (const auto& [number, value] : pieces) bytes += *value;
  return bytes;
}

Task<WeightedSemaphore::Permit> Turns::AcquireCopies(size_t text_bytes,
                                                     Ms deadline) {
  const Ms left = std::max(deadline - clock_.Now(), Ms{0});
  co_return co_await copies_.Acquire(kCopiesOfText * text_bytes, left);
}

Task<absl::StatusOr<std::string>> Turns::ReadFurtherRows(
    std::string id, std::vector<Row> rows) {
  const RowsRead further = co_await ReadRows(FurtherRows(id), &rows);
  if (further == RowsRead::kFailed) {
    co_return absl::UnavailableError("store did not answer");
  }
  co_return JoinRows(id, rows);
}

Task<Turns::TurnRead> Turns::Read(std::string id, Ms deadline) {
  TurnRead read;
  read.turn = FindInCache(id);
  if (read.turn != nullptr) {
    read.outcome = HistoryOutcome::kFound;
    co_return read;
  }
  std::vector<Row> rows;
  const RowsRead first = co_await ReadRows(FirstRow(id), &rows);
  read.cause = "store did not answer";
  if (first == RowsRead::kFailed) co_return read;
  absl::StatusOr<std::string> bytes = JoinRows(id, rows);
  if (absl::IsNotFound(bytes.status())) {
    read.cause = "store's answer can't be decoded";
    if (first != RowsRead::kWhole) co_return read;
    read.outcome = HistoryOutcome::kNotFound;
    read.cause = "no such row";
    co_return read;
  }
  if (bytes.ok()) read.turn = Decode(id, *bytes);
  WeightedSemaphore::Permit copies;
  if (read.turn == nullptr) {
    // The start of a turn of several rows can't be decoded.
    copies = co_await AcquireCopies(kMaxTextBytes, deadline);
    read.cause = "no memory to decode it";
    if (!copies) co_return read;
    bytes = co_await ReadFurtherRows(id, std::move(rows));
    read.cause = "store did not answer";
    if (absl::IsUnavailable(bytes.status())) co_return read;
    if (bytes.ok()) read.turn = Decode(id, *bytes);
  }
  read.cause = "row can't be decoded";
  if (read.turn == nullptr) {
    kLog.Error("A stored turn cannot be decoded.",
               {{"turn", id}, {"error", bytes.status().ToString()}});
    co_return read;
  }
  AddToCache(read.turn);
  read.outcome = HistoryOutcome::kFound;
  co_return read;
}

Task<History> Turns::HistoryOf(std::string previous, std::string workspace,
                               HeldBytes& held, Ms deadline) {
  History history;
  std::vector<TurnPtr> chain;
  bool is_whole = false;
  while (!is_whole && chain.size() < kMaxChainTurns) {
    const TurnRead read = co_await Read(previous, deadline);
    const bool named = chain.empty();
    if (read.outcome == HistoryOutcome::kNotFound && !named) {
      // A loss of data, not the caller's error.
      kLog.Error("A stored chain lacks a turn.",
                 {{"turn", previous}, {"continued_by", chain.back()->id}});
      history.cause = "chain lacks a turn";
      co_return history;
    }
    history.outcome = read.outcome;
    history.cause = read.cause;
    if (read.outcome != HistoryOutcome::kFound) co_return history;
    const TurnPtr& turn = read.turn;
    if (turn->workspace != workspace || (named && turn->is_section)) {
      history.outcome = HistoryOutcome::kNotFound;
      history.cause =
          turn->is_section ? "a section" : "turn of another workspace";
      co_return history;
    }
    if (turn->lacks_start) {
      history.outcome = HistoryOutcome::kIncomplete;
      co_return history;
    }
    const size_t bytes = TextBytes(*turn);
    if (!MayHold(memory_.state(), bytes)) {
      history.outcome = HistoryOutcome::kNoRoom;
      co_return history;
    }
    held.Set(held.bytes() + bytes);
    history.outcome = HistoryOutcome::kUnavailable;
    history.cause = "chain is too long";
    history.rows_until = named ? turn->rows_until
                               : std::min(history.rows_until, turn->rows_until);
    previous = turn->previous;
    is_whole = turn->history.has_value() || previous.empty();
    chain.push_back(turn);
  }
  if (!is_whole) co_return history;
  history.text.reserve(std::accumulate(
      chain.begin(), chain.end(), size_t{0},
      [](size_t n, const TurnPtr& turn) { return n + TextBytes(*turn); }));
  while (!chain.empty()) {
    const Turn& turn = *chain.back();
    if (turn.history.has_value()) history.text += *turn.history;
    history.text += turn.input;
    history.text += turn.output;
    chain.pop_back();
  }
  history.outcome = HistoryOutcome::kFound;
  co_return history;
}

bool Turns::OutlivesChain(Ms chain_until, Ms ttl) const {
  return store_.StoreNow() + ttl > chain_until;
}

Task<bool> Turns::Save(FinishedTurn finished, Ms ttl, Ms deadline) {
  auto turn = std::make_shared<Turn>();
  turn->id = std::move(finished.id);
  turn->workspace = std::move(finished.workspace);
  turn->previous = std::move(finished.previous);
  turn->output = std::move(finished.output);
  turn->rows_until = store_.StoreNow() + ttl * kRowsStay;
  const std::string_view text = *finished.text;
  // The output is bounded; the rest of the text goes before it.
  const size_t room =
      kMaxTextBytes - std::min(turn->output.size(), kMaxTextBytes);
  const bool has_sections = text.size() > room;
  const size_t history_bytes = finished.history_bytes.value_or(0);
  if (has_sections && finished.history_bytes.has_value()) {
    turn->previous.clear();
  }
  // Sections first: a turn that is stored is complete.
  size_t at = 0;
  for (size_t number = 0; text.size() - at > room; ++number) {
    const size_t n = std::min(kMaxTextBytes, text.size() - at);
    const WeightedSemaphore::Permit copies =
        co_await AcquireCopies(n, deadline);
    if (!copies) co_return false;
    auto section = std::make_shared<Turn>();
    section->id = turn->id + "^" + std::to_string(number);
    section->workspace = turn->workspace;
    section->previous = turn->previous;
    section->input = text.substr(at, n);
    section->is_section = true;
    section->rows_until = turn->rows_until;
    turn->previous = section->id;
    at += n;
    const bool kept = co_await SaveRows(std::move(section), deadline);
    if (!kept) co_return false;
  }
  const WeightedSemaphore::Permit copies =
      co_await AcquireCopies(text.size() - at + turn->output.size(), deadline);
  if (!copies) co_return false;
  if (!has_sections && finished.history_bytes.has_value()) {
    turn->history = text.substr(0, history_bytes);
    at = history_bytes;
  }
  turn->input = text.substr(at);
  co_return co_await SaveRows(std::move(turn), deadline);
}

Commit Turns::CommitOf(const Turn& turn) const {
  std::string bytes = Encode(turn);
  Commit commit;
  const size_t pieces = bytes.size() / row_bytes_ + 1;
  commit.conditions.reserve(pieces);
  commit.writes.reserve(pieces);
  for (size_t at = 0, piece = 0; at < bytes.size(); at += row_bytes_, ++piece) {
    const RowKey key = KeyOf(turn.id, piece);
    commit.conditions.push_back({key, 0});
    commit.writes.push_back({key, bytes.substr(at, row_bytes_)});
  }
  return commit;
}

Task<bool> Turns::SaveRows(TurnPtr turn, Ms deadline) {
  const Commit commit = CommitOf(*turn);
  StoreAnswer answer;
  while (true) {
    answer = co_await store_.Apply(commit);
    if (answer.outcome == StoreOutcome::kDone) break;
    if (answer.outcome == StoreOutcome::kConflict) {
      if (HoldsAll(answer.rows, commit.writes)) break;
      kLog.Error("A different turn is already stored under this id.",
                 {{"turn", turn->id}});
      co_return false;
    }
    if (answer.outcome == StoreOutcome::kRejected || clock_.Now() >= deadline) {
      kLog.Warning("Failed to store a turn.",
                   {{"turn", turn->id}, {"bytes", TextBytes(*turn)}});
      co_return false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             ToChrono(kRetryPause));
    NetErrorCode ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  for (const RowWrite& write : commit.writes) {
    expiring_.push_back(
        {turn->rows_until + kRemovalMargin, write.key, answer.version});
  }
  AddToCache(std::move(turn));
  co_return true;
}

Task<void> Turns::RemoveExpired() {
  constexpr size_t kMaxRemovals = 10;
  for (size_t i = 0; i < kMaxRemovals && !expiring_.empty(); ++i) {
    if (expiring_.front().at > store_.StoreNow()) break;
    Commit commit;
    commit.conditions.push_back(
        {expiring_.front().key, expiring_.front().version});
    commit.removals.push_back(expiring_.front().key);
    const StoreAnswer answer = co_await store_.Apply(commit);
    if (answer.outcome == StoreOutcome::kNotDone) break;
    expiring_.pop_front();
  }
}

}  // namespace knapweed::gateway

#include "knapweed/gateway/turns.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
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

RowKey KeyOf(const std::string& id, size_t piece) {
  RowKey key{kTable, kPartPrefix + std::to_string(HashBytes(id) % kParts), id};
  if (piece > 0) key.key += "~" + std::to_string(piece);
  return key;
}

/// The value starts with the time until which the turn is kept (decimal ms on
/// the store's clock) and a line feed, so that the expiry of a turn with
/// several pieces can be read from its first one.
std::string Encode(const Turn& turn, Ms until) {
  const auto bytes = [](const std::string& text) {
    return nlohmann::json::binary({text.begin(), text.end()});
  };
  const nlohmann::json json = {{"workspace", turn.workspace},
                               {"previous", turn.previous},
                               {"input", bytes(turn.input)},
                               {"output", bytes(turn.output)}};
  std::string out;
  nlohmann::json::to_cbor(json, out);
  return std::to_string(until.count) + '\n' + out;
}

std::string BytesOf(const nlohmann::json& json, const char* name) {
  const nlohmann::json& value = json.at(name);
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::optional<Ms> ExpiresAt(std::string_view value, Ms /*retention*/) {
  const size_t end = value.find('\n');
  Ms until;
  const bool readable = end != std::string_view::npos &&
                        ParseNumber(value.substr(0, end), &until.count);
  if (!readable) return std::nullopt;
  return until + kRemovalMargin;
}

TurnPtr Decode(const std::string& id, std::string_view bytes) {
  bytes.remove_prefix(std::min(bytes.find('\n') + 1, bytes.size()));
  const nlohmann::json json =
      nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!json.is_object() || !json.contains("input") ||
      !json["input"].is_binary() || !json.contains("output") ||
      !json["output"].is_binary()) {
    return nullptr;
  }
  auto turn = std::make_shared<Turn>();
  turn->id = id;
  turn->workspace = json.value("workspace", "");
  turn->previous = json.value("previous", "");
  turn->input = BytesOf(json, "input");
  turn->output = BytesOf(json, "output");
  return turn;
}

size_t SizeOf(const Turn& turn) {
  return turn.input.size() + turn.output.size() + turn.id.size() + 200;
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

Task<StoreAnswer> Turns::ReadRows(const std::string& id) {
  RowRange range;
  const RowKey key = KeyOf(id, 0);
  range.table = key.table;
  range.part = key.part;
  range.from = key.key;
  // Further pieces of a long turn follow under "ID~N".
  range.to = key.key + "~~";
  co_return co_await store_.Read(range);
}

Task<History> Turns::HistoryOf(std::string previous, std::string workspace) {
  History history;
  std::vector<TurnPtr> chain;
  while (!previous.empty() && chain.size() < kMaxChainTurns) {
    TurnPtr turn = FindInCache(previous);
    if (turn == nullptr) {
      const StoreAnswer answer = co_await ReadRows(previous);
      if (answer.outcome != StoreOutcome::kDone || answer.more) {
        co_return history;
      }
      std::string bytes;
      for (const Row& row : answer.rows) {
        const bool ours =
            row.key.key == previous || row.key.key.starts_with(previous + "~");
        if (ours) bytes += row.value;
      }
      if (bytes.empty()) {
        // An unknown `previous` is the caller's error. A missing earlier turn
        // of an existing chain is a loss of data and reported as unavailable.
        if (chain.empty()) history.outcome = HistoryOutcome::kNotFound;
        co_return history;
      }
      turn = Decode(previous, bytes);
      if (turn == nullptr) {
        kLog.Error("A stored turn cannot be decoded.", {{"turn", previous}});
        co_return history;
      }
      AddToCache(turn);
    }
    if (turn->workspace != workspace) {
      history.outcome = HistoryOutcome::kNotFound;
      co_return history;
    }
    previous = turn->previous;
    chain.push_back(std::move(turn));
  }
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
    history.text += (*it)->input;
    history.text += (*it)->output;
  }
  history.outcome = HistoryOutcome::kFound;
  co_return history;
}

Task<bool> Turns::Save(TurnPtr turn, Ms ttl, Ms deadline) {
  const std::string bytes = Encode(*turn, store_.StoreNow() + ttl);
  Commit commit;
  for (size_t at = 0, piece = 0; at < bytes.size(); at += row_bytes_, ++piece) {
    const RowKey key = KeyOf(turn->id, piece);
    commit.conditions.push_back({key, 0});
    commit.writes.push_back({key, bytes.substr(at, row_bytes_)});
  }
  StoreAnswer answer;
  while (true) {
    answer = co_await store_.Apply(commit);
    if (answer.outcome == StoreOutcome::kDone) break;
    if (answer.outcome == StoreOutcome::kConflict) {
      // If the rows are the same, an earlier attempt was committed although its
      // answer was lost.
      const bool ours =
          !answer.rows.empty() &&
          std::all_of(
              answer.rows.begin(), answer.rows.end(), [&](const Row& row) {
                return std::any_of(commit.writes.begin(), commit.writes.end(),
                                   [&](const RowWrite& write) {
                                     return write.key == row.key &&
                                            write.value == row.value;
                                   });
              });
      if (ours) break;
      kLog.Error("A different turn is already stored under this id.",
                 {{"turn", turn->id}});
      co_return false;
    }
    if (answer.outcome == StoreOutcome::kRejected || clock_.Now() >= deadline) {
      kLog.Warning("Failed to store a turn.", {{"turn", turn->id}});
      co_return false;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             ToChrono(kRetryPause));
    NetErrorCode ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  for (const RowWrite& write : commit.writes) {
    expiring_.push_back(
        {clock_.Now() + ttl + kRemovalMargin, write.key, answer.version});
  }
  AddToCache(std::move(turn));
  co_return true;
}

Task<void> Turns::RemoveExpired() {
  constexpr size_t kMaxRemovals = 10;
  for (size_t i = 0; i < kMaxRemovals && !expiring_.empty(); ++i) {
    if (expiring_.front().at > clock_.Now()) break;
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

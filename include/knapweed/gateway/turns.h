#ifndef KNAPWEED_GATEWAY_TURNS_H_
#define KNAPWEED_GATEWAY_TURNS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Turns whose text is kept, so that later turns bring only what is new. One
/// set of rows per turn in the store, under the turn's id; a bounded cache of
/// them here.
namespace knapweed::gateway {

/// One kept turn. Both texts are bytes.
struct Turn {
  std::string id;
  std::string workspace;
  /// Empty at the start of a line.
  std::string previous;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;
};
using TurnPtr = std::shared_ptr<const Turn>;

enum class HistoryOutcome : uint8_t { kFound, kNotFound, kUnavailable };

/// The text of a line of turns, oldest first.
struct History {
  HistoryOutcome outcome = HistoryOutcome::kUnavailable;
  std::string text;
};

/// The table of kept turns, for the sweeper.
SweptTable TurnTable();

class Turns {
 public:
  /// `row_bytes` is the most that one row of the store holds.
  Turns(const Clock& clock, Store& store, size_t row_bytes)
      : clock_(clock), store_(store), row_bytes_(row_bytes) {}

  /// What stands before a turn that continues from `previous`. Only turns of
  /// `workspace` are found.
  Task<History> HistoryOf(std::string previous, std::string workspace);
  /// Keeps a turn that ended. False when the store did not confirm it in time.
  Task<bool> Save(TurnPtr turn, Ms ttl, Ms deadline);
  /// Removes rows whose time is over from the store; call it regularly.
  Task<void> RemoveExpired();

 private:
  struct Cached {
    TurnPtr turn;
    std::list<std::string>::iterator lru_position;
  };
  struct Expiring {
    Ms at;
    RowKey key;
    uint64_t version = 0;
  };

  TurnPtr FindInCache(const std::string& id);
  void AddToCache(TurnPtr turn);
  Task<StoreAnswer> ReadRows(const std::string& id);

  const Clock& clock_;
  Store& store_;
  size_t row_bytes_;
  std::map<std::string, Cached> cache_;
  /// Most recently used first.
  std::list<std::string> lru_;
  size_t cached_bytes_ = 0;
  std::list<Expiring> expiring_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_TURNS_H_

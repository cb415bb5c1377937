#ifndef KNAPWEED_GATEWAY_TURNS_H_
#define KNAPWEED_GATEWAY_TURNS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Stores the text of turns, so that later turns send only what is new. Each
/// turn is a set of rows in the store under the turn's id; a bounded cache
/// holds recently used turns in memory.
namespace knapweed::gateway {

/// One stored turn. `input` and `output` are byte strings.
struct Turn {
  std::string id;
  std::string workspace;
  /// Id of the turn that this one continues; empty for the first of a chain.
  std::string previous;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;
};
using TurnPtr = std::shared_ptr<const Turn>;

/// `kUnavailable`: the store did not answer, or the chain is damaged.
enum class HistoryOutcome : uint8_t { kFound, kNotFound, kUnavailable };

/// The text of a chain of turns, oldest first.
struct History {
  HistoryOutcome outcome = HistoryOutcome::kUnavailable;
  std::string text;
};

/// Describes the table of stored turns to `RowSweeper`.
SweptTable TurnTable();

/// Reads and writes stored turns for one gateway.
class Turns {
 public:
  /// `row_bytes` is the maximum size of a row's value in the store.
  Turns(const Clock& clock, Store& store, size_t row_bytes)
      : clock_(clock), store_(store), row_bytes_(row_bytes) {}

  /// Returns the text of the chain that ends with the turn `previous`. Turns of
  /// other workspaces are reported as `kNotFound`.
  Task<History> HistoryOf(std::string previous, std::string workspace);
  /// Stores a finished turn for `ttl`. Returns false when the id is taken, the
  /// store rejects the turn or does not confirm it by `deadline`.
  Task<bool> Save(TurnPtr turn, Ms ttl, Ms deadline);
  /// Removes expired rows that this process wrote. Must be called periodically.
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
  /// Ids of the cached turns, most recently used first.
  std::list<std::string> lru_;
  size_t cached_bytes_ = 0;
  std::list<Expiring> expiring_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_TURNS_H_

#ifndef KNAPWEED_GATEWAY_TURNS_H_
#define KNAPWEED_GATEWAY_TURNS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/gateway/held_memory.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"
#include "knapweed/gateway/weighted_semaphore.h"

/// Stores the text of turns, so that later turns send only what is new. Each
/// turn is a set of rows in the store under the turn's id; a bounded cache
/// holds recently used turns in memory.
///
/// A turn is kept together with its chain. Rows are never prolonged: they stay
/// for twice the time for which a turn is kept, and a turn that must outlive a
/// row of its chain stores the whole text of its chain itself. So a row may go
/// as soon as its own time is over, whoever removes it, and a chain is copied
/// once in the time for which a turn is kept.
namespace knapweed::gateway {

/// One stored turn. `input` and `output` are byte strings.
struct Turn {
  std::string id;
  std::string workspace;
  /// Id of the turn that this one continues; empty for the first of a chain.
  std::string previous;
  /// The text of all turns before it, if it does not rely on their rows.
  std::optional<std::string> history;
  std::string input;
  /// The data of each event, followed by a line feed.
  std::string output;
  /// A process of an earlier build has stored it without the start of its
  /// output, and no turn can continue it.
  bool lacks_start = false;
  /// It holds a part of the text of a turn that is too long for one commit, and
  /// is no turn that a caller can name.
  bool is_section = false;
  /// Its rows stay in the store until then, on the store's clock.
  Ms rows_until;
};
using TurnPtr = std::shared_ptr<const Turn>;

/// A turn that has ended and is to be stored. It shares its text with the call
/// that ran it.
struct FinishedTurn {
  std::string id;
  std::string workspace;
  /// Id of the turn that this one continues; empty for the first of a chain.
  std::string previous;
  /// The input, behind the text of all turns before it if `history_bytes` is
  /// set.
  std::shared_ptr<const std::string> text;
  /// Size of the text of all turns before it; unset if the turn relies on their
  /// rows.
  std::optional<size_t> history_bytes;
  /// The data of each event, followed by a line feed.
  std::string output;
};

/// `kUnavailable`: the store did not answer, or the chain is damaged.
/// `kIncomplete`: a turn of the chain lacks the start of its output.
/// `kNoRoom`: there is no memory for its text.
enum class HistoryOutcome : uint8_t {
  kFound,
  kNotFound,
  kUnavailable,
  kIncomplete,
  kNoRoom,
};

/// The text of a chain of turns, oldest first.
struct History {
  HistoryOutcome outcome = HistoryOutcome::kUnavailable;
  /// Why it was not found, or can't be read; for the log.
  std::string_view cause = "chain is too long";
  std::string text;
  /// All rows of the chain stay in the store until then, on the store's clock.
  Ms rows_until;
};

/// Returns the bytes of a stored turn from its rows, in the order of their
/// numbers. `rows` may hold those of other turns. Returns NotFound if there is
/// none, DataLoss if one is missing or doubled.
absl::StatusOr<std::string> JoinRows(const std::string& id,
                                     std::span<const Row> rows);

/// Describes the table of stored turns to `RowSweeper`.
SweptTable TurnTable();

/// Reads and writes stored turns for one gateway.
class Turns {
 public:
  /// `row_bytes` is the maximum size of a row's value in the store.
  Turns(asio::io_context& loop, const Clock& clock, Store& store,
        const HeldMemory& memory, size_t row_bytes)
      : clock_(clock),
        store_(store),
        memory_(memory),
        row_bytes_(row_bytes),
        copies_(loop, memory.copies_limit_bytes()) {}

  /// Returns the text of the chain that ends with the turn `previous`. Turns of
  /// other workspaces are reported as `kNotFound`. Counts the text in `held` as
  /// it is read, and gives up once it does not fit. Waits until `deadline` at
  /// most for the memory to decode long turns.
  Task<History> HistoryOf(std::string previous, std::string workspace,
                          HeldBytes& held, Ms deadline);
  /// Returns whether a turn that ends now and is kept for `ttl` outlives rows
  /// of its chain, which stay until `chain_until`. Its `history` must then be
  /// set.
  bool OutlivesChain(Ms chain_until, Ms ttl) const;
  /// Stores a finished turn so that it is kept for `ttl`. Returns false when
  /// the id is taken, the store rejects the turn or does not confirm it by
  /// `deadline`.
  Task<bool> Save(FinishedTurn turn, Ms ttl, Ms deadline);
  /// Returns the bytes set aside for copies of turns that are being stored or
  /// decoded, now and at most so far.
  uint64_t copies_bytes() const { return copies_.used(); }
  uint64_t copies_peak_bytes() const { return copies_.peak_used(); }
  /// Removes expired rows that this process wrote. Must be called periodically.
  Task<void> RemoveExpired();

 private:
  struct Cached {
    TurnPtr turn;
    std::list<std::string>::iterator lru_position;
  };
  struct TurnRead {
    HistoryOutcome outcome = HistoryOutcome::kUnavailable;
    std::string_view cause;
    TurnPtr turn;
  };
  /// `kInPart`: the store answered, but the range may hold further rows.
  enum class RowsRead : uint8_t { kWhole, kInPart, kFailed };
  struct Expiring {
    /// On the store's clock.
    Ms at;
    RowKey key;
    uint64_t version = 0;
  };

  TurnPtr FindInCache(const std::string& id);
  void AddToCache(TurnPtr turn);
  /// Adds the rows of a range to `rows`.
  Task<RowsRead> ReadRows(RowRange range, std::vector<Row>* rows);
  /// Reads a turn from the cache or the store.
  Task<TurnRead> Read(std::string id, Ms deadline);
  /// Reads the rows of a turn of which `rows` holds the first.
  Task<absl::StatusOr<std::string>> ReadFurtherRows(std::string id,
                                                    std::vector<Row> rows);
  /// Waits until copies of so much text fit in memory.
  Task<WeightedSemaphore::Permit> AcquireCopies(size_t text_bytes, Ms deadline);
  /// Returns the commit that writes the rows of a turn or section.
  Commit CommitOf(const Turn& turn) const;
  /// Stores one turn or section, whose rows fit in one commit.
  Task<bool> SaveRows(TurnPtr turn, Ms deadline);

  const Clock& clock_;
  Store& store_;
  const HeldMemory& memory_;
  size_t row_bytes_;
  /// Bytes of the copies of turns that are being stored or decoded.
  WeightedSemaphore copies_;
  std::map<std::string, Cached> cache_;
  /// Ids of the cached turns, most recently used first.
  std::list<std::string> lru_;
  size_t cached_bytes_ = 0;
  std::list<Expiring> expiring_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_TURNS_H_

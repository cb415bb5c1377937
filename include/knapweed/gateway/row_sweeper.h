#ifndef KNAPWEED_GATEWAY_ROW_SWEEPER_H_
#define KNAPWEED_GATEWAY_ROW_SWEEPER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "knapweed/gateway/call_runner.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Removes expired rows of budgets and stored turns. The store has no expiry of
/// its own, and a gateway that crashes leaves its rows behind, so each gateway
/// periodically scans a part of a table.
namespace knapweed::gateway {

/// Whether the rows of a part have expired, by key, as far as it was swept.
/// Those of further pieces are left out.
using SweptKeys = std::map<std::string, bool, std::less<>>;

/// Returns those of `rows` (in key order) that have expired at `now`. A row
/// with the key "KEY~N" is a further piece of the row "KEY" and expires with
/// that one. `swept` holds the keys of earlier pages of the part; those of
/// `rows` are added.
std::vector<const Row*> ExpiredRows(const SweptTable& table,
                                    std::span<const Row> rows, Ms now,
                                    Ms retention, SweptKeys& swept);

/// A background task of the gateway that sweeps the given tables.
class RowSweeper {
 public:
  RowSweeper(asio::io_context& loop, Store& store, const FleetView& view,
             std::vector<SweptTable> tables);

  /// Sweeps a random part of one table per interval, alternating between the
  /// tables. Does not return.
  Task<void> Run();
  /// Removes the expired rows of one part. Returns the number of rows removed.
  Task<size_t> SweepPart(const SweptTable& table, uint64_t part);

 private:
  Ms Retention() const;
  Task<size_t> Remove(const std::vector<const Row*>& rows);

  asio::io_context& loop_;
  Store& store_;
  const FleetView& view_;
  std::vector<SweptTable> tables_;
  std::mt19937_64 random_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_ROW_SWEEPER_H_

#ifndef KNAPWEED_GATEWAY_ROW_SWEEPER_H_
#define KNAPWEED_GATEWAY_ROW_SWEEPER_H_

#include <cstddef>
#include <random>
#include <span>
#include <vector>

#include "knapweed/gateway/call_runner.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Removes expired rows of budgets and stored turns. The store has no expiry of
/// its own, and a gateway that crashes leaves its rows behind, so each gateway
/// periodically scans a part of a table.
namespace knapweed::gateway {

/// Returns those of `rows` (in key order) that have expired at `now`. A row
/// with the key "KEY~N" is a further piece of the row "KEY" before it and
/// expires with that one.
std::vector<const Row*> ExpiredRows(const SweptTable& table,
                                    std::span<const Row> rows, Ms now,
                                    Ms retention);

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

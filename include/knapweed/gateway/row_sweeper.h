#ifndef KNAPWEED_GATEWAY_ROW_SWEEPER_H_
#define KNAPWEED_GATEWAY_ROW_SWEEPER_H_

#include <cstddef>
#include <random>
#include <span>
#include <vector>

#include "knapweed/gateway/call_runner.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Removes rows of budgets and kept turns whose time is over. The store forgets
/// nothing by itself, and a gateway that dies leaves its rows behind, so each
/// gateway looks through a part of the tables now and then.
namespace knapweed::gateway {

/// Chooses the rows that may be removed at `now`. A row under "KEY~N" is a
/// further piece of the row under "KEY" before it and goes with that.
std::vector<const Row*> ExpiredRows(const SweptTable& table,
                                    std::span<const Row> rows, Ms now,
                                    Ms retention);

class RowSweeper {
 public:
  RowSweeper(asio::io_context& loop, Store& store, const FleetView& view,
             std::vector<SweptTable> tables);

  /// Sweeps one part after another until the process ends.
  Task<void> Run();
  /// Looks through one part. Returns the number of rows removed.
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

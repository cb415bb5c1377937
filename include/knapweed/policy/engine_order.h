#ifndef KNAPWEED_POLICY_ENGINE_ORDER_H_
#define KNAPWEED_POLICY_ENGINE_ORDER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"

namespace knapweed {

/// An engine as the owner of its row sees it. `model` is the model that it
/// serves or is loading.
struct EngineState {
  uint32_t index = 0;
  uint32_t model = 0;
  bool usable = true;
  bool loading = false;
  /// When it last changed its model.
  Ms changed_at;
  /// Share of its capacity in use.
  double load = 0;
  /// Epoch of the row; zero when this process doesn't own it.
  Epoch epoch;
};

/// Demand for a model in engines: work asked for divided by the work that one
/// engine does.
struct ModelDemand {
  uint32_t model = 0;
  double engines = 0;
  uint64_t weight_bytes = 0;
};

/// The weight store, shared by all loads of the fleet. A load must wait until
/// `free_at`.
struct WeightStore {
  double bytes_per_s = 1;
  Ms free_at;
};

struct EngineOrder {
  uint32_t engine = 0;
  uint32_t model = 0;
  Epoch epoch;
};

/// Constants of engine orders.
struct EngineOrderOptions {
  /// Load at which an engine counts as full.
  double target_load = 0.8;
  /// An engine keeps a model for this long at least.
  Ms min_residency{120000};
};

/// The next order that should be given, or none: the model that is shortest of
/// engines gets the least loaded engine of the model that can best spare one.
/// Takes the load's time from the weight store.
std::optional<EngineOrder> ChooseEngineOrder(
    std::span<const EngineState> engines, std::span<const ModelDemand> demands,
    WeightStore& store, Ms now, const EngineOrderOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_ENGINE_ORDER_H_

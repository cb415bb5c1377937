#ifndef KNAPWEED_POLICY_ENGINE_ORDER_H_
#define KNAPWEED_POLICY_ENGINE_ORDER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"

namespace knapweed {

/// The state of an engine, as stored in its row. `model` is the model that the
/// engine serves or is loading.
struct EngineState {
  uint32_t index = 0;
  uint32_t model = 0;
  bool usable = true;
  bool loading = false;
  /// When the engine last changed its model.
  Ms changed_at;
  /// Share of the engine's capacity that is in use.
  double load = 0;
  /// Epoch of the row; zero when this process does not own the row.
  Epoch epoch;
};

/// Demand for a model. `engines` is the offered work divided by the work that
/// one engine can do.
struct ModelDemand {
  uint32_t model = 0;
  double engines = 0;
  uint64_t weight_bytes = 0;
};

/// The store from which all engines of the fleet load model weights. It serves
/// one load at a time; the next one must wait until `free_at`.
struct WeightStore {
  double bytes_per_s = 1;
  Ms free_at;
};

/// An order to an engine to load another model. `epoch` is that of the engine's
/// row.
struct EngineOrder {
  uint32_t engine = 0;
  uint32_t model = 0;
  Epoch epoch;
};

/// Parameters of engine orders.
struct EngineOrderOptions {
  /// Load at which an engine counts as fully used.
  double target_load = 0.8;
  /// Minimum time for which an engine keeps a model.
  Ms min_residency{120000};
};

/// Returns the next order to give, or none. The model with the largest shortage
/// of engines gets an engine from the model with the most to spare, the least
/// loaded one of that model. Reserves the load time at the weight store.
std::optional<EngineOrder> ChooseEngineOrder(
    std::span<const EngineState> engines, std::span<const ModelDemand> demands,
    WeightStore& store, Ms now, const EngineOrderOptions& options = {});

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_ENGINE_ORDER_H_

#include "knapweed/policy/engine_order.h"

#include <cmath>

namespace knapweed {
namespace {

uint32_t CountEngines(std::span<const EngineState> engines, uint32_t model) {
  uint32_t n = 0;
  for (const EngineState& it : engines) {
    if (it.usable && it.model == model) ++n;
  }
  return n;
}

/// Returns the engines that a model has beyond its demand; negative when it has
/// too few.
double SpareEngines(std::span<const EngineState> engines,
                    const ModelDemand& demand,
                    const EngineOrderOptions& options) {
  return CountEngines(engines, demand.model) -
         demand.engines / options.target_load;
}

bool CanChange(const EngineState& engine, Ms now,
               const EngineOrderOptions& options) {
  return engine.usable && !engine.loading && engine.epoch.n > 0 &&
         now - engine.changed_at >= options.min_residency;
}

const ModelDemand* MostUndersupplied(std::span<const EngineState> engines,
                                     std::span<const ModelDemand> demands,
                                     const EngineOrderOptions& options) {
  const ModelDemand* undersupplied = nullptr;
  double least = 0;
  for (const ModelDemand& it : demands) {
    const double spare = SpareEngines(engines, it, options);
    if (spare >= least) continue;
    least = spare;
    undersupplied = &it;
  }
  return undersupplied;
}

/// Returns the spare engines of a model; all of its engines when there is no
/// demand for it.
double SpareOfModel(std::span<const EngineState> engines,
                    std::span<const ModelDemand> demands, uint32_t model,
                    const EngineOrderOptions& options) {
  for (const ModelDemand& it : demands) {
    if (it.model == model) return SpareEngines(engines, it, options);
  }
  return CountEngines(engines, model);
}

const EngineState* ChooseDonor(std::span<const EngineState> engines,
                               std::span<const ModelDemand> demands, Ms now,
                               const EngineOrderOptions& options) {
  const EngineState* best = nullptr;
  double best_spare = 0;
  for (const EngineState& it : engines) {
    if (!CanChange(it, now, options)) continue;
    const double spare = SpareOfModel(engines, demands, it.model, options);
    // Moving an engine away must not leave its model short.
    if (spare < 1) continue;
    const bool better = best == nullptr || spare > best_spare ||
                        (spare == best_spare && it.load < best->load);
    if (!better) continue;
    best = &it;
    best_spare = spare;
  }
  return best;
}

}  // namespace

std::optional<EngineOrder> ChooseEngineOrder(
    std::span<const EngineState> engines, std::span<const ModelDemand> demands,
    WeightStore& store, Ms now, const EngineOrderOptions& options) {
  if (now < store.free_at) return std::nullopt;
  const ModelDemand* undersupplied =
      MostUndersupplied(engines, demands, options);
  if (undersupplied == nullptr) return std::nullopt;
  const EngineState* engine = ChooseDonor(engines, demands, now, options);
  if (engine == nullptr) return std::nullopt;
  const double load_s =
      static_cast<double>(undersupplied->weight_bytes) / store.bytes_per_s;
  store.free_at = now + Ms{std::llround(load_s * 1000)};
  return EngineOrder{engine->index, undersupplied->model, engine->epoch};
}

}  // namespace knapweed

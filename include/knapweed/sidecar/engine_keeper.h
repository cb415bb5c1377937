#ifndef KNAPWEED_SIDECAR_ENGINE_KEEPER_H_
#define KNAPWEED_SIDECAR_ENGINE_KEEPER_H_

#include <functional>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "knapweed/base/ids.h"
#include "knapweed/sidecar/pin_table.h"
#include "knapweed/sidecar/task_thread.h"
#include "knapweed/sidecar/upstream_call.h"

namespace knapweed {

/// Monitors a model engine and manages the caches pinned at it. Detects when
/// the engine fails and when it is reachable again, and releases each hold (the
/// engine's term for a pinned cache) when its lease expires. Cancels, holds and
/// releases are sent to the engine in order on a background thread. Owned by
/// Sidecar. Thread-safe.
class EngineKeeper {
 public:
  /// `found_pin_lease` is the lease of holds found at the engine that this
  /// sidecar did not make. `on_up_change` is called when the engine becomes
  /// unreachable or reachable again.
  EngineKeeper(const Address& engine, Ms found_pin_lease,
               std::function<void(bool up)> on_up_change);

  /// Identifies the engine's current run.
  std::string Generation() const;
  /// Whether the engine has failed or restarted since Generation() returned
  /// `generation`. Sends a request to the engine; blocks.
  bool FailedSince(const std::string& generation);

  /// Cancels an attempt at the engine. Does not block.
  void Cancel(const AttemptId& attempt);
  /// Pins the cache of an attempt that ended, for the time of the lease. Does
  /// not block.
  void Hold(const std::string& hold, const AttemptId& attempt, Ms lease);
  /// Extends leases and releases holds. Does not block.
  void Renew(const wire::PinRenewalT& renewal);
  /// Releases every hold, for a drain. Blocks.
  void ReleaseAll();
  nlohmann::json ToJson() const;

 private:
  /// Reads the engine's state and applies it: a failure, a recovery, or a
  /// restart and the holds found after it.
  void Probe();
  /// Probes an unreachable engine, and releases the holds whose lease expired.
  void RunPeriodic();
  void SetUp(bool up);
  std::string GenerationLocked() const;
  /// For a new incarnation of the engine, replaces the known holds by those
  /// that the engine has.
  void ApplyStats(const EngineStats& stats);
  void Release(const std::string& hold);

  const Clock clock_ = Clock::Steady();
  const Ms found_pin_lease_;
  const std::function<void(bool)> on_up_change_;
  HttpClient engine_;
  // Held while probing, so that state changes are applied in order.
  std::mutex probe_mu_;
  mutable std::mutex mu_;
  std::string incarnation_;
  bool up_ = true;
  /// Times that the engine became unreachable.
  uint64_t failures_ = 0;
  PinTable pins_;
  // Declared last: its tasks use the members above.
  TaskThread tasks_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_ENGINE_KEEPER_H_

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

/// Looks after a model engine: notices that it died and when it is back, and
/// keeps its holds under leases. Its orders to the engine go out one after
/// another on a thread of its own. Safe from any thread.
class EngineKeeper {
 public:
  /// `on_up` is called when the engine went down or came back.
  EngineKeeper(const Address& engine, Ms found_pin_lease,
               std::function<void(bool up)> on_up_change);

  /// Names the engine's present life.
  std::string Generation() const;
  /// Whether that life has ended. Asks the engine. Blocks.
  bool FailedSince(const std::string& generation);

  void Cancel(const AttemptId& attempt);
  /// Holds the cache of an attempt that ended.
  void Hold(const std::string& hold, const AttemptId& attempt, Ms lease);
  void Renew(const wire::PinRenewalT& renewal);
  /// Releases every hold, for a planned stop. Blocks.
  void ReleaseAll();
  nlohmann::json ToJson() const;

 private:
  /// Reads the engine's state; notes a death, a return, and unknown holds.
  void Probe();
  void RunPeriodic();
  void SetUp(bool up);
  std::string GenerationLocked() const;
  void ApplyStats(const EngineStats& stats);
  void Release(const std::string& hold);

  const Clock clock_ = Clock::Steady();
  const Ms found_pin_lease_;
  const std::function<void(bool)> on_up_change_;
  HttpClient engine_;
  // Held while the engine is looked at, so that news arrive in order.
  std::mutex probe_mu_;
  mutable std::mutex mu_;
  std::string incarnation_;
  bool up_ = true;
  uint64_t failures_ = 0;
  PinTable pins_;
  // Last: its tasks use everything above.
  TaskThread tasks_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_ENGINE_KEEPER_H_

#include "knapweed/sidecar/engine_keeper.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("engine");
/// Interval of probes while the engine is unreachable and of checks for expired
/// leases, and delay before a failed release is retried.
constexpr Ms kMaintenanceInterval{200};

std::string Text(const absl::Status& status) {
  return absl::StrCat(status.message());
}

}  // namespace

EngineKeeper::EngineKeeper(const Address& engine, Ms found_pin_lease,
                           std::function<void(bool)> on_up_change)
    : found_pin_lease_(found_pin_lease),
      on_up_change_(std::move(on_up_change)),
      engine_(engine),
      tasks_(kMaintenanceInterval, [this] { RunPeriodic(); }) {
  tasks_.Post([this] { Probe(); });
}

std::string EngineKeeper::Generation() const {
  const std::lock_guard lock(mu_);
  return GenerationLocked();
}

// Counts failures as well, because an engine process may restart with its old
// incarnation.
std::string EngineKeeper::GenerationLocked() const {
  return absl::StrCat(incarnation_, "/", failures_);
}

bool EngineKeeper::FailedSince(const std::string& generation) {
  Probe();
  const std::lock_guard lock(mu_);
  return !up_ || GenerationLocked() != generation;
}

void EngineKeeper::Probe() {
  const std::lock_guard probe_lock(probe_mu_);
  const absl::StatusOr<EngineStats> stats = ReadEngineStats(engine_);
  if (stats.ok()) ApplyStats(*stats);
  SetUp(stats.ok());
}

void EngineKeeper::SetUp(bool up) {
  {
    const std::lock_guard lock(mu_);
    if (up_ == up) return;
    up_ = up;
    if (!up) {
      ++failures_;
      incarnation_.clear();
      pins_.Clear();
    }
  }
  if (up) {
    kLog.Info("The engine is reachable again.");
  } else {
    kLog.Warning("The engine is unreachable.");
  }
  on_up_change_(up);
}

// Holds that this process did not make are left from an earlier run of the
// sidecar, and no other process releases them.
void EngineKeeper::ApplyStats(const EngineStats& stats) {
  const std::lock_guard lock(mu_);
  if (incarnation_ == stats.incarnation) return;
  if (!incarnation_.empty()) {
    kLog.Warning("The engine was restarted.",
                 {{"incarnation", stats.incarnation}});
  }
  incarnation_ = stats.incarnation;
  pins_.Clear();
  for (const std::string& hold : stats.holds) {
    pins_.Add(hold, clock_.Now() + found_pin_lease_);
  }
}

void EngineKeeper::RunPeriodic() {
  std::vector<std::string> expired;
  bool probe = false;
  {
    const std::lock_guard lock(mu_);
    probe = !up_;
    if (up_) expired = pins_.TakeExpired(clock_.Now());
  }
  if (probe) Probe();
  for (const std::string& hold : expired) Release(hold);
}

void EngineKeeper::Cancel(const AttemptId& attempt) {
  tasks_.Post([this, attempt] {
    const absl::Status status = CancelAtEngine(engine_, attempt.value);
    if (status.ok() || absl::IsNotFound(status)) return;
    kLog.Warning("Can't cancel a call at the engine.",
                 {{"attempt", attempt.value}, {"error", Text(status)}});
  });
}

void EngineKeeper::Hold(const std::string& hold, const AttemptId& attempt,
                        Ms lease) {
  const Ms lease_end = clock_.Now() + lease;
  tasks_.Post([this, hold, attempt, lease_end] {
    const absl::Status status = HoldCache(engine_, hold, attempt.value);
    if (status.ok()) {
      const std::lock_guard lock(mu_);
      pins_.Add(hold, lease_end);
      return;
    }
    kLog.Debug("Can't pin a program's cache at the engine.",
               {{"hold", hold}, {"error", Text(status)}});
  });
}

void EngineKeeper::Renew(const wire::PinRenewalT& renewal) {
  const Ms now = clock_.Now();
  std::vector<std::pair<std::string, Ms>> renewed;
  for (const auto& pin : renewal.pins) {
    renewed.emplace_back(HoldName(pin->program_hash), now + Ms{pin->lease_ms});
  }
  std::vector<std::string> released;
  for (const uint64_t hash : renewal.released) {
    released.push_back(HoldName(hash));
  }
  // Queued behind the holds, so that a release is never sent before its hold.
  tasks_.Post(
      [this, renewed = std::move(renewed), released = std::move(released)] {
        for (const auto& [hold, lease_end] : renewed) {
          const std::lock_guard lock(mu_);
          pins_.Renew(hold, lease_end);
        }
        for (const std::string& hold : released) {
          bool held = false;
          {
            const std::lock_guard lock(mu_);
            held = pins_.Remove(hold);
          }
          if (held) Release(hold);
        }
      });
}

void EngineKeeper::Release(const std::string& hold) {
  const absl::Status status = ReleaseCache(engine_, hold);
  if (status.ok() || absl::IsNotFound(status)) return;
  kLog.Warning("Can't release a program's cache at the engine; retrying.",
               {{"hold", hold}, {"error", Text(status)}});
  {
    const std::lock_guard lock(mu_);
    pins_.Add(hold, clock_.Now() + kMaintenanceInterval);
  }
  Probe();
}

void EngineKeeper::ReleaseAll() {
  tasks_.Post([this] {
    std::map<std::string, Ms> holds;
    {
      const std::lock_guard lock(mu_);
      holds = pins_.holds();
      pins_.Clear();
    }
    for (const auto& [hold, lease_end] : holds) Release(hold);
  });
  tasks_.Flush();
}

nlohmann::json EngineKeeper::ToJson() const {
  const std::lock_guard lock(mu_);
  nlohmann::json pins = nlohmann::json::array();
  for (const auto& [hold, lease_end] : pins_.holds()) {
    pins.push_back(
        {{"hold", hold}, {"lease_left_ms", (lease_end - clock_.Now()).count}});
  }
  return {{"incarnation", incarnation_},
          {"up", up_},
          {"deaths", failures_},
          {"pins", std::move(pins)}};
}

}  // namespace knapweed

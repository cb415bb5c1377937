#ifndef KNAPWEED_GATEWAY_CRASH_PROBES_H_
#define KNAPWEED_GATEWAY_CRASH_PROBES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "knapweed/gateway/net.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/swept_table.h"

/// Permission to run a quarantined request once more, as a probe: one that was
/// only running when upstreams crashed for another reason gets back into
/// service by it, one that does crash upstreams reaches few more. The probes of
/// a request are rows of the store that can be written once, so their number
/// holds for all gateways together; without the store there is no probe.
namespace knapweed::gateway {

/// Probes of one request while its quarantine lasts: fewer than the three runs
/// that the platform tolerates after the third crash.
inline constexpr size_t kMaxProbes = 2;
/// Time from the last crash until the first probe: until all gateways know of
/// the crash and the upstream is back.
inline constexpr Ms kFirstProbeAfter = Seconds(10);
/// Time between the probes.
inline constexpr Ms kProbeInterval = Seconds(60);

/// Describes the table of probes to `RowSweeper`.
SweptTable ProbeTable();

/// The calls to the store that `CrashProbes` needs.
struct ProbeStore {
  std::function<Task<StoreAnswer>(Commit)> write;
  std::function<bool()> reachable;
  /// The store's clock.
  std::function<Ms()> now;
};

/// Claims probes for one gateway. Not thread-safe.
class CrashProbes {
 public:
  CrashProbes(const Clock& clock, ProbeStore store)
      : clock_(clock), store_(std::move(store)) {}

  /// Returns whether a probe of a request may be claimed, as far as this
  /// gateway knows. `since_crash` is the time since its last known crash.
  bool IsDue(uint64_t digest, Ms since_crash) const;
  /// Claims a probe; returns false if another gateway has it or none is left.
  Task<bool> Claim(uint64_t digest);

 private:
  /// Makes no probe of the request due before `until`.
  void Postpone(uint64_t digest, Ms until);

  const Clock& clock_;
  ProbeStore store_;
  /// Requests of which no probe is to be had, and until when.
  absl::flat_hash_map<uint64_t, Ms> not_before_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CRASH_PROBES_H_

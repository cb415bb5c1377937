#ifndef KNAPWEED_GATEWAY_PERMIT_BOOK_H_
#define KNAPWEED_GATEWAY_PERMIT_BOOK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/rate_slots.h"
#include "knapweed/limits/permit_window.h"
#include "knapweed/policy/fleet_quota.h"

/// The permits that one gateway grants from the slots that it holds. One permit
/// allows one call to be sent to an upstream.
namespace knapweed::gateway {

/// Time within which a call has to be admitted by a permit, from the request
/// for it.
inline constexpr Ms kPermitTimeout{150};

/// Returns the time in which a call may be admitted by a permit and leave the
/// window: the window, the permit's time, and the rounding of two clocks.
Ms PermitSpan(const QuotaTolerance& tolerance);

/// Returns the most permits of a workspace in any `PermitSpan`: the calls that
/// the platform tolerates in a window.
size_t PermitsOf(const Workspace& workspace, const QuotaTolerance& tolerance);

/// A granted permit or a refusal.
struct PermitGrant {
  bool granted = false;
  /// This gateway may grant permits of the workspace at present.
  bool holds = false;
  uint64_t id = 0;
  /// Permits that are left here.
  size_t left = 0;
  /// Time until one is left; set when none was granted.
  Ms retry_after;
};

/// A holder grants no more than a quarter of a slot's part beyond what its last
/// confirmed announcement says, so that its next process knows how much that
/// can be after a kill. A holder whose announcement was not confirmed for
/// `kGrantAheadTime` may grant all; an announcement as old says too little, and
/// one is used up to `kMaxAnnouncedAge`: the estimates of the store's clock by
/// two processes of a gateway differ by less than the rest.
inline constexpr size_t kGrantAheadDivisor = 4;
inline constexpr Ms kGrantAheadTime{2500};
inline constexpr Ms kMaxAnnouncedAge{2000};

/// The permits granted per slot of a group, by workspace.
using GrantedBySlot =
    std::map<std::string, std::array<uint32_t, kSlotsPerGroup>>;

/// Counts the permits that this gateway grants. Not thread-safe.
class PermitBook {
 public:
  PermitBook(const Clock& clock, RateSlots& slots, QuotaTolerance tolerance);

  void SetTolerance(QuotaTolerance tolerance);
  /// Grants a permit of any slot of the workspace that this gateway holds.
  PermitGrant Grant(const Workspace& workspace);
  /// Takes back a permit that no call has used.
  void Return(const std::string& workspace, uint64_t id);
  /// Returns what was granted in the last span, for the next process; nothing
  /// while this one does not know all that the process before granted in it.
  std::optional<GrantedBySlot> Granted();
  /// Records that an announcement of what was granted until `at` is being sent.
  void OnAnnouncing(Ms at);
  /// Records how sending it ended.
  void OnAnnounceEnded(StoreOutcome outcome);
  /// Counts what an earlier process has granted, as announced, and unless it
  /// had stopped by then what it may have granted after that.
  void Restore(GrantedBySlot granted, bool had_stopped);
  /// Forgets workspaces without permits in use.
  void RemoveIdle();

 private:
  using Windows = std::array<PermitWindow, kSlotsPerGroup>;

  const Clock& clock_;
  RateSlots& slots_;
  QuotaTolerance tolerance_;
  /// Returns the windows of a workspace, at first with what an earlier process
  /// granted.
  Windows& WindowsOf(const std::string& workspace, size_t all);

  std::map<std::string, Windows> windows_;
  /// Time of the last announcement that the store has confirmed, of the last
  /// one that it may have, and of the one before.
  std::optional<Ms> announced_until_;
  std::optional<Ms> last_sent_;
  std::optional<Ms> sent_before_;
  /// From then on this process knows of all that counts.
  Ms complete_from_;
  /// What the earlier process announced, while it counts.
  GrantedBySlot restored_;
  bool granted_ahead_ = false;
  Ms restored_at_;
  Ms restored_until_;
  uint64_t next_id_ = 1;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PERMIT_BOOK_H_

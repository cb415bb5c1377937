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
/// can be after a kill.
inline constexpr size_t kGrantAheadDivisor = 4;
/// A holder whose last announcement is older may grant all, since its next
/// process does not rely on one older than `kMaxAnnouncedAge`.
inline constexpr Ms kGrantAheadTime{3000};
inline constexpr Ms kMaxAnnouncedAge{2500};
/// Most by which the estimates of the store's clock differ of two processes of
/// one gateway.
inline constexpr Ms kMaxClockError{500};
static_assert(kMaxAnnouncedAge + kMaxClockError <= kGrantAheadTime);

/// Ages of announced permits are rounded down to multiples of this.
inline constexpr Ms kAgeStep{500};

/// Permits of one slot of a group that were granted at about the same time.
struct AnnouncedPermits {
  uint32_t slot = 0;
  /// Age when they were announced, in multiples of `kAgeStep`.
  uint32_t age_steps = 0;
  uint32_t count = 0;
  bool operator==(const AnnouncedPermits&) const = default;
};

/// The permits that a gateway has granted, by workspace; those of one slot
/// oldest first.
using AnnouncedGrants = std::map<std::string, std::vector<AnnouncedPermits>>;

/// What is known of the permits that the process before this one granted.
struct EarlierGrants {
  AnnouncedGrants granted;
  /// It granted nothing after it announced them.
  bool had_stopped = false;
  /// When they were announced, and the latest time at which it may have granted
  /// others.
  Ms announced_at;
  Ms ended_at;
};

/// Counts the permits that this gateway grants. Not thread-safe.
class PermitBook {
 public:
  /// Ids begin at `first_id`. It has to differ between the processes of a
  /// gateway, as a permit of an earlier one may be returned to this one.
  PermitBook(const Clock& clock, RateSlots& slots, QuotaTolerance tolerance,
             uint64_t first_id);

  void SetTolerance(QuotaTolerance tolerance);
  /// Grants a permit of any slot of the workspace that this gateway holds.
  PermitGrant Grant(const Workspace& workspace);
  /// Takes back a permit that no call has used.
  void Return(const std::string& workspace, uint64_t id);
  /// Returns what was granted in the last span, for the next process; nothing
  /// while this one does not know all that the process before granted in it.
  std::optional<AnnouncedGrants> Granted();
  /// Records that an announcement of what was granted until `at` is being sent.
  void OnAnnouncing(Ms at);
  /// Records how sending it ended.
  void OnAnnounceEnded(StoreOutcome outcome);
  /// Counts what the process before has granted as announced and, unless it had
  /// stopped by then, what it may have granted after that.
  void Restore(EarlierGrants earlier);
  /// Forgets workspaces without permits in use.
  void RemoveIdle();

 private:
  using Windows = std::array<PermitWindow, kSlotsPerGroup>;

  /// Returns the windows of a workspace with `all` permits, at first with what
  /// the process before granted.
  Windows& WindowsOf(const std::string& workspace, size_t all);
  /// Returns the most permits of a slot that may be in use now.
  size_t MostInUse(PermitWindow& window, size_t part, Ms now) const;
  void RestoreAnnounced(const std::string& workspace, Windows& windows);

  const Clock& clock_;
  RateSlots& slots_;
  QuotaTolerance tolerance_;
  std::map<std::string, Windows> windows_;
  /// Time of the last announcement that the store has confirmed, of the last
  /// one that it may have, and of the one before.
  std::optional<Ms> announced_until_;
  std::optional<Ms> last_sent_;
  std::optional<Ms> sent_before_;
  /// From then on this process knows of all that counts.
  Ms complete_from_;
  std::optional<EarlierGrants> earlier_;
  uint64_t next_id_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PERMIT_BOOK_H_

#ifndef KNAPWEED_GATEWAY_RATE_SLOTS_H_
#define KNAPWEED_GATEWAY_RATE_SLOTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/gateway/records.h"

/// Which gateway grants which part of the workspaces' rates.
///
/// A workspace's permits are divided among the slots of one group. A slot is a
/// lease: one row of the store names the holder of each, and only the holder
/// grants the slot's permits. A holder keeps its slots while it announces
/// itself to the store, and for `kHoldTime` after that, so that an outage of
/// the store takes nothing away. Others take over the slot of a holder that has
/// been silent for `kClaimAfter`; a holder may also give a slot away. The new
/// holder waits until every call that its predecessor may have admitted has
/// left the window. So at any time the calls that a slot has admitted in the
/// window are counted by its holder, or the slot grants nothing.
///
/// The argument needs three things: clocks of processes and of the store run
/// at the same speed, the gateways' estimates of the store's clock differ by
/// less than `kClaimAfter - kHoldTime`, and the store keeps what it has
/// committed.
namespace knapweed::gateway {

/// A workspace's permits are on so many slots, on as many gateways where there
/// are enough: the loss of one takes an eighth of them.
inline constexpr size_t kSlotsPerGroup = 8;
/// Groups divide the workspaces, and so the requests for permits, among the
/// gateways.
inline constexpr size_t kSlotGroups = 8;
inline constexpr size_t kSlotCount = kSlotsPerGroup * kSlotGroups;

/// Key of the row in the table of gateways.
inline constexpr std::string_view kSlotsKey = ".rate-slots";

/// Time since its last confirmed announcement for which a holder grants, and
/// silence after which its slots are claimed.
inline constexpr Ms kHoldTime = Seconds(55);
inline constexpr Ms kClaimAfter = Seconds(65);
/// The same for a holder that has said that it stops; one that restarts is back
/// sooner.
inline constexpr Ms kClaimStoppedAfter = Seconds(15);

/// The holder of one slot, and how long it has to wait after it first sees that
/// it is the holder.
struct SlotEntry {
  Address holder;
  /// Key of the holder's announcement.
  std::string name;
  Ms rest;
  bool operator==(const SlotEntry&) const = default;
};

using SlotTable = std::array<SlotEntry, kSlotCount>;

/// Encodes the row's value, and decodes it. Returns InvalidArgument for bytes
/// that are no table.
std::string EncodeSlots(const SlotTable& table);
absl::StatusOr<SlotTable> DecodeSlots(std::string_view bytes);

/// Returns the first slot of a workspace's group.
size_t FirstSlotOf(std::string_view workspace);

/// Another gateway's announcement, as read together with the table of slots.
struct ListedGateway {
  Address address;
  /// Key and version of its row.
  std::string name;
  uint64_t version = 0;
  /// Time since it was announced.
  Ms silence;
  /// Its process has stopped and grants nothing any more.
  bool stopped = false;
};

/// The slots as one gateway knows them, and the changes that it makes. No I/O;
/// not thread-safe.
class RateSlots {
 public:
  /// `self` is this gateway's peer address and `name` the key of its
  /// announcement. `rest` is the time in which all calls leave the window that
  /// were admitted by permits granted before.
  RateSlots(const Clock& clock, const Address& self, std::string name, Ms rest);

  void SetRest(Ms rest) { rest_ = rest; }
  /// Records that the store has confirmed an announcement; `started_at` is when
  /// it was sent and `version` that of its row.
  void OnAnnounced(Ms started_at, uint64_t version);
  /// Takes over the row as read from the store after the last announcement;
  /// null if there is none.
  void OnRead(const Row* row);
  /// Takes over where to ask from a peer's copy of the row; this gateway holds
  /// no slot by it.
  void LearnFromPeer(const Row& row);
  /// Returns the row as known, for a peer that can't read the store; nothing if
  /// there is none.
  std::optional<Row> RowForPeer() const;
  /// The earlier process of this gateway has stopped and told what it granted,
  /// so its slots need no rest.
  void SkipRestAtStart();
  /// Returns whether this gateway may grant a permit of a slot at `now`. The
  /// permit has to be counted at the same `now`: the process may be paused at
  /// any time.
  bool MayGrant(size_t slot, Ms now) const;
  /// Records a grant; a slot without one for the time of rest is given away
  /// without a pause.
  void RecordGrant(size_t slot, Ms now) { granted_at_[slot] = now; }
  /// Ends all granting, because the process stops.
  void Stop() { stopped_ = true; }

  /// Returns the holder of a slot as far as known; no address if none is.
  const Address& HolderOf(size_t slot) const { return table_[slot].holder; }
  /// Returns a change to commit, given all other gateways: the first table, the
  /// slots of a gateway that is gone, or slots that another should hold. From
  /// then on this gateway grants nothing of the slots that it gives away, until
  /// the change can't take effect any more. A change relies on the announcement
  /// confirmed last, so that a later one, also of a later process, voids it.
  std::optional<Commit> NextChange(std::span<const ListedGateway> others);
  /// Takes the store's answer to the change. After a conflict it holds the row,
  /// which counts as read.
  void OnCommitted(const StoreAnswer& answer);

 private:
  /// What this gateway holds of a slot.
  struct Holding {
    bool held = false;
    Ms usable_from;
    /// In this process the slot was seen with another holder, or with none.
    bool seen_elsewhere = false;
    /// A commit that gives it away has been sent and may still take effect.
    bool giving = false;
  };

  void Adopt(const SlotTable& table, uint64_t version);
  void ForgetHoldings();
  /// Returns the entry of a slot with the gateway that should hold it among
  /// those in contact.
  SlotEntry TargetOf(size_t slot, std::span<const ListedGateway> others) const;
  /// Returns the condition under which the holder of an entry is gone for good:
  /// it makes a commit fail if the holder announces itself in between. Nothing
  /// if the holder is there.
  std::optional<RowCondition> IfGone(
      const SlotEntry& entry, std::span<const ListedGateway> others) const;
  void NoteMissing(std::span<const ListedGateway> others);
  /// Changes `next` where this gateway claims slots or gives some away.
  /// Returns whether anything changed.
  bool ClaimGone(std::span<const ListedGateway> others, SlotTable& next,
                 std::vector<RowCondition>& conditions) const;
  bool GiveAway(std::span<const ListedGateway> others, SlotTable& next);
  bool IsIdle(size_t slot) const;

  const Clock& clock_;
  Address self_;
  std::string name_;
  Ms rest_;
  /// Start of the process, or of its return after a long silence.
  Ms started_at_;
  bool rests_at_start_ = true;
  bool stopped_ = false;
  std::optional<Ms> announced_at_;
  uint64_t announced_version_ = 0;
  /// The row as last read or written; version 0 if there is none.
  SlotTable table_;
  uint64_t version_ = 0;
  bool was_read_ = false;
  bool is_malformed_ = false;
  /// The row has to be taken over again even if its version is known.
  bool needs_adoption_ = false;
  /// An announcement was confirmed after the last change was sent.
  bool announced_since_change_ = true;
  std::array<Holding, kSlotCount> holdings_;
  std::array<Ms, kSlotCount> granted_at_;
  /// When a slot in use of each group was last given away.
  std::array<Ms, kSlotGroups> gave_in_use_at_;
  /// Since when a holder has had no announcement.
  std::map<Address, Ms> missing_since_;
  /// The change under way.
  SlotTable proposed_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_RATE_SLOTS_H_

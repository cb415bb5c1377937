#ifndef KNAPWEED_MEMBERSHIP_ROWS_H_
#define KNAPWEED_MEMBERSHIP_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

inline constexpr std::string_view kMemberPrefix = "member/";
inline constexpr std::string_view kFencePrefix = "fence/";
inline constexpr std::string_view kPartitionPrefix = "partition/";
inline constexpr std::string_view kSidecarPrefix = "sidecar/";
inline constexpr std::string_view kChangePrefix = "change/";
/// Rows whose versions increase with each change of a partition or a sidecar
/// row, so that a watcher scans those rows only after a change.
inline constexpr std::string_view kPartitionChangeKey = "change/partition";
inline constexpr std::string_view kSidecarChangeKey = "change/sidecar";

/// The version of a fence row from its creation until it is closed.
inline constexpr uint64_t kOpenFenceVersion = 1;

std::string MemberKey(const MemberId& id);
std::string FenceKey(std::string_view incarnation);
std::string PartitionKey(PartitionId partition);
std::string SidecarKey(const UpstreamId& upstream);

/// A member row as stored. `renewal_count`, stored as "beat", increases with
/// each renewal, so that every renewal writes a different value.
struct MemberRow {
  Member member;
  Ms lease;
  uint64_t renewal_count = 0;
};

/// A log that may contain data of a partition. Its records of epoch `since` and
/// later are valid; older ones remain from an earlier ownership.
struct PartitionSource {
  std::string incarnation;
  Epoch since;
  bool operator==(const PartitionSource&) const = default;
};

/// A partition row as stored: the owner, its incarnation, the epoch of the
/// ownership and the logs that contain the partition's data.
struct PartitionRow {
  MemberId owner;
  std::string incarnation;
  Epoch epoch;
  std::vector<PartitionSource> sources;
  bool operator==(const PartitionRow&) const = default;
};

/// The encoders return JSON text; the decoders return nullopt for malformed
/// rows.
std::string EncodeMember(const MemberRow& row);
std::optional<MemberRow> DecodeMember(std::string_view text);
std::string EncodePartition(const PartitionRow& row);
std::optional<PartitionRow> DecodePartition(std::string_view text);
std::string EncodeSidecar(const SidecarRecord& record);
std::optional<SidecarRecord> DecodeSidecar(std::string_view text);
/// Returns the partition number in a key such as "partition/12"; nullopt for
/// other keys.
std::optional<PartitionId> PartitionOfKey(std::string_view key);

/// Returns the row's next state when `member` becomes the owner: the epoch is
/// increased by one and the member's log is added to the sources.
PartitionRow WithOwner(PartitionRow row, const Member& member);

/// Commits a transaction. After an uncertain result it reads `key` back and
/// returns OK when the row has the state that the transaction writes, otherwise
/// Unknown: the transaction may still take effect later.
absl::Status CommitAndConfirm(const TableService& table,
                              const Transaction& transaction,
                              std::string_view key);

/// Returns whether a commit with this error status may have taken effect.
bool IsUncertain(const absl::Status& status);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_ROWS_H_

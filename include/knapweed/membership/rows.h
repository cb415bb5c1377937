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
/// Rows whose versions rise with each change of a partition or a sidecar row,
/// so that a watcher scans those only after a change.
inline constexpr std::string_view kPartitionChangeKey = "change/partition";
inline constexpr std::string_view kSidecarChangeKey = "change/sidecar";

/// The version of a fence row from its creation until it is closed.
inline constexpr uint64_t kOpenFenceVersion = 1;

std::string MemberKey(const MemberId& id);
std::string FenceKey(std::string_view incarnation);
std::string PartitionKey(PartitionId partition);
std::string SidecarKey(const UpstreamId& upstream);

/// A member row as stored. `beat` rises with each renewal, so that every
/// renewal writes another value.
struct MemberRow {
  Member member;
  Ms lease;
  uint64_t renewal_count = 0;
};

/// A log that may hold data of a partition: its records of epoch `since` and
/// later count, older ones are left over from an earlier ownership.
struct PartitionSource {
  std::string incarnation;
  Epoch since;
  bool operator==(const PartitionSource&) const = default;
};

/// A partition row as stored.
struct PartitionRow {
  MemberId owner;
  std::string incarnation;
  Epoch epoch;
  std::vector<PartitionSource> sources;
  bool operator==(const PartitionRow&) const = default;
};

std::string EncodeMember(const MemberRow& row);
std::optional<MemberRow> DecodeMember(std::string_view text);
std::string EncodePartition(const PartitionRow& row);
std::optional<PartitionRow> DecodePartition(std::string_view text);
std::string EncodeSidecar(const SidecarRecord& record);
std::optional<SidecarRecord> DecodeSidecar(std::string_view text);
/// The number in a key such as "partition/12".
std::optional<PartitionId> PartitionOfKey(std::string_view key);

/// The row's next state when `member` becomes its owner: epoch up by one, its
/// log added to the sources.
PartitionRow WithOwner(PartitionRow row, const Member& member);

/// Commits, and settles an uncertain answer by reading `key` back: OK when the
/// row holds what the transaction writes there. Unknown when that could not be
/// settled; the transaction may still take effect later.
absl::Status CommitAndConfirm(const TableService& table,
                              const Transaction& transaction,
                              std::string_view key);

/// Whether a commit with this status may have taken effect.
bool IsUncertain(const absl::Status& status);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_ROWS_H_

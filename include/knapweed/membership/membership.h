#ifndef KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_
#define KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/settings.h"
#include "knapweed/platform/table_service.h"

namespace knapweed {

/// An entry as its member row describes it. `incarnation` is new with each
/// start.
struct Member {
  MemberId id;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  bool leaving = false;
};

/// A sidecar as it registered itself.
struct SidecarRecord {
  UpstreamId upstream;
  std::string incarnation;
  Address rpc;
  FailureDomain domain;
  std::string pool;
  std::vector<std::string> models;
  bool leaving = false;
};

struct MembershipOptions {
  Member self;
  Ms lease = Seconds(5);
  Ms renew_every = Ms{1500};
  uint32_t partition_count = 64;
};

/// Who owns a partition, as far as this process knows.
struct PartitionOwner {
  Member member;
  Epoch epoch;
  /// True only while this process owns the partition and its lease holds by the
  /// monotonic clock.
  bool self = false;
};

/// Called with a partition and its new epoch after this process gained it,
/// before it is served; recovers the partition's programs. An error gives the
/// partition back.
using GainHandler = std::function<absl::Status(PartitionId, Epoch,
                                               const std::string& old_owner)>;
/// Called after this process lost a partition.
using LossHandler = std::function<void(PartitionId)>;

/// Keeps this process's lease, watches the others', and divides the partitions
/// among live members.
class Membership {
 public:
  Membership(TableService table, const Clock& clock, MembershipOptions options,
             GainHandler on_gain, LossHandler on_loss);
  ~Membership();

  /// Registers, and starts renewing and watching on its own thread.
  absl::Status Start();
  /// Hands all partitions over and leaves; blocks until done or the deadline.
  absl::Status Leave(Ms timeout);

  std::optional<PartitionOwner> OwnerOf(PartitionId partition) const;
  /// Whether the lease holds now, by the monotonic clock.
  bool LeaseHolds() const;
  std::vector<Member> Members() const;
  std::vector<SidecarRecord> Sidecars() const;
  /// A hint from a peer or a broken connection that something changed; the
  /// watcher looks at once.
  void Poke();
  std::string DumpJson() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Writes or rewrites a sidecar's row; used by the sidecar at its start and
/// when it leaves.
absl::Status RegisterSidecar(const TableService& table,
                             const SidecarRecord& record);
absl::Status RemoveSidecar(const TableService& table,
                           const SidecarRecord& record);
/// The epoch of every partition, for a sidecar that starts with nothing
/// remembered.
absl::StatusOr<std::vector<Epoch>> ReadEpochFloor(const TableService& table,
                                                  uint32_t partition_count);

}  // namespace knapweed

#endif  // KNAPWEED_MEMBERSHIP_MEMBERSHIP_H_

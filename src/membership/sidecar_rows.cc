#include <map>

#include "knapweed/membership/rows.h"

namespace knapweed {

absl::Status RegisterSidecar(const TableService& table,
                             const SidecarRecord& record) {
  const std::string key = SidecarKey(record.upstream);
  Transaction transaction;
  transaction.writes.push_back({key, EncodeSidecar(record)});
  transaction.writes.push_back({std::string(kSidecarChangeKey), key});
  return CommitAndConfirm(table, transaction, key);
}

absl::Status RemoveSidecar(const TableService& table,
                           const SidecarRecord& record) {
  const std::string key = SidecarKey(record.upstream);
  const absl::StatusOr<Row> row = table.get(key);
  if (absl::IsNotFound(row.status())) return absl::OkStatus();
  if (!row.ok()) return row.status();
  const auto found = DecodeSidecar(row->value);
  // The row belongs to a sidecar restarted under the same name.
  if (found && found->incarnation != record.incarnation) {
    return absl::OkStatus();
  }
  Transaction transaction;
  transaction.conditions.push_back({key, row->version});
  transaction.writes.push_back({key, std::nullopt});
  transaction.writes.push_back({std::string(kSidecarChangeKey), key});
  return CommitAndConfirm(table, transaction, key);
}

absl::StatusOr<std::vector<Epoch>> ReadEpochFloor(const TableService& table,
                                                  uint32_t partition_count) {
  const absl::StatusOr<std::vector<Row>> rows = table.scan(kPartitionPrefix);
  if (!rows.ok()) return rows.status();
  std::vector<Epoch> floor(partition_count);
  for (const Row& it : *rows) {
    const auto partition = PartitionOfKey(it.key);
    const auto row = DecodePartition(it.value);
    if (!partition || !row || partition->n >= partition_count) continue;
    floor[partition->n] = row->epoch;
  }
  return floor;
}

}  // namespace knapweed

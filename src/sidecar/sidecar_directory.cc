#include "knapweed/membership/membership.h"
#include "knapweed/sidecar/sidecar.h"

namespace knapweed {

SidecarDirectory ConnectDirectory(const SidecarConfig& config) {
  const TableService table =
      ConnectTableService(config.table, config.platform_timeout);
  SidecarDirectory directory;
  directory.write = [table](const SidecarRecord& record) {
    return RegisterSidecar(table, record);
  };
  directory.remove = [table](const SidecarRecord& record) {
    return RemoveSidecar(table, record);
  };
  directory.read_floor = [table, partitions = config.partition_count] {
    return ReadEpochFloor(table, partitions);
  };
  return directory;
}

}  // namespace knapweed

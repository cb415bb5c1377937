#ifndef KNAPWEED_BASE_IDS_H_
#define KNAPWEED_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace knapweed {

/// A string identifier. Each `Tag` makes a distinct type, so that one kind of
/// identifier can't be passed where another is expected.
template <typename Tag>
struct Id {
  std::string value;

  Id() = default;
  explicit Id(std::string v) : value(std::move(v)) {}
  explicit Id(std::string_view v) : value(v) {}
  explicit Id(const char* v) : value(v) {}
  auto operator<=>(const Id&) const = default;
  bool empty() const { return value.empty(); }
};

using WorkspaceId = Id<struct WorkspaceTag>;
using ProgramId = Id<struct ProgramTag>;
using MemberId = Id<struct MemberTag>;
using UpstreamId = Id<struct UpstreamTag>;
using FailureDomain = Id<struct FailureDomainTag>;
/// Identifies one dispatch of a call to an upstream; never reused.
using AttemptId = Id<struct AttemptTag>;

/// Identifies a program in the whole system; a program id is unique only within
/// its workspace.
struct ProgramKey {
  WorkspaceId workspace;
  ProgramId program;
  auto operator<=>(const ProgramKey&) const = default;
};

/// Number of a partition, from 0 to the configured partition count minus 1.
struct PartitionId {
  uint32_t n = 0;
  auto operator<=>(const PartitionId&) const = default;
};

/// Fencing token of a partition's ownership. It increases with each change of
/// owner and never decreases.
struct Epoch {
  uint64_t n = 0;
  auto operator<=>(const Epoch&) const = default;
};

/// Returns the id of the root program: the part before the first '/' for a
/// sub-agent ("order-7" for "order-7/stock"), the whole id for any other
/// program. The result points into `program`.
std::string_view RootOf(const ProgramId& program);

/// Returns the partition of a program. A root program and all its sub-agents
/// share one partition. The result must not differ between processes or
/// versions.
PartitionId PartitionOf(const ProgramKey& key, uint32_t partition_count);

/// Returns the 64-bit XXH3 hash of a byte string, stable across processes.
uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0);

/// Returns a random 128-bit id in hexadecimal from a cryptographically secure
/// generator. Aborts the process if that generator fails.
std::string RandomHexId();

/// Returns the SHA-256 digest in hexadecimal.
std::string Sha256Hex(std::string_view bytes);

}  // namespace knapweed

template <typename Tag>
struct std::hash<knapweed::Id<Tag>> {
  size_t operator()(const knapweed::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value);
  }
};

template <>
struct std::hash<knapweed::ProgramKey> {
  size_t operator()(const knapweed::ProgramKey& key) const {
    return std::hash<std::string>()(key.workspace.value) * 31 +
           std::hash<std::string>()(key.program.value);
  }
};

#endif  // KNAPWEED_BASE_IDS_H_

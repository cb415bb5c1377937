#ifndef KNAPWEED_BASE_IDS_H_
#define KNAPWEED_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace knapweed {

/// A name that can't be passed where another kind of name is expected.
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
/// One dispatch of a call to an upstream; unique for ever.
using AttemptId = Id<struct AttemptTag>;

/// A program's name is only unique within its workspace.
struct ProgramKey {
  WorkspaceId workspace;
  ProgramId program;
  auto operator<=>(const ProgramKey&) const = default;
};

/// Number of a partition, below the configured partition count.
struct PartitionId {
  uint32_t n = 0;
  auto operator<=>(const PartitionId&) const = default;
};

/// Fencing number of a partition's ownership; only ever rises.
struct Epoch {
  uint64_t n = 0;
  auto operator<=>(const Epoch&) const = default;
};

/// The first part of a sub-agent's name, "order-7" for "order-7/stock"; the
/// whole name of any other program.
std::string_view RootOf(const ProgramId& program);

/// The partition of a program, the same for a whole tree of sub-agents. The
/// same on every process and in every version.
PartitionId PartitionOf(const ProgramKey& key, uint32_t partition_count);

/// 64-bit xxHash of a byte string, stable across processes.
uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0);

/// A random 128-bit name in hexadecimal, from the operating system's source.
std::string RandomHexId();

/// Hexadecimal SHA-256.
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

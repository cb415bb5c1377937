#ifndef KNAPWEED_GATEWAY_LOAD_MESSAGES_H_
#define KNAPWEED_GATEWAY_LOAD_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/policy/upstream_load.h"

/// Messages between gateways about the load of upstreams, in MessagePack. No
/// I/O.
namespace knapweed::gateway {

/// Path of reports of load on a gateway's peer address.
inline constexpr std::string_view kLoadPath = "/upstreams/load";

/// Identifies one incarnation of an upstream in messages about load. 32 bits
/// keep the messages small: two of 730 upstreams share a key once in 16,000
/// fleets, and then count as one.
using LoadKey = uint32_t;
LoadKey LoadKeyOf(std::string_view id, uint64_t started_at_ms);

struct LoadEntry {
  LoadKey key = 0;
  CallLoad load;

  friend bool operator==(const LoadEntry&, const LoadEntry&) = default;
};

/// First turns of programs per second, by service.
using StartsByService = std::map<std::string, double, std::less<>>;

/// The load by one gateway's calls. It is complete: an upstream that it does
/// not name has no load from this gateway.
struct LoadReport {
  /// Peer address of the gateway that reports.
  Address sender;
  /// Random number of the sender's process.
  uint32_t incarnation = 0;
  /// Increases with each report of an incarnation.
  uint64_t sequence = 0;
  /// Time until the sender's next report.
  Ms interval;
  std::vector<LoadEntry> entries;
  StartsByService starts_per_s;
  /// Digest of the home's list of upstreams as the sender knows it; 0 if it
  /// knows none.
  uint32_t list_digest = 0;
};

/// The sums over all reports that a gateway has, the asker's own included.
struct LoadAnswer {
  /// Number of gateways that the sums cover.
  uint32_t gateways = 0;
  /// Ages of the oldest and the newest report in the sums besides the asker's;
  /// zero if there is none.
  Ms oldest_age;
  Ms newest_age;
  /// All upstreams that the home lists, in its order, also those without load.
  std::vector<LoadEntry> entries;
  StartsByService starts_per_s;
};

/// Returns the digest of a list of upstreams.
uint32_t DigestOf(std::span<const LoadKey> list);

/// A decoded report, without the figures that are negative or absurd.
struct CheckedLoadReport {
  LoadReport report;
  /// Upstreams and services that were left out.
  size_t left_out = 0;
};

/// Encoders and decoders. Decoders return InvalidArgument for bytes that the
/// encoder did not make.
std::string EncodeLoadReport(const LoadReport& report);
absl::StatusOr<CheckedLoadReport> DecodeLoadReport(std::string_view bytes);
/// An answer has the home's list of upstreams only if the asker's digest of it
/// is another; otherwise the asker passes the list that it has. Up to 300
/// upstreams the figures are exact to 1 in 4,096, beyond that to 1 in 32 and to
/// 8 tokens, but numbers of calls up to 31 are exact.
std::string EncodeLoadAnswer(const LoadAnswer& answer, uint32_t asker_digest);
absl::StatusOr<LoadAnswer> DecodeLoadAnswer(std::string_view bytes,
                                            std::span<const LoadKey> list);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_LOAD_MESSAGES_H_

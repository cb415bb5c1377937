#ifndef KNAPWEED_GATEWAY_LOAD_COLLECTOR_H_
#define KNAPWEED_GATEWAY_LOAD_COLLECTOR_H_

#include <map>

#include "absl/container/flat_hash_map.h"
#include "knapweed/gateway/load_messages.h"

/// Sums of the load that gateways report. No I/O.
namespace knapweed::gateway {

/// The latest report of each gateway and their sums, at the gateway that
/// collects them. The sums are kept up to date with each report, because adding
/// up 380 reports for each of 200 answers a second would take much of a core.
/// Not thread-safe.
class LoadCollector {
 public:
  explicit LoadCollector(const Clock& clock) : clock_(clock) {}

  /// Replaces the sender's previous report. Returns false, and ignores the
  /// report, if it is older than the one that is held.
  bool Take(LoadReport report);
  /// Returns the sums for each upstream of `list` over the reports that are
  /// younger than three of their sender's intervals, for the gateway at
  /// `asker`.
  LoadAnswer Sums(const Address& asker, std::span<const LoadKey> list);

 private:
  struct Held {
    LoadReport report;
    Ms taken_at;
  };
  struct Sum {
    CallLoad load;
    /// Reports that name this upstream.
    uint32_t reports = 0;
  };

  void Add(const LoadReport& report);
  void Subtract(const LoadReport& report);
  void DropExpired(Ms now);

  const Clock& clock_;
  std::map<Address, Held> held_;
  absl::flat_hash_map<LoadKey, Sum> sums_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_LOAD_COLLECTOR_H_

#ifndef KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_
#define KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace knapweed {

/// The input of the invariant checker: what the upstreams recorded, and what
/// the callers were told. It contains nothing that the entries or sidecars
/// report about themselves.
struct FleetRecords {
  /// One array of recorded requests for each engine.
  std::vector<nlohmann::json> engines;
  /// One array of recorded requests for each service.
  std::vector<nlohmann::json> services;
  /// The callers' keys, which no upstream may receive.
  std::vector<std::string> keys;
  /// References of the calls for which every reply said "not run".
  std::set<std::string> not_run;
};

/// Returns one message for each violation of an invariant; empty if all hold:
/// - Non-idempotent calls ran at most once.
/// - Each turn of a program continues the program's previous turn.
/// - No turn contains history of another program or workspace.
/// - No upstream received a caller's key.
/// - Calls that were answered "not run" did not run.
std::vector<std::string> FindViolations(const FleetRecords& records);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_

#ifndef KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_
#define KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace knapweed {

/// What the upstreams recorded, and what callers know that records can be held
/// against. The system's own word is not asked.
struct FleetRecords {
  /// The records of all engines, and of all services, one array each.
  std::vector<nlohmann::json> engines;
  std::vector<nlohmann::json> services;
  /// Keys of callers, which no upstream may see.
  std::vector<std::string> keys;
  /// References whose every answer said that the call did not run.
  std::set<std::string> not_run;
};

/// Every promise that the records break, one sentence each; empty when all
/// hold: non-idempotent calls ran at most once, a program's turns follow each
/// other and continue its own history only, nothing of another workspace was
/// seen, no upstream saw a key, and what was answered "not run" did not run.
std::vector<std::string> FindViolations(const FleetRecords& records);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_INVARIANT_CHECKER_H_

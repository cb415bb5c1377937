// Runs the fault injection scenarios, each in a new fleet of real processes.
// KNAPWEED_SCENARIO selects one scenario by name; without it all run.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

bool IsSelected(const Scenario& scenario) {
  const char* name = std::getenv("KNAPWEED_SCENARIO");
  return name == nullptr || std::string(name) == scenario.name;
}

void RunScenario(const Scenario& scenario) {
  const std::string name = scenario.name;
  CAPTURE(name);
  Fleet fleet(scenario.options);
  ScenarioContext context(fleet);
  scenario.run(context);
  FleetRecords records = fleet.Records();
  records.not_run = context.not_run;
  for (const std::string& violation : FindViolations(records)) {
    FAIL_CHECK(violation);
  }
}

TEST_CASE("invariants hold under injected faults") {
  size_t ran = 0;
  for (const auto& scenarios :
       {OwnerScenarios(), StoreScenarios(), PlannedScenarios(),
        LimitScenarios(), RandomScenarios()}) {
    for (const Scenario& scenario : scenarios) {
      if (!IsSelected(scenario)) continue;
      RunScenario(scenario);
      ++ran;
    }
  }
  CHECK(ran > 0);
}

}  // namespace
}  // namespace knapweed

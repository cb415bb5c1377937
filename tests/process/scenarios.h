#ifndef KNAPWEED_TESTS_PROCESS_SCENARIOS_H_
#define KNAPWEED_TESTS_PROCESS_SCENARIOS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "tests/process/caller.h"
#include "tests/process/fleet.h"

namespace knapweed {

/// The fleet of a running scenario, and the outcomes that callers were told,
/// which are compared with the records of the upstreams at the end.
struct ScenarioContext {
  explicit ScenarioContext(Fleet& fleet_in) : fleet(fleet_in) {}

  Fleet& fleet;
  /// Stores the reference of a booking that did not run. Thread safe.
  void RecordOutcome(const Booking& booking);

  /// Guards `not_run`.
  std::mutex mu;
  /// References of the calls for which every reply said "not run".
  std::set<std::string> not_run;
};

/// One scenario: `run` injects the faults into a fleet with `options`, and then
/// the invariants are checked. `name` is also part of the CTest name.
struct Scenario {
  const char* name;
  void (*run)(ScenarioContext&);
  FleetOptions options = {};
};

/// Entries and sidecars die or pause.
std::span<const Scenario> OwnerScenarios();
/// The store is slow, fails or is unreachable.
std::span<const Scenario> StoreScenarios();
/// Processes stop as planned, requests crash engines, and the configuration
/// changes.
std::span<const Scenario> PlannedScenarios();
/// Load below and above the rate limit of a workspace.
std::span<const Scenario> LimitScenarios();
/// Random sequences of faults.
std::span<const Scenario> RandomScenarios();

/// Runs `work(i)` for each i below n, each in its own thread, and joins them.
void RunConcurrently(size_t n, const std::function<void(size_t)>& work);

/// Does the same, and runs `inject_faults` in the calling thread meanwhile.
void RunConcurrently(size_t n, const std::function<void(size_t)>& work,
                     const std::function<void()>& inject_faults);

/// The callers of several programs of both workspaces, spread over all owners.
class ProgramSet {
 public:
  ProgramSet(ScenarioContext& context, const std::string& name, size_t n);

  /// Sends one message to each program, all concurrently, with retries until
  /// each is answered, while `inject_faults` runs. Fails a check for each that
  /// is not answered within `limit`. Returns the longest time to an answer.
  Ms SendAll(
      const std::string& text, Ms limit, size_t first_entry = 1,
      const std::function<void()>& inject_faults = [] {});
  ProgramCaller& operator[](size_t i) { return *programs_[i]; }
  size_t size() const { return programs_.size(); }

 private:
  std::vector<std::unique_ptr<ProgramCaller>> programs_;
};

/// Sends `n` bookings concurrently, each by BookUntilSettled(), while
/// `inject_faults` runs. Fails a check for each whose outcome is not in
/// `allowed`.
void BookAll(
    ScenarioContext& context, const std::string& name, size_t n, Ms limit,
    const std::set<BookingOutcome>& allowed,
    const std::function<void()>& inject_faults = [] {});

/// Prints a measured value for docs/MEASUREMENTS.md.
void PrintFigure(const std::string& name, double value,
                 const std::string& unit);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_SCENARIOS_H_

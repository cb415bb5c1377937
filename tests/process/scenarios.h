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

/// What a scenario works with. Everything that callers were told is kept, so
/// that the records can be held against it at the end.
struct ScenarioContext {
  explicit ScenarioContext(Fleet& fleet_in) : fleet(fleet_in) {}

  Fleet& fleet;
  /// Keeps how a booking ended. Safe from any thread.
  void RecordOutcome(const Booking& booking);

  std::mutex mu;
  std::set<std::string> not_run;
};

/// A row of the table of faults: what is brought about, and what the fleet
/// around it is like. After `run` the records are checked.
struct Scenario {
  const char* name;
  void (*run)(ScenarioContext&);
  FleetOptions options = {};
};

/// The rows of each kind of fault.
std::span<const Scenario> OwnerScenarios();
std::span<const Scenario> StoreScenarios();
std::span<const Scenario> PlannedScenarios();
std::span<const Scenario> LimitScenarios();
std::span<const Scenario> RandomScenarios();

/// Runs `work(i)` for each i below n, all at once, and waits for all.
void RunConcurrently(size_t n, const std::function<void(size_t)>& work);

/// The same while `disturb` runs beside them.
void RunConcurrently(size_t n, const std::function<void(size_t)>& work,
                     const std::function<void()>& inject_faults);

/// Several programs of both workspaces, spread over all owners.
class ProgramSet {
 public:
  ProgramSet(ScenarioContext& context, const std::string& name, size_t n);

  /// Every program gets one message, all at once, and is asked again until it
  /// is answered. Checks that all are within the limit. Returns the longest
  /// time.
  Ms SendAll(
      const std::string& text, Ms limit, size_t first_entry = 1,
      const std::function<void()>& inject_faults = [] {});
  ProgramCaller& operator[](size_t i) { return *programs_[i]; }
  size_t size() const { return programs_.size(); }

 private:
  std::vector<std::unique_ptr<ProgramCaller>> programs_;
};

/// Sends bookings all at once until each is settled, while `disturb` runs.
/// Fails a check for each that ended otherwise than one of `allowed`.
void BookAll(
    ScenarioContext& context, const std::string& name, size_t n, Ms limit,
    const std::set<BookingOutcome>& allowed,
    const std::function<void()>& inject_faults = [] {});

/// Prints a figure for docs/MEASUREMENTS.md.
void PrintFigure(const std::string& name, double value,
                 const std::string& unit);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_SCENARIOS_H_

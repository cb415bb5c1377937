// Requests that real gateway processes lose under planned work and faults.
#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>

#include "tests/platform/process/callers.h"
#include "tests/platform/process/disruptions.h"

namespace knapweed::testing {
namespace {

constexpr int kDefaultSeconds = 60;
/// Runs of odd and even seeds.
constexpr int kLongGraceMs = 8000;
constexpr int kShortGraceMs = 4000;
/// Callers go on for so long after the last fault.
constexpr Ms kFinalSpan{6000};
constexpr Ms kEndOfCallers{8000};
/// A signal in this time may find a process that is still being loaded, which
/// no handler can change. start_signal_test.cc guards the time after that.
constexpr Ms kLoadTime{500};
/// Losses of one clause whose log lines are printed.
constexpr size_t kMaxTraces = 12;

int NumberFromEnvironment(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

std::string ProgramFromEnvironment() {
  const char* text = std::getenv("KNAPWEED_GATEWAY");
  return text == nullptr ? KNAPWEED_GATEWAY_PROGRAM : text;
}

void PrintLosses(const ProcessWorld& world, const std::vector<Loss>& losses) {
  std::map<std::string, size_t> counts;
  for (const Loss& it : losses) {
    std::cout << "LOST clause=" << it.clause << " (" << it.why << ") "
              << Describe(world.ledger, *it.attempt) << "\n";
    if (++counts[it.clause] > kMaxTraces) continue;
    std::cout << world.LogLines("=" + it.attempt->id);
    if (!it.attempt->previous.empty()) {
      std::cout << "   the turn before:\n"
                << world.LogLines("=" + it.attempt->previous);
    }
    if (it.attempt->body_differs) {
      std::cout << "   expected '" << it.attempt->expected_body << "' got '"
                << it.attempt->other_body << "'\n";
    }
  }
  for (const auto& [clause, n] : counts) {
    std::cout << "COUNT " << n << " " << clause << "\n";
  }
}

/// Ends that no one wanted, and exits with an error.
size_t PrintProcessEnds(const ProcessWorld& world) {
  const Ledger& ledger = world.ledger;
  size_t unwanted = 0;
  for (const ProcessEnd& it : ledger.ends) {
    const bool bad = !it.intended && (it.signal != 0 || it.exit_code != 0);
    if (!bad) continue;
    const bool early = it.signal == SIGHUP && it.ran < kLoadTime;
    if (!early) ++unwanted;
    std::cout << (early ? "EARLY " : "") << "END gateway=" << it.gateway
              << " at_ms=" << (it.at - ledger.began).count
              << " ran_ms=" << it.ran.count << " signal=" << it.signal
              << " exit_code=" << it.exit_code << "\n";
  }
  if (unwanted > 0) std::cout << world.LogLines("event=\"Stop");
  return unwanted;
}

void PrintDisruptions(const Ledger& ledger) {
  std::map<std::string, size_t> counts;
  for (const Disruption& it : ledger.disruptions) ++counts[it.what];
  for (const auto& [what, n] : counts) {
    std::cout << "DISRUPTION " << n << " " << what << "\n";
  }
}

TEST_CASE("no request is lost under planned work and faults") {
  const int seed = NumberFromEnvironment("KNAPWEED_SEED", 1);
  const int seconds =
      NumberFromEnvironment("KNAPWEED_SECONDS", kDefaultSeconds);
  WorldOptions options;
  options.seed = static_cast<uint64_t>(seed);
  options.program = ProgramFromEnvironment();
  options.grace = Ms{NumberFromEnvironment(
      "KNAPWEED_GRACE_MS", seed % 2 == 1 ? kLongGraceMs : kShortGraceMs)};
  const bool with_faults = NumberFromEnvironment("KNAPWEED_FAULTS", 1) != 0;
  ProcessWorld world(options);
  world.RunFor(Seconds(2));
  StartCallers(world, {}, options.seed);
  bool done = false;
  gateway::Spawn(world.loop, RunDisruptions(world, options.seed,
                                            world.Now() + Seconds(seconds),
                                            with_faults, &done));
  while (!done) world.RunFor(Ms{100});
  world.RunFor(kFinalSpan);
  world.stopping = true;
  const Ms until = world.Now() + kEndOfCallers;
  while (world.callers_running > 0 && world.Now() < until) {
    world.RunFor(Ms{100});
  }
  CHECK(world.callers_running == 0);
  const std::vector<Loss> losses = FindLosses(world.ledger);
  std::cout << "seed " << seed << ", " << world.ledger.attempts.size()
            << " requests\n"
            << Summarize(world.ledger);
  PrintDisruptions(world.ledger);
  PrintLosses(world, losses);
  CHECK(PrintProcessEnds(world) == 0);
  CHECK(losses.empty());
}

}  // namespace
}  // namespace knapweed::testing

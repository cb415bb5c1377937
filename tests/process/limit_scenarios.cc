#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr double kRatePerS = 20;
constexpr double kBurst = 20;

// Sends calls at a fixed rate, spread over all entries, each from a different
// program. Returns the number of calls by result: "answered" or the error code.
std::map<std::string, size_t> SendAtRate(ScenarioContext& context,
                                         const std::string& name,
                                         double calls_per_s, Ms duration) {
  const auto n = static_cast<size_t>(calls_per_s * duration.Seconds());
  std::map<std::string, size_t> codes;
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  const auto send = [&](size_t i) {
    const Ms due =
        start +
        Ms{static_cast<int64_t>(static_cast<double>(i) * 1000.0 / calls_per_s)};
    SleepFor(std::max(Ms{0}, due - clock.Now()));
    const std::string program = absl::StrCat(name, "-", i);
    const CallerReply reply =
        SendTurn(context.fleet, i % context.fleet.entry_count(), "w", program,
                 program, program, false, Seconds(30));
    const std::lock_guard lock(context.mu);
    ++codes[reply.answered() ? "answered" : reply.code];
  };
  RunConcurrently(n, send);
  return codes;
}

// The number of recorded calls at the engines, and the time between the first
// and the last arrival.
struct Arrivals {
  size_t count = 0;
  Ms duration;
};

// Reads the arrivals of programs whose name starts with `name`.
Arrivals FindArrivals(Fleet& fleet, const std::string& name) {
  Arrivals arrivals;
  std::vector<int64_t> times;
  for (const json& record : fleet.Records().engines) {
    for (const json& it : record) {
      const std::string program = it.value("program", "");
      if (program.starts_with(name)) times.push_back(it["started_ms"]);
    }
  }
  if (times.empty()) return arrivals;
  const auto [first, last] = std::minmax_element(times.begin(), times.end());
  return {times.size(), Ms{*last - *first}};
}

// Callers send five times the rate of their workspace. The engines must not
// receive more than the rate and the burst allow.
void FivefoldOverload(ScenarioContext& context) {
  SleepFor(Seconds(2));
  const auto codes = SendAtRate(context, "flood", 5 * kRatePerS, Seconds(8));
  const Arrivals ran = FindArrivals(context.fleet, "flood");
  const double allowed = kRatePerS * ran.duration.Seconds() + kBurst;
  const double share = static_cast<double>(ran.count) / allowed;
  PrintFigure("overload_admitted_share", share, "");
  for (const auto& [code, n] : codes) {
    PrintFigure("overload_" + code, static_cast<double>(n), "calls");
  }
  CHECK(share <= 1.0);
  CHECK(ran.count > 0);
}

// Callers send 0.9 times the rate of their workspace: every call is answered.
void WithinRate(ScenarioContext& context) {
  SleepFor(Seconds(2));
  const auto codes = SendAtRate(context, "steady", 0.9 * kRatePerS, Seconds(8));
  for (const auto& it : codes) {
    PrintFigure("within_rate_" + it.first, static_cast<double>(it.second),
                "calls");
    CHECK(it.first == "answered");
  }
}

}  // namespace

std::span<const Scenario> LimitScenarios() {
  static const auto* const kScenarios = new std::vector<Scenario>{
      {"fivefold_overload",
       FivefoldOverload,
       {.rate_per_s = kRatePerS, .burst = kBurst}},
      {"within_rate", WithinRate, {.rate_per_s = kRatePerS, .burst = kBurst}},
  };
  return *kScenarios;
}

}  // namespace knapweed

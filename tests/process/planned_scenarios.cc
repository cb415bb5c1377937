#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>

#include "absl/strings/str_cat.h"
#include "tests/process/scenarios.h"

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kPrograms = 12;
constexpr Ms kAnswerLimit = Seconds(25);
constexpr Ms kStopLimit = Seconds(25);
// Time for the calls of a scenario to reach their upstreams.
constexpr Ms kDispatchTime{400};
// Time for all entries to stop sending to an upstream whose sidecar stops.
constexpr Ms kDrainPropagationLimit = Seconds(4);

// Slow enough that every call is still running when the process stops.
const json& SlowEngineOptions() {
  static const auto* const kOptions = new json{{"decode_tokens_per_s", 16}};
  return *kOptions;
}

// Counts the model calls that arrived at an engine after a point in wall time.
size_t CountChatsStartedAfter(const json& record, Ms earliest) {
  return static_cast<size_t>(
      std::count_if(record.begin(), record.end(), [&](const json& it) {
        return it.value("kind", "") == "chat" &&
               it.value("started_ms", int64_t{0}) > earliest.count;
      }));
}

// Sends one turn of each of kPrograms new programs, spread over `entries`.
// Fails a check for each turn that is not answered completely at the first
// attempt.
void ExpectAnsweredAtFirstAttempt(ScenarioContext& context,
                                  const std::string& name,
                                  const std::vector<size_t>& entries,
                                  const std::function<void()>& inject_faults) {
  std::vector<CallerReply> replies(kPrograms);
  const auto send = [&](size_t i) {
    const std::string program = absl::StrCat(name, "-", i);
    replies[i] = SendTurn(context.fleet, entries[i % entries.size()], "w",
                          program, program, program, i % 2 == 1, kAnswerLimit);
  };
  RunConcurrently(kPrograms, send, inject_faults);
  for (size_t i = 0; i < kPrograms; ++i) {
    CAPTURE(name);
    CAPTURE(i);
    CAPTURE(replies[i].code);
    CAPTURE(replies[i].text);
    CHECK(replies[i].answered());
  }
}

// An entry that is stopped by SIGTERM finishes its calls and exits with 0.
void StopEntryUnderLoad(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  int exit_code = -1;
  ExpectAnsweredAtFirstAttempt(context, "stopping", {0, 1, 2}, [&] {
    SleepFor(kDispatchTime);
    exit_code = fleet.entry(0).process->Stop(kStopLimit);
  });
  CHECK(exit_code == 0);
  ExpectAnsweredAtFirstAttempt(context, "stopped", {1, 2}, [] {});
}

// A sidecar that is stopped by SIGTERM finishes its calls and exits with 0.
// Its engine receives no new calls once the stop has propagated.
void StopSidecarUnderLoad(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  int exit_code = -1;
  Ms stop_requested;
  ExpectAnsweredAtFirstAttempt(context, "leaving", {0, 1, 2}, [&] {
    SleepFor(kDispatchTime);
    stop_requested = WallTime();
    exit_code = fleet.sidecar(0).process->Stop(kStopLimit);
  });
  CHECK(exit_code == 0);
  const Ms stop_finished = WallTime();
  ExpectAnsweredAtFirstAttempt(context, "left", {0, 1, 2}, [] {});
  const json record = fleet.engine(0).Get("/record");
  CHECK(CountChatsStartedAfter(
            record, std::min(stop_finished,
                             stop_requested + kDrainPropagationLimit)) == 0);
}

// A request that crashes its engine is quarantined after two crashes, while
// other programs are still answered.
void ResendCrashingRequest(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  ProgramSet programs(context, "beside", kPrograms);
  programs.SendAll("first", kAnswerLimit);
  std::vector<std::string> codes;
  for (size_t i = 0; i < 8; ++i) {
    const std::string call_key = absl::StrCat("crash-", i);
    const CallerReply reply =
        SendTurn(fleet, i % fleet.entry_count(), "w", "crash", call_key,
                 "CRASH-ENGINE please", false, Seconds(6));
    CHECK_FALSE(reply.answered());
    codes.push_back(reply.code);
    SleepFor(Ms{500});
  }
  CAPTURE(json(codes).dump());
  CHECK(codes.back() == "quarantined");
  size_t crashes = 0;
  for (const json& record : fleet.Records().engines) {
    crashes += static_cast<size_t>(
        std::count_if(record.begin(), record.end(), [](const json& it) {
          return it.value("state", "") == "crashed" &&
                 it.value("program", "") == "crash";
        }));
  }
  // After two crashes the request is not sent to an engine again.
  CHECK(crashes <= 2);
  PrintFigure("crashes_until_quarantine", static_cast<double>(crashes), "");
  programs.SendAll("second", kAnswerLimit, 0);
}

// When a key is withdrawn, open streams that use it end within seconds, and
// every entry rejects the key.
void WithdrawKeyInStream(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  const Clock clock = Clock::Steady();
  std::vector<CallerReply> replies(fleet.entry_count());
  std::vector<Ms> ended(fleet.entry_count());
  Ms withdrawn;
  const auto stream = [&](size_t i) {
    const std::string program = absl::StrCat("streaming-", i);
    replies[i] =
        SendTurn(fleet, i, "w", program, program, program, true, Seconds(30));
    ended[i] = clock.Now();
  };
  RunConcurrently(fleet.entry_count(), stream, [&] {
    SleepFor(Seconds(1));
    withdrawn = clock.Now();
    const ChangeResult result = WithdrawKey(fleet.config(), fleet.key_id("w"));
    CHECK(result.state == ChangeState::kApplied);
  });
  Ms longest;
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    CAPTURE(i);
    CAPTURE(replies[i].text);
    CHECK_FALSE(replies[i].answered());
    CHECK(replies[i].code == "unauthorized");
    longest = std::max(longest, ended[i] - withdrawn);
  }
  PrintFigure("key_withdrawn_streams_ended", longest.Seconds(), "s");
  CHECK(longest < Seconds(3));
  for (size_t i = 0; i < fleet.options().engines; ++i) {
    fleet.engine(i).Control({{"decode_tokens_per_s", 400}});
  }
  for (size_t i = 0; i < fleet.entry_count(); ++i) {
    const std::string program = absl::StrCat("refused-", i);
    CHECK(SendTurn(fleet, i, "w", program, program, program, false, Seconds(5))
              .code == "unauthorized");
    CHECK(SendTurn(fleet, i, "v", program, program, program, false, Seconds(9))
              .answered());
  }
}

// Every entry serves a new route within seconds after the change is accepted.
void ApplyConfigEverywhere(ScenarioContext& context) {
  Fleet& fleet = context.fleet;
  const Clock clock = Clock::Steady();
  Ms longest;
  for (int round = 0; round < 5; ++round) {
    const std::string path = absl::StrCat("/round-", round);
    const ChangeResult applied =
        ApplyRules(fleet.config(), RulesText(fleet.options(), path));
    REQUIRE(applied.state == ChangeState::kApplied);
    const Ms start = clock.Now();
    for (size_t i = 0; i < fleet.entry_count(); ++i) {
      HttpClient client(fleet.entry(i).listen);
      const bool works = WaitUntil(Seconds(13), [&] {
        const auto reply = client.Call({"GET", path, "", {}, ""});
        return reply.ok() && reply->status != 404;
      });
      CHECK(works);
    }
    longest = std::max(longest, clock.Now() - start);
  }
  PrintFigure("config_applied_at_every_entry", longest.Seconds(), "s");
  CHECK(longest < Seconds(5));
}

}  // namespace

std::span<const Scenario> PlannedScenarios() {
  static const auto* const kScenarios = new std::vector<Scenario>{
      {"entry_stops_under_load",
       StopEntryUnderLoad,
       {.engine_options = SlowEngineOptions()}},
      {"upstream_leaves_under_load",
       StopSidecarUnderLoad,
       {.engine_options = SlowEngineOptions()}},
      {"crashing_request_resent", ResendCrashingRequest, {.engines = 3}},
      {"key_withdrawn_in_stream",
       WithdrawKeyInStream,
       {.engine_options = {{"decode_tokens_per_s", 3}}}},
      {"config_applied_everywhere", ApplyConfigEverywhere},
  };
  return *kScenarios;
}

}  // namespace knapweed

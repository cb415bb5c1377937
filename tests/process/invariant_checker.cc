#include "tests/process/invariant_checker.h"

#include <algorithm>
#include <map>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

using nlohmann::json;

using Faults = std::vector<std::string>;

// One distinct turn of a program; running the same turn again is allowed, since
// model calls are idempotent.
struct Turn {
  size_t messages = 0;
  std::string digest;
  std::string after;
  std::vector<std::string> prefixes;
};

struct ProgramTurns {
  std::string name;
  std::vector<Turn> turns;
};

bool Holds(const std::vector<std::string>& digests, const std::string& one) {
  return std::find(digests.begin(), digests.end(), one) != digests.end();
}

std::string NameOf(const json& line) {
  return absl::StrCat(line.value("workspace", ""), "/",
                      line.value("program", ""));
}

// The finished turns of all programs, each program's in the order of time.
std::vector<ProgramTurns> CollectTurns(const std::vector<json>& engines) {
  std::vector<json> lines;
  for (const json& record : engines) {
    for (const json& it : record) {
      if (it.value("kind", "") == "chat" && it.value("state", "") == "done") {
        lines.push_back(it);
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const json& a, const json& b) {
                     return a["started_ms"] < b["started_ms"];
                   });
  std::map<std::string, ProgramTurns> programs;
  for (const json& it : lines) {
    ProgramTurns& program = programs[NameOf(it)];
    program.name = NameOf(it);
    const std::string digest = it["digest"];
    const bool seen =
        std::any_of(program.turns.begin(), program.turns.end(),
                    [&](const Turn& turn) { return turn.digest == digest; });
    if (seen) continue;
    program.turns.push_back({it["messages"], digest, it["after"],
                             it["prefixes"].get<std::vector<std::string>>()});
  }
  std::vector<ProgramTurns> list;
  list.reserve(programs.size());
  for (auto& [name, program] : programs) list.push_back(std::move(program));
  return list;
}

// Each turn continues the one before it.
void CheckOrder(const ProgramTurns& program, Faults* faults) {
  for (size_t i = 1; i < program.turns.size(); ++i) {
    const Turn& before = program.turns[i - 1];
    const Turn& turn = program.turns[i];
    if (Holds(turn.prefixes, before.after)) continue;
    faults->push_back(absl::StrCat(
        "program ", program.name, ": distinct turn ", i + 1, " with ",
        turn.messages, " messages does not continue the turn before it with ",
        before.messages, " messages"));
  }
}

// No turn contains a turn of another program.
void CheckMixing(const std::vector<ProgramTurns>& programs, Faults* faults) {
  std::map<std::string, std::string> owner_of_digest;
  for (const ProgramTurns& program : programs) {
    for (const Turn& turn : program.turns) {
      owner_of_digest.emplace(turn.digest, program.name);
    }
  }
  for (const ProgramTurns& program : programs) {
    for (const Turn& turn : program.turns) {
      for (const std::string& prefix : turn.prefixes) {
        const auto it = owner_of_digest.find(prefix);
        if (it == owner_of_digest.end() || it->second == program.name) continue;
        faults->push_back(absl::StrCat("program ", program.name,
                                       " saw history of ", it->second));
      }
    }
  }
}

void CheckRuns(const FleetRecords& records, Faults* faults) {
  std::map<std::string, int> runs;
  for (const json& record : records.services) {
    for (const json& it : record) {
      const std::string reference = it.value("reference", "");
      if (!reference.empty() && it.value("ran", false)) ++runs[reference];
    }
  }
  for (const auto& [reference, n] : runs) {
    if (n > 1) {
      faults->push_back(absl::StrCat(reference, " ran ", n, " times"));
    }
    if (records.not_run.contains(reference)) {
      faults->push_back(
          absl::StrCat(reference, " ran, but was answered \"not run\""));
    }
  }
}

void CheckHeaders(const json& line, const std::vector<std::string>& keys,
                  Faults* faults) {
  for (const json& header : line.value("headers", json::array())) {
    const std::string name = header[0];
    const std::string value = header[1];
    bool leaks = absl::AsciiStrToLower(name) == "authorization";
    for (const std::string& key : keys) {
      leaks |= absl::StrContains(name, key) || absl::StrContains(value, key);
    }
    if (!leaks) continue;
    faults->push_back(absl::StrCat("an upstream saw a key in header ", name));
  }
}

}  // namespace

std::vector<std::string> FindBrokenPromises(const FleetRecords& records) {
  Faults faults;
  const std::vector<ProgramTurns> programs = CollectTurns(records.engines);
  for (const ProgramTurns& program : programs) CheckOrder(program, &faults);
  CheckMixing(programs, &faults);
  CheckRuns(records, &faults);
  for (const std::vector<json>* list : {&records.engines, &records.services}) {
    for (const json& record : *list) {
      for (const json& line : record) CheckHeaders(line, records.keys, &faults);
    }
  }
  return faults;
}

}  // namespace knapweed

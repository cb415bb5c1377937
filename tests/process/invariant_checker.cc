#include "tests/process/invariant_checker.h"

#include <algorithm>
#include <map>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

using nlohmann::json;

using Violations = std::vector<std::string>;

// A distinct turn of a program. Repeated runs of one turn are allowed, since
// model calls are idempotent.
struct Turn {
  size_t messages = 0;
  // Digest of the messages, without and with the answer.
  std::string digest;
  std::string digest_with_answer;
  // Digests of all prefixes of the messages.
  std::vector<std::string> prefixes;
};

struct ProgramTurns {
  std::string name;
  std::vector<Turn> turns;
};

bool Contains(const std::vector<std::string>& digests,
              const std::string& digest) {
  return std::find(digests.begin(), digests.end(), digest) != digests.end();
}

std::string ProgramName(const json& request) {
  return absl::StrCat(request.value("workspace", ""), "/",
                      request.value("program", ""));
}

// Returns the distinct finished turns of each program, sorted by the time of
// their first start.
std::vector<ProgramTurns> CollectTurns(const std::vector<json>& engines) {
  std::vector<json> requests;
  for (const json& record : engines) {
    for (const json& it : record) {
      if (it.value("kind", "") == "chat" && it.value("state", "") == "done") {
        requests.push_back(it);
      }
    }
  }
  std::stable_sort(requests.begin(), requests.end(),
                   [](const json& a, const json& b) {
                     return a["started_ms"] < b["started_ms"];
                   });
  std::map<std::string, ProgramTurns> programs;
  for (const json& it : requests) {
    ProgramTurns& program = programs[ProgramName(it)];
    program.name = ProgramName(it);
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

// Checks that each turn continues the previous one.
void CheckOrder(const ProgramTurns& program, Violations* violations) {
  for (size_t i = 1; i < program.turns.size(); ++i) {
    const Turn& previous = program.turns[i - 1];
    const Turn& turn = program.turns[i];
    if (Contains(turn.prefixes, previous.digest_with_answer)) continue;
    violations->push_back(absl::StrCat(
        "program ", program.name, ": distinct turn ", i + 1, " with ",
        turn.messages, " messages does not continue the previous turn with ",
        previous.messages, " messages"));
  }
}

// Checks that no turn contains a turn of another program.
void CheckIsolation(const std::vector<ProgramTurns>& programs,
                    Violations* violations) {
  std::map<std::string, std::string> digest_programs;
  for (const ProgramTurns& program : programs) {
    for (const Turn& turn : program.turns) {
      digest_programs.emplace(turn.digest, program.name);
    }
  }
  for (const ProgramTurns& program : programs) {
    for (const Turn& turn : program.turns) {
      for (const std::string& prefix : turn.prefixes) {
        const auto it = digest_programs.find(prefix);
        if (it == digest_programs.end() || it->second == program.name) continue;
        violations->push_back(absl::StrCat(
            "program ", program.name, " received history of ", it->second));
      }
    }
  }
}

// Checks that each service call ran at most once, and that none ran that was
// answered "not run".
void CheckServiceRuns(const FleetRecords& records, Violations* violations) {
  std::map<std::string, int> runs;
  for (const json& record : records.services) {
    for (const json& it : record) {
      const std::string reference = it.value("reference", "");
      if (!reference.empty() && it.value("ran", false)) ++runs[reference];
    }
  }
  for (const auto& [reference, n] : runs) {
    if (n > 1) {
      violations->push_back(absl::StrCat(reference, " ran ", n, " times"));
    }
    if (records.not_run.contains(reference)) {
      violations->push_back(
          absl::StrCat(reference, " ran, but was answered \"not run\""));
    }
  }
}

// Checks that a request to an upstream has no Authorization header and no key
// in a header.
void CheckHeaders(const json& request, const std::vector<std::string>& keys,
                  Violations* violations) {
  for (const json& header : request.value("headers", json::array())) {
    const std::string name = header[0];
    const std::string value = header[1];
    bool leaks = absl::AsciiStrToLower(name) == "authorization";
    for (const std::string& key : keys) {
      leaks |= absl::StrContains(name, key) || absl::StrContains(value, key);
    }
    if (!leaks) continue;
    violations->push_back(
        absl::StrCat("an upstream received a key in header ", name));
  }
}

}  // namespace

std::vector<std::string> FindViolations(const FleetRecords& records) {
  Violations violations;
  const std::vector<ProgramTurns> programs = CollectTurns(records.engines);
  for (const ProgramTurns& program : programs) CheckOrder(program, &violations);
  CheckIsolation(programs, &violations);
  CheckServiceRuns(records, &violations);
  for (const std::vector<json>* list : {&records.engines, &records.services}) {
    for (const json& record : *list) {
      for (const json& request : record) {
        CheckHeaders(request, records.keys, &violations);
      }
    }
  }
  return violations;
}

}  // namespace knapweed

// End-to-end tests of stored turns: how long a chain lives, and turns of any
// size.
#include <doctest/doctest.h>

#include <algorithm>

#include "knapweed/base/ids.h"
#include "knapweed/base/parse.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

constexpr Ms kKeep{1000};

// What a turn adds to the history of a chain.
std::string TextOf(const std::string& input) {
  return input + "word1\nword2\nword3\n";
}

void KeepTurnsFor(TestCluster& cluster, Ms keep) {
  cluster.Configure([&](nlohmann::json& config) {
    for (auto& route : config["routes"]) {
      route["keep_s"] = static_cast<double>(keep.count) / 1000;
    }
    config["limits"]["max_body_bytes"] = 4 << 20;
  });
  for (auto& engine : cluster.engines) {
    engine->default_script = {Script::Kind::kEvents, 3, -1, Ms{0}};
  }
  cluster.RunFor(Ms{300});
}

CallerResponse RunTurn(TestCluster& cluster, const std::string& id,
                       const std::string& previous, const std::string& input,
                       int gateway) {
  CallerRequest turn = PlainCall("/kept/x", id);
  turn.body = input;
  if (!previous.empty()) turn.headers["Previous-Turn"] = previous;
  return cluster.Call(turn, gateway);
}

// Returns the body with which a turn ran; empty if it didn't.
std::string BodyOf(const TestCluster& cluster, const std::string& id) {
  std::string body;
  for (const ReceivedRequest& request : cluster.EngineRequests()) {
    if (request.Get("Request-Id") == id) body = request.body;
  }
  return body;
}

// Time until which a row of the table of turns stays, as it states; 0 for a
// further row of a turn.
Ms StaysUntil(const std::string& value) {
  Ms until;
  const std::string text = value.substr(0, value.find('\n'));
  return ParseNumber(text, &until.count) ? until : Ms{0};
}

// Removes the rows whose time is over, as any gateway may.
void RemoveExpired(TestCluster& cluster) {
  const Ms now = Clock::Steady().Now();
  cluster.store.RemoveIf("turns", [&](const std::string& value) {
    const Ms until = StaysUntil(value);
    return until > Ms{0} && until < now;
  });
}

// Guards against a turn that can't be continued because an earlier turn of its
// chain was removed, which only gateways that never served the chain notice.
TEST_CASE("a chain lives as long as its newest turn") {
  TestCluster cluster(2, 2);
  KeepTurnsFor(cluster, kKeep);
  std::string history;
  std::string previous;
  constexpr int kTurns = 6;
  std::vector<std::string> histories;
  for (int i = 0; i < kTurns; ++i) {
    const std::string id = "turn-" + std::to_string(i);
    const std::string input = "input-" + std::to_string(i) + ";";
    const CallerResponse response =
        RunTurn(cluster, id, previous, input, i % 2);
    CHECK(response.status == 200);
    CHECK(response.complete);
    CHECK(BodyOf(cluster, id) == history + input);
    histories.push_back(history);
    history += TextOf(input);
    previous = id;
    // Rows stay for a bounded time.
    const Ms latest = Clock::Steady().Now() + kKeep * 2 + Ms{100};
    cluster.store.RemoveIf("turns", [&](const std::string& value) {
      CHECK(StaysUntil(value) < latest);
      return false;
    });
    if (i + 1 < kTurns) cluster.RunFor(kKeep * 8 / 10);
  }
  // A branch that began earlier, and is continued for the first time.
  const int last = kTurns - 1;
  const std::string sibling = "input-b;";
  RunTurn(cluster, "branch", "turn-" + std::to_string(last - 1), sibling, 0);
  cluster.RunFor(kKeep * 9 / 10);
  RemoveExpired(cluster);
  struct Row {
    const char* previous;
    std::string history;
  };
  const Row rows[] = {
      {"turn-5", history},
      {"branch", histories[static_cast<size_t>(last)] + TextOf(sibling)},
  };
  // One that has none of the turns in memory.
  const int fresh = cluster.AddGateway("fresh");
  cluster.RunUntil([&] { return cluster.gateways.back()->IsReady(); });
  for (const Row& row : rows) {
    const std::string what = row.previous;
    CAPTURE(what);
    const std::string id = "after-" + what;
    const CallerResponse response = RunTurn(cluster, id, what, "more;", fresh);
    CHECK(response.status == 200);
    CHECK(BodyOf(cluster, id) == row.history + "more;");
  }
}

CallerRequest ResumeOf(const std::string& id, const std::string& begun_by,
                       int after) {
  CallerRequest resume = PlainCall("/kept/x", id);
  resume.body = "one;";
  resume.headers["Last-Event-Id"] = std::to_string(after);
  resume.headers["Resumes"] = begun_by;
  return resume;
}

// Guards against a conversation that can't go on, or goes on without a part of
// what was said, after its caller has resumed a turn.
TEST_CASE("a turn that its caller resumed is continued with all its events") {
  constexpr int kEvents = 5;
  struct Row {
    const char* what;
    // Events after which the caller's streams break, one after the other; it
    // resumes each.
    std::vector<int> breaks;
    uint32_t max_attempts;
    // How the runs that follow the last resumed one behave.
    std::vector<Script> starts;
    bool begins_elsewhere;
    bool is_continued;
  };
  const Script good{Script::Kind::kEvents, kEvents, -1, Ms{0}};
  const Script broken{Script::Kind::kEvents, kEvents, 1, Ms{0}};
  const Script full{Script::Kind::kFull, 0, -1, Ms{0}};
  const Row rows[] = {
      {"resumed once", {2}, 2, {}, false, true},
      {"after the first event", {1}, 2, {}, false, true},
      {"a single attempt", {2}, 1, {}, false, true},
      {"resumed twice", {1, 3}, 2, {}, false, true},
      {"after the last event", {kEvents}, 2, {}, false, true},
      {"at another gateway", {2}, 2, {}, true, true},
      {"an upstream refuses the start", {2}, 2, {full, good}, false, true},
      {"the start breaks off once", {2}, 3, {broken, good}, false, true},
      {"the start can't be read", {2}, 2, {broken, broken}, false, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(2, 2);
    KeepTurnsFor(cluster, Seconds(60));
    cluster.Configure([&](nlohmann::json& config) {
      config["routes"][1]["resumable"] = true;
      config["routes"][1]["max_attempts"] = row.max_attempts;
    });
    cluster.RunFor(Ms{300});
    auto scripts = std::make_shared<std::deque<Script>>();
    for (auto& engine : cluster.engines) {
      engine->shared_scripts = scripts;
      engine->default_script = good;
    }
    // The gateway itself would go on with a stream that breaks, so each run
    // that may follow breaks at the same event.
    const auto break_after = [&](int event) {
      scripts->assign(row.max_attempts,
                      {Script::Kind::kEvents, kEvents, event, Ms{0}});
    };
    break_after(row.breaks.front());
    const int first = row.begins_elsewhere ? 1 : 0;
    // A caller may also have lost the end alone.
    const bool ends = row.breaks.front() == kEvents;
    CHECK(RunTurn(cluster, "begun", "", "one;", first).complete == ends);
    for (size_t i = 1; i < row.breaks.size(); ++i) {
      break_after(row.breaks[i]);
      const std::string id = "resumed-" + std::to_string(i);
      CHECK_FALSE(
          cluster.Call(ResumeOf(id, "begun", row.breaks[i - 1])).complete);
    }
    scripts->assign(row.starts.begin(), row.starts.end());
    if (!row.starts.empty()) scripts->push_front(good);
    const CallerResponse rest =
        cluster.Call(ResumeOf("resumed", "begun", row.breaks.back()));
    CHECK(rest.complete == row.is_continued);
    // The caller gets what it has not got yet, once.
    std::string output;
    for (int i = 1; i <= kEvents; ++i) {
      const std::string word = "word" + std::to_string(i);
      output += word + "\n";
      const bool is_sent = rest.body.find(word) != std::string::npos;
      CHECK(is_sent == (i > row.breaks.back()));
    }
    scripts->clear();
    const CallerResponse next = RunTurn(cluster, "next", "resumed", "two;", 1);
    CHECK(next.status == (row.is_continued ? 200 : 404));
    const std::string body = row.is_continued ? "one;" + output + "two;" : "";
    CHECK(BodyOf(cluster, "next") == body);
  }
}

// Guards against turns of many rows that are stored and can't be read back.
TEST_CASE("a turn of any size is read back by another gateway") {
  const size_t sizes[] = {
      0,       1,       65535,  65536, 655360, 680022, (680 << 10) - 300,
      1400000, 3000000, 4194304};
  TestCluster cluster(1, 2);
  KeepTurnsFor(cluster, Seconds(60));
  const int fresh = cluster.AddGateway("fresh");
  cluster.RunUntil([&] { return cluster.gateways.back()->IsReady(); });
  for (const size_t size : sizes) {
    CAPTURE(size);
    const std::string id = "sized-" + std::to_string(size);
    std::string input;
    for (size_t i = 0; input.size() < size; ++i) input += std::to_string(i);
    input.resize(size);
    const CallerResponse response = RunTurn(cluster, id, "", input, 0);
    CHECK(response.status == 200);
    CHECK(response.complete);
    const std::string next = "after-" + id;
    CHECK(RunTurn(cluster, next, id, "more;", fresh).status == 200);
    const bool whole = BodyOf(cluster, next) == TextOf(input) + "more;";
    CHECK(whole);
    // A section is no turn.
    const CallerResponse section =
        RunTurn(cluster, "section-" + id, id + "^0", "more;", fresh);
    CHECK(section.status == 404);
  }
}

// Returns the part of the table of turns that holds the rows of an id.
uint64_t PartOf(const std::string& id) {
  constexpr uint64_t kParts = 256;
  return HashBytes(id) % kParts;
}

// Returns the first id "PREFIXn" that fulfils the condition.
std::string FindId(const std::string& prefix,
                   const std::function<bool(const std::string&)>& matches) {
  int n = 0;
  while (!matches(prefix + std::to_string(n))) ++n;
  return prefix + std::to_string(n);
}

// Guards against a turn that no gateway can read because rows of other turns
// are stored next to its own: those of its sections, or of ids that begin with
// its own.
TEST_CASE("a turn is read back whatever is stored next to it") {
  constexpr size_t kLong = 690000;
  struct Row {
    const char* what;
    size_t size;
    bool shares_part_with_section;
    int neighbours;
  };
  const Row rows[] = {
      {"short, alone", 100, false, 0},
      {"its section elsewhere", 1300000, false, 0},
      {"its section in its part", 1300000, true, 0},
      {"short, next to longer ids", 100, false, 2},
      {"several rows, next to longer ids", 200000, false, 2},
      {"as long as fits in a commit, next to longer ids", kLong, false, 1},
  };
  TestCluster cluster(1, 2);
  KeepTurnsFor(cluster, Seconds(60));
  const int fresh = cluster.AddGateway("fresh");
  cluster.RunUntil([&] { return cluster.gateways.back()->IsReady(); });
  int n = 0;
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const std::string id =
        FindId("turn-" + std::to_string(n++) + "-", [&](const auto& name) {
          return (PartOf(name) == PartOf(name + "^0")) ==
                 row.shares_part_with_section;
        });
    std::string next_to = id;
    for (int i = 0; i < row.neighbours; ++i) {
      next_to += "-";
      next_to = FindId(next_to, [&](const auto& name) {
        return PartOf(name) == PartOf(id);
      });
      CHECK(RunTurn(cluster, next_to, "", std::string(kLong, 'n'), 0).complete);
    }
    const std::string input(row.size, 'i');
    CHECK(RunTurn(cluster, id, "", input, 0).complete);
    const std::string next = "after-" + id;
    CHECK(RunTurn(cluster, next, id, "more;", fresh).status == 200);
    const bool is_whole = BodyOf(cluster, next) == TextOf(input) + "more;";
    CHECK(is_whole);
  }
}

// Guards against a 404 for a turn that is there, from an answer of the store
// that doesn't say that it isn't.
TEST_CASE("an answer without readable rows doesn't say that a turn is gone") {
  using nlohmann::json;
  const auto with_row = [](const char* field, const json& value) {
    return [field, value](json& answer) { answer["rows"][0][field] = value; };
  };
  struct Row {
    const char* what;
    std::function<void(json&)> edit;
  };
  const Row rows[] = {
      {"another message",
       [](json& it) {
         it = {{"ok", true}};
       }},
      {"no list", [](json& it) { it.erase("rows"); }},
      {"rows are null", [](json& it) { it["rows"] = nullptr; }},
      {"rows are an object", [](json& it) { it["rows"] = json::object(); }},
      {"a row is null", [](json& it) { it["rows"] = {nullptr}; }},
      {"a row is a text", [](json& it) { it["rows"] = {"row"}; }},
      {"a row is empty", [](json& it) { it["rows"] = {json::object()}; }},
      {"another table", with_row("table", "budgets")},
      {"another part", with_row("part", "t999")},
      {"another key", with_row("key", "other")},
      {"a key that is a number", with_row("key", 5)},
      {"a key that is null", with_row("key", nullptr)},
      {"an empty value", with_row("value", "")},
      {"a value that is a number", with_row("value", 5)},
      {"a value that is not base64", with_row("value", "?")},
      {"more pages, but no row",
       [](json& it) {
         it = {{"rows", json::array()}, {"more_pages", true}};
       }},
  };
  constexpr int kDirect = 1;
  constexpr int kRelayed = 2;
  TestCluster cluster(3, 2, 1);
  KeepTurnsFor(cluster, Seconds(60));
  int n = 0;
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const std::string id = "turn-" + std::to_string(n++);
    CHECK(RunTurn(cluster, id, "", "one;", 0).complete);
    for (const int gateway : {kDirect, kRelayed}) {
      CAPTURE(gateway);
      const std::string next = id + "-" + std::to_string(gateway);
      cluster.store.faults.edit_turns_read = row.edit;
      CHECK(RunTurn(cluster, next, id, "two;", gateway).status == 503);
      cluster.store.faults.edit_turns_read = nullptr;
      CHECK(RunTurn(cluster, next, id, "two;", gateway).status == 200);
      CHECK(BodyOf(cluster, next) == TextOf("one;") + "two;");
    }
  }
  for (const int gateway : {kDirect, kRelayed}) {
    CHECK(RunTurn(cluster, "none", "never", "two;", gateway).status == 404);
  }
}

// Adds a route whose turns are kept and waits until the gateway knows it.
void AddKeptRoute(TestCluster& cluster, const std::string& prefix,
                  const std::string& id, int gateway) {
  cluster.Configure([&](nlohmann::json& config) {
    nlohmann::json route = config["routes"][1];
    route["name"] = prefix;
    route["prefix"] = prefix;
    config["routes"].push_back(std::move(route));
  });
  CallerResponse response;
  while (response.status != 200) {
    response = cluster.Call(PlainCall(prefix + "x", id), gateway);
  }
  CHECK(response.complete);
}

// Guards against a 404 for a turn of a route that another gateway already knows
// and this one doesn't yet.
TEST_CASE("a turn of a route that is not known yet is not refused with 404") {
  TestCluster cluster(2, 2, 1);
  constexpr int kDirect = 0;
  constexpr int kRelayed = 1;
  constexpr int kRounds = 6;
  for (int i = 0; i < kRounds; ++i) {
    CAPTURE(i);
    const std::string prefix = "/new" + std::to_string(i) + "/";
    const std::string id = "turn-" + std::to_string(i);
    AddKeptRoute(cluster, prefix, id, kDirect);
    CallerRequest next = PlainCall(prefix + "x", "after-" + id);
    next.headers["Previous-Turn"] = id;
    const int status = cluster.Call(next, kRelayed).status;
    CHECK(status != 404);
    CHECK((status == 200 || status == 503));
    if (status == 200) continue;
    cluster.RunFor(Ms{500});
    CHECK(cluster.Call(next, kRelayed).status == 200);
  }
}

// Guards against unknown routes that cost the store calls, or hold up calls
// that name no turn.
TEST_CASE("calls of unknown routes stay cheap") {
  TestCluster cluster(1, 1);
  const CallerResponse plain = cluster.Call(PlainCall("/none/x"));
  CHECK(plain.status == 404);
  CHECK(plain.elapsed < Ms{100});
  CallerRequest turn = PlainCall("/none/x");
  turn.headers["Previous-Turn"] = "turn";
  constexpr int kCalls = 200;
  const uint64_t calls_before = cluster.store.calls;
  std::vector<std::shared_ptr<CallerResponse>> responses;
  responses.reserve(kCalls);
  for (int i = 0; i < kCalls; ++i) {
    responses.push_back(cluster.StartCall(turn));
  }
  for (const auto& response : responses) {
    cluster.RunUntil([&] { return response->done; });
    CHECK(response->status == 404);
    CHECK(response->elapsed < Seconds(2));
  }
  // What following the tables takes in two seconds, with a margin.
  CHECK(cluster.store.calls - calls_before < 40);
  cluster.store.faults.unavailable = true;
  cluster.RunFor(Ms{700});
  CHECK(cluster.Call(turn).status == 503);
}

}  // namespace
}  // namespace knapweed::testing

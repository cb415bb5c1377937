#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "knapweed/entry/caller_api.h"
#include "knapweed/entry/entry_config.h"
#include "knapweed/entry/prompt.h"
#include "knapweed/entry/share_watch.h"
#include "knapweed/entry/store_contact.h"
#include "knapweed/entry/stream_cursor.h"
#include "knapweed/rules/keys.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {
namespace {

constexpr std::string_view kRules = R"(
pool chat models=small  # Sato: t
pool desk  # Sato: t
route /v1/chat/completions pool=chat  # Sato: t
route /book pool=desk kind=service non_idempotent  # Sato: t
route /catalogue pool=desk kind=service open  # Sato: t
workspace cannery rate=1 burst=1  # Sato: t
)";

struct Fixture {
  Fixture() : rules(ParseRules(kRules).rules) {
    const IssuedKey key = MakeKey(WorkspaceId("cannery"));
    key_text = key.text;
    rules.keys = {key.record};
    SortRules(rules);
  }
  Rules rules;
  std::string key_text;
};

constexpr char kGoodBody[] =
    R"({"model":"small","messages":[{"role":"user","content":"hi"}]})";

TEST_CASE("ParseCall rejects invalid requests") {
  struct Row {
    std::string path;
    std::string body;
    std::vector<HttpHeader> headers;
    std::string method;
    ErrorCode code;
    std::string message;
  };
  const std::string model = "/v1/chat/completions";
  const std::string long_name(kMaxNameBytes + 1, 'p');
  const std::vector<Row> rows = {
      {model, "", {}, "POST", ErrorCode::kBadRequest, "JSON object"},
      {model, "[1]", {}, "POST", ErrorCode::kBadRequest, "JSON object"},
      {model, "{\"model\":", {}, "POST", ErrorCode::kBadRequest, "JSON"},
      {model, "{}", {}, "POST", ErrorCode::kBadRequest, "'model'"},
      {model,
       R"({"model":"small"})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "'messages'"},
      {model,
       R"({"model":"small","messages":[]})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "'messages'"},
      {model,
       R"({"model":"small","messages":[{"role":"user"}]})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "'content'"},
      {model,
       R"({"model":"small","messages":[7]})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "Each message"},
      {model,
       R"({"model":"small","stream":1,"messages":[{"role":"u","content":"h"}]})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "'stream'"},
      {model,
       R"({"model":"small","max_tokens":-1,"messages":[{"role":"u","content":""}]})",
       {},
       "POST",
       ErrorCode::kBadRequest,
       "'max_tokens'"},
      {model,
       R"({"model":"huge","messages":[{"role":"user","content":"hi"}]})",
       {},
       "POST",
       ErrorCode::kUnknownModel,
       "'huge'"},
      {model, kGoodBody, {}, "GET", ErrorCode::kBadRequest, "POST"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Program", "a b"}},
       "POST",
       ErrorCode::kBadRequest,
       "X-Knapweed-Program"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Program", long_name}},
       "POST",
       ErrorCode::kBadRequest,
       "X-Knapweed-Program"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Parent", "\x01"}},
       "POST",
       ErrorCode::kBadRequest,
       "X-Knapweed-Parent"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Program", "~once-1"}},
       "POST",
       ErrorCode::kBadRequest,
       "must not start with"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Deadline-Ms", "soon"}},
       "POST",
       ErrorCode::kBadRequest,
       "milliseconds"},
      {model,
       kGoodBody,
       {{"X-Knapweed-Deadline-Ms", "0"}},
       "POST",
       ErrorCode::kBadRequest,
       "milliseconds"},
      {"/book", "{}", {}, "POST", ErrorCode::kBadRequest, "Idempotency-Key"},
  };
  const Fixture fixture;
  const CallerIdentity caller{WorkspaceId("cannery"), "id"};
  for (const Row& row : rows) {
    CAPTURE(row.body);
    CAPTURE(row.message);
    const RouteRule* route = FindRoute(fixture.rules, row.path);
    REQUIRE(route != nullptr);
    const HttpRequest request{row.method, row.path, "", row.headers, row.body};
    const auto parsed = ParseCall(fixture.rules, *route, caller, request, {});
    const auto* error = std::get_if<CallError>(&parsed);
    REQUIRE(error != nullptr);
    CHECK(error->code == row.code);
    CHECK(error->run == RunState::kNotRun);
    CHECK(error->message.find(row.message) != std::string::npos);
  }
}

TEST_CASE("a call without a program name gets a program of its own") {
  struct Row {
    std::vector<HttpHeader> headers;
    std::string program;
    std::string key;
  };
  const std::vector<Row> rows = {
      {{{"X-Knapweed-Program", "p"}, {"Idempotency-Key", "k"}}, "p", "k"},
      {{{"Idempotency-Key", "k"}}, "call-k", "k"},
      {{{"X-Knapweed-Program", "p"}}, "p", ""},
      {{}, "", ""},
  };
  const Fixture fixture;
  const RouteRule* route = FindRoute(fixture.rules, "/v1/chat/completions");
  for (const Row& row : rows) {
    CAPTURE(row.program);
    const HttpRequest request{"POST", route->path, "", row.headers, kGoodBody};
    const auto parsed = ParseCall(fixture.rules, *route,
                                  {WorkspaceId("cannery"), "id"}, request, {});
    const auto* call = std::get_if<wire::CallT>(&parsed);
    REQUIRE(call != nullptr);
    CHECK(call->workspace == "cannery");
    if (row.program.empty()) {
      CHECK(call->program == "~once-" + call->request_id);
    } else {
      CHECK(call->program == row.program);
    }
    if (row.key.empty()) {
      CHECK(call->idempotency_key == "request-" + call->request_id);
    } else {
      CHECK(call->idempotency_key == row.key);
    }
  }
}

TEST_CASE("Authorize returns the workspace of a valid key") {
  const Fixture fixture;
  struct Row {
    std::string path;
    std::string header;
    bool confirmed;
    std::string workspace;
    ErrorCode code;
  };
  const std::vector<Row> rows = {
      {"/book", "Bearer " + fixture.key_text, true, "cannery", {}},
      {"/book", fixture.key_text, true, "", ErrorCode::kUnauthorized},
      {"/book", "Bearer kw_x_y", true, "", ErrorCode::kUnauthorized},
      {"/book", "", true, "", ErrorCode::kUnauthorized},
      {"/book", "Bearer " + fixture.key_text, false, "",
       ErrorCode::kStoreUnavailable},
      {"/catalogue", "", true, "open", {}},
      {"/catalogue", "", false, "open", {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    CAPTURE(row.header);
    HttpRequest request;
    if (!row.header.empty()) request.headers = {{"Authorization", row.header}};
    const auto who =
        Authorize(fixture.rules, *FindRoute(fixture.rules, row.path), request,
                  row.confirmed);
    if (const auto* caller = std::get_if<CallerIdentity>(&who)) {
      CHECK(caller->workspace.value == row.workspace);
    } else {
      CHECK(row.workspace.empty());
      CHECK(std::get<CallError>(who).code == row.code);
    }
  }
}

TEST_CASE("error replies have the same JSON fields for every error code") {
  for (int i = 0; i < kErrorCodeCount; ++i) {
    const CallError error{static_cast<ErrorCode>(i), RunState::kUnknown,
                          Ms{1500}, "why \xff"};
    const HttpReply reply = ErrorReply(error, "r1");
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    REQUIRE(json.is_object());
    CHECK(json["error"]["code"] == ErrorCodeName(error.code));
    CHECK(json["error"]["run"] == "unknown");
    CHECK(json["error"]["retry_after_ms"] == 1500);
    CHECK(json["error"]["request_id"] == "r1");
    CHECK(FindHeader(reply.headers, "Retry-After") == "2");
    CHECK(reply.status == HttpStatusOf(error.code));
  }
}

TEST_CASE("StreamCursor forwards a repeated answer only once") {
  struct Row {
    std::string name;
    // "<" restarts the answer from its beginning.
    std::vector<std::string> pieces;
    std::string full_answer;
    std::string forwarded;
    bool diverged;
  };
  const std::vector<Row> rows = {
      {"no repetition", {"ab", "cd"}, "abcd", "abcd", false},
      {"one restart", {"ab", "<", "a", "bc", "d"}, "abcd", "abcd", false},
      {"two restarts", {"abc", "<", "ab", "<", "abcd"}, "abcd", "abcd", false},
      {"restart with a different text", {"ab", "<", "ax"}, "", "ab", true},
      {"rest of the full answer", {"ab"}, "abcd", "abcd", false},
      {"full answer differs", {"ab"}, "xbcd", "ab", true},
      {"empty pieces", {"", "ab", ""}, "ab", "ab", false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::string forwarded;
    const ChunkSink sink = [&](std::string_view piece) {
      forwarded += piece;
      return true;
    };
    StreamCursor cursor(sink);
    for (const std::string& piece : row.pieces) {
      if (piece == "<") {
        cursor.Restart();
      } else {
        cursor.Push(piece);
      }
    }
    if (!row.full_answer.empty()) cursor.PushRest(row.full_answer);
    CHECK(forwarded == row.forwarded);
    CHECK(cursor.diverged() == row.diverged);
  }
}

TEST_CASE("a prompt is the history followed by the new messages") {
  const ModelRequest request = ReadModelRequest(
      R"({"model":"m","max_tokens":9,"messages":[{"role":"user","content":"c"}]})");
  const std::vector<HistoryMessage> history = {
      R"({"content":"a","role":"user"})", AssistantMessage("b\n\"q\"")};
  const auto body = nlohmann::json::parse(BuildEngineBody(request, history));
  CHECK(body["model"] == "m");
  CHECK(body["max_tokens"] == 9);
  REQUIRE(body["messages"].size() == 3);
  CHECK(body["messages"][0]["content"] == "a");
  CHECK(body["messages"][1]["content"] == "b\n\"q\"");
  CHECK(body["messages"][2]["content"] == "c");
}

TEST_CASE(
    "EvaluateStoreContact finds an outage only if no domain reaches the "
    "store") {
  const DomainAnswer unreachable;
  const DomainAnswer reaches{true, 7, Ms{400}};
  const DomainAnswer reaches_newer{true, 8, Ms{400}};
  const DomainAnswer isolated{true, 7, Seconds(9)};
  const DomainAnswer isolated_newer{true, 8, Seconds(9)};
  const DomainAnswer isolated_older{true, 6, Seconds(9)};
  struct Row {
    std::string name;
    std::vector<DomainAnswer> answers;
    bool confirmed_by_peer;
    bool outage;
    uint64_t newer;
  };
  const std::vector<Row> rows = {
      {"no other domain", {}, false, false, 0},
      {"one reaches the store", {isolated, reaches}, true, false, 0},
      {"one reaches the store and has a newer version",
       {isolated, reaches_newer},
       false,
       false,
       8},
      {"one reaches the store, another has a newer version",
       {reaches, isolated_newer},
       false,
       false,
       8},
      {"all are cut off", {isolated, isolated_older}, false, true, 0},
      {"all are cut off, one has a newer version",
       {isolated, isolated_newer},
       false,
       false,
       8},
      {"one does not answer", {isolated, unreachable}, false, false, 0},
      {"one does not answer, one reaches the store",
       {unreachable, reaches},
       true,
       false,
       0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const StoreContactStatus status = EvaluateStoreContact(7, row.answers);
    CHECK(status.confirmed_by_peer == row.confirmed_by_peer);
    CHECK(status.outage == row.outage);
    CHECK(status.newer_version == row.newer);
  }
}

TEST_CASE("shares are withheld for domains whose entry stopped renewing") {
  struct Row {
    std::string name;
    // Renewal counter of entry b at 0 s, 1 s, 4 s, 7 s and 30 s; 0 when b is
    // not listed.
    std::vector<uint64_t> beats;
    std::vector<bool> withheld;
  };
  const std::vector<Row> rows = {
      {"renews", {5, 6, 9, 12, 40}, {true, false, false, false, false}},
      {"never renews", {5, 5, 5, 5, 5}, {true, true, true, true, true}},
      {"stops renewing", {5, 6, 6, 6, 6}, {true, false, false, true, true}},
      {"stops and resumes", {5, 6, 6, 6, 7}, {true, false, false, true, false}},
      {"is removed", {5, 6, 0, 0, 0}, {true, false, false, true, false}},
      {"joins later", {0, 1, 2, 4, 30}, {false, false, false, false, false}},
  };
  const int64_t seconds[] = {0, 1, 4, 7, 30};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ShareWatch watch(MemberId("a"), Seconds(5));
    MemberRenewals own;
    own.member.id = MemberId("a");
    own.member.incarnation = "a1";
    own.member.domain = FailureDomain("da");
    MemberRenewals other;
    other.member.id = MemberId("b");
    other.member.incarnation = "b1";
    other.member.domain = FailureDomain("db");
    for (size_t i = 0; i < row.beats.size(); ++i) {
      CAPTURE(i);
      std::vector<MemberRenewals> beats = {own};
      other.renewal_count = row.beats[i];
      if (other.renewal_count > 0) beats.push_back(other);
      const auto domains = watch.OutOfContact(beats, Seconds(seconds[i]));
      CHECK(domains.count(FailureDomain("db")) == (row.withheld[i] ? 1 : 0));
      CHECK(domains.count(FailureDomain("da")) == 0);
    }
  }
}

TEST_CASE("PickRepresentatives returns one entry per domain and never itself") {
  std::vector<Member> members(5);
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].id = MemberId("m" + std::to_string(i));
    members[i].domain = FailureDomain(i < 3 ? "a" : "b");
  }
  std::map<std::string, int> asked;
  for (uint64_t round = 0; round < 12; ++round) {
    const auto picked = PickRepresentatives(members, MemberId("m0"), round);
    REQUIRE(picked.size() == 2);
    for (const Member& it : picked) ++asked[it.id.value];
  }
  CHECK(asked.size() == 4);
  CHECK(asked.count("m0") == 0);
}

TEST_CASE("invalid entry settings are rejected") {
  const std::string good =
      "[entry]\nname = a\nfailure_domain = d\nlisten = 127.0.0.1:1\n"
      "rpc = 127.0.0.1:2\ncontrol = 127.0.0.1:3\n"
      "[platform]\ntable = 127.0.0.1:4\nobjects = 127.0.0.1:4\n";
  struct Row {
    std::string extra_settings;
    std::string expected_error;
  };
  const std::vector<Row> rows = {
      {"", ""},
      {"[membership]\nlease = 2s\n", "'membership.renew_every' must be"},
      {"[membership]\nlease = 2\n", "f:11: 'membership.lease' is '2'"},
      {"[membership]\npartition_count = 0\n", "from 1 to 65536"},
      {"[log]\nlevel = loud\n", "expected debug, info"},
      {"[entry]\nthreads = many\n", "'entry.threads' is 'many'"},
      {"[entri]\nthreads = 1\n", "'entri.threads' is not a known"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.extra_settings);
    const auto config =
        ReadEntryConfig(Settings::Parse(good + row.extra_settings, "f"));
    const std::string message(config.status().message());
    CAPTURE(message);
    CHECK(config.ok() == row.expected_error.empty());
    CHECK(message.find(row.expected_error) != std::string::npos);
  }
}

}  // namespace
}  // namespace knapweed

// What a planned stop and the end of a call leave on connections, in held
// memory and in the rows of budgets.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "knapweed/gateway/peers.h"
#include "tests/platform/raw_caller.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace http = gateway::http;
using gateway::Task;

// Sets the pause of all upstreams.
void SetPause(TestCluster& cluster, Ms pause) {
  for (auto* servers : {&cluster.plain, &cluster.engines}) {
    for (auto& server : *servers) server->default_script.pause = pause;
  }
}

// Guards against the answer to a request that takes the place of the answer to
// the one before it, whose call ended without one.
TEST_CASE("no answer follows a request that got none") {
  struct Row {
    const char* what;
    const char* first_path;
    const char* second_path;
  };
  const Row rows[] = {
      {"plain, refused at once", "/safe/x", "/none/x"},
      {"unsafe, refused at once", "/once/x", "/none/x"},
      {"stream before its head, refused at once", "/turn/x", "/none/x"},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster;
    SetPause(cluster, Seconds(2));
    const RawBytes raw =
        SendAndRead(cluster,
                    RequestBytes("GET", row.first_path, "1.1") +
                        RequestBytes("GET", row.second_path, "1.1"),
                    {.limit = Seconds(3), .stops_sending_after = Ms{200}});
    const RawAnswer first = ParseAnswer(raw, "GET");
    CAPTURE(raw.bytes);
    CHECK(first.status != 404);
  }
}

// What a caller saw that always has two requests on its way.
struct PipelinedCaller {
  size_t answers = 0;
  size_t refused = 0;
  // The last answer said that the connection closes.
  bool last_closes = false;
  bool done = false;
};

Task<void> KeepTwoOnTheWay(TestCluster& cluster, std::string path,
                           PipelinedCaller& caller) {
  gateway::beast::tcp_stream stream(cluster.loop);
  co_await gateway::Connect(stream, cluster.configs[0].callers, Seconds(1));
  stream.expires_after(std::chrono::seconds(20));
  const std::string text = RequestBytes("GET", path, "1.1");
  const std::string two = text + text;
  gateway::NetErrorCode ec;
  co_await asio::async_write(stream, asio::buffer(two),
                             asio::redirect_error(asio::use_awaitable, ec));
  gateway::beast::flat_buffer buf;
  while (!ec && !caller.last_closes) {
    http::response<http::string_body> answer;
    co_await http::async_read(stream, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    ++caller.answers;
    if (answer.result_int() == 503) ++caller.refused;
    caller.last_closes = !answer.keep_alive();
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  caller.done = true;
}

// Guards against callers that keep their connection to a stopping gateway until
// its process ends, because they always have another request on its way.
TEST_CASE("a stop tells callers with several requests on their way to go") {
  for (const std::string path : {"/safe/x", "/once/x", "/turn/x"}) {
    CAPTURE(path);
    TestCluster cluster(1);
    SetPause(cluster, Ms{50});
    PipelinedCaller caller;
    gateway::Spawn(cluster.loop, KeepTwoOnTheWay(cluster, path, caller));
    cluster.RunFor(Ms{300});
    const Clock clock = Clock::Steady();
    const Ms began = clock.Now();
    bool stopped = false;
    const auto shut_down = [&]() -> Task<void> {
      co_await cluster.gateways[0]->Shutdown();
      stopped = true;
    };
    gateway::Spawn(cluster.loop, shut_down());
    REQUIRE(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
    CAPTURE(caller.answers);
    CAPTURE(caller.refused);
    MESSAGE(path, " answers ", caller.answers, " refused ", caller.refused,
            " stop_ms ", (clock.Now() - began).count);
    CHECK(caller.last_closes);
    // Listening ends after 3 s, the grace after 8 s.
    CHECK(clock.Now() - began < Seconds(6));
  }
}

Task<void> AskAndKeepOpen(TestCluster& cluster, std::string text,
                          size_t* answered) {
  gateway::beast::tcp_stream stream(cluster.loop);
  co_await gateway::Connect(stream, cluster.configs[0].callers, Seconds(1));
  stream.expires_never();
  gateway::NetErrorCode ec;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  gateway::beast::flat_buffer buf;
  http::response<http::string_body> answer;
  co_await http::async_read(stream, buf, answer,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (!ec && answer.result_int() == 200) ++*answered;
  co_await gateway::Sleep(cluster.loop, Seconds(5));
}

// Guards against requests that are refused for lack of memory, which is held
// for answered ones whose callers close late.
TEST_CASE("an answered request holds no memory until its caller closes") {
  // Held bytes are at most 16 MB.
  TestCluster cluster(1, 2, 0, 32);
  cluster.Configure([](nlohmann::json& config) {
    config["limits"]["max_body_bytes"] = 4 << 20;
  });
  cluster.RunFor(Seconds(1));
  const std::string body(3 << 20, 'x');
  size_t answered = 0;
  for (size_t i = 1; i <= 4; ++i) {
    const std::string length =
        "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string request = RequestBytes("POST", "/safe/x", "1.1",
                                       "Connection: close\r\n" + length);
    request += body;
    gateway::Spawn(cluster.loop,
                   AskAndKeepOpen(cluster, std::move(request), &answered));
    REQUIRE(cluster.RunUntil([&] { return answered == i; }, Seconds(3)));
  }
  CallerRequest call = PlainCall("/safe/x", "next");
  call.body = body;
  const CallerResponse response = cluster.Call(call);
  CAPTURE(response.body);
  CHECK(response.status == 200);
}

// Guards against a stop that writes the rows of all programs in use in each
// round of maintenance.
TEST_CASE("a stop writes rows of budgets no more often than needed") {
  constexpr int kPrograms = 6;
  TestCluster cluster(1);
  SetPause(cluster, Ms{3500});
  std::vector<std::shared_ptr<CallerResponse>> turns;
  for (int i = 0; i < kPrograms; ++i) {
    const std::string n = std::to_string(i);
    turns.push_back(cluster.StartCall(TurnCall("t" + n, "prog" + n, 1000, 20)));
  }
  cluster.RunFor(Ms{500});
  uint64_t before = cluster.store.commits;
  cluster.RunFor(Seconds(1));
  const uint64_t in_calm = cluster.store.commits - before;
  bool stopped = false;
  const auto shut_down = [&]() -> Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  gateway::Spawn(cluster.loop, shut_down());
  before = cluster.store.commits;
  cluster.RunFor(Seconds(1));
  const uint64_t in_stop = cluster.store.commits - before;
  MESSAGE("commits in 1 s: ", in_calm, " in calm, ", in_stop, " in the stop");
  // Each allowance is returned once.
  CHECK(in_stop <= in_calm + kPrograms + 2);
  CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
}

// Guards against turns that are refused because the home of their program no
// longer reserves for them and has not returned its allowance yet.
TEST_CASE("the next turn of a program is served while its home stops") {
  TestCluster cluster(2);
  cluster.RunFor(Ms{1500});
  const Clock clock = Clock::Steady();
  gateway::Peers peers(clock, cluster.configs[0].peers);
  peers.SetOthers(std::vector<Address>{cluster.configs[1].peers});
  std::string program = "prog0";
  for (int i = 1; !peers.HomeOf("ws1/" + program).is_self; ++i) {
    program = "prog" + std::to_string(i);
  }
  const CallerResponse first = cluster.Call(TurnCall("t1", program, 35, 20), 1);
  REQUIRE(first.status == 200);
  // Its settlement arrives at the home.
  cluster.RunFor(Ms{30});
  bool stopped = false;
  const auto shut_down = [&]() -> Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  gateway::Spawn(cluster.loop, shut_down());
  const CallerResponse second =
      cluster.Call(TurnCall("t2", program, 35, 20), 1);
  CAPTURE(second.body);
  CHECK(second.status == 200);
  CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
}

// Guards against a turn that its caller has whole and no gateway can continue.
TEST_CASE("a whole answer of a turn can be continued") {
  struct Row {
    const char* what;
    std::string raw;
  };
  const std::string seal = "Request-Id: @ID\r\nServer-Seal: s\r\n";
  const std::string stream =
      "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
      "id: 1\ndata: word1\n\n";
  const Row rows[] = {
      {"200, stream", "HTTP/1.1 200 X\r\n" + seal + stream},
      {"201, stream", "HTTP/1.1 201 X\r\n" + seal + stream},
      {"200, plain", "HTTP/1.1 200 X\r\n" + seal +
                         "Content-Type: text/plain\r\n"
                         "Content-Length: 5\r\n\r\nword1"},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1);
    for (auto& engine : cluster.engines) {
      engine->default_script.kind = Script::Kind::kRaw;
      engine->default_script.raw = row.raw;
    }
    const CallerResponse first = cluster.Call(PlainCall("/kept/x", "k1"));
    CAPTURE(first.status);
    const bool is_whole = first.complete && first.status / 100 == 2;
    for (auto& engine : cluster.engines) {
      engine->default_script.kind = Script::Kind::kEvents;
    }
    CallerRequest next = PlainCall("/kept/x", "k2");
    next.headers["Previous-Turn"] = "k1";
    const CallerResponse second = cluster.Call(next);
    CHECK((!is_whole || second.status == 200));
  }
}

// Guards against tokens that two gateways hand out, after the return of an
// allowance was committed and its answer was lost.
TEST_CASE("a stopping home hands out no tokens that it has returned") {
  TestCluster cluster(2);
  cluster.RunFor(Ms{1500});
  const Clock clock = Clock::Steady();
  gateway::Peers peers(clock, cluster.configs[0].peers);
  peers.SetOthers(std::vector<Address>{cluster.configs[1].peers});
  std::string program = "prog0";
  for (int i = 1; !peers.HomeOf("ws1/" + program).is_self; ++i) {
    program = "prog" + std::to_string(i);
  }
  constexpr int kBudget = 160;
  constexpr int kTokens = 20;
  for (auto& engine : cluster.engines) engine->default_script.events = 5;
  REQUIRE(cluster.Call(TurnCall("t1", program, kBudget, kTokens), 0).complete);
  bool stopped = false;
  const auto shut_down = [&]() -> Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  cluster.store.faults.lost_response_rate = 1;
  gateway::Spawn(cluster.loop, shut_down());
  const auto is_returned = [&] {
    const auto row =
        nlohmann::json::parse(cluster.store.Get("budgets", "ws1/" + program));
    return row["state"]["allowances"].empty();
  };
  REQUIRE(cluster.RunUntil(is_returned, Seconds(2)));
  // The tries that follow find the row's part out of reach.
  cluster.store.faults.unavailable_parts = 1;
  cluster.store.faults.lost_response_rate = 0;
  cluster.RunFor(Ms{900});
  SetPause(cluster, Ms{1500});
  std::vector<std::shared_ptr<CallerResponse>> turns;
  turns.push_back(
      cluster.StartCall(TurnCall("t2", program, kBudget, kTokens), 0));
  cluster.RunFor(Ms{30});
  cluster.store.faults.unavailable_parts = 0;
  for (int i = 0; i < 7; ++i) {
    turns.push_back(cluster.StartCall(
        TurnCall("u" + std::to_string(i), program, kBudget, kTokens), 1));
  }
  const auto all_done = [&] {
    return std::all_of(turns.begin(), turns.end(),
                       [](const auto& turn) { return turn->done; });
  };
  REQUIRE(cluster.RunUntil(all_done));
  int spent = kTokens;
  for (const auto& turn : turns) {
    if (turn->status == 200) spent += kTokens;
  }
  MESSAGE("spent ", spent, " of ", kBudget, ", t2 ", turns[0]->status);
  CHECK(spent <= kBudget);
  CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
}

}  // namespace
}  // namespace knapweed::testing

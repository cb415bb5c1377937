// A planned stop of a gateway: what was accepted before it is answered.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "knapweed/gateway/peers.h"
#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

// A caller's connection for several requests in sequence.
struct PersistentConnection {
  explicit PersistentConnection(TestCluster& cluster) : stream(cluster.loop) {}
  gateway::beast::tcp_stream stream;
  gateway::beast::flat_buffer buf;
};

// Sends a GET request and sets `status` from the response, or to 0 without a
// complete response.
gateway::Task<void> SendGet(PersistentConnection& conn, unsigned* status,
                            bool* done) {
  namespace http = gateway::http;
  http::request<http::empty_body> request(http::verb::get, "/safe/x", 11);
  request.set(http::field::host, kHost);
  request.set("Request-Id", "kept");
  request.set("Key", "key1");
  conn.stream.expires_never();
  gateway::NetErrorCode ec;
  co_await http::async_write(
      conn.stream, request,
      gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
  http::response<http::string_body> response;
  if (!ec) {
    co_await http::async_read(
        conn.stream, conn.buf, response,
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
  }
  *status = ec ? 0 : response.result_int();
  *done = true;
}

unsigned SendGetAndWait(TestCluster& cluster, PersistentConnection& conn) {
  unsigned status = 0;
  bool done = false;
  gateway::Spawn(cluster.loop, SendGet(conn, &status, &done));
  cluster.RunUntil([&] { return done; });
  return status;
}

TEST_CASE("a shutdown serves open connections until it completes") {
  TestCluster cluster(2);
  PersistentConnection conn(cluster);
  const Address address = cluster.configs[0].callers;
  bool open = false;
  const auto connect = [&]() -> gateway::Task<void> {
    open = co_await gateway::Connect(conn.stream, address, Seconds(1));
  };
  gateway::Spawn(cluster.loop, connect());
  REQUIRE(cluster.RunUntil([&] { return open; }));
  CHECK(SendGetAndWait(cluster, conn) == 200);
  bool stopped = false;
  const auto shut_down = [&]() -> gateway::Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  gateway::Spawn(cluster.loop, shut_down());
  // The load balancer polls readiness periodically and may still send requests
  // here.
  cluster.RunFor(Ms{1000});
  CHECK_FALSE(cluster.gateways[0]->IsReady());
  CHECK(SendGetAndWait(cluster, conn) == 200);
  // A request whose body is incomplete when the listener closes is served too.
  PersistentConnection late(cluster);
  const std::string text =
      "POST /safe/x HTTP/1.1\r\nHost: " + std::string(kHost) +
      "\r\nRequest-Id: late\r\nKey: key1\r\nContent-Length: 8\r\n\r\nhalf";
  std::string response;
  bool ended = false;
  const auto send = [&]() -> gateway::Task<void> {
    gateway::NetErrorCode ec;
    co_await gateway::Connect(late.stream, address, Seconds(1));
    late.stream.expires_never();
    co_await gateway::asio::async_write(
        late.stream, gateway::asio::buffer(text),
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
    co_await gateway::Sleep(cluster.loop, Ms{2500});
    co_await gateway::asio::async_write(
        late.stream, gateway::asio::buffer(text.substr(text.size() - 4)),
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
    co_await gateway::asio::async_read(
        late.stream, gateway::asio::dynamic_buffer(response),
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
    ended = true;
  };
  gateway::Spawn(cluster.loop, send());
  CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
  // The process exits after the shutdown, so every response must be complete.
  CHECK(ended);
  CHECK(response.starts_with("HTTP/1.1 200"));
}

// A caller that connects and sends one request at a given time.
struct TimedCaller {
  bool connected = false;
  unsigned status = 0;
  bool done = false;
};

gateway::Task<void> ConnectAndSend(TestCluster& cluster, Ms connect_after,
                                   Ms send_after, std::string id,
                                   TimedCaller& caller) {
  co_await gateway::Sleep(cluster.loop, connect_after);
  gateway::beast::tcp_stream stream(cluster.loop);
  const bool open =
      co_await gateway::Connect(stream, cluster.configs[0].callers, Seconds(1));
  caller.connected = open;
  if (open) {
    co_await gateway::Sleep(cluster.loop, send_after);
    const std::string text =
        "GET /safe/x HTTP/1.1\r\nHost: " + std::string(kHost) +
        "\r\nRequest-Id: " + id + "\r\nKey: key1\r\n\r\n";
    gateway::NetErrorCode ec;
    stream.expires_after(std::chrono::seconds(5));
    co_await gateway::asio::async_write(
        stream, gateway::asio::buffer(text),
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
    gateway::beast::flat_buffer buf;
    gateway::http::response<gateway::http::string_body> response;
    co_await gateway::http::async_read(
        stream, buf, response,
        gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
    if (!ec) caller.status = response.result_int();
  }
  caller.done = true;
}

TEST_CASE("a stop answers requests on connections that were just opened") {
  // Connections open and send at the moments at which a stopping gateway stops
  // listening and closes idle connections.
  constexpr Ms kStopsListening{3000};
  constexpr int kCallers = 400;
  TestCluster cluster(1);
  std::deque<TimedCaller> callers;
  for (int i = 0; i < kCallers; ++i) {
    const Ms connect_after = kStopsListening - Ms{60} + Ms{i / 6};
    gateway::Spawn(
        cluster.loop,
        ConnectAndSend(cluster, connect_after, Ms{int64_t{i} % 3 * 2},
                       "t" + std::to_string(i), callers.emplace_back()));
  }
  bool stopped = false;
  const auto shut_down = [&]() -> gateway::Task<void> {
    co_await cluster.gateways[0]->Shutdown();
    stopped = true;
  };
  gateway::Spawn(cluster.loop, shut_down());
  const auto all_done = [&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const TimedCaller& caller) { return caller.done; });
  };
  // Pauses let new connections, their requests and the end of a wait pile up.
  cluster.RunFor(kStopsListening - Ms{100});
  for (int i = 0; i < 20; ++i) {
    SleepFor(Ms{7});
    cluster.RunFor(Ms{1});
  }
  cluster.RunUntil([&] { return stopped && all_done(); }, Seconds(12));
  int connected = 0;
  int answered = 0;
  for (const TimedCaller& caller : callers) {
    if (caller.connected) ++connected;
    if (caller.status != 0) ++answered;
  }
  CHECK(connected >= 50);
  CHECK(answered == connected);
}

// A caller that sends one request, on a connection that it used before or on a
// new one.
struct StoppingCaller {
  bool closes = false;
  unsigned status = 0;
  bool complete = false;
  Ms took;
  bool done = false;
};

gateway::Task<void> SendOne(gateway::beast::tcp_stream& stream,
                            std::string text, StoppingCaller& caller) {
  namespace http = gateway::http;
  const Clock clock = Clock::Steady();
  const Ms began = clock.Now();
  gateway::NetErrorCode ec;
  stream.expires_after(std::chrono::seconds(9));
  co_await gateway::asio::async_write(
      stream, gateway::asio::buffer(text),
      gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
  gateway::beast::flat_buffer buf;
  http::response<http::string_body> response;
  co_await http::async_read(
      stream, buf, response,
      gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
  caller.complete = !ec;
  caller.status = ec ? 0 : response.result_int();
  caller.closes = !response.keep_alive();
  caller.took = clock.Now() - began;
}

std::string TextOf(const std::string& path, const std::string& id,
                   Ms deadline) {
  return "POST " + path + " HTTP/1.1\r\nHost: " + std::string(kHost) +
         "\r\nRequest-Id: " + id +
         "\r\nKey: key1\r\nDeadline-Ms: " + std::to_string(deadline.count) +
         "\r\nContent-Length: 2\r\n\r\nin";
}

gateway::Task<void> UseAndSend(TestCluster& cluster, bool is_kept, Ms after,
                               std::string text, StoppingCaller& caller) {
  gateway::beast::tcp_stream stream(cluster.loop);
  const Address address = cluster.configs[0].callers;
  if (is_kept) {
    co_await gateway::Connect(stream, address, Seconds(1));
    StoppingCaller before;
    const std::string first = TextOf("/safe/x", "before", Ms{1000});
    co_await SendOne(stream, first, before);
    CHECK(before.status == 200);
    CHECK_FALSE(before.closes);
  }
  co_await gateway::Sleep(cluster.loop, after);
  if (!is_kept) {
    co_await gateway::Connect(stream, address, Seconds(1));
  }
  co_await SendOne(stream, text, caller);
  caller.done = true;
}

// Guards against requests that a stopping gateway takes, passes on and cuts
// when its process ends.
TEST_CASE("a stopping gateway takes only what can end before its process") {
  constexpr Ms kGrace{3500};
  constexpr Ms kStopsAfter{200};
  // The process keeps 0.7 s of the grace for itself.
  constexpr Ms kEndsAfter = kStopsAfter + kGrace - Ms{700};
  struct Row {
    const char* what;
    Ms deadline;
    Ms sent_after;
    bool is_taken;
    // An idempotent call is cut short in place of that.
    unsigned idempotent_status;
  };
  const Row rows[] = {
      {"short, at once", Ms{1500}, Ms{300}, true, 200},
      {"just fits", Ms{1500}, kEndsAfter - Ms{1800}, true, 200},
      {"just does not fit", Ms{1500}, kEndsAfter - Ms{1500}, false, 200},
      {"longer than the grace", Ms{4000}, Ms{300}, false, 200},
      {"late", Ms{1500}, kEndsAfter - Ms{700}, false, 504},
      {"too late", Ms{1500}, kEndsAfter - Ms{330}, false, 503},
  };
  const char* paths[] = {"/turn/x", "/kept/x", "/resume/x", "/safe/x",
                         "/once/x"};
  for (const bool is_kept : {true, false}) {
    CAPTURE(is_kept);
    TestCluster cluster(1, 8);
    cluster.edit_settings = [&](gateway::GatewayConfig& config) {
      config.grace = kGrace;
    };
    cluster.configs[0].grace = kGrace;
    cluster.gateways[0]->Reload(cluster.configs[0]);
    for (auto& engine : cluster.engines) {
      engine->default_script = {Script::Kind::kEvents, 3, -1, Ms{900}};
    }
    std::deque<StoppingCaller> callers;
    for (const Row& row : rows) {
      for (const char* path : paths) {
        const std::string id = "q" + std::to_string(callers.size());
        const std::string text = TextOf(path, id, row.deadline);
        gateway::Spawn(cluster.loop,
                       UseAndSend(cluster, is_kept, row.sent_after, text,
                                  callers.emplace_back()));
      }
    }
    // The connections are used before.
    cluster.RunFor(kStopsAfter / 2);
    for (auto& server : cluster.plain) server->default_script.pause = Ms{900};
    bool stopped = false;
    const auto shut_down = [&]() -> gateway::Task<void> {
      co_await gateway::Sleep(cluster.loop, kStopsAfter / 2);
      co_await cluster.gateways[0]->Shutdown();
      stopped = true;
    };
    gateway::Spawn(cluster.loop, shut_down());
    CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
    size_t next = 0;
    for (const Row& row : rows) {
      const std::string what = row.what;
      CAPTURE(what);
      for (const char* path : paths) {
        const std::string where = path;
        CAPTURE(where);
        const std::string id = "q" + std::to_string(next);
        const StoppingCaller& caller = callers[next++];
        bool ran = false;
        for (const auto* servers : {&cluster.engines, &cluster.plain}) {
          for (const auto& server : *servers) {
            for (const ReceivedRequest& request : server->received) {
              ran = ran || request.Get("Request-Id") == id;
            }
          }
        }
        // Listening ends 3 s after the signal.
        const bool connected =
            is_kept || row.sent_after < kStopsAfter + Seconds(3);
        if (!connected) continue;
        // Answered before the process ended, whatever the answer.
        CHECK(caller.done);
        CHECK(caller.complete);
        const bool is_idempotent = where == "/safe/x";
        const unsigned expected = is_idempotent  ? row.idempotent_status
                                  : row.is_taken ? 200u
                                                 : 503u;
        CHECK(caller.status == expected);
        CHECK(caller.closes);
        CHECK(ran == (expected != 503u));
        if (!ran) CHECK(caller.took < Ms{300});
      }
    }
  }
}

// Guards against allowances of a stopped gateway that stay taken until they
// count as spent, because a slow store got them one after the other, and
// against a stop that lasts longer than its grace.
TEST_CASE("a stop returns the allowances of its programs within the grace") {
  struct Row {
    const char* what;
    Ms grace;
    Ms commit_delay;
    int programs;
  };
  const Row rows[] = {
      {"a slow store", Seconds(4), Ms{120}, 24},
      {"a grace shorter than the time for which it listens", Seconds(2), Ms{4},
       8},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1);
    cluster.configs[0].grace = row.grace;
    cluster.gateways[0]->Reload(cluster.configs[0]);
    for (int i = 0; i < row.programs; ++i) {
      const std::string n = std::to_string(i);
      CHECK(cluster.Call(TurnCall("t" + n, "prog" + n, 1000, 20)).complete);
    }
    cluster.store.faults.commit_delay = row.commit_delay;
    const Clock clock = Clock::Steady();
    const Ms began = clock.Now();
    bool stopped = false;
    const auto shut_down = [&]() -> gateway::Task<void> {
      co_await cluster.gateways[0]->Shutdown();
      stopped = true;
    };
    gateway::Spawn(cluster.loop, shut_down());
    CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
    CHECK(clock.Now() - began <= row.grace);
    int returned = 0;
    for (int i = 0; i < row.programs; ++i) {
      const std::string key = "ws1/prog" + std::to_string(i);
      const auto budget =
          nlohmann::json::parse(cluster.store.Get("budgets", key));
      if (budget["state"]["allowances"].empty()) ++returned;
    }
    CHECK(returned == row.programs);
  }
}

// Returns a name of a program of "ws1" whose home is gateway 0.
std::string ProgramAtFirst(const TestCluster& cluster) {
  const Clock clock = Clock::Steady();
  gateway::Peers peers(clock, cluster.configs[0].peers);
  peers.SetOthers(std::vector<Address>{cluster.configs[1].peers});
  for (int i = 0;; ++i) {
    std::string name = "prog" + std::to_string(i);
    if (peers.HomeOf("ws1/" + name).is_self) return name;
  }
}

// Guards against tokens of a program that stay taken after a planned stop of
// its home, so that its next turns are refused on every gateway.
TEST_CASE("a stopping home leaves no tokens of other gateways' turns taken") {
  struct Row {
    const char* what;
    // When the turn is sent, relative to the stop, and how long it takes.
    Ms sent_after;
    Ms lasts;
  };
  const Row rows[] = {{"begun before the stop", Ms{-200}, Ms{3700}},
                      {"begun in the stop", Ms{1500}, Ms{2500}},
                      {"over before the stop", Ms{-200}, Ms{10}}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(2);
    cluster.RunFor(Ms{1500});
    const std::string program = ProgramAtFirst(cluster);
    for (auto& engine : cluster.engines) {
      engine->default_script.pause = row.lasts;
    }
    const Ms before = std::max(Ms{0} - row.sent_after, Ms{0});
    bool stopped = false;
    std::string at_stop;
    const auto shut_down = [&]() -> gateway::Task<void> {
      co_await gateway::Sleep(cluster.loop, before);
      co_await cluster.gateways[0]->Shutdown();
      at_stop = cluster.store.Get("budgets", "ws1/" + program);
      stopped = true;
    };
    gateway::Spawn(cluster.loop, shut_down());
    cluster.RunFor(row.sent_after + before);
    const auto turn = cluster.StartCall(TurnCall("t1", program, 40, 20), 1);
    REQUIRE(cluster.RunUntil([&] { return stopped && turn->done; }));
    CHECK(turn->complete);
    REQUIRE(!at_stop.empty());
    const auto state = nlohmann::json::parse(at_stop)["state"];
    CAPTURE(at_stop);
    for (const auto& [holder, allowance] : state["allowances"].items()) {
      CHECK_FALSE(holder.starts_with(cluster.configs[0].name));
    }
  }
}

// Guards against a process that aborts at its end, since a call that is cut off
// uses what was destroyed before it.
TEST_CASE("a gateway may end while calls and settlements are under way") {
  TestCluster cluster(2);
  for (auto* servers : {&cluster.plain, &cluster.engines}) {
    for (auto& server : *servers) {
      server->default_script.kind = Script::Kind::kNoResponse;
    }
  }
  const std::string program = ProgramAtFirst(cluster);
  std::vector<std::shared_ptr<CallerResponse>> cut;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "t" + std::to_string(i);
    cut.push_back(cluster.StartCall(TurnCall(id, program, 400, 20), i % 2));
    cut.push_back(cluster.StartCall(PlainCall("/once/x", "o" + id), i % 2));
  }
  cluster.RunFor(Ms{200});
  for (const auto& response : cut) CHECK_FALSE(response->done);
  // As at the end of a process: the gateways first, then what is under way.
  cluster.gateways.clear();
}

}  // namespace
}  // namespace knapweed::testing

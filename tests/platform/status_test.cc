// Answers of upstreams and of the store whose status HTTP does not define, or
// that answer nothing that was asked for.
#include <doctest/doctest.h>

#include "tests/platform/raw_caller.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr char kStray[] = "STRAY";
constexpr char kGood[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s\r\n"
    "Content-Length: 4\r\n\r\ngood";
constexpr char kGoodStream[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Seal: s\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\n"
    "id: 1\ndata: good\n\n";

std::string WithStatus(const std::string& status, bool has_body) {
  std::string text =
      "HTTP/1.1 " + status + " Odd\r\nRequest-Id: r0\r\nServer-Seal: s\r\n";
  if (has_body) {
    text += "Content-Length: " + std::to_string(sizeof(kStray) - 1) + "\r\n";
  }
  return text + "\r\n" + (has_body ? kStray : "");
}

struct Exchange {
  const char* what;
  const char* path;
  const char* method;
  // Another attempt may follow.
  bool is_repeated;
  bool is_stream;
};

constexpr Exchange kExchanges[] = {
    {"once", "/once/x", "POST", false, false},
    {"safe", "/safe/x", "GET", true, false},
    {"HEAD", "/once/x", "HEAD", false, false},
    {"stream", "/turn/x", "POST", false, true},
    {"resumable", "/resume/x", "POST", true, true},
};

// How the bytes of the upstream go on after the odd answer.
struct Follows {
  const char* what;
  bool has_body;
  bool has_good;
};

constexpr Follows kFollows[] = {{"nothing", false, false},
                                {"a body", true, false},
                                {"a good answer", false, true},
                                {"a body and a good answer", true, true}};

Script RawScript(const Exchange& exchange, const std::string& odd,
                 bool has_good) {
  Script script;
  script.kind = Kind::kRaw;
  script.raw = odd;
  if (has_good) script.raw += exchange.is_stream ? kGoodStream : kGood;
  script.raw_end = RawEnd::kSilence;
  return script;
}

Script GoodScript(const Exchange& exchange) {
  Script script;
  script.kind = exchange.is_stream ? Kind::kEvents : Kind::kPlain;
  script.events = 1;
  return script;
}

// The upstreams that an exchange goes to.
struct Servers {
  Servers(TestCluster& cluster, const Exchange& exchange)
      : all(exchange.is_stream ? cluster.engines : cluster.plain) {
    for (auto& server : all) server->shared_scripts = once;
  }
  // What they do with each request, but the first if `once` has a script.
  void SetScript(const Script& script) {
    for (auto& server : all) server->default_script = script;
  }
  std::vector<std::unique_ptr<FakeServer>>& all;
  std::shared_ptr<std::deque<Script>> once =
      std::make_shared<std::deque<Script>>();
};

// Sends the request and returns what the caller gets. The connection ends with
// the answer.
RawAnswer Send(TestCluster& cluster, const Exchange& exchange) {
  const RawBytes raw = SendAndRead(cluster,
                                   RequestBytes(exchange.method, exchange.path,
                                                "1.1", "Connection: close\r\n"),
                                   {.limit = Seconds(5)});
  CHECK(raw.bytes.find(kStray) == std::string::npos);
  return ParseAnswer(raw, exchange.method);
}

// Guards against an answer that a parser takes and HTTP does not define: its
// caller takes it for the upstream's, or waits for another one until its
// deadline, or gets what follows it.
TEST_CASE("a status that HTTP does not define is a broken answer") {
  for (const Exchange& exchange : kExchanges) {
    TestCluster cluster(1, 2);
    Servers servers(cluster, exchange);
    for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
      for (const Follows& follows : kFollows) {
        const std::string what =
            std::string(exchange.what) + ", " + status + " and " + follows.what;
        CAPTURE(what);
        const Script odd = RawScript(
            exchange, WithStatus(status, follows.has_body), follows.has_good);
        // On new connections, and on those that the next call has used.
        for (const bool reused : {false, true}) {
          CAPTURE(reused);
          servers.SetScript(odd);
          CHECK(Send(cluster, exchange).status == 502);
          servers.SetScript(GoodScript(exchange));
          CHECK(Send(cluster, exchange).status == 200);
          servers.once->push_back(odd);
          const unsigned expected = exchange.is_repeated ? 200 : 502;
          CHECK(Send(cluster, exchange).status == expected);
          CHECK(servers.once->empty());
          // The connection of the odd answer, on which the upstream serves
          // nothing more, is not used again.
          CHECK(Send(cluster, exchange).status == 200);
          CHECK(Send(cluster, exchange).status == 200);
        }
      }
    }
  }
}

// Guards against interim answers whose stated body is read as the next answer,
// and against final ones that count as interim or broken.
TEST_CASE("interim answers are passed over, and final ones passed on") {
  struct Row {
    const char* status;
    bool has_body;
    bool has_good;
    unsigned expected;
  };
  const Row rows[] = {
      {"100", false, true, 200}, {"103", false, true, 200},
      {"199", false, true, 200}, {"100", true, true, 502},
      {"103", true, true, 502},  {"199", true, true, 502},
      {"200", true, false, 200}, {"599", true, false, 599},
  };
  TestCluster cluster(1, 1);
  const Exchange& once = kExchanges[0];
  for (const Row& row : rows) {
    const std::string what = row.status;
    CAPTURE(what);
    CAPTURE(row.has_body);
    std::string odd = WithStatus(row.status, row.has_body);
    const bool is_final = !row.has_good;
    if (is_final) odd.replace(odd.find(kStray), sizeof(kStray) - 1, "final");
    Script& script = cluster.plain[0]->default_script;
    script = RawScript(once, odd, row.has_good);
    script.raw_end = RawEnd::kClose;
    const RawAnswer answer = Send(cluster, once);
    CHECK(answer.status == row.expected);
    if (is_final) CHECK(answer.body == "final");
  }
}

// Guards against an answer of the store or another gateway that decides
// something although it is none.
TEST_CASE("a client of the store takes a final answer only") {
  struct Row {
    const char* status;
    unsigned expected;
  };
  const Row rows[] = {{"000", 0}, {"099", 0},   {"100", 0},   {"101", 0},
                      {"103", 0}, {"200", 200}, {"412", 412}, {"599", 599},
                      {"600", 0}, {"999", 0}};
  for (const Row& row : rows) {
    const std::string what = row.status;
    CAPTURE(what);
    gateway::asio::io_context loop;
    gateway::asio::ip::tcp::acceptor acceptor(
        loop, {gateway::asio::ip::address_v4::loopback(), 0});
    const auto serve = [&]() -> gateway::Task<void> {
      gateway::beast::tcp_stream stream(
          co_await acceptor.async_accept(gateway::asio::use_awaitable));
      gateway::beast::flat_buffer buf;
      gateway::http::request<gateway::http::string_body> request;
      co_await gateway::http::async_read(stream, buf, request,
                                         gateway::asio::use_awaitable);
      const std::string text =
          "HTTP/1.1 " + what + " X\r\nContent-Length: 2\r\n\r\n{}";
      co_await gateway::asio::async_write(stream, gateway::asio::buffer(text),
                                          gateway::asio::use_awaitable);
      co_await gateway::Sleep(loop, Ms{100});
    };
    const Clock clock = Clock::Steady();
    gateway::HttpClient client(loop, clock,
                               {"127.0.0.1", acceptor.local_endpoint().port()});
    gateway::HttpResponse response;
    const auto ask = [&]() -> gateway::Task<void> {
      const gateway::HttpRequest request{gateway::http::verb::post, "/", "{}"};
      response = co_await client.Send(request, Ms{500});
    };
    gateway::Spawn(loop, serve());
    gateway::Spawn(loop, ask());
    loop.run_for(gateway::ToChrono(Ms{700}));
    CHECK(response.status == row.expected);
    CHECK_FALSE(response.not_sent);
  }
}

}  // namespace
}  // namespace knapweed::testing

// What a caller gets from a connection that the gateway closes while bytes are
// still arriving.
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "tests/platform/world.h"

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace http = gateway::http;

std::string TextOf(const std::string& path, const std::string& id,
                   const std::string& more_fields = {}) {
  return "GET " + path + " HTTP/1.1\r\nHost: " + std::string(kHost) +
         "\r\nRequest-Id: " + id + "\r\nKey: key1\r\n" + more_fields + "\r\n";
}

// Answers that a caller read from one connection.
struct Answers {
  std::vector<std::string> ids;
  std::vector<unsigned> statuses;
  std::vector<size_t> body_bytes;
  bool last_closes = false;
  bool done = false;
};

// Sends `text` at once, waits for `read_after` and reads up to `count` answers.
gateway::Task<void> SendAtOnce(TestCluster& cluster, std::string text,
                               Ms read_after, size_t count, Answers& answers) {
  gateway::beast::tcp_stream stream(cluster.loop);
  co_await gateway::Connect(stream, cluster.configs[0].callers, Seconds(1));
  stream.expires_after(std::chrono::seconds(9));
  gateway::NetErrorCode ec;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_await gateway::Sleep(cluster.loop, read_after);
  gateway::beast::flat_buffer buf;
  for (size_t i = 0; i < count && !ec; ++i) {
    http::response<http::string_body> answer;
    co_await http::async_read(stream, buf, answer,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    answers.ids.emplace_back(answer["Request-Id"]);
    answers.statuses.push_back(answer.result_int());
    answers.body_bytes.push_back(answer.body().size());
    answers.last_closes = !answer.keep_alive();
  }
  answers.done = true;
}

// Guards against an answer that is lost because its connection is closed with
// bytes unread, for which the kernel drops what the caller has not got yet.
TEST_CASE(
    "an answer is read whole although more bytes came after its request") {
  struct Row {
    const char* what;
    size_t more_bytes;
  };
  const Row rows[] = {
      {"nothing", 0}, {"a line", 40}, {"more than is read at once", 20000}};
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1);
    for (auto& server : cluster.plain) {
      server->default_script.kind = Script::Kind::kLarge;
    }
    Answers answers;
    const std::string text = TextOf("/safe/x", "r1", "Connection: close\r\n") +
                             std::string(row.more_bytes, 'x');
    gateway::Spawn(cluster.loop,
                   SendAtOnce(cluster, text, Ms{300}, 1, answers));
    REQUIRE(cluster.RunUntil([&] { return answers.done; }));
    REQUIRE(answers.statuses.size() == 1);
    CHECK(answers.statuses[0] == 200);
    CHECK(answers.body_bytes[0] == FakeServer::LargeBody().size());
  }
}

// Guards against requests that a stopping gateway has read behind another one
// on the same connection and drops without an answer.
TEST_CASE("a stopping gateway answers each request that it has read") {
  struct Row {
    const char* path;
    size_t requests;
  };
  const Row rows[] = {
      {"/safe/x", 2}, {"/safe/x", 8}, {"/once/x", 3}, {"/turn/x", 3}};
  for (const Row& row : rows) {
    const std::string path = row.path;
    CAPTURE(path);
    CAPTURE(row.requests);
    TestCluster cluster(1);
    for (auto* servers : {&cluster.plain, &cluster.engines}) {
      for (auto& server : *servers) server->default_script.pause = Ms{100};
    }
    bool stopped = false;
    const auto shut_down = [&]() -> gateway::Task<void> {
      co_await gateway::Sleep(cluster.loop, Ms{50});
      co_await cluster.gateways[0]->Shutdown();
      stopped = true;
    };
    gateway::Spawn(cluster.loop, shut_down());
    std::string text;
    for (size_t i = 0; i < row.requests; ++i) {
      text += TextOf(path, "r" + std::to_string(i));
    }
    Answers answers;
    gateway::Spawn(cluster.loop,
                   SendAtOnce(cluster, text, Ms{0}, row.requests, answers));
    REQUIRE(cluster.RunUntil([&] { return answers.done; }));
    REQUIRE(answers.ids.size() == row.requests);
    for (size_t i = 0; i < row.requests; ++i) {
      CHECK(answers.ids[i] == "r" + std::to_string(i));
      CHECK(answers.statuses[i] == 200);
    }
    CHECK(answers.last_closes);
    CHECK(cluster.RunUntil([&] { return stopped; }, Seconds(12)));
  }
}

}  // namespace
}  // namespace knapweed::testing

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

#include "knapweed/base/percent.h"
#include "knapweed/http/client.h"
#include "knapweed/http/server.h"
#include "standins/free_port.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;

const Address kClosedPort{"127.0.0.1", 1};

void Echo(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == "/stream") {
    responder.Begin(200, {{"Content-Type", "text/event-stream"}});
    for (int i = 0; i < 3; ++i)
      responder.Write("piece" + std::to_string(i) + ";");
    responder.End();
    return;
  }
  if (request.path == "/slow") SleepFor(Ms{600});
  if (request.path == "/drop") {
    responder.Drop();
    return;
  }
  responder.Send(
      {200,
       {{"X-Seen", std::string(FindHeader(request.headers, "x-ask"))}},
       request.method + request.path + QueryParam(request.query, "q") +
           request.body});
}

TEST_CASE("HttpClient calls HttpServer") {
  const Address listen = FreeLoopbackAddress();
  HttpServerOptions options;
  options.listen = listen;
  options.threads = 4;
  options.max_body = 1000;
  auto server = HttpServer::Start(options, Echo);
  REQUIRE(server.ok());
  HttpClient client(listen);

  SUBCASE("several calls in sequence get whole replies") {
    for (int i = 0; i < 5; ++i) {
      auto reply = client.Call({"POST",
                                "/x",
                                "q=a%20b",
                                {{"X-Ask", "me"}},
                                "body" + std::to_string(i)});
      INFO(std::string(reply.status().message()));
      REQUIRE(reply.ok());
      CHECK(reply->status == 200);
      CHECK(reply->body == "POST/xa bbody" + std::to_string(i));
      CHECK(FindHeader(reply->headers, "X-Seen") == "me");
    }
  }
  SUBCASE("chunked replies are reassembled") {
    auto reply = client.Call({"GET", "/stream", "", {}, ""});
    REQUIRE(reply.ok());
    CHECK(reply->body == "piece0;piece1;piece2;");
    auto again = client.Call({"GET", "/stream", "", {}, ""});
    REQUIRE(again.ok());
    CHECK(again->body == reply->body);
  }
  SUBCASE("a body over the limit is rejected as not run") {
    auto reply = client.Call({"POST", "/x", "", {}, std::string(5000, 'a')});
    REQUIRE(reply.ok());
    CHECK(reply->status == 413);
    CHECK(reply->body.find("not_run") != std::string::npos);
  }
  SUBCASE("a connection closed without a reply is an Unknown error") {
    CHECK(client.Call({"GET", "/drop", "", {}, ""}).status().code() ==
          absl::StatusCode::kUnknown);
    CHECK(client.Call({"GET", "/x", "", {}, ""}).ok());
  }
  SUBCASE("a percent-encoded query value is decoded") {
    const std::string text = "a/b c?&%é";
    auto reply = client.Call({"GET", "/x", "q=" + PercentEncode(text), {}, ""});
    REQUIRE(reply.ok());
    CHECK(reply->body == "GET/x" + text);
  }
  SUBCASE("a late reply is a DeadlineExceeded error") {
    HttpCallOptions call;
    call.timeout = Ms{100};
    auto reply = client.Call({"GET", "/slow", "", {}, ""}, call);
    CHECK(reply.status().code() == absl::StatusCode::kDeadlineExceeded);
  }
}

// Sends raw bytes and returns all that the server sends until it closes the
// connection.
std::string SendRawRequest(const Address& server, std::string_view bytes) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address(server.host),
                  static_cast<uint16_t>(server.port)});
  asio::write(socket, asio::buffer(bytes.data(), bytes.size()));
  std::string answer;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  return answer;
}

TEST_CASE("HttpServer replies to raw requests") {
  struct Row {
    std::string name;
    std::string sent;
    std::vector<std::string> expected_parts;
  };
  const std::vector<Row> rows = {
      {"not HTTP", "hello\r\n\r\n", {"HTTP/1.1 400", "not_run"}},
      {"two pipelined requests, the second with Connection: close",
       "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
       "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
       {"GET/a", "GET/b"}},
      {"a chunked body",
       "POST /c HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       {"POST/cabc"}},
      {"Expect: 100-continue",
       "POST /e HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
       {"HTTP/1.1 100", "POST/ex"}},
  };
  const Address listen = FreeLoopbackAddress();
  auto server = HttpServer::Start({listen, 2, 1000}, Echo);
  REQUIRE(server.ok());
  for (const Row& row : rows) {
    const std::string answer = SendRawRequest(listen, row.sent);
    CAPTURE(row.name);
    CAPTURE(answer);
    for (const std::string& text : row.expected_parts) {
      CHECK(answer.find(text) != std::string::npos);
    }
  }
}

TEST_CASE("HttpServer stops without waiting for idle connections") {
  const Address listen = FreeLoopbackAddress();
  auto server = HttpServer::Start({listen, 2, 1000}, Echo);
  REQUIRE(server.ok());
  HttpClient client(listen);
  REQUIRE(client.Call({"GET", "/x", "", {}, ""}).ok());
  const Clock clock = Clock::Steady();
  const Ms start = clock.Now();
  server->reset();
  CHECK(clock.Now() - start < Seconds(2));
  CHECK_FALSE(client.Call({"GET", "/x", "", {}, ""}).ok());
}

TEST_CASE("HttpClient reports Unavailable if no server listens") {
  HttpClient client(kClosedPort);
  CHECK(client.Call({}).status().code() == absl::StatusCode::kUnavailable);
}

}  // namespace
}  // namespace knapweed

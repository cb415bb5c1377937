// What a caller of `HttpServer` gets from a connection that the server closes
// while bytes are unread.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "knapweed/http/server.h"
#include "standins/free_port.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;

constexpr size_t kLargeBytes = 3 << 20;

void AnswerLate(const HttpRequest& request, HttpResponder& responder) {
  SleepFor(Ms{200});
  const bool is_large = request.path == "/large";
  responder.Send(
      {200, {}, is_large ? std::string(kLargeBytes, 'y') : request.path});
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t n = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++n;
  }
  return n;
}

std::string SendAndReadLate(const Address& server, const std::string& bytes,
                            Ms wait) {
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address(server.host),
                  static_cast<uint16_t>(server.port)});
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes.data(), bytes.size()), ec);
  SleepFor(wait);
  std::string answer;
  ec = {};
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  return answer;
}

HttpServerOptions OptionsAt(const Address& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.threads = 2;
  options.max_body = 1000;
  return options;
}

// Guards against an answer that the caller loses because its connection is
// reset with bytes unread.
TEST_CASE("HttpServer's last answer on a connection arrives") {
  struct Row {
    const char* what;
    std::string bytes;
    std::string status;
    size_t least_bytes;
  };
  const Row rows[] = {
      {"too large a body",
       "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" +
           std::string(300000, 'x'),
       "HTTP/1.1 413", 1},
      {"bytes behind the last request",
       "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
           std::string(200000, 'x'),
       "HTTP/1.1 200", kLargeBytes},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const Address listen = FreeLoopbackAddress();
    auto server = HttpServer::Start(OptionsAt(listen), AnswerLate);
    REQUIRE(server.ok());
    const std::string answer = SendAndReadLate(listen, row.bytes, Ms{400});
    CHECK(answer.starts_with(row.status));
    CHECK(answer.size() >= row.least_bytes);
  }
}

// Guards against requests that a stopping server has read behind another one on
// the same connection and drops without an answer.
TEST_CASE("HttpServer answers each request that it has read when it stops") {
  const Address listen = FreeLoopbackAddress();
  auto server = HttpServer::Start(OptionsAt(listen), AnswerLate);
  REQUIRE(server.ok());
  std::string answers;
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  std::thread caller([&] {
    answers = SendAndReadLate(listen, request + request + request, Ms{0});
  });
  SleepFor(Ms{100});
  server->reset();
  caller.join();
  CAPTURE(answers);
  const bool told_to_go =
      answers.find("Connection: close") != std::string::npos;
  CHECK((CountOf(answers, "HTTP/1.1 ") == 3 || told_to_go));
}

}  // namespace
}  // namespace knapweed

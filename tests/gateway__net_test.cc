// Tests of the HTTP client for the store and other gateways.
#include <doctest/doctest.h>

#include <boost/asio/write.hpp>
#include <memory>
#include <vector>

#include "knapweed/gateway/net.h"
#include "tests/loopback_acceptor.h"

namespace knapweed::gateway {
namespace {

// A server whose open connections can go silent, as behind a failed link,
// while new ones work.
class SilencingServer {
 public:
  explicit SilencingServer(asio::io_context& loop)
      : loop_(loop), acceptor_(loop, [this](beast::tcp_stream stream) {
          Spawn(loop_, Serve(std::move(stream), generation_));
        }) {}
  Address address() const { return acceptor_.address(); }
  void SilenceOpenConnections() { ++generation_; }

 private:
  Task<void> Serve(beast::tcp_stream stream, int generation) {
    beast::flat_buffer buf;
    NetErrorCode ec;
    while (!ec) {
      http::request<http::string_body> request;
      co_await http::async_read(stream, buf, request,
                                asio::redirect_error(asio::use_awaitable, ec));
      if (ec || generation != generation_) continue;
      co_await Sleep(loop_, Ms{20});
      const std::string text = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok";
      co_await asio::async_write(stream, asio::buffer(text),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  asio::io_context& loop_;
  LoopbackAcceptor acceptor_;
  int generation_ = 0;
};

// Sends `count` requests at once and returns the number that got a response.
int SendAtOnce(asio::io_context& loop, HttpClient& client, int count) {
  int answered = 0;
  int done = 0;
  const HttpRequest call{http::verb::get, "/", ""};
  const auto send = [&]() -> Task<void> {
    const HttpResponse response = co_await client.Send(call, Ms{150});
    if (response.status == 200) ++answered;
    ++done;
  };
  for (int i = 0; i < count; ++i) Spawn(loop, send());
  while (done < count) loop.run_one();
  return answered;
}

TEST_CASE("after one silent connection the other idle ones are not used") {
  const Clock clock = Clock::Steady();
  asio::io_context loop;
  SilencingServer server(loop);
  HttpClient client(loop, clock, server.address());
  CHECK(SendAtOnce(loop, client, 4) == 4);
  server.SilenceOpenConnections();
  CHECK(SendAtOnce(loop, client, 1) == 0);
  CHECK(SendAtOnce(loop, client, 1) == 1);
}

}  // namespace
}  // namespace knapweed::gateway

// Bytes without end from the store, from other gateways and to the internal
// server cost bounded memory, and others are served meanwhile.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/base/resource_use.h"
#include "knapweed/gateway/internal_server.h"
#include "standins/free_port.h"
#include "tests/loopback_acceptor.h"

namespace knapweed::gateway {
namespace {

constexpr int kConnections = 16;
/// What may be gathered, that is twice the largest message, a copy of the
/// largest one while it grows, and 1 MB a connection.
constexpr int64_t kMostKb = (32 + 16) * 1024 + kConnections * 1024;
constexpr Ms kTimeout{1500};

/// Sends `start` and then `piece` until the other side closes or for longer
/// than any message may take.
Task<void> SendWithoutEnd(beast::tcp_stream& stream, const std::string& start,
                          const std::string& piece) {
  NetErrorCode ec;
  stream.expires_after(ToChrono(Seconds(6)));
  co_await asio::async_write(stream, asio::buffer(start),
                             asio::redirect_error(asio::use_awaitable, ec));
  while (!ec) {
    co_await asio::async_write(stream, asio::buffer(piece),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
}

/// A server that answers each request without end.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& loop, std::string start, std::string piece)
      : loop_(loop),
        acceptor_(loop,
                  [this](beast::tcp_stream stream) {
                    Spawn(loop_, Serve(std::move(stream)));
                  }),
        start_(std::move(start)),
        piece_(std::move(piece)) {}
  Address address() const { return acceptor_.address(); }
  int open() const { return open_; }

 private:
  Task<void> Serve(beast::tcp_stream stream) {
    ++open_;
    beast::flat_buffer buf;
    http::request<http::string_body> request;
    NetErrorCode ec;
    co_await http::async_read(stream, buf, request,
                              asio::redirect_error(asio::use_awaitable, ec));
    co_await SendWithoutEnd(stream, start_, piece_);
    --open_;
  }

  asio::io_context& loop_;
  LoopbackAcceptor acceptor_;
  std::string start_;
  std::string piece_;
  int open_ = 0;
};

/// Serves short answers.
Address StartSoundServer(asio::io_context& loop) {
  Address address = FreeLoopbackAddress();
  ServeInternal(loop, address,
                [](const HttpRequest& /*call*/) -> Task<HttpResponse> {
                  HttpResponse answer;
                  answer.status = 200;
                  answer.body = "sound";
                  co_return answer;
                });
  return address;
}

/// What calls of a sound server get meanwhile, and the most memory used.
struct Meanwhile {
  int served = 0;
  int failed = 0;
  int64_t most_kb = 0;
  bool ended = false;
};

Task<void> CallMeanwhile(asio::io_context& loop, const Clock& clock,
                         Address address, int64_t before_kb,
                         Meanwhile& meanwhile) {
  HttpClient client(loop, clock, std::move(address));
  while (!meanwhile.ended) {
    HttpRequest request;
    request.target = "/";
    const HttpResponse answer = co_await client.Send(request, kTimeout);
    ++(answer.body == "sound" ? meanwhile.served : meanwhile.failed);
    meanwhile.most_kb =
        std::max(meanwhile.most_kb, ReadResourceUse().resident_kb - before_kb);
    co_await Sleep(loop, Ms{2});
  }
}

const std::string kLargePiece(65536, 'x');

// Guards against answers of the store or of a peer that are kept until memory
// ends, as many at once as there are connections.
TEST_CASE("answers without end cost bounded memory and get no answer") {
  struct Row {
    const char* what;
    std::string start;
    std::string piece;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {
      {"head", ok, "X-Field: value\r\n"},
      {"field", ok + "X-Field: ", kLargePiece},
      {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"body", ok + "Connection: close\r\n\r\n", kLargePiece},
      {"chunks", chunked, "10000\r\n" + kLargePiece + "\r\n"},
      {"chunk extension", chunked + "5;", kLargePiece},
      {"trailer", chunked + "0\r\n", "X-Field: value\r\n"},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    asio::io_context loop{1};
    const Clock clock = Clock::Steady();
    EndlessServer endless(loop, row.start, row.piece);
    const Address sound = StartSoundServer(loop);
    Meanwhile meanwhile;
    const int64_t before_kb = ReadResourceUse().resident_kb;
    Spawn(loop, CallMeanwhile(loop, clock, sound, before_kb, meanwhile));
    HttpClient client(loop, clock, endless.address());
    int ended = 0;
    int answered = 0;
    const auto call = [&]() -> Task<void> {
      HttpRequest request;
      request.target = "/";
      const HttpResponse answer = co_await client.Send(request, kTimeout);
      if (answer.status == 200) ++answered;
      ++ended;
    };
    for (int i = 0; i < kConnections; ++i) Spawn(loop, call());
    const Ms until = clock.Now() + kTimeout * 3;
    while (ended < kConnections && clock.Now() < until) {
      loop.run_one_for(std::chrono::milliseconds(10));
    }
    loop.run_for(std::chrono::milliseconds(300));
    CHECK(ended == kConnections);
    CHECK(answered == 0);
    CHECK(meanwhile.most_kb <= kMostKb);
    CHECK(meanwhile.served > 0);
    CHECK(meanwhile.failed == 0);
    CHECK(endless.open() == 0);
    meanwhile.ended = true;
    loop.run_for(std::chrono::milliseconds(50));
  }
}

// Guards against requests of a faulty peer that are kept until memory ends.
TEST_CASE("requests without end cost the internal server bounded memory") {
  asio::io_context loop{1};
  const Clock clock = Clock::Steady();
  const Address address = StartSoundServer(loop);
  const int64_t before_kb = ReadResourceUse().resident_kb;
  int ended = 0;
  const std::string start =
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string piece = "10000\r\n" + kLargePiece + "\r\n";
  const auto send = [&]() -> Task<void> {
    beast::tcp_stream stream(loop);
    const bool open = co_await Connect(stream, address, kTimeout);
    if (open) {
      co_await SendWithoutEnd(stream, start, piece);
    }
    ++ended;
  };
  for (int i = 0; i < kConnections; ++i) Spawn(loop, send());
  Meanwhile meanwhile;
  Spawn(loop, CallMeanwhile(loop, clock, address, before_kb, meanwhile));
  const Ms until = clock.Now() + Seconds(5);
  while (ended < kConnections && clock.Now() < until) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  CHECK(ended == kConnections);
  CHECK(meanwhile.most_kb <= kMostKb);
  CHECK(meanwhile.served > 0);
  CHECK(meanwhile.failed == 0);
  meanwhile.ended = true;
  loop.run_for(std::chrono::milliseconds(50));
}

}  // namespace
}  // namespace knapweed::gateway

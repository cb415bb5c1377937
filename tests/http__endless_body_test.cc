// A server that sends a body without end costs the client bounded memory.
#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "knapweed/http/client.h"
#include "standins/free_port.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;

/// Answers one request with a head and then with bytes until the client closes,
/// at most `kMostBytes`.
class EndlessServer {
 public:
  static constexpr size_t kMostBytes = size_t{200} << 20;

  EndlessServer(const Address& address, std::string head)
      : acceptor_(context_,
                  {asio::ip::make_address_v4(address.host), address.port}),
        head_(std::move(head)),
        thread_([this] { Serve(); }) {}

  /// Waits until it has sent all, and returns whether the client closed before.
  bool WaitForClose() {
    thread_.join();
    return client_closed_;
  }

 private:
  void Serve() {
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket);
    asio::streambuf buf;
    asio::read_until(socket, buf, "\r\n\r\n");
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(head_), ec);
    // A chunk of 64 KB, which is also a body without a length.
    const std::string piece = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    for (size_t sent = 0; sent < kMostBytes && !ec; sent += piece.size()) {
      asio::write(socket, asio::buffer(piece), ec);
    }
    client_closed_ = ec.failed();
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::string head_;
  bool client_closed_ = false;
  std::thread thread_;
};

// Guards against a client that keeps a body without end until memory ends.
TEST_CASE("HttpClient ends a call whose body has no end") {
  struct Row {
    const char* what;
    const char* head;
  };
  const Row rows[] = {
      {"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const Address address = FreeLoopbackAddress();
    EndlessServer server(address, row.head);
    {
      HttpClient client(address);
      const auto reply = client.Call({"GET", "/", "", {}, ""});
      CHECK(absl::IsUnknown(reply.status()));
    }
    CHECK(server.WaitForClose());
  }
}

}  // namespace
}  // namespace knapweed

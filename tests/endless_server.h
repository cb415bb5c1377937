#ifndef KNAPWEED_TESTS_ENDLESS_SERVER_H_
#define KNAPWEED_TESTS_ENDLESS_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>

#include "knapweed/base/settings.h"

namespace knapweed {

/// Returns copies of `text`, 64 KB or a little more.
inline std::string Repeat(const std::string& text) {
  std::string all;
  while (all.size() < 0x10000) all += text;
  return all;
}

/// Answers one request with `head` and then with `piece` until the client
/// closes, at most `kMostBytes` in all.
class EndlessServer {
 public:
  static constexpr size_t kMostBytes = size_t{200} << 20;

  EndlessServer(const Address& address, std::string head, std::string piece)
      : acceptor_(context_, {boost::asio::ip::make_address_v4(address.host),
                             address.port}),
        head_(std::move(head)),
        piece_(std::move(piece)),
        thread_([this] { Serve(); }) {}

  /// Waits until it has sent all, and returns whether the client closed before.
  bool WaitForClose() {
    thread_.join();
    return client_closed_;
  }

 private:
  void Serve() {
    boost::asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket);
    boost::asio::streambuf buf;
    boost::asio::read_until(socket, buf, "\r\n\r\n");
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(head_), ec);
    for (size_t sent = 0; sent < kMostBytes && !ec; sent += piece_.size()) {
      boost::asio::write(socket, boost::asio::buffer(piece_), ec);
    }
    client_closed_ = ec.failed();
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::string head_;
  std::string piece_;
  bool client_closed_ = false;
  std::thread thread_;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_ENDLESS_SERVER_H_

#include "knapweed/gateway/internal_server.h"

#include <utility>

namespace knapweed::gateway {
namespace {

constexpr Ms kInternalTimeout{30000};
constexpr size_t kMaxInternalBodyBytes = 16 << 20;

Task<void> ServeInternalConnection(beast::tcp_stream stream,
                                   const InternalHandler& handler) {
  beast::flat_buffer buf(kMaxUnparsedBytes);
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxInternalBodyBytes);
    stream.expires_after(ToChrono(kInternalTimeout));
    NetErrorCode ec = co_await ReadMessage(stream, buf, parser);
    if (ec) break;
    HttpRequest call;
    call.method = parser.get().method();
    call.target = std::string(parser.get().target());
    call.body = std::move(parser.get().body());
    HttpResponse answer = co_await handler(call);
    if (answer.status == 0) break;
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    message.keep_alive(parser.get().keep_alive());
    message.body() = std::move(answer.body);
    message.prepare_payload();
    stream.expires_after(ToChrono(kInternalTimeout));
    co_await http::async_write(stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec || !message.keep_alive()) break;
  }
}

Task<void> AcceptInternal(asio::io_context& loop,
                          std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                          std::shared_ptr<const InternalHandler> handler) {
  constexpr Ms kRetryInterval{20};
  while (true) {
    NetErrorCode ec;
    asio::ip::tcp::socket socket(loop);
    co_await acceptor->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_await Sleep(loop, kRetryInterval);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ec);
    Spawn(loop, ServeInternalConnection(beast::tcp_stream(std::move(socket)),
                                        *handler));
  }
}

}  // namespace

bool ServeInternal(asio::io_context& loop, const Address& address,
                   InternalHandler handler) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(loop);
  if (!OpenAcceptor(*acceptor, address, 0)) return false;
  const auto shared =
      std::make_shared<const InternalHandler>(std::move(handler));
  SpawnForever(loop, "accepting internal calls", [&loop, acceptor, shared] {
    return AcceptInternal(loop, acceptor, shared);
  });
  return true;
}

}  // namespace knapweed::gateway

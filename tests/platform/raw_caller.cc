#include "tests/platform/raw_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::Task;

struct Reading {
  RawBytes raw;
  bool done = false;
};

ConnectionEnd EndOf(const gateway::NetErrorCode& ec) {
  if (ec == asio::error::eof) return ConnectionEnd::kClosed;
  if (ec == beast::error::timeout) return ConnectionEnd::kOpen;
  return ConnectionEnd::kReset;
}

Task<void> ReadToEnd(asio::io_context& loop, Address address, std::string bytes,
                     CallerHabits habits, std::shared_ptr<Reading> out) {
  beast::tcp_stream stream(loop);
  const bool open = co_await gateway::Connect(stream, address, Seconds(1));
  gateway::NetErrorCode ec;
  if (open) {
    stream.expires_never();
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (habits.stops_sending_after > Ms{0}) {
      co_await gateway::Sleep(loop, habits.stops_sending_after);
      stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    }
    if (habits.reads_after > Ms{0}) {
      co_await gateway::Sleep(loop, habits.reads_after);
    }
    stream.expires_after(gateway::ToChrono(habits.limit));
    char buf[4096];
    while (!ec) {
      const size_t n = co_await stream.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      out->raw.bytes.append(buf, n);
    }
    out->raw.end = EndOf(ec);
  }
  out->done = true;
}

}  // namespace

RawBytes SendAndRead(TestCluster& cluster, const std::string& bytes,
                     const CallerHabits& habits) {
  auto reading = std::make_shared<Reading>();
  gateway::Spawn(cluster.loop,
                 ReadToEnd(cluster.loop, cluster.configs[0].callers, bytes,
                           habits, reading));
  const Ms limit = habits.stops_sending_after + habits.reads_after +
                   habits.limit + Seconds(2);
  cluster.RunUntil([&] { return reading->done; }, limit);
  return reading->raw;
}

RawAnswer ParseAnswer(const RawBytes& raw, const std::string& method) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(uint64_t{1} << 30);
  parser.eager(true);
  parser.skip(method == "HEAD");
  RawAnswer answer;
  size_t used = 0;
  gateway::NetErrorCode ec;
  while (!ec && !parser.is_done() && used < raw.bytes.size()) {
    const size_t n = parser.put(
        asio::buffer(raw.bytes.data() + used, raw.bytes.size() - used), ec);
    used += n;
    if (n == 0) break;
  }
  if (!parser.is_done() && parser.got_some() &&
      raw.end == ConnectionEnd::kClosed) {
    parser.put_eof(ec);
  }
  answer.rest = raw.bytes.substr(used);
  answer.is_whole = parser.is_done();
  if (!parser.is_header_done()) return answer;
  answer.status = parser.get().result_int();
  answer.fields = parser.get();
  answer.body = parser.get().body();
  return answer;
}

std::string RequestBytes(const std::string& method, const std::string& path,
                         const std::string& version,
                         const std::string& more_fields) {
  return method + " " + path + " HTTP/" + version +
         "\r\nHost: " + std::string(kHost) +
         "\r\nKey: key1\r\nRequest-Id: r0\r\n" + more_fields + "\r\n";
}

}  // namespace knapweed::testing

#include "tests/platform/process/exchange.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::NetErrorCode;
using gateway::Sleep;
using gateway::Task;

constexpr Ms kConnectTimeout{1000};
/// A caller waits so much longer than its deadline.
constexpr Ms kDeadlineSlack{1500};
constexpr Ms kSlowReadPause{60};
/// Bytes between two pauses of a slow reader.
constexpr size_t kSlowReadBytes = 128 << 10;
constexpr size_t kReadBytes = 64 << 10;
constexpr int kUploadParts = 8;
constexpr Ms kUploadPause{100};

std::string HeadText(const Outgoing& out) {
  const Attempt& attempt = *out.attempt;
  std::string text =
      out.method + " " + attempt.path + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nKey: key2\r\nRequest-Id: " + attempt.id +
      "\r\nDeadline-Ms: " + std::to_string(attempt.time_allowed.count) + "\r\n";
  for (const auto& [name, value] : out.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(out.body.size()) + "\r\n\r\n";
  return text;
}

Task<bool> WriteBytes(Connection& connection, std::string_view bytes) {
  NetErrorCode ec;
  co_await asio::async_write(connection.stream,
                             asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

/// Writes the requests back to back; an upload's body in parts.
Task<bool> WriteRequests(ProcessWorld& world, Connection& connection,
                         std::vector<Outgoing>& batch) {
  std::string text;
  for (const Outgoing& it : batch) text += HeadText(it) + it.body;
  const std::string_view all = text;
  const bool slowly = batch.front().attempt->kind == RequestKind::kUpload;
  const size_t parts = slowly ? kUploadParts : 1;
  const size_t part = text.size() / parts + 1;
  for (size_t at = 0; at < text.size(); at += part) {
    if (at > 0) {
      co_await Sleep(world.loop, kUploadPause);
    }
    const bool written = co_await WriteBytes(connection, all.substr(at, part));
    if (!written) co_return false;
  }
  for (Outgoing& it : batch) it.attempt->sent_at = world.Now();
  co_return true;
}

WaitEnd EndOf(const NetErrorCode& ec) {
  if (ec == beast::error::timeout) return WaitEnd::kTimeout;
  if (ec == asio::error::connection_reset || ec == asio::error::broken_pipe) {
    return WaitEnd::kReset;
  }
  return WaitEnd::kClosed;
}

int CountEvents(const std::string& body) {
  int n = 0;
  for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos;) {
    ++n;
    at += 2;
  }
  return n;
}

/// The events of a complete stream that begins after event `last`.
std::string EventsText(int last, int events) {
  std::string text;
  for (int i = last + 1; i <= events; ++i) {
    const std::string n = std::to_string(i);
    text.append("id: ").append(n).append("\ndata: word");
    text.append(n).append("\n\n");
  }
  return text;
}

/// Notes what the response was, once it has ended or broken off.
void NoteResponse(const Outgoing& out,
                  const http::response<http::string_body>& r, bool has_header) {
  Attempt& it = *out.attempt;
  if (!has_header) return;
  it.status = static_cast<int>(r.result_int());
  if (it.status != 200) it.reason = r.body();
  const auto events = out.headers.find(kEventsHeader);
  if (it.status != 200 || events == out.headers.end()) return;
  it.events = CountEvents(r.body());
  const std::string whole =
      EventsText(it.last_event_id, std::stoi(events->second));
  const std::string_view body = r.body();
  const bool is_start =
      whole.starts_with(body.substr(0, body.rfind("\n\n") + 2));
  const bool is_whole = r.body() == whole;
  it.is_out_of_order =
      it.end == WaitEnd::kAnswered ? !is_whole : it.events > 0 && !is_start;
}

/// Reads the response to one request. Returns whether the connection can carry
/// the next one.
Task<bool> ReadResponse(ProcessWorld& world, Connection& connection,
                        const Outgoing& out) {
  Attempt& it = *out.attempt;
  connection.stream.expires_after(
      gateway::ToChrono(it.time_allowed + kDeadlineSlack));
  http::response_parser<http::string_body> parser;
  parser.body_limit(uint64_t{1} << 30);
  NetErrorCode ec;
  bool leaves = false;
  size_t pauses_at = kSlowReadBytes;
  const Ms until = world.Now() + it.time_allowed + kDeadlineSlack;
  while (!ec && !leaves && !parser.is_done()) {
    co_await http::async_read_some(
        connection.stream, connection.buf, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    const size_t read = parser.get().body().size();
    if (it.kind == RequestKind::kSlowRead && read >= pauses_at) {
      pauses_at = read + kSlowReadBytes;
      co_await Sleep(world.loop, kSlowReadPause);
    }
    if (!ec && world.Now() > until) ec = beast::error::timeout;
    leaves = out.leaves_after > 0 && !parser.is_done() &&
             CountEvents(parser.get().body()) >= out.leaves_after;
  }
  it.ended_at = world.Now();
  it.end = ec ? EndOf(ec) : leaves ? WaitEnd::kLeft : WaitEnd::kAnswered;
  NoteResponse(out, parser.get(), parser.is_header_done());
  const bool goes_on = it.end == WaitEnd::kAnswered && parser.keep_alive();
  if (!goes_on) connection.stream.close();
  co_return goes_on;
}

}  // namespace

Task<ConnectionPtr> Reach(ProcessWorld& world, ConnectionPtr at_hand,
                          size_t to) {
  static int opened = 0;
  if (at_hand != nullptr && gateway::IsReusable(at_hand->stream)) {
    co_return at_hand;
  }
  auto fresh = std::make_unique<Connection>(world, to);
  const bool open = co_await gateway::Connect(
      fresh->stream, world.gateways[to].config.callers, kConnectTimeout);
  if (!open) co_return nullptr;
  fresh->number = ++opened;
  fresh->buf.reserve(kReadBytes);
  co_return fresh;
}

Task<bool> Exchange(ProcessWorld& world, Connection& connection,
                    std::vector<Outgoing> batch) {
  connection.stream.expires_after(std::chrono::seconds(10));
  for (Outgoing& it : batch) {
    it.attempt->gateway = connection.gateway;
    it.attempt->connection = connection.number;
    it.attempt->number_on_connection = ++connection.requests;
    it.attempt->pipelined = batch.size() > 1;
  }
  bool open = co_await WriteRequests(world, connection, batch);
  for (Outgoing& it : batch) {
    // A failed write may have been answered already.
    if (open || it.attempt->sent_at == Ms{0}) {
      open = co_await ReadResponse(world, connection, it);
      continue;
    }
    it.attempt->end = WaitEnd::kClosed;
    it.attempt->ended_at = world.Now();
  }
  co_return open;
}

std::vector<Outgoing> BatchOf(Outgoing out) {
  std::vector<Outgoing> batch;
  batch.push_back(std::move(out));
  return batch;
}

}  // namespace knapweed::testing

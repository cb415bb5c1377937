#include "tests/platform/fake_server.h"

#include <nlohmann/json.hpp>

#include "knapweed/base/parse.h"

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::Task;

Task<bool> WriteText(beast::tcp_stream& stream, const std::string& text) {
  gateway::NetErrorCode ec;
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

std::string Chunk(const std::string& text) {
  char size[16];
  snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

/// Returns a refusal that answers no request at hand.
std::string StrayRefusal(Script::Kind kind) {
  if (kind == Script::Kind::kMisdirectionWithoutId) {
    return "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
  }
  const bool has_id = kind == Script::Kind::kEarlierRefusal;
  return std::string("HTTP/1.1 503 X\r\n") +
         (has_id ? "Request-Id: earlier\r\n" : "") +
         "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/// Returns the bytes of `kRaw` with the ID in its place.
std::string RawText(std::string text, const std::string& request_id) {
  constexpr std::string_view kPlace = "@ID";
  const size_t at = text.find(kPlace);
  if (at != std::string::npos) text.replace(at, kPlace.size(), request_id);
  return text;
}

std::string EventText(int number) {
  const std::string n = std::to_string(number);
  return "id: " + n + "\ndata: word" + n + "\n\n";
}

}  // namespace

bool FakeServer::Listen() {
  acceptor_ = std::make_unique<asio::ip::tcp::acceptor>(loop_);
  gateway::NetErrorCode ec;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address_v4(address_.host), address_.port);
  acceptor_->open(endpoint.protocol(), ec);
  acceptor_->set_option(asio::socket_base::reuse_address(true), ec);
  acceptor_->bind(endpoint, ec);
  if (!ec) acceptor_->listen(64, ec);
  if (ec) return false;
  gateway::Spawn(loop_, Accept());
  return true;
}

std::string FakeServer::Entry(const std::string& service, bool draining,
                              uint64_t started_at_ms) const {
  return nlohmann::json{{"service", service},
                        {"address", address_.ToString()},
                        {"zone", failure_domain},
                        {"version", version},
                        {"slots", slots},
                        {"state", draining ? "draining" : "ready"},
                        {"cold_remaining_ms", cold_remaining.count},
                        {"born", started_at_ms},
                        {"seq", 4}}
      .dump();
}

std::deque<Script>& FakeServer::NextScripts() {
  const bool has_shared = shared_scripts != nullptr && !shared_scripts->empty();
  return has_shared ? *shared_scripts : scripts;
}

Script FakeServer::TakeScript() {
  std::deque<Script>& next = NextScripts();
  if (next.empty()) return default_script;
  Script script = std::move(next.front());
  next.pop_front();
  return script;
}

bool FakeServer::LeavesBodyUnread() {
  const std::deque<Script>& next = NextScripts();
  const Script& script = next.empty() ? default_script : next.front();
  return ignores_bodies || refuses_early ||
         script.kind == Script::Kind::kEarlyRaw;
}

Task<void> FakeServer::Accept() {
  while (true) {
    gateway::NetErrorCode ec;
    asio::ip::tcp::socket socket(loop_);
    co_await acceptor_->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    ++connections;
    gateway::Spawn(loop_, Serve(beast::tcp_stream(std::move(socket))));
  }
}

Task<void> FakeServer::Crash() {
  acceptor_->close();
  co_await gateway::Sleep(loop_, restart_delay);
  Listen();
}

Task<void> FakeServer::Serve(beast::tcp_stream stream) {
  ++open_connections;
  co_await ServeRequests(stream);
  --open_connections;
}

void FakeServer::SetSocketBuffers(int bytes) {
  acceptor_->set_option(asio::socket_base::receive_buffer_size(bytes));
  acceptor_->set_option(asio::socket_base::send_buffer_size(bytes));
}

Task<void> FakeServer::RunHeaderOnly(beast::tcp_stream& stream,
                                     const ReceivedRequest& request) {
  ++headers_only;
  const bool is_scripted = !ignores_bodies && !refuses_early;
  if (is_scripted) {
    co_await SendRaw(stream, request.Get("Request-Id"), TakeScript());
    co_return;
  }
  if (refuses_early) {
    co_await WriteText(stream, Head(request, 503,
                                    "Not-Executed: 1\r\nConnection: close\r\n"
                                    "Content-Length: 0\r\n\r\n"));
    co_return;
  }
  co_await gateway::Sleep(loop_, Seconds(20));
}

Task<void> FakeServer::ServeRequests(beast::tcp_stream& stream) {
  beast::flat_buffer buf;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(64 << 20);
    gateway::NetErrorCode ec;
    co_await http::async_read_header(
        stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && LeavesBodyUnread()) {
      ReceivedRequest request;
      request.fields = parser.get();
      co_await RunHeaderOnly(stream, request);
      co_return;
    }
    if (!ec) {
      co_await http::async_read(stream, buf, parser,
                                asio::redirect_error(asio::use_awaitable, ec));
    }
    if (ec) co_return;
    ReceivedRequest request;
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    request.fields = parser.get();
    request.body = parser.get().body();
    request.at = clock_.Now();
    const bool is_expected_instance = request.Get("Expect-Instance") == id_;
    Script script = TakeScript();
    if (choose_script) script = choose_script(request);
    if (!is_expected_instance) script.kind = Script::Kind::kWrongInstance;
    received.push_back(request);
    if (!crash_on.empty() && request.body.find(crash_on) != std::string::npos) {
      gateway::Spawn(loop_, Crash());
      co_return;
    }
    const bool keep_open = co_await RunScript(stream, request, script);
    if (!keep_open) co_return;
  }
}

std::string FakeServer::Head(const ReceivedRequest& request, int status,
                             const std::string& more) const {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nRequest-Id: " + request.Get("Request-Id") + "\r\n" +
         StateFields() + more;
}

std::string FakeServer::LargeBody() {
  std::string body;
  for (int i = 0; body.size() < (3 << 20); ++i) body += std::to_string(i);
  return body;
}

std::string FakeServer::StateFields() const {
  std::string fields;
  if (leaving) fields += "Server-Leaving: 1\r\n";
  if (!limit_per_s.empty()) fields += "Server-Limit: " + limit_per_s + "\r\n";
  return fields;
}

Task<void> FakeServer::SendEndlessly(beast::tcp_stream& stream,
                                     std::string first, std::string unit) {
  bool open = co_await WriteText(stream, first);
  std::string block;
  while (block.size() < 16384) block += unit;
  while (open) {
    open = co_await WriteText(stream, block);
    endless_bytes += block.size();
  }
}

Task<bool> FakeServer::RunEndlessScript(beast::tcp_stream& stream,
                                        const ReceivedRequest& request,
                                        Script::Kind kind) {
  const std::string signature = "Server-Seal: " + id_ + "\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string ok = Head(request, 200, signature);
  const std::string plain = ok + "Content-Length: 4\r\n\r\nbody";
  const std::string events =
      ok + "Content-Type: text/event-stream\r\n" + chunked;
  std::string first;
  std::string unit(1024, 'x');
  switch (kind) {
    case Script::Kind::kEndlessHead:
      first = ok + "X-Filler: ";
      break;
    case Script::Kind::kEndlessInterim:
      unit = "HTTP/1.1 102 Processing\r\n\r\n";
      break;
    case Script::Kind::kEndlessBody:
      first = ok + "\r\n";
      break;
    case Script::Kind::kEndlessChunks:
      first = ok + chunked;
      unit = Chunk(unit);
      break;
    case Script::Kind::kEndlessChunkExtension:
      first = ok + chunked + "4;extension=";
      break;
    case Script::Kind::kEndlessTrailer:
      first = ok + chunked + Chunk("body") + "0\r\n";
      unit = "X-Trailer: filler\r\n";
      break;
    case Script::Kind::kEndlessExtra:
      first = plain;
      break;
    case Script::Kind::kEndlessIdle:
      co_await WriteText(stream, plain);
      co_await gateway::Sleep(loop_, Ms{50});
      break;
    case Script::Kind::kEndlessEvent:
      first = events;
      unit = Chunk("data: " + unit + "\n");
      break;
    case Script::Kind::kEndlessEvents: {
      first = events;
      unit.clear();
      for (int i = 1; i <= 400; ++i) unit += Chunk(EventText(i));
      break;
    }
    case Script::Kind::kEndlessLongEvents:
      first = events;
      unit = Chunk("data: " + std::string(16000, 'e') + "\n\n");
      break;
    case Script::Kind::kDrippingRefusal: {
      bool open = co_await WriteText(
          stream, Head(request, 503,
                       "Not-Executed: 1\r\nContent-Length: 1000\r\n\r\n"));
      while (open) {
        open = co_await WriteText(stream, "x");
        co_await gateway::Sleep(loop_, Ms{100});
      }
      co_return true;
    }
    default:
      co_return false;
  }
  co_await SendEndlessly(stream, std::move(first), std::move(unit));
  co_return true;
}

Task<void> FakeServer::SendRaw(beast::tcp_stream& stream,
                               const std::string& request_id,
                               const Script& script) {
  co_await WriteText(stream, RawText(script.raw, request_id));
  if (script.raw_end == RawEnd::kClose) co_return;
  if (script.raw_end == RawEnd::kSilence) {
    co_await gateway::Sleep(loop_, Seconds(20));
    co_return;
  }
  if (script.raw_end == RawEnd::kReset) {
    co_await gateway::Sleep(loop_, Ms{20});
  }
  gateway::NetErrorCode ec;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  stream.close();
}

Task<bool> FakeServer::SendPacedEvents(beast::tcp_stream& stream,
                                       std::string text, int first,
                                       const Script& script) {
  bool open = true;
  for (int i = first; open && i <= script.events; ++i) {
    if (i > first) {
      co_await gateway::Sleep(loop_, script.event_gap);
    }
    const bool breaks = script.break_after >= 0 && i > script.break_after;
    if (breaks) {
      co_await WriteText(stream, text + Chunk(EventText(i).substr(0, 9)));
      co_return false;
    }
    text += Chunk(EventText(i));
    open = co_await WriteText(stream, text);
    text.clear();
  }
  if (open) {
    open = co_await WriteText(stream, text + "0\r\n\r\n");
  }
  co_return open;
}

Task<bool> FakeServer::RunScript(beast::tcp_stream& stream,
                                 const ReceivedRequest& request,
                                 const Script& script) {
  const std::string signature = "Server-Seal: " + id_ + "\r\n";
  const std::string plain = "Content-Length: 4\r\n\r\nbody";
  if (script.pause > Ms{0}) {
    co_await gateway::Sleep(loop_, script.pause);
  }
  const bool was_endless =
      co_await RunEndlessScript(stream, request, script.kind);
  if (was_endless) co_return false;
  std::string text;
  bool keep_open = true;
  if (script.kind == Script::Kind::kRaw) {
    co_await SendRaw(stream, request.Get("Request-Id"), script);
    co_return false;
  }
  if (request.method == "HEAD") {
    text = Head(request, 200, signature + "Content-Length: 4\r\n\r\n");
    const bool written = co_await WriteText(stream, text);
    co_return written;
  }
  switch (script.kind) {
    case Script::Kind::kPlain:
      text = Head(request, 200, signature + plain);
      break;
    case Script::Kind::kLarge: {
      const std::string body = LargeBody();
      text = Head(request, 200,
                  signature + "Content-Length: " + std::to_string(body.size()) +
                      "\r\n\r\n" + body);
      break;
    }
    case Script::Kind::kMedium:
      text =
          Head(request, 200,
               signature + "Content-Length: " + std::to_string(kMediumBytes) +
                   "\r\n\r\n" + std::string(kMediumBytes, 'm'));
      break;
    case Script::Kind::kError:
      text = Head(request, 500, signature + plain);
      break;
    case Script::Kind::kFull:
      text = Head(request, 503, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      break;
    case Script::Kind::kWrongInstance:
      text = Head(request, 421, "Content-Length: 0\r\n\r\n");
      break;
    case Script::Kind::kGarbage:
      text = "\x01\x02 these bytes are no answer\r\n\r\n";
      keep_open = false;
      break;
    case Script::Kind::kExtra:
      text = Head(request, 200, signature + plain) +
             Head(request, 200, signature + "Content-Length: 4\r\n\r\nevil");
      break;
    case Script::Kind::kMismatched:
      text = "HTTP/1.1 200 X\r\nRequest-Id: another\r\n" + StateFields() +
             signature + "Content-Length: 4\r\n\r\nevil" +
             "HTTP/1.1 200 X\r\nRequest-Id: " + request.Get("Request-Id") +
             "\r\n" + signature + plain;
      break;
    case Script::Kind::kEarlierRefusal:
    case Script::Kind::kRefusalWithoutId:
    case Script::Kind::kMisdirectionWithoutId:
      text = StrayRefusal(script.kind) + Head(request, 200, signature + plain);
      break;
    case Script::Kind::kReset: {
      const std::string partial_response =
          Head(request, 200, signature + "\r\nbod");
      co_await WriteText(stream, partial_response);
      co_await gateway::Sleep(loop_, Ms{20});
      gateway::NetErrorCode ec;
      stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
      stream.close();
      co_return false;
    }
    case Script::Kind::kClose:
      co_return false;
    case Script::Kind::kNoResponse:
      co_await gateway::Sleep(loop_, Seconds(20));
      co_return false;
    case Script::Kind::kVersionedEvents:
    case Script::Kind::kEvents: {
      const bool versioned = script.kind == Script::Kind::kVersionedEvents;
      text = Head(request, 200,
                  signature + (versioned ? "Weight-Versions: 7\r\n" : "") +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
      int first = 0;
      if (!ParseNumber(std::string_view(request.fields["Last-Event-Id"]),
                       &first)) {
        first = 0;
      }
      if (script.event_gap > Ms{0}) {
        const bool sent =
            co_await SendPacedEvents(stream, text, first + 1, script);
        co_return sent;
      }
      for (int i = first + 1; i <= script.events; ++i) {
        if (script.break_after >= 0 && i > script.break_after) {
          text += Chunk(EventText(i).substr(0, 9));
          co_await WriteText(stream, text);
          co_return false;
        }
        const bool changed = versioned && i == 2;
        text += Chunk((changed ? "weight-versions: 8\n" : "") + EventText(i));
      }
      text += "0\r\n\r\n";
      break;
    }
    default:
      break;
  }
  const bool written = co_await WriteText(stream, text);
  co_return written&& keep_open;
}

}  // namespace knapweed::testing

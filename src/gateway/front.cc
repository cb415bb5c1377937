#include "knapweed/gateway/front.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "front_session.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("front");

/// Maximum time for reading the body of a request.
constexpr Ms kBodyTimeout{15000};
/// Maximum time for which the body of a refused request is dropped, and for
/// which a caller may go on sending after the last answer on its connection.
constexpr Ms kDropTimeout{2000};
/// Most reads, of up to 4 KB each, that drop what comes after the last answer.
constexpr int kMaxDropReads = 64;
/// The kernel closes a caller's connection if sent data stays unacknowledged
/// for this long.
constexpr int kTcpUserTimeoutMs = 10000;
/// Time within which a new connection brings its first request.
constexpr Ms kFirstRequestGrace{500};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

void Front::Session::CloseIfIdle() {
  const bool awaits_first =
      !has_served_ && front_.clock_.Now() - opened_at_ < kFirstRequestGrace;
  if (!idle_ || awaits_first) return;
  // Ends the wait for a request, but not one that has arrived already.
  NetErrorCode ec;
  stream_.socket().cancel(ec);
}

Task<bool> Front::Session::WaitForRequest(Ms timeout) {
  idle_ = true;
  stream_.expires_after(ToChrono(timeout));
  NetErrorCode ec;
  if (buf_.size() == 0) {
    const auto space = buf_.prepare(4096);
    size_t n = co_await stream_.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, ec));
    // `CloseIfIdle` has ended the wait; a request may have arrived just before.
    NetErrorCode ignored;
    if (ec == asio::error::operation_aborted &&
        stream_.socket().available(ignored) > 0) {
      n = stream_.socket().read_some(space, ec);
    }
    buf_.commit(n);
  }
  idle_ = false;
  co_return !ec;
}

Task<void> Front::Session::RejectMalformed(const NetErrorCode& ec) {
  keep_alive_ = false;
  http::fields fields;
  const unsigned status = StatusOfParseError(ec);
  kLog.Info("Rejected a malformed request.",
            {{"status", status}, {"error", ec.message()}});
  co_await WriteResponse(status, fields, "{\"error\":\"unreadable request\"}");
  constexpr Ms kTimeout{500};
  co_await DropRest(kMaxDropReads, kTimeout);
}

Task<void> Front::Session::RefuseForMemory(Parser& parser,
                                           uint64_t wanted_bytes) {
  const CallHead head = front_.dialect_.decode_call(parser.get());
  front_.memory_.ReportRefusal(head.request_id, wanted_bytes);
  // A body that was not read ends the connection; the response tells so.
  keep_alive_ = parser.is_done() && parser.keep_alive();
  is_head_request_ = parser.get().method() == http::verb::head;
  is_http10_ = parser.get().version() < 11;
  http::fields fields;
  front_.dialect_.encode_gateway_response(head, fields);
  fields.set(http::field::content_type, "application/json");
  fields.set(http::field::retry_after, std::to_string(kRetryMemory.Seconds()));
  const bool sent = co_await WriteResponse(
      503, fields, "{\"error\":\"held memory is used up\"}");
  if (!sent) keep_alive_ = false;
  if (parser.is_done() || !sent) co_return;
  // Many callers read the response only after they have sent the whole body.
  constexpr size_t kReadBytes = 4096;
  const size_t max_bytes = front_.Limits().max_body_bytes;
  const int max_reads = static_cast<int>(2 * max_bytes / kReadBytes) + 1;
  co_await DropRest(max_reads, kDropTimeout);
}

Task<void> Front::Session::DropRest(int max_reads, Ms timeout) {
  NetErrorCode ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  // Closing with unread bytes would reset the connection, and the caller might
  // lose the response.
  std::array<char, 4096> rest{};
  stream_.expires_after(ToChrono(timeout));
  for (int i = 0; i < max_reads; ++i) {
    NetErrorCode done;
    co_await stream_.async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, done));
    if (done) break;
  }
}

Task<RequestRead> Front::Session::ReadBody(Parser& parser, HeldBytes& held) {
  stream_.expires_after(ToChrono(kBodyTimeout));
  NetErrorCode ec;
  if (!front_.memory_.is_bounded() || !parser.chunked()) {
    co_await http::async_read(stream_, buf_, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
  }
  const uint64_t before_body = held.bytes();
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(
        stream_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
    const uint64_t bytes = before_body + parser.get().body().capacity();
    const uint64_t more = bytes - std::min(bytes, held.bytes());
    if (!MayHold(front_.memory_.state(), more)) {
      parser.get().body() = std::string();
      held.Set(0);
      co_await RefuseForMemory(parser, more);
      co_return RequestRead::kRefused;
    }
    held.Set(bytes);
  }
  if (!ec) co_return RequestRead::kComplete;
  if (IsParseError(ec)) {
    co_await RejectMalformed(ec);
  }
  co_return RequestRead::kFailed;
}

Task<RequestRead> Front::Session::ReadRequest(Parser& parser, HeldBytes& held) {
  const CallerLimits limits = front_.Limits();
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  stream_.expires_after(ToChrono(limits.header_timeout));
  NetErrorCode ec;
  co_await http::async_read_header(
      stream_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    if (IsParseError(ec)) {
      co_await RejectMalformed(ec);
    }
    co_return RequestRead::kFailed;
  }
  const auto length = parser.content_length();
  const auto declared =
      length ? std::optional<uint64_t>(*length) : std::nullopt;
  if (!MayTakeRequest(front_.memory_.state(), declared)) {
    co_await RefuseForMemory(parser, BytesToSetAside(declared));
    co_return RequestRead::kRefused;
  }
  held.Set(BytesToSetAside(declared));
  const bool awaits_go_ahead =
      parser.get().version() >= 11 &&
      beast::iequals(parser.get()[http::field::expect], "100-continue");
  if (awaits_go_ahead) {
    const bool sent =
        co_await Write(asio::buffer(kContinue.data(), kContinue.size()));
    if (!sent) co_return RequestRead::kFailed;
  }
  co_return co_await ReadBody(parser, held);
}

Task<void> Front::Session::WatchForDisconnect(std::shared_ptr<bool> answered) {
  const auto self = shared_from_this();
  NetErrorCode ec;
  co_await stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      asio::redirect_error(asio::use_awaitable, ec));
  if (*answered) co_return;
  char byte = 0;
  const ssize_t n = ec ? -1
                       : recv(stream_.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
  // Bytes of the next request show that the caller is still connected.
  if (n > 0) co_return;
  if (!ec && n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) co_return;
  const CallerGone gone = n == 0 ? CallerGone::kClosed : CallerGone::kReset;
  if (on_disconnect_) on_disconnect_(gone);
}

Task<void> Front::Session::Run() {
  const auto self = shared_from_this();
  NetErrorCode ec;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  // The kernel counts this time also while a slow caller's window stays smaller
  // than the next segment, so with a bound the send watch stands in for it.
  if (!front_.memory_.is_bounded()) {
    setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  }
  bool was_last_answer = false;
  while (keep_alive_ && !stream_aborted_) {
    const bool arrived = co_await WaitForRequest(front_.Limits().idle_timeout);
    if (!arrived) break;
    Parser parser;
    HeldBytes held(front_.memory_);
    const RequestRead read = co_await ReadRequest(parser, held);
    if (read == RequestRead::kRefused) continue;
    if (read == RequestRead::kFailed) break;
    CallerRequest request;
    auto& message = parser.get();
    request.received = front_.clock_.Now();
    request.number_on_connection = ++requests_;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
    request.fields = message;
    request.head = front_.dialect_.decode_call(request.fields);
    keep_alive_ = message.keep_alive();
    is_head_request_ = message.method() == http::verb::head;
    is_http10_ = message.version() < 11;
    stream_.expires_never();
    is_answered_ = false;
    auto answered = std::make_shared<bool>(false);
    Spawn(front_.loop_, WatchForDisconnect(answered));
    StartSendWatch();
    co_await front_.runner_.Run(request, *this);
    StopSendWatch();
    *answered = true;
    has_served_ = true;
    on_disconnect_ = nullptr;
    // What would follow could be taken for the missing rest.
    if (!is_answered_) AbortStream();
    if (stream_aborted_) break;
    stream_.socket().cancel(ec);
    was_last_answer = !keep_alive_;
  }
  if (was_last_answer) {
    co_await DropRest(kMaxDropReads, kDropTimeout);
  }
  if (!stream_aborted_) {
    if (HasMoreBytes()) {
      // Those in the kernel reset the connection.
      kLog.Info("Closing a connection with bytes unread.",
                {{"bytes", buf_.size() + stream_.socket().available(ec)},
                 {"requests", requests_},
                 {"stopping", front_.draining_ ? 1 : 0}});
    }
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    stream_.close();
  }
}

CallerLimits Front::Limits() const {
  return view_.config != nullptr ? view_.config->limits : CallerLimits{};
}

bool Front::Listen(const Address& address) {
  acceptor_ = std::make_shared<asio::ip::tcp::acceptor>(loop_);
  if (!OpenAcceptor(*acceptor_, address, memory_.socket_buffer_bytes()))
    return false;
  SpawnForever(loop_, "accepting callers", [this] { return Accept(); });
  return true;
}

void Front::StopAccepting() {
  // Connections that wait to be accepted would be reset.
  NetErrorCode ec;
  acceptor_->non_blocking(true, ec);
  while (!ec) {
    asio::ip::tcp::socket socket(loop_);
    acceptor_->accept(socket, ec);
    if (!ec) StartSession(std::move(socket));
  }
  acceptor_->close(ec);
  if (ec) kLog.Warning("Can't stop listening.", {{"error", ec.message()}});
}

Task<void> Front::Accept() {
  constexpr Ms kRetryInterval{20};
  while (acceptor_->is_open()) {
    NetErrorCode ec;
    asio::ip::tcp::socket socket(loop_);
    co_await acceptor_->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) {
      // Also if listening has ended meanwhile.
      StartSession(std::move(socket));
    } else if (acceptor_->is_open()) {
      kLog.Warning("Can't accept a connection.", {{"error", ec.message()}});
      co_await Sleep(loop_, kRetryInterval);
    }
  }
}

void Front::StartSession(asio::ip::tcp::socket socket) {
  auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.insert(session);
  asio::co_spawn(loop_, session->Run(),
                 [this, session](const std::exception_ptr& failure) {
                   sessions_.erase(session);
                   if (failure) ReportException("a connection", failure);
                 });
}

void Front::CloseIdle() {
  const std::vector<SessionPtr> all(sessions_.begin(), sessions_.end());
  for (const SessionPtr& session : all) session->CloseIfIdle();
}

}  // namespace knapweed::gateway

// Writing of answers to callers, and the watch over callers that read slowly.
#include <array>
#include <cstdio>
#include <string>

#include "front_session.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/send_progress.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("front");

/// A write that takes longer than this counts as a disconnect of the caller;
/// with a bound of held bytes, one without progress for this long.
constexpr Ms kWriteTimeout{8000};
/// Most answers on one connection while stopping: a caller may send faster than
/// it is answered.
constexpr uint32_t kMaxAnswersInStop = 16;
/// How often a call's connection is checked for what its caller has read.
constexpr Ms kSendCheckInterval{500};

}  // namespace

bool Front::Session::HasMoreBytes() {
  NetErrorCode ignored;
  return buf_.size() > 0 || stream_.socket().available(ignored) > 0;
}

template <typename Message>
void Front::Session::SetConnectionFields(Message& message) {
  if (front_.draining_) {
    // Requests that are here already are answered too.
    const bool goes_on =
        HasMoreBytes() && ++answers_in_stop_ < kMaxAnswersInStop;
    keep_alive_ = keep_alive_ && goes_on;
  }
  message.keep_alive(keep_alive_);
  if (keep_alive_) {
    const auto idle_s = front_.Limits().idle_timeout.count / 1000;
    message.set(http::field::keep_alive, "timeout=" + std::to_string(idle_s));
  }
}

template <typename Message>
void Front::Session::SetHead(Message& message, unsigned status,
                             const http::fields& fields) {
  static_cast<http::fields&>(message) = fields;
  message.version(11);
  message.result(status);
  SetConnectionFields(message);
  // A caller of HTTP/1.0 takes a connection as closing if nothing is stated.
  if (is_http10_ && keep_alive_) {
    message.set(http::field::connection, "keep-alive");
  }
}

void Front::Session::SetResetAtClose(bool resets) {
  NetErrorCode ec;
  stream_.socket().set_option(asio::socket_base::linger(resets, 0), ec);
  if (ec) kLog.Warning("Can't set how a connection closes.");
}

Task<bool> Front::Session::WriteResponse(unsigned status,
                                         const http::fields& fields,
                                         std::string_view body) {
  http::response<http::span_body<const char>> message;
  SetHead(message, status, fields);
  message.body() = {body.data(), body.size()};
  const bool has_body = status != 204 && status != 304;
  // An answer to HEAD without a body here states the upstream's length, if any.
  const bool is_length_known = !is_head_request_ || !body.empty();
  if (has_body && is_length_known) {
    message.set(http::field::content_length, std::to_string(body.size()));
  }
  if (!has_body || is_head_request_) message.body() = {};
  StartWriteTimeout();
  NetErrorCode ec;
  co_await http::async_write(stream_, message,
                             asio::redirect_error(asio::use_awaitable, ec));
  StopWriteTimeout();
  is_answered_ = !ec;
  co_return is_answered_;
}

Task<bool> Front::Session::BeginStream(unsigned status,
                                       const http::fields& fields) {
  http::response<http::empty_body> message;
  ends_with_connection_ = is_http10_;
  if (ends_with_connection_) {
    keep_alive_ = false;
    SetResetAtClose(true);
  }
  SetHead(message, status, fields);
  message.chunked(!ends_with_connection_);
  http::response_serializer<http::empty_body> serializer(message);
  StartWriteTimeout();
  NetErrorCode ec;
  co_await http::async_write_header(
      stream_, serializer, asio::redirect_error(asio::use_awaitable, ec));
  StopWriteTimeout();
  co_return !ec;
}

Task<bool> Front::Session::WriteChunk(std::string_view bytes) {
  if (ends_with_connection_) {
    co_return co_await Write(asio::buffer(bytes.data(), bytes.size()));
  }
  char head[24];
  const int n = snprintf(head, sizeof(head), "%zx\r\n", bytes.size());
  const std::array<asio::const_buffer, 3> chunk = {
      asio::buffer(head, static_cast<size_t>(n)),
      asio::buffer(bytes.data(), bytes.size()), asio::buffer("\r\n", 2)};
  const bool ok = co_await Write(chunk);
  co_return ok;
}

Task<bool> Front::Session::EndStream() {
  if (ends_with_connection_) {
    SetResetAtClose(false);
    is_answered_ = true;
  } else {
    is_answered_ = co_await Write(asio::buffer("0\r\n\r\n", 5));
  }
  co_return is_answered_;
}

void Front::Session::StartWriteTimeout() {
  writing_ = true;
  if (!watches_sending_) stream_.expires_after(ToChrono(kWriteTimeout));
}

void Front::Session::StopWriteTimeout() {
  writing_ = false;
  stream_.expires_never();
}

void Front::Session::StartSendWatch() {
  if (!front_.memory_.is_bounded()) return;
  watches_sending_ = true;
  progress_at_ = front_.clock_.Now();
  ScheduleProgressCheck();
}

void Front::Session::StopSendWatch() {
  watches_sending_ = false;
  send_timer_.cancel();
}

void Front::Session::ScheduleProgressCheck() {
  send_timer_.expires_after(ToChrono(kSendCheckInterval));
  send_timer_.async_wait([weak = weak_from_this()](const NetErrorCode& ec) {
    const SessionPtr self = weak.lock();
    if (ec || self == nullptr || !self->watches_sending_) return;
    const SendProgress progress =
        ReadSendProgress(self->stream_.socket().native_handle());
    const Ms now = self->front_.clock_.Now();
    const bool waits = self->writing_ || progress.has_unacknowledged;
    if (!waits || progress.acknowledged_bytes != self->acknowledged_bytes_) {
      self->progress_at_ = now;
    }
    self->acknowledged_bytes_ = progress.acknowledged_bytes;
    const Ms idle = now - self->progress_at_;
    if (idle >= kWriteTimeout) {
      kLog.Info("Closed a connection whose caller reads nothing.",
                {{"idle_ms", idle.count}});
      self->stream_.close();
    } else {
      self->ScheduleProgressCheck();
    }
  });
}

}  // namespace knapweed::gateway

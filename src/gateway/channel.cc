#include "knapweed/gateway/channel.h"

#include <algorithm>

#include "knapweed/base/http_status.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("channel");

/// Idle time after which a connection isn't reused if the upstream does not
/// state its keep-alive timeout.
constexpr Ms kDefaultKeepAlive{3000};
/// A connection is dropped this long before the upstream's keep-alive timeout,
/// so that no request is sent while the upstream closes it.
constexpr Ms kKeepAliveMargin{700};
constexpr size_t kMaxIdlePerUpstream = 16;
constexpr uint32_t kMaxResponseHeaderBytes = 65536;
constexpr uint64_t kMaxResponseBodyBytes = uint64_t{1} << 40;
constexpr size_t kReadBytes = 16384;
/// Late responses to earlier requests that one attempt reads and discards.
constexpr int kMaxLateResponses = 3;
constexpr size_t kMaxLateResponseBytes = 1 << 20;
constexpr Ms kLateResponseTimeout{1000};

}  // namespace

/// A request being written. The write shares ownership, so that the buffers
/// stay valid if the attempt is destroyed first.
struct Attempt::RequestWrite {
  std::unique_ptr<UpstreamConnection> conn;
  http::request<http::span_body<const char>> request;
  std::shared_ptr<const std::string> body;
  bool done = false;
  NetErrorCode ec;
};

Task<void> Attempt::Send(std::shared_ptr<RequestWrite> write) {
  NetErrorCode ec;
  co_await http::async_write(write->conn->stream, write->request,
                             asio::redirect_error(asio::use_awaitable, ec));
  write->ec = ec;
  write->done = true;
}

Task<AttemptOutcome> Attempt::Begin(std::unique_ptr<UpstreamConnection> conn,
                                    const UpstreamRequest& request,
                                    std::string_view request_id) {
  write_ = std::make_shared<RequestWrite>();
  write_->conn = std::move(conn);
  write_->body = request.body;
  auto& message = write_->request;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  static_cast<http::fields&>(message) = request.fields;
  const std::string& body = *request.body;
  message.body() = {body.data(), body.size()};
  const bool needs_length =
      !body.empty() || request.method == "POST" || request.method == "PUT";
  if (needs_length) {
    message.set(http::field::content_length, std::to_string(body.size()));
  }
  write_->conn->stream.expires_never();
  Spawn(loop_, Send(write_));
  for (int late_responses = 0; late_responses <= kMaxLateResponses;
       ++late_responses) {
    const bool ok = co_await ReadHead();
    if (!ok) co_return AttemptOutcome::kBroken;
    const StatusKind kind = StatusKindOfHead(parser_->get());
    if (kind == StatusKind::kInterim) continue;
    if (kind == StatusKind::kInvalid) {
      kLog.Warning("A response has a status that can't answer a request.",
                   {{"request", request_id}, {"status", status()}});
      co_return AttemptOutcome::kBroken;
    }
    if (head_.request_id == request_id) co_return OutcomeOf(request_id);
    if (head_.request_id.empty()) {
      kLog.Warning("A response does not tell which request it answers.",
                   {{"request", request_id}, {"status", status()}});
      co_return AttemptOutcome::kBroken;
    }
    kLog.Info("Discarded a late response to another request.",
              {{"request", request_id}, {"answers", head_.request_id}});
    const BodyRead read =
        co_await Discard(kMaxLateResponseBytes, kLateResponseTimeout);
    if (read != BodyRead::kComplete) co_return AttemptOutcome::kBroken;
  }
  co_return AttemptOutcome::kBroken;
}

AttemptOutcome Attempt::OutcomeOf(std::string_view request_id) const {
  const bool not_run = head_.not_run || status() == kMisdirected;
  if (!not_run) return AttemptOutcome::kResponded;
  // Without an id it may be a late response to an earlier request.
  const bool is_sure = !request_id.empty() || !write_->conn->reused;
  return is_sure ? AttemptOutcome::kNotRun : AttemptOutcome::kBroken;
}

Task<bool> Attempt::ReadHead() {
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(kMaxResponseBodyBytes);
  parser_->skip(write_->request.method() == http::verb::head);
  NetErrorCode ec;
  co_await http::async_read_header(
      write_->conn->stream, write_->conn->buf, *parser_,
      asio::redirect_error(asio::use_awaitable, ec));
  if (ec || aborted_) co_return false;
  head_ = dialect_.decode_response(parser_->get());
  // A 421 comes from another instance, at an address that was reused.
  if (head_.draining && status() != kMisdirected) saw_draining_ = true;
  co_return true;
}

Task<bool> Attempt::ReadSome(std::string* piece) {
  piece->clear();
  if (has_failed_) co_return false;
  if (parser_->is_done()) co_return true;
  piece->resize(kReadBytes);
  parser_->get().body().data = piece->data();
  parser_->get().body().size = piece->size();
  parser_->get().body().more = true;
  while (true) {
    NetErrorCode ec;
    co_await http::async_read_some(
        write_->conn->stream, write_->conn->buf, *parser_,
        asio::redirect_error(asio::use_awaitable, ec));
    const size_t n = piece->size() - parser_->get().body().size;
    // The socket tells a reset once and the end of the stream afterwards, and
    // the write may be told instead of the read.
    const bool was_reset = parser_->need_eof() && write_->ec;
    has_failed_ = was_reset || (ec && ec != http::error::need_buffer);
    if (has_failed_ && n == 0) {
      piece->clear();
      co_return false;
    }
    // Returns the bytes read before a failure; the next call fails.
    if (n > 0 || parser_->is_done()) {
      piece->resize(n);
      co_return true;
    }
    if (aborted_) co_return false;
  }
}

Task<BodyRead> Attempt::ReadAll(std::string* body, size_t max_bytes) {
  body->clear();
  std::string piece;
  while (!is_complete()) {
    const bool ok = co_await ReadSome(&piece);
    if (!ok) co_return BodyRead::kBroken;
    // Grows as appending does, but not beyond what may be read.
    const size_t needed = body->size() + piece.size();
    if (needed > body->capacity()) {
      const size_t grown = std::max(needed, 2 * body->capacity());
      body->reserve(std::min(grown, max_bytes + kReadBytes));
    }
    body->append(piece);
    if (body->size() > max_bytes) co_return BodyRead::kOverLimit;
  }
  co_return BodyRead::kComplete;
}

Task<BodyRead> Attempt::Discard(size_t max_bytes, Ms timeout) {
  write_->conn->stream.expires_after(ToChrono(timeout));
  size_t total = 0;
  std::string piece;
  while (!is_complete()) {
    const bool ok = co_await ReadSome(&piece);
    if (!ok) co_return BodyRead::kBroken;
    total += piece.size();
    if (total > max_bytes) co_return BodyRead::kOverLimit;
  }
  write_->conn->stream.expires_never();
  co_return BodyRead::kComplete;
}

void Attempt::Abort() {
  if (write_ == nullptr || write_->conn == nullptr) return;
  aborted_ = true;
  write_->conn->stream.close();
}

std::unique_ptr<UpstreamConnection> Attempt::TakeConnection() {
  if (write_ == nullptr || write_->conn == nullptr || aborted_ ||
      parser_ == nullptr || !parser_->is_done()) {
    return nullptr;
  }
  // An upstream may respond before it has read the whole request, whose rest is
  // then still being sent on this connection.
  if (!write_->done || write_->ec) return nullptr;
  if (!parser_->get().keep_alive()) return nullptr;
  // Bytes after a complete response belong to no request.
  if (write_->conn->buf.size() > 0) return nullptr;
  auto conn = std::move(write_->conn);
  conn->idle_since = clock_.Now();
  conn->keep_alive =
      head_.keep_alive.value_or(kDefaultKeepAlive + kKeepAliveMargin);
  return conn;
}

bool ConnectionPool::IsFresh(const UpstreamConnection& conn) const {
  return clock_.Now() - conn.idle_since < conn.keep_alive - kKeepAliveMargin;
}

Task<std::unique_ptr<UpstreamConnection>> ConnectionPool::Get(
    const UpstreamPtr& upstream, Ms timeout) {
  auto& idle = idle_[upstream];
  std::string_view reason = "none_idle";
  while (!idle.empty()) {
    std::unique_ptr<UpstreamConnection> conn = std::move(idle.back());
    idle.pop_back();
    if (!IsFresh(*conn) || !IsReusable(conn->stream)) {
      reason = IsFresh(*conn) ? "closed" : "idle_too_long";
      continue;
    }
    conn->reused = true;
    co_return conn;
  }
  std::string name = "connections_opened_total{reason=\"";
  name.append(reason).append("\"}");
  metrics_.GetCounter(name).Add();
  auto conn = std::make_unique<UpstreamConnection>(loop_);
  const bool open = co_await Connect(conn->stream, upstream->entry.address,
                                     timeout, socket_buffer_bytes_);
  if (!open) co_return nullptr;
  co_return conn;
}

void ConnectionPool::Put(const UpstreamPtr& upstream,
                         std::unique_ptr<UpstreamConnection> conn) {
  if (conn == nullptr || !AcceptsCalls(*upstream)) return;
  auto& idle = idle_[upstream];
  if (idle.size() < kMaxIdlePerUpstream) idle.push_back(std::move(conn));
}

void ConnectionPool::CloseIdle() {
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& idle = it->second;
    const UpstreamPtr upstream = it->first.lock();
    const bool accepts = upstream != nullptr && AcceptsCalls(*upstream);
    std::erase_if(idle, [&](const auto& conn) {
      return !accepts || !IsFresh(*conn) || !IsReusable(conn->stream);
    });
    it = idle.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace knapweed::gateway

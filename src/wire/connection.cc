#include "connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <utility>

#include "knapweed/base/log.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr Logger kLog("wire");
constexpr size_t kReadBufferBytes = 4096;
/// The connection to a peer that reads too slowly is closed when more than this
/// is queued for it.
constexpr size_t kMaxQueuedBytes = 64 << 20;
/// A frame can be decoded in place if its address is a multiple of this.
constexpr size_t kFrameAlignment = 8;
/// How long sent data may stay unacknowledged before the system closes the
/// connection (TCP_USER_TIMEOUT).
constexpr unsigned kUnackedTimeoutMs = 10000;

uint32_t ReadLength(const uint8_t* bytes) {
  return flatbuffers::ReadScalar<uint32_t>(bytes);
}

void SetOptions(Connection::Socket& socket) {
  error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::keep_alive(true), ec);
  const int fd = socket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnackedTimeoutMs,
             sizeof(kUnackedTimeoutMs));
}

std::string PeerName(const Connection::Socket& socket) {
  error_code ec;
  const auto endpoint = socket.remote_endpoint(ec);
  if (ec) return "unknown";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace

Connection::Connection(IoThreads::Loop loop, Socket socket)
    : loop_(std::move(loop)),
      socket_(std::move(socket)),
      peer_(PeerName(socket_)) {
  SetOptions(socket_);
}

void Connection::Start(Events events) {
  events_ = std::move(events);
  Reserve(kFrameLengthBytes);
  Read();
}

bool Connection::Send(flatbuffers::DetachedBuffer frame, SentFlag sent) {
  const std::lock_guard lock(mu_);
  if (closed_.load() || draining_) return false;
  if (queued_bytes_ + frame.size() > kMaxQueuedBytes) {
    asio::post(*loop_, [self = shared_from_this()] {
      self->CloseWithWarning("the peer reads too slowly");
    });
    return false;
  }
  queued_bytes_ += frame.size();
  queue_.push_back({std::move(frame), std::move(sent)});
  if (writing_) return true;
  writing_ = true;
  asio::post(*loop_, [self = shared_from_this()] { self->Write(); });
  return true;
}

void Connection::Close() {
  const std::lock_guard lock(mu_);
  if (closed_.load()) return;
  asio::post(*loop_, [self = shared_from_this()] { self->CloseOnLoop(); });
}

void Connection::CloseAfterWrites() {
  {
    const std::lock_guard lock(mu_);
    draining_ = true;
    if (writing_) return;
  }
  Close();
}

void Connection::Read() {
  socket_.async_read_some(asio::buffer(buf_.data() + end_, buf_.size() - end_),
                          [self = shared_from_this()](error_code ec, size_t n) {
                            if (ec) return self->CloseOnLoop();
                            self->OnRead(n);
                          });
}

void Connection::OnRead(size_t n) {
  end_ += n;
  if (!HandleFrames() || closed_.load()) return;
  Read();
}

bool Connection::HandleFrames() {
  while (end_ - begin_ >= kFrameLengthBytes) {
    const size_t length = ReadLength(buf_.data() + begin_);
    if (length > kMaxFrameBytes) {
      CloseWithWarning("the frame is oversized");
      return false;
    }
    const size_t frame_bytes = kFrameLengthBytes + length;
    if (end_ - begin_ < frame_bytes) {
      Reserve(frame_bytes);
      return true;
    }
    if (!HandleFrame({buf_.data() + begin_, frame_bytes})) return false;
    begin_ += frame_bytes;
  }
  Reserve(kFrameLengthBytes);
  return true;
}

bool Connection::HandleFrame(std::span<const uint8_t> bytes) {
  if (reinterpret_cast<uintptr_t>(bytes.data()) % kFrameAlignment != 0) {
    aligned_.assign(bytes.begin(), bytes.end());
    bytes = aligned_;
  }
  absl::StatusOr<Message> message = DecodeFrame(bytes);
  if (!message.ok()) {
    const absl::string_view reason = message.status().message();
    CloseWithWarning({reason.data(), reason.size()});
    return false;
  }
  events_.on_message(*std::move(message));
  if (aligned_.capacity() > kReadBufferBytes) aligned_ = {};
  return true;
}

// Moves the unparsed bytes to the front of the buffer and makes room behind
// them. The buffer grows to `wanted` bytes in steps of at most twice the bytes
// that have arrived, so that a peer can't make this process allocate a large
// buffer by a length prefix alone. A large buffer is freed after its frame.
void Connection::Reserve(size_t wanted) {
  const size_t unread_bytes = end_ - begin_;
  const size_t limit = std::max(wanted, kReadBufferBytes);
  if (unread_bytes == buf_.size() || buf_.size() > limit) {
    std::vector<uint8_t> next(
        std::clamp(2 * unread_bytes, kReadBufferBytes, limit));
    std::copy_n(buf_.begin() + static_cast<ptrdiff_t>(begin_), unread_bytes,
                next.begin());
    buf_ = std::move(next);
  } else if (begin_ > 0) {
    std::memmove(buf_.data(), buf_.data() + begin_, unread_bytes);
  }
  begin_ = 0;
  end_ = unread_bytes;
}

void Connection::Write() {
  std::vector<asio::const_buffer> buffers;
  {
    const std::lock_guard lock(mu_);
    if (closed_.load()) return;
    batch_.swap(queue_);
    queued_bytes_ = 0;
    for (const Outgoing& it : batch_) {
      if (it.sent != nullptr) it.sent->store(true);
      buffers.emplace_back(it.frame.data(), it.frame.size());
    }
  }
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](error_code ec, size_t) {
                      if (ec) return self->CloseOnLoop();
                      self->OnWritten();
                    });
}

void Connection::OnWritten() {
  batch_.clear();
  bool drained = false;
  {
    const std::lock_guard lock(mu_);
    writing_ = !queue_.empty();
    drained = draining_ && !writing_;
    if (!writing_ && !drained) return;
  }
  if (drained) return CloseOnLoop();
  Write();
}

void Connection::CloseWithWarning(std::string_view reason) {
  if (closed_.load()) return;
  kLog.Warning("Closed a connection.", {{"peer", peer_}, {"reason", reason}});
  CloseOnLoop();
}

void Connection::CloseOnLoop() {
  {
    const std::lock_guard lock(mu_);
    if (closed_.exchange(true)) return;
    queue_.clear();
  }
  error_code ec;
  socket_.close(ec);
  // The callbacks may own objects that own this connection; clearing them
  // breaks the reference cycle.
  const Events events = std::exchange(events_, {});
  if (events.on_close) events.on_close();
}

}  // namespace knapweed

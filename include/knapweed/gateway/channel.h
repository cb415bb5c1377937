#ifndef KNAPWEED_GATEWAY_CHANNEL_H_
#define KNAPWEED_GATEWAY_CHANNEL_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/dialect.h"
#include "knapweed/gateway/upstreams.h"

/// Sends one attempt of a call to one upstream over pooled connections.
namespace knapweed::gateway {

/// A request as it is sent to an upstream. All attempts of a call share the
/// body.
struct UpstreamRequest {
  std::string method;
  std::string target;
  http::fields fields;
  std::shared_ptr<const std::string> body;
};

/// Result of sending a request and reading the header of its response.
enum class AttemptOutcome : uint8_t {
  /// The header of a response to this request was read.
  kResponded,
  /// The upstream states that it did not run the request.
  kNotRun,
  /// The connection failed or carried no usable response; the request may have
  /// run.
  kBroken,
};

/// How reading a body ended.
enum class BodyRead : uint8_t {
  kComplete,
  /// The connection failed before the end of the body.
  kBroken,
  /// The limit was reached; the rest of the body was not read.
  kOverLimit,
};

/// Status of a response by another instance than the one that the request
/// names.
inline constexpr unsigned kMisdirected = 421;

/// Most bytes that are read from an upstream ahead of their use. Bounds the
/// memory of a response whose header or chunk header does not end.
inline constexpr size_t kMaxReadAheadBytes = 128 << 10;

/// A connection to one incarnation of an upstream.
struct UpstreamConnection {
  explicit UpstreamConnection(asio::io_context& loop)
      : stream(loop), buf(kMaxReadAheadBytes) {}
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  Ms idle_since;
  Ms keep_alive;
  bool reused = false;
};

/// One attempt: writes a request and reads its response piece by piece.
/// `CallRunner` owns it. Its destructor closes the connection, unless
/// `TakeConnection` has moved it out.
class Attempt {
 public:
  Attempt(asio::io_context& loop, const Clock& clock, const Dialect& dialect)
      : loop_(loop), clock_(clock), dialect_(dialect) {}
  Attempt(const Attempt&) = delete;
  ~Attempt() { Abort(); }

  /// Sends the request on `conn` and reads the header of its response, which is
  /// the one that states the id of the request. Reads and discards late
  /// responses to earlier requests; one that states no id is `kBroken`. Has no
  /// timeout of its own; call `Abort` to end it.
  Task<AttemptOutcome> Begin(std::unique_ptr<UpstreamConnection> conn,
                             const UpstreamRequest& request,
                             std::string_view request_id);
  /// Reads the next bytes of the body into `piece`; empty at the end. Returns
  /// false if the connection fails before the end.
  Task<bool> ReadSome(std::string* piece);
  /// Reads the rest of the body into `body`, up to a piece over `max_bytes`.
  Task<BodyRead> ReadAll(std::string* body, size_t max_bytes);
  /// Reads and drops the rest of the body; closes the connection if that takes
  /// over `timeout`.
  Task<BodyRead> Discard(size_t max_bytes, Ms timeout);
  /// Closes the connection; most upstreams then cancel the request.
  void Abort();
  /// Moves the connection out if it can carry another request; returns null
  /// otherwise.
  std::unique_ptr<UpstreamConnection> TakeConnection();

  /// Returns whether the whole body was read.
  bool is_complete() const { return parser_->is_done() && !has_failed_; }
  unsigned status() const { return parser_->get().result_int(); }
  const http::response_header<>& header() const { return parser_->get(); }
  const ResponseHead& head() const { return head_; }
  bool aborted() const { return aborted_; }
  /// Whether a response on this connection, also a late one to another request,
  /// stated that the upstream is draining.
  bool saw_draining() const { return saw_draining_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;
  struct RequestWrite;

  Task<bool> ReadHead();
  /// Returns the outcome that the header of the request's response states.
  AttemptOutcome OutcomeOf(std::string_view request_id) const;
  static Task<void> Send(std::shared_ptr<RequestWrite> write);

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  std::shared_ptr<RequestWrite> write_;
  std::unique_ptr<Parser> parser_;
  ResponseHead head_;
  bool saw_draining_ = false;
  bool aborted_ = false;
  /// Reading the body has failed.
  bool has_failed_ = false;
};

/// Idle connections to upstreams, by incarnation. `Gateway` owns it.
class ConnectionPool {
 public:
  /// `socket_buffer_bytes` is the size of each buffer of a connection; 0 leaves
  /// it to the kernel.
  ConnectionPool(asio::io_context& loop, const Clock& clock, Metrics& metrics,
                 size_t socket_buffer_bytes)
      : loop_(loop),
        clock_(clock),
        metrics_(metrics),
        socket_buffer_bytes_(socket_buffer_bytes) {}

  /// Returns an idle connection or opens a new one; null if that fails or takes
  /// over `timeout`.
  Task<std::unique_ptr<UpstreamConnection>> Get(const UpstreamPtr& upstream,
                                                Ms timeout);
  /// Keeps `conn` for reuse. Closes it if the upstream accepts no more calls or
  /// has enough idle connections; null is ignored.
  void Put(const UpstreamPtr& upstream,
           std::unique_ptr<UpstreamConnection> conn);
  /// Closes connections that have been idle for too long, that received bytes
  /// while idle, or whose upstream accepts no more calls. Call it periodically.
  void CloseIdle();

 private:
  bool IsFresh(const UpstreamConnection& conn) const;

  asio::io_context& loop_;
  const Clock& clock_;
  Metrics& metrics_;
  size_t socket_buffer_bytes_;
  std::map<std::weak_ptr<Upstream>,
           std::list<std::unique_ptr<UpstreamConnection>>,
           std::owner_less<std::weak_ptr<Upstream>>>
      idle_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CHANNEL_H_

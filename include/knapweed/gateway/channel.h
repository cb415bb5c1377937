#ifndef KNAPWEED_GATEWAY_CHANNEL_H_
#define KNAPWEED_GATEWAY_CHANNEL_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/dialect.h"
#include "knapweed/gateway/upstreams.h"

/// One attempt of a call at one upstream, over kept connections.
namespace knapweed::gateway {

/// A request as it goes to an upstream. The body is shared with the caller's
/// other attempts.
struct UpstreamRequest {
  http::verb method = http::verb::get;
  std::string target;
  http::fields fields;
  std::shared_ptr<const std::string> body;
};

/// How an attempt stands once the head of its answer is there.
enum class AttemptOutcome : uint8_t {
  /// An answer to this request has begun.
  kResponded,
  /// Proven not to have run.
  kNotRun,
  /// The connection broke or brought nothing usable: it may have run.
  kBroken,
};

/// A connection to one incarnation of an upstream.
struct UpstreamConnection {
  explicit UpstreamConnection(asio::io_context& loop) : stream(loop) {}
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  Ms idle_since;
  Ms keep_alive;
  bool reused = false;
};

/// The request under way and its answer as far as it has been read.
class Attempt {
 public:
  Attempt(asio::io_context& loop, const Clock& clock, const Dialect& dialect)
      : loop_(loop), clock_(clock), dialect_(dialect) {}
  Attempt(const Attempt&) = delete;
  ~Attempt() { Abort(); }

  /// Sends the request on `conn` and reads the head of the answer to it.
  /// Answers to earlier requests that come late are read and dropped.
  Task<AttemptOutcome> Begin(std::unique_ptr<UpstreamConnection> conn,
                             const UpstreamRequest& request,
                             std::string_view request_id);
  /// Reads the next bytes of the body into `piece`; empty at the end. False
  /// when the answer broke off.
  Task<bool> ReadSome(std::string* piece);
  /// Reads what is left of the body, at most `max_bytes`.
  Task<bool> ReadAll(std::string* body, size_t max_bytes);
  /// Closes the connection, which makes most upstreams drop the request.
  void Abort();
  /// The connection, if it can carry another request; null otherwise.
  std::unique_ptr<UpstreamConnection> TakeConnection();

  unsigned status() const { return parser_->get().result_int(); }
  const http::response_header<>& header() const { return parser_->get(); }
  const ResponseHead& head() const { return head_; }
  bool aborted() const { return aborted_; }

 private:
  using Parser = http::response_parser<http::buffer_body>;
  struct RequestWrite;

  Task<bool> ReadHead();
  static Task<void> Send(std::shared_ptr<RequestWrite> write);

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  std::shared_ptr<RequestWrite> write_;
  std::unique_ptr<Parser> parser_;
  ResponseHead head_;
  bool aborted_ = false;
};

/// Idle connections to upstreams, by incarnation.
class ConnectionPool {
 public:
  ConnectionPool(asio::io_context& loop, const Clock& clock, Metrics& metrics)
      : loop_(loop), clock_(clock), metrics_(metrics) {}

  /// A kept connection or a new one; null when none could be made in time.
  Task<std::unique_ptr<UpstreamConnection>> Get(const UpstreamPtr& upstream,
                                                Ms timeout);
  void Put(const UpstreamPtr& upstream,
           std::unique_ptr<UpstreamConnection> conn);
  /// Closes what has been idle for too long; call it regularly.
  void CloseIdle();

 private:
  bool IsFresh(const UpstreamConnection& conn) const;

  asio::io_context& loop_;
  const Clock& clock_;
  Metrics& metrics_;
  std::map<std::weak_ptr<Upstream>,
           std::list<std::unique_ptr<UpstreamConnection>>,
           std::owner_less<std::weak_ptr<Upstream>>>
      idle_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CHANNEL_H_

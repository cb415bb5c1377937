#ifndef KNAPWEED_SRC_GATEWAY_FRONT_SESSION_H_
#define KNAPWEED_SRC_GATEWAY_FRONT_SESSION_H_

#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "knapweed/gateway/front.h"

/// One caller's connection: front.cc reads its requests, front_answers.cc
/// writes their answers.
namespace knapweed::gateway {

/// How reading a request ended.
enum class RequestRead : uint8_t {
  kComplete,
  /// The connection failed, or the request was malformed.
  kFailed,
  /// It was answered with 503 for lack of memory.
  kRefused,
};

/// One caller's connection. The front and the running coroutine own it.
class Front::Session : public CallerLink,
                       public std::enable_shared_from_this<Session> {
 public:
  Session(Front& front, asio::ip::tcp::socket socket)
      : front_(front),
        stream_(std::move(socket)),
        send_timer_(front.loop_),
        opened_at_(front.clock_.Now()) {}

  Task<void> Run();
  /// Closes the connection if no request is in progress or being read, unless
  /// it was just opened for its first one.
  void CloseIfIdle();

  Task<bool> WriteResponse(unsigned status, const http::fields& fields,
                           std::string_view body) override;
  Task<bool> BeginStream(unsigned status, const http::fields& fields) override;
  Task<bool> WriteChunk(std::string_view bytes) override;
  Task<bool> EndStream() override;
  void AbortStream() override {
    stream_aborted_ = true;
    stream_.close();
  }
  void OnDisconnect(std::function<void(CallerGone)> callback) override {
    on_disconnect_ = std::move(callback);
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  Task<bool> WaitForRequest(Ms timeout);
  Task<RequestRead> ReadRequest(Parser& parser, HeldBytes& held);
  /// Reads a body; a chunked one only as long as it fits within the bound of
  /// held bytes, else returns `kRefused`.
  Task<RequestRead> ReadBody(Parser& parser, HeldBytes& held);
  Task<void> RejectMalformed(const NetErrorCode& ec);
  /// Responds with 503 because `wanted_bytes` more did not fit.
  Task<void> RefuseForMemory(Parser& parser, uint64_t wanted_bytes);
  /// Reads and drops what the caller still sends.
  Task<void> DropRest(int max_reads, Ms timeout);
  Task<void> WatchForDisconnect(std::shared_ptr<bool> answered);
  /// Returns whether bytes of another request have arrived.
  bool HasMoreBytes();
  template <typename Message>
  void SetConnectionFields(Message& message);
  /// Sets the status line and the fields of an answer's head.
  template <typename Message>
  void SetHead(Message& message, unsigned status, const http::fields& fields);
  /// While `resets`, any close of the connection resets it, also one at the end
  /// of the process.
  void SetResetAtClose(bool resets);
  /// Writes all of `buffers`, which must outlive the write.
  template <typename Buffers>
  Task<bool> Write(Buffers buffers);
  void StartWriteTimeout();
  void StopWriteTimeout();
  /// With a bound of held bytes, closes the connection when the caller has read
  /// nothing for `kWriteTimeout`, in place of a bound on each whole write.
  void StartSendWatch();
  void StopSendWatch();
  void ScheduleProgressCheck();

  Front& front_;
  beast::tcp_stream stream_;
  asio::steady_timer send_timer_;
  bool watches_sending_ = false;
  bool writing_ = false;
  uint64_t acknowledged_bytes_ = 0;
  Ms progress_at_;
  beast::flat_buffer buf_;
  std::function<void(CallerGone)> on_disconnect_;
  Ms opened_at_;
  bool idle_ = true;
  bool has_served_ = false;
  /// Requests that were read.
  uint32_t requests_ = 0;
  bool keep_alive_ = true;
  bool is_head_request_ = false;
  /// The caller speaks HTTP/1.0, which has no chunks.
  bool is_http10_ = false;
  /// The answer to the present request was written whole.
  bool is_answered_ = false;
  /// Answers in a stop behind which more bytes had arrived.
  uint32_t answers_in_stop_ = 0;
  /// That body ends with the connection.
  bool ends_with_connection_ = false;
  bool stream_aborted_ = false;
};

template <typename Buffers>
Task<bool> Front::Session::Write(Buffers buffers) {
  StartWriteTimeout();
  NetErrorCode ec;
  co_await asio::async_write(stream_, buffers,
                             asio::redirect_error(asio::use_awaitable, ec));
  StopWriteTimeout();
  co_return !ec;
}

}  // namespace knapweed::gateway

#endif  // KNAPWEED_SRC_GATEWAY_FRONT_SESSION_H_

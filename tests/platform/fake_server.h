#ifndef KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_
#define KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/gateway/net.h"

/// A fake upstream that serves the platform's published HTTP protocol and
/// responds as a test scripts it.
namespace knapweed::testing {

/// What follows the bytes of a raw response.
enum class RawEnd {
  /// The connection closes.
  kClose,
  /// The connection is reset, 20 ms later.
  kReset,
  /// The connection is reset at once.
  kResetAtOnce,
  /// Nothing for 20 s.
  kSilence,
};

/// How the server responds to one request.
struct Script {
  enum class Kind {
    /// 200 with a Content-Length.
    kPlain,
    /// 200 with a stream of the events after the request's Last-Event-Id.
    kEvents,
    /// Like `kEvents`; the second event states that the version of the weights
    /// changed.
    kVersionedEvents,
    /// 503 that states that the request was not run.
    kFull,
    /// 421, as for a request to another instance.
    kWrongInstance,
    /// A signed 500.
    kError,
    /// Closes the connection without a response.
    kClose,
    /// Bytes that are not HTTP.
    kGarbage,
    /// A complete response followed by a second one.
    kExtra,
    /// A response with another request's ID before the response to this one.
    /// Only the first of them states that the server is leaving.
    kMismatched,
    /// An earlier request's refusal (503, not run) once more, then the response
    /// to this one, which was run.
    kEarlierRefusal,
    /// The same, but the refusal states no request ID.
    kRefusalWithoutId,
    /// The same with a 421.
    kMisdirectionWithoutId,
    /// The bytes in `raw`; then ends as `raw_end` states.
    kRaw,
    /// Like `kRaw`, but before the request's body is read, which stays unread.
    kEarlyRaw,
    /// A response without a length that is cut off by a TCP reset.
    kReset,
    /// No response; closes the connection after 20 s.
    kNoResponse,
    /// 200 with `LargeBody` and its length.
    kLarge,
    /// 200 with `kMediumBytes` and their number.
    kMedium,
    // The next ones send bytes until the peer closes the connection.
    /// One header line without end.
    kEndlessHead,
    /// Interim responses (102) without end.
    kEndlessInterim,
    /// A body without a length.
    kEndlessBody,
    /// A chunked body.
    kEndlessChunks,
    /// One chunk whose extension does not end.
    kEndlessChunkExtension,
    /// A chunked body whose trailer does not end.
    kEndlessTrailer,
    /// More bytes after a complete response.
    kEndlessExtra,
    /// More bytes 50 ms after a complete response, when the connection is idle.
    kEndlessIdle,
    /// A stream with one event that does not end.
    kEndlessEvent,
    /// A stream of complete events, whose numbers start again after 400.
    kEndlessEvents,
    /// A stream of complete events of 16 KB without a number.
    kEndlessLongEvents,
    /// A refusal whose body arrives one byte each 100 ms.
    kDrippingRefusal,
  };
  Kind kind = Kind::kPlain;
  /// Number of the stream's last event.
  int events = 3;
  /// The connection closes in the middle of the event after this one; negative
  /// for a complete stream.
  int break_after = -1;
  /// Delay before the response.
  Ms pause;
  /// The bytes of `kRaw`; "@ID" in them stands for the request's ID.
  std::string raw = {};
  RawEnd raw_end = RawEnd::kClose;
  /// Time before each event but the first of `kEvents`.
  Ms event_gap = {};
};

/// A request as the server received it.
struct ReceivedRequest {
  std::string method;
  std::string target;
  gateway::http::fields fields;
  std::string body;
  /// When it arrived, on the clock of the machine.
  Ms at;
  std::string Get(const std::string& name) const {
    return std::string(fields[name]);
  }
};

/// A fake upstream on the caller's event loop, which must outlive it.
class FakeServer {
 public:
  FakeServer(gateway::asio::io_context& loop, std::string id, Address address)
      : loop_(loop), id_(std::move(id)), address_(std::move(address)) {}

  /// Returns false if the address can't be bound.
  bool Listen();
  /// Sets the size of the buffers of connections that are accepted from now on.
  void SetSocketBuffers(int bytes);
  /// Returns the JSON entry that the server would write about itself to the
  /// store.
  std::string Entry(const std::string& service, bool draining = false,
                    uint64_t started_at_ms = kStartedAtMs) const;
  /// Returns the body of `kLarge`, 3 MB.
  static std::string LargeBody();
  static constexpr size_t kMediumBytes = 200 << 10;
  static constexpr uint64_t kStartedAtMs = 1700000000000;

  const std::string& id() const { return id_; }
  /// Scripts for the next requests in order; later requests use
  /// `default_script`. Requests for another instance always get 421.
  std::deque<Script> scripts;
  /// Scripts that several servers take in turn, before their own; may be null.
  std::shared_ptr<std::deque<Script>> shared_scripts;
  Script default_script;
  /// Chooses the script of each request in place of the two above.
  std::function<Script(const ReceivedRequest&)> choose_script;
  /// A request whose body contains this closes the listener for
  /// `restart_delay`, as a crash would. Empty for none.
  std::string crash_on;
  Ms restart_delay{400};
  /// Reads only the header of a request and neither reads its body nor
  /// responds.
  bool ignores_bodies = false;
  /// Reads only the header of a request, refuses it (503, not run) and closes
  /// the connection.
  bool refuses_early = false;
  /// Requests whose header was read in one of these two ways.
  int headers_only = 0;
  /// Every response states that the server is leaving.
  bool leaving = false;
  /// Limit in requests per second that every response states; empty for none.
  std::string limit_per_s;
  /// Failure domain that its entry states.
  std::string failure_domain = "a";
  /// How much longer it is cold, as its entry states it.
  Ms cold_remaining;
  /// Places that its entry states.
  int slots = 4;
  /// Version of its software, as its entry states it.
  std::string version = "v1";
  std::vector<ReceivedRequest> received;
  /// Connections accepted so far.
  int connections = 0;
  /// Connections that are open now.
  int open_connections = 0;
  /// Bytes sent by the endless scripts.
  uint64_t endless_bytes = 0;

 private:
  /// Returns the scripts that the next request uses first.
  std::deque<Script>& NextScripts();
  /// Removes the script of the next request and returns it.
  Script TakeScript();
  /// Returns whether the next request's body is left unread.
  bool LeavesBodyUnread();
  gateway::Task<void> Accept();
  gateway::Task<void> Crash();
  /// Handles a request whose body is not read.
  gateway::Task<void> RunHeaderOnly(gateway::beast::tcp_stream& stream,
                                    const ReceivedRequest& request);
  gateway::Task<void> Serve(gateway::beast::tcp_stream stream);
  gateway::Task<void> ServeRequests(gateway::beast::tcp_stream& stream);
  /// Sends `raw` for the request and ends as the script states.
  gateway::Task<void> SendRaw(gateway::beast::tcp_stream& stream,
                              const std::string& request_id,
                              const Script& script);
  /// Returns whether the connection stays open.
  gateway::Task<bool> RunScript(gateway::beast::tcp_stream& stream,
                                const ReceivedRequest& request,
                                const Script& script);
  /// Sends `first` and then `unit` repeatedly until the peer closes.
  gateway::Task<void> SendEndlessly(gateway::beast::tcp_stream& stream,
                                    std::string first, std::string unit);
  /// Writes the rest of a stream whose head and first events are `text`, from
  /// event `first` on, with a pause before each event.
  gateway::Task<bool> SendPacedEvents(gateway::beast::tcp_stream& stream,
                                      std::string text, int first,
                                      const Script& script);
  /// Returns whether `kind` was an endless script, after it has ended.
  gateway::Task<bool> RunEndlessScript(gateway::beast::tcp_stream& stream,
                                       const ReceivedRequest& request,
                                       Script::Kind kind);
  /// Returns the status line, the request ID and `more`, which ends the header.
  std::string Head(const ReceivedRequest& request, int status,
                   const std::string& more) const;
  /// Returns the headers that state that the server is leaving, if it is, and
  /// its limit, if it has one.
  std::string StateFields() const;

  gateway::asio::io_context& loop_;
  Clock clock_ = Clock::Steady();
  std::string id_;
  Address address_;
  std::unique_ptr<gateway::asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_

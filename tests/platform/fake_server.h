#ifndef KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_
#define KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_

#include <deque>
#include <string>
#include <vector>

#include "knapweed/gateway/net.h"

/// An upstream of the platform, over its published protocol, that answers as a
/// test tells it to.
namespace knapweed::testing {

/// What the server does with one request.
struct Script {
  enum class Kind {
    /// 200 with a length.
    kPlain,
    /// 200 with the events after the one that the request names.
    kEvents,
    /// 503 that states that the request has not run.
    kFull,
    /// 421.
    kWrongInstance,
    /// 500 with the server's signature.
    kError,
    /// Reads the request and closes without a byte.
    kClose,
    /// Bytes that are no answer.
    kGarbage,
    /// A whole answer and then a second one.
    kExtra,
    /// A late answer to another request before the one to this.
    kMismatched,
    /// An answer without a length, cut by a reset.
    kReset,
    /// Never answers.
    kNoResponse,
  };
  Kind kind = Kind::kPlain;
  int events = 3;
  /// Bytes of the event that the stream breaks off in, after this many events;
  /// below zero it ends whole.
  int break_after = -1;
  Ms pause;
};

/// A request as the server saw it.
struct ReceivedRequest {
  std::string method;
  std::string target;
  gateway::http::fields fields;
  std::string body;
  std::string Get(const std::string& name) const {
    return std::string(fields[name]);
  }
};

class FakeServer {
 public:
  FakeServer(gateway::asio::io_context& loop, std::string id, Address address)
      : loop_(loop), id_(std::move(id)), address_(std::move(address)) {}

  bool Listen();
  /// The entry that the server writes about itself.
  std::string Entry(const std::string& service, bool draining = false) const;

  const std::string& id() const { return id_; }
  /// Scripts for the next requests in turn; `usual` for those after.
  std::deque<Script> scripts;
  Script default_script;
  /// A request whose body holds this takes the server down for `down_for`.
  std::string crash_on;
  Ms restart_delay{400};
  std::vector<ReceivedRequest> received;
  int connections = 0;

 private:
  gateway::Task<void> Accept();
  gateway::Task<void> Crash();
  gateway::Task<void> Serve(gateway::beast::tcp_stream stream);
  gateway::Task<bool> RunScript(gateway::beast::tcp_stream& stream,
                                const ReceivedRequest& request,
                                const Script& script);
  std::string Head(const ReceivedRequest& request, int status,
                   const std::string& more) const;

  gateway::asio::io_context& loop_;
  std::string id_;
  Address address_;
  std::unique_ptr<gateway::asio::ip::tcp::acceptor> acceptor_;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_FAKE_SERVER_H_

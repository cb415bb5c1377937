#ifndef KNAPWEED_REVIEW_STANDIN_3_STANDIN_H_
#define KNAPWEED_REVIEW_STANDIN_3_STANDIN_H_

#include <sys/types.h>

// clang-format off
// g++ 12 needs <utility> before Asio's coroutine headers.
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Stand-ins of the users' platform for the cases of this review: the store,
/// servers, clients, and the gateways' processes. All of them run on one loop
/// and use loopback addresses only.
namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = beast::error_code;
template <typename T>
using Task = asio::awaitable<T>;
using nlohmann::json;

/// Milliseconds since the start of the case.
int64_t NowMs();
/// Appends a line with the time to the record file.
void Note(const std::string& line);
void OpenRecord(const std::string& path);
/// Whether the case runs with its disruption (TROUBLE is not 0).
bool WithTrouble();
Task<void> Sleep(asio::io_context& loop, int64_t ms);
void Spawn(asio::io_context& loop, Task<void> task);

/// Reserves free loopback ports for the whole run.
class Ports {
 public:
  explicit Ports(asio::io_context& loop) : loop_(loop) {}
  uint16_t Take();

 private:
  asio::io_context& loop_;
  std::vector<asio::ip::tcp::socket> held_;
};

/// What happens to one commit at the store.
struct CommitFate {
  /// It is done, but the caller gets no answer.
  bool is_lost = false;
  /// It is done so much later, without an answer.
  int64_t late_ms = 0;
};

/// The platform's store. Each gateway reaches it at a port of its own, so that
/// a case can tell the gateways apart.
class Store {
 public:
  explicit Store(asio::io_context& loop) : loop_(loop) {}
  void Listen(uint16_t port, int gateway);
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Returns the value of a row in any part; empty if there is none.
  std::string Get(const std::string& table, const std::string& key) const;

  /// Decides on a commit that is about to be done; unset for a sound store.
  std::function<CommitFate(int gateway, const json& commit)> fate;
  /// Calls of these gateways get no answer and are not done.
  std::function<bool(int gateway)> is_silent;
  /// Time until an answer.
  int64_t answer_ms = 4;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Value {
    std::string bytes;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Answer {
    unsigned status = 0;
    std::string body;
    bool silent = false;
  };
  Task<void> Accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                    int gateway);
  Task<void> Serve(asio::ip::tcp::socket socket, int gateway);
  Task<Answer> Handle(int gateway, std::string target, std::string body);
  Task<Answer> Feed(std::string target);
  Answer Range(const std::string& target) const;
  Answer Apply(const json& call, bool* done);
  bool Holds(const json& call) const;
  json RowJson(const Key& key, const Value& value) const;
  Answer Make(unsigned status, json body) const;

  asio::io_context& loop_;
  std::map<Key, Value> rows_;
  uint64_t version_ = 1;
};

/// A request that a server began to work on.
struct Run {
  std::string server;
  std::string id;
  std::string target;
  std::string tenant;
  std::string last_event_id;
  std::string body;
  int64_t at_ms = 0;
};

/// How a server answers one request.
struct Reply {
  unsigned status = 200;
  bool is_stream = false;
  /// Events of the whole stream, their gap, and the time to the first.
  int events = 0;
  int64_t gap_ms = 0;
  int64_t first_ms = 0;
  /// Text of the event with this number, without a line feed.
  std::function<std::string(int)> text;
  std::string body;
  /// Connection is closed after this event; 0 for never.
  int break_after = 0;
  /// The server crashes as it begins to work, and is back so much later; 0 for
  /// a request that crashes nothing.
  int64_t crashes_for_ms = 0;
};

/// A server of a service, which registers itself in the store.
class Server {
 public:
  Server(asio::io_context& loop, Store& store, uint16_t port, std::string id,
         std::string service, std::string version);
  void Register(bool draining = false);
  const std::string& id() const { return id_; }

  std::function<Reply(const http::request<http::string_body>&)> reply;
  std::vector<Run> runs;
  int slots = 64;

 private:
  Task<void> Accept();
  Task<void> Serve(asio::ip::tcp::socket socket);
  Task<bool> Answer(beast::tcp_stream& stream,
                    const http::request<http::string_body>& request);
  Task<void> Beat();
  /// Resets all connections in random order, refuses new ones, and comes back
  /// under the same id.
  void Crash(int64_t for_ms);
  Task<void> ComeBack(int64_t after_ms);

  asio::io_context& loop_;
  Store& store_;
  uint16_t port_;
  std::string id_;
  std::string service_;
  std::string version_;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;
  std::set<beast::tcp_stream*> open_;
  std::mt19937_64 random_{1};
  bool draining_ = false;
  uint64_t seq_ = 0;
  int64_t born_ms_ = 0;
};

/// One gateway, started by the command of the deploy file.
class Gateway {
 public:
  Gateway(asio::io_context& loop, Ports& ports, Store& store, int index,
          std::string folder);
  ~Gateway();
  /// Seeds are peer ports of at most three gateways.
  void Configure(const std::vector<uint16_t>& seeds, int grace_s = 8);
  void Start();
  void Signal(int number);
  /// Kills the process and reaps it.
  void Kill();
  /// Returns whether the process runs; reaps it if it has ended.
  bool Runs();
  Task<bool> IsReady();
  uint16_t front() const { return front_; }
  uint16_t peers() const { return peers_; }
  const std::string& name() const { return name_; }

 private:
  asio::io_context& loop_;
  std::string folder_;
  std::string name_;
  uint16_t store_port_;
  uint16_t front_;
  uint16_t ready_;
  uint16_t peers_;
  uint16_t metrics_;
  pid_t pid_ = -1;
};

/// A client's attempt and what came of it.
struct Attempt {
  std::string method = "POST";
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  int64_t deadline_ms = 4000;

  /// 0 without a whole header.
  unsigned status = 0;
  http::fields fields;
  std::string answer;
  /// The answer arrived whole.
  bool is_whole = false;
  bool connected = false;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
};

/// Sends an attempt on a new connection and reads its answer until the
/// deadline. Adds Host, Request-Id (header "Request-Id" if given) and
/// Deadline-Ms.
Task<void> Send(asio::io_context& loop, uint16_t port, Attempt& attempt);

/// Events of a stream: the numbers of those that arrived whole.
std::vector<int> EventIds(const std::string& text);
/// The data of each event that arrived whole, followed by a line feed.
std::string EventData(const std::string& text);
std::string RandomId(std::mt19937_64& random);

inline constexpr char kHost[] = "front.example";
/// Stride of the engine: tokens of one event.
inline constexpr int kStride = 4;

/// A configuration with the engine service "llm" and the plain service "app".
json BaseConfig(int version);
json StreamRoute(const std::string& name, const std::string& prefix,
                 const std::string& service);

/// Runs `body` on the loop, for `limit_s` seconds at most, and then stops it.
/// Returns the exit code that `body` sets; 2 if it did not end in time.
int RunCase(asio::io_context& loop, Task<int> body, int limit_s);

}  // namespace standin

#endif  // KNAPWEED_REVIEW_STANDIN_3_STANDIN_H_

// Stand-ins of the users' platform for the cases of this review: the store, the
// servers, callers, and the processes of the gateway. Plain sockets and one
// thread a connection; every address is a loopback address.
#ifndef KNAPWEED_REVIEW_STANDIN_HPP_
#define KNAPWEED_REVIEW_STANDIN_HPP_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

using nlohmann::json;

// Milliseconds since the program started.
int64_t NowMs();
void SleepMs(int64_t ms);
void SleepUntil(int64_t ms);

// An address on the loopback network.
struct Address {
  std::string host;
  int port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

// Loopback hosts of this run, and a free port on one of them.
std::string HostOf(int index);
Address FreeAddress(const std::string& host);

// Writes lines with the time to `record.txt` and to the standard output.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string HeaderOf(const Headers& headers, const std::string& name);

// A connection with buffered reads.
class Conn {
 public:
  explicit Conn(int fd) : fd_(fd) {}
  ~Conn();
  Conn(const Conn&) = delete;
  Conn& operator=(const Conn&) = delete;
  // Opens a connection; null if that fails within `timeout_ms`.
  static std::unique_ptr<Conn> Open(const Address& address, int timeout_ms);
  bool Write(const std::string& bytes);
  // Reads more bytes into the buffer; false at the end, on an error or at
  // `until_ms`.
  bool Fill(int64_t until_ms);
  // Returns whether the peer has closed or reset the connection.
  bool PeerClosed();
  bool ReadLine(std::string* line, int64_t until_ms);
  bool ReadBytes(size_t n, std::string* out, int64_t until_ms);
  bool ReadHead(std::string* first, Headers* headers, int64_t until_ms);
  // Reads a request's body, with a length or in chunks.
  bool ReadBody(const Headers& headers, std::string* body, int64_t until_ms);
  int fd() const { return fd_; }

 private:
  int fd_;
  std::string buf_;
};

// Accepts connections and runs `serve` on a thread for each.
class Listener {
 public:
  using Serve = std::function<void(Conn&)>;
  Listener(const Address& address, Serve serve);
  // Closes the listening socket; connections are refused until `Open`.
  void Close();
  void Open();

 private:
  Address address_;
  Serve serve_;
  std::atomic<int> fd_{-1};
};

// The platform's store: rows, commits with conditions, and feeds.
class Store {
 public:
  explicit Store(const Address& address);
  // What the operator and the servers write.
  void Put(const std::string& table, const std::string& key, const json& value);
  void Remove(const std::string& table, const std::string& key);
  size_t Count(const std::string& table);
  // While set, calls are read and not answered, and nothing is done.
  std::atomic<bool> silent{false};
  std::atomic<int> commits{0};

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Value {
    std::string base64;
    uint64_t ver = 0;
    bool deleted = false;
  };
  void Serve(Conn& conn);
  std::pair<int, json> Handle(const std::string& method,
                              const std::string& target,
                              const std::string& body);
  std::pair<int, json> Get(const std::map<std::string, std::string>& query);
  std::pair<int, json> Feed(const std::map<std::string, std::string>& query);
  std::pair<int, json> Commit(const std::string& body);
  json RowJson(const Key& key, const Value& value) const;

  std::mutex mu_;
  std::condition_variable changed_;
  std::map<Key, Value> rows_;
  uint64_t ver_ = 100;
};

// A request as a server received it, and how its run went.
struct Run {
  std::string request_id;
  std::string path;
  std::string tenant;
  std::string body;
  std::string server;
  std::string version;
  // Request that began the stream that this run takes up; else empty.
  std::string begun_by;
  int64_t began_ms = 0;
  int64_t ended_ms = 0;
  // Events written.
  int events = 0;
  // The whole response was written.
  bool whole = false;
};

// How a server works on one request, by the request's path.
struct Work {
  // A stream of `events` with `gap_ms` between them; else one plain answer
  // after `gap_ms`.
  bool stream = false;
  int events = 8;
  int gap_ms = 20;
};

// A server of a service; registers itself in the store.
class Server {
 public:
  Server(Store& store, std::string id, std::string service, Address address,
         std::function<Work(const Headers&)> work, std::string version = "v1");
  // From now on the server says in the store and in its answers that it leaves.
  // It goes on serving.
  void Drain();
  // Crashes: ends all connections, and is back after `ms` as another
  // incarnation.
  void Crash(int64_t ms);
  std::vector<Run> Runs();
  // Returns the runs of one request.
  std::vector<Run> RunsOf(const std::string& request_id);
  static std::string DataOf(const std::string& request_id, int event);

 private:
  void Serve(Conn& conn);
  json Entry() const;
  Store& store_;
  std::string id_;
  std::string service_;
  Address address_;
  std::function<Work(const Headers&)> work_;
  std::string version_;
  std::atomic<bool> draining_{false};
  std::mutex mu_;
  std::vector<Run> runs_;
  std::set<int> open_fds_;
  std::unique_ptr<Listener> listener_;
  std::atomic<bool> crashed_{false};
  uint64_t seq_ = 1;
  int64_t born_;
};

// A caller's answer.
struct Answer {
  // 0: no connection, or it ended without a status line.
  int status = 0;
  Headers headers;
  std::string body;
  // The whole message arrived, as its framing tells.
  bool complete = false;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  bool KeepsAlive() const;
};

struct Request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string key = "key-1";
  std::string body;
  Headers more;
  int deadline_ms = 4000;
};

// Sends a request on an open connection and reads its answer.
Answer Send(Conn& conn, const Request& request);
// The same on a new connection.
Answer SendNew(const Address& front, const Request& request);

// A process of the gateway, started as the deploy file says.
class Gateway {
 public:
  // `seeds` are the peer addresses of others.
  Gateway(std::string name, std::string host, std::string folder,
          const Address& store);
  ~Gateway();
  void SetSeeds(const std::vector<const Gateway*>& others);
  void Start();
  void Signal(int signal) const;
  // Waits for the process to end; false if it has not within `ms`.
  bool WaitForEnd(int64_t ms);
  bool IsReady() const;
  bool WaitUntilReady(int64_t ms) const;
  const Address& front() const { return front_; }
  const Address& peers() const { return peers_; }
  const std::string& name() const { return name_; }

 private:
  std::string name_;
  std::string host_;
  std::string folder_;
  Address store_;
  Address front_;
  Address ready_;
  Address peers_;
  std::string seeds_;
  pid_t pid_ = 0;
};

// A configuration with the routes and services of a small deployment.
json SmallConfig();
// Host of all routes.
extern const char kHost[];

// Whether the disruption takes place (`TROUBLE` is not 0).
bool Trouble();
// The folder for what the processes write; removed at the end.
std::string TemporaryFolder();
// Ends with an exit code after removing the temporary folder.
[[noreturn]] void Finish(int code, const std::string& why);

}  // namespace review

#endif  // KNAPWEED_REVIEW_STANDIN_HPP_

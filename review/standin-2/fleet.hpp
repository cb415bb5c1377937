// A small deployment for one case: the store's stand-in, stand-ins of servers, and
// the gateways of the deploy file as separate processes, all on loopback.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "store.hpp"

namespace review {

/// record.txt of the case.
class Record {
 public:
  void Open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    va_list args;
    va_start(args, format);
    if (file_ != nullptr) {
      fprintf(file_, "%9.3f ", static_cast<double>(NowMs()) / 1000);
      vfprintf(file_, format, args);
      fputc('\n', file_);
      fflush(file_);
    }
    va_end(args);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

inline Record record;

/// What a server does with a request that it runs.
struct Action {
  int work_ms = 0;
  int status = 200;
  std::string body = "ok";
  /// Events of a stream; empty for a plain answer.
  std::vector<std::string> events;
  int event_gap_ms = 0;
  /// In a longer pause between events the server writes a comment line; 0 for never.
  int comment_after_ms = 0;
  /// Events up to this number are left out: the stream goes on after them.
  int after_event = 0;
  /// The server crashes when it begins to run the request.
  bool crashes = false;
  /// It does not run it: it answers 503 with Not-Executed.
  bool refuses = false;
};

/// A stand-in of an application server. A crash closes its listener and all its
/// connections; a new incarnation with a new id starts at the same address.
class Server {
 public:
  Server(Store& store, std::string service, std::string version, int number)
      : store_(store), service_(std::move(service)), version_(std::move(version)), number_(number) {
    port_ = FreePort();
  }

  std::function<Action(const Message&)> handle;
  /// Called when a request begins to run: this server's id and the request.
  std::function<void(const std::string&, const Message&)> on_run;
  /// Called when the server crashes, with the number of other requests on it.
  std::function<void(const std::string&, size_t)> on_crash;
  int restart_ms = 2500;
  int slots = 12;

  void Start() {
    {
      const std::lock_guard lock(mutex_);
      ++incarnation_;
      id_ = "i-" + std::to_string(number_) + "x" + std::to_string(incarnation_);
      born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    }
    while ((listener_ = Listen(port_)) < 0) SleepMs(20);
    const int listener = listener_;
    const uint64_t incarnation = incarnation_;
    std::thread([this, listener, incarnation] { Accept(listener, incarnation); }).detach();
    Beat("ready");
  }
  /// Writes the server's entry.
  void Beat(const std::string& state) {
    if (down_) return;
    const json entry = {{"service", service_},
                        {"address", "127.0.0.1:" + std::to_string(port_)},
                        {"zone", "zone-a"},
                        {"version", version_},
                        {"slots", slots},
                        {"state", state},
                        {"cold_remaining_ms", 0},
                        {"born", born_},
                        {"seq", ++seq_}};
    store_.Put("servers", Id(), entry.dump());
  }
  void Remove() { store_.Remove("servers", Id()); }
  std::string Id() {
    const std::lock_guard lock(mutex_);
    return id_;
  }
  bool IsDown() const { return down_; }
  size_t Running() const { return running_; }

  void Crash() {
    if (down_.exchange(true)) return;
    const std::string id = Id();
    if (on_crash) on_crash(id, running_ > 0 ? running_ - 1 : 0);
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : connections_) {
        const linger resets{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &resets, sizeof(resets));
        shutdown(fd, SHUT_RDWR);
      }
    }
    std::thread([this, id] {
      SleepMs(restart_ms);
      // The entry of the incarnation before lapses; the new one registers.
      store_.Remove("servers", id);
      down_ = false;
      Start();
    }).detach();
  }

 private:
  void Accept(int listener, uint64_t incarnation) {
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      {
        const std::lock_guard lock(mutex_);
        if (down_ || incarnation != incarnation_) {
          close(fd);
          return;
        }
        connections_.insert(fd);
      }
      std::thread([this, fd, incarnation] {
        Serve(fd, incarnation);
        const std::lock_guard lock(mutex_);
        connections_.erase(fd);
        close(fd);
      }).detach();
    }
  }

  bool IsGone(uint64_t incarnation) {
    const std::lock_guard lock(mutex_);
    return down_ || incarnation != incarnation_;
  }

  void Serve(int fd, uint64_t incarnation) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    Reader reader(fd);
    while (true) {
      Message request;
      if (!ReadRequest(reader, &request) || IsGone(incarnation)) return;
      const std::string request_id = Find(request.headers, "Request-Id");
      const std::string id = Id();
      Headers head = {{"Request-Id", request_id}, {"Keep-Alive", "timeout=10"}};
      if (Find(request.headers, "Expect-Instance") != id) {
        head.emplace("Instance-Id", id);
        if (!SendAll(fd, Response(421, head, ""))) return;
        continue;
      }
      Action action = handle ? handle(request) : Action{};
      action.after_event = std::atoi(Find(request.headers, "Last-Event-Id").c_str());
      if (action.refuses) {
        head.emplace("Not-Executed", "1");
        if (!SendAll(fd, Response(503, head, ""))) return;
        continue;
      }
      ++running_;
      if (on_run) on_run(id, request);
      if (action.crashes) {
        Crash();
        --running_;
        return;
      }
      SleepMs(action.work_ms);
      const bool sent = !IsGone(incarnation) && Answer(fd, incarnation, head, action);
      --running_;
      if (!sent) return;
    }
  }

  bool Answer(int fd, uint64_t incarnation, Headers head, const Action& action) {
    head.emplace("Server-Seal", "seal." + Find(head, "Request-Id"));
    if (action.events.empty()) return SendAll(fd, Response(action.status, head, action.body));
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    text += "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : head) text += name + ": " + value + "\r\n";
    if (!SendAll(fd, text + "\r\n")) return false;
    int number = 0;
    for (const std::string& data : action.events) {
      if (++number <= action.after_event) continue;
      if (number > action.after_event + 1 && !Pause(fd, action)) return false;
      if (IsGone(incarnation)) return false;
      const std::string event = "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
      if (!SendChunk(fd, event)) return false;
    }
    return SendAll(fd, "0\r\n\r\n");
  }
  static bool SendChunk(int fd, const std::string& bytes) {
    std::ostringstream size;
    size << std::hex << bytes.size();
    return SendAll(fd, size.str() + "\r\n" + bytes + "\r\n");
  }
  static bool Pause(int fd, const Action& action) {
    const bool comments =
        action.comment_after_ms > 0 && action.event_gap_ms > action.comment_after_ms;
    if (!comments) {
      SleepMs(action.event_gap_ms);
      return true;
    }
    SleepMs(action.comment_after_ms);
    const bool sent = SendChunk(fd, ": keep-alive\n\n");
    SleepMs(action.event_gap_ms - action.comment_after_ms);
    return sent;
  }

  Store& store_;
  std::string service_;
  std::string version_;
  int number_;
  int port_ = 0;
  int listener_ = -1;
  std::mutex mutex_;
  std::string id_;
  uint64_t incarnation_ = 0;
  int64_t born_ = 0;
  uint64_t seq_ = 0;
  std::set<int> connections_;
  std::atomic<bool> down_{false};
  std::atomic<size_t> running_{0};
};

/// A gateway as a process of its own.
class Gateway {
 public:
  std::string name;
  int callers = FreePort();
  int readiness = FreePort();
  int peers = FreePort();
  int metrics = FreePort();
  StorePort* store = nullptr;
  std::string settings_path;
  std::string log_path;

  void Start() {
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl(Program().c_str(), Program().c_str(), "--config", settings_path.c_str(), nullptr);
      _exit(127);
    }
  }
  void Signal(int number) {
    if (pid_ > 0) kill(pid_, number);
  }
  /// Waits for the end of the process for up to `ms`.
  bool WaitEnd(int64_t ms) {
    const int64_t until = NowMs() + ms;
    while (pid_ > 0) {
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return true;
      }
      if (NowMs() >= until) return false;
      SleepMs(5);
    }
    return true;
  }
  void Kill() {
    Signal(SIGKILL);
    WaitEnd(5000);
  }
  bool IsRunning() { return pid_ > 0 && !WaitEnd(0); }
  pid_t pid() const { return pid_; }
  bool IsReady() const {
    const int fd = Connect(readiness);
    if (fd < 0) return false;
    SendAll(fd, "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    Reader reader(fd);
    reader.SetDeadline(NowMs() + 1000);
    Message answer;
    const bool ok = ReadHead(reader, &answer) && answer.Status() == 200;
    close(fd);
    return ok;
  }
  static std::string Program() {
    const char* program = getenv("REVIEW_GATEWAY");
    return program != nullptr ? program : "target/platform/knapweed-gateway";
  }
  int status = 0;

 private:
  pid_t pid_ = -1;
};

/// The whole deployment.
class Fleet {
 public:
  Store store;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Gateway>> gateways;
  int memory_mb = 130;

  Fleet() {
    char folder[] = "/tmp/review-XXXXXX";
    folder_ = mkdtemp(folder);
  }
  ~Fleet() { Stop(); }

  Server& AddServer(const std::string& service, const std::string& version = "v1") {
    servers.push_back(
        std::make_unique<Server>(store, service, version, static_cast<int>(servers.size()) + 1));
    return *servers.back();
  }
  void AddGateways(int count) {
    for (int i = 0; i < count; ++i) {
      gateways.push_back(std::make_unique<Gateway>());
      Gateway& gateway = *gateways.back();
      gateway.name = "edge-" + std::to_string(gateways.size());
      gateway.store = store.AddPort();
      gateway.settings_path = folder_ + "/" + gateway.name + ".conf";
      gateway.log_path = folder_ + "/" + gateway.name + ".log";
    }
    std::string seeds;
    for (size_t i = 0; i < std::min<size_t>(3, gateways.size()); ++i) {
      if (i > 0) seeds += ",";
      seeds += "127.0.0.1:" + std::to_string(gateways[i]->peers);
    }
    for (const auto& gateway : gateways) WriteSettings(*gateway, seeds);
  }
  /// Fills in the template of the deploy file, as the platform does.
  void WriteSettings(const Gateway& gateway, const std::string& seeds) {
    std::ifstream in("deploy/gateway.ini.in");
    std::stringstream all;
    all << in.rdbuf();
    std::string text = all.str();
    const auto set = [&](const std::string& name, const std::string& value) {
      const std::string mark = "{{" + name + "}}";
      size_t at = 0;
      while ((at = text.find(mark)) != std::string::npos) text.replace(at, mark.size(), value);
    };
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    set("node_name", gateway.name);
    set("zone", "zone-a");
    set("listen.front", address(gateway.callers));
    set("listen.ready_addr", address(gateway.readiness));
    set("listen.control", address(gateway.peers));
    set("seeds", seeds);
    set("limits.memory_mb", std::to_string(memory_mb));
    set("ip", "127.0.0.1");
    // The machines have addresses of their own; here they share one.
    const std::string port = "127.0.0.1:9464";
    const size_t at = text.find(port);
    if (at != std::string::npos) text.replace(at, port.size(), address(gateway.metrics));
    set("platform.address", address(gateway.store->port));
    set("platform.row_bytes", std::to_string(store.row_bytes));
    set("bounds.quota_window_s", "5");
    set("bounds.quota_over", "0.1");
    set("bounds.quota_slack", "20");
    set("bounds.grace_s", "8");
    std::ofstream(gateway.settings_path) << text;
  }
  /// Servers write their entries about once a heartbeat.
  void StartBeats() {
    std::thread([this] {
      while (!stopping_) {
        SleepMs(1200);
        for (const auto& server : servers) server->Beat("ready");
      }
    }).detach();
  }
  bool WaitReady(int64_t ms = 15000) {
    const int64_t until = NowMs() + ms;
    for (const auto& gateway : gateways) {
      while (!gateway->IsReady()) {
        if (NowMs() > until || !gateway->IsRunning()) return false;
        SleepMs(20);
      }
    }
    return true;
  }
  void Stop() {
    stopping_ = true;
    for (const auto& gateway : gateways) gateway->Kill();
    const char* keep = getenv("REVIEW_KEEP");
    if (keep == nullptr) std::filesystem::remove_all(folder_);
  }
  const std::string& folder() const { return folder_; }

 private:
  std::string folder_;
  std::atomic<bool> stopping_{false};
};

/// The answer that a client got.
struct Answer {
  /// 0 if the connection ended without a whole head.
  int status = 0;
  Message message;
  int64_t ms = 0;
};

inline std::string NewRequestId() {
  static std::atomic<uint64_t> count{0};
  static const uint64_t seed =
      static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
  char text[24];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(seed * 0x9e3779b97f4a7c15ULL +
                                           ++count * 0xbf58476d1ce4e5b9ULL));
  return text;
}

/// Sends one request on a new connection and reads the whole answer.
inline Answer Call(int port, const std::string& method, const std::string& target,
                   Headers headers, const std::string& body, int deadline_ms) {
  Answer answer;
  const int64_t began = NowMs();
  const int fd = Connect(port);
  if (fd < 0) return answer;
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: front.example\r\n";
  headers.emplace("Deadline-Ms", std::to_string(deadline_ms));
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  Reader reader(fd);
  reader.SetDeadline(began + deadline_ms + 3000);
  if (SendAll(fd, text) && ReadHead(reader, &answer.message)) {
    answer.status = answer.message.Status();
    ReadBody(reader, &answer.message, true);
  }
  answer.ms = NowMs() - began;
  close(fd);
  return answer;
}

/// Forwards one connection after the other to a port, and resets it on both sides
/// after it has forwarded so many events of a stream.
class Proxy {
 public:
  explicit Proxy(int to) : to_(to), port_(FreePort()) {
    const int listener = Listen(port_);
    std::thread([this, listener] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) std::thread([this, fd] { Forward(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  /// 0: no connection is reset.
  std::atomic<int> reset_after_events{0};

 private:
  void Forward(int client) {
    const int server = Connect(to_);
    int events = 0;
    bool resets = false;
    pollfd fds[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
    char piece[16384];
    while (server >= 0 && !resets && poll(fds, 2, 30000) > 0) {
      for (int i = 0; i < 2; ++i) {
        if (fds[i].revents == 0) continue;
        const ssize_t n = recv(fds[i].fd, piece, sizeof(piece), 0);
        if (n <= 0 || !SendAll(fds[1 - i].fd, {piece, static_cast<size_t>(n)})) goto done;
        if (i == 0 || reset_after_events == 0) continue;
        const std::string_view text(piece, static_cast<size_t>(n));
        for (size_t at = 0; (at = text.find("id: ", at)) != std::string_view::npos; ++at) ++events;
        if (events >= reset_after_events) resets = true;
      }
    }
  done:
    if (resets) {
      SleepMs(20);
      const linger now{1, 0};
      setsockopt(client, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      setsockopt(server, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    close(client);
    if (server >= 0) close(server);
  }

  int to_;
  int port_;
};

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Ends the gateways and this program.
[[noreturn]] inline void End(Fleet& fleet, int code) {
  fleet.Stop();
  _exit(code);
}

/// TROUBLE=0 leaves the disruption out.
inline bool HasTrouble() {
  const char* setting = getenv("TROUBLE");
  return setting == nullptr || std::string(setting) != "0";
}

}  // namespace review

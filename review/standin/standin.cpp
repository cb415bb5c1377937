#include "standin.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace review {

const char kHost[] = "desk.example";

namespace {

using std::chrono::steady_clock;
const steady_clock::time_point kStart = steady_clock::now();

std::mutex record_mu;
std::ofstream record_file;
std::string temporary_folder;
std::mutex pids_mu;
std::set<pid_t> pids;

constexpr int64_t kNoLimit = int64_t{1} << 40;

sockaddr_in SocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(address.port));
  inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(tolower(c));
  return text;
}

const char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t n = static_cast<uint8_t>(bytes[i]) << 16;
    if (i + 1 < bytes.size()) n |= static_cast<uint8_t>(bytes[i + 1]) << 8;
    if (i + 2 < bytes.size()) n |= static_cast<uint8_t>(bytes[i + 2]);
    out += kDigits[n >> 18];
    out += kDigits[(n >> 12) & 63];
    out += i + 1 < bytes.size() ? kDigits[(n >> 6) & 63] : '=';
    out += i + 2 < bytes.size() ? kDigits[n & 63] : '=';
  }
  return out;
}

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  std::string rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string item = rest.substr(0, end);
    rest = end == std::string::npos ? "" : rest.substr(end + 1);
    const size_t equals = item.find('=');
    if (equals == std::string::npos) continue;
    query[item.substr(0, equals)] = PercentDecode(item.substr(equals + 1));
  }
  return query;
}

std::string At(const std::map<std::string, std::string>& query,
               const std::string& name) {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

std::string Chunk(const std::string& bytes) {
  char head[32];
  snprintf(head, sizeof(head), "%zx\r\n", bytes.size());
  return head + bytes + "\r\n";
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void SleepUntil(int64_t ms) { SleepMs(ms - NowMs()); }

std::string HostOf(int index) {
  static const int kNet = 20 + getpid() % 200;
  static const int kSub = 1 + getpid() / 200 % 250;
  return "127." + std::to_string(kNet) + "." + std::to_string(kSub) + "." +
         std::to_string(10 + index);
}

Address FreeAddress(const std::string& host) {
  // The port stays bound without a listener, so that nothing else gets it.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = SocketAddress({host, 0});
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    Finish(2, "can't bind " + host);
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return {host, ntohs(address.sin_port)};
}

void OpenRecord(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mu);
  char time[32];
  snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(NowMs()) / 1000);
  std::cout << time << line << std::endl;
  record_file << time << line << std::endl;
}

std::string HeaderOf(const Headers& headers, const std::string& name) {
  for (const auto& [n, value] : headers) {
    if (Lower(n) == Lower(name)) return value;
  }
  return "";
}

Conn::~Conn() {
  if (fd_ >= 0) close(fd_);
}

std::unique_ptr<Conn> Conn::Open(const Address& address, int timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto conn = std::make_unique<Conn>(fd);
  const int flags = fcntl(fd, F_GETFL);
  fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in to = SocketAddress(address);
  int rc = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  if (rc != 0 && errno == EINPROGRESS) {
    pollfd ready{fd, POLLOUT, 0};
    if (poll(&ready, 1, timeout_ms) != 1) return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    rc = error;
  }
  if (rc != 0) return nullptr;
  fcntl(fd, F_SETFL, flags);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return conn;
}

bool Conn::Write(const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

bool Conn::Fill(int64_t until_ms) {
  const int64_t left = std::min<int64_t>(until_ms - NowMs(), 1 << 30);
  pollfd ready{fd_, POLLIN, 0};
  if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1) return false;
  char bytes[65536];
  const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buf_.append(bytes, static_cast<size_t>(n));
  return true;
}

bool Conn::PeerClosed() {
  char byte = 0;
  const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Conn::ReadLine(std::string* line, int64_t until_ms) {
  size_t end = buf_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until_ms)) return false;
    end = buf_.find("\r\n");
  }
  *line = buf_.substr(0, end);
  buf_.erase(0, end + 2);
  return true;
}

bool Conn::ReadBytes(size_t n, std::string* out, int64_t until_ms) {
  while (buf_.size() < n) {
    if (!Fill(until_ms)) {
      // What arrived counts, though the rest is missing.
      out->append(buf_);
      buf_.clear();
      return false;
    }
  }
  out->append(buf_, 0, n);
  buf_.erase(0, n);
  return true;
}

bool Conn::ReadHead(std::string* first, Headers* headers, int64_t until_ms) {
  if (!ReadLine(first, until_ms)) return false;
  headers->clear();
  std::string line;
  while (true) {
    if (!ReadLine(&line, until_ms)) return false;
    if (line.empty()) return true;
    const size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    headers->emplace_back(line.substr(0, colon), line.substr(value));
  }
}

bool Conn::ReadBody(const Headers& headers, std::string* body,
                    int64_t until_ms) {
  if (Lower(HeaderOf(headers, "Transfer-Encoding")) == "chunked") {
    std::string line;
    while (true) {
      if (!ReadLine(&line, until_ms)) return false;
      const size_t n = std::stoul(line, nullptr, 16);
      if (n == 0) return ReadLine(&line, until_ms);
      if (!ReadBytes(n, body, until_ms)) return false;
      if (!ReadLine(&line, until_ms)) return false;
    }
  }
  const std::string length = HeaderOf(headers, "Content-Length");
  return length.empty() || ReadBytes(std::stoul(length), body, until_ms);
}

Listener::Listener(const Address& address, Serve serve)
    : address_(address), serve_(std::move(serve)) {
  Open();
}

void Listener::Open() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in to = SocketAddress(address_);
  if (bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
      listen(fd, 512) != 0) {
    Finish(2, "can't listen on " + address_.Text());
  }
  fd_ = fd;
  std::thread([fd, this] {
    while (fd_ == fd) {
      const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) continue;
      const int nodelay = 1;
      setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
      std::thread([client, this] {
        Conn conn(client);
        serve_(conn);
      }).detach();
    }
    close(fd);
  }).detach();
}

void Listener::Close() {
  const int fd = fd_.exchange(-1);
  if (fd >= 0) shutdown(fd, SHUT_RDWR);
}

// The store.

Store::Store(const Address& address) {
  new Listener(address, [this](Conn& conn) { Serve(conn); });
}

void Store::Put(const std::string& table, const std::string& key,
                const json& value) {
  const std::lock_guard lock(mu_);
  rows_[{table, "", key}] = {ToBase64(value.dump()), ++ver_, false};
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mu_);
  rows_[{table, "", key}] = {"", ++ver_, true};
  changed_.notify_all();
}

size_t Store::Count(const std::string& table) {
  const std::lock_guard lock(mu_);
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& row) {
        return std::get<0>(row.first) == table && !row.second.deleted;
      }));
}

json Store::RowJson(const Key& key, const Value& value) const {
  json row = {{"table", std::get<0>(key)},
              {"part", std::get<1>(key)},
              {"key", std::get<2>(key)},
              {"ver", value.ver}};
  if (value.deleted) {
    row["deleted"] = true;
  } else {
    row["value"] = value.base64;
  }
  return row;
}

void Store::Serve(Conn& conn) {
  std::string first;
  Headers headers;
  while (conn.ReadHead(&first, &headers, kNoLimit)) {
    std::string body;
    if (!conn.ReadBody(headers, &body, kNoLimit)) return;
    if (silent) {
      // A call that is not answered stays so on this connection.
      while (!conn.PeerClosed()) SleepMs(50);
      return;
    }
    const size_t space = first.find(' ');
    const std::string method = first.substr(0, space);
    const std::string target =
        first.substr(space + 1, first.rfind(' ') - space - 1);
    auto [status, answer] = Handle(method, target, body);
    if (silent) {
      while (!conn.PeerClosed()) SleepMs(50);
      return;
    }
    {
      const std::lock_guard lock(mu_);
      if (!answer.contains("ver")) answer["ver"] = ver_;
    }
    answer["now_ms"] = NowMs() + 1000000;
    const std::string text = answer.dump();
    const bool ok =
        conn.Write("HTTP/1.1 " + std::to_string(status) +
                   " X\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(text.size()) + "\r\n\r\n" + text);
    if (!ok) return;
  }
}

std::pair<int, json> Store::Handle(const std::string& method,
                                   const std::string& target,
                                   const std::string& body) {
  const std::string path = target.substr(0, target.find('?'));
  const auto query = QueryOf(target);
  SleepMs(4);
  if (method == "POST" && path == "/api/rows-tx") return Commit(body);
  if (method == "GET" && path == "/api/rows-get") return Get(query);
  if (method == "GET" && path == "/api/rows-feed") return Feed(query);
  return {404, json::object()};
}

std::pair<int, json> Store::Get(
    const std::map<std::string, std::string>& query) {
  constexpr size_t kMaxRows = 500;
  constexpr size_t kMaxBytes = 1000000;
  const std::string table = At(query, "table");
  const std::string part = At(query, "part");
  const std::string to = At(query, "to");
  const std::string limit = At(query, "limit");
  const size_t max_rows =
      limit.empty() ? kMaxRows : std::min(kMaxRows, std::stoul(limit));
  const std::lock_guard lock(mu_);
  json rows = json::array();
  size_t bytes = 0;
  bool more = false;
  for (auto it = rows_.lower_bound({table, part, At(query, "from")});
       it != rows_.end(); ++it) {
    const auto& [row_table, row_part, key] = it->first;
    if (row_table != table || row_part != part) break;
    if (!to.empty() && key >= to) break;
    if (it->second.deleted) continue;
    bytes += it->second.base64.size() + key.size() + 80;
    more = rows.size() >= max_rows || bytes > kMaxBytes;
    if (more) break;
    rows.push_back(RowJson(it->first, it->second));
  }
  return {200, json{{"rows", rows}, {"more_pages", more}, {"ver", ver_}}};
}

std::pair<int, json> Store::Feed(
    const std::map<std::string, std::string>& query) {
  const std::string table = At(query, "table");
  const uint64_t after = std::stoull(At(query, "after"));
  const int64_t until = NowMs() + std::stoll(At(query, "wait_ms"));
  std::unique_lock lock(mu_);
  while (true) {
    std::vector<std::pair<Key, Value>> found;
    for (const auto& [key, value] : rows_) {
      if (std::get<0>(key) == table && value.ver > after)
        found.emplace_back(key, value);
    }
    const int64_t left = until - NowMs();
    if (!found.empty() || left <= 0) {
      std::sort(found.begin(), found.end(), [](const auto& a, const auto& b) {
        return a.second.ver < b.second.ver;
      });
      json rows = json::array();
      for (const auto& [key, value] : found)
        rows.push_back(RowJson(key, value));
      return {200, json{{"rows", rows}, {"ver", ver_}}};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

std::pair<int, json> Store::Commit(const std::string& body) {
  constexpr size_t kMaxBytes = 1000000;
  constexpr size_t kMaxEntries = 100;
  constexpr size_t kRowBase64Bytes = (65536 + 2) / 3 * 4;
  const json call = json::parse(body, nullptr, false);
  if (!call.is_object()) return {400, json::object()};
  const json none = json::array();
  const auto list = [&](const char* name) {
    return call.contains(name) ? call[name] : none;
  };
  const json conditions = list("expected_rev");
  const json writes = list("writes");
  const json removals = list("remove");
  const size_t entries = conditions.size() + writes.size() + removals.size();
  if (body.size() > kMaxBytes || entries > kMaxEntries) {
    return {413, json::object()};
  }
  const auto key_of = [](const json& row) {
    return Key{row["table"], row["part"], row["key"]};
  };
  const std::lock_guard lock(mu_);
  bool holds = true;
  json current = json::array();
  for (const json& condition : conditions) {
    const auto it = rows_.find(key_of(condition));
    const bool exists = it != rows_.end() && !it->second.deleted;
    const uint64_t ver = exists ? it->second.ver : 0;
    if (ver != condition["ver"].get<uint64_t>()) holds = false;
    if (exists) current.push_back(RowJson(it->first, it->second));
  }
  if (!holds) return {412, json{{"rows", current}, {"ver", ver_}}};
  for (const json& write : writes) {
    const std::string table = write["table"];
    if (table == "op" || table == "servers") return {403, json::object()};
    if (write["value"].get_ref<const std::string&>().size() > kRowBase64Bytes) {
      return {413, json::object()};
    }
  }
  ++ver_;
  ++commits;
  for (const json& write : writes) {
    rows_[key_of(write)] = {write["value"], ver_, false};
  }
  for (const json& row : removals) rows_[key_of(row)] = {"", ver_, true};
  changed_.notify_all();
  return {200, json{{"ver", ver_}}};
}

// Servers.

Server::Server(Store& store, std::string id, std::string service,
               Address address, std::function<Work(const Headers&)> work,
               std::string version)
    : store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      address_(std::move(address)),
      work_(std::move(work)),
      version_(std::move(version)),
      born_(WallMs()) {
  listener_ = std::make_unique<Listener>(address_, [this](Conn& conn) {
    {
      const std::lock_guard lock(mu_);
      open_fds_.insert(conn.fd());
    }
    Serve(conn);
    const std::lock_guard lock(mu_);
    open_fds_.erase(conn.fd());
  });
  store_.Put("servers", id_, Entry());
  std::thread([this] {
    constexpr int kHeartbeatMs = 1200;
    while (true) {
      SleepMs(kHeartbeatMs);
      ++seq_;
      // The store takes a server's write as little as a gateway's.
      if (!store_.silent && !crashed_) store_.Put("servers", id_, Entry());
    }
  }).detach();
}

void Server::Crash(int64_t ms) {
  crashed_ = true;
  listener_->Close();
  {
    const std::lock_guard lock(mu_);
    for (const int fd : open_fds_) shutdown(fd, SHUT_RDWR);
  }
  std::thread([this, ms] {
    SleepMs(ms);
    born_ = WallMs();
    listener_->Open();
    crashed_ = false;
    store_.Put("servers", id_, Entry());
    Record(id_ + " is back");
  }).detach();
}

void Server::Drain() {
  draining_ = true;
  store_.Put("servers", id_, Entry());
}

json Server::Entry() const {
  return {{"service", service_}, {"address", address_.Text()},
          {"zone", "lj-a"},      {"version", version_},
          {"slots", 24},         {"state", draining_ ? "draining" : "ready"},
          {"born", born_},       {"cold_remaining_ms", 0},
          {"seq", seq_}};
}

std::string Server::DataOf(const std::string& request_id, int event) {
  return "piece-" + request_id + "-" + std::to_string(event);
}

void Server::Serve(Conn& conn) {
  std::string first;
  Headers headers;
  while (conn.ReadHead(&first, &headers, kNoLimit)) {
    std::string body;
    if (!conn.ReadBody(headers, &body, kNoLimit)) return;
    const std::string request_id = HeaderOf(headers, "Request-Id");
    const std::string expected = HeaderOf(headers, "Expect-Instance");
    const std::string echo = "\r\nRequest-Id: " + request_id +
                             (draining_ ? "\r\nServer-Leaving: 1" : "");
    if (!expected.empty() && expected != id_) {
      conn.Write("HTTP/1.1 421 Misdirected" + echo +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const size_t space = first.find(' ');
    Run run;
    run.request_id = request_id;
    run.path = first.substr(space + 1, first.rfind(' ') - space - 1);
    run.tenant = HeaderOf(headers, "Tenant");
    run.body = body;
    run.server = id_;
    run.version = version_;
    run.begun_by = HeaderOf(headers, "Resumes");
    run.began_ms = NowMs();
    size_t index = 0;
    {
      const std::lock_guard lock(mu_);
      index = runs_.size();
      runs_.push_back(run);
    }
    const Work work = work_(headers);
    // A run that takes a stream up makes the same events as the first one.
    const std::string begun_by = HeaderOf(headers, "Resumes");
    const std::string tag = begun_by.empty() ? request_id : begun_by;
    const std::string last = HeaderOf(headers, "Last-Event-Id");
    const int after = last.empty() ? 0 : std::stoi(last);
    const std::string head =
        "HTTP/1.1 200 OK" + echo + "\r\nServer-Seal: " + id_ + ".1";
    bool ok = true;
    int written = 0;
    if (work.stream) {
      ok = conn.Write(head +
                      "\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
      for (int i = after + 1; ok && i <= work.events; ++i) {
        SleepMs(work.gap_ms);
        // Work on a request ends when its connection does.
        ok = !conn.PeerClosed() &&
             conn.Write(Chunk("id: " + std::to_string(i) +
                              "\ndata: " + DataOf(tag, i) + "\n\n"));
        if (ok) ++written;
      }
      ok = ok && conn.Write("0\r\n\r\n");
    } else {
      SleepMs(work.gap_ms);
      const std::string text = "done " + request_id;
      ok = conn.Write(head + "\r\nContent-Length: " +
                      std::to_string(text.size()) + "\r\n\r\n" + text);
    }
    {
      const std::lock_guard lock(mu_);
      runs_[index].ended_ms = NowMs();
      runs_[index].whole = ok;
      runs_[index].events = written;
    }
    if (!ok) return;
  }
}

std::vector<Run> Server::Runs() {
  const std::lock_guard lock(mu_);
  return runs_;
}

std::vector<Run> Server::RunsOf(const std::string& request_id) {
  std::vector<Run> out;
  for (const Run& run : Runs()) {
    if (run.request_id == request_id) out.push_back(run);
  }
  return out;
}

// Callers.

bool Answer::KeepsAlive() const {
  return complete && Lower(HeaderOf(headers, "Connection")) != "close";
}

Answer Send(Conn& conn, const Request& request) {
  std::string text =
      request.method + " " + request.path + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nRequest-Id: " + request.id + "\r\nKey: " + request.key +
      "\r\nDeadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  for (const auto& [name, value] : request.more) {
    text += name + ": " + value + "\r\n";
  }
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n" + request.body;
  Answer answer;
  answer.sent_ms = NowMs();
  const int64_t until = answer.sent_ms + request.deadline_ms;
  std::string first;
  if (conn.Write(text) && conn.ReadHead(&first, &answer.headers, until)) {
    answer.status = std::stoi(first.substr(first.find(' ') + 1));
    answer.complete = conn.ReadBody(answer.headers, &answer.body, until);
  }
  answer.ended_ms = NowMs();
  return answer;
}

Answer SendNew(const Address& front, const Request& request) {
  constexpr int kConnectMs = 1000;
  const std::unique_ptr<Conn> conn = Conn::Open(front, kConnectMs);
  if (conn == nullptr) {
    Answer answer;
    answer.sent_ms = answer.ended_ms = NowMs();
    return answer;
  }
  return Send(*conn, request);
}

// Gateways.

Gateway::Gateway(std::string name, std::string host, std::string folder,
                 const Address& store)
    : name_(std::move(name)),
      host_(std::move(host)),
      folder_(std::move(folder)),
      store_(store),
      front_(FreeAddress(host_)),
      ready_(FreeAddress(host_)),
      peers_(FreeAddress(host_)) {}

Gateway::~Gateway() {
  if (pid_ <= 0) return;
  Signal(SIGCONT);
  Signal(SIGKILL);
  WaitForEnd(2000);
}

void Gateway::SetSeeds(const std::vector<const Gateway*>& others) {
  seeds_.clear();
  for (const Gateway* other : others) {
    if (!seeds_.empty()) seeds_ += ",";
    seeds_ += other->peers().Text();
  }
}

void Gateway::Start() {
  // Fills in the deploy file's template as the platform does.
  std::ifstream in("deploy/gateway.ini.in");
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  const std::map<std::string, std::string> fields = {
      {"node_name", name_},
      {"zone", "lj-a"},
      {"ip", host_},
      {"listen.front", front_.Text()},
      {"listen.ready_addr", ready_.Text()},
      {"listen.control", peers_.Text()},
      {"seeds", seeds_},
      {"limits.memory_mb", "270"},
      {"platform.address", store_.Text()},
      {"platform.row_bytes", "65536"},
      {"bounds.quota_window_s", "5"},
      {"bounds.quota_over", "0.1"},
      {"bounds.quota_slack", "20"},
      {"bounds.grace_s", "8"}};
  for (const auto& [field, value] : fields) {
    const std::string mark = "{{" + field + "}}";
    for (size_t at = text.find(mark); at != std::string::npos;
         at = text.find(mark)) {
      text.replace(at, mark.size(), value);
    }
  }
  const std::string path = folder_ + "/" + name_ + ".conf";
  std::ofstream(path) << text;
  const std::string log = folder_ + "/" + name_ + ".log";
  const std::string program = "target/platform/knapweed-gateway";
  if (access(program.c_str(), X_OK) != 0) Finish(2, program + " is not built");
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    execl(program.c_str(), program.c_str(), "--config", path.c_str(), nullptr);
    _exit(127);
  }
  const std::lock_guard lock(pids_mu);
  pids.insert(pid_);
}

void Gateway::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool Gateway::WaitForEnd(int64_t ms) {
  const int64_t until = NowMs() + ms;
  while (pid_ > 0) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      const std::lock_guard lock(pids_mu);
      pids.erase(pid_);
      pid_ = 0;
      break;
    }
    if (NowMs() >= until) return false;
    SleepMs(5);
  }
  return true;
}

bool Gateway::IsReady() const {
  const std::unique_ptr<Conn> conn = Conn::Open(ready_, 500);
  if (conn == nullptr) return false;
  std::string first;
  Headers headers;
  return conn->Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         conn->ReadHead(&first, &headers, NowMs() + 1000) &&
         first.find(" 200") != std::string::npos;
}

bool Gateway::WaitUntilReady(int64_t ms) const {
  const int64_t until = NowMs() + ms;
  while (!IsReady()) {
    if (NowMs() >= until) return false;
    SleepMs(50);
  }
  return true;
}

json SmallConfig() {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service, int timeout_ms) {
    return json{{"name", name},
                {"host", kHost},
                {"prefix", prefix},
                {"kind", kind},
                {"timeout_ms", timeout_ms},
                {"target_latency_ms", 200},
                {"priority", 1},
                {"service", service},
                {"max_attempts", 2},
                {"keeps_history", false},
                {"keep_s", 60.0},
                {"public", false},
                {"sticky", true},
                {"resumable", false},
                {"gap_aim_ms", 300}};
  };
  json config = {{"version", 1}};
  config["routes"] = {
      route("fit-query", "/fit/", "streaming", "model-pool", 4000),
      route("layout-order", "/layout/", "streaming", "model-pool", 4000),
      route("catalogue-lookup", "/catalogue/", "safe", "parts-desk", 1500),
      route("stock-reserve", "/reserve/", "unsafe", "parts-desk", 5000)};
  config["routes"][1]["keeps_history"] = true;
  config["routes"][3]["max_attempts"] = 1;
  config["services"] = {
      {{"name", "model-pool"},
       {"health_path", "/health"},
       {"max_connections", 210},
       {"engine", {{"slots", 24}, {"kv_tokens", 274354}, {"stride", 4}}}},
      {{"name", "parts-desk"},
       {"health_path", "/health"},
       {"max_connections", 110}}};
  config["limits"] = {{"max_header_bytes", 16384},
                      {"max_body_bytes", 4194304},
                      {"header_timeout_ms", 5000},
                      {"idle_timeout_ms", 10000}};
  config["tenants"] = {{{"name", "dealer"},
                        {"api_keys", {"key-1"}},
                        {"priority", 1},
                        {"rate_per_s", 0},
                        {"burst", 0}}};
  return config;
}

bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string TemporaryFolder() {
  if (temporary_folder.empty()) {
    const char* base = getenv("TMPDIR");
    std::string name =
        std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) _exit(2);
    temporary_folder = name;
  }
  return temporary_folder;
}

void Finish(int code, const std::string& why) {
  Record((code == 0   ? "held: "
          : code == 1 ? "BROKEN: "
                      : "could not run: ") +
         why);
  {
    const std::lock_guard lock(pids_mu);
    for (const pid_t pid : pids) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    pids.clear();
  }
  const char* keep = getenv("KEEP_LOGS");
  if (!temporary_folder.empty() && keep == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(temporary_folder, ec);
  }
  std::cout.flush();
  record_file.flush();
  _exit(code);
}

}  // namespace review

#include "standin.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace standin {
namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point start = Clock::now();
std::ofstream record;

constexpr char kAlphabet[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    const auto at = [&](size_t k) {
      return k < in.size() ? static_cast<unsigned char>(in[k]) : 0U;
    };
    const unsigned n = at(i) << 16 | at(i + 1) << 8 | at(i + 2);
    out += kAlphabet[n >> 18 & 63];
    out += kAlphabet[n >> 12 & 63];
    out += i + 1 < in.size() ? kAlphabet[n >> 6 & 63] : '=';
    out += i + 2 < in.size() ? kAlphabet[n & 63] : '=';
  }
  return out;
}

std::string FromBase64(const std::string& in) {
  static const std::string alphabet = kAlphabet;
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : in) {
    const size_t value = alphabet.find(c);
    if (value == std::string::npos) break;
    bits = bits << 6 | static_cast<unsigned>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

std::string Unescape(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

std::string Param(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string item = target.substr(
        at + 1, end == std::string::npos ? std::string::npos : end - at - 1);
    if (item.starts_with(name + "=")) {
      return Unescape(item.substr(name.size() + 1));
    }
    at = end;
  }
  return {};
}

uint64_t NumberParam(const std::string& target, const std::string& name) {
  const std::string text = Param(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

int64_t EpochMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

asio::ip::tcp::endpoint Loopback(uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

std::shared_ptr<asio::ip::tcp::acceptor> ListenAt(asio::io_context& loop,
                                                  uint16_t port) {
  auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(loop);
  acceptor->open(asio::ip::tcp::v4());
  acceptor->set_option(asio::socket_base::reuse_address(true));
  acceptor->bind(Loopback(port));
  acceptor->listen(1024);
  return acceptor;
}

std::string AddressOf(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start)
      .count();
}

void OpenRecord(const std::string& path) { record.open(path); }

void Note(const std::string& line) {
  char time[32];
  snprintf(time, sizeof(time), "%8.3f  ", static_cast<double>(NowMs()) / 1000);
  record << time << line << "\n";
  record.flush();
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Task<void> Sleep(asio::io_context& loop, int64_t ms) {
  asio::steady_timer timer(loop, std::chrono::milliseconds(ms));
  Error ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void Spawn(asio::io_context& loop, Task<void> task) {
  asio::co_spawn(loop, std::move(task), [](std::exception_ptr failure) {
    if (!failure) return;
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& error) {
      Note(std::string("stand-in failed: ") + error.what());
    }
  });
}

uint16_t Ports::Take() {
  asio::ip::tcp::socket& socket = held_.emplace_back(loop_);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(Loopback(0));
  return socket.local_endpoint().port();
}

void Store::Listen(uint16_t port, int gateway) {
  Spawn(loop_, Accept(ListenAt(loop_, port), gateway));
}

Task<void> Store::Accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor,
                         int gateway) {
  while (true) {
    asio::ip::tcp::socket socket =
        co_await acceptor->async_accept(asio::use_awaitable);
    Spawn(loop_, Serve(std::move(socket), gateway));
  }
}

Task<void> Store::Serve(asio::ip::tcp::socket socket, int gateway) {
  beast::tcp_stream stream(std::move(socket));
  stream.socket().set_option(asio::ip::tcp::no_delay(true));
  beast::flat_buffer buf;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16 << 20);
    Error ec;
    co_await http::async_read(stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
    const Answer answer =
        co_await Handle(gateway, std::string(parser.get().target()),
                        std::move(parser.get().body()));
    if (answer.silent) {
      // Nothing further is delivered on this connection.
      char byte = 0;
      while (!ec) {
        co_await stream.socket().async_read_some(
            asio::buffer(&byte, 1),
            asio::redirect_error(asio::use_awaitable, ec));
      }
      co_return;
    }
    http::response<http::string_body> message;
    message.version(11);
    message.result(answer.status);
    message.set(http::field::content_type, "application/json");
    message.body() = answer.body;
    message.keep_alive(true);
    message.prepare_payload();
    co_await http::async_write(stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) co_return;
  }
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  rows_[{table, "", key}] = {value, ++version_, false};
}

void Store::Remove(const std::string& table, const std::string& key) {
  rows_[{table, "", key}] = {"", ++version_, true};
}

std::string Store::Get(const std::string& table, const std::string& key) const {
  for (const auto& [k, value] : rows_) {
    if (std::get<0>(k) == table && std::get<2>(k) == key && !value.deleted) {
      return value.bytes;
    }
  }
  return {};
}

json Store::RowJson(const Key& key, const Value& value) const {
  json row = {{"table", std::get<0>(key)},
              {"part", std::get<1>(key)},
              {"key", std::get<2>(key)},
              {"ver", value.version}};
  if (value.deleted) {
    row["deleted"] = true;
  } else {
    row["value"] = ToBase64(value.bytes);
  }
  return row;
}

Store::Answer Store::Make(unsigned status, json body) const {
  body["ver"] = version_;
  body["now_ms"] = NowMs() + 50000;
  return {status, body.dump(), false};
}

bool Store::Holds(const json& call) const {
  for (const json& condition : call["expected_rev"]) {
    const auto it =
        rows_.find({condition["table"], condition["part"], condition["key"]});
    const bool exists = it != rows_.end() && !it->second.deleted;
    if (condition["ver"].get<uint64_t>() != (exists ? it->second.version : 0)) {
      return false;
    }
  }
  return true;
}

Store::Answer Store::Apply(const json& call, bool* done) {
  *done = Holds(call);
  if (!*done) {
    json current = json::array();
    for (const json& condition : call["expected_rev"]) {
      const auto it =
          rows_.find({condition["table"], condition["part"], condition["key"]});
      if (it != rows_.end() && !it->second.deleted) {
        current.push_back(RowJson(it->first, it->second));
      }
    }
    return Make(412, {{"rows", current}});
  }
  ++version_;
  for (const json& write : call["writes"]) {
    rows_[{write["table"], write["part"], write["key"]}] = {
        FromBase64(write["value"]), version_, false};
  }
  for (const json& removal : call["remove"]) {
    rows_[{removal["table"], removal["part"], removal["key"]}] = {"", version_,
                                                                  true};
  }
  return Make(200, json::object());
}

Store::Answer Store::Range(const std::string& target) const {
  const std::string table = Param(target, "table");
  const std::string part = Param(target, "part");
  const std::string from = Param(target, "from");
  const std::string to = Param(target, "to");
  const uint64_t asked = NumberParam(target, "limit");
  const size_t limit = asked > 0 && asked < 500 ? asked : 500;
  json rows = json::array();
  bool more = false;
  for (const auto& [key, value] : rows_) {
    const std::string& name = std::get<2>(key);
    const bool inside = std::get<0>(key) == table && std::get<1>(key) == part &&
                        name >= from && (to.empty() || name < to) &&
                        !value.deleted;
    if (!inside) continue;
    more = rows.size() >= limit;
    if (more) break;
    rows.push_back(RowJson(key, value));
  }
  return Make(200, {{"rows", rows}, {"more_pages", more}});
}

Task<Store::Answer> Store::Feed(std::string target) {
  const std::string table = Param(target, "table");
  const uint64_t after = NumberParam(target, "after");
  const int64_t until =
      NowMs() + static_cast<int64_t>(NumberParam(target, "wait_ms"));
  while (true) {
    json rows = json::array();
    std::vector<std::pair<uint64_t, json>> changed;
    for (auto it = rows_.lower_bound({table, "", ""});
         it != rows_.end() && std::get<0>(it->first) == table; ++it) {
      if (it->second.version > after) {
        changed.emplace_back(it->second.version,
                             RowJson(it->first, it->second));
      }
    }
    std::sort(changed.begin(), changed.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (auto& item : changed) rows.push_back(std::move(item.second));
    if (!rows.empty() || NowMs() >= until) {
      co_return Make(200, {{"rows", rows}});
    }
    co_await Sleep(loop_, 5);
  }
}

Task<Store::Answer> Store::Handle(int gateway, std::string target,
                                  std::string body) {
  Answer silent;
  silent.silent = true;
  if (is_silent && is_silent(gateway)) co_return silent;
  co_await Sleep(loop_, answer_ms);
  if (is_silent && is_silent(gateway)) co_return silent;
  if (target.starts_with("/api/rows-feed")) {
    Answer answer = co_await Feed(target);
    co_return is_silent&& is_silent(gateway) ? silent : answer;
  }
  if (target.starts_with("/api/rows-get")) co_return Range(target);
  if (target != "/api/rows-tx") co_return Answer{404, "{}", false};
  const json call = json::parse(body);
  for (const json& write : call["writes"]) {
    constexpr size_t kRowBytes = 65536;
    const size_t bytes = FromBase64(write["value"]).size();
    if (bytes <= kRowBytes) continue;
    Note("the store rejects a row of " + std::to_string(bytes) +
         " bytes of table " + write["table"].get<std::string>());
    co_return Answer{413, "{}", false};
  }
  CommitFate its_fate;
  if (fate && Holds(call)) its_fate = fate(gateway, call);
  if (its_fate.late_ms > 0) {
    co_await Sleep(loop_, its_fate.late_ms);
    bool done = false;
    Apply(call, &done);
    co_return silent;
  }
  bool done = false;
  Answer answer = Apply(call, &done);
  if (its_fate.is_lost) co_return silent;
  co_return answer;
}

Server::Server(asio::io_context& loop, Store& store, uint16_t port,
               std::string id, std::string service, std::string version)
    : loop_(loop),
      store_(store),
      port_(port),
      id_(std::move(id)),
      service_(std::move(service)),
      version_(std::move(version)),
      acceptor_(ListenAt(loop, port)),
      born_ms_(EpochMs()) {
  Spawn(loop_, Accept());
  Register();
  Spawn(loop_, Beat());
}

void Server::Register(bool draining) {
  draining_ = draining;
  const json entry = {{"service", service_},
                      {"address", AddressOf(port_)},
                      {"zone", "a"},
                      {"version", version_},
                      {"slots", slots},
                      {"state", draining ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"born", born_ms_},
                      {"seq", ++seq_}};
  store_.Put("servers", id_, entry.dump());
}

Task<void> Server::Beat() {
  while (true) {
    co_await Sleep(loop_, 1200);
    if (acceptor_->is_open()) Register(draining_);
  }
}

Task<void> Server::Accept() {
  const auto acceptor = acceptor_;
  while (acceptor->is_open()) {
    Error ec;
    asio::ip::tcp::socket socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (!ec) Spawn(loop_, Serve(std::move(socket)));
  }
}

void Server::Crash(int64_t for_ms) {
  Note("server " + id_ + " crashes with " + std::to_string(open_.size()) +
       " connections");
  std::vector<beast::tcp_stream*> streams(open_.begin(), open_.end());
  std::shuffle(streams.begin(), streams.end(), random_);
  Error ec;
  acceptor_->close(ec);
  for (beast::tcp_stream* stream : streams) {
    stream->socket().set_option(asio::socket_base::linger(true, 0), ec);
    stream->close();
  }
  Spawn(loop_, ComeBack(for_ms));
}

Task<void> Server::ComeBack(int64_t after_ms) {
  co_await Sleep(loop_, after_ms);
  acceptor_ = ListenAt(loop_, port_);
  born_ms_ = EpochMs();
  seq_ = 0;
  Register();
  Spawn(loop_, Accept());
}

Task<void> Server::Serve(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  stream.socket().set_option(asio::ip::tcp::no_delay(true));
  open_.insert(&stream);
  beast::flat_buffer buf;
  bool goes_on = true;
  while (goes_on) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(64 << 20);
    Error ec;
    co_await http::async_read(stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    goes_on = co_await Answer(stream, parser.get());
  }
  open_.erase(&stream);
}

Task<bool> Server::Answer(beast::tcp_stream& stream,
                          const http::request<http::string_body>& request) {
  const std::string id(request["Request-Id"]);
  const std::string head_end = "Request-Id: " + id + "\r\nInstance-Id: " + id_ +
                               "\r\nKeep-Alive: timeout=15\r\n";
  Error ec;
  if (request["Expect-Instance"] != id_) {
    const std::string text = "HTTP/1.1 421 Misdirected Request\r\n" + head_end +
                             "Content-Length: 0\r\n\r\n";
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }
  const Reply reply = this->reply(request);
  Run run;
  run.server = id_;
  run.id = id;
  run.target = std::string(request.target());
  run.tenant = std::string(request["Tenant"]);
  run.last_event_id = std::string(request["Last-Event-Id"]);
  run.body = request.body();
  run.at_ms = NowMs();
  runs.push_back(run);
  Note("server " + id_ + " runs " + id + " " + run.target +
       (run.last_event_id.empty() ? "" : " after event " + run.last_event_id));
  if (reply.crashes_for_ms > 0) {
    Crash(reply.crashes_for_ms);
    co_return false;
  }
  const std::string seal = "Server-Seal: s." + id_ + "." + id + "\r\n";
  co_await Sleep(loop_, reply.first_ms);
  if (!reply.is_stream) {
    const std::string text =
        "HTTP/1.1 " + std::to_string(reply.status) + " X\r\n" + head_end +
        seal + "Content-Length: " + std::to_string(reply.body.size()) +
        "\r\n\r\n" + reply.body;
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
  }
  std::string text = "HTTP/1.1 200 OK\r\n" + head_end + seal +
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  const int after =
      run.last_event_id.empty() ? 0 : std::stoi(run.last_event_id);
  for (int i = after + 1; i <= reply.events && !ec; ++i) {
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + reply.text(i) + "\n\n";
    char size[16];
    snprintf(size, sizeof(size), "%zx\r\n", event.size());
    text = size + event + "\r\n";
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    if (reply.break_after == i) {
      stream.close();
      co_return false;
    }
    if (i < reply.events) co_await Sleep(loop_, reply.gap_ms);
    // A server drops a request whose connection is closed.
    if (!stream.socket().is_open()) co_return false;
    char byte = 0;
    const ssize_t n = recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
    if (n == 0) co_return false;
  }
  if (ec) co_return false;
  text = "0\r\n\r\n";
  co_await asio::async_write(stream, asio::buffer(text),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

Gateway::Gateway(asio::io_context& loop, Ports& ports, Store& store, int index,
                 std::string folder)
    : loop_(loop),
      folder_(std::move(folder)),
      name_("edge-a-" + std::to_string(index + 1)),
      store_port_(ports.Take()),
      front_(ports.Take()),
      ready_(ports.Take()),
      peers_(ports.Take()),
      metrics_(ports.Take()) {
  store.Listen(store_port_, index);
}

Gateway::~Gateway() { Kill(); }

void Gateway::Configure(const std::vector<uint16_t>& seeds, int grace_s) {
  std::string list;
  for (const uint16_t seed : seeds) {
    list += (list.empty() ? "" : ",") + AddressOf(seed);
  }
  std::ofstream out(folder_ + "/" + name_ + ".ini");
  out << "[gateway]\nname = " << name_ << "\nfailure_domain = a"
      << "\ncallers = " << AddressOf(front_)
      << "\nreadiness = " << AddressOf(ready_)
      << "\npeers = " << AddressOf(peers_) << "\nseeds = " << list
      << "\nmemory_mb = 130\n\n[metrics]\nlisten = " << AddressOf(metrics_)
      << "\n\n[store]\naddress = " << AddressOf(store_port_)
      << "\nrow_bytes = 65536\n\n[quota]\nwindow = 5s\nover_share = 0.1"
      << "\nslack_calls = 20\n\n[shutdown]\ngrace = " << grace_s
      << "s\n\n[placement]\nlearn_speeds = true\nprefix_homes = true\n";
}

void Gateway::Start() {
  const std::string settings = folder_ + "/" + name_ + ".ini";
  const std::string log = folder_ + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    for (int i = 3; i < 1024; ++i) close(i);
    const char* program = std::getenv("GATEWAY");
    execl(program, program, "--config", settings.c_str(), nullptr);
    _exit(127);
  }
  Note("started " + name_);
}

void Gateway::Signal(int number) {
  if (pid_ > 0) kill(pid_, number);
  Note("signal " + std::to_string(number) + " to " + name_);
}

bool Gateway::Runs() {
  if (pid_ <= 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  Note(name_ + " ended with wait status " + std::to_string(status));
  pid_ = -1;
  return false;
}

void Gateway::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  Note("killed " + name_);
}

Task<bool> Gateway::IsReady() {
  Attempt ask;
  ask.method = "GET";
  ask.target = "/api/ready";
  ask.deadline_ms = 500;
  co_await Send(loop_, ready_, ask);
  co_return ask.status == 200;
}

Task<void> Send(asio::io_context& loop, uint16_t port, Attempt& attempt) {
  beast::tcp_stream stream(loop);
  const auto until =
      Clock::now() + std::chrono::milliseconds(attempt.deadline_ms);
  Error ec;
  attempt.sent_ms = NowMs();
  stream.expires_after(std::chrono::milliseconds(
      attempt.deadline_ms < 1000 ? attempt.deadline_ms : 1000));
  co_await stream.async_connect(Loopback(port),
                                asio::redirect_error(asio::use_awaitable, ec));
  attempt.ended_ms = NowMs();
  if (ec) co_return;
  attempt.connected = true;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  stream.expires_at(until);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(attempt.method);
  request.target(attempt.target);
  request.set(http::field::host, kHost);
  request.set("Deadline-Ms", std::to_string(attempt.deadline_ms));
  for (const auto& [name, value] : attempt.headers) request.set(name, value);
  request.body() = attempt.body;
  request.prepare_payload();
  co_await http::async_write(stream, request,
                             asio::redirect_error(asio::use_awaitable, ec));
  beast::flat_buffer buf;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64 << 20);
  parser.eager(true);
  if (!ec) {
    co_await http::async_read_header(
        stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
  }
  if (!ec) {
    attempt.status = parser.get().result_int();
    attempt.fields = parser.get();
  }
  while (!ec && !parser.is_done()) {
    co_await http::async_read_some(
        stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
  }
  if (attempt.status != 0) attempt.answer = parser.get().body();
  attempt.is_whole = !ec && parser.is_done();
  attempt.ended_ms = NowMs();
}

std::vector<int> EventIds(const std::string& text) {
  std::vector<int> ids;
  size_t at = 0;
  while (true) {
    const size_t end = text.find("\n\n", at);
    if (end == std::string::npos) return ids;
    const std::string event = text.substr(at, end - at);
    if (event.starts_with("id: ")) ids.push_back(std::stoi(event.substr(4)));
    at = end + 2;
  }
}

std::string EventData(const std::string& text) {
  std::string data;
  size_t at = 0;
  while (true) {
    const size_t end = text.find("\n\n", at);
    if (end == std::string::npos) return data;
    const std::string event = text.substr(at, end - at);
    const size_t value = event.find("data: ");
    if (value != std::string::npos) data += event.substr(value + 6) + "\n";
    at = end + 2;
  }
}

std::string RandomId(std::mt19937_64& random) {
  char text[20];
  snprintf(text, sizeof(text), "%016lx", static_cast<unsigned long>(random()));
  return text;
}

json BaseConfig(int version) {
  return {{"version", version},
          {"routes", json::array()},
          {"services",
           {{{"name", "llm"},
             {"health_path", "/health"},
             {"max_connections", 400},
             {"engine",
              {{"slots", 64}, {"kv_tokens", 1000000}, {"stride", kStride}}}},
            {{"name", "app"},
             {"health_path", "/health"},
             {"max_connections", 400}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "ten"},
             {"api_keys", {"key-of-ten"}},
             {"priority", 1},
             {"rate_per_s", 0},
             {"burst", 0}}}}};
}

json StreamRoute(const std::string& name, const std::string& prefix,
                 const std::string& service) {
  return {{"name", name},       {"host", kHost},
          {"prefix", prefix},   {"kind", "streaming"},
          {"timeout_ms", 4000}, {"target_latency_ms", 250},
          {"priority", 1},      {"service", service},
          {"max_attempts", 2},  {"keeps_history", false},
          {"keep_s", 60.0},     {"public", false},
          {"sticky", true},     {"resumable", true},
          {"gap_aim_ms", 200}};
}

int RunCase(asio::io_context& loop, Task<int> body, int limit_s) {
  int code = 2;
  asio::co_spawn(loop, std::move(body),
                 [&](std::exception_ptr failure, int result) {
                   if (failure) {
                     try {
                       std::rethrow_exception(failure);
                     } catch (const std::exception& error) {
                       Note(std::string("case failed: ") + error.what());
                     }
                   } else {
                     code = result;
                   }
                   loop.stop();
                 });
  loop.run_for(std::chrono::seconds(limit_s));
  return code;
}

}  // namespace standin

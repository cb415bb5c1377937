#include "knapweed/http/server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "knapweed/base/log.h"
#include "knapweed/base/percent.h"
#include "timed_socket.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr Logger kLog("http");

/// How long a connection may be idle between requests.
constexpr Ms kIdleTimeout = Seconds(10);
/// How long a request may take to arrive after its first byte.
constexpr Ms kRequestTimeout = Seconds(30);
/// How long one write to a peer that does not read may block.
constexpr Ms kWriteTimeout = Seconds(30);
/// Maximum number of connections that wait for a thread; further ones are
/// closed.
constexpr size_t kMaxWaitingConnections = 1024;
/// Delay after a failed accept, usually because the process has run out of file
/// descriptors.
constexpr Ms kAcceptRetryDelay{20};

constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr char kTooLargeBody[] =
    R"({"error":{"code":"too_large","message":"The body is over the limit.","run":"not_run"}})";
constexpr char kMalformedBody[] =
    R"({"error":{"code":"bad_request","message":"The request is not valid HTTP.","run":"not_run"}})";

std::string SerializeHead(int status, const std::vector<HttpHeader>& headers) {
  const std::string_view reason =
      http::obsolete_reason(static_cast<http::status>(status));
  std::string head = absl::StrCat("HTTP/1.1 ", status, " ");
  head.append(reason).append("\r\n");
  for (const HttpHeader& header : headers) {
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  return head;
}

bool HasConnectionClose(const std::vector<HttpHeader>& headers) {
  const std::string_view value = FindHeader(headers, "Connection");
  return absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()),
                                "close");
}

using Parser = http::request_parser<http::string_body>;

HttpRequest RequestOf(Parser& parser) {
  auto& message = parser.get();
  const std::string_view target = message.target();
  const size_t question_mark = target.find('?');
  HttpRequest request;
  request.method = message.method_string();
  request.path = PercentDecode(target.substr(0, question_mark));
  if (question_mark != std::string_view::npos)
    request.query = target.substr(question_mark + 1);
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

/// Result of reading a request. `kClosed` stands for a connection that was
/// closed, failed or timed out before a whole request arrived.
enum class ReadOutcome : uint8_t { kRequest, kClosed, kTooLarge, kMalformed };

ReadOutcome ToReadOutcome(const HttpErrorCode& ec) {
  if (!ec) return ReadOutcome::kRequest;
  if (ec == http::error::body_limit) return ReadOutcome::kTooLarge;
  const bool truncated =
      ec == http::error::end_of_stream || ec == http::error::partial_message;
  const bool protocol_error =
      ec.category() == make_error_code(http::error::bad_method).category();
  return protocol_error && !truncated ? ReadOutcome::kMalformed
                                      : ReadOutcome::kClosed;
}

ReadOutcome ReadRequest(HttpConnection& connection, const Clock& clock,
                        Parser& parser) {
  HttpErrorCode ec;
  // Until its first byte arrives, the connection is idle.
  connection.socket.SetDeadline(clock.Now() + kIdleTimeout);
  if (connection.buf.size() == 0) {
    const size_t n = connection.socket.read_some(
        connection.buf.prepare(kMaxHeaderBytes), ec);
    if (ec) return ReadOutcome::kClosed;
    connection.buf.commit(n);
  }
  connection.socket.SetDeadline(clock.Now() + kRequestTimeout);
  http::read_header(connection.socket, connection.buf, parser, ec);
  if (ec) return ToReadOutcome(ec);
  if (parser.get()[http::field::expect] == "100-continue") {
    asio::write(connection.socket,
                asio::buffer(kContinue, sizeof(kContinue) - 1), ec);
    if (ec) return ReadOutcome::kClosed;
  }
  http::read(connection.socket, connection.buf, parser, ec);
  return ToReadOutcome(ec);
}

}  // namespace

bool HttpResponder::WriteAll(std::string_view text) {
  const Clock clock = Clock::Steady();
  connection_.socket.SetDeadline(clock.Now() + kWriteTimeout);
  HttpErrorCode ec;
  asio::write(connection_.socket, asio::buffer(text.data(), text.size()), ec);
  if (ec) must_close_ = true;
  return !ec;
}

void HttpResponder::Send(const HttpReply& reply) {
  started_ = true;
  must_close_ = must_close_ || HasConnectionClose(reply.headers);
  std::string text = SerializeHead(reply.status, reply.headers);
  absl::StrAppend(&text, "Content-Length: ", reply.body.size(), "\r\n\r\n",
                  reply.body);
  WriteAll(text);
}

void HttpResponder::Begin(int status, const std::vector<HttpHeader>& headers) {
  started_ = true;
  must_close_ = must_close_ || HasConnectionClose(headers);
  WriteAll(SerializeHead(status, headers) +
           "Transfer-Encoding: chunked\r\n\r\n");
}

bool HttpResponder::Write(std::string_view chunk) {
  if (chunk.empty()) return true;
  return WriteAll(absl::StrCat(absl::Hex(chunk.size()), "\r\n",
                               absl::string_view(chunk.data(), chunk.size()),
                               "\r\n"));
}

void HttpResponder::End() { WriteAll("0\r\n\r\n"); }

void HttpResponder::Drop() {
  started_ = true;
  must_close_ = true;
}

struct HttpServer::Impl {
  using ConnectionPtr = std::unique_ptr<HttpConnection>;

  absl::Status Listen(const Address& listen);
  /// Accepts connections until the server stops; the accept thread's main loop.
  void Accept();
  /// Passes a connection to the worker threads; starts another thread if all
  /// are busy and there are fewer than `max_threads`.
  void Enqueue(ConnectionPtr connection);
  /// Serves waiting connections until the server stops; a worker's main loop.
  void RunWorker();
  /// Serves the requests of a connection until it must be closed.
  void Serve(HttpConnection& connection);
  /// Reads one request and sends the reply. Returns false if the connection
  /// must be closed.
  bool ServeRequest(HttpConnection& connection);
  /// Adds a connection to `reading`. Returns false if the server is stopping.
  bool BeginReading(HttpConnection& connection);
  void EndReading(HttpConnection& connection);
  /// Shuts down the connections that read a request, and waits until the
  /// running handlers have returned and all threads have ended.
  void Stop();

  HttpHandler handler;
  size_t max_threads = 0;
  size_t max_body = 0;
  const Clock clock = Clock::Steady();
  asio::io_context context;
  tcp::acceptor acceptor{context};
  std::thread accept_thread;

  std::mutex mu;
  std::condition_variable work_available;
  bool stopping = false;
  std::deque<ConnectionPtr> waiting;
  /// Connections that wait for a request or read one; `Stop` shuts them down.
  std::set<HttpConnection*> reading;
  size_t idle_threads = 0;
  std::list<std::thread> threads;
};

absl::Status HttpServer::Impl::Listen(const Address& listen) {
  HttpErrorCode ec;
  const tcp::endpoint endpoint(asio::ip::make_address(listen.host, ec),
                               static_cast<uint16_t>(listen.port));
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  if (!ec) return absl::OkStatus();
  return absl::UnavailableError(
      absl::StrCat("can't listen on ", listen.ToString(), ": ", ec.message()));
}

void HttpServer::Impl::Accept() {
  while (true) {
    auto connection = std::make_unique<HttpConnection>(context);
    HttpErrorCode ec;
    acceptor.accept(connection->socket.socket(), ec);
    {
      const std::lock_guard lock(mu);
      if (stopping) return;
    }
    if (ec || !connection->socket.ConfigureAccepted().ok()) {
      kLog.Warning("Can't accept a connection.", {{"error", ec.message()}});
      SleepFor(kAcceptRetryDelay);
      continue;
    }
    Enqueue(std::move(connection));
  }
}

void HttpServer::Impl::Enqueue(ConnectionPtr connection) {
  const std::lock_guard lock(mu);
  if (waiting.size() >= kMaxWaitingConnections) {
    kLog.Warning(
        "Closed a connection: too many connections wait for a thread.");
    return;
  }
  waiting.push_back(std::move(connection));
  if (idle_threads < waiting.size() && threads.size() < max_threads) {
    threads.emplace_back([this] { RunWorker(); });
  }
  work_available.notify_one();
}

void HttpServer::Impl::RunWorker() {
  while (true) {
    ConnectionPtr connection;
    {
      std::unique_lock lock(mu);
      ++idle_threads;
      work_available.wait(lock,
                          [this] { return stopping || !waiting.empty(); });
      --idle_threads;
      if (stopping) return;
      connection = std::move(waiting.front());
      waiting.pop_front();
    }
    Serve(*connection);
  }
}

void HttpServer::Impl::Serve(HttpConnection& connection) {
  while (ServeRequest(connection)) {
  }
}

bool HttpServer::Impl::BeginReading(HttpConnection& connection) {
  const std::lock_guard lock(mu);
  if (stopping) return false;
  reading.insert(&connection);
  return true;
}

void HttpServer::Impl::EndReading(HttpConnection& connection) {
  const std::lock_guard lock(mu);
  reading.erase(&connection);
}

bool HttpServer::Impl::ServeRequest(HttpConnection& connection) {
  Parser parser;
  parser.header_limit(kMaxHeaderBytes);
  parser.body_limit(max_body);
  if (!BeginReading(connection)) return false;
  const ReadOutcome outcome = ReadRequest(connection, clock, parser);
  EndReading(connection);
  HttpResponder responder(connection);
  const std::vector<HttpHeader> close_headers = {
      {"Content-Type", "application/json"}, {"Connection", "close"}};
  switch (outcome) {
    case ReadOutcome::kClosed:
      return false;
    case ReadOutcome::kTooLarge:
      responder.Send({413, close_headers, kTooLargeBody});
      return false;
    case ReadOutcome::kMalformed:
      responder.Send({400, close_headers, kMalformedBody});
      return false;
    case ReadOutcome::kRequest:
      break;
  }
  const bool keep_alive_requested = parser.keep_alive();
  handler(RequestOf(parser), responder);
  return keep_alive_requested && responder.started() && !responder.must_close();
}

void HttpServer::Impl::Stop() {
  {
    const std::lock_guard lock(mu);
    stopping = true;
    for (HttpConnection* it : reading) it->socket.Shutdown();
  }
  // Makes the blocking accept() return.
  shutdown(acceptor.native_handle(), SHUT_RDWR);
  accept_thread.join();
  work_available.notify_all();
  for (std::thread& it : threads) it.join();
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options, HttpHandler handler) {
  auto impl = std::make_unique<Impl>();
  impl->handler = std::move(handler);
  impl->max_body = options.max_body;
  impl->max_threads = static_cast<size_t>(std::max(1, options.threads));
  const absl::Status listening = impl->Listen(options.listen);
  if (!listening.ok()) return listening;
  impl->accept_thread =
      std::thread([server = impl.get()] { server->Accept(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() { impl_->Stop(); }

}  // namespace knapweed

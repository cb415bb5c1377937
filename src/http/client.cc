#include "knapweed/http/client.h"

#include <civetweb.h>

#include <mutex>
#include <vector>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

// Shorter than the server's keep-alive timeout, so that a kept connection is
// seldom found closed.
constexpr Ms kMaxIdle = Seconds(3);
constexpr size_t kMaxIdleConnections = 64;

std::string Serialize(const HttpRequest& request, const Address& server) {
  std::string text = absl::StrCat(request.method, " ", request.path);
  if (!request.query.empty()) absl::StrAppend(&text, "?", request.query);
  absl::StrAppend(&text, " HTTP/1.1\r\nHost: ", server.ToString(), "\r\n");
  for (const HttpHeader& header : request.headers) {
    absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n\r\n",
                  request.body);
  return text;
}

absl::Status BrokenAfterSend(Ms deadline, const Clock& clock) {
  if (clock.Now() >= deadline) {
    return absl::DeadlineExceededError("no whole reply before the deadline");
  }
  return absl::UnknownError("the connection broke after the request was sent");
}

}  // namespace

struct HttpClient::Impl {
  struct Idle {
    mg_connection* connection;
    Ms since;
  };

  mg_connection* TakeIdle() {
    const std::lock_guard lock(mu);
    while (!idle.empty()) {
      const Idle last = idle.back();
      idle.pop_back();
      if (clock.Now() - last.since < kMaxIdle) return last.connection;
      mg_close_connection(last.connection);
    }
    return nullptr;
  }

  void Keep(mg_connection* connection) {
    const std::lock_guard lock(mu);
    if (idle.size() >= kMaxIdleConnections) {
      mg_close_connection(connection);
      return;
    }
    idle.push_back({connection, clock.Now()});
  }

  absl::StatusOr<mg_connection*> Connect() const {
    char error[128] = "";
    mg_connection* connection = mg_connect_client(
        server.host.c_str(), server.port, 0, error, sizeof(error));
    if (connection == nullptr) {
      return absl::UnavailableError(
          absl::StrCat("can't connect to ", server.ToString()));
    }
    return connection;
  }

  absl::StatusOr<HttpReply> Exchange(mg_connection* connection,
                                     const std::string& text, Ms deadline,
                                     const BodySink& sink, bool* whole) const;

  Address server;
  Clock clock = Clock::Steady();
  std::mutex mu;
  std::vector<Idle> idle;
};

absl::StatusOr<HttpReply> HttpClient::Impl::Exchange(mg_connection* connection,
                                                     const std::string& text,
                                                     Ms deadline,
                                                     const BodySink& sink,
                                                     bool* whole) const {
  *whole = false;
  if (mg_write(connection, text.data(), text.size()) <
      static_cast<int>(text.size())) {
    return absl::UnknownError("the connection broke while sending");
  }
  char error[128] = "";
  const Ms left = std::max(Ms{1}, deadline - clock.Now());
  if (mg_get_response(connection, error, sizeof(error),
                      static_cast<int>(left.count)) < 0) {
    return BrokenAfterSend(deadline, clock);
  }
  const mg_response_info& info = *mg_get_response_info(connection);
  HttpReply reply;
  reply.status = info.status_code;
  for (int i = 0; i < info.num_headers; ++i) {
    reply.headers.push_back(
        {info.http_headers[i].name, info.http_headers[i].value});
  }
  const long long announced = info.content_length;  // NOLINT
  long long got = 0;                                // NOLINT
  char buf[16384];
  while (true) {
    const int n = mg_read(connection, buf, sizeof(buf));
    if (n < 0) return BrokenAfterSend(deadline, clock);
    if (n == 0) break;
    got += n;
    if (!sink(std::string_view(buf, static_cast<size_t>(n)))) return reply;
    if (clock.Now() >= deadline) return BrokenAfterSend(deadline, clock);
  }
  if (announced >= 0 && got < announced)
    return BrokenAfterSend(deadline, clock);
  *whole = FindHeader(reply.headers, "Connection") != "close";
  return reply;
}

HttpClient::HttpClient(Address server) : impl_(std::make_unique<Impl>()) {
  impl_->server = std::move(server);
}

HttpClient::~HttpClient() {
  for (const Impl::Idle& it : impl_->idle) mg_close_connection(it.connection);
}

const Address& HttpClient::server() const { return impl_->server; }

absl::StatusOr<HttpReply> HttpClient::Call(const HttpRequest& request,
                                           const HttpCallOptions& options) {
  std::string body;
  absl::StatusOr<HttpReply> reply =
      Stream(request, options, [&](std::string_view piece) {
        body.append(piece);
        return true;
      });
  if (reply.ok()) reply->body = std::move(body);
  return reply;
}

absl::StatusOr<HttpReply> HttpClient::Stream(const HttpRequest& request,
                                             const HttpCallOptions& options,
                                             const BodySink& sink) {
  const Ms deadline = impl_->clock.Now() + options.timeout;
  mg_connection* connection =
      options.fresh_connection ? nullptr : impl_->TakeIdle();
  if (connection == nullptr) {
    absl::StatusOr<mg_connection*> made = impl_->Connect();
    if (!made.ok()) return made.status();
    connection = *made;
  }
  bool whole = false;
  absl::StatusOr<HttpReply> reply = impl_->Exchange(
      connection, Serialize(request, impl_->server), deadline, sink, &whole);
  if (reply.ok() && whole && !options.fresh_connection) {
    impl_->Keep(connection);
  } else {
    mg_close_connection(connection);
  }
  return reply;
}

}  // namespace knapweed

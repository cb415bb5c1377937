#include "knapweed/http/server.h"

#include <civetweb.h>

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

constexpr char kKeepAliveTimeoutMs[] = "10000";

std::string_view ReasonOf(int status) {
  const char* text = mg_get_response_code_text(nullptr, status);
  return text == nullptr ? "Status" : text;
}

std::string HeadOf(int status, const std::vector<HttpHeader>& headers) {
  std::string head = absl::StrCat(
      "HTTP/1.1 ", status, " ",
      absl::string_view(ReasonOf(status).data(), ReasonOf(status).size()),
      "\r\n");
  for (const HttpHeader& header : headers) {
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  return head;
}

}  // namespace

void HttpResponder::Send(const HttpReply& reply) {
  started_ = true;
  std::string text = HeadOf(reply.status, reply.headers);
  absl::StrAppend(&text, "Content-Length: ", reply.body.size(), "\r\n\r\n",
                  reply.body);
  mg_write(connection_, text.data(), text.size());
}

void HttpResponder::Begin(int status, const std::vector<HttpHeader>& headers) {
  started_ = true;
  const std::string head =
      HeadOf(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
  mg_write(connection_, head.data(), head.size());
}

bool HttpResponder::Write(std::string_view chunk) {
  if (chunk.empty()) return true;
  return mg_send_chunk(connection_, chunk.data(),
                       static_cast<unsigned int>(chunk.size())) > 0;
}

void HttpResponder::End() { mg_send_chunk(connection_, "", 0); }

void HttpResponder::Drop() {
  started_ = true;
  mg_disable_connection_keep_alive(connection_);
}

struct HttpServer::Impl {
  HttpHandler handler;
  size_t max_body = 0;
  mg_context* context = nullptr;
};

namespace {

// Reads the body that the headers announce. False when it is over the limit or
// breaks off.
bool ReadBody(mg_connection* connection, size_t limit, std::string* body,
              bool* too_large) {
  char buf[16384];
  while (true) {
    const int n = mg_read(connection, buf, sizeof(buf));
    if (n < 0) return false;
    if (n == 0) return true;
    if (body->size() + static_cast<size_t>(n) > limit) {
      *too_large = true;
      return false;
    }
    body->append(buf, static_cast<size_t>(n));
  }
}

HttpRequest HeadToRequest(const mg_request_info& info) {
  HttpRequest request;
  request.method = info.request_method;
  request.path = info.local_uri;
  if (info.query_string != nullptr) request.query = info.query_string;
  for (int i = 0; i < info.num_headers; ++i) {
    request.headers.push_back(
        {info.http_headers[i].name, info.http_headers[i].value});
  }
  return request;
}

constexpr char kTooLargeBody[] =
    R"({"error":{"code":"too_large","message":"The body is over the limit.","run":"not_run"}})";

}  // namespace

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerOptions& options, HttpHandler handler) {
  auto impl = std::make_unique<Impl>();
  impl->handler = std::move(handler);
  impl->max_body = options.max_body;
  const std::string listen = options.listen.ToString();
  const std::string threads = std::to_string(options.threads);
  const char* settings[] = {"listening_ports",
                            listen.c_str(),
                            "num_threads",
                            threads.c_str(),
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            kKeepAliveTimeoutMs,
                            "tcp_nodelay",
                            "1",
                            nullptr};
  mg_callbacks callbacks{};
  callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
  impl->context = mg_start(&callbacks, impl.get(), settings);
  if (impl->context == nullptr) {
    return absl::UnavailableError(absl::StrCat("can't listen on ", listen));
  }
  const auto on_request = [](mg_connection* connection, void* user) {
    const Impl& server = *static_cast<Impl*>(user);
    const mg_request_info& info = *mg_get_request_info(connection);
    HttpRequest request = HeadToRequest(info);
    HttpResponder responder(connection);
    bool too_large = info.content_length >
                     static_cast<long long>(server.max_body);  // NOLINT
    if (too_large ||
        !ReadBody(connection, server.max_body, &request.body, &too_large)) {
      if (too_large) {
        responder.Send(
            {413,
             {{"Content-Type", "application/json"}, {"Connection", "close"}},
             kTooLargeBody});
        mg_disable_connection_keep_alive(connection);
      }
      return 413;
    }
    server.handler(request, responder);
    return 200;
  };
  mg_set_request_handler(impl->context, "**", on_request, impl.get());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() { mg_stop(impl_->context); }

}  // namespace knapweed

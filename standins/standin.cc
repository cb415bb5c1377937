#include "standins/standin.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

using nlohmann::json;

// A kept connection occupies a thread, and every process keeps some.
constexpr int kServerThreads = 200;
constexpr size_t kMaxBodyBytes = 64 << 20;

void HandleControl(const Standin& standin, const HttpRequest& request,
                   HttpResponder& responder) {
  const absl::Status status =
      standin.control(json::parse(request.body, nullptr, false));
  if (!status.ok()) {
    SendBadRequest(responder, status);
    return;
  }
  SendJson(responder, 200, json::object());
}

}  // namespace

void to_json(json& to, const Ms& from) { to = from.count; }
void from_json(const json& from, Ms& to) { to.count = from.get<int64_t>(); }

std::string ToText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void SendJson(HttpResponder& responder, int status, const json& body) {
  responder.Send(
      {status, {{"Content-Type", "application/json"}}, ToText(body)});
}

void SendError(HttpResponder& responder, int status, std::string_view message) {
  SendJson(responder, status, {{"error", {{"message", message}}}});
}

void SendBadRequest(HttpResponder& responder, const absl::Status& fault) {
  SendError(responder, 400, absl::StrCat(fault.message()));
}

json HeadersToJson(const HttpRequest& request) {
  json headers = json::array();
  for (const HttpHeader& it : request.headers) {
    headers.push_back(json::array({it.name, it.value}));
  }
  return headers;
}

absl::StatusOr<std::unique_ptr<HttpServer>> ServeStandin(const Address& listen,
                                                         Standin standin) {
  HttpServerOptions options;
  options.listen = listen;
  options.threads = kServerThreads;
  options.max_body = kMaxBodyBytes;
  return HttpServer::Start(
      options, [standin = std::move(standin)](const HttpRequest& request,
                                              HttpResponder& responder) {
        if (request.path == "/healthz") {
          responder.Send({200, {}, "ok\n"});
        } else if (request.path == "/record") {
          SendJson(responder, 200, standin.record());
        } else if (request.path == "/control") {
          HandleControl(standin, request, responder);
        } else {
          standin.handle(request, responder);
        }
      });
}

}  // namespace knapweed

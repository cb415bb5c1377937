#include "standins/standin.h"

#include <atomic>
#include <utility>

#include "absl/strings/str_cat.h"

namespace knapweed {
namespace {

using nlohmann::json;

// Each keep-alive connection occupies a thread, and every client process keeps
// several open.
constexpr int kServerThreads = 200;
constexpr size_t kMaxBodyBytes = 64 << 20;

// A stand-in as served at one address.
struct ServedStandin {
  Standin standin;
  std::atomic<bool> cut{false};
};

void HandleControl(ServedStandin& served, const HttpRequest& request,
                   HttpResponder& responder) {
  json fields = json::parse(request.body, nullptr, false);
  const bool sets_cut = fields.is_object() && fields.contains("cut");
  if (sets_cut) {
    served.cut.store(fields["cut"] == true);
    fields.erase("cut");
  }
  const absl::Status status = served.standin.control(fields);
  if (!status.ok()) {
    SendBadRequest(responder, status);
    return;
  }
  SendJson(responder, 200, json::object());
}

void Handle(ServedStandin& served, const HttpRequest& request,
            HttpResponder& responder) {
  if (request.path == "/control") {
    HandleControl(served, request, responder);
  } else if (served.cut.load()) {
    responder.Drop();
  } else if (request.path == "/healthz") {
    responder.Send({200, {}, "ok\n"});
  } else if (request.path == "/record") {
    SendJson(responder, 200, served.standin.record());
  } else {
    served.standin.handle(request, responder);
  }
}

}  // namespace

void to_json(json& to, const Ms& from) { to = from.count; }
void from_json(const json& from, Ms& to) { to.count = from.get<int64_t>(); }

void SendJson(HttpResponder& responder, int status, const json& body) {
  responder.Send(
      {status, {{"Content-Type", "application/json"}}, DumpJson(body)});
}

void SendError(HttpResponder& responder, int status, std::string_view message) {
  SendJson(responder, status, {{"error", {{"message", message}}}});
}

void SendBadRequest(HttpResponder& responder, const absl::Status& status) {
  SendError(responder, 400, absl::StrCat(status.message()));
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
  const auto served = std::make_shared<ServedStandin>();
  served->standin = std::move(standin);
  return HttpServer::Start(
      options, [served](const HttpRequest& request, HttpResponder& responder) {
        Handle(*served, request, responder);
      });
}

}  // namespace knapweed

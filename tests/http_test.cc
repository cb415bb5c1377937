#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/http/client.h"
#include "knapweed/http/server.h"
#include "standins/free_port.h"

namespace knapweed {
namespace {

const Address kNobody{"127.0.0.1", 1};

void Echo(const HttpRequest& request, HttpResponder& responder) {
  if (request.path == "/stream") {
    responder.Begin(200, {{"Content-Type", "text/event-stream"}});
    for (int i = 0; i < 3; ++i)
      responder.Write("piece" + std::to_string(i) + ";");
    responder.End();
    return;
  }
  if (request.path == "/slow") SleepFor(Ms{600});
  if (request.path == "/drop") {
    responder.Drop();
    return;
  }
  responder.Send(
      {200,
       {{"X-Seen", std::string(FindHeader(request.headers, "x-ask"))}},
       request.method + request.path + QueryParam(request.query, "q") +
           request.body});
}

TEST_CASE("the client and the server understand each other") {
  const Address listen = FreeLoopbackAddress();
  HttpServerOptions options;
  options.listen = listen;
  options.threads = 4;
  options.max_body = 1000;
  auto server = HttpServer::Start(options, Echo);
  REQUIRE(server.ok());
  HttpClient client(listen);

  SUBCASE("whole replies, many on one connection") {
    for (int i = 0; i < 5; ++i) {
      auto reply = client.Call({"POST",
                                "/x",
                                "q=a%20b",
                                {{"X-Ask", "me"}},
                                "body" + std::to_string(i)});
      REQUIRE(reply.ok());
      CHECK(reply->status == 200);
      CHECK(reply->body == "POST/xa bbody" + std::to_string(i));
      CHECK(FindHeader(reply->headers, "X-Seen") == "me");
    }
  }
  SUBCASE("chunked replies") {
    auto reply = client.Call({"GET", "/stream", "", {}, ""});
    REQUIRE(reply.ok());
    CHECK(reply->body == "piece0;piece1;piece2;");
    auto again = client.Call({"GET", "/stream", "", {}, ""});
    REQUIRE(again.ok());
    CHECK(again->body == reply->body);
  }
  SUBCASE("a body over the limit is refused as not run") {
    auto reply = client.Call({"POST", "/x", "", {}, std::string(5000, 'a')});
    REQUIRE(reply.ok());
    CHECK(reply->status == 413);
    CHECK(reply->body.find("not_run") != std::string::npos);
  }
  SUBCASE("a dropped connection leaves open whether the request ran") {
    CHECK(client.Call({"GET", "/drop", "", {}, ""}).status().code() ==
          absl::StatusCode::kUnknown);
    CHECK(client.Call({"GET", "/x", "", {}, ""}).ok());
  }
  SUBCASE("encoded text comes back whole") {
    const std::string text = "a/b c?&%é";
    auto reply = client.Call({"GET", "/x", "q=" + PercentEncode(text), {}, ""});
    REQUIRE(reply.ok());
    CHECK(reply->body == "GET/x" + text);
  }
  SUBCASE("a late reply is a deadline error") {
    HttpCallOptions call;
    call.timeout = Ms{100};
    auto reply = client.Call({"GET", "/slow", "", {}, ""}, call);
    CHECK(reply.status().code() == absl::StatusCode::kDeadlineExceeded);
  }
}

TEST_CASE("no server means that nothing was sent") {
  HttpClient client(kNobody);
  CHECK(client.Call({}).status().code() == absl::StatusCode::kUnavailable);
}

}  // namespace
}  // namespace knapweed

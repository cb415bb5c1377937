// Odd requests and responses. None may end the gateway or keep others from
// being served.
#include <doctest/doctest.h>

#include "tests/platform/odd_inputs.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

// Guards against requests whose bytes end the gateway, and with it all others
// that it serves.
TEST_CASE("requests of any bytes harm no other") {
  TestCluster cluster(1, 2);
  const std::string methods[] = {"GET",   "POST",    "QUERY",
                                 "BREW",  "CONNECT", "OPTIONS",
                                 "TRACE", "get",     "M-SEARCH"};
  const std::string paths[] = {"/safe/x",
                               "/once/x",
                               "/turn/x",
                               "/kept/x",
                               "/resume/x",
                               "*",
                               "/",
                               "//safe//",
                               "/safe/%00%zz?a=b#c",
                               "http://a/safe/x"};
  const std::string names[] = {"Request-Id",
                               "Program-Id",
                               "Session-Id",
                               "Previous-Turn",
                               "Resumes",
                               "Key",
                               "Cookie",
                               "Model",
                               "Deadline-Ms",
                               "Finish-Ms",
                               "Token-Budget",
                               "Token-Usage",
                               "Last-Event-Id",
                               "Prompt-Prefix",
                               "Connection",
                               "Expect",
                               "Transfer-Encoding",
                               "Content-Length",
                               "Keep-Alive",
                               "Length-Hint"};
  const std::string values[] = {"",
                                std::string("\xAE") + "alec",
                                "\xff\xfe",
                                std::string(150, 'a'),
                                std::string(3000, 'b'),
                                "-1",
                                "0",
                                "1e300",
                                "9223372036854775807",
                                "-9223372036854775808",
                                "18446744073709551616",
                                "4294967295,4294967295",
                                "0,0",
                                ",",
                                "5c1e07a2:4294967295,5c1e07a2:1",
                                "ffffffffffffffff:0",
                                "zz:1",
                                "a b",
                                "\"",
                                "Affinity-Key=\xAE; Affinity-Key",
                                "close, Key, ,",
                                "100-continue",
                                "chunked",
                                "~1",
                                "id^0",
                                "\t"};
  int served = 0;
  const auto send = [&](const std::string& text) {
    cluster.SendRaw(text, 0, Ms{60});
    if (++served % 100 != 0) return;
    const std::string id = "served-" + std::to_string(served);
    CHECK(cluster.Call(PlainCall("/safe/x", id)).status == 200);
  };
  const auto text_of = [&](const std::string& method, const std::string& path,
                           const std::string& more) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
           "\r\nKey: key1\r\nRequest-Id: q\r\n" + more +
           "Content-Length: 2\r\nConnection: close\r\n\r\nin";
  };
  for (const std::string& method : methods) {
    for (const std::string& path : paths) send(text_of(method, path, ""));
  }
  for (const std::string& name : names) {
    for (const std::string& value : values) {
      const std::string& path = paths[static_cast<size_t>(served) % 5];
      const std::string usual = text_of("POST", path, "");
      // As the first of its name, before the usual ones.
      std::string text = usual.substr(0, usual.find('\n') + 1);
      text.append(name).append(": ").append(value).append("\r\n");
      text.append(usual.substr(usual.find('\n') + 1));
      send(text);
    }
  }
  const std::string good =
      text_of("POST", "/kept/x",
              "Program-Id: p\r\nToken-Budget: 100\r\nToken-Usage: 10,4\r\n");
  for (const uint64_t seed : Seeds()) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 200; ++i) send(Mutated(good, random));
  }
  CHECK(ServesAndFollows(cluster, served));
  CHECK(gateway::ExceptionsReported() == 0);
}

TEST_CASE("a malformed identifier is refused with its name") {
  struct Row {
    const char* name;
    const char* error;
  };
  const Row rows[] = {{"Request-Id", "malformed request id"},
                      {"Program-Id", "malformed program id"},
                      {"Previous-Turn", "malformed id of previous turn"},
                      {"Resumes", "malformed id of resumed request"}};
  TestCluster cluster(1, 2);
  for (const Row& row : rows) {
    for (const std::string& value :
         {std::string("\xAE") + "alec", std::string("a b"),
          std::string(129, 'a')}) {
      CallerRequest call = PlainCall("/kept/x", "q");
      call.headers[row.name] = value;
      const CallerResponse response = cluster.Call(call);
      CHECK(response.status == 400);
      CHECK(response.body.find(row.error) != std::string::npos);
    }
  }
  CHECK(cluster.EngineRequests().empty());
}

TEST_CASE("a method that HTTP does not define is forwarded unchanged") {
  TestCluster cluster(1, 2);
  CallerRequest call = PlainCall("/safe/x", "q");
  call.method = "QUERY";
  CHECK(cluster.Call(call).status == 200);
  bool found = false;
  for (const auto& server : cluster.plain) {
    for (const ReceivedRequest& request : server->received) {
      found = found || request.method == "QUERY";
    }
  }
  CHECK(found);
}

// Guards against responses whose bytes end the gateway.
TEST_CASE("responses of any bytes harm no other") {
  TestCluster cluster(1, 3);
  const std::string head =
      "HTTP/1.1 200 X\r\nRequest-Id: @ID\r\nServer-Seal: s\r\n";
  const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
  std::vector<std::string> answers = {
      "",
      "\x01\x02",
      "HTTP/1.1 999 X\r\nRequest-Id: @ID\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 000 X\r\nRequest-Id: @ID\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 204 X\r\nRequest-Id: @ID\r\nContent-Length: 5\r\n\r\nhello",
      head + "Content-Length: 18446744073709551615\r\n\r\n",
      head + "Content-Length: -1\r\n\r\n",
      head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
      head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
      head +
          "Keep-Alive: timeout=9223372036854775807\r\n"
          "Content-Length: 0\r\n\r\n",
      head + "Server-Limit: 1e308\r\nContent-Length: 0\r\n\r\n",
      head + "Server-Limit: nan\r\nContent-Length: 0\r\n\r\n",
      head + "Connection: \xAE, ,,\r\nContent-Length: 0\r\n\r\n",
      head + "X: \xAE\xff\r\nContent-Length: 0\r\n\r\n",
      stream + "id: 99999999999999999999\ndata: x\n\n",
      stream + "id: -1\ndata: \xAE\n\nid: 18446744073709551615\ndata: y\n\n",
      stream + std::string(5000, '\n'),
      stream + "data",
  };
  const std::string good = stream + "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";
  for (const uint64_t seed : Seeds()) {
    std::mt19937_64 random(seed);
    for (int i = 0; i < 150; ++i) answers.push_back(Mutated(good, random));
  }
  const char* paths[] = {"/safe/x", "/once/x", "/kept/x", "/resume/x"};
  const auto set_all = [&](const Script& script) {
    for (auto& server : cluster.engines) server->default_script = script;
    for (auto& server : cluster.plain) server->default_script = script;
  };
  int number = 0;
  for (const std::string& answer : answers) {
    Script script{Kind::kRaw, 3, -1, Ms{0}};
    script.raw = answer;
    set_all(script);
    const std::string id = "odd-" + std::to_string(number);
    CallerRequest call = PlainCall(paths[number++ % 4], id);
    call.headers["Deadline-Ms"] = "300";
    cluster.Call(call);
    // One that comes to trouble is avoided for a while, so others answer.
    if (number % 50 == 0) {
      set_all({Kind::kPlain, 3, -1, Ms{0}});
      cluster.RunFor(Ms{1200});
      CHECK(cluster.Call(PlainCall("/safe/x", id + "-served")).status == 200);
    }
  }
  CHECK(gateway::ExceptionsReported() == 0);
}

}  // namespace
}  // namespace knapweed::testing

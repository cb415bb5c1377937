// Tests of what a gateway makes of a collector's answer while the store is
// away.
#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "knapweed/gateway/use_exchange.h"

namespace knapweed::gateway {
namespace {

const Address kSelf{"127.0.0.1", 1};

/// Returns the other gateways, so many that one of them is the collector.
std::map<Address, UseByWorkspace> Others() {
  std::map<Address, UseByWorkspace> others;
  for (uint16_t port = 2; port < 10; ++port) others[{"127.0.0.1", port}] = {};
  return others;
}

/// A gateway whose collector answers with the same bytes each time.
struct AskingGateway {
  AskingGateway(asio::io_context& loop, std::string body)
      : answer(std::move(body)),
        quotas(clock, QuotaTolerance{}),
        exchange(
            loop, clock, quotas, kSelf,
            [this](const Address&, const HttpRequest&,
                   Ms) -> Task<HttpResponse> {
              ++asked;
              HttpResponse response;
              response.status = 200;
              response.body = answer;
              co_return response;
            },
            [] { return false; }) {}

  std::string answer;
  int asked = 0;
  Clock clock = Clock::Steady();
  Quotas quotas;
  UseExchange exchange;
};

// Guards against an odd answer that ends the exchange, or whose numbers make a
// gateway admit more than the rate.
TEST_CASE("no answer of a collector lets a gateway exceed the rate") {
  const std::vector<std::string> answers = {
      R"({"use":{"ws":[0,0,0,0]},"gateways":1,"silent":0,"known":{}})",
      "",
      "{",
      "[]",
      "null",
      std::string(60000, '['),
      R"({"use":7,"gateways":"x","silent":[],"known":"x"})",
      R"({"use":{"ws":[-1e300,0,0,0]},"gateways":1,"silent":0})",
      R"({"gateways":4294967295,"silent":0})",
      R"({"gateways":4294967296,"silent":4294967296})",
      R"({"gateways":18446744073709551615,"silent":18446744073709551615})",
      R"({"gateways":0,"silent":4294967295})",
      R"({"gateways":0,"silent":1,"known":{"ws":[0,-60]}})",
      R"({"gateways":-1,"silent":-1,"known":{"ws":[0,0]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":[0,-30]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":[-30,0]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":[1e308,1e308]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":[1e999,-1e999]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":["a",{}]}})",
      R"({"gateways":1,"silent":1,"known":{"ws":[]}})",
  };
  asio::io_context loop;
  std::deque<AskingGateway> gateways;
  for (const std::string& answer : answers) {
    AskingGateway& gateway = gateways.emplace_back(loop, answer);
    gateway.exchange.SetStored(Others());
    Spawn(loop, gateway.exchange.Run());
  }
  const uint64_t exceptions = ExceptionsReported();
  loop.run_for(std::chrono::milliseconds(1300));
  Workspace workspace;
  workspace.name = "ws";
  workspace.rate_per_s = 20;
  workspace.burst = 10;
  constexpr int kLimit = 141;
  constexpr int kCalls = 600;
  for (size_t i = 0; i < answers.size(); ++i) {
    CAPTURE(answers[i].substr(0, 80));
    AskingGateway& gateway = gateways[i];
    CHECK(gateway.asked > 0);
    int admitted = 0;
    for (int call = 0; call < kCalls; ++call) {
      if (gateway.quotas.Take(workspace).allowed) ++admitted;
    }
    CHECK(admitted <= kLimit);
    if (i == 0) CHECK(admitted > 0);
  }
  CHECK(ExceptionsReported() == exceptions);
}

}  // namespace
}  // namespace knapweed::gateway

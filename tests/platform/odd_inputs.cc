#include "tests/platform/odd_inputs.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <numeric>

#include "knapweed/base/parse.h"

namespace knapweed::testing {
namespace {

uint64_t NumberInEnvironment(const char* name, uint64_t otherwise) {
  uint64_t number = otherwise;
  const char* text = std::getenv(name);
  if (text != nullptr) ParseNumber(std::string_view(text), &number);
  return number;
}

}  // namespace

std::vector<uint64_t> Seeds() {
  std::vector<uint64_t> seeds(NumberInEnvironment("KNAPWEED_SEEDS", 1));
  std::iota(seeds.begin(), seeds.end(),
            NumberInEnvironment("KNAPWEED_FIRST_SEED", 1));
  return seeds;
}

std::vector<std::string> OddValues() {
  const std::string deep(60000, '[');
  return {"null",
          "true",
          "-1",
          "0",
          "1e300",
          "1e999",
          "-1e300",
          "1.5",
          "4294967296",
          "18446744073709551615",
          "18446744073709551616",
          "9223372036854775807",
          "-9223372036854775808",
          "\"\"",
          "\"x\"",
          "\"127.0.0.1:0\"",
          "\"127.0.0.1:65536\"",
          "\"127.0.0.1:99999999999\"",
          "\"127.0.0.1:-1\"",
          "\"[::1]:80\"",
          "\"a\\r\\nb: c\"",
          "\"\xAE\"",
          "\"\\ud800\"",
          "[]",
          "{}",
          "[1]",
          "{\"a\":1}",
          deep,
          deep + std::string(60000, ']'),
          "[" + deep + std::string(60000, ']') + ",1,2,3]"};
}

std::string DocumentOf(const Fields& fields, size_t changed,
                       const std::string& value) {
  std::string text = "{";
  for (size_t i = 0; i < fields.size(); ++i) {
    if (i > 0) text += ",";
    text += "\"" + fields[i].first + "\":";
    text += i == changed ? value : fields[i].second;
  }
  return text + "}";
}

std::string Mutated(std::string text, std::mt19937_64& random) {
  const size_t changes = 1 + random() % 4;
  for (size_t i = 0; i < changes && !text.empty(); ++i) {
    const size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 8);
        break;
      case 2:
        text.insert(at, 1 + random() % 40, text[random() % text.size()]);
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

bool ServesAndFollows(TestCluster& cluster, int round) {
  FakeServer& server = *cluster.plain[0];
  const std::string id = "served-" + std::to_string(round);
  if (cluster.Call(PlainCall("/safe/x", id)).status != 200) return false;
  const auto is_followed = [&](bool draining) {
    cluster.store.Put("servers", server.id(), server.Entry("plain", draining));
    return cluster.RunUntil(
        [&] {
          const std::string state =
              cluster.Get(cluster.configs[0].metrics, "/state");
          const auto json = nlohmann::json::parse(state, nullptr, false);
          return json.is_object() && json["upstreams"].contains(server.id()) &&
                 json["upstreams"][server.id()]["draining"] == draining;
        },
        Seconds(3));
  };
  const bool drains = is_followed(true);
  return is_followed(false) && drains;
}

}  // namespace knapweed::testing

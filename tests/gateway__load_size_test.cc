// Computes what the exchange of load costs on the network, for the figures in
// docs/design/upstream-load.md.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "knapweed/gateway/load_collector.h"

namespace knapweed::gateway {
namespace {

struct Fleet {
  const char* name;
  int gateways;
  int upstreams;
  // Calls that arrive at the whole fleet, and how long each takes.
  double calls_per_s;
  double call_s;
  uint64_t tokens_per_call;
  // Part of its time that a call is in prefill.
  double prefill_part;
};

constexpr Fleet kFleets[] = {
    {"28 gateways, 41 upstreams", 28, 41, 480, 2, 5000, 0.2},
    {"380 gateways, 730 upstreams", 380, 730, 9400, 3, 8000, 0.2}};
constexpr int kServices = 11;
// Header lines of a request and of a response between gateways, and those of
// TCP and IP on both with their acknowledgements.
constexpr double kHttpBytes = 130 + 75;
constexpr double kPacketBytes = 4 * 40;

Ms IntervalOf(const Fleet& fleet) {
  return std::max(Ms{250}, Ms{5} * fleet.gateways);
}

LoadKey KeyOf(int upstream) {
  return LoadKeyOf("engine-" + std::to_string(upstream), 1700000000000);
}

// The report of one gateway, which has its part of the calls at random
// upstreams.
LoadReport RandomReport(const Fleet& fleet, int gateway, uint64_t sequence,
                        std::mt19937& random) {
  LoadReport report{{"10.20.30." + std::to_string(gateway % 200), 9080},
                    static_cast<uint32_t>(random()),
                    sequence,
                    IntervalOf(fleet),
                    {},
                    {},
                    DigestOf(std::vector<LoadKey>{1})};
  report.sender.port = static_cast<uint16_t>(9080 + gateway / 200);
  std::poisson_distribution<int> calls(fleet.calls_per_s * fleet.call_s /
                                       fleet.gateways);
  std::uniform_int_distribution<int> upstream(0, fleet.upstreams - 1);
  std::uniform_real_distribution<double> part(0, 1);
  std::map<LoadKey, CallLoad> loads;
  for (int n = calls(random); n > 0; --n) {
    CallLoad& load = loads[KeyOf(upstream(random))];
    const auto tokens = static_cast<uint64_t>(
        2 * part(random) * static_cast<double>(fleet.tokens_per_call));
    const bool is_in_prefill = part(random) < fleet.prefill_part;
    load = load + CallLoad{1, is_in_prefill ? tokens / 4 : 0, tokens};
  }
  for (const auto& [key, load] : loads) report.entries.push_back({key, load});
  for (int i = 0; i < kServices; ++i) {
    report.starts_per_s["service-" + std::to_string(i)] = 3 * part(random);
  }
  return report;
}

TEST_CASE("the size of the messages about load") {
  for (const Fleet& fleet : kFleets) {
    Clock clock = Clock::Manual(Seconds(100));
    LoadCollector collector(clock);
    std::mt19937 random(7);
    double report_bytes = 0;
    std::vector<LoadKey> list;
    list.reserve(static_cast<size_t>(fleet.upstreams));
    for (int i = 0; i < fleet.upstreams; ++i) list.push_back(KeyOf(i));
    for (int gateway = 0; gateway < fleet.gateways; ++gateway) {
      LoadReport report = RandomReport(fleet, gateway, 1, random);
      report_bytes += static_cast<double>(EncodeLoadReport(report).size());
      REQUIRE(collector.Take(std::move(report)));
    }
    report_bytes /= fleet.gateways;
    const LoadAnswer answer = collector.Sums({"10.0.0.1", 80}, list);
    const uint32_t digest = DigestOf(list);
    const auto answer_bytes =
        static_cast<double>(EncodeLoadAnswer(answer, digest).size());
    const size_t first_bytes = EncodeLoadAnswer(answer, 0).size();
    const double per_s = 1 / IntervalOf(fleet).Seconds();
    const double total = report_bytes + answer_bytes + kHttpBytes;
    std::printf(
        "%s: report %.0f B, answer %.0f B (with the list %zu B), each %lld ms; "
        "a gateway: %.0f B/s, "
        "with packet headers %.0f B/s; the home: %.0f B/s\n",
        fleet.name, report_bytes, answer_bytes, first_bytes,
        static_cast<long long>(IntervalOf(fleet).count), total * per_s,
        (total + kPacketBytes) * per_s, total * per_s * fleet.gateways);
    // What a node may use of the network for control.
    constexpr double kMostPerS = 2048;
    if (fleet.gateways == 380) CHECK(total * per_s <= kMostPerS);
  }
}

}  // namespace
}  // namespace knapweed::gateway

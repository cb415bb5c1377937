// Tests of the messages about the load of upstreams and of the collector that
// sums it up.
#include <doctest/doctest.h>

#include <cmath>
#include <nlohmann/json.hpp>

#include "knapweed/gateway/load_collector.h"
#include "knapweed/gateway/load_messages.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr Ms kInterval{250};
/// The home's list of upstreams.
constexpr LoadKey kList[] = {1, 2, 3};
const Address kFirst{"10.0.0.1", 80};
const Address kSecond{"10.0.0.2", 80};
const Address kThird{"10.0.0.3", 80};

LoadReport ReportOf(const Address& sender, uint64_t sequence,
                    std::vector<LoadEntry> entries, uint32_t incarnation = 1) {
  return {sender, incarnation, sequence, kInterval, std::move(entries), {}};
}

std::string Pack(const json& message) {
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

json ValidReport() {
  return {{"a", "10.0.0.1:80"}, {"i", 7}, {"n", 3},
          {"t", 250},           {"l", 9}, {"u", {1, 2, 3, 4}},
          {"s", {{"svc", 250}}}};
}

json ValidAnswer() {
  LoadAnswer answer{2, Ms{90}, Ms{10}, {}, {{"svc", 2.5}}};
  for (const LoadKey key : kList) answer.entries.push_back({key, {1, 2, 3}});
  return json::from_msgpack(EncodeLoadAnswer(answer, DigestOf(kList)));
}

CallLoad LoadOf(const LoadAnswer& answer, LoadKey key) {
  for (const LoadEntry& entry : answer.entries) {
    if (entry.key == key) return entry.load;
  }
  return {};
}

TEST_CASE("messages about load keep their content") {
  LoadReport report = ReportOf(
      kFirst, 1ull << 40,
      {{0xffffffff, {1, 0, 139891}}, {0, {1000000, 1000000000, 5}}}, 9);
  report.starts_per_s = {{"svc", 2.75}, {"idle", 0.001}};
  const auto decoded = DecodeLoadReport(EncodeLoadReport(report));
  REQUIRE(decoded.ok());
  CHECK(decoded->left_out == 0);
  CHECK(decoded->report.sender == kFirst);
  CHECK(decoded->report.incarnation == 9);
  CHECK(decoded->report.sequence == 1ull << 40);
  CHECK(decoded->report.interval == kInterval);
  CHECK(decoded->report.entries == report.entries);
  const StartsByService starts = {{"svc", 2.75}};
  CHECK(decoded->report.starts_per_s == starts);
}

// Guards against figures that are lost because the asker has another list of
// upstreams than the home.
TEST_CASE("sums of load are read by the home's list of upstreams") {
  const StartsByService starts = {{"svc", 2.75}};
  const LoadAnswer answer{28,
                          Ms{240},
                          Ms{3},
                          {{7, {40, 300, 139891}}, {5, {}}, {6, {1, 0, 4095}}},
                          starts};
  constexpr LoadKey kSame[] = {7, 5, 6};
  constexpr LoadKey kOther[] = {5, 6, 7};
  for (const std::span<const LoadKey> list :
       {std::span<const LoadKey>(kSame), std::span<const LoadKey>(kOther),
        std::span<const LoadKey>()}) {
    const std::string bytes = EncodeLoadAnswer(answer, DigestOf(list));
    const auto read = DecodeLoadAnswer(bytes, list);
    REQUIRE(read.ok());
    CHECK(read->gateways == 28);
    CHECK(read->oldest_age == Ms{240});
    CHECK(read->newest_age == Ms{3});
    CHECK(read->starts_per_s == starts);
    REQUIRE(read->entries.size() == 3);
    CHECK(read->entries[0].key == 7);
    CHECK(read->entries[0].load.calls == 40);
    CHECK(read->entries[0].load.pending_prefill_tokens == 300);
    CHECK(read->entries[0].load.resident_tokens ==
          doctest::Approx(139891).epsilon(1.0 / 4096));
    CHECK(read->entries[1] == LoadEntry{5, {}});
    CHECK(read->entries[2] == LoadEntry{6, {1, 0, 4095}});
  }
  // The answer lacks the list, which is not the reader's.
  const std::string bytes = EncodeLoadAnswer(answer, DigestOf(kSame));
  CHECK_FALSE(DecodeLoadAnswer(bytes, kOther).ok());
  CHECK_FALSE(DecodeLoadAnswer(bytes, {}).ok());
  // A home that lists no upstream.
  const auto none =
      DecodeLoadAnswer(EncodeLoadAnswer({}, DigestOf(kSame)), kSame);
  REQUIRE(none.ok());
  CHECK(none->entries.empty());
}

TEST_CASE("the figures of an answer are precise enough") {
  struct Row {
    size_t upstreams;
    // Largest relative error, and error in tokens besides.
    double relative;
    double tokens;
    // Up to here they are exact.
    uint32_t exact_calls;
  };
  for (const Row& row :
       {Row{300, 1.0 / 4096, 0, 4095}, Row{730, 1.0 / 32, 8, 31}}) {
    CAPTURE(row.upstreams);
    LoadAnswer answer;
    std::vector<LoadKey> list;
    double figure = 0;
    for (size_t i = 0; i < row.upstreams; ++i) {
      list.push_back(static_cast<LoadKey>(i));
      const auto n = static_cast<uint32_t>(figure);
      answer.entries.push_back({list.back(), {n, n, n}});
      figure = figure * 1.02 + 1;
      // The coarse figures end at 8 million tokens and half a million calls.
      if (figure > 400000) figure = 0;
    }
    const auto read =
        DecodeLoadAnswer(EncodeLoadAnswer(answer, DigestOf(list)), list);
    REQUIRE(read.ok());
    REQUIRE(read->entries.size() == row.upstreams);
    for (size_t i = 0; i < row.upstreams; ++i) {
      const CallLoad& sent = answer.entries[i].load;
      const CallLoad& got = read->entries[i].load;
      const double calls = sent.calls;
      CAPTURE(calls);
      CHECK(std::abs(got.calls - calls) <= calls * row.relative);
      if (sent.calls <= row.exact_calls) CHECK(got.calls == sent.calls);
      const double most = calls * row.relative + row.tokens;
      const auto off = [&](uint64_t tokens) {
        return std::abs(static_cast<double>(tokens) - calls);
      };
      CHECK(off(got.pending_prefill_tokens) <= most);
      CHECK(off(got.resident_tokens) <= most);
    }
  }
  // Figures beyond the largest that can be sent become the largest.
  LoadAnswer huge;
  std::vector<LoadKey> list(301);
  huge.entries.assign(301, {0, {UINT32_MAX, UINT64_MAX / 2, 1u << 30}});
  const auto read =
      DecodeLoadAnswer(EncodeLoadAnswer(huge, DigestOf(list)), list);
  REQUIRE(read.ok());
  CHECK(read->entries[0].load == CallLoad{31 << 14, 31 << 18, 31 << 18});
}

// Guards against a crash or a wrong sum by bytes that no gateway sends.
TEST_CASE("malformed messages about load are rejected") {
  CHECK(DecodeLoadReport(Pack(ValidReport())).ok());
  CHECK(DecodeLoadAnswer(Pack(ValidAnswer()), kList).ok());
  struct Row {
    const char* field;
    json value;
  };
  const Row rows[] = {
      {"a", 5},
      {"a", "nowhere"},
      {"i", -1},
      {"i", 1ull << 32},
      {"i", "x"},
      {"n", -1},
      {"n", 1.5},
      {"t", -250},
      {"t", 1000000000},
      {"l", -1},
      {"g", -1},
      {"g", 1ull << 32},
      {"o", -1},
      {"o", "old"},
      {"w", 1ull << 63},
      {"d", -1},
      {"d", 5},
      {"u", 1},
      {"u", json::binary({1, 2, 3})},
      {"u", {1, 2, 3}},
      {"u", {1, 2, 3, 4.5}},
      {"u", {1, 2, nullptr, 4}},
      {"u", {{1, 2, 3, 4}, 2, 3, 4}},
      {"s", 1},
      {"s", {{"svc", 1.5}}},
      {"s", {{"svc", "many"}}},
  };
  for (const Row& row : rows) {
    for (json message : {ValidReport(), ValidAnswer()}) {
      if (!message.contains(row.field)) continue;
      const bool is_report = message.contains("a");
      CAPTURE(is_report);
      CAPTURE(row.field);
      CAPTURE(row.value.dump());
      const auto is_ok = [&] {
        const std::string bytes = Pack(message);
        return is_report ? DecodeLoadReport(bytes).ok()
                         : DecodeLoadAnswer(bytes, kList).ok();
      };
      message[row.field] = row.value;
      CHECK_FALSE(is_ok());
      message.erase(row.field);
      CHECK_FALSE(is_ok());
    }
  }
}

TEST_CASE("bytes that are no message about load are rejected") {
  const std::string whole = EncodeLoadReport(ReportOf(kFirst, 1, {}));
  std::vector<std::string> rows = {
      "", "{}", "\xc1", Pack(json::array()), Pack(5), whole + "x"};
  for (size_t n = 0; n < whole.size(); ++n) rows.push_back(whole.substr(0, n));
  // Nested arrays, as deep as a message may be long.
  rows.emplace_back(64 << 10, '\x91');
  // More upstreams than any fleet has.
  LoadReport large = ReportOf(kFirst, 1, {});
  large.entries.resize(100000);
  rows.push_back(EncodeLoadReport(large));
  for (const std::string& bytes : rows) {
    CAPTURE(bytes.size());
    CHECK_FALSE(DecodeLoadReport(bytes).ok());
    CHECK_FALSE(DecodeLoadAnswer(bytes, kList).ok());
  }
}

// Guards against a sum that one broken gateway spoils for all.
TEST_CASE("figures that can't be true are left out and counted") {
  struct Row {
    const char* what;
    json figures;
    bool is_left_out;
  };
  const Row rows[] = {
      {"true", {8, 1, 1, 1}, false},
      {"zero", {8, 0, 0, 0}, false},
      {"negative calls", {8, -1, 0, 0}, true},
      {"negative tokens", {8, 1, -5, 0}, true},
      {"most tokens", {8, 1, 1000000000, 1000000000}, false},
      {"absurd pending tokens", {8, 1, 1000000001, 0}, true},
      {"absurd resident tokens", {8, 1, 0, 1000000001}, true},
      {"absurd calls", {8, 1000001, 0, 0}, true},
      {"beyond int64_t", {8, 1, UINT64_MAX, 0}, true},
      {"no key", {-8, 1, 0, 0}, true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    json message = ValidReport();
    for (const json& figure : row.figures) message["u"].push_back(figure);
    const auto decoded = DecodeLoadReport(Pack(message));
    REQUIRE(decoded.ok());
    CHECK(decoded->left_out == (row.is_left_out ? 1 : 0));
    REQUIRE(decoded->report.entries.size() == (row.is_left_out ? 1 : 2));
    CHECK(decoded->report.entries[0] == LoadEntry{1, {2, 3, 4}});
  }
  json message = ValidReport();
  message["s"] = {{"svc", 250}, {"bad", -1}, {"huge", 1000000000000}};
  const auto decoded = DecodeLoadReport(Pack(message));
  REQUIRE(decoded.ok());
  CHECK(decoded->left_out == 2);
  CHECK(decoded->report.starts_per_s == StartsByService{{"svc", 2.5}});
}

TEST_CASE("the incarnations of an upstream have different keys") {
  CHECK(LoadKeyOf("i-1", 1700000000000) == LoadKeyOf("i-1", 1700000000000));
  CHECK(LoadKeyOf("i-1", 1700000000000) != LoadKeyOf("i-1", 1700000000001));
  CHECK(LoadKeyOf("i-1", 1700000000000) != LoadKeyOf("i-2", 1700000000000));
}

TEST_CASE("the collector adds up the latest report of each gateway") {
  Clock clock = Clock::Manual(Seconds(100));
  LoadCollector collector(clock);
  CHECK(collector.Sums(kFirst, kList).gateways == 0);
  LoadReport first = ReportOf(kFirst, 1, {{1, {2, 300, 4000}}});
  first.starts_per_s = {{"svc", 1.5}, {"own", 1}};
  CHECK(collector.Take(first));
  clock.Advance(Ms{100});
  LoadReport second = ReportOf(kSecond, 8, {{1, {1, 0, 50}}, {2, {3, 3, 3}}});
  second.starts_per_s = {{"svc", 2}};
  CHECK(collector.Take(second));
  clock.Advance(Ms{50});
  LoadAnswer sums = collector.Sums(kThird, kList);
  CHECK(sums.gateways == 2);
  CHECK(sums.entries.size() == 3);
  CHECK(LoadOf(sums, 1) == CallLoad{3, 300, 4050});
  CHECK(LoadOf(sums, 2) == CallLoad{3, 3, 3});
  CHECK(sums.starts_per_s == StartsByService{{"svc", 3.5}, {"own", 1}});
  CHECK(sums.oldest_age == Ms{150});
  CHECK(sums.newest_age == Ms{50});
  // The asker's own report says nothing of the age of the others.
  CHECK(collector.Sums(kSecond, kList).newest_age == Ms{150});
  // The own part is included, so that each can subtract what it reported.
  CHECK(LoadOf(collector.Sums(kFirst, kList), 1) == CallLoad{3, 300, 4050});
  CHECK(collector.Take(ReportOf(kFirst, 2, {{1, {5, 0, 0}}})));
  sums = collector.Sums(kThird, kList);
  CHECK(sums.gateways == 2);
  CHECK(LoadOf(sums, 1) == CallLoad{6, 0, 50});
  CHECK(sums.starts_per_s == StartsByService{{"svc", 2}});
}

// Guards against load that stays after its calls have ended.
TEST_CASE("a gateway whose calls have ended no longer counts") {
  const std::vector<LoadEntry> rows[] = {{}, {{1, {0, 0, 0}}}};
  for (const std::vector<LoadEntry>& ended : rows) {
    Clock clock = Clock::Manual(Seconds(100));
    LoadCollector collector(clock);
    CHECK(collector.Take(ReportOf(kFirst, 1, {{1, {2, 300, 4000}}})));
    CHECK(collector.Take(ReportOf(kSecond, 1, {{1, {1, 1, 1}}})));
    CHECK(collector.Take(ReportOf(kFirst, 2, ended)));
    CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{1, 1, 1});
    CHECK(collector.Take(ReportOf(kSecond, 2, ended)));
    CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{});
    CHECK(collector.Sums(kThird, kList).gateways == 2);
  }
}

// Guards against the calls of a dead gateway that count for ever.
TEST_CASE("a report expires after three of its sender's intervals") {
  Clock clock = Clock::Manual(Seconds(100));
  LoadCollector collector(clock);
  LoadReport slow = ReportOf(kSecond, 1, {{1, {1, 1, 1}}});
  slow.interval = kInterval * 2;
  CHECK(collector.Take(ReportOf(kFirst, 1, {{1, {2, 300, 4000}}})));
  CHECK(collector.Take(slow));
  clock.Advance(kInterval * 3 - Ms{1});
  CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{3, 301, 4001});
  clock.Advance(Ms{1});
  const LoadAnswer sums = collector.Sums(kThird, kList);
  CHECK(LoadOf(sums, 1) == CallLoad{1, 1, 1});
  CHECK(sums.gateways == 1);
  clock.Advance(kInterval * 3);
  CHECK(collector.Sums(kThird, kList).gateways == 0);
  CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{});
  // After a silence the next report counts again.
  CHECK(collector.Take(ReportOf(kFirst, 2, {{1, {2, 300, 4000}}})));
  CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{2, 300, 4000});
}

TEST_CASE("older reports are ignored, those of a restarted gateway are not") {
  Clock clock = Clock::Manual(Seconds(100));
  LoadCollector collector(clock);
  CHECK(collector.Take(ReportOf(kFirst, 7, {{1, {2, 300, 4000}}}, 1)));
  CHECK_FALSE(collector.Take(ReportOf(kFirst, 7, {{1, {9, 9, 9}}}, 1)));
  CHECK_FALSE(collector.Take(ReportOf(kFirst, 6, {{1, {9, 9, 9}}}, 1)));
  CHECK(LoadOf(collector.Sums(kThird, kList), 1) == CallLoad{2, 300, 4000});
  CHECK(collector.Take(ReportOf(kFirst, 1, {{2, {1, 1, 1}}}, 2)));
  const LoadAnswer sums = collector.Sums(kThird, kList);
  CHECK(sums.gateways == 1);
  CHECK(LoadOf(sums, 1) == CallLoad{});
  CHECK(LoadOf(sums, 2) == CallLoad{1, 1, 1});
}

}  // namespace
}  // namespace knapweed::gateway

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "knapweed/base/settings.h"
#include "knapweed/rules/config.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {
namespace {

/// Returns the contents of all sample files with this extension, sorted by
/// path.
std::vector<std::string> ReadSamples(std::string_view ending) {
  std::vector<std::filesystem::path> paths;
  for (const auto& it :
       std::filesystem::recursive_directory_iterator(KNAPWEED_SAMPLES))
    if (it.path().extension() == ending) paths.push_back(it.path());
  std::ranges::sort(paths);
  std::vector<std::string> texts;
  for (const auto& path : paths) {
    std::stringstream text;
    text << std::ifstream(path).rdbuf();
    texts.push_back(text.str());
  }
  return texts;
}

/// Makes 1 to 4 random changes to a text: replaces, erases, inserts, copies or
/// swaps bytes. The seed makes the sequence reproducible.
class Mutator {
 public:
  explicit Mutator(uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    for (size_t n = 1 + Draw(4); n > 0; --n) MutateOnce(text);
    return text;
  }

 private:
  size_t Draw(size_t n) {
    return std::uniform_int_distribution<size_t>(0, n - 1)(random_);
  }
  void MutateOnce(std::string& text) {
    static const std::vector<std::string> kWords = {
        " ",      "\n",     "#",       "=",     "rate=",
        "nan",    "1e999",  "-1",      "\xff",  "\xc3",
        "\t",     "\r\n",   "open",    "pool=", "route",
        "burst=", "share=", "[entry]", ";",     "99999999999999999999"};
    if (text.empty()) text = "x";
    const size_t at = Draw(text.size());
    switch (Draw(5)) {
      case 0:
        text[at] = static_cast<char>(Draw(256));
        return;
      case 1:
        text.erase(at, 1 + Draw(20));
        return;
      case 2:
        text.insert(at, kWords[Draw(kWords.size())]);
        return;
      case 3:
        text.insert(at, text.substr(Draw(text.size()), Draw(60)));
        return;
      default:
        std::swap(text[at], text[Draw(text.size())]);
    }
  }

  std::mt19937_64 random_;
};

/// Returns whether accepted rules have the properties that the rest of the code
/// relies on.
bool SatisfiesInvariants(const Rules& rules) {
  double shares = 0;
  for (const DomainRule& rule : rules.domains) shares += rule.share;
  bool satisfied = shares <= 1 + 1e-9;
  for (const RouteRule& rule : rules.routes) {
    const PoolRule* pool = FindPool(rules, rule.pool);
    satisfied &= pool != nullptr && FindRoute(rules, rule.path) == &rule;
    satisfied &= pool != nullptr &&
                 pool->models.empty() == (rule.kind == RouteKind::kService);
  }
  for (const WorkspaceRule& rule : rules.workspaces) {
    satisfied &= rule.rate_per_s > 0 && rule.burst >= 1 && rule.weight > 0;
    satisfied &= FindWorkspace(rules, rule.id) == &rule;
  }
  return satisfied;
}

TEST_CASE("every sample rules file is valid") {
  const std::vector<std::string> samples = ReadSamples(".rules");
  CHECK(samples.size() >= 2);
  for (const std::string& text : samples) {
    const ParsedRules parsed = ParseRules(text);
    CAPTURE(FormatFaults("sample", parsed.faults));
    CHECK(parsed.ok());
    CHECK(SatisfiesInvariants(parsed.rules));
  }
}

TEST_CASE(
    "any text is parsed into valid rules or into faults with valid positions") {
  Mutator mutator(20260301);
  int accepted = 0;
  int refused = 0;
  for (const std::string& sample : ReadSamples(".rules")) {
    for (int n = 0; n < 5000; ++n) {
      const std::string text = mutator.Mutate(sample);
      const ParsedRules parsed = ParseRules(text);
      CAPTURE(text);
      ++(parsed.ok() ? accepted : refused);
      if (parsed.ok()) REQUIRE(SatisfiesInvariants(parsed.rules));
      const auto lines = std::ranges::count(text, '\n') + 1;
      for (const RulesFault& fault : parsed.faults) {
        REQUIRE(fault.line >= 1);
        REQUIRE(fault.line <= lines);
        REQUIRE(fault.column >= 1);
        REQUIRE(fault.column <= static_cast<int>(text.size()) + 1);
      }
      // Accepted rules can be stored and read back unchanged.
      if (!parsed.ok()) continue;
      const auto read = DecodeConfig(EncodeConfig({1, 1, text, {}}));
      REQUIRE(read.ok());
      REQUIRE(read->rules_text == text);
    }
  }
  CHECK(accepted > 0);
  CHECK(refused > 0);
}

TEST_CASE("each fault of mutated settings names the file") {
  Mutator mutator(20260302);
  const std::string sample =
      "[entry]\nlisten = 127.0.0.1:80\nname = a  ; first\n\n"
      "[rules]\npoll_every = 1s\n# why\nconfirm_within = 4s\n";
  int refused = 0;
  for (int n = 0; n < 10000; ++n) {
    const std::string text = mutator.Mutate(sample);
    CAPTURE(text);
    Settings settings = Settings::Parse(text, "f.ini");
    settings.GetAddress("entry", "listen");
    settings.GetString("entry", "name");
    settings.GetMs("rules", "poll_every", Seconds(1));
    settings.GetMs("rules", "confirm_within", Seconds(4));
    const absl::Status status = settings.Check();
    if (status.ok()) continue;
    ++refused;
    std::istringstream lines{absl::StrCat(status.message())};
    for (std::string line; std::getline(lines, line);)
      REQUIRE(line.starts_with("f.ini:"));
  }
  CHECK(refused > 0);
}

TEST_CASE("a mutated delta is rejected or applied without a crash") {
  Mutator mutator(20260303);
  const KeyRecord key{"k", WorkspaceId("w"), "s", "d", false};
  const StoredConfig base{1, 1, "a\nb\nc\n", {}};
  const StoredConfig next{2, 2, "a\nx\nc\n", {key}};
  const std::string delta = EncodeDelta(base, next);
  int accepted = 0;
  for (int n = 0; n < 10000; ++n) {
    const auto applied = ApplyDelta(base, mutator.Mutate(delta));
    if (applied.ok()) ++accepted;
  }
  CHECK(accepted > 0);
  CHECK(ApplyDelta(base, delta).ok());
}

}  // namespace
}  // namespace knapweed

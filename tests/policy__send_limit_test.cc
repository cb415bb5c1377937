// Tests of the decisions on requests to upstreams that state a limit.
#include <doctest/doctest.h>

#include "knapweed/policy/send_limit.h"

namespace knapweed {
namespace {

TEST_CASE("the newest statement about a limit counts") {
  struct Row {
    const char* what;
    StatedLimit known;
    StatedLimit news;
    std::optional<double> limit;
    bool changed;
  };
  const Row rows[] = {
      {"first", {}, {5.0, Ms{10}}, 5.0, true},
      {"the same again", {5.0, Ms{10}}, {5.0, Ms{20}}, 5.0, false},
      {"another value", {5.0, Ms{10}}, {4.0, Ms{20}}, 4.0, true},
      {"older value", {5.0, Ms{10}}, {4.0, Ms{9}}, 5.0, false},
      {"ended", {5.0, Ms{10}}, {std::nullopt, Ms{20}}, std::nullopt, true},
      {"older response without",
       {5.0, Ms{10}},
       {std::nullopt, Ms{9}},
       5.0,
       false},
      {"both at once", {5.0, Ms{10}}, {std::nullopt, Ms{10}}, 5.0, false},
      {"both at once, other order",
       {std::nullopt, Ms{10}},
       {5.0, Ms{10}},
       5.0,
       true},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    StatedLimit known = row.known;
    CHECK(MergeLimit(known, row.news) == row.changed);
    CHECK(known.per_s == row.limit);
  }
}

TEST_CASE("a response without a limit counts as of its request") {
  constexpr Ms kSentAt{10};
  constexpr Ms kReceivedAt{30};
  CHECK(LimitInResponse(5.0, kSentAt, kReceivedAt).observed_at == kReceivedAt);
  CHECK(LimitInResponse(std::nullopt, kSentAt, kReceivedAt).observed_at ==
        kSentAt);
}

}  // namespace
}  // namespace knapweed

// Tests of the decision whether a new request or more of an old one fits within
// the bound of held bytes.
#include <doctest/doctest.h>

#include <limits>
#include <vector>

#include "knapweed/policy/memory_guard.h"

namespace knapweed {
namespace {

constexpr uint64_t kMb = 1 << 20;
constexpr uint64_t kHuge = std::numeric_limits<uint64_t>::max();

TEST_CASE("a request is taken in only if all of it fits") {
  struct Row {
    const char* what;
    HeldState state;
    std::optional<uint64_t> declared;
    bool taken;
  };
  const Row rows[] = {
      {"no bound", {100 * kMb, 0}, 4 * kMb, true},
      {"no bound, absurd length", {0, 0}, kHuge, true},
      {"empty ledger", {0, 44 * kMb}, 4 * kMb, true},
      {"no body, just fits", {44 * kMb - kCallBufferBytes, 44 * kMb}, 0, true},
      {"no body, a byte short",
       {44 * kMb - kCallBufferBytes + 1, 44 * kMb},
       0,
       false},
      {"body does not fit", {41 * kMb, 44 * kMb}, 4 * kMb, false},
      {"body just fits",
       {40 * kMb - kCallBufferBytes, 44 * kMb},
       4 * kMb,
       true},
      {"a small body where a large one is refused",
       {41 * kMb, 44 * kMb},
       kMb,
       true},
      {"chunked, counted as it arrives", {43 * kMb, 44 * kMb}, {}, true},
      {"chunked, no room for its buffers", {44 * kMb, 44 * kMb}, {}, false},
      {"calls in progress went beyond the bound",
       {45 * kMb, 44 * kMb},
       0,
       false},
      {"length that overflows the sum", {kMb, 44 * kMb}, kHuge, false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    CHECK(MayTakeRequest(row.state, row.declared) == row.taken);
  }
}

TEST_CASE("the room for more is what is left of the bound") {
  CHECK(RoomFor({5, 0}, 100) == 100);
  CHECK(RoomFor({5, 10}, 3) == 3);
  CHECK(RoomFor({5, 10}, 100) == 5);
  CHECK(RoomFor({10, 10}, 1) == 0);
  CHECK(RoomFor({11, 10}, 1) == 0);
  CHECK(MayHold({5, 10}, 5));
  CHECK_FALSE(MayHold({5, 10}, 6));
}

// Callers of the smallest machine that never read: they are taken in one after
// another until the bound, and again after some have left.
TEST_CASE("calls that are never read stay within half of the smallest VM") {
  constexpr uint64_t kSmallestVmMb = 88;
  for (const uint64_t body : {uint64_t{0}, 64 * kMb / 1024, 4 * kMb}) {
    HeldState state{0, HeldBytesLimit(kSmallestVmMb)};
    CHECK(state.limit_bytes == 44 * kMb);
    std::vector<uint64_t> calls;
    while (MayTakeRequest(state, body)) {
      calls.push_back(BytesToSetAside(body));
      state.held_bytes += calls.back();
    }
    CHECK(state.held_bytes <= 44 * kMb);
    CHECK(state.held_bytes + BytesToSetAside(body) > 44 * kMb);
    CHECK(calls.size() == 44 * kMb / (kCallBufferBytes + body));
    state.held_bytes -= calls.back();
    CHECK(MayTakeRequest(state, body));
  }
}

TEST_CASE("the least memory setting holds the largest usual requests") {
  HeldState state{0, HeldBytesLimit(kMinMemoryMb)};
  for (int i = 0; i < 2; ++i) {
    CHECK(MayTakeRequest(state, 4 * kMb));
    state.held_bytes += BytesToSetAside(4 * kMb);
  }
  for (int i = 0; i < 30; ++i) {
    CHECK(MayTakeRequest(state, 0));
    state.held_bytes += BytesToSetAside(0);
  }
}

}  // namespace
}  // namespace knapweed

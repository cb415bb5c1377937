// Tests of what a gateway remembers of turns on the allowances of others.
#include <doctest/doctest.h>

#include "knapweed/gateway/turn_witness.h"

namespace knapweed::gateway {
namespace {

const LeaseKey kLease{"program", "holder-1", 7};
const Address kSuccessor{"127.0.0.1", 9};
constexpr Ms kNow = Seconds(100);

// Guards against a turn that begins on an allowance that another gateway has
// taken over, and against one that counts as less than it may spend.
TEST_CASE("a witness tells of all turns of a lease and lets no more begin") {
  TurnWitness witness;
  CHECK(witness.Begin(kLease, "a", {50, kNow + Seconds(10)}, kNow));
  CHECK(witness.Begin(kLease, "b", {60, kNow + Seconds(10)}, kNow));
  CHECK(witness.Begin(kLease, "c", {70, kNow + Seconds(1)}, kNow));
  CHECK(witness.Settle(kLease, "a", 20, kNow) == Address{});
  // It counts once.
  CHECK(witness.Settle(kLease, "a", 20, kNow) == Address{});
  witness.Expire(kNow + Seconds(2));
  const WitnessedLease& told = witness.Close(kLease, kSuccessor, kNow);
  CHECK(told.settled == 20 + 70);
  CHECK(told.running.size() == 1);
  CHECK(told.running.at("b").max_tokens == 60);
  CHECK_FALSE(witness.Begin(kLease, "d", {50, kNow + Seconds(10)}, kNow));
  // The successor holds the rest of the reservation now.
  CHECK(witness.Settle(kLease, "b", 10, kNow) == kSuccessor);
  LeaseKey next = kLease;
  ++next.number;
  CHECK(witness.Begin(next, "d", {50, kNow + Seconds(10)}, kNow));
}

TEST_CASE("a lease that is not known yet is closed too") {
  TurnWitness witness;
  const WitnessedLease& told = witness.Close(kLease, kSuccessor, kNow);
  CHECK(told.settled == 0);
  CHECK(told.running.empty());
  CHECK_FALSE(witness.Begin(kLease, "late", {50, kNow + Seconds(10)}, kNow));
}

TEST_CASE("a lease is forgotten long after its last turn") {
  TurnWitness witness;
  CHECK(witness.Begin(kLease, "a", {50, kNow + Seconds(1000)}, kNow));
  witness.Expire(kNow + TurnWitness::kKept + Seconds(1));
  CHECK(witness.size() == 1);
  witness.Settle(kLease, "a", 1, kNow + Seconds(900));
  witness.Expire(kNow + Seconds(901) + TurnWitness::kKept);
  CHECK(witness.size() == 0);
}

}  // namespace
}  // namespace knapweed::gateway

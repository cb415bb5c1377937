#ifndef KNAPWEED_TESTS_PLATFORM_ODD_INPUTS_H_
#define KNAPWEED_TESTS_PLATFORM_ODD_INPUTS_H_

#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/platform/world.h"

/// Odd inputs: values and bytes that no program of this project writes, and
/// whether a gateway still works after them.
namespace knapweed::testing {

/// Returns the seeds to run with: KNAPWEED_SEEDS of them, one if it is not set,
/// from KNAPWEED_FIRST_SEED on, so that several processes can share them.
std::vector<uint64_t> Seeds();

/// Returns values for a field of a JSON document that other writers may leave.
std::vector<std::string> OddValues();

/// The names and usual values of a JSON document's fields.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the document, in which the field with index `changed` has another
/// value.
std::string DocumentOf(const Fields& fields, size_t changed,
                       const std::string& value);

/// Returns the text with a few bytes changed, removed or repeated.
std::string Mutated(std::string text, std::mt19937_64& random);

/// Returns whether the gateway serves a call, whose ID contains `round`, and
/// follows a change of the list of upstreams.
bool ServesAndFollows(TestCluster& cluster, int round);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_ODD_INPUTS_H_

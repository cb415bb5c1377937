// Tests of the semaphore that bounds the memory of steps that run at once.
#include <doctest/doctest.h>

#include <vector>

#include "knapweed/gateway/weighted_semaphore.h"

namespace knapweed::gateway {
namespace {

// One step: waits for its weight, holds it and gives it back.
struct Step {
  uint64_t weight = 0;
  Ms timeout;
  Ms holds;
};

struct Outcome {
  // Numbers of the steps in the order in which they were admitted.
  std::vector<int> admitted;
  std::vector<int> timed_out;
  uint64_t most_used = 0;
};

Task<void> RunStep(WeightedSemaphore& semaphore, asio::io_context& loop,
                   int number, Step step, Outcome& outcome) {
  const WeightedSemaphore::Permit permit =
      co_await semaphore.Acquire(step.weight, step.timeout);
  (permit ? outcome.admitted : outcome.timed_out).push_back(number);
  outcome.most_used = std::max(outcome.most_used, semaphore.used());
  if (permit) {
    co_await Sleep(loop, step.holds);
  }
}

// Guards against steps that exceed the capacity together, and against ones that
// wait for ever.
TEST_CASE("steps are admitted in their order as far as they fit") {
  constexpr Ms kLong{2000};
  constexpr Ms kShort{10};
  struct Row {
    const char* what;
    uint64_t capacity;
    std::vector<Step> steps;
    std::vector<int> admitted;
    std::vector<int> timed_out;
    uint64_t most_used;
  };
  const Row rows[] = {
      {"no bound",
       0,
       {{90, kLong, kShort}, {90, kLong, kShort}},
       {0, 1},
       {},
       180},
      {"all fit", 10, {{4, kLong, kShort}, {6, kLong, kShort}}, {0, 1}, {}, 10},
      {"one after the other",
       10,
       {{6, kLong, kShort}, {6, kLong, kShort}},
       {0, 1},
       {},
       6},
      {"a light one waits behind a heavy one",
       10,
       {{6, kLong, kShort}, {8, kLong, kShort}, {1, kLong, kShort}},
       {0, 1, 2},
       {},
       9},
      {"heavier than the capacity",
       10,
       {{99, kLong, kShort}, {99, kLong, kShort}},
       {0, 1},
       {},
       10},
      {"gives up", 10, {{6, kLong, Ms{200}}, {6, Ms{20}, kShort}}, {0}, {1}, 6},
      {"lets those behind it go on when it gives up",
       10,
       {{6, kLong, Ms{200}}, {8, Ms{20}, kShort}, {3, Ms{100}, kShort}},
       {0, 2},
       {1},
       9},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    asio::io_context loop;
    WeightedSemaphore semaphore(loop, row.capacity);
    Outcome outcome;
    for (size_t i = 0; i < row.steps.size(); ++i) {
      Spawn(loop, RunStep(semaphore, loop, static_cast<int>(i), row.steps[i],
                          outcome));
    }
    loop.run();
    CHECK(outcome.admitted == row.admitted);
    CHECK(outcome.timed_out == row.timed_out);
    CHECK(outcome.most_used == row.most_used);
    CHECK(semaphore.used() == 0);
  }
}

}  // namespace
}  // namespace knapweed::gateway

// Tests of the model of an engine that the tests of policies use.
#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

#include "tests/engine_model.h"

namespace knapweed {
namespace {

constexpr EngineSpec kSmall{2, 1000, 5, 10, 100};

std::vector<EngineModelResult> RunToEnd(EngineModel& engine) {
  std::vector<EngineModelResult> ended;
  while (!engine.idle()) {
    engine.Step();
    for (const EngineModelResult& it : engine.TakeEnded()) ended.push_back(it);
  }
  return ended;
}

TEST_CASE("a call that runs alone takes its chunks and its steps") {
  EngineModel engine(kSmall);
  REQUIRE(engine.Send({1, 0, 0, 250, 4}, 100));
  const std::vector<EngineModelResult> ended = RunToEnd(engine);
  REQUIRE(ended.size() == 1);
  // Three chunks of 100, 100 and 50 tokens at 10 a ms, each in a step of 5 ms.
  CHECK(ended[0].first_ms == doctest::Approx(100 + 25 + 15));
  CHECK(ended[0].ended_ms == doctest::Approx(ended[0].first_ms + 15));
  CHECK(FirstAloneMs(kSmall, 250) == doctest::Approx(40));
  CHECK(AloneMs(kSmall, 250, 4) == doctest::Approx(55));
}

TEST_CASE("prompts are read one after the other, by priority, then arrival") {
  EngineModel engine(kSmall);
  REQUIRE(engine.Send({1, 5, 0, 300, 1}, 0));
  engine.Step();
  REQUIRE(engine.Send({2, 2, 0, 100, 1}, 6));
  REQUIRE(engine.Send({3, 1, 0, 100, 1}, 7));
  REQUIRE(engine.Send({4, 1, 0, 100, 1}, 8));
  std::vector<uint64_t> ids;
  for (const EngineModelResult& it : RunToEnd(engine)) ids.push_back(it.id);
  CHECK(ids == std::vector<uint64_t>{1, 3, 4, 2});
}

TEST_CASE("a call waits for a slot") {
  EngineModel engine(kSmall);
  for (uint64_t id = 1; id <= 3; ++id) {
    REQUIRE(engine.Send({id, 5, 0, 10, 20}, 0));
  }
  const std::vector<EngineModelResult> ended = RunToEnd(engine);
  REQUIRE(ended.size() == 3);
  CHECK(ended[2].first_ms > ended[1].ended_ms);
}

TEST_CASE("the newest of the least urgent is preempted and reads again") {
  EngineModel engine({3, 310, 5, 10, 400});
  REQUIRE(engine.Send({1, 5, 0, 100, 10}, 0));
  REQUIRE(engine.Send({2, 5, 0, 100, 10}, 0));
  REQUIRE(engine.Send({3, 0, 0, 100, 10}, 0));
  const std::vector<EngineModelResult> ended = RunToEnd(engine);
  REQUIRE(ended.size() == 3);
  CHECK(engine.preemptions() == 1);
  CHECK(ended.back().id == 2);
  CHECK(ended.back().preemptions == 1);
  CHECK(ended.back().ended_ms > ended[0].ended_ms + 10);
}

TEST_CASE("a call larger than the memory is refused, one as large runs") {
  EngineModel engine(kSmall);
  CHECK_FALSE(engine.Send({1, 0, 500, 400, 101}, 0));
  CHECK(engine.Send({2, 0, 500, 400, 100}, 0));
  CHECK(engine.Load() == CallLoad{1, 400, 1000});
  CHECK(RunToEnd(engine).size() == 1);
  CHECK(engine.Load() == CallLoad{});
}

TEST_CASE("the same seed gives the same load") {
  const LoadSpec spec;
  const std::vector<LoadProgram> one = MakeLoad(spec, 1);
  const std::vector<LoadProgram> again = MakeLoad(spec, 1);
  const std::vector<LoadProgram> other = MakeLoad(spec, 2);
  REQUIRE(one.size() == again.size());
  REQUIRE_FALSE(one.empty());
  CHECK(one.back().at_ms == again.back().at_ms);
  CHECK(one.front().at_ms != other.front().at_ms);
}

}  // namespace
}  // namespace knapweed

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "knapweed/sidecar/attempt_memory.h"
#include "knapweed/sidecar/epoch_fence.h"
#include "knapweed/sidecar/pin_table.h"
#include "knapweed/sidecar/sidecar_config.h"
#include "knapweed/sidecar/sse_parser.h"

namespace knapweed {
namespace {

constexpr PartitionId kPartition{3};
constexpr uint32_t kPartitions = 8;

SharedResult ResultOf(size_t bytes) {
  wire::ResultT result;
  result.status = 200;
  result.body = std::string(bytes, 'x');
  return std::make_shared<const wire::ResultT>(std::move(result));
}

TEST_CASE("the accepted epoch of a partition never decreases") {
  struct Row {
    uint32_t partition;
    uint64_t epoch;
    bool admitted;
  };
  const std::vector<Row> rows = {{3, 5, true},  {3, 5, true},  {3, 4, false},
                                 {3, 9, true},  {3, 8, false}, {2, 1, true},
                                 {1, 6, false}, {1, 7, true},  {8, 99, false}};
  EpochFence fence(kPartitions);
  fence.Raise(std::vector<Epoch>{{0}, {7}});
  for (const Row& row : rows) {
    CAPTURE(row.partition);
    CAPTURE(row.epoch);
    CHECK(fence.Admit({row.partition}, {row.epoch}) == row.admitted);
  }
  fence.Raise(std::vector<Epoch>{{0}, {2}, {0}, {2}});
  CHECK_FALSE(fence.Admit(kPartition, {8}));
}

TEST_CASE("AttemptMemory keeps an attempt through all its phases") {
  AttemptMemory memory({}, kPartitions);
  const AttemptId ran("ran");
  CHECK(memory.Find(ran).phase == AttemptPhase::kNeverSeen);
  memory.Begin(ran, kPartition);
  CHECK(memory.Find(ran).phase == AttemptPhase::kRunning);
  // An attempt that has arrived can't be refused any more.
  memory.Refuse(ran, kPartition, Ms{0});
  CHECK(memory.Find(ran).phase == AttemptPhase::kRunning);
  memory.End(ran, RunState::kRan, ResultOf(10), Ms{0});
  CHECK(memory.Find(ran).run == RunState::kRan);
  CHECK(memory.Find(ran).result->body.size() == 10);
  // The first result is final.
  memory.End(ran, RunState::kNotRun, nullptr, Ms{0});
  CHECK(memory.Find(ran).run == RunState::kRan);

  const AttemptId refused("refused");
  memory.Refuse(refused, kPartition, Ms{0});
  CHECK(memory.Find(refused).phase == AttemptPhase::kRefused);
  CHECK(memory.Find(refused).run == RunState::kNotRun);
}

TEST_CASE("a dropped attempt is never reported as never seen") {
  struct Row {
    std::string name;
    AttemptMemoryOptions options;
    Ms now;
    AttemptPhase first;
    bool has_result;
    AttemptPhase unseen;
  };
  const Ms retention = Seconds(600);
  const std::vector<Row> rows = {
      {"all kept",
       {retention, 10, 10000, 10},
       Ms{0},
       AttemptPhase::kEnded,
       true,
       AttemptPhase::kNeverSeen},
      {"too many",
       {retention, 2, 10000, 10},
       Ms{0},
       AttemptPhase::kDropped,
       false,
       AttemptPhase::kNeverSeen},
      {"too old",
       {retention, 10, 10000, 10},
       retention,
       AttemptPhase::kDropped,
       false,
       AttemptPhase::kNeverSeen},
      {"too large",
       {retention, 10, 1000, 10},
       Ms{0},
       AttemptPhase::kEnded,
       false,
       AttemptPhase::kNeverSeen},
      {"ids dropped too",
       {retention, 1, 10000, 1},
       Ms{0},
       AttemptPhase::kDropped,
       false,
       AttemptPhase::kDropped},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    AttemptMemory memory(row.options, kPartitions);
    for (const char* name : {"first", "second", "third"}) {
      memory.Begin(AttemptId(name), kPartition);
      memory.End(AttemptId(name), RunState::kRan, ResultOf(300), Ms{0});
    }
    memory.Expire(row.now);
    const AttemptView first =
        memory.FindForSuccessor(AttemptId("first"), kPartition);
    CHECK(first.phase == row.first);
    CHECK(first.run == (row.first == AttemptPhase::kEnded
                            ? RunState::kRan
                            : RunState::kUnknown));
    CHECK((first.result != nullptr) == row.has_result);
    const AttemptId unseen("stranger");
    CHECK(memory.FindForSuccessor(unseen, kPartition).phase == row.unseen);
    CHECK(memory.FindForSuccessor(unseen, {4}).phase ==
          AttemptPhase::kNeverSeen);
    CHECK(memory.Find(unseen).phase == AttemptPhase::kNeverSeen);
    CHECK(memory.result_bytes() <= row.options.max_result_bytes);
  }
}

TEST_CASE("a running attempt is never dropped") {
  AttemptMemory memory({Ms{1}, 1, 1, 1}, kPartitions);
  memory.Begin(AttemptId("runs"), kPartition);
  for (int i = 0; i < 100; ++i) {
    const AttemptId other(std::to_string(i));
    memory.Begin(other, kPartition);
    memory.End(other, RunState::kRan, ResultOf(10), Ms{i});
    memory.Expire(Ms{i});
  }
  CHECK(memory.Find(AttemptId("runs")).phase == AttemptPhase::kRunning);
  CHECK(memory.size() <= 2);
}

TEST_CASE("a hold expires at the end of its lease") {
  PinTable pins;
  pins.Add("a", Ms{10});
  pins.Add("b", Ms{10});
  pins.Add("c", Ms{10});
  CHECK(pins.Renew("b", Ms{20}));
  CHECK_FALSE(pins.Renew("none", Ms{20}));
  CHECK(pins.Remove("c"));
  CHECK_FALSE(pins.Remove("c"));
  CHECK(pins.TakeExpired(Ms{9}).empty());
  CHECK(pins.TakeExpired(Ms{10}) == std::vector<std::string>{"a"});
  CHECK(pins.TakeExpired(Ms{20}) == std::vector<std::string>{"b"});
  CHECK(HoldName(0xab) == "00000000000000ab");
}

TEST_CASE("server-sent events are parsed from pieces of any size") {
  struct Row {
    std::string stream;
    std::vector<std::string> events;
  };
  const std::vector<Row> rows = {
      {"data: a\n\ndata: b\n\n", {"a", "b"}},
      {"data:a\r\n\r\n", {"a"}},
      {": note\nevent: x\ndata: a\ndata: b\n\n", {"a\nb"}},
      {"data: a\n", {}},
      {"data:\n\n", {""}},
      {"\n\n", {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.stream);
    for (size_t step = 1; step <= row.stream.size(); ++step) {
      std::vector<std::string> events;
      SseParser parser(
          [&](std::string_view data) { events.emplace_back(data); });
      for (size_t at = 0; at < row.stream.size(); at += step) {
        CHECK(parser.Feed(std::string_view(row.stream).substr(at, step)));
      }
      CHECK(events == row.events);
    }
  }
  SseParser parser([](std::string_view) {});
  CHECK_FALSE(parser.Feed(std::string(2 << 20, 'x')));
}

TEST_CASE("all settings are checked and every fault is listed") {
  const std::string good =
      "[sidecar]\nname = e1\nfailure_domain = a\npool = chat\nmodels = m, n\n"
      "rpc = 127.0.0.1:7001\ncontrol = 127.0.0.1:7002\n"
      "[upstream]\naddress = 127.0.0.1:7003\n"
      "[platform]\ntable = 127.0.0.1:7004\n";
  struct Row {
    std::string more;
    std::string fault;
  };
  const std::vector<Row> rows = {
      {"", ""},
      {"[attempts]\nkeep = 10s\n", "expected 60s or more"},
      {"[attempts]\nkeep = 10\n", "a number with its unit"},
      {"[log]\nlevel = loud\n", "expected debug, info, warning or error"},
      {"[membership]\npartition_count = 0\n", "from 1 to 65536"},
      {"[sidecar2]\nslots = 1\n", "not a known setting"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.more);
    Settings settings = Settings::Parse(good + row.more, "f.ini");
    const auto config = ReadSidecarConfig(settings);
    CHECK(config.ok() == row.fault.empty());
    const std::string message = config.status().ToString();
    CHECK(message.find(row.fault) != std::string::npos);
  }
  Settings empty = Settings::Parse("", "f.ini");
  const std::string faults = ReadSidecarConfig(empty).status().ToString();
  for (const char* key : {"sidecar.name", "sidecar.rpc", "sidecar.control",
                          "upstream.address", "platform.table"}) {
    CHECK(faults.find(key) != std::string::npos);
  }
}

}  // namespace
}  // namespace knapweed

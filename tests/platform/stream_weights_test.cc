// Streams that callers take up again on a route that several services share.
#include <doctest/doctest.h>

#include "tests/platform/killable_gateway.h"

namespace knapweed::testing {
namespace {

using Kind = Script::Kind;

constexpr int kStreams = 24;
constexpr int kEvents = 5;
constexpr int kBreakAfter = 2;
constexpr char kOther[] = "others";

struct Weights {
  int engines = 0;
  int others = 0;
};

// Half of the engines serve the other service, all in one software version.
void SplitEngines(TestCluster& cluster) {
  for (size_t i = cluster.engines.size() / 2; i < cluster.engines.size(); ++i) {
    FakeServer& engine = *cluster.engines[i];
    cluster.store.Put("servers", engine.id(), engine.Entry(kOther));
  }
}

void SetWeights(TestCluster& cluster, Weights weights, bool names_engines) {
  cluster.Configure([&](nlohmann::json& config) {
    nlohmann::json service = config["services"][0];
    service["name"] = kOther;
    config["services"].push_back(service);
    for (auto& route : config["routes"]) {
      route["max_attempts"] = 1;
      if (route["service"] != "engines") continue;
      route["resumable"] = true;
      route.erase("service");
      route["backends"] = nlohmann::json::array();
      if (names_engines) {
        route["backends"].push_back(
            {{"service", "engines"}, {"weight", weights.engines}});
      }
      route["backends"].push_back(
          {{"service", kOther}, {"weight", weights.others}});
    }
  });
  cluster.RunFor(Ms{400});
}

void SetAll(TestCluster& cluster, int break_after) {
  for (auto& engine : cluster.engines) {
    engine->default_script = {Kind::kEvents, kEvents, break_after, Ms{0}};
  }
}

CallerRequest StreamCall(const std::string& path, const std::string& id,
                         const std::string& line) {
  CallerRequest call = PlainCall(path, id);
  call.headers["Key"] = "key2";
  if (!line.empty()) call.headers["Session-Id"] = line;
  return call;
}

// Returns the index of the engine that got a request, -1 if none did.
int EngineOf(TestCluster& cluster, const std::string& request_id) {
  for (size_t i = 0; i < cluster.engines.size(); ++i) {
    for (const ReceivedRequest& request : cluster.engines[i]->received) {
      if (request.Get("Request-Id") == request_id) return static_cast<int>(i);
    }
  }
  return -1;
}

bool IsOther(const TestCluster& cluster, int engine) {
  return engine >= static_cast<int>(cluster.engines.size() / 2);
}

// Guards against a stream that is refused, since the route's weights would send
// a new one to another service than the one that began it.
TEST_CASE("a stream goes on at its service whatever the weights are") {
  struct Row {
    const char* what;
    Weights before;
    Weights after;
    const char* path = "/resume/x";
    bool has_line = true;
    bool kills_first = true;
    // The route still names the service of most streams.
    bool names_engines = true;
    bool goes_on = true;
  };
  const Row rows[] = {
      {"weights stay", {90, 10}, {90, 10}},
      {"weights turn", {90, 10}, {10, 90}},
      {"weights turn, no gateway ends",
       {90, 10},
       {10, 90},
       "/resume/x",
       true,
       false},
      {"weights stay, no line", {50, 50}, {50, 50}, "/resume/x", false},
      {"weights turn, no line", {90, 10}, {10, 90}, "/resume/x", false},
      {"turns with history", {90, 10}, {10, 90}, "/kept/x"},
      {"weight 0", {90, 10}, {0, 100}},
      // Its configuration allows no call to that service.
      {"not named any more",
       {100, 0},
       {0, 100},
       "/resume/x",
       true,
       true,
       false,
       false},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(2, 4);
    KillableGateway first(cluster, "first");
    SplitEngines(cluster);
    SetWeights(cluster, row.before, true);
    // Until the gateways have read of each other.
    cluster.RunFor(Ms{1500});
    SetAll(cluster, kBreakAfter);
    const auto line = [&](int i) {
      return row.has_line ? "line-" + std::to_string(i) : "";
    };
    for (int i = 0; i < kStreams; ++i) {
      const std::string id = "begun-" + std::to_string(i);
      const CallerResponse begun =
          cluster.Call(StreamCall(row.path, id, line(i)), first.index());
      CHECK(begun.status == 200);
      CHECK_FALSE(begun.complete);
    }
    SetAll(cluster, -1);
    SetWeights(cluster, row.after, row.names_engines);
    if (row.kills_first) first.Kill();
    int went_on = 0;
    for (int i = 0; i < kStreams; ++i) {
      const std::string begun = "begun-" + std::to_string(i);
      const std::string id = "resumed-" + std::to_string(i);
      CallerRequest call = StreamCall(row.path, id, line(i));
      call.headers["Last-Event-Id"] = std::to_string(kBreakAfter);
      call.headers["Resumes"] = begun;
      const CallerResponse resumed = cluster.Call(call, i % 2);
      const int engine = EngineOf(cluster, id);
      if (resumed.status == 200 && resumed.complete) {
        ++went_on;
        CHECK(IsOther(cluster, engine) ==
              IsOther(cluster, EngineOf(cluster, begun)));
      } else {
        CHECK(resumed.status == 503);
        CHECK(engine == -1);
        CHECK(resumed.elapsed < Ms{500});
      }
    }
    CHECK(went_on == (row.goes_on ? kStreams : 0));
  }
}

}  // namespace
}  // namespace knapweed::testing

// Memory of a gateway's process while many long turns are stored or continued
// at once.
#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>

#include "knapweed/policy/memory_guard.h"
#include "tests/platform/world.h"
#include "tests/process/child_process.h"

namespace knapweed::testing {
namespace {

constexpr uint64_t kMemoryMb = 130;
constexpr size_t kMaxBodyBytes = 4 << 20;

// The gateway's program; that of another build by hand.
std::string Program() {
  const char* other = std::getenv("KNAPWEED_GATEWAY");
  return other != nullptr ? other : KNAPWEED_GATEWAY_PROGRAM;
}

// One gateway process with a bound of memory, among the fakes of a cluster.
class BoundedGateway {
 public:
  explicit BoundedGateway(TestCluster& cluster) {
    REQUIRE(mkdtemp(folder_.data()) != nullptr);
    const gateway::GatewayConfig& config = cluster.AddSettings("bounded");
    index_ = static_cast<int>(cluster.configs.size()) - 1;
    std::ofstream(folder_ + "/settings")
        << "[gateway]\nname = bounded\nfailure_domain = a\nmemory_mb = "
        << kMemoryMb << "\ncallers = " << config.callers.ToString()
        << "\nreadiness = " << config.readiness.ToString()
        << "\npeers = " << config.peers.ToString()
        << "\n[metrics]\nlisten = " << config.metrics.ToString()
        << "\n[store]\naddress = " << config.store.ToString() << "\n";
    child_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{Program(), "--config", folder_ + "/settings"},
        folder_ + "/log");
    // Until it has read the configuration and the upstreams.
    cluster.RunFor(Seconds(2));
  }
  ~BoundedGateway() {
    child_->Kill();
    std::remove((folder_ + "/settings").c_str());
    std::remove((folder_ + "/log").c_str());
    rmdir(folder_.c_str());
  }
  BoundedGateway(const BoundedGateway&) = delete;
  BoundedGateway& operator=(const BoundedGateway&) = delete;

  int index() const { return index_; }
  bool Running() { return child_->Running(); }
  // Peak of its memory without the pages of its program.
  uint64_t PeakKb() const { return StatusKb("VmHWM:") - StatusKb("RssFile:"); }

 private:
  uint64_t StatusKb(const std::string& field) const {
    std::ifstream in("/proc/" + std::to_string(child_->pid()) + "/status");
    std::string word;
    uint64_t kb = 0;
    while (in >> word) {
      if (word == field) in >> kb;
    }
    return kb;
  }

  std::string folder_ = "/tmp/knapweed-XXXXXX";
  int index_ = 0;
  std::unique_ptr<ChildProcess> child_;
};

CallerRequest Turn(const std::string& id, size_t bytes,
                   const std::string& previous) {
  CallerRequest turn = PlainCall("/kept/x", id);
  turn.body = std::string(bytes, 'x');
  if (!previous.empty()) turn.headers["Previous-Turn"] = previous;
  return turn;
}

struct BurstOutcome {
  size_t served = 0;
  size_t refused = 0;
  // Neither served whole nor refused as not run.
  size_t lost = 0;
};

struct Burst {
  int number = 0;
  int turns = 0;
  size_t bytes = 0;
  // Turn `i` continues turn `i` of the burst before.
  bool continues = false;
};

std::string TurnId(int burst, int turn) {
  return "turn-" + std::to_string(burst) + "-" + std::to_string(turn);
}

BurstOutcome RunBurst(TestCluster& cluster, int gateway, const Burst& burst) {
  std::vector<std::pair<std::string, std::shared_ptr<CallerResponse>>> calls;
  for (int i = 0; i < burst.turns; ++i) {
    const std::string id = TurnId(burst.number, i);
    const bool is_first = !burst.continues || burst.number == 0;
    const std::string previous = is_first ? "" : TurnId(burst.number - 1, i);
    calls.emplace_back(
        id, cluster.StartCall(Turn(id, burst.bytes, previous), gateway));
  }
  cluster.RunUntil(
      [&] {
        return std::all_of(calls.begin(), calls.end(),
                           [](const auto& call) { return call.second->done; });
      },
      Seconds(40));
  std::set<std::string> ran;
  for (const ReceivedRequest& request : cluster.EngineRequests()) {
    ran.insert(request.Get("Request-Id"));
  }
  BurstOutcome outcome;
  for (const auto& [id, response] : calls) {
    const bool is_whole = response->status == 200 && response->complete;
    const bool is_refused = response->status == 503 && !ran.contains(id);
    ++(is_whole ? outcome.served : is_refused ? outcome.refused : outcome.lost);
  }
  return outcome;
}

// Guards against a gateway that admits turns as long as their bodies fit and
// exceeds its memory by the copies it makes when it stores them.
TEST_CASE("long turns that end together stay within the memory") {
  struct Row {
    const char* what;
    int turns;
    size_t bytes;
    bool continues;
    Ms store_delay;
  };
  constexpr int kBursts = 3;
  const Row rows[] = {
      {"as long as a body may be", 14, 4'000'000, false, Ms{0}},
      {"fewer of these", 10, 4'000'000, false, Ms{0}},
      {"a quarter of that", 50, 1'000'000, false, Ms{0}},
      {"short of one commit", 90, 400'000, false, Ms{0}},
      {"more than fit", 30, 4'000'000, false, Ms{0}},
      {"each with a history", 20, 600'000, true, Ms{0}},
      {"a slow store", 14, 4'000'000, false, Ms{200}},
      {"each with a history, a slow store", 20, 600'000, true, Ms{200}},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    TestCluster cluster(1, 4);
    cluster.Configure([](nlohmann::json& config) {
      for (auto& route : config["routes"]) {
        route["keep_s"] = 60;
        route["timeout_ms"] = 30000;
      }
      config["services"][0]["engine"]["slots"] = 64;
      config["limits"]["max_body_bytes"] = kMaxBodyBytes;
    });
    for (auto& engine : cluster.engines) {
      engine->default_script = {Script::Kind::kEvents, 3, -1, Ms{300}};
    }
    cluster.RunFor(Ms{300});
    BoundedGateway gateway(cluster);
    cluster.store.faults.commit_delay = row.store_delay;
    for (int i = 0; i < kBursts; ++i) {
      const BurstOutcome outcome = RunBurst(
          cluster, gateway.index(), {i, row.turns, row.bytes, row.continues});
      // Of its history and its body before it, a turn holds a copy.
      const size_t copied =
          row.continues ? row.bytes * static_cast<size_t>(i + 1) : 0;
      const size_t fit =
          HeldBytesLimit(kMemoryMb) / (row.bytes + copied + kCallBufferBytes);
      const auto turns = static_cast<size_t>(row.turns);
      CHECK(outcome.lost == 0);
      // What could be served is not refused.
      CHECK(outcome.served >= std::min(turns, fit));
      MESSAGE(what, ": served ", outcome.served, ", refused ", outcome.refused,
              ", peak ", gateway.PeakKb(), " KB");
    }
    CHECK(gateway.Running());
    CHECK(gateway.PeakKb() <= kMemoryMb * 1024);
  }
}

}  // namespace
}  // namespace knapweed::testing

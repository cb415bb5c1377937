#include "tests/platform/process/process_world.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "knapweed/base/parse.h"

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
using gateway::Sleep;
using gateway::Task;
using nlohmann::json;

constexpr Ms kWatchInterval{20};
constexpr Ms kReadinessInterval{1000};
constexpr int kMaxMissedChecks = 2;
constexpr int kUpstreamSlots = 32;
constexpr int kPlainUpstreams = 3;

int HeaderNumber(const ReceivedRequest& request, const char* name) {
  int n = 0;
  return ParseNumber(std::string_view(request.fields[name]), &n) ? n : 0;
}

Script ScriptOf(const ReceivedRequest& request) {
  Script script;
  script.pause = Ms{HeaderNumber(request, kPauseHeader)};
  script.events = HeaderNumber(request, kEventsHeader);
  if (HeaderNumber(request, kLargeHeader) > 0) {
    script.kind = Script::Kind::kLarge;
  }
  if (script.events == 0) return script;
  script.kind = Script::Kind::kEvents;
  script.event_gap = Ms{HeaderNumber(request, kGapHeader)};
  const int breaks = HeaderNumber(request, kBreakHeader);
  if (breaks > 0) {
    script.break_after = HeaderNumber(request, "Last-Event-Id") + breaks;
  }
  return script;
}

json ProcessConfig(uint64_t version) {
  json config = DefaultConfig();
  for (json& route : config["routes"]) {
    route["timeout_ms"] = kRouteTimeout.count;
    route["keep_s"] = kLongKeep.count / 1000;
  }
  json short_route = config["routes"][1];
  short_route["name"] = "short";
  short_route["prefix"] = "/short/";
  short_route["keep_s"] = kShortKeep.count / 1000;
  config["routes"].push_back(short_route);
  // Versions differ in a route that is added and the aims of the others.
  if (version % 2 == 0) {
    json added = config["routes"][3];
    added["name"] = "added";
    added["prefix"] = "/added/";
    config["routes"].push_back(added);
    for (json& route : config["routes"]) route["target_latency_ms"] = 400;
  }
  config["services"][0]["engine"]["slots"] = kUpstreamSlots;
  config["limits"]["max_body_bytes"] = 1 << 20;
  config["limits"]["idle_timeout_ms"] = 10000;
  config["limits"]["header_timeout_ms"] = 3000;
  config["version"] = version;
  return config;
}

}  // namespace

ProcessWorld::ProcessWorld(const WorldOptions& options)
    : store(loop, options.seed), options_(options) {
  std::signal(SIGPIPE, SIG_IGN);
  ledger.times.grace = options.grace;
  REQUIRE(mkdtemp(folder_.data()) != nullptr);
  store_address_ = ReserveAddress();
  store.Listen(store_address_);
  int index = 0;
  for (const char* version : {"v1", "v1", "v2", "v2"}) {
    AddUpstream("engines", index++, version);
  }
  for (int i = 0; i < kPlainUpstreams; ++i) AddUpstream("plain", i, "v1");
  Configure();
  for (size_t i = 0; i < options.gateways; ++i) AddGateway(i);
  for (size_t i = 0; i < options.gateways; ++i) {
    StartGateway(i);
    gateway::Spawn(loop, CheckReadiness(i));
  }
  gateway::Spawn(loop, WatchProcesses());
  ledger.began = Now();
}

ProcessWorld::~ProcessWorld() {
  for (GatewayProcess& it : gateways) it.child->Kill();
  const char* kept = std::getenv("KNAPWEED_KEEP_LOGS");
  if (kept == nullptr) std::filesystem::remove_all(folder_);
}

Address ProcessWorld::ReserveAddress() {
  asio::ip::tcp::socket& socket = reserved_.emplace_back(loop);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind({asio::ip::address_v4::loopback(), 0});
  return {"127.0.0.1", socket.local_endpoint().port()};
}

void ProcessWorld::AddUpstream(const std::string& service, int index,
                               const std::string& version) {
  const std::string id = service + "-" + std::to_string(index);
  FakeServer& it = *upstreams.emplace_back(
      std::make_unique<FakeServer>(loop, id, ReserveAddress()));
  it.version = version;
  it.slots = kUpstreamSlots;
  it.choose_script = [this, &it](const ReceivedRequest& request) {
    return ReceiveRequest(it, request);
  };
  REQUIRE(it.Listen());
  store.Put("servers", id, it.Entry(service));
}

void ProcessWorld::AddGateway(size_t index) {
  GatewayProcess& it = gateways.emplace_back();
  it.config.name = "gateway-" + std::to_string(index);
  it.config.callers = ReserveAddress();
  it.config.readiness = ReserveAddress();
  it.config.peers = ReserveAddress();
  it.config.metrics = ReserveAddress();
  it.log_path = folder_ + "/" + it.config.name + ".log";
}

void ProcessWorld::WriteSettings(const GatewayProcess& process) const {
  const gateway::GatewayConfig& config = process.config;
  std::ofstream out(folder_ + "/" + config.name + ".ini");
  out << "[gateway]\nname = " << config.name << "\nfailure_domain = a"
      << "\ncallers = " << config.callers.ToString()
      << "\nreadiness = " << config.readiness.ToString()
      << "\npeers = " << config.peers.ToString()
      << "\nseeds = " << gateways.front().config.peers.ToString()
      << "\n[metrics]\nlisten = " << config.metrics.ToString()
      << "\n[store]\naddress = " << store_address_.ToString()
      << "\n[shutdown]\ngrace = " << ledger.times.grace.count << "ms\n";
}

void ProcessWorld::StartGateway(size_t index) {
  GatewayProcess& it = gateways[index];
  it.end_intended = false;
  if (it.child == nullptr) {
    WriteSettings(it);
    const std::string settings = folder_ + "/" + it.config.name + ".ini";
    it.child = std::make_unique<ChildProcess>(
        std::vector<std::string>{options_.program, "--config", settings},
        it.log_path);
  } else {
    it.child->Restart();
  }
  it.runs = true;
  it.started_at = Now();
}

void ProcessWorld::Configure() {
  ++config_version_;
  store.Put("op", "config", ProcessConfig(config_version_).dump());
}

void ProcessWorld::RunFor(Ms span) { loop.run_for(gateway::ToChrono(span)); }

Script ProcessWorld::ReceiveRequest(const FakeServer& upstream,
                                    const ReceivedRequest& request) {
  Script script = ScriptOf(request);
  const auto found = by_id_.find(request.Get("Request-Id"));
  const bool runs = request.Get("Expect-Instance") == upstream.id();
  if (found == by_id_.end() || !runs) return script;
  Attempt& it = *found->second;
  const int left = script.events - HeaderNumber(request, "Last-Event-Id") - 1;
  const Ms work = script.pause + script.event_gap * std::max(left, 0);
  it.receipts.push_back(
      {upstream.id(), upstream.version, request.at, request.at + work});
  if (!it.expected_body.empty() && it.expected_body != request.body) {
    it.body_differs = true;
    it.other_body = request.body;
  }
  return script;
}

Task<void> ProcessWorld::WatchProcesses() {
  while (true) {
    for (size_t i = 0; i < gateways.size(); ++i) {
      if (gateways[i].runs && !gateways[i].child->Running()) NoteEnd(i);
    }
    co_await Sleep(loop, kWatchInterval);
  }
}

void ProcessWorld::NoteEnd(size_t index) {
  GatewayProcess& it = gateways[index];
  it.runs = false;
  const int status = it.child->wait_status();
  ProcessEnd end;
  end.gateway = index;
  end.at = Now();
  if (WIFSIGNALED(status)) end.signal = WTERMSIG(status);
  if (WIFEXITED(status)) end.exit_code = WEXITSTATUS(status);
  end.intended = it.end_intended;
  end.ran = end.at - it.started_at;
  ledger.ends.push_back(end);
}

Task<void> ProcessWorld::CheckReadiness(size_t index) {
  GatewayProcess& it = gateways[index];
  gateway::HttpClient client(loop, clock_, it.config.readiness);
  while (true) {
    gateway::HttpRequest request;
    request.target = "/api/ready";
    const gateway::HttpResponse response =
        co_await client.Send(request, Ms{500});
    it.missed_checks = response.status == 200 ? 0 : it.missed_checks + 1;
    if (it.missed_checks == 0) it.in_rotation = true;
    if (it.missed_checks >= kMaxMissedChecks) it.in_rotation = false;
    co_await Sleep(loop, kReadinessInterval);
  }
}

size_t ProcessWorld::PickGateway(Dice& dice, size_t avoided) const {
  std::vector<size_t> candidates;
  for (size_t i = 0; i < gateways.size(); ++i) {
    if (gateways[i].in_rotation) candidates.push_back(i);
  }
  if (candidates.size() * 2 < gateways.size()) {
    candidates.clear();
    for (size_t i = 0; i < gateways.size(); ++i) candidates.push_back(i);
  }
  if (candidates.size() > 1) std::erase(candidates, avoided);
  const int last = static_cast<int>(candidates.size()) - 1;
  return candidates[static_cast<size_t>(dice.Roll(0, last))];
}

Attempt& ProcessWorld::AddAttempt(Attempt attempt) {
  Attempt& it = ledger.attempts.emplace_back(std::move(attempt));
  by_id_[it.id] = &it;
  return it;
}

std::string ProcessWorld::NewId(const std::string& prefix) {
  return prefix + "-" + std::to_string(++next_id_) + "x";
}

std::string ProcessWorld::LogLines(const std::string& text) const {
  std::string found;
  for (const GatewayProcess& it : gateways) {
    std::ifstream in(it.log_path);
    std::string line;
    while (std::getline(in, line)) {
      if (line.find(text) == std::string::npos) continue;
      found += "    " + it.config.name + " " + line + "\n";
    }
  }
  return found;
}

}  // namespace knapweed::testing

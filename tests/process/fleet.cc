#include "tests/process/fleet.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "standins/free_port.h"
#include "tests/process/caller.h"

// The build defines the directory of the binaries under test.
#ifndef KNAPWEED_TOOL_DIR
#define KNAPWEED_TOOL_DIR "build/tools"
#endif

namespace knapweed {
namespace {

using nlohmann::json;

constexpr Ms kStartTimeout = Seconds(20);
constexpr Ms kPollInterval{20};
constexpr Ms kPlatformTimeout = Seconds(2);

std::string ToolPath(const std::string& name) {
  return absl::StrCat(KNAPWEED_TOOL_DIR, "/", name);
}

std::string MakeTempDirectory() {
  std::string path =
      std::filesystem::temp_directory_path() / "knapweed-fleet-XXXXXX";
  REQUIRE(mkdtemp(path.data()) != nullptr);
  return path;
}

std::vector<Address> MakeAddresses(size_t n) {
  std::vector<Address> addresses;
  for (size_t i = 0; i < n; ++i) addresses.push_back(FreeLoopbackAddress());
  return addresses;
}

std::string JoinAddresses(const std::vector<Address>& addresses) {
  const auto append = [](std::string* out, const Address& it) {
    out->append(it.ToString());
  };
  return absl::StrJoin(addresses, ",", append);
}

bool RespondsToHealthCheck(const Address& address) {
  HttpClient client(address);
  return client.Call({"GET", "/healthz", "", {}, ""}).ok();
}

}  // namespace

std::string RulesText(const FleetOptions& options,
                      const std::string& extra_route) {
  std::string text = absl::StrCat(
      "pool chat models=m  # Test: engines\n",
      "pool desk  # Test: plain services\n",
      "domain d0 share=0.3  # Test: a third each, a little kept back\n",
      "domain d1 share=0.3  # Test: a third each, a little kept back\n",
      "domain d2 share=0.3  # Test: a third each, a little kept back\n",
      "route /v1/chat/completions pool=chat  # Test: agents\n",
      "route /book pool=desk kind=service non_idempotent  # Test: bookings\n",
      "workspace w rate=", options.rate_per_s, " burst=", options.burst,
      "  # Test: the one that scenarios use\n",
      "workspace v rate=1000 burst=1000  # Test: a second one\n");
  if (!extra_route.empty()) {
    absl::StrAppend(&text, "route ", extra_route,
                    " pool=desk kind=service  # Test: a change\n");
  }
  return text;
}

bool WaitUntil(Ms timeout, const std::function<bool()>& condition) {
  const Clock clock = Clock::Steady();
  const Ms deadline = clock.Now() + timeout;
  while (!condition()) {
    if (clock.Now() >= deadline) return false;
    SleepFor(kPollInterval);
  }
  return true;
}

StandinProcess::StandinProcess(const std::string& role, const std::string& dir,
                               const std::string& name, size_t address_count)
    : addresses(MakeAddresses(address_count)),
      client(addresses.front()),
      process({ToolPath("knapweed-standin"), "--role", role, "--listen",
               JoinAddresses(addresses)},
              absl::StrCat(dir, "/", name, ".log")) {
  for (const Address& it : addresses) {
    REQUIRE(
        WaitUntil(kStartTimeout, [&] { return RespondsToHealthCheck(it); }));
  }
}

void StandinProcess::Control(const json& faults) {
  const auto reply = client.Call({"POST", "/control", "", {}, faults.dump()});
  REQUIRE(reply.ok());
  REQUIRE(reply->status == 200);
}

void StandinProcess::SetCut(size_t i, bool cut) {
  HttpClient address_client(addresses[i]);
  const json field = {{"cut", cut}};
  const auto reply =
      address_client.Call({"POST", "/control", "", {}, field.dump()});
  REQUIRE(reply.ok());
}

json StandinProcess::Get(const std::string& path) {
  const auto reply = client.Call({"GET", path, "", {}, ""});
  return reply.ok() ? json::parse(reply->body, nullptr, false) : json();
}

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)), dir_(MakeTempDirectory()) {
  StartPlatform();
  ApplyInitialConfig();
  StartUpstreams();
  for (size_t i = 0; i < options_.entries; ++i) StartEntry(i);
  WaitUntilServing();
}

Fleet::~Fleet() {
  // SIGKILL also ends processes that are stopped by SIGSTOP.
  entries_.clear();
  sidecars_.clear();
  if (std::getenv("KNAPWEED_KEEP_LOGS") != nullptr) {
    std::printf("Logs are in %s\n", dir_.c_str());
    return;
  }
  std::error_code ec;
  std::filesystem::remove_all(dir_, ec);
}

void Fleet::StartPlatform() {
  platform_ = std::make_unique<StandinProcess>("platform", dir_, "platform",
                                               kDomainCount + 1);
  config_.table =
      ConnectTableService(platform_->addresses[0], kPlatformTimeout);
  config_.objects =
      ConnectObjectStore(platform_->addresses[0], kPlatformTimeout);
}

const Address& Fleet::PlatformAddress(size_t domain) const {
  return platform_->addresses[1 + domain % kDomainCount];
}

void Fleet::ApplyInitialConfig() {
  const ChangeResult applied = ApplyRules(config_, RulesText(options_));
  CAPTURE(FormatFaults("rules", applied.faults));
  REQUIRE(applied.state == ChangeState::kApplied);
  keys_[0] = IssueKey(config_, WorkspaceId("w"));
  keys_[1] = IssueKey(config_, WorkspaceId("v"));
  REQUIRE(keys_[0].change.state == ChangeState::kApplied);
  REQUIRE(keys_[1].change.state == ChangeState::kApplied);
}

void Fleet::StartUpstreams() {
  for (size_t i = 0; i < options_.engines; ++i) {
    const std::string name = absl::StrCat("engine-", i);
    engines_.push_back(std::make_unique<StandinProcess>("engine", dir_, name));
    engines_.back()->Control(options_.engine_options);
    StartSidecar(absl::StrCat("up-", name), engines_.back()->addresses[0],
                 "chat", i);
  }
  for (size_t i = 0; i < options_.services; ++i) {
    const std::string name = absl::StrCat("service-", i);
    services_.push_back(
        std::make_unique<StandinProcess>("service", dir_, name));
    StartSidecar(absl::StrCat("up-", name), services_.back()->addresses[0],
                 "desk", i);
  }
}

std::unique_ptr<ChildProcess> Fleet::StartDaemon(const std::string& program,
                                                 const std::string& name,
                                                 const std::string& ini) {
  const std::string path = absl::StrCat(dir_, "/", name, ".ini");
  std::ofstream(path) << ini;
  const std::vector<std::string> command = {ToolPath(program), "--config",
                                            path};
  return std::make_unique<ChildProcess>(command,
                                        absl::StrCat(dir_, "/", name, ".log"));
}

void Fleet::StartSidecar(const std::string& name, const Address& upstream,
                         const std::string& pool, size_t domain) {
  DaemonProcess& daemon = sidecars_.emplace_back();
  daemon.name = name;
  daemon.control = FreeLoopbackAddress();
  const std::string ini = absl::StrCat(
      "[sidecar]\nname = ", name, "\nfailure_domain = d", domain % kDomainCount,
      "\npool = ", pool, pool == "chat" ? "\nmodels = m" : "",
      "\nrpc = ", FreeLoopbackAddress().ToString(),
      "\ncontrol = ", daemon.control.ToString(),
      "\nslots = 8\n\n[upstream]\naddress = ", upstream.ToString(),
      "\n\n[platform]\ntable = ", PlatformAddress(domain).ToString(), "\n");
  daemon.process = StartDaemon("knapweed-sidecar", name, ini);
}

void Fleet::StartEntry(size_t i) {
  DaemonProcess& daemon = entries_.emplace_back();
  daemon.name = absl::StrCat("entry-", i);
  daemon.listen = FreeLoopbackAddress();
  daemon.control = FreeLoopbackAddress();
  const std::string store = PlatformAddress(i).ToString();
  const std::string ini = absl::StrCat(
      "[entry]\nname = ", daemon.name, "\nfailure_domain = d", i % kDomainCount,
      "\nlisten = ", daemon.listen.ToString(),
      "\nrpc = ", FreeLoopbackAddress().ToString(),
      "\ncontrol = ", daemon.control.ToString(),
      "\nbalancer_delay = 200ms\n\n[platform]\ntable = ", store,
      "\nobjects = ", store, "\n\n[membership]\nlease = ", options_.lease.count,
      "ms\nrenew_every = ", options_.renew_every.count, "ms\n");
  daemon.process = StartDaemon("knapweed-entry", daemon.name, ini);
}

void Fleet::WaitUntilServing() {
  for (size_t i = 0; i < entries_.size(); ++i) {
    CAPTURE(entries_[i].name);
    ProgramCaller caller(*this, absl::StrCat("warm-up-", i));
    REQUIRE(caller.SendUntilAnswered("hello", kStartTimeout, i));
  }
}

const std::string& Fleet::key(const std::string& workspace) const {
  return keys_[workspace == "v" ? 1 : 0].key_text;
}

const std::string& Fleet::key_id(const std::string& workspace) const {
  return keys_[workspace == "v" ? 1 : 0].key_id;
}

json Fleet::State(const DaemonProcess& daemon) {
  HttpClient client(daemon.control);
  HttpCallOptions call;
  call.timeout = Seconds(1);
  const auto reply = client.Call({"GET", "/state", "", {}, ""}, call);
  return reply.ok() ? json::parse(reply->body, nullptr, false) : json();
}

FleetRecords Fleet::Records() {
  FleetRecords records;
  for (const auto& it : engines_) records.engines.push_back(it->Get("/record"));
  for (const auto& it : services_) {
    records.services.push_back(it->Get("/record"));
  }
  for (const IssuedKeyResult& it : keys_) records.keys.push_back(it.key_text);
  return records;
}

}  // namespace knapweed

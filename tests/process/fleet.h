#ifndef KNAPWEED_TESTS_PROCESS_FLEET_H_
#define KNAPWEED_TESTS_PROCESS_FLEET_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "knapweed/http/client.h"
#include "knapweed/rules/config_store.h"
#include "tests/process/child_process.h"
#include "tests/process/invariant_checker.h"

namespace knapweed {

struct FleetOptions {
  size_t entries = 3;
  size_t engines = 2;
  size_t services = 1;
  Ms lease = Seconds(2);
  Ms renew_every = Ms{500};
  /// Of the one workspace that scenarios mostly use; another has plenty.
  double rate_per_s = 1000;
  double burst = 1000;
  nlohmann::json engine_options = nlohmann::json::object();
};

inline constexpr size_t kDomainCount = 3;

/// The rules file of a fleet; `more_route` is one further route, if any.
std::string RulesText(const FleetOptions& options,
                      const std::string& extra_route = "");

/// A stand-in process and a client of its control paths.
struct StandinProcess {
  /// Serves `address_count` addresses; the first is the one that tests use.
  StandinProcess(const std::string& role, const std::string& dir,
                 const std::string& name, size_t address_count = 1);

  void Control(const nlohmann::json& faults);
  /// Breaks or mends the network before one of the addresses.
  void SetCut(size_t i, bool cut);
  nlohmann::json Get(const std::string& path);

  std::vector<Address> addresses;
  HttpClient client;
  ChildProcess process;
};

/// An entry or a sidecar process.
struct DaemonProcess {
  std::string name;
  /// Where callers connect; unused for a sidecar.
  Address listen;
  Address control;
  std::unique_ptr<ChildProcess> process;
};

/// A small fleet of real processes on loopback: the platform, upstreams with
/// their sidecars, and entries in different failure domains. Everything is
/// killed at its end.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  StandinProcess& platform() { return *platform_; }
  StandinProcess& engine(size_t i) { return *engines_[i]; }
  StandinProcess& service(size_t i) { return *services_[i]; }
  DaemonProcess& entry(size_t i) { return entries_[i]; }
  size_t entry_count() const { return entries_.size(); }
  /// Sidecars of the engines come first, then those of the services.
  DaemonProcess& sidecar(size_t i) { return sidecars_[i]; }
  size_t sidecar_count() const { return sidecars_.size(); }
  const ConfigStore& config() const { return config_; }
  const FleetOptions& options() const { return options_; }

  /// A key of workspace "w" or "v".
  const std::string& key(const std::string& workspace) const;
  const std::string& key_id(const std::string& workspace) const;
  /// The state that a process tells of itself, for finding an owner only.
  nlohmann::json State(const DaemonProcess& daemon);

  FleetRecords Records();

 private:
  void StartPlatform();
  /// Each failure domain reaches the platform by an address of its own.
  const Address& PlatformAddress(size_t domain) const;
  void ApplyInitialConfig();
  void StartUpstreams();
  void StartSidecar(const std::string& name, const Address& upstream,
                    const std::string& pool, size_t domain);
  void StartEntry(size_t i);
  std::unique_ptr<ChildProcess> StartDaemon(const std::string& program,
                                            const std::string& name,
                                            const std::string& ini);
  void WaitUntilServing();

  FleetOptions options_;
  std::string dir_;
  std::unique_ptr<StandinProcess> platform_;
  std::vector<std::unique_ptr<StandinProcess>> engines_;
  std::vector<std::unique_ptr<StandinProcess>> services_;
  std::vector<DaemonProcess> entries_;
  std::vector<DaemonProcess> sidecars_;
  ConfigStore config_;
  IssuedKeyResult keys_[2];
};

/// Waits until a condition holds. False after the limit.
bool WaitUntil(Ms timeout, const std::function<bool()>& condition);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_FLEET_H_

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

/// The size of a fleet and the settings of its processes.
struct FleetOptions {
  size_t entries = 3;
  size_t engines = 2;
  size_t services = 1;
  /// The membership lease of the entries, and its renewal interval.
  Ms lease = Seconds(2);
  Ms renew_every = Ms{500};
  /// Rate limit and burst of workspace "w", which most
  /// calls use. Workspace "v" always has a rate and a burst of 1000.
  double rate_per_s = 1000;
  double burst = 1000;
  /// Control fields sent to each engine stand-in at its start.
  nlohmann::json engine_options = nlohmann::json::object();
};

/// Number of failure domains; processes are assigned to them in turn.
inline constexpr size_t kDomainCount = 3;

/// Returns the rules file of a fleet. `extra_route` is the path of one more
/// route; empty for none.
std::string RulesText(const FleetOptions& options,
                      const std::string& extra_route = "");

/// A stand-in process and a client for its control paths, owned by the fleet.
struct StandinProcess {
  /// Starts the stand-in on `address_count` addresses and waits until each
  /// responds. `client` uses the first address.
  StandinProcess(const std::string& role, const std::string& dir,
                 const std::string& name, size_t address_count = 1);

  /// Sets faults and other control fields, such as latencies.
  void Control(const nlohmann::json& faults);
  /// Starts or ends a simulated network partition of one address.
  void SetCut(size_t i, bool cut);
  /// Returns the JSON body of a GET request; null if there is no reply.
  nlohmann::json Get(const std::string& path);

  std::vector<Address> addresses;
  HttpClient client;
  ChildProcess process;
};

/// An entry or a sidecar process.
struct DaemonProcess {
  std::string name;
  /// The address for callers; unused for a sidecar.
  Address listen;
  Address control;
  std::unique_ptr<ChildProcess> process;
};

/// A small fleet of real processes on loopback: the platform stand-in, upstream
/// stand-ins with their sidecars, and entries in different failure domains. The
/// constructor returns once every entry serves calls; the destructor kills all
/// processes. The logs are kept if KNAPWEED_KEEP_LOGS is set.
class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();

  StandinProcess& platform() { return *platform_; }
  StandinProcess& engine(size_t i) { return *engines_[i]; }
  StandinProcess& service(size_t i) { return *services_[i]; }
  DaemonProcess& entry(size_t i) { return entries_[i]; }
  size_t entry_count() const { return entries_.size(); }
  /// The sidecars of the engines come first, then those of the services.
  DaemonProcess& sidecar(size_t i) { return sidecars_[i]; }
  size_t sidecar_count() const { return sidecars_.size(); }
  const ConfigStore& config() const { return config_; }
  const FleetOptions& options() const { return options_; }

  /// Returns the full text of the key of workspace "w" or "v".
  const std::string& key(const std::string& workspace) const;
  /// Returns the id of the same key.
  const std::string& key_id(const std::string& workspace) const;
  /// Returns the state that a process reports at its control address; null if
  /// there is no reply. Use it only to find an owner, not to check a result.
  nlohmann::json State(const DaemonProcess& daemon);

  /// Reads the records of all upstream stand-ins, and lists the callers' keys.
  FleetRecords Records();

 private:
  void StartPlatform();
  /// Returns the platform address for a failure domain. Each domain has its
  /// own, so that one domain can be partitioned from the platform.
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

/// Polls until a condition holds. Returns false after the timeout.
bool WaitUntil(Ms timeout, const std::function<bool()>& condition);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_FLEET_H_

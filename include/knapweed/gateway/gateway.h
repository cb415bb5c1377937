#ifndef KNAPWEED_GATEWAY_GATEWAY_H_
#define KNAPWEED_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/daemon_args.h"
#include "knapweed/base/metrics.h"
#include "knapweed/gateway/dialect.h"
#include "knapweed/gateway/quotas.h"
#include "knapweed/policy/program_admission.h"

/// The gateway daemon: a stateless proxy from callers to upstreams. Persistent
/// state is in the platform's store, so that any gateway can serve any call.
namespace knapweed::gateway {

/// Settings of one gateway, from its settings file.
struct GatewayConfig {
  std::string name;
  std::string failure_domain;
  Address callers;
  Address readiness;
  Address peers;
  Address metrics;
  std::vector<Address> seeds;
  Address store;
  size_t row_bytes = 65536;
  QuotaTolerance quota;
  PlacementSettings placement;
  /// Engines start calls by the time left to their programs and the length of
  /// their prompts.
  bool order_by_slack = false;
  /// Refuses first turns of programs while the service is overloaded.
  bool admit_programs = false;
  /// Time from the stop signal to the forced end of the process; never longer
  /// than stated.
  Ms grace{8000};
  /// Memory that the process may use, in MB; 0 if there is no bound.
  uint64_t memory_mb = 0;
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the settings file. Returns InvalidArgument with every fault
/// and its line number.
absl::StatusOr<GatewayConfig> ReadGatewayConfig(const std::string& path);

/// Settings with which a gateway can run.
struct UsableSettings {
  GatewayConfig config;
  /// What is wrong with figures that are not used, one message each.
  std::vector<std::string> unused_figures;
};

/// Reads the settings file for a gateway that runs or is to run: a figure that
/// can't be used keeps its value in `in_force`, so that one of them does not
/// keep every gateway from starting. Returns InvalidArgument with every other
/// fault.
absl::StatusOr<UsableSettings> ReadUsableSettings(
    const std::string& path, const GatewayConfig& in_force);

/// One gateway. It runs on the given loop, so that programs and tests can embed
/// it. Not thread-safe.
class Gateway {
 public:
  /// `dialect` must outlive the gateway.
  Gateway(asio::io_context& loop, const GatewayConfig& config,
          const Dialect& dialect);
  Gateway(const Gateway&) = delete;
  ~Gateway();

  /// Starts to listen and to follow the store; returns false if it can't listen
  /// on an address.
  bool Start();
  /// Fails the readiness check, later stops accepting connections, waits for
  /// calls in progress and writes unsettled budgets to the store. Returns when
  /// no connection is left or the grace period is over.
  Task<void> Shutdown();
  /// Applies the settings that can change at run time: quota tolerance, grace
  /// period and log level.
  void Reload(const GatewayConfig& config);
  /// Returns the settings in force.
  const GatewayConfig& config() const;
  /// Returns whether the tables have been read, the store is reachable and the
  /// gateway is not shutting down.
  bool IsReady() const;
  /// Returns the gateway's current state as JSON.
  std::string StateJson() const;
  const Metrics& metrics() const;

 private:
  /// Logs the figures of the settings in force.
  void LogFigures() const;
  /// Tells the store that this gateway stops, and what it has granted.
  Task<void> AnnounceStop(Ms deadline);

  struct Parts;
  std::unique_ptr<Parts> parts_;
};

/// Runs a gateway until SIGTERM or SIGINT; returns the exit code. Reads the
/// settings file at `path` again on SIGHUP.
int RunGateway(const GatewayConfig& config, const std::string& path,
               const Dialect& dialect);

/// The daemon's `main`: reads the command line and the settings and runs the
/// gateway.
int GatewayMain(int argc, const char** argv, const Dialect& dialect);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_GATEWAY_H_

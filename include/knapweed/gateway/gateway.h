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

/// The gateway daemon: an entry that keeps nothing of its own. What lasts lies
/// in the platform's store, so that any gateway serves any call.
namespace knapweed::gateway {

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
  /// From the stop signal to the forced end.
  Ms grace{8000};
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the settings; InvalidArgument names every fault with its
/// line.
absl::StatusOr<GatewayConfig> ReadGatewayConfig(const std::string& path);

/// One gateway on a loop of the caller's, so that programs and tests can embed
/// it.
class Gateway {
 public:
  /// `config` and `dialect` must outlive the gateway.
  Gateway(asio::io_context& loop, const GatewayConfig& config,
          const Dialect& dialect);
  Gateway(const Gateway&) = delete;
  ~Gateway();

  /// Listens and begins to follow the store; false when an address is taken.
  bool Start();
  /// Stops taking calls, ends those under way and writes back what is due.
  /// Returns when no connection is left or the grace period is over.
  Task<void> Shutdown();
  /// Takes over the settings that can change while it runs.
  void Reload(const GatewayConfig& config);
  /// Configuration and upstreams have been read, the store is in
  /// reach, and it is not leaving.
  bool IsReady() const;
  /// A dump of what the process believes, in JSON.
  std::string StateJson() const;
  const Metrics& metrics() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

/// Runs a gateway over a platform's dialect until a stop signal; returns the
/// exit code. `path` is read again on SIGHUP.
int RunGateway(const GatewayConfig& config, const std::string& path,
               const Dialect& dialect);

/// The daemon's `main`: reads the command line and settings and runs.
int GatewayMain(int argc, const char** argv, const Dialect& dialect);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_GATEWAY_H_

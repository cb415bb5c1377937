#ifndef KNAPWEED_CTL_CTL_H_
#define KNAPWEED_CTL_CTL_H_

#include <functional>
#include <istream>
#include <ostream>

#include "absl/status/statusor.h"
#include "knapweed/ctl/options.h"
#include "knapweed/http/http.h"
#include "knapweed/rules/config_store.h"

namespace knapweed {

/// Exit codes of knapweedctl, part of its command-line interface.
enum class CtlExit : uint8_t {
  kOk = 0,
  /// The file has faults, the key or workspace does not exist, or `explain`
  /// found no line about the id; `diff` found differences; `status` found a
  /// process that is unreachable or has an older configuration.
  kRefused = 1,
  /// The command line is wrong, or a file that it names can't be read.
  kUsage = 2,
  /// Another operator changed the rules first; nothing was changed.
  kConflict = 3,
  /// The platform or the process could not be reached; nothing was changed.
  kUnavailable = 4,
  /// The change may or may not have taken effect.
  kUnknown = 5,
};

/// The connections and streams that the commands use. Tests pass fakes.
struct CtlEnvironment {
  /// Returns access to the configuration store of the platform.
  std::function<ConfigStore(const Address&, Ms timeout)> connect;
  /// Sends a request to the control address of a process and waits for the
  /// reply.
  std::function<absl::StatusOr<HttpReply>(const Address&, const HttpRequest&,
                                          Ms timeout)>
      call;
  std::ostream& out;
  std::ostream& err;
  /// Standard input: the log that `explain` reads when no file is named.
  std::istream& in;
};

/// Runs one command and returns its exit code. Blocks until it has finished.
CtlExit RunCtl(const CtlOptions& options, const CtlEnvironment& environment);

/// The main function of knapweedctl: parses the command line, runs the command
/// over HTTP and returns the exit code.
int CtlMain(int argc, const char** argv);

}  // namespace knapweed

#endif  // KNAPWEED_CTL_CTL_H_

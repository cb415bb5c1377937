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

/// Exit codes of knapweedctl; they are part of its interface.
enum class CtlExit : uint8_t {
  kOk = 0,
  /// The file, key, workspace or process is not as it must be; `diff` found
  /// differences; `status` found a process behind.
  kRefused = 1,
  kUsage = 2,
  /// Another operator's change came first.
  kConflict = 3,
  /// The platform or the process could not be reached; nothing was changed.
  kUnavailable = 4,
  /// The change may or may not have taken effect.
  kUnknown = 5,
};

/// What the commands reach outside: passed in, so that tests put fakes there.
struct CtlEnvironment {
  std::function<ConfigStore(const Address&, Ms timeout)> connect;
  std::function<absl::StatusOr<HttpReply>(const Address&, const HttpRequest&,
                                          Ms timeout)>
      call;
  std::ostream& out;
  std::ostream& err;
  /// Logs for `explain`.
  std::istream& in;
};

/// Runs one command to its end.
CtlExit RunCtl(const CtlOptions& options, const CtlEnvironment& environment);

/// The whole program: reads the command line, runs it against real servers and
/// returns the exit code.
int CtlMain(int argc, const char** argv);

}  // namespace knapweed

#endif  // KNAPWEED_CTL_CTL_H_

#ifndef KNAPWEED_CTL_OPTIONS_H_
#define KNAPWEED_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// The parsed command line of knapweedctl.
struct CtlOptions {
  /// The command and its arguments, such as {"keys", "issue", "cannery"}.
  std::vector<std::string> words;
  /// Address of the platform's service, which stores the configuration.
  std::optional<Address> platform;
  /// Control addresses of the entries and sidecars that `status` queries.
  std::vector<Address> control;
  /// Version that the rules file of `apply` is based on; takes precedence over
  /// the version line of the file.
  std::optional<uint64_t> expect_version;
  /// For each request to the platform or a process.
  Ms timeout = Seconds(5);
  bool help = false;
  bool version = false;
};

/// Parses the command line. Returns InvalidArgument, naming the option and what
/// was expected, when an option is unknown or its value is wrong. Does not
/// check the command.
absl::StatusOr<CtlOptions> ParseCtlOptions(int argc, const char** argv);

/// Returns the text that `--help` prints.
std::string CtlHelp();

}  // namespace knapweed

#endif  // KNAPWEED_CTL_OPTIONS_H_

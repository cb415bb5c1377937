#ifndef KNAPWEED_CTL_OPTIONS_H_
#define KNAPWEED_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"

namespace knapweed {

/// What the command line of knapweedctl asks for.
struct CtlOptions {
  /// The command and its arguments, such as {"keys", "issue", "cannery"}.
  std::vector<std::string> words;
  std::optional<Address> platform;
  /// Control addresses of entries and sidecars.
  std::vector<Address> control;
  std::optional<uint64_t> expect_version;
  Ms timeout = Seconds(5);
  bool help = false;
  bool version = false;
};

/// InvalidArgument names the option and what was expected.
absl::StatusOr<CtlOptions> ParseCtlOptions(int argc, const char** argv);

/// The text that `--help` prints.
std::string CtlHelp();

}  // namespace knapweed

#endif  // KNAPWEED_CTL_OPTIONS_H_

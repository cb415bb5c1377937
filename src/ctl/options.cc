#include "knapweed/ctl/options.h"

#include <popt.h>

#include <charconv>
#include <memory>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace knapweed {
namespace {

constexpr int64_t kMaxTimeoutS = 600;

/// The option values as popt writes them; owns the texts.
struct RawOptions {
  char* platform = nullptr;
  char* control = nullptr;
  char* expect_version = nullptr;
  int timeout_s = 5;
  int help = 0;
  int version = 0;

  ~RawOptions() {
    free(platform);
    free(control);
    free(expect_version);
  }
};

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

/// Returns InvalidArgument with the option, its value and what was expected.
absl::Status BadOption(std::string_view option, std::string_view value,
                       std::string_view expected) {
  return absl::InvalidArgumentError(
      absl::StrCat(std::string(option), " is '", std::string(value),
                   "'; expected ", std::string(expected)));
}

/// Parses --platform and --control.
absl::Status ReadAddresses(const RawOptions& raw, CtlOptions* options) {
  constexpr std::string_view kExpected =
      "IP numbers and ports, as in 127.0.0.1:8080";
  if (raw.platform != nullptr) {
    options->platform.emplace();
    if (!ParseAddress(raw.platform, &*options->platform))
      return BadOption("--platform", raw.platform, kExpected);
  }
  if (raw.control == nullptr) return absl::OkStatus();
  const std::vector<std::string> words = absl::StrSplit(raw.control, ',');
  for (const std::string& word : words) {
    if (!ParseAddress(word, &options->control.emplace_back()))
      return BadOption("--control", word, kExpected);
  }
  return absl::OkStatus();
}

/// Parses --timeout and --expect-version.
absl::Status ReadNumbers(const RawOptions& raw, CtlOptions* options) {
  if (raw.timeout_s < 1 || raw.timeout_s > kMaxTimeoutS) {
    return BadOption("--timeout", std::to_string(raw.timeout_s),
                     "1 to 600 seconds");
  }
  options->timeout = Seconds(raw.timeout_s);
  if (raw.expect_version == nullptr) return absl::OkStatus();
  const std::string_view text = raw.expect_version;
  uint64_t n = 0;
  const auto [stop, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || stop != text.data() + text.size())
    return BadOption("--expect-version", text, "a whole number");
  options->expect_version = n;
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<CtlOptions> ParseCtlOptions(int argc, const char** argv) {
  RawOptions raw;
  const poptOption table[] = {
      {"platform", 'p', POPT_ARG_STRING, &raw.platform, 0, nullptr, nullptr},
      {"control", 'c', POPT_ARG_STRING, &raw.control, 0, nullptr, nullptr},
      {"expect-version", 'e', POPT_ARG_STRING, &raw.expect_version, 0, nullptr,
       nullptr},
      {"timeout", 't', POPT_ARG_INT, &raw.timeout_s, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &raw.help, 0, nullptr, nullptr},
      {"version", 'V', POPT_ARG_NONE, &raw.version, 0, nullptr, nullptr},
      POPT_TABLEEND};
  const Context context(poptGetContext("knapweedctl", argc, argv, table, 0));
  const int ec = poptGetNextOpt(context.get());
  if (ec < -1) {
    return absl::InvalidArgumentError(
        absl::StrCat(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), ": ",
                     poptStrerror(ec)));
  }
  CtlOptions options;
  options.help = raw.help != 0;
  options.version = raw.version != 0;
  absl::Status status = ReadAddresses(raw, &options);
  if (status.ok()) status = ReadNumbers(raw, &options);
  if (!status.ok()) return status;
  while (const char* word = poptGetArg(context.get()))
    options.words.emplace_back(word);
  return options;
}

std::string CtlHelp() {
  return R"(Usage: knapweedctl [OPTIONS] COMMAND

Rules
  check FILE            check a rules file and print every fault
  diff FILE             show how a file differs from the rules in force
  apply FILE            put the rules of a file in force; fails with exit code 3
                        when another operator changed the rules after the
                        version that the file is based on
  show                  print the rules in force in the form that apply reads
Keys
  keys issue WORKSPACE  create a key and print it; it can't be printed again
  keys withdraw KEYID   make a key invalid
  keys list             list the ids of all keys, with workspace and state
Processes
  status                show the configuration version of each process named by
                        --control, and whether it is behind
  drain ADDRESS         start the graceful shutdown of a process
  dump ADDRESS          print the state of a process
  explain ID [LOG...]   print the log lines that explain the outcome of a
                        request or program, sorted by time, from the logs of
                        several processes or from standard input

Options
  -p, --platform IP:PORT        the platform's service
  -c, --control IP:PORT,...     control addresses, for status
  -e, --expect-version N        the version that the file of apply is based on
                                (default: its first line '# version N')
  -t, --timeout SECONDS         for each request, 1 to 600 (default 5)
  -h, --help                    print this
  -V, --version                 print the version

Exit codes
  0 success   1 refused, different or behind   2 wrong command line
  3 conflict: another operator's change came first; nothing was changed
  4 the platform or process can't be reached; nothing was changed
  5 unknown: the reply was lost; check with show or keys list before retrying
)";
}

}  // namespace knapweed

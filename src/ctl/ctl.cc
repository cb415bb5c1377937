#include "knapweed/ctl/ctl.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "knapweed/ctl/log_story.h"
#include "knapweed/rules/diff_rules.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kVersion = "0.1.0";
/// Starts the first line of the output of `show`; the version number follows.
/// `apply` reads it back.
constexpr std::string_view kVersionPrefix = "# version ";

/// One run of a command.
struct Command {
  const CtlOptions& options;
  const CtlEnvironment& env;
  /// The last argument of the command; empty when it takes none.
  std::string argument;
};

/// A rules file without its version line.
struct RulesFile {
  std::string text;
  /// The version that the file was edited from; nullopt when the file has no
  /// version line.
  std::optional<uint64_t> base_version;
};

/// Prints an error message for the operator and returns `exit`.
CtlExit Fail(const Command& command, CtlExit exit, std::string_view message) {
  command.env.err << "knapweedctl: " << message << '\n';
  return exit;
}

/// Splits the version line, if there is a valid one, from the rules.
RulesFile SplitVersionLine(std::string text) {
  RulesFile file{std::move(text), std::nullopt};
  if (!file.text.starts_with(kVersionPrefix)) return file;
  const size_t end = std::min(file.text.find('\n'), file.text.size());
  uint64_t n = 0;
  const char* last = file.text.data() + end;
  const auto [stop, ec] =
      std::from_chars(file.text.data() + kVersionPrefix.size(), last, n);
  if (ec != std::errc() || stop != last) return file;
  file.base_version = n;
  file.text.erase(0, std::min(end + 1, file.text.size()));
  return file;
}

/// Reads the rules file that the command names. Prints an error and returns
/// nullopt when it can't be read.
std::optional<RulesFile> ReadFile(const Command& command) {
  std::ifstream in(command.argument);
  std::stringstream text;
  if (in) text << in.rdbuf();
  if (!in) {
    Fail(command, CtlExit::kUsage,
         command.argument + " can't be read: " + std::strerror(errno));
    return std::nullopt;
  }
  return SplitVersionLine(text.str());
}

/// Prints the faults of a rules file with the line numbers of the file on disk,
/// which include the version line.
void PrintFaults(const Command& command, const RulesFile& file,
                 std::vector<RulesFault> faults) {
  if (file.base_version) {
    for (RulesFault& fault : faults) ++fault.line;
  }
  command.env.err << FormatFaults(command.argument, faults);
}

/// Returns the configuration store that --platform names. Prints an error and
/// returns nullopt when the option is missing.
std::optional<ConfigStore> Connect(const Command& command) {
  if (command.options.platform) {
    return command.env.connect(*command.options.platform,
                               command.options.timeout);
  }
  Fail(command, CtlExit::kUsage,
       "name the platform's service with --platform IP:PORT");
  return std::nullopt;
}

/// Reads the configuration in force.
absl::StatusOr<StoredConfig> ReadCurrentConfig(const ConfigStore& store) {
  const absl::StatusOr<ConfigHead> head = ReadConfigHead(store);
  if (!head.ok()) return head.status();
  return ReadConfig(store, *head);
}

CtlExit FailUnreadableConfig(const Command& command,
                             const absl::Status& status) {
  return Fail(command, CtlExit::kUnavailable,
              "the configuration can't be read: " + status.ToString());
}

CtlExit ExitCodeFor(ChangeState state) {
  switch (state) {
    case ChangeState::kApplied:
    case ChangeState::kUnchanged:
      return CtlExit::kOk;
    case ChangeState::kRefused:
      return CtlExit::kRefused;
    case ChangeState::kConflict:
      return CtlExit::kConflict;
    case ChangeState::kUnavailable:
      return CtlExit::kUnavailable;
    case ChangeState::kUnknown:
      return CtlExit::kUnknown;
  }
  return CtlExit::kUnknown;
}

/// Prints the result of a change and returns its exit code.
CtlExit ReportChange(const Command& command, const ChangeResult& change) {
  const CtlExit exit = ExitCodeFor(change.state);
  if (change.state == ChangeState::kApplied)
    command.env.err << "Version " << change.version << " is accepted.\n";
  if (change.state == ChangeState::kUnchanged) {
    command.env.err << "Nothing changed; version " << change.version
                    << " stays in force.\n";
  }
  if (exit != CtlExit::kOk) return Fail(command, exit, change.message);
  return exit;
}

CtlExit Check(const Command& command) {
  const std::optional<RulesFile> file = ReadFile(command);
  if (!file) return CtlExit::kUsage;
  const ParsedRules parsed = ParseRules(file->text);
  if (!parsed.ok()) {
    PrintFaults(command, *file, parsed.faults);
    return Fail(command, CtlExit::kRefused,
                std::to_string(parsed.faults.size()) + " faults in " +
                    command.argument);
  }
  const Rules& rules = parsed.rules;
  command.env.out << command.argument << ": " << rules.routes.size()
                  << " routes, " << rules.pools.size() << " pools, "
                  << rules.workspaces.size() << " workspaces, "
                  << rules.budgets.size() << " budgets, "
                  << rules.domains.size() << " domains; no faults\n";
  return CtlExit::kOk;
}

CtlExit Diff(const Command& command) {
  const std::optional<RulesFile> file = ReadFile(command);
  const std::optional<ConfigStore> store = Connect(command);
  if (!file || !store) return CtlExit::kUsage;
  const absl::StatusOr<StoredConfig> config = ReadCurrentConfig(*store);
  if (!config.ok()) return FailUnreadableConfig(command, config.status());
  const std::vector<RuleChange> changes =
      DiffRules(config->rules_text, file->text);
  for (const RuleChange& change : changes) {
    if (!change.before.empty())
      command.env.out << "- " << change.before << '\n';
    if (!change.after.empty()) command.env.out << "+ " << change.after << '\n';
  }
  command.env.err << changes.size() << " rules differ from version "
                  << config->version << ".\n";
  return changes.empty() ? CtlExit::kOk : CtlExit::kRefused;
}

CtlExit Apply(const Command& command) {
  const std::optional<RulesFile> file = ReadFile(command);
  const std::optional<ConfigStore> store = Connect(command);
  if (!file || !store) return CtlExit::kUsage;
  std::optional<uint64_t> expected = command.options.expect_version;
  if (!expected) expected = file->base_version;
  const ChangeResult change = ApplyRules(*store, file->text, expected);
  PrintFaults(command, *file, change.faults);
  return ReportChange(command, change);
}

CtlExit Show(const Command& command) {
  const std::optional<ConfigStore> store = Connect(command);
  if (!store) return CtlExit::kUsage;
  const absl::StatusOr<StoredConfig> config = ReadCurrentConfig(*store);
  if (!config.ok()) return FailUnreadableConfig(command, config.status());
  command.env.out << kVersionPrefix << config->version << '\n'
                  << config->rules_text;
  return CtlExit::kOk;
}

CtlExit IssueKeyCommand(const Command& command) {
  const std::optional<ConfigStore> store = Connect(command);
  if (!store) return CtlExit::kUsage;
  const IssuedKeyResult key = IssueKey(*store, WorkspaceId(command.argument));
  if (!key.key_text.empty()) command.env.out << key.key_text << '\n';
  const CtlExit exit = ReportChange(command, key.change);
  if (exit == CtlExit::kOk) {
    command.env.err << "The key can't be shown again; its id is " << key.key_id
                    << ".\n";
  }
  return exit;
}

CtlExit WithdrawKeyCommand(const Command& command) {
  const std::optional<ConfigStore> store = Connect(command);
  if (!store) return CtlExit::kUsage;
  return ReportChange(command, WithdrawKey(*store, command.argument));
}

CtlExit ListKeys(const Command& command) {
  const std::optional<ConfigStore> store = Connect(command);
  if (!store) return CtlExit::kUsage;
  const absl::StatusOr<StoredConfig> config = ReadCurrentConfig(*store);
  if (!config.ok()) return FailUnreadableConfig(command, config.status());
  for (const KeyRecord& key : config->keys) {
    command.env.out << key.id << ' ' << key.workspace.value << ' '
                    << (key.withdrawn ? "withdrawn" : "live") << '\n';
  }
  return CtlExit::kOk;
}

/// Sends a request without a body to a process and returns the body of its
/// reply. Prints an error and returns nullopt when there is no reply or its
/// status is not 2xx.
std::optional<std::string> CallProcess(const Command& command,
                                       const Address& address,
                                       std::string_view method,
                                       std::string_view path) {
  HttpRequest request;
  request.method = std::string(method);
  request.path = std::string(path);
  const absl::StatusOr<HttpReply> reply =
      command.env.call(address, request, command.options.timeout);
  std::string error;
  if (!reply.ok()) error = reply.status().ToString();
  if (reply.ok() && reply->status / 100 != 2)
    error = "status " + std::to_string(reply->status) + " " + reply->body;
  if (error.empty()) return reply->body;
  Fail(command, CtlExit::kUnavailable, address.ToString() + ": " + error);
  return std::nullopt;
}

/// Calls the process whose control address is the command's argument and prints
/// the reply, indented when it is JSON.
CtlExit CallAndPrint(const Command& command, std::string_view method,
                     std::string_view path) {
  Address address;
  if (!ParseAddress(command.argument, &address)) {
    return Fail(command, CtlExit::kUsage,
                "'" + command.argument +
                    "' is not a control address; expected an IP number and "
                    "port, as in 127.0.0.1:8080");
  }
  const auto body = CallProcess(command, address, method, path);
  if (!body) return CtlExit::kUnavailable;
  const Json json = Json::parse(*body, nullptr, false);
  command.env.out << (json.is_discarded() ? *body : json.dump(2)) << '\n';
  return CtlExit::kOk;
}

CtlExit Drain(const Command& command) {
  return CallAndPrint(command, "POST", "/drain");
}

CtlExit Dump(const Command& command) {
  return CallAndPrint(command, "GET", "/state");
}

/// Returns the configuration version from the reply to GET /state, or 0 when it
/// has none.
uint64_t VersionInState(std::string_view state) {
  const Json json = Json::parse(state, nullptr, false);
  if (!json.is_object()) return 0;
  const auto it = json.find("config_version");
  const bool number = it != json.end() && it->is_number_unsigned();
  return number ? it->get<uint64_t>() : 0;
}

CtlExit Status(const Command& command) {
  const std::optional<ConfigStore> store = Connect(command);
  if (!store) return CtlExit::kUsage;
  if (command.options.control.empty()) {
    return Fail(command, CtlExit::kUsage,
                "name the processes with --control IP:PORT,...");
  }
  const absl::StatusOr<ConfigHead> head = ReadConfigHead(*store);
  if (!head.ok()) return FailUnreadableConfig(command, head.status());
  command.env.out << "accepted " << head->version << '\n';
  CtlExit exit = CtlExit::kOk;
  for (const Address& address : command.options.control) {
    const auto state = CallProcess(command, address, "GET", "/state");
    const uint64_t version = state ? VersionInState(*state) : 0;
    const bool behind = version < head->version;
    command.env.out << address.ToString() << ' '
                    << (state ? std::to_string(version) : "unreachable")
                    << (state && behind ? " behind" : "") << '\n';
    if (behind) exit = CtlExit::kRefused;
  }
  return exit;
}

/// Prints the log lines about the id in the first argument. The other arguments
/// name log files; without them, reads standard input.
CtlExit Explain(const Command& command) {
  const std::vector<std::string>& words = command.options.words;
  const std::string& id = words[1];
  std::vector<LogLine> lines;
  size_t unreadable = 0;
  if (words.size() == 2) unreadable = ReadLog("-", command.env.in, &lines);
  for (size_t i = 2; i < words.size(); ++i) {
    std::ifstream file(words[i]);
    if (!file) {
      return Fail(command, CtlExit::kUsage, words[i] + " can't be read");
    }
    const std::string name = std::filesystem::path(words[i]).stem().string();
    unreadable += ReadLog(name, file, &lines);
  }
  if (unreadable > 0) {
    command.env.err << "knapweedctl: skipped " << unreadable
                    << " lines that are not structured log lines\n";
  }
  const std::vector<LogLine> timeline = FindRelatedLines(lines, id);
  if (timeline.empty()) {
    return Fail(command, CtlExit::kRefused,
                "none of the " + std::to_string(lines.size()) +
                    " log lines mentions '" + id + "'");
  }
  PrintTimeline(timeline, command.env.out);
  return CtlExit::kOk;
}

/// A row of the command table.
struct CommandEntry {
  /// The words that select the command, such as {"keys", "issue"}.
  std::vector<std::string_view> words;
  /// Name of the argument for usage messages; empty when the command takes
  /// none.
  std::string_view argument;
  CtlExit (*run)(const Command&);
  /// Whether more arguments may follow the first.
  bool allows_more_arguments = false;
};

const std::vector<CommandEntry>& AllCommands() {
  static const auto* const kCommands = new std::vector<CommandEntry>{
      {{"check"}, "FILE", Check},
      {{"diff"}, "FILE", Diff},
      {{"apply"}, "FILE", Apply},
      {{"show"}, "", Show},
      {{"keys", "issue"}, "WORKSPACE", IssueKeyCommand},
      {{"keys", "withdraw"}, "KEYID", WithdrawKeyCommand},
      {{"keys", "list"}, "", ListKeys},
      {{"status"}, "", Status},
      {{"drain"}, "ADDRESS", Drain},
      {{"dump"}, "ADDRESS", Dump},
      {{"explain"}, "ID", Explain, true},
  };
  return *kCommands;
}

bool StartsWith(const std::vector<std::string>& words,
                const std::vector<std::string_view>& prefix) {
  return words.size() >= prefix.size() &&
         std::equal(prefix.begin(), prefix.end(), words.begin());
}

/// Checks the number of arguments and runs the command.
CtlExit RunCommand(const CommandEntry& entry, const CtlOptions& options,
                   const CtlEnvironment& env) {
  Command command{options, env, ""};
  const size_t expected_words =
      entry.words.size() + (entry.argument.empty() ? 0 : 1);
  const bool argument_count_ok =
      options.words.size() == expected_words ||
      (entry.allows_more_arguments && options.words.size() > expected_words);
  if (!argument_count_ok) {
    return Fail(command, CtlExit::kUsage,
                "'" + options.words.front() + "' takes " +
                    (entry.argument.empty() ? "no argument"
                                            : std::string(entry.argument)) +
                    "; see --help");
  }
  if (!entry.argument.empty()) command.argument = options.words.back();
  return entry.run(command);
}

}  // namespace

CtlExit RunCtl(const CtlOptions& options, const CtlEnvironment& environment) {
  if (options.help) {
    environment.out << CtlHelp();
    return CtlExit::kOk;
  }
  if (options.version) {
    environment.out << "knapweedctl " << kVersion << '\n';
    return CtlExit::kOk;
  }
  for (const CommandEntry& entry : AllCommands()) {
    if (StartsWith(options.words, entry.words))
      return RunCommand(entry, options, environment);
  }
  environment.err << (options.words.empty()
                          ? "knapweedctl: no command; see --help\n"
                          : "knapweedctl: no such command; see --help\n");
  return CtlExit::kUsage;
}

}  // namespace knapweed

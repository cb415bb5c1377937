#ifndef KNAPWEED_CTL_LOG_STORY_H_
#define KNAPWEED_CTL_LOG_STORY_H_

#include <istream>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

/// Collects the log lines of several processes that explain the outcome of one
/// request or program.
namespace knapweed {

/// One `key=value` pair of a log line, unquoted.
struct LogEntryField {
  std::string key;
  std::string value;
};

/// One parsed line of a process's structured log.
struct LogLine {
  /// The process that wrote the line: the name that a log collector put before
  /// it, otherwise the name of the file.
  std::string source;
  absl::Time time;
  std::string part;
  std::string event;
  /// All fields except ts, part and event, in the order of the line.
  std::vector<LogEntryField> fields;

  /// Returns the value of the first field `key`, or an empty text when there is
  /// none.
  std::string_view Get(std::string_view key) const;
};

/// Parses a line of `key=value` pairs. Returns nullopt unless it has a time, a
/// part and an event; lines of other programs lack them.
std::optional<LogLine> ParseLogLine(std::string_view source,
                                    std::string_view text);

/// Appends the lines of one log to `lines`. Returns the number of non-empty
/// lines that could not be parsed.
size_t ReadLog(std::string_view source, std::istream& in,
               std::vector<LogLine>* lines);

/// Returns the lines about `id`, which identifies a request, turn or program,
/// sorted by time. These are the lines that mention the id (for a program, also
/// those that mention one of its requests) and, around each of its calls, the
/// lines that may explain the outcome: events of the store, the configuration
/// and the gateway in the same process, and events of the call's upstream in
/// any process. Returns no lines when nothing mentions the id.
std::vector<LogLine> FindRelatedLines(std::span<const LogLine> lines,
                                      std::string_view id);

/// Prints the time of the first line, then each line with its offset from that
/// time in milliseconds. Omits empty fields and the log level.
void PrintTimeline(std::span<const LogLine> timeline, std::ostream& out);

}  // namespace knapweed

#endif  // KNAPWEED_CTL_LOG_STORY_H_

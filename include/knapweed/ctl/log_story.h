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

/// Tells from the structured logs of several processes what became of one
/// request or program, and why.
namespace knapweed {

struct LogEntryField {
  std::string key;
  std::string value;
};

/// One line of a process's log.
struct LogLine {
  /// Name of the file, which mostly names the process.
  std::string source;
  absl::Time time;
  std::string part;
  std::string event;
  std::vector<LogEntryField> fields;

  /// The value under `key`; empty when there is none.
  std::string_view Get(std::string_view key) const;
};

/// Reads a line of `key=value` pairs; none when it has no time, part and event,
/// as lines of other programs have not.
std::optional<LogLine> ParseLogLine(std::string_view source,
                                    std::string_view text);

/// Appends the lines of one log. Returns how many could not be read.
size_t ReadLog(std::string_view source, std::istream& in,
               std::vector<LogLine>* lines);

/// The lines that tell of `id`, a request's or a program's, in the order of
/// time: those that name it, and around each of its calls what the same process
/// learnt of the store and the configuration and any learnt of the upstreams
/// that the call went to.
std::vector<LogLine> FindRelatedLines(std::span<const LogLine> lines,
                                      std::string_view id);

/// Prints a story, each line with its distance in time from the first.
void PrintTimeline(std::span<const LogLine> timeline, std::ostream& out);

}  // namespace knapweed

#endif  // KNAPWEED_CTL_LOG_STORY_H_

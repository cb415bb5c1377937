#include "knapweed/ctl/log_story.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace knapweed {
namespace {

/// A change of the store, configuration or upstream may affect calls that start
/// up to this long after it.
constexpr absl::Duration kContextBeforeCall = absl::Seconds(10);
/// Events later than this after the end of a call can't have affected it.
constexpr absl::Duration kContextAfterCall = absl::Milliseconds(50);
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%E*S";
constexpr std::string_view kCallEnded = "Call ended.";

/// The process, period and upstream of one call.
struct CallSpan {
  /// The process that logged the call.
  std::string source;
  absl::Time start;
  absl::Time end;
  /// Empty when the call reached none.
  std::string upstream;
};

absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

/// Removes a value from the front of `text` and returns it unquoted. The value
/// ends at a space or, when it is quoted, at the closing quote; a backslash
/// escapes the next character.
std::string ConsumeValue(std::string_view* text) {
  std::string value;
  if (!text->starts_with('"')) {
    const size_t end = std::min(text->find(' '), text->size());
    value = text->substr(0, end);
    text->remove_prefix(end);
    return value;
  }
  text->remove_prefix(1);
  while (!text->empty() && text->front() != '"') {
    if (text->front() == '\\' && text->size() > 1) text->remove_prefix(1);
    value.push_back(text->front());
    text->remove_prefix(1);
  }
  if (!text->empty()) text->remove_prefix(1);
  return value;
}

/// Whether a field that holds an id has the value `id`.
bool MentionsId(const LogLine& line, std::string_view id) {
  constexpr std::string_view kKeys[] = {"request", "program", "turn"};
  return std::any_of(std::begin(kKeys), std::end(kKeys),
                     [&](std::string_view key) { return line.Get(key) == id; });
}

/// Returns the span of a call from its "Call ended." line.
CallSpan MakeCallSpan(const LogLine& line) {
  int64_t duration_ms = 0;
  // Without a valid duration the span is empty.
  if (!absl::SimpleAtoi(ToAbslView(line.Get("ms")), &duration_ms))
    duration_ms = 0;
  return {line.source, line.time - absl::Milliseconds(duration_ms), line.time,
          std::string(line.Get("upstream"))};
}

/// Whether the line, which need not mention `call`, may explain its outcome: an
/// event of the call's upstream in any process, or an event of the store, the
/// configuration or the gateway in the process of the call.
bool MayHaveAffected(const LogLine& line, const CallSpan& call) {
  if (line.time < call.start - kContextBeforeCall ||
      line.time > call.end + kContextAfterCall)
    return false;
  if (line.part == "watch" || line.part == "crashes") {
    const std::string_view upstream = line.Get("upstream");
    if (!upstream.empty()) return upstream == call.upstream;
  }
  const bool process_wide =
      line.part == "store" || line.part == "watch" ||
      (line.part == "gateway" && line.event != "Counters.");
  return process_wide && line.source == call.source;
}

}  // namespace

std::string_view LogLine::Get(std::string_view key) const {
  for (const LogEntryField& field : fields) {
    if (field.key == key) return field.value;
  }
  return {};
}

std::optional<LogLine> ParseLogLine(std::string_view source,
                                    std::string_view text) {
  // A log collector may put a time and the name of the source before the line;
  // the name comes last.
  const size_t begin = text.find("ts=");
  if (begin == std::string_view::npos) return std::nullopt;
  const std::vector<std::string> prefix_words =
      absl::StrSplit(ToAbslView(text.substr(0, begin)), ' ', absl::SkipEmpty());
  text.remove_prefix(begin);
  LogLine line;
  line.source =
      prefix_words.empty() ? std::string(source) : prefix_words.back();
  bool has_time = false;
  while (!text.empty()) {
    const size_t equals = text.find('=');
    if (equals == std::string_view::npos) break;
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    std::string value = ConsumeValue(&text);
    while (text.starts_with(' ')) text.remove_prefix(1);
    if (key == "ts") {
      has_time = absl::ParseTime(kTimeFormat, value, &line.time, nullptr);
    } else if (key == "part") {
      line.part = std::move(value);
    } else if (key == "event") {
      line.event = std::move(value);
    } else {
      line.fields.push_back({std::move(key), std::move(value)});
    }
  }
  if (!has_time || line.part.empty() || line.event.empty()) return std::nullopt;
  return line;
}

size_t ReadLog(std::string_view source, std::istream& in,
               std::vector<LogLine>* lines) {
  size_t unreadable = 0;
  std::string text;
  while (std::getline(in, text)) {
    std::optional<LogLine> line = ParseLogLine(source, text);
    if (line.has_value()) {
      lines->push_back(*std::move(line));
    } else if (!text.empty()) {
      ++unreadable;
    }
  }
  return unreadable;
}

std::vector<LogLine> FindRelatedLines(std::span<const LogLine> lines,
                                      std::string_view id) {
  if (id.empty()) return {};
  std::set<std::string, std::less<>> ids{std::string(id)};
  for (const LogLine& line : lines) {
    // `id` is a program: include the lines of its requests.
    if (line.Get("program") == id) ids.emplace(line.Get("request"));
  }
  // Lines of calls without a request id added an empty one.
  ids.erase("");
  const auto mentions_any_id = [&](const LogLine& line) {
    return std::any_of(ids.begin(), ids.end(),
                       [&](const std::string& related_id) {
                         return MentionsId(line, related_id);
                       });
  };
  std::vector<CallSpan> calls;
  for (const LogLine& line : lines) {
    if (line.event == kCallEnded && mentions_any_id(line)) {
      calls.push_back(MakeCallSpan(line));
    }
  }
  std::vector<LogLine> timeline;
  for (const LogLine& line : lines) {
    const bool affected_a_call = std::any_of(
        calls.begin(), calls.end(),
        [&](const CallSpan& call) { return MayHaveAffected(line, call); });
    if (affected_a_call || mentions_any_id(line)) timeline.push_back(line);
  }
  std::stable_sort(
      timeline.begin(), timeline.end(),
      [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return timeline;
}

void PrintTimeline(std::span<const LogLine> timeline, std::ostream& out) {
  if (timeline.empty()) return;
  const absl::Time start = timeline.front().time;
  out << "from " << absl::FormatTime(kTimeFormat, start, absl::UTCTimeZone())
      << '\n';
  for (const LogLine& line : timeline) {
    const double ms = absl::ToDoubleMilliseconds(line.time - start);
    out << absl::StrFormat("%+10.1f ms  %s  %s: %s", ms, line.source, line.part,
                           line.event);
    for (const LogEntryField& field : line.fields) {
      const bool omitted = field.value.empty() || field.key == "level";
      if (!omitted) out << ' ' << field.key << '=' << field.value;
    }
    out << '\n';
  }
}

}  // namespace knapweed

#include "knapweed/ctl/log_story.h"

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace knapweed {
namespace {

/// What a process learnt this long before a call began may still have decided
/// it; what came later than a little after its end can't have.
constexpr absl::Duration kContextBeforeCall = absl::Seconds(10);
constexpr absl::Duration kContextAfterCall = absl::Milliseconds(50);
constexpr char kTimeFormat[] = "%Y-%m-%dT%H:%M:%E*S";
constexpr std::string_view kCallEnded = "Call ended.";

/// A call of the story: where and when it was under way, and what it touched.
struct CallSpan {
  std::string source;
  absl::Time start;
  absl::Time end;
  std::string upstream;
};

absl::string_view ToAbslView(std::string_view text) {
  return {text.data(), text.size()};
}

/// Takes a value off the front of `text`: up to a space, or a quoted one with
/// backslashes before quotes and backslashes.
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

bool MentionsId(const LogLine& line, std::string_view id) {
  constexpr std::string_view kKeys[] = {"request", "program", "turn"};
  return std::any_of(std::begin(kKeys), std::end(kKeys),
                     [&](std::string_view key) { return line.Get(key) == id; });
}

CallSpan MakeCallSpan(const LogLine& line) {
  int64_t duration_ms = 0;
  // A line without it spans no time.
  if (!absl::SimpleAtoi(ToAbslView(line.Get("ms")), &duration_ms))
    duration_ms = 0;
  return {line.source, line.time - absl::Milliseconds(duration_ms), line.time,
          std::string(line.Get("upstream"))};
}

/// Whether the line tells what `call` was decided by, without naming it.
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
  // A collector of several logs puts a name before the line, maybe behind a
  // time of its own.
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
    // A program's story is that of its requests.
    if (line.Get("program") == id) ids.emplace(line.Get("request"));
  }
  // A call may have come without an id.
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

#include "knapweed/base/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <string>

#include "knapweed/base/clock.h"

namespace knapweed {
namespace {

namespace logging = boost::log;
using Severity = logging::trivial::severity_level;

Severity ToSeverity(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return logging::trivial::debug;
    case LogLevel::kInfo:
      return logging::trivial::info;
    case LogLevel::kWarning:
      return logging::trivial::warning;
    case LogLevel::kError:
      return logging::trivial::error;
  }
  return logging::trivial::error;
}

/// Buffers the lines of the structured log and writes them to standard output
/// without blocking. Safe from any thread.
class LineOutput {
 public:
  /// Returns whether `event` may write another line in the current second;
  /// counts the line as dropped if not.
  bool Admit(std::string_view event) {
    const std::lock_guard lock(mu_);
    const int64_t second = WallTime().count / 1000;
    Quota& quota = quotas_[event];
    if (quota.second != second) quota = {second, 0};
    if (++quota.lines <= kMaxLinesPerSecond) return true;
    ++dropped_;
    return false;
  }

  void Append(const std::string& line) {
    const std::lock_guard lock(mu_);
    if (buf_.size() + line.size() > kMaxBufferBytes) {
      ++dropped_;
      return;
    }
    buf_.append(line).push_back('\n');
    if (buf_.size() >= kMaxWriteBytes) FlushLocked();
  }

  void Flush() {
    const std::lock_guard lock(mu_);
    if (dropped_ > 0 && buf_.size() < kMaxBufferBytes) {
      buf_.append("level=warning part=log event=\"Dropped log lines.\" lines=" +
                  std::to_string(dropped_) + "\n");
      dropped_ = 0;
    }
    FlushLocked();
  }

 private:
  struct Quota {
    int64_t second = 0;
    uint32_t lines = 0;
  };

  /// Lines of one event per second: enough for one line per call of a busy
  /// gateway. More repetitions of a failure add no information.
  static constexpr uint32_t kMaxLinesPerSecond = 400;
  static constexpr size_t kMaxBufferBytes = 1 << 18;
  /// PIPE_BUF on Linux: a pipe that poll() reports as writable accepts this
  /// much without blocking.
  static constexpr size_t kMaxWriteBytes = 4096;

  void FlushLocked() {
    size_t written = 0;
    while (written < buf_.size()) {
      pollfd ready{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) break;
      const ssize_t n = write(STDOUT_FILENO, buf_.data() + written,
                              std::min(kMaxWriteBytes, buf_.size() - written));
      if (n <= 0) break;
      written += static_cast<size_t>(n);
    }
    buf_.erase(0, written);
  }

  std::mutex mu_;
  std::string buf_;
  uint64_t dropped_ = 0;
  /// By event text. The texts are string literals, so that views of them stay
  /// valid.
  std::map<std::string_view, Quota> quotas_;
};

LineOutput& BoundedOutput() {
  static LineOutput* output = new LineOutput;
  return *output;
}

// Appends a value, in quotes if it holds a space, a quote or a line break, so
// that a line can be split into its fields.
void AppendValue(std::string_view value, std::string* line) {
  const bool plain = value.find_first_of(" \"\n") == std::string_view::npos;
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (char c : value) {
    if (c == '"' || c == '\\') line->push_back('\\');
    line->push_back(c == '\n' ? ' ' : c);
  }
  line->push_back('"');
}

std::atomic<bool> structured{false};

void Write(LogLevel level, std::string_view part, std::string_view text,
           std::initializer_list<LogField> fields) {
  std::string line;
  if (structured.load(std::memory_order_relaxed)) {
    if (!BoundedOutput().Admit(text)) return;
    line.append("part=").append(part).append(" event=");
    AppendValue(text, &line);
  } else {
    line.append("[").append(part).append("] ").append(text);
  }
  for (const LogField& field : fields) {
    line.append(" ").append(field.name).append("=");
    AppendValue(field.value, &line);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
      logging::trivial::logger::get(),
      (logging::keywords::severity = ToSeverity(level)))
      << line;
}

/// Passes formatted lines to `BoundedOutput()`.
class LineBackend : public logging::sinks::basic_formatted_sink_backend<
                        char, logging::sinks::synchronized_feeding> {
 public:
  void consume(  // NOLINT(readability-identifier-naming): a Boost.Log name.
      const logging::record_view& /*record*/, const std::string& line) {
    BoundedOutput().Append(line);
  }
};

}  // namespace

void Logger::Debug(std::string_view text,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kDebug, part_, text, fields);
}

void Logger::Info(std::string_view text,
                  std::initializer_list<LogField> fields) const {
  Write(LogLevel::kInfo, part_, text, fields);
}

void Logger::Warning(std::string_view text,
                     std::initializer_list<LogField> fields) const {
  Write(LogLevel::kWarning, part_, text, fields);
}

void Logger::Error(std::string_view text,
                   std::initializer_list<LogField> fields) const {
  Write(LogLevel::kError, part_, text, fields);
}

void StartLog(LogLevel level) {
  namespace expr = logging::expressions;
  logging::add_common_attributes();
  logging::add_console_log(
      std::clog, logging::keywords::auto_flush = true,
      logging::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << logging::trivial::severity << " "
                        << expr::smessage));
  SetLogLevel(level);
}

void StartStructuredLog(LogLevel level) {
  namespace expr = logging::expressions;
  logging::add_common_attributes();
  auto sink =
      boost::make_shared<logging::sinks::synchronous_sink<LineBackend>>();
  sink->set_formatter(expr::stream
                      << "ts="
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                      << " level=" << logging::trivial::severity << " "
                      << expr::smessage);
  logging::core::get()->add_sink(sink);
  structured.store(true);
  SetLogLevel(level);
}

void FlushLog() {
  if (structured.load(std::memory_order_relaxed)) BoundedOutput().Flush();
}

void SetLogLevel(LogLevel level) {
  logging::core::get()->set_filter(logging::trivial::severity >=
                                   ToSeverity(level));
}

}  // namespace knapweed

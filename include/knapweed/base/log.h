#ifndef KNAPWEED_BASE_LOG_H_
#define KNAPWEED_BASE_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace knapweed {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One `name=value` pair at the end of a log line.
struct LogField {
  std::string_view name;
  std::string value;

  LogField(std::string_view n, std::string_view v) : name(n), value(v) {}
  LogField(std::string_view n, const std::string& v) : name(n), value(v) {}
  LogField(std::string_view n, const char* v) : name(n), value(v) {}
  template <std::integral T>
  LogField(std::string_view n, T v) : name(n), value(std::to_string(v)) {}
};

/// Writes the log lines of one part of the program, each marked with the part's
/// name. Safe from any thread.
///
/// Example: `kLog.Info("Took over a partition.", {{"partition", 3}, {"epoch",
/// 8}});` prints `2026-03-01T08:00:00.123 info [membership] Took over a
/// partition. partition=3 epoch=8`.
class Logger {
 public:
  constexpr explicit Logger(std::string_view part) : part_(part) {}

  void Debug(std::string_view text,
             std::initializer_list<LogField> fields = {}) const;
  void Info(std::string_view text,
            std::initializer_list<LogField> fields = {}) const;
  void Warning(std::string_view text,
               std::initializer_list<LogField> fields = {}) const;
  void Error(std::string_view text,
             std::initializer_list<LogField> fields = {}) const;

 private:
  std::string_view part_;
};

/// Starts logging to standard error; lines below `level` are discarded. If no
/// log is started, lines of all levels are written in Boost.Log's default
/// format.
void StartLog(LogLevel level);

/// Starts logging to standard output in lines of key=value pairs: `ts`,
/// `level`, `part`, `event` and the fields. Logging never blocks: lines are
/// kept in a bounded buffer while the output can't be written. Lines that do
/// not fit, and those over the per-second limit of their event, are dropped; a
/// log line reports how many.
void StartStructuredLog(LogLevel level);

/// Writes as much of the structured log's buffer as possible without blocking.
/// Call it regularly and before the process exits.
void FlushLog();

/// Sets the level below which lines are discarded.
void SetLogLevel(LogLevel level);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_LOG_H_

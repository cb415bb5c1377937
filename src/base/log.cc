#include "knapweed/base/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

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

// Quotes a value that holds a space or a quote, so that a line splits into
// fields unambiguously.
void AppendValue(std::string_view value, std::string* line) {
  const bool plain = value.find_first_of(" \"\n") == std::string_view::npos;
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (char c : value) {
    if (c == '"') line->push_back('\\');
    line->push_back(c == '\n' ? ' ' : c);
  }
  line->push_back('"');
}

void Write(LogLevel level, std::string_view part, std::string_view text,
           std::initializer_list<LogField> fields) {
  std::string line;
  line.append("[").append(part).append("] ").append(text);
  for (const LogField& field : fields) {
    line.append(" ").append(field.name).append("=");
    AppendValue(field.value, &line);
  }
  BOOST_LOG_STREAM_WITH_PARAMS(
      logging::trivial::logger::get(),
      (logging::keywords::severity = ToSeverity(level)))
      << line;
}

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

void SetLogLevel(LogLevel level) {
  logging::core::get()->set_filter(logging::trivial::severity >=
                                   ToSeverity(level));
}

}  // namespace knapweed

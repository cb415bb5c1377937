#include "knapweed/base/settings.h"

#include <arpa/inet.h>
#include <ini.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "knapweed/base/parse.h"

namespace knapweed {
namespace {

std::string FullKey(std::string_view section, std::string_view key) {
  std::string full_key(section);
  full_key.append(".").append(key);
  return full_key;
}

std::string AtLine(const std::string& file, int line, std::string_view text) {
  return file + ":" + std::to_string(line) + ": " + std::string(text);
}

/// Returns the text of a figure with a leading "false" read as 0.
std::string FigureText(std::string_view text) {
  constexpr std::string_view kOff = "false";
  if (!text.starts_with(kOff)) return std::string(text);
  return "0" + std::string(text.substr(kOff.size()));
}

/// Returns whether nothing stands before the unit of a span.
bool HasNoNumber(std::string_view span) {
  return span.empty() || span == "ms" || span == "s" || span == "m" ||
         span == "h";
}

}  // namespace

bool ParseAddress(std::string_view text, Address* address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const std::string host(text.substr(0, colon));
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) return false;
  int64_t port = 0;
  if (!ParseNumber(text.substr(colon + 1), &port) || port < 1 || port > 65535)
    return false;
  *address = Address{host, static_cast<uint16_t>(port)};
  return true;
}

Settings Settings::Load(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    Settings settings;
    settings.name_ = path;
    settings.Fault(0, std::string("can't be read: ") + std::strerror(errno));
    settings.unreadable_ = true;
    return settings;
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str(), path);
}

Settings Settings::Parse(std::string_view text, std::string name) {
  Settings settings;
  settings.name_ = std::move(name);
  IniSource source{&settings, text, 0};
  const int line = ini_parse_stream(ReadLine, &source, OnValue, &source);
  if (line > 0) settings.Fault(line, "expected 'key = value' or '[section]'");
  return settings;
}

// Reads the next line for the INI parser and counts it: the packaged build of
// inih does not pass line numbers to its value handler.
char* Settings::ReadLine(char* buf, int size, void* stream) {
  IniSource& source = *static_cast<IniSource*>(stream);
  if (source.rest.empty() || size < 2) return nullptr;
  size_t n = std::min(source.rest.find('\n'), source.rest.size() - 1) + 1;
  n = std::min(n, static_cast<size_t>(size) - 1);
  std::memcpy(buf, source.rest.data(), n);
  buf[n] = '\0';
  source.rest.remove_prefix(n);
  ++source.line;
  return buf;
}

int Settings::OnValue(void* user, const char* section, const char* name,
                      const char* value) {
  IniSource& source = *static_cast<IniSource*>(user);
  const std::string full_key = FullKey(section, name);
  const auto [it, added] = source.settings->values_.try_emplace(
      full_key, Value{value, source.line, false});
  if (!added)
    source.settings->Fault(source.line, "'" + full_key + "' is set twice");
  return 1;
}

Settings::Value* Settings::Find(std::string_view section,
                                std::string_view key) {
  const auto it = values_.find(FullKey(section, key));
  if (it == values_.end()) return nullptr;
  it->second.used = true;
  return &it->second;
}

void Settings::Fault(int line, std::string_view text) {
  faults_.push_back(AtLine(name_, line, text));
}

std::string Settings::Describe(std::string_view section, std::string_view key,
                               std::string_view fault) {
  const Value* value = Find(section, key);
  return AtLine(name_, value == nullptr ? 0 : value->line,
                "'" + FullKey(section, key) + "' " + std::string(fault));
}

void Settings::AddFault(std::string_view section, std::string_view key,
                        std::string_view fault) {
  faults_.push_back(Describe(section, key, fault));
}

void Settings::AddFigureFault(std::string_view section, std::string_view key,
                              std::string_view fault) {
  figure_faults_.push_back(Describe(section, key, fault));
}

std::string Settings::GetString(std::string_view section,
                                std::string_view key) {
  const Value* value = Find(section, key);
  if (value != nullptr && !value->text.empty()) return value->text;
  AddFault(section, key, "is missing; it must be set");
  return "";
}

std::string Settings::GetString(std::string_view section, std::string_view key,
                                std::string_view fallback) {
  const Value* value = Find(section, key);
  return value == nullptr ? std::string(fallback) : value->text;
}

std::vector<std::string> Settings::GetList(std::string_view section,
                                           std::string_view key,
                                           std::string_view fallback) {
  const std::string text = GetString(section, key, fallback);
  std::vector<std::string> words;
  for (absl::string_view word :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    words.emplace_back(absl::StripAsciiWhitespace(word));
  }
  return words;
}

int64_t Settings::GetInt(std::string_view section, std::string_view key,
                         int64_t fallback, int64_t low, int64_t high) {
  const Value* value = Find(section, key);
  if (value == nullptr) return fallback;
  int64_t n = 0;
  if (ParseNumber(value->text, &n) && n >= low && n <= high) return n;
  AddFigureFault(section, key,
                 "is '" + value->text + "'; expected a whole number from " +
                     std::to_string(low) + " to " + std::to_string(high));
  return fallback;
}

double Settings::GetFigure(std::string_view section, std::string_view key,
                           double fallback, double low, double high) {
  const Value* value = Find(section, key);
  if (value == nullptr || value->text.empty()) return fallback;
  double n = 0;
  const bool is_number = ParseDecimal(FigureText(value->text), &n);
  if (is_number && n >= low && n <= high) return n;
  AddFigureFault(section, key,
                 "is '" + value->text + "'; expected a number from " +
                     absl::StrCat(low, " to ", high));
  return fallback;
}

bool Settings::GetBool(std::string_view section, std::string_view key,
                       bool fallback) {
  const Value* value = Find(section, key);
  if (value == nullptr) return fallback;
  if (value->text == "true") return true;
  if (value->text == "false") return false;
  AddFault(section, key, "is '" + value->text + "'; expected true or false");
  return fallback;
}

Ms Settings::GetMs(std::string_view section, std::string_view key,
                   Ms fallback) {
  const Value* value = Find(section, key);
  if (value == nullptr || HasNoNumber(value->text)) return fallback;
  Ms span;
  if (ParseSpan(FigureText(value->text), &span)) return span;
  AddFigureFault(
      section, key,
      "is '" + value->text +
          "'; expected a number with its unit: ms, s, m or h, as in 250ms");
  return fallback;
}

Address Settings::GetAddress(std::string_view section, std::string_view key) {
  Address address;
  const std::string text = GetString(section, key);
  if (text.empty() || ParseAddress(text, &address)) return address;
  AddFault(section, key,
           "is '" + text +
               "'; expected an IP address and port, as in 127.0.0.1:8080");
  return address;
}

std::vector<Address> Settings::GetAddresses(std::string_view section,
                                            std::string_view key,
                                            std::string_view fallback) {
  std::vector<Address> addresses;
  for (const std::string& text : GetList(section, key, fallback)) {
    Address address;
    if (ParseAddress(text, &address)) {
      addresses.push_back(address);
      continue;
    }
    AddFault(section, key,
             "holds '" + text +
                 "'; expected IP addresses and ports, as in 127.0.0.1:8080");
  }
  return addresses;
}

absl::Status Settings::StatusOf(std::vector<std::string> faults) const {
  // If the file could not be read, every required setting is missing; the read
  // error is the only useful message.
  if (unreadable_) return absl::InvalidArgumentError(faults_.front());
  for (const auto& [key, value] : values_) {
    if (value.used) continue;
    faults.push_back(
        AtLine(name_, value.line, "'" + key + "' is not a known setting"));
  }
  if (faults.empty()) return absl::OkStatus();
  return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
}

absl::Status Settings::Check() const {
  std::vector<std::string> faults = faults_;
  faults.insert(faults.end(), figure_faults_.begin(), figure_faults_.end());
  return StatusOf(std::move(faults));
}

absl::Status Settings::CheckWithoutFigures() const { return StatusOf(faults_); }

}  // namespace knapweed

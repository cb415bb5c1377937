#ifndef KNAPWEED_BASE_SETTINGS_H_
#define KNAPWEED_BASE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "knapweed/base/clock.h"

namespace knapweed {

/// An IP number and port.
struct Address {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  std::string ToString() const { return host + ":" + std::to_string(port); }
};

/// Parses "127.0.0.1:80". False when it is not an IPv4 number and a port from 1
/// to 65535.
bool ParseAddress(std::string_view text, Address* address);

/// Reads one INI file and checks it whole: every fault is kept with its line,
/// so that an operator sees them all at once.
///
/// Example:
///   Settings settings = Settings::Load("entry.ini");
///   config.listen = settings.GetAddress("entry", "listen");
///   config.lease = settings.GetMs("membership", "lease", Seconds(5));
///   absl::Status status = settings.Check();  // names unknown keys too
class Settings {
 public:
  static Settings Load(const std::string& path);
  /// The same over text; `name` stands for the file in messages.
  static Settings Parse(std::string_view text, std::string name);

  std::string GetString(std::string_view section, std::string_view key);
  std::string GetString(std::string_view section, std::string_view key,
                        std::string_view fallback);
  /// Comma-separated words.
  std::vector<std::string> GetList(std::string_view section,
                                   std::string_view key,
                                   std::string_view fallback);
  int64_t GetInt(std::string_view section, std::string_view key,
                 int64_t fallback, int64_t low, int64_t high);
  bool GetBool(std::string_view section, std::string_view key, bool fallback);
  /// A span with its unit: "250ms", "5s" or "2m".
  Ms GetMs(std::string_view section, std::string_view key, Ms fallback);
  Address GetAddress(std::string_view section, std::string_view key);
  std::vector<Address> GetAddresses(std::string_view section,
                                    std::string_view key,
                                    std::string_view fallback);

  /// InvalidArgument with one line per fault, "FILE:LINE: what is wrong, what
  /// was expected"; keys that nobody asked for are faults as well.
  absl::Status Check() const;

  /// Adds a fault found by the caller, such as two values that do not fit
  /// together.
  void AddFault(std::string_view section, std::string_view key,
                std::string_view fault);

 private:
  struct Value {
    std::string text;
    int line = 0;
    bool used = false;
  };

  struct IniSource {
    Settings* settings;
    std::string_view rest;
    int line;
  };

  static char* ReadLine(char* buf, int size, void* stream);
  static int OnValue(void* user, const char* section, const char* name,
                     const char* value);
  Value* Find(std::string_view section, std::string_view key);
  void Fault(int line, std::string text);

  std::string name_;
  std::map<std::string, Value> values_;
  std::vector<std::string> faults_;
  bool unreadable_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_BASE_SETTINGS_H_

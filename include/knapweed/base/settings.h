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

/// The address of a server: a host, usually an IPv4 address, and a port.
struct Address {
  std::string host;
  uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
  std::string ToString() const { return host + ":" + std::to_string(port); }
};

/// Parses an address such as "127.0.0.1:80". Returns false if the text is not
/// an IPv4 address and a port from 1 to 65535.
bool ParseAddress(std::string_view text, Address* address);

/// The settings of one INI file. Collects all faults with their line numbers,
/// so that an operator sees them at once instead of one per start. A getter
/// that finds a missing required or an invalid value adds a fault and returns
/// the fallback or an empty value.
///
/// Example:
///   Settings settings = Settings::Load("entry.ini");
///   config.listen = settings.GetAddress("entry", "listen");
///   config.lease = settings.GetMs("membership", "lease", Seconds(5));
///   absl::Status status = settings.Check();  // reports unknown keys too
class Settings {
 public:
  static Settings Load(const std::string& path);
  /// Parses text instead of a file; messages use `name` as the file name.
  static Settings Parse(std::string_view text, std::string name);

  /// Without a fallback the setting is required and must not be empty.
  std::string GetString(std::string_view section, std::string_view key);
  std::string GetString(std::string_view section, std::string_view key,
                        std::string_view fallback);
  /// Returns the items of a comma-separated list, without surrounding space.
  std::vector<std::string> GetList(std::string_view section,
                                   std::string_view key,
                                   std::string_view fallback);
  /// Returns a whole number from `low` to `high`.
  int64_t GetInt(std::string_view section, std::string_view key,
                 int64_t fallback, int64_t low, int64_t high);
  bool GetBool(std::string_view section, std::string_view key, bool fallback);
  /// Returns a number, with or without a fraction, from `low` to `high`. One
  /// that is empty is not set, and "false" is 0: so a template renders a figure
  /// that has no value or is switched off.
  double GetFigure(std::string_view section, std::string_view key,
                   double fallback, double low, double high);
  /// Returns a time span given with its unit: "250ms", "7.5s", "2m" or "24h".
  /// Rounds down. The number may be empty or "false" as that of `GetFigure`.
  Ms GetMs(std::string_view section, std::string_view key, Ms fallback);
  Address GetAddress(std::string_view section, std::string_view key);
  std::vector<Address> GetAddresses(std::string_view section,
                                    std::string_view key,
                                    std::string_view fallback);

  /// Returns InvalidArgument if there are faults, one per line as "FILE:LINE:
  /// what is wrong; what was expected". A key that no getter has read counts as
  /// unknown, so call this after all getters.
  absl::Status Check() const;
  /// The same without the faults of figures, spans and numbers, whose fallbacks
  /// are in place.
  absl::Status CheckWithoutFigures() const;
  /// Faults of figures, spans and numbers, in the form of `Check`.
  const std::vector<std::string>& figure_faults() const {
    return figure_faults_;
  }

  /// Adds a fault found by the caller, such as two settings that contradict
  /// each other. The message is "'SECTION.KEY' FAULT".
  void AddFault(std::string_view section, std::string_view key,
                std::string_view fault);
  /// The same for a figure, span or number that has a fallback.
  void AddFigureFault(std::string_view section, std::string_view key,
                      std::string_view fault);

 private:
  struct Value {
    std::string text;
    int line = 0;
    bool used = false;
  };

  /// The state of the INI parser's callbacks: the unread text and the number of
  /// the last line read.
  struct IniSource {
    Settings* settings;
    std::string_view rest;
    int line;
  };

  static char* ReadLine(char* buf, int size, void* stream);
  static int OnValue(void* user, const char* section, const char* name,
                     const char* value);
  Value* Find(std::string_view section, std::string_view key);
  /// Adds a fault at a line; 0 if it belongs to no line.
  void Fault(int line, std::string_view text);
  /// Returns a message that names the setting and its line.
  std::string Describe(std::string_view section, std::string_view key,
                       std::string_view fault);
  absl::Status StatusOf(std::vector<std::string> faults) const;

  std::string name_;
  std::map<std::string, Value> values_;
  std::vector<std::string> faults_;
  std::vector<std::string> figure_faults_;
  bool unreadable_ = false;
};

}  // namespace knapweed

#endif  // KNAPWEED_BASE_SETTINGS_H_

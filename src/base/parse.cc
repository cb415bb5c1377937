#include "knapweed/base/parse.h"

#include <cmath>
#include <cstdint>
#include <limits>

namespace knapweed {
namespace {

/// Rounds down, but takes what a decimal's binary form misses for whole: 1.001
/// seconds are 1001 ms.
int64_t RoundDown(double n) {
  constexpr double kBinaryError = 1e-6;
  return static_cast<int64_t>(std::floor(n + kBinaryError));
}

}  // namespace

bool ParseDecimal(std::string_view text, double* n) {
  double parsed = 0;
  const bool is_number =
      ParseNumber(text, &parsed) && std::isfinite(parsed) && parsed >= 0;
  if (is_number) *n = parsed;
  return is_number;
}

bool ParseSpan(std::string_view text, Ms* span) {
  struct Unit {
    std::string_view suffix;
    int64_t ms;
  };
  // "ms" comes before "s", because it also ends with "s".
  static constexpr Unit kUnits[] = {
      {"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}};
  for (const Unit& unit : kUnits) {
    if (!text.ends_with(unit.suffix)) continue;
    text.remove_suffix(unit.suffix.size());
    double n = 0;
    if (!ParseDecimal(text, &n)) return false;
    if (n > std::numeric_limits<uint32_t>::max()) return false;
    *span = Ms{RoundDown(n * static_cast<double>(unit.ms))};
    return true;
  }
  return false;
}

}  // namespace knapweed

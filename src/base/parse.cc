#include "knapweed/base/parse.h"

#include <cstdint>

namespace knapweed {

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
    uint32_t n = 0;
    if (!ParseNumber(text, &n)) return false;
    *span = Ms{n * unit.ms};
    return true;
  }
  return false;
}

}  // namespace knapweed

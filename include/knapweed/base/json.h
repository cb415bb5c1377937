#ifndef KNAPWEED_BASE_JSON_H_
#define KNAPWEED_BASE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"

/// Reading and writing of JSON and CBOR from other processes. No input makes
/// these functions throw or exhaust the stack.
namespace knapweed {

/// Values nested deeper than this are rejected: copying, writing and, for CBOR,
/// reading them would recurse as deep.
inline constexpr int kMaxJsonDepth = 32;

/// Bound of numbers that state a time in ms, either way: sums of a few of them
/// don't overflow, and a double holds them exactly.
inline constexpr int64_t kMaxJsonMs = int64_t{1} << 53;

/// Bound of counts: larger ones count as this one, so that sums don't overflow.
inline constexpr uint64_t kMaxJsonCount = uint64_t{1} << 53;

/// Returns a discarded value if the text is malformed or nested too deep.
nlohmann::json ParseJson(std::string_view text);
nlohmann::json ParseCbor(std::string_view bytes);

/// Writes a value. Bytes of its texts that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);

/// Returns a field of an object; null if the value is no object or lacks it.
const nlohmann::json* FindField(const nlohmann::json& object, const char* name);
/// Returns a text field; empty if it is missing or no text.
std::string TextField(const nlohmann::json& object, const char* name);
/// Returns a whole number of at least 0, at most `kMaxJsonCount`; 0 if the
/// value is anything else.
uint64_t CountOf(const nlohmann::json& value);
/// The same of a field; 0 if it is missing.
uint64_t CountField(const nlohmann::json& object, const char* name);
/// Returns a finite number; 0 if the field is missing or no number.
double NumberField(const nlohmann::json& object, const char* name);
bool FlagField(const nlohmann::json& object, const char* name);
/// Returns a time or a span in ms; nothing if the value is no whole number or
/// beyond `kMaxJsonMs`.
std::optional<Ms> MsOf(const nlohmann::json& value);
std::optional<Ms> MsField(const nlohmann::json& object, const char* name);

}  // namespace knapweed

#endif  // KNAPWEED_BASE_JSON_H_

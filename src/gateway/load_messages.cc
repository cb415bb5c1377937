#include "knapweed/gateway/load_messages.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "knapweed/base/ids.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

/// Longer messages are refused before they are parsed; 730 upstreams take less
/// than 16 KB.
constexpr size_t kMaxMessageBytes = 64 << 10;
/// Numbers of one upstream: key, calls, pending prefill tokens and resident
/// tokens. All upstreams are in one array, without an array for each.
constexpr size_t kFieldsPerEntry = 4;
/// Rates of starts are sent as whole numbers of this part of a start per
/// second, in fewer bytes than a double takes.
constexpr double kRateSteps = 100;

/// How the figures of an answer are packed, as floating-point numbers without a
/// sign: an exponent and significant bits, the first of which is implied.
struct Precision {
  size_t bytes;
  int significant_bits;
  uint64_t tokens_per_unit;
};
constexpr Precision kFine{2, 12, 1};
/// For fleets in which finer figures would take more than the 2 KB a second
/// that a gateway may use.
constexpr Precision kCoarse{1, 5, 16};
constexpr size_t kMaxFineUpstreams = 300;
constexpr size_t kFiguresPerUpstream = 3;
constexpr size_t kBytesPerKey = sizeof(LoadKey);

/// Largest figures that can be true; others are left out.
struct Limits {
  int64_t calls;
  int64_t tokens;
  int64_t starts_per_s;
};
/// Of one gateway's calls to one upstream. The sum of the calls of many
/// gateways must fit into 32 bits.
constexpr Limits kReportLimits{1'000'000, 1'000'000'000, 1'000'000};
/// Of sums over all gateways. Packed figures can't be larger.
constexpr Limits kAnswerLimits{UINT32_MAX, INT64_MAX, 1'000'000'000};

constexpr Ms kMaxInterval{60000};
constexpr Ms kMaxAge{3'600'000};

/// Returns a whole number of a message; none if it is no integer. One beyond
/// the range of int64_t becomes the largest.
std::optional<int64_t> IntegerOf(const json& value) {
  if (!value.is_number_integer()) return std::nullopt;
  if (value.is_number_unsigned() && value.get<uint64_t>() > INT64_MAX) {
    return INT64_MAX;
  }
  return value.get<int64_t>();
}

/// Reads the fields of a message; a missing, mistyped or impossible one makes
/// it invalid.
class MessageReader {
 public:
  explicit MessageReader(std::string_view bytes)
      : message_(
            bytes.size() > kMaxMessageBytes
                ? json()
                : json::from_msgpack(bytes.begin(), bytes.end(), true, false)),
        valid_(message_.is_object()) {}

  int64_t Integer(const char* name, int64_t most) {
    const json* value = Find(name);
    const std::optional<int64_t> n =
        value != nullptr ? IntegerOf(*value) : std::nullopt;
    const bool fits = n.has_value() && *n >= 0 && *n <= most;
    valid_ = valid_ && fits;
    return fits ? *n : 0;
  }

  Address Sender(const char* name) {
    Address address;
    const json* value = Find(name);
    valid_ = valid_ && value != nullptr && value->is_string() &&
             ParseAddress(value->get_ref<const std::string&>(), &address);
    return address;
  }

  /// Skips and counts entries with figures that can't be true.
  std::vector<LoadEntry> Entries(const char* name, const Limits& limits) {
    const json* flat = Find(name);
    std::vector<LoadEntry> entries;
    if (flat == nullptr || !flat->is_array() ||
        flat->size() % kFieldsPerEntry != 0) {
      valid_ = false;
      return entries;
    }
    entries.reserve(flat->size() / kFieldsPerEntry);
    for (size_t at = 0; at < flat->size() && valid_; at += kFieldsPerEntry) {
      AddEntry(*flat, at, limits, entries);
    }
    return entries;
  }

  /// Skips and counts rates that can't be true.
  StartsByService Starts(const char* name, const Limits& limits) {
    const json* rates = Find(name);
    StartsByService starts;
    valid_ = valid_ && rates != nullptr && rates->is_object();
    if (!valid_) return starts;
    for (const auto& [service, value] : rates->items()) {
      const std::optional<int64_t> n = IntegerOf(value);
      valid_ = valid_ && n.has_value();
      if (!valid_) break;
      const double per_s = static_cast<double>(*n) / kRateSteps;
      if (per_s < 0 || per_s > static_cast<double>(limits.starts_per_s)) {
        ++left_out_;
      } else {
        starts[service] = per_s;
      }
    }
    return starts;
  }

  /// Returns the bytes of a binary field, empty if there is none.
  std::string_view Bytes(const char* name) const {
    const json* value = Find(name);
    if (value == nullptr || !value->is_binary()) return {};
    const auto& bytes = value->get_binary();
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
  }

  bool Has(const char* name) const { return Find(name) != nullptr; }
  bool valid() const { return valid_; }
  size_t left_out() const { return left_out_; }

 private:
  const json* Find(const char* name) const {
    if (!message_.is_object()) return nullptr;
    const auto it = message_.find(name);
    return it == message_.end() ? nullptr : &*it;
  }

  void AddEntry(const json& flat, size_t at, const Limits& limits,
                std::vector<LoadEntry>& entries) {
    std::array<int64_t, kFieldsPerEntry> fields{};
    const std::array<int64_t, kFieldsPerEntry> most = {
        UINT32_MAX, limits.calls, limits.tokens, limits.tokens};
    bool fits = true;
    for (size_t i = 0; i < kFieldsPerEntry; ++i) {
      const std::optional<int64_t> n = IntegerOf(flat[at + i]);
      valid_ = valid_ && n.has_value();
      if (!valid_) return;
      fields[i] = *n;
      fits = fits && *n >= 0 && *n <= most[i];
    }
    if (!fits) {
      ++left_out_;
      return;
    }
    entries.push_back(
        {static_cast<LoadKey>(fields[0]),
         {static_cast<uint32_t>(fields[1]), static_cast<uint64_t>(fields[2]),
          static_cast<uint64_t>(fields[3])}});
  }

  json message_;
  bool valid_;
  size_t left_out_ = 0;
};

json EncodeEntries(const std::vector<LoadEntry>& entries) {
  json::array_t flat;
  flat.reserve(entries.size() * kFieldsPerEntry);
  for (const LoadEntry& entry : entries) {
    flat.emplace_back(entry.key);
    flat.emplace_back(entry.load.calls);
    flat.emplace_back(entry.load.pending_prefill_tokens);
    flat.emplace_back(entry.load.resident_tokens);
  }
  return flat;
}

int BitsOf(uint64_t value) { return 64 - std::countl_zero(value); }

uint64_t ToCode(uint64_t value, int significant_bits) {
  const int excess = BitsOf(value) - significant_bits;
  if (excess <= 0) return value;
  auto shift = static_cast<uint64_t>(excess);
  // Rounded to the nearest, which may carry into another bit.
  uint64_t significant = ((value >> (shift - 1)) + 1) >> 1;
  if (BitsOf(significant) > significant_bits) {
    significant >>= 1;
    ++shift;
  }
  return (shift << (significant_bits - 1)) + significant;
}

uint64_t FromCode(uint64_t code, int significant_bits) {
  const uint64_t exponent = code >> (significant_bits - 1);
  if (exponent <= 1) return code;
  const uint64_t shift = exponent - 1;
  return (code - (shift << (significant_bits - 1))) << shift;
}

void AppendInteger(std::vector<uint8_t>& bytes, uint64_t value, size_t size) {
  for (size_t i = 0; i < size; ++i) {
    bytes.push_back(static_cast<uint8_t>(value >> (8 * i)));
  }
}

uint64_t IntegerAt(std::string_view bytes, size_t at, size_t size) {
  uint64_t value = 0;
  for (size_t i = 0; i < size; ++i) {
    value |= uint64_t{static_cast<uint8_t>(bytes[at + i])} << (8 * i);
  }
  return value;
}

void AppendFigure(std::vector<uint8_t>& bytes, uint64_t value,
                  const Precision& precision) {
  const uint64_t most = (uint64_t{1} << (8 * precision.bytes)) - 1;
  const uint64_t code = ToCode(value, precision.significant_bits);
  AppendInteger(bytes, std::min(code, most), precision.bytes);
}

json EncodeFigures(const std::vector<LoadEntry>& entries,
                   const Precision& precision) {
  const uint64_t unit = precision.tokens_per_unit;
  const auto units = [unit](uint64_t tokens) {
    return (tokens + unit / 2) / unit;
  };
  std::vector<uint8_t> bytes;
  bytes.reserve(entries.size() * kFiguresPerUpstream * precision.bytes);
  for (const LoadEntry& entry : entries) {
    AppendFigure(bytes, entry.load.calls, precision);
    AppendFigure(bytes, units(entry.load.pending_prefill_tokens), precision);
    AppendFigure(bytes, units(entry.load.resident_tokens), precision);
  }
  return json::binary(std::move(bytes));
}

std::vector<LoadEntry> DecodeFigures(std::string_view bytes,
                                     std::span<const LoadKey> list,
                                     const Precision& precision) {
  std::vector<LoadEntry> entries;
  entries.reserve(list.size());
  size_t at = 0;
  const auto next = [&] {
    const uint64_t code = IntegerAt(bytes, at, precision.bytes);
    at += precision.bytes;
    return FromCode(code, precision.significant_bits);
  };
  for (const LoadKey key : list) {
    LoadEntry& entry = entries.emplace_back();
    entry.key = key;
    const uint64_t calls = next();
    entry.load.calls =
        static_cast<uint32_t>(std::min<uint64_t>(calls, UINT32_MAX));
    entry.load.pending_prefill_tokens = next() * precision.tokens_per_unit;
    entry.load.resident_tokens = next() * precision.tokens_per_unit;
  }
  return entries;
}

std::vector<LoadKey> KeysOf(const std::vector<LoadEntry>& entries) {
  std::vector<LoadKey> keys;
  keys.reserve(entries.size());
  for (const LoadEntry& entry : entries) keys.push_back(entry.key);
  return keys;
}

json EncodeKeys(std::span<const LoadKey> keys) {
  std::vector<uint8_t> bytes;
  bytes.reserve(keys.size() * kBytesPerKey);
  for (const LoadKey key : keys) AppendInteger(bytes, key, kBytesPerKey);
  return json::binary(std::move(bytes));
}

std::vector<LoadKey> DecodeKeys(std::string_view bytes) {
  std::vector<LoadKey> keys;
  for (size_t at = 0; at + kBytesPerKey <= bytes.size(); at += kBytesPerKey) {
    keys.push_back(static_cast<LoadKey>(IntegerAt(bytes, at, kBytesPerKey)));
  }
  return keys;
}

json EncodeStarts(const StartsByService& starts) {
  json rates = json::object();
  for (const auto& [service, per_s] : starts) {
    const auto steps = std::llround(per_s * kRateSteps);
    if (steps > 0) rates[service] = steps;
  }
  return rates;
}

std::string Pack(const json& message) {
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

}  // namespace

LoadKey LoadKeyOf(std::string_view id, uint64_t started_at_ms) {
  return static_cast<LoadKey>(HashBytes(id, started_at_ms));
}

uint32_t DigestOf(std::span<const LoadKey> list) {
  if (list.empty()) return 0;
  uint64_t digest = list.size();
  for (const LoadKey key : list) {
    digest =
        HashBytes({reinterpret_cast<const char*>(&key), sizeof(key)}, digest);
  }
  return static_cast<uint32_t>(digest);
}

std::string EncodeLoadReport(const LoadReport& report) {
  return Pack({{"a", report.sender.ToString()},
               {"i", report.incarnation},
               {"n", report.sequence},
               {"t", report.interval.count},
               {"l", report.list_digest},
               {"u", EncodeEntries(report.entries)},
               {"s", EncodeStarts(report.starts_per_s)}});
}

absl::StatusOr<CheckedLoadReport> DecodeLoadReport(std::string_view bytes) {
  MessageReader reader(bytes);
  CheckedLoadReport checked;
  LoadReport& report = checked.report;
  report.sender = reader.Sender("a");
  report.incarnation = static_cast<uint32_t>(reader.Integer("i", UINT32_MAX));
  report.sequence = static_cast<uint64_t>(reader.Integer("n", INT64_MAX));
  report.interval = Ms{reader.Integer("t", kMaxInterval.count)};
  // Without an interval the report would be dropped at once.
  if (report.interval <= Ms{0}) {
    return absl::InvalidArgumentError("a load report without an interval");
  }
  report.list_digest = static_cast<uint32_t>(reader.Integer("l", UINT32_MAX));
  report.entries = reader.Entries("u", kReportLimits);
  report.starts_per_s = reader.Starts("s", kReportLimits);
  if (!reader.valid()) return absl::InvalidArgumentError("not a load report");
  checked.left_out = reader.left_out();
  return checked;
}

std::string EncodeLoadAnswer(const LoadAnswer& answer, uint32_t asker_digest) {
  const bool is_fine = answer.entries.size() <= kMaxFineUpstreams;
  const std::vector<LoadKey> keys = KeysOf(answer.entries);
  const uint32_t digest = DigestOf(keys);
  json message = {
      {"g", answer.gateways},
      {"o", answer.oldest_age.count},
      {"w", answer.newest_age.count},
      {"d", digest},
      {"u", EncodeFigures(answer.entries, is_fine ? kFine : kCoarse)},
      {"s", EncodeStarts(answer.starts_per_s)}};
  if (digest != asker_digest) message["k"] = EncodeKeys(keys);
  return Pack(message);
}

absl::StatusOr<LoadAnswer> DecodeLoadAnswer(std::string_view bytes,
                                            std::span<const LoadKey> list) {
  MessageReader reader(bytes);
  LoadAnswer answer;
  answer.gateways = static_cast<uint32_t>(reader.Integer("g", UINT32_MAX));
  answer.oldest_age = Ms{reader.Integer("o", kMaxAge.count)};
  answer.newest_age = Ms{reader.Integer("w", kMaxAge.count)};
  answer.starts_per_s = reader.Starts("s", kAnswerLimits);
  const auto digest = static_cast<uint32_t>(reader.Integer("d", UINT32_MAX));
  if (!reader.valid()) return absl::InvalidArgumentError("not a load answer");
  const std::vector<LoadKey> told = DecodeKeys(reader.Bytes("k"));
  if (reader.Has("k")) list = told;
  if (DigestOf(list) != digest) {
    return absl::InvalidArgumentError("load of an unknown list of upstreams");
  }
  const std::string_view figures = reader.Bytes("u");
  const Precision& precision =
      list.size() <= kMaxFineUpstreams ? kFine : kCoarse;
  if (figures.size() != list.size() * kFiguresPerUpstream * precision.bytes) {
    return absl::InvalidArgumentError("wrong number of figures of load");
  }
  answer.entries = DecodeFigures(figures, list, precision);
  return answer;
}

}  // namespace knapweed::gateway

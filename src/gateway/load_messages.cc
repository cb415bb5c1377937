#include "knapweed/gateway/load_messages.h"

#include <array>
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

/// Largest figures that can be true.
struct Limits {
  int64_t calls;
  int64_t tokens;
  int64_t starts_per_s;
};
/// Of one gateway's calls to one upstream. The sum of the calls of many
/// gateways must fit into 32 bits.
constexpr Limits kReportLimits{1'000'000, 1'000'000'000, 1'000'000};
/// Of sums over all gateways.
constexpr Limits kAnswerLimits{4'000'000'000, 4'000'000'000'000, 1'000'000'000};

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

std::string EncodeLoadReport(const LoadReport& report) {
  return Pack({{"a", report.sender.ToString()},
               {"i", report.incarnation},
               {"n", report.sequence},
               {"t", report.interval.count},
               {"u", EncodeEntries(report.entries)},
               {"s", EncodeStarts(report.starts_per_s)}});
}

absl::StatusOr<CheckedLoad<LoadReport>> DecodeLoadReport(
    std::string_view bytes) {
  MessageReader reader(bytes);
  CheckedLoad<LoadReport> checked;
  LoadReport& report = checked.message;
  report.sender = reader.Sender("a");
  report.incarnation = static_cast<uint32_t>(reader.Integer("i", UINT32_MAX));
  report.sequence = static_cast<uint64_t>(reader.Integer("n", INT64_MAX));
  report.interval = Ms{reader.Integer("t", kMaxInterval.count)};
  report.entries = reader.Entries("u", kReportLimits);
  report.starts_per_s = reader.Starts("s", kReportLimits);
  if (!reader.valid()) return absl::InvalidArgumentError("not a load report");
  checked.left_out = reader.left_out();
  return checked;
}

std::string EncodeLoadAnswer(const LoadAnswer& answer) {
  return Pack({{"g", answer.gateways},
               {"o", answer.oldest_age.count},
               {"w", answer.newest_age.count},
               {"u", EncodeEntries(answer.entries)},
               {"s", EncodeStarts(answer.starts_per_s)}});
}

absl::StatusOr<CheckedLoad<LoadAnswer>> DecodeLoadAnswer(
    std::string_view bytes) {
  MessageReader reader(bytes);
  CheckedLoad<LoadAnswer> checked;
  LoadAnswer& answer = checked.message;
  answer.gateways = static_cast<uint32_t>(reader.Integer("g", UINT32_MAX));
  answer.oldest_age = Ms{reader.Integer("o", kMaxAge.count)};
  answer.newest_age = Ms{reader.Integer("w", kMaxAge.count)};
  answer.entries = reader.Entries("u", kAnswerLimits);
  answer.starts_per_s = reader.Starts("s", kAnswerLimits);
  if (!reader.valid()) return absl::InvalidArgumentError("not a load answer");
  checked.left_out = reader.left_out();
  return checked;
}

}  // namespace knapweed::gateway

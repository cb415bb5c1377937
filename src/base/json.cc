#include "knapweed/base/json.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

using nlohmann::json;

constexpr size_t kMaxStatedSize = size_t{1} << 24;

/// Returns where the string that begins at `at` ends; the size of the text if
/// it does not end.
size_t EndOfString(std::string_view text, size_t at) {
  size_t end = at;
  while (true) {
    end = text.find('"', end + 1);
    if (end == std::string_view::npos) return text.size();
    size_t first = end;
    while (text[first - 1] == '\\') --first;
    const bool is_escaped = (end - first) % 2 == 1;
    if (!is_escaped) return end;
  }
}

/// Returns whether brackets nest no deeper than allowed, whatever else the text
/// holds.
bool IsShallow(std::string_view text) {
  int depth = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') i = EndOfString(text, i);
    if (c == ']' || c == '}') --depth;
    if (c != '[' && c != '{') continue;
    if (++depth > kMaxJsonDepth) return false;
  }
  return true;
}

/// Reads a document only for its depth: the reader of CBOR recurses, and ends
/// when a handler returns false.
class DepthCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool key(string_t& /*value*/) override { return true; }
  bool start_object(size_t size) override { return Enter(size); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t size) override { return Enter(size); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool Enter(size_t size) {
    // The reader throws if a container states a size beyond all memory.
    const bool is_stated = size != static_cast<size_t>(-1);
    if (is_stated && size > kMaxStatedSize) return false;
    return ++depth_ <= kMaxJsonDepth;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  int depth_ = 0;
};

}  // namespace

json ParseJson(std::string_view text) {
  if (!IsShallow(text)) return json(json::value_t::discarded);
  return json::parse(text, nullptr, false);
}

json ParseCbor(std::string_view bytes) {
  DepthCheck check;
  const bool is_shallow = json::sax_parse(bytes.begin(), bytes.end(), &check,
                                          json::input_format_t::cbor);
  if (!is_shallow) return json(json::value_t::discarded);
  return json::from_cbor(bytes.begin(), bytes.end(), true, false);
}

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json* FindField(const json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto it = object.find(name);
  return it == object.end() ? nullptr : &*it;
}

std::string TextField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  const bool is_text = field != nullptr && field->is_string();
  return is_text ? field->get<std::string>() : std::string();
}

uint64_t CountOf(const json& value) {
  if (!value.is_number_unsigned()) return 0;
  return std::min(value.get<uint64_t>(), kMaxJsonCount);
}

uint64_t CountField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  return field == nullptr ? 0 : CountOf(*field);
}

double NumberField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  if (field == nullptr || !field->is_number()) return 0;
  const auto n = field->get<double>();
  return std::isfinite(n) ? n : 0;
}

bool FlagField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  return field != nullptr && field->is_boolean() && field->get<bool>();
}

std::optional<Ms> MsOf(const json& value) {
  if (!value.is_number_integer()) return std::nullopt;
  // A large unsigned number does not fit the signed type.
  const bool fits = !value.is_number_unsigned() ||
                    value.get<uint64_t>() <= static_cast<uint64_t>(kMaxJsonMs);
  if (!fits) return std::nullopt;
  const auto n = value.get<int64_t>();
  if (n < -kMaxJsonMs || n > kMaxJsonMs) return std::nullopt;
  return Ms{n};
}

std::optional<Ms> MsField(const json& object, const char* name) {
  const json* field = FindField(object, name);
  return field == nullptr ? std::nullopt : MsOf(*field);
}

}  // namespace knapweed

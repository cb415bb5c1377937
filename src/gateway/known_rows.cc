#include "knapweed/gateway/known_rows.h"

#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr size_t kRowFields = 5;

json EncodeRow(const Row& row) {
  return json::array({row.key.table, row.key.part, row.key.key,
                      json::binary({row.value.begin(), row.value.end()}),
                      row.version});
}

bool DecodeRow(const json& item, Row* row) {
  const bool readable = item.is_array() && item.size() == kRowFields &&
                        item[0].is_string() && item[1].is_string() &&
                        item[2].is_string() && item[3].is_binary() &&
                        item[4].is_number_unsigned();
  if (!readable) return false;
  row->key = {item[0].get<std::string>(), item[1].get<std::string>(),
              item[2].get<std::string>()};
  const auto& bytes = item[3].get_binary();
  row->value.assign(bytes.begin(), bytes.end());
  row->version = item[4].get<uint64_t>();
  return true;
}

bool DecodeMs(const json& message, const char* name, Ms* ms) {
  const std::optional<Ms> value = MsField(message, name);
  if (!value.has_value()) return false;
  *ms = *value;
  return true;
}

}  // namespace

std::string EncodeKnownRows(const KnownRows& known) {
  json rows = json::array();
  for (const Row& row : known.rows) rows.push_back(EncodeRow(row));
  const json message = {{"rows", std::move(rows)},
                        {"store_now_ms", known.store_now.count},
                        {"config_age_ms", known.config_age.count},
                        {"gateways_age_ms", known.gateways_age.count}};
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

absl::StatusOr<KnownRows> DecodeKnownRows(std::string_view bytes) {
  const json message = ParseCbor(bytes);
  KnownRows known;
  const bool readable =
      message.is_object() && message.contains("rows") &&
      message["rows"].is_array() &&
      DecodeMs(message, "store_now_ms", &known.store_now) &&
      DecodeMs(message, "config_age_ms", &known.config_age) &&
      DecodeMs(message, "gateways_age_ms", &known.gateways_age);
  if (!readable) return absl::InvalidArgumentError("not a snapshot of rows");
  for (const json& item : message["rows"]) {
    Row row;
    if (!DecodeRow(item, &row)) {
      return absl::InvalidArgumentError("malformed row in the snapshot");
    }
    known.rows.push_back(std::move(row));
  }
  return known;
}

}  // namespace knapweed::gateway

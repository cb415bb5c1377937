#include "knapweed/platform/table_service.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "knapweed/base/percent.h"
#include "store_http.h"

namespace knapweed {
namespace {

using nlohmann::json;

absl::Status MalformedReply() {
  return absl::UnavailableError("malformed reply from the table service");
}

/// Returns false if a field is missing or has the wrong type.
bool ParseRow(const json& from, Row* row) {
  if (!from.is_object()) return false;
  const auto key = from.find("key");
  const auto value = from.find("value");
  const auto version = from.find("version");
  if (key == from.end() || !key->is_string()) return false;
  if (value == from.end() || !value->is_string()) return false;
  if (version == from.end() || !version->is_number_unsigned()) return false;
  *row = {key->get<std::string>(), value->get<std::string>(),
          version->get<uint64_t>()};
  return true;
}

absl::StatusOr<std::string> SerializeCommit(const Transaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back(
        {{"key", condition.key}, {"version", condition.version}});
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    json value = write.value ? json(*write.value) : json();
    writes.push_back({{"key", write.key}, {"value", std::move(value)}});
  }
  try {
    return json{{"conditions", std::move(conditions)},
                {"writes", std::move(writes)}}
        .dump();
  } catch (const json::exception&) {
    return absl::InvalidArgumentError("row keys and values must be UTF-8");
  }
}

/// State that the functions of one connected `TableService` share.
struct TableClient {
  TableClient(const Address& server, Ms timeout_in)
      : http(server), timeout(timeout_in) {}

  absl::StatusOr<Row> Get(std::string_view key) {
    const HttpRequest request{
        "GET", "/table/row", "key=" + PercentEncode(key), {}, ""};
    absl::StatusOr<std::string> body = ReadOverHttp(http, request, timeout);
    if (!body.ok()) return body.status();
    Row row;
    if (!ParseRow(json::parse(*body, nullptr, false), &row))
      return MalformedReply();
    return row;
  }

  absl::StatusOr<std::vector<Row>> Scan(std::string_view prefix) {
    const HttpRequest request{
        "GET", "/table/rows", "prefix=" + PercentEncode(prefix), {}, ""};
    absl::StatusOr<std::string> body = ReadOverHttp(http, request, timeout);
    if (!body.ok()) return body.status();
    const json parsed = json::parse(*body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("rows"))
      return MalformedReply();
    std::vector<Row> rows;
    for (const json& item : parsed["rows"]) {
      if (!ParseRow(item, &rows.emplace_back())) return MalformedReply();
    }
    return rows;
  }

  absl::Status Commit(const Transaction& transaction) {
    absl::StatusOr<std::string> text = SerializeCommit(transaction);
    if (!text.ok()) return text.status();
    const HttpRequest request{"POST",
                              "/table/commit",
                              "",
                              {{"Content-Type", "application/json"}},
                              *std::move(text)};
    return WriteOverHttp(http, request, timeout).status();
  }

  HttpClient http;
  Ms timeout;
};

}  // namespace

TableService ConnectTableService(const Address& server, Ms timeout) {
  const auto client = std::make_shared<TableClient>(server, timeout);
  TableService table;
  table.get = [client](std::string_view key) { return client->Get(key); };
  table.scan = [client](std::string_view prefix) {
    return client->Scan(prefix);
  };
  table.commit = [client](const Transaction& transaction) {
    return client->Commit(transaction);
  };
  return table;
}

}  // namespace knapweed

#include "knapweed/membership/rows.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace knapweed {
namespace {

using Json = nlohmann::json;

std::string Join(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  key.append(name);
  return key;
}

/// Parses a JSON object; returns nullopt unless every named field is a string.
std::optional<Json> ParseObject(std::string_view text,
                                std::initializer_list<const char*> strings) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  for (const char* name : strings) {
    const auto it = json.find(name);
    if (it == json.end() || !it->is_string()) return std::nullopt;
  }
  return json;
}

std::string StringOf(const Json& json, const char* name) {
  return json.find(name)->get<std::string>();
}

uint64_t NumberOf(const Json& json, const char* name) {
  const auto it = json.find(name);
  if (it == json.end() || !it->is_number_unsigned()) return 0;
  return it->get<uint64_t>();
}

bool BoolOf(const Json& json, const char* name) {
  const auto it = json.find(name);
  return it != json.end() && it->is_boolean() && it->get<bool>();
}

Json JsonOf(const PartitionSource& source) {
  return {{"incarnation", source.incarnation}, {"since", source.since.n}};
}

}  // namespace

std::string MemberKey(const MemberId& id) {
  return Join(kMemberPrefix, id.value);
}

std::string FenceKey(std::string_view incarnation) {
  return Join(kFencePrefix, incarnation);
}

std::string PartitionKey(PartitionId partition) {
  return Join(kPartitionPrefix, std::to_string(partition.n));
}

std::string SidecarKey(const UpstreamId& upstream) {
  return Join(kSidecarPrefix, upstream.value);
}

std::string EncodeMember(const MemberRow& row) {
  const Json json = {{"id", row.member.id.value},
                     {"incarnation", row.member.incarnation},
                     {"rpc", row.member.rpc.ToString()},
                     {"domain", row.member.domain.value},
                     {"leaving", row.member.leaving},
                     {"lease_ms", static_cast<uint64_t>(row.lease.count)},
                     {"beat", row.renewal_count}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<MemberRow> DecodeMember(std::string_view text) {
  const auto json = ParseObject(text, {"id", "incarnation", "rpc", "domain"});
  if (!json) return std::nullopt;
  MemberRow row;
  row.member.id = MemberId(StringOf(*json, "id"));
  row.member.incarnation = StringOf(*json, "incarnation");
  row.member.domain = FailureDomain(StringOf(*json, "domain"));
  row.member.leaving = BoolOf(*json, "leaving");
  row.lease = Ms{static_cast<int64_t>(NumberOf(*json, "lease_ms"))};
  row.renewal_count = NumberOf(*json, "beat");
  if (!ParseAddress(StringOf(*json, "rpc"), &row.member.rpc)) {
    return std::nullopt;
  }
  return row;
}

std::string EncodePartition(const PartitionRow& row) {
  Json sources = Json::array();
  for (const PartitionSource& it : row.sources) sources.push_back(JsonOf(it));
  const Json json = {{"owner", row.owner.value},
                     {"incarnation", row.incarnation},
                     {"epoch", row.epoch.n},
                     {"sources", sources}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PartitionRow> DecodePartition(std::string_view text) {
  const auto json = ParseObject(text, {"owner", "incarnation"});
  if (!json) return std::nullopt;
  PartitionRow row;
  row.owner = MemberId(StringOf(*json, "owner"));
  row.incarnation = StringOf(*json, "incarnation");
  row.epoch = Epoch{NumberOf(*json, "epoch")};
  const auto sources = json->find("sources");
  if (sources == json->end() || !sources->is_array()) return std::nullopt;
  for (const Json& it : *sources) {
    if (!it.is_object() || !it.contains("incarnation")) return std::nullopt;
    if (!it["incarnation"].is_string()) return std::nullopt;
    row.sources.push_back(
        {StringOf(it, "incarnation"), Epoch{NumberOf(it, "since")}});
  }
  return row;
}

std::string EncodeSidecar(const SidecarRecord& record) {
  const Json json = {{"upstream", record.upstream.value},
                     {"incarnation", record.incarnation},
                     {"rpc", record.rpc.ToString()},
                     {"domain", record.domain.value},
                     {"pool", record.pool},
                     {"models", record.models},
                     {"leaving", record.leaving}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<SidecarRecord> DecodeSidecar(std::string_view text) {
  const auto json =
      ParseObject(text, {"upstream", "incarnation", "rpc", "domain", "pool"});
  if (!json) return std::nullopt;
  SidecarRecord record;
  record.upstream = UpstreamId(StringOf(*json, "upstream"));
  record.incarnation = StringOf(*json, "incarnation");
  record.domain = FailureDomain(StringOf(*json, "domain"));
  record.pool = StringOf(*json, "pool");
  record.leaving = BoolOf(*json, "leaving");
  const auto models = json->find("models");
  if (models != json->end() && models->is_array()) {
    for (const Json& it : *models) {
      if (it.is_string()) record.models.push_back(it.get<std::string>());
    }
  }
  if (!ParseAddress(StringOf(*json, "rpc"), &record.rpc)) return std::nullopt;
  return record;
}

std::optional<PartitionId> PartitionOfKey(std::string_view key) {
  if (!key.starts_with(kPartitionPrefix)) return std::nullopt;
  key.remove_prefix(kPartitionPrefix.size());
  PartitionId partition;
  const char* end = key.data() + key.size();
  const auto result = std::from_chars(key.data(), end, partition.n);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return partition;
}

PartitionRow WithOwner(PartitionRow row, const Member& member) {
  row.owner = member.id;
  row.incarnation = member.incarnation;
  row.epoch.n += 1;
  // A member that regains a partition keeps the older `since`: the earlier
  // records of its log stay valid until it has copied the partition's data.
  for (const PartitionSource& it : row.sources) {
    if (it.incarnation == member.incarnation) return row;
  }
  row.sources.push_back({member.incarnation, row.epoch});
  return row;
}

bool IsUncertain(const absl::Status& status) {
  return absl::IsUnknown(status) || absl::IsDeadlineExceeded(status);
}

absl::Status CommitAndConfirm(const TableService& table,
                              const Transaction& transaction,
                              std::string_view key) {
  absl::Status status = table.commit(transaction);
  if (!IsUncertain(status)) return status;
  const absl::StatusOr<Row> row = table.get(key);
  const bool absent = absl::IsNotFound(row.status());
  if (!row.ok() && !absent) return absl::UnknownError(status.message());
  for (const RowWrite& it : transaction.writes) {
    if (it.key != key) continue;
    const bool applied =
        it.value ? row.ok() && row->value == *it.value : absent;
    if (applied) return absl::OkStatus();
  }
  return absl::UnknownError(status.message());
}

}  // namespace knapweed

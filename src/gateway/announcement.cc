#include "knapweed/gateway/announcement.h"

#include <algorithm>
#include <cmath>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr Logger kLog("watch");

/// Rounds to tenths, to keep the row short; 0.1 calls per second is precise
/// enough.
double RoundToTenth(double value) { return std::round(value * 10) / 10; }

/// Returns the object `name` of a message; empty if it is missing.
const json& ObjectOf(const json& message, const char* name) {
  static const json kEmpty = json::object();
  const json* field = FindField(message, name);
  return field != nullptr && field->is_object() ? *field : kEmpty;
}

/// A limit is an array: start of the incarnation, requests per second or null,
/// and the age of the statement in ms.
json EncodeLimit(const LimitRecord& record, Ms at) {
  json limit = json::array(
      {record.started_at_ms, nullptr, (at - record.limit.observed_at).count});
  if (record.limit.per_s.has_value()) limit[1] = *record.limit.per_s;
  return limit;
}

std::vector<LimitRecord> DecodeLimits(const json& limits_json, Ms at) {
  constexpr size_t kFieldCount = 3;
  std::vector<LimitRecord> limits;
  for (const auto& [id, item] : limits_json.items()) {
    const bool readable = item.is_array() && item.size() == kFieldCount &&
                          item[0].is_number_unsigned() &&
                          (item[1].is_null() || IsRate(item[1])) &&
                          MsOf(item[2]).has_value();
    if (!readable) {
      kLog.Warning("An upstream's limit can't be decoded.", {{"upstream", id}});
      continue;
    }
    LimitRecord record{id, item[0].get<uint64_t>(), {}};
    if (item[1].is_number()) record.limit.per_s = item[1].get<double>();
    record.limit.observed_at = at - *MsOf(item[2]);
    limits.push_back(std::move(record));
  }
  return limits;
}

/// Permits are an array: slot, age in steps, number.
std::optional<AnnouncedPermits> DecodePermits(const json& item) {
  constexpr size_t kFieldCount = 3;
  constexpr uint64_t kMost = 1'000'000;
  const auto is_count = [](const json& field) {
    return field.is_number_unsigned() && field.get<uint64_t>() <= kMost;
  };
  const bool readable = item.is_array() && item.size() == kFieldCount &&
                        std::all_of(item.begin(), item.end(), is_count) &&
                        item[0].get<uint64_t>() < kSlotsPerGroup;
  if (!readable) return std::nullopt;
  return AnnouncedPermits{item[0].get<uint32_t>(), item[1].get<uint32_t>(),
                          item[2].get<uint32_t>()};
}

/// Returns nothing unless all of it is well-formed: what a process has granted
/// must not be taken for less.
std::optional<AnnouncedGrants> DecodeGranted(const json& row) {
  const json* granted_json = FindField(row, "granted");
  if (granted_json == nullptr || !granted_json->is_object()) return {};
  AnnouncedGrants granted;
  for (const auto& [name, list] : granted_json->items()) {
    if (!list.is_array()) return {};
    for (const json& item : list) {
      const std::optional<AnnouncedPermits> permits = DecodePermits(item);
      if (!permits.has_value()) return {};
      granted[name].push_back(*permits);
    }
  }
  return granted;
}

json EncodeGranted(const AnnouncedGrants& granted) {
  json by_workspace = json::object();
  for (const auto& [name, list] : granted) {
    json& items = by_workspace[name] = json::array();
    for (const AnnouncedPermits& permits : list) {
      items.push_back({permits.slot, permits.age_steps, permits.count});
    }
  }
  return by_workspace;
}

}  // namespace

bool IsRate(const json& value) {
  constexpr double kMost = 1e12;
  if (!value.is_number()) return false;
  const auto n = value.get<double>();
  return n >= 0 && n <= kMost;
}

UseByWorkspace DecodeUse(const json& message) {
  constexpr size_t kFieldCount = 4;
  const json& use_json = ObjectOf(message, "use");
  const json& admitted_json = ObjectOf(message, "admitted");
  UseByWorkspace use;
  for (const auto& [name, item] : use_json.items()) {
    const bool readable = item.is_array() && item.size() == kFieldCount &&
                          std::all_of(item.begin(), item.end(), IsRate);
    if (!readable) {
      kLog.Warning("A gateway's usage of a workspace can't be decoded.",
                   {{"workspace", name}});
      continue;
    }
    WorkspaceUse one;
    one.calls = item[0].get<double>();
    one.demand_per_s = item[1].get<double>();
    one.programs = item[2].get<double>();
    one.program_demand_per_s = item[3].get<double>();
    const auto admitted = admitted_json.find(name);
    const bool has_admitted =
        admitted != admitted_json.end() && IsRate(*admitted);
    one.admitted_per_s =
        has_admitted ? admitted->get<double>() : one.demand_per_s;
    use[name] = one;
  }
  return use;
}

json EncodeUse(const UseByWorkspace& uses) {
  json use = json::object();
  json admitted = json::object();
  for (const auto& [name, item] : uses) {
    use[name] = {std::lround(item.calls), RoundToTenth(item.demand_per_s),
                 std::lround(item.programs),
                 RoundToTenth(item.program_demand_per_s)};
    // Most of the time nothing is refused, and both are the same.
    if (item.admitted_per_s != item.demand_per_s) {
      admitted[name] = RoundToTenth(item.admitted_per_s);
    }
  }
  return {{"use", std::move(use)}, {"admitted", std::move(admitted)}};
}

std::string EncodeAnnouncement(const Announcement& announcement) {
  json limits = json::object();
  for (const LimitRecord& record : announcement.limits) {
    limits[record.upstream] = EncodeLimit(record, announcement.at);
  }
  json row = EncodeUse(announcement.use);
  row["address"] = announcement.peer_address.ToString();
  row["at_ms"] = announcement.at.count;
  row["crashes"] = announcement.crashes;
  row["limits"] = std::move(limits);
  if (announcement.stopped) row["stopped"] = true;
  if (announcement.granted.has_value()) {
    row["granted"] = EncodeGranted(*announcement.granted);
  }
  return DumpJson(row);
}

absl::StatusOr<Announcement> DecodeAnnouncement(std::string_view bytes) {
  const json row = ParseJson(bytes);
  if (!row.is_object()) return absl::InvalidArgumentError("not an object");
  Announcement announcement;
  const bool has_address =
      ParseAddress(TextField(row, "address"), &announcement.peer_address);
  if (!has_address) return absl::InvalidArgumentError("no address");
  const std::optional<Ms> at = MsField(row, "at_ms");
  if (!at.has_value()) return absl::InvalidArgumentError("no time");
  announcement.at = *at;
  announcement.use = DecodeUse(row);
  const auto crashes = row.find("crashes");
  if (crashes != row.end()) announcement.crashes = *crashes;
  announcement.limits = DecodeLimits(ObjectOf(row, "limits"), announcement.at);
  announcement.granted = DecodeGranted(row);
  announcement.stopped = FlagField(row, "stopped");
  return announcement;
}

}  // namespace knapweed::gateway

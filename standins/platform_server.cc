#include "standins/platform_server.h"

#include <algorithm>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

#include "absl/strings/strip.h"

namespace knapweed {

using nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreCounts, reads, scans, commits, puts,
                                   gets, removes, lists)

namespace {

constexpr std::string_view kObjectsPrefix = "/objects/";
constexpr std::string_view kWeightsPrefix = "/weights/";
constexpr size_t kWeightChunkBytes = 16 << 10;

struct PlatformOptions {
  /// Delay after which a posted VM list becomes visible.
  Ms vm_list_lag = {};
  /// Size of every file in the weight store.
  int64_t weight_bytes = 1 << 20;
  /// Total bandwidth of the weight store, shared by all downloads.
  int64_t weight_bytes_per_s = 100 << 20;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlatformOptions, vm_list_lag, weight_bytes,
                                   weight_bytes_per_s)

// A posted VM list and the time of the post.
struct VmListVersion {
  Ms effective_at;
  json vms;
};

struct Platform {
  MemoryStore store;
  TableService table = store.Table();
  ObjectStore objects = store.Objects();
  Clock clock = Clock::Steady();
  std::mutex mu;
  PlatformOptions options;
  std::deque<VmListVersion> vms;
  // When the link of the weight store has sent all reserved bytes.
  Ms weight_link_free_at;
};

void SendStatus(HttpResponder& responder, const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return SendJson(responder, 200, json::object());
    case absl::StatusCode::kNotFound:
      return SendError(responder, 404, "not found");
    case absl::StatusCode::kAborted:
      return SendError(responder, 409, "a condition did not hold");
    case absl::StatusCode::kUnavailable:
      return SendError(responder, 503, "nothing was applied");
    default:
      return responder.Drop();
  }
}

json RowToJson(const Row& row) {
  return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

absl::StatusOr<Transaction> ParseCommit(std::string_view text) {
  const json parsed = json::parse(text, nullptr, false);
  Transaction transaction;
  try {
    for (const json& it : parsed.at("conditions")) {
      transaction.conditions.push_back(
          {it.at("key").get<std::string>(), it.at("version").get<uint64_t>()});
    }
    for (const json& it : parsed.at("writes")) {
      RowWrite& write = transaction.writes.emplace_back();
      write.key = it.at("key").get<std::string>();
      const json& value = it.at("value");
      if (!value.is_null()) write.value = value.get<std::string>();
    }
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return transaction;
}

void HandleTable(Platform& platform, const HttpRequest& request,
                 HttpResponder& responder) {
  if (request.path == "/table/row") {
    const auto row = platform.table.get(QueryParam(request.query, "key"));
    if (!row.ok()) return SendStatus(responder, row.status());
    return SendJson(responder, 200, RowToJson(*row));
  }
  if (request.path == "/table/rows") {
    const auto rows = platform.table.scan(QueryParam(request.query, "prefix"));
    if (!rows.ok()) return SendStatus(responder, rows.status());
    json list = json::array();
    for (const Row& it : *rows) list.push_back(RowToJson(it));
    return SendJson(responder, 200, {{"rows", std::move(list)}});
  }
  const absl::StatusOr<Transaction> transaction = ParseCommit(request.body);
  if (!transaction.ok()) {
    return SendBadRequest(responder, transaction.status());
  }
  SendStatus(responder, platform.table.commit(*transaction));
}

void HandleObject(Platform& platform, const HttpRequest& request,
                  HttpResponder& responder) {
  const std::string name = request.path.substr(kObjectsPrefix.size());
  if (request.method == "PUT") {
    return SendStatus(responder, platform.objects.put(name, request.body));
  }
  if (request.method == "DELETE") {
    return SendStatus(responder, platform.objects.remove(name));
  }
  auto bytes = platform.objects.get(name);
  if (!bytes.ok()) return SendStatus(responder, bytes.status());
  responder.Send({200, {}, *std::move(bytes)});
}

void HandleObjectList(Platform& platform, const HttpRequest& request,
                      HttpResponder& responder) {
  const auto names = platform.objects.list(QueryParam(request.query, "prefix"));
  if (!names.ok()) return SendStatus(responder, names.status());
  SendJson(responder, 200, {{"names", *names}});
}

// Returns the newest VM list that is at least `vm_list_lag` old; empty if none.
json DelayedVmList(Platform& platform) {
  const std::lock_guard lock(platform.mu);
  const Ms until = platform.clock.Now() - platform.options.vm_list_lag;
  while (platform.vms.size() > 1 && platform.vms[1].effective_at <= until) {
    platform.vms.pop_front();
  }
  const bool has_list =
      !platform.vms.empty() && platform.vms.front().effective_at <= until;
  return has_list ? platform.vms.front().vms : json::array();
}

void HandleVms(Platform& platform, const HttpRequest& request,
               HttpResponder& responder) {
  if (request.method != "POST") {
    return SendJson(responder, 200, {{"vms", DelayedVmList(platform)}});
  }
  const json parsed = json::parse(request.body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("vms")) {
    return SendError(responder, 400, "expected {\"vms\":[...]}");
  }
  const std::lock_guard lock(platform.mu);
  platform.vms.push_back({platform.clock.Now(), parsed["vms"]});
  SendJson(responder, 200, json::object());
}

// Reserves the shared link for `bytes` more. Returns the time by which they are
// sent.
Ms ReserveWeightLink(Platform& platform, size_t bytes) {
  const std::lock_guard lock(platform.mu);
  const int64_t rate =
      std::max<int64_t>(1, platform.options.weight_bytes_per_s);
  const Ms start = std::max(platform.weight_link_free_at, platform.clock.Now());
  platform.weight_link_free_at =
      start + Ms{static_cast<int64_t>(bytes) * 1000 / rate};
  return platform.weight_link_free_at;
}

void HandleWeights(Platform& platform, HttpResponder& responder) {
  size_t left = 0;
  {
    const std::lock_guard lock(platform.mu);
    left = static_cast<size_t>(platform.options.weight_bytes);
  }
  responder.Begin(200, {{"Content-Type", "application/octet-stream"}});
  while (left > 0) {
    const size_t n = std::min(left, kWeightChunkBytes);
    const Ms sent_at = ReserveWeightLink(platform, n);
    SleepFor(std::max(Ms{0}, sent_at - platform.clock.Now()));
    if (!responder.Write(std::string(n, 'w'))) return;
    left -= n;
  }
  responder.End();
}

void Handle(Platform& platform, const HttpRequest& request,
            HttpResponder& responder) {
  const std::string& path = request.path;
  if (path.starts_with("/table/")) {
    HandleTable(platform, request, responder);
  } else if (path.starts_with(kObjectsPrefix)) {
    HandleObject(platform, request, responder);
  } else if (path == "/objects") {
    HandleObjectList(platform, request, responder);
  } else if (path == "/vms") {
    HandleVms(platform, request, responder);
  } else if (path.starts_with(kWeightsPrefix)) {
    HandleWeights(platform, responder);
  } else if (path == "/counts") {
    SendJson(responder, 200, platform.store.Counts());
  } else {
    SendError(responder, 404, "no such path");
  }
}

// Splits the fields between StoreFaults and PlatformOptions, which share one
// JSON object; applies them only if both parts are valid.
absl::Status Control(Platform& platform, const json& fields) {
  StoreFaults faults = platform.store.Faults();
  const json known_faults = faults;
  json store_fields = json::object();
  json other_fields = json::object();
  for (const auto& [name, value] : fields.items()) {
    (known_faults.contains(name) ? store_fields : other_fields)[name] = value;
  }
  const std::lock_guard lock(platform.mu);
  PlatformOptions options = platform.options;
  absl::Status status = MergeFields(store_fields, &faults);
  status.Update(MergeFields(other_fields, &options));
  if (!status.ok()) return status;
  platform.store.SetFaults(faults);
  platform.options = options;
  return status;
}

}  // namespace

Standin MakePlatformStandin() {
  const auto platform = std::make_shared<Platform>();
  Standin standin;
  standin.handle = [platform](const HttpRequest& request,
                              HttpResponder& responder) {
    Handle(*platform, request, responder);
  };
  standin.control = [platform](const json& fields) {
    return Control(*platform, fields);
  };
  standin.record = [] { return json::array(); };
  return standin;
}

}  // namespace knapweed

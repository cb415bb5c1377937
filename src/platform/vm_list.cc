#include "knapweed/platform/vm_list.h"

#include <memory>
#include <nlohmann/json.hpp>

#include "store_http.h"

namespace knapweed {
namespace {

using nlohmann::json;

absl::StatusOr<std::vector<VmEntry>> ReadVms(std::string_view text) {
  const absl::Status bad =
      absl::UnavailableError("the VM list is not understood");
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("vms")) return bad;
  std::vector<VmEntry> vms;
  for (const json& it : parsed["vms"]) {
    if (!it.is_object() || !it.contains("name")) return bad;
    try {
      vms.push_back({it.at("name").get<std::string>(),
                     it.value("address", std::string()),
                     it.value("leaving", false)});
    } catch (const json::exception&) {
      return bad;
    }
  }
  return vms;
}

}  // namespace

VmList ConnectVmList(const Address& server, Ms timeout) {
  const auto client = std::make_shared<HttpClient>(server);
  VmList list;
  list.read = [client, timeout]() -> absl::StatusOr<std::vector<VmEntry>> {
    absl::StatusOr<std::string> body =
        ReadOverHttp(*client, {"GET", "/vms", "", {}, ""}, timeout);
    if (!body.ok()) return body.status();
    return ReadVms(*body);
  };
  return list;
}

}  // namespace knapweed

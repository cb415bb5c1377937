#include "knapweed/platform/vm_list.h"

#include <memory>
#include <nlohmann/json.hpp>

#include "store_http.h"

namespace knapweed {
namespace {

using nlohmann::json;

absl::StatusOr<std::vector<VmEntry>> ParseVms(std::string_view text) {
  const absl::Status malformed = absl::UnavailableError("malformed VM list");
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("vms")) return malformed;
  std::vector<VmEntry> vms;
  for (const json& vm : parsed["vms"]) {
    if (!vm.is_object() || !vm.contains("name")) return malformed;
    try {
      vms.push_back({vm.at("name").get<std::string>(),
                     vm.value("address", std::string()),
                     vm.value("leaving", false)});
    } catch (const json::exception&) {
      return malformed;
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
    return ParseVms(*body);
  };
  return list;
}

}  // namespace knapweed

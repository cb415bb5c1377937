#include "knapweed/platform/object_store.h"

#include <memory>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "knapweed/base/percent.h"
#include "store_http.h"

namespace knapweed {
namespace {

using nlohmann::json;

std::string PathOf(std::string_view name) {
  return "/objects/" + PercentEncode(name);
}

absl::Status InvalidName(std::string_view name) {
  return absl::InvalidArgumentError(
      absl::StrCat("invalid object name \"", std::string(name), "\""));
}

absl::StatusOr<std::vector<std::string>> ParseNames(std::string_view text) {
  const absl::Status malformed =
      absl::UnavailableError("malformed list of names from the object store");
  const json parsed = json::parse(text, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("names")) return malformed;
  std::vector<std::string> names;
  for (const json& name : parsed["names"]) {
    if (!name.is_string()) return malformed;
    names.push_back(name.get<std::string>());
  }
  return names;
}

}  // namespace

bool IsObjectName(std::string_view name) {
  for (const char c : name) {
    if (static_cast<unsigned char>(c) < ' ' || c == '\\') return false;
  }
  const absl::string_view text(name.data(), name.size());
  for (const absl::string_view segment : absl::StrSplit(text, '/')) {
    if (segment.empty() || segment == "." || segment == "..") return false;
  }
  return true;
}

ObjectStore ConnectObjectStore(const Address& server, Ms timeout) {
  const auto client = std::make_shared<HttpClient>(server);
  ObjectStore store;
  store.put = [client, timeout](std::string_view name, std::string_view bytes) {
    if (!IsObjectName(name)) return InvalidName(name);
    const HttpRequest request{"PUT", PathOf(name), "", {}, std::string(bytes)};
    return WriteOverHttp(*client, request, timeout).status();
  };
  store.get = [client, timeout](std::string_view name) {
    const HttpRequest request{"GET", PathOf(name), "", {}, ""};
    return ReadOverHttp(*client, request, timeout);
  };
  store.remove = [client, timeout](std::string_view name) {
    const HttpRequest request{"DELETE", PathOf(name), "", {}, ""};
    return WriteOverHttp(*client, request, timeout).status();
  };
  store.list =
      [client, timeout](
          std::string_view prefix) -> absl::StatusOr<std::vector<std::string>> {
    const HttpRequest request{
        "GET", "/objects", "prefix=" + PercentEncode(prefix), {}, ""};
    absl::StatusOr<std::string> body = ReadOverHttp(*client, request, timeout);
    if (!body.ok()) return body.status();
    return ParseNames(*body);
  };
  return store;
}

}  // namespace knapweed

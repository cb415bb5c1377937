#ifndef KNAPWEED_STANDINS_STANDIN_H_
#define KNAPWEED_STANDINS_STANDIN_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/http/server.h"

namespace knapweed {

/// Time spans are whole milliseconds in JSON.
void to_json(nlohmann::json& to, const Ms& from);
void from_json(const nlohmann::json& from, Ms& to);

/// One fake of something outside the system, as functions: what it answers,
/// and the options and faults that can be set at any time.
struct Standin {
  HttpHandler handle;
  /// Changes the named fields and leaves the others. InvalidArgument for an
  /// unknown name or a wrong type, and then nothing changes.
  std::function<absl::Status(const nlohmann::json& fields)> control;
  /// What it did so far, as an array.
  std::function<nlohmann::json()> record;
};

/// Merges named fields into a struct that has to_json and from_json.
template <typename T>
absl::Status MergeFields(const nlohmann::json& fields, T* options) {
  if (!fields.is_object()) {
    return absl::InvalidArgumentError("expected a JSON object of fields");
  }
  nlohmann::json merged = *options;
  for (const auto& [name, value] : fields.items()) {
    if (!merged.contains(name)) {
      return absl::InvalidArgumentError("unknown field " + name);
    }
    merged[name] = value;
  }
  try {
    *options = merged.get<T>();
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
  return absl::OkStatus();
}

/// Text as JSON; bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);
void SendJson(HttpResponder& responder, int status, const nlohmann::json& body);
/// {"error":{"message":...}}, as chat-completion servers answer.
void SendError(HttpResponder& responder, int status, std::string_view message);
/// 400 with the status's text.
void SendBadRequest(HttpResponder& responder, const absl::Status& status);

/// The headers as [[name, value], ...].
nlohmann::json HeadersToJson(const HttpRequest& request);

/// Serves a stand-in, with /healthz, /control and /record besides its own
/// paths. The control field "cut" belongs to this address alone: while it is
/// true every other request is dropped unanswered, as on a broken network.
absl::StatusOr<std::unique_ptr<HttpServer>> ServeStandin(const Address& listen,
                                                         Standin standin);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_STANDIN_H_

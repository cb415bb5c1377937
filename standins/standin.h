#ifndef KNAPWEED_STANDINS_STANDIN_H_
#define KNAPWEED_STANDINS_STANDIN_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "knapweed/base/json.h"
#include "knapweed/http/server.h"

namespace knapweed {

/// Ms is written to JSON as a whole number of milliseconds.
void to_json(nlohmann::json& to, const Ms& from);
void from_json(const nlohmann::json& from, Ms& to);

/// A fake of an external service for tests, with options and faults that can be
/// changed while it runs. Served by ServeStandin. The functions are called from
/// several threads at once.
struct Standin {
  /// Answers the requests to the service's own paths.
  HttpHandler handle;
  /// Sets the named options and leaves the others. Returns InvalidArgument and
  /// changes nothing for an unknown name or a wrong type.
  std::function<absl::Status(const nlohmann::json& fields)> control;
  /// Returns the requests recorded so far, as an array.
  std::function<nlohmann::json()> record;
};

/// Sets the named fields of a struct that has to_json and from_json. Returns
/// InvalidArgument and changes nothing for an unknown name or a wrong type.
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

/// Sends a response with a JSON body.
void SendJson(HttpResponder& responder, int status, const nlohmann::json& body);
/// Sends {"error":{"message":...}}, the format of chat completion APIs.
void SendError(HttpResponder& responder, int status, std::string_view message);
/// Sends 400 with the message of `status`.
void SendBadRequest(HttpResponder& responder, const absl::Status& status);

/// Returns the headers as [[name, value], ...].
nlohmann::json HeadersToJson(const HttpRequest& request);

/// Starts a server for a stand-in, with /healthz, /control and /record besides
/// the stand-in's own paths. The control field "cut" applies to this address
/// only: while it is true, all requests but those to /control are dropped
/// without an answer, as in a network partition.
absl::StatusOr<std::unique_ptr<HttpServer>> ServeStandin(const Address& listen,
                                                         Standin standin);

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_STANDIN_H_

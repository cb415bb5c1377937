#ifndef KNAPWEED_STANDINS_RECORD_H_
#define KNAPWEED_STANDINS_RECORD_H_

#include <cstddef>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/http/http.h"

namespace knapweed {

/// The log of requests that a stand-in received, in order of arrival, as served
/// at /record. Thread-safe.
class Record {
 public:
  /// Adds an entry with `fields` and the request's path, headers, workspace,
  /// program, attempt and time of arrival. Returns the entry's index.
  size_t Add(const HttpRequest& request, nlohmann::json fields);
  /// Sets fields of the entry at `index`, which must exist.
  void Update(size_t index, const nlohmann::json& fields);
  /// Returns all entries as an array.
  nlohmann::json ToJson() const;

 private:
  mutable std::mutex mu_;
  std::vector<nlohmann::json> entries_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_RECORD_H_

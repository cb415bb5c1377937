#ifndef KNAPWEED_STANDINS_RECORD_H_
#define KNAPWEED_STANDINS_RECORD_H_

#include <cstddef>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

#include "knapweed/base/clock.h"
#include "knapweed/http/http.h"

namespace knapweed {

/// What a stand-in saw and did, in order of arrival. Safe from any thread.
class Record {
 public:
  /// Adds one line about a request: its path, headers, workspace, program and
  /// attempt, and the time. Returns the line's number.
  size_t Add(const HttpRequest& request, nlohmann::json fields);
  /// Sets fields of a line that was added before.
  void Update(size_t index, const nlohmann::json& fields);
  nlohmann::json ToJson() const;

 private:
  mutable std::mutex mu_;
  std::vector<nlohmann::json> entries_;
};

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_RECORD_H_

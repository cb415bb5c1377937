#include "standins/record.h"

#include <string>
#include <utility>

#include "standins/standin.h"

namespace knapweed {

using nlohmann::json;

size_t Record::Add(const HttpRequest& request, json fields) {
  json entry = std::move(fields);
  entry["path"] = request.path;
  entry["workspace"] = std::string(FindHeader(request.headers, "X-Workspace"));
  entry["program"] = std::string(FindHeader(request.headers, "X-Program"));
  entry["attempt"] = std::string(FindHeader(request.headers, "X-Attempt"));
  entry["headers"] = HeadersToJson(request);
  entry["started_ms"] = WallTime().count;
  const std::lock_guard lock(mu_);
  entry["n"] = entries_.size();
  entries_.push_back(std::move(entry));
  return entries_.size() - 1;
}

void Record::Update(size_t index, const json& fields) {
  const std::lock_guard lock(mu_);
  entries_[index].update(fields);
}

json Record::ToJson() const {
  const std::lock_guard lock(mu_);
  return entries_;
}

}  // namespace knapweed

#include "standins/record.h"

#include <string>
#include <utility>

#include "standins/standin.h"

namespace knapweed {

using nlohmann::json;

size_t Record::Add(const HttpRequest& request, json fields) {
  json line = std::move(fields);
  line["path"] = request.path;
  line["workspace"] = std::string(FindHeader(request.headers, "X-Workspace"));
  line["program"] = std::string(FindHeader(request.headers, "X-Program"));
  line["attempt"] = std::string(FindHeader(request.headers, "X-Attempt"));
  line["headers"] = HeadersToJson(request);
  line["started_ms"] = WallTime().count;
  const std::lock_guard lock(mu_);
  line["n"] = lines_.size();
  lines_.push_back(std::move(line));
  return lines_.size() - 1;
}

void Record::Update(size_t line, const json& fields) {
  const std::lock_guard lock(mu_);
  lines_[line].update(fields);
}

json Record::ToJson() const {
  const std::lock_guard lock(mu_);
  return lines_;
}

}  // namespace knapweed

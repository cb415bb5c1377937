#ifndef KNAPWEED_GATEWAY_CRASH_WATCH_H_
#define KNAPWEED_GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "knapweed/gateway/net.h"
#include "knapweed/gateway/upstreams.h"
#include "knapweed/policy/quarantine.h"

/// Keeps requests that crash the upstreams which run them from running again.
/// Gateways tell each other of crashes in the rows in which they announce
/// themselves, so that such a request is known wherever it comes back.
namespace knapweed::gateway {

/// Names a request by what a caller sends again: whose it is, target and body.
uint64_t RequestDigest(std::string_view workspace, std::string_view target,
                       std::string_view body);

class CrashWatch {
 public:
  explicit CrashWatch(asio::io_context& loop);

  /// Whether any request is under suspicion; digests matter only then.
  bool HasRecords() const { return quarantine_.size() > 0; }
  /// Whether upstreams crashed under the request so often that it must not run.
  bool IsQuarantined(uint64_t digest) const;
  /// An attempt broke off. Looks in the background whether the upstream still
  /// takes connections; if not, it crashed under this request.
  void OnBroken(uint64_t digest, const UpstreamPtr& upstream,
                std::string_view request_id);
  /// The request was answered well: it is not what crashed upstreams before.
  void OnSuccess(uint64_t digest);

  /// What this gateway has seen of late, for the others.
  nlohmann::json OwnRecords();
  /// What another gateway has seen.
  void MergeRecords(const nlohmann::json& records);

 private:
  Task<void> Confirm(uint64_t digest, UpstreamPtr upstream,
                     std::string request_id);
  void AddOwn(const CrashRecord& record);

  asio::io_context& loop_;
  Quarantine quarantine_;
  std::deque<CrashRecord> own_;
  size_t confirming_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CRASH_WATCH_H_

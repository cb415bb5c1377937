#ifndef KNAPWEED_GATEWAY_CRASH_WATCH_H_
#define KNAPWEED_GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/net.h"
#include "knapweed/gateway/upstreams.h"
#include "knapweed/policy/quarantine.h"

/// Quarantines requests that crash the upstreams they run on. Gateways publish
/// crash records in the rows in which they announce themselves, so that every
/// gateway recognizes such a request when it is retried. A record stands in the
/// rows of several gateways, so that it outlives a restart of the one that saw
/// the crash, and that gateway itself.
namespace knapweed::gateway {

/// What tells one request from another: the same caller may send it again with
/// another id and under another program.
struct DigestedRequest {
  std::string_view workspace;
  std::string_view target;
  /// Stands for the history that precedes the body.
  std::string_view previous_turn;
  std::string_view body;
};

/// Identifies a request.
uint64_t RequestDigest(const DigestedRequest& request);

/// Records crashes of upstreams and finds the requests that cause them.
class CrashWatch {
 public:
  explicit CrashWatch(asio::io_context& loop);

  /// Whether there are crash records of any request; digests are needed only
  /// then.
  bool HasRecords() const { return quarantine_.size() > 0; }
  /// Whether so many upstreams crashed during the request that it must not run.
  bool IsQuarantined(uint64_t digest) const;
  /// Returns the time since the last crash during the request.
  Ms SinceLastCrash(uint64_t digest) const;
  /// Handles an attempt whose connection broke. Checks in the background
  /// whether the upstream still accepts connections; if not, records that it
  /// crashed during this request.
  void OnBroken(uint64_t digest, const UpstreamPtr& upstream,
                std::string_view request_id);
  /// Clears the request of its earlier crashes, after it was answered
  /// successfully.
  void OnSuccess(uint64_t digest);

  /// Returns the recent records that this gateway publishes: its own, and those
  /// of others that it keeps for them.
  nlohmann::json RecordsToPublish();
  /// Adds the records published by another gateway.
  void MergeRecords(const nlohmann::json& records);
  /// Takes over what the process before has published under this gateway's
  /// name.
  void Restore(const nlohmann::json& records);
  /// Sets the names of the gateways that run, which share the keeping of all
  /// records.
  void SetGateways(std::string self, std::vector<std::string> others);
  /// Sets a function that is called when a crash has quarantined a request.
  void OnQuarantined(std::function<void()> callback) {
    on_quarantined_ = std::move(callback);
  }

 private:
  /// Drops what has expired. Returns the own records, and those of others that
  /// this gateway keeps.
  std::vector<CrashRecord> RecordsInForce();
  /// Returns whether this gateway publishes the records of a request also if
  /// another one has made them.
  bool Keeps(uint64_t digest) const;
  Task<void> Confirm(uint64_t digest, UpstreamPtr upstream,
                     std::string request_id);
  void AddOwn(const CrashRecord& record);

  asio::io_context& loop_;
  Quarantine quarantine_;
  /// Oldest first.
  std::deque<CrashRecord> own_;
  std::string self_;
  std::vector<std::string> others_;
  std::function<void()> on_quarantined_;
  size_t confirming_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CRASH_WATCH_H_

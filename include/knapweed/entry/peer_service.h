#ifndef KNAPWEED_ENTRY_PEER_SERVICE_H_
#define KNAPWEED_ENTRY_PEER_SERVICE_H_

#include <memory>

#include "knapweed/entry/crash_board.h"
#include "knapweed/entry/rate_gate.h"
#include "knapweed/entry/turn_runner.h"
#include "knapweed/entry/upstream_directory.h"
#include "knapweed/membership/membership.h"
#include "knapweed/rules/rules_holder.h"
#include "knapweed/rules/rules_watcher.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// Dependencies of a PeerService; references must outlive it.
struct PeerServiceParts {
  TurnRunner& runner;
  RateGate& rates;
  UpstreamDirectory& upstreams;
  CrashBoard& crashes;
  const RulesHolder& rules;
  RulesWatcher& watcher;
  Membership& membership;
  /// Threads for forwarded calls.
  int threads;
};

/// Serves the RPCs of other entries and of sidecars: forwarded calls, token
/// requests for buckets that this process owns, heartbeats, configuration
/// pushes, crash reports and shutdown notices. Safe from any thread.
class PeerService {
 public:
  explicit PeerService(const PeerServiceParts& parts);
  /// Waits until running calls have ended.
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Handles one request; an RpcHandler. Never blocks: calls run on a thread
  /// pool.
  void Handle(wire::BodyUnion request, const ReplyHandle& reply);
  /// Returns the number of forwarded calls that have not ended.
  int in_flight() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_PEER_SERVICE_H_

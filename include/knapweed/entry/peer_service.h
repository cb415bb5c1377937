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

/// What the service works with; all outlive it.
struct PeerServiceParts {
  TurnRunner& runner;
  RateGate& rates;
  UpstreamDirectory& upstreams;
  CrashBoard& crashes;
  const RulesHolder& rules;
  RulesWatcher& watcher;
  Membership& membership;
  int threads;
};

/// Answers the system's other processes: forwarded calls, questions to buckets
/// that live here, pushed configurations and notices of leaving.
class PeerService {
 public:
  explicit PeerService(const PeerServiceParts& parts);
  /// Waits for the calls that run.
  ~PeerService();
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// An RpcHandler; never blocks.
  void Handle(wire::BodyUnion request, const ReplyHandle& reply);
  /// Forwarded calls that have not ended.
  int in_flight() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_PEER_SERVICE_H_

#ifndef KNAPWEED_TESTS_PLATFORM_KILLABLE_GATEWAY_H_
#define KNAPWEED_TESTS_PLATFORM_KILLABLE_GATEWAY_H_

#include <memory>
#include <optional>
#include <string>

#include "tests/platform/world.h"

/// A gateway of a `TestCluster` that a test can end at any moment, as a power
/// loss would, and start again under its name and addresses.
namespace knapweed::testing {

/// A gateway on an event loop of its own, which the cluster's loop drives.
class KillableGateway {
 public:
  /// Adds the gateway's settings to the cluster, which must outlive it, and
  /// starts it.
  KillableGateway(TestCluster& cluster, const std::string& name);
  ~KillableGateway();
  KillableGateway(const KillableGateway&) = delete;
  KillableGateway& operator=(const KillableGateway&) = delete;

  /// Ends it without any last step; its connections close.
  void Kill();
  /// Starts it after `Kill` and returns once it is ready, or after 10 s.
  void Start();

  /// Index for the calls of `TestCluster`.
  int index() const { return index_; }

 private:
  struct Process;

  TestCluster& cluster_;
  int index_;
  std::shared_ptr<Process> process_;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_KILLABLE_GATEWAY_H_

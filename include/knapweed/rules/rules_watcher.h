#ifndef KNAPWEED_RULES_RULES_WATCHER_H_
#define KNAPWEED_RULES_RULES_WATCHER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"
#include "knapweed/rules/config.h"
#include "knapweed/rules/rules_holder.h"

namespace knapweed {

struct RulesWatcherOptions {
  Ms poll_every = Ms{1000};
  /// Without a confirmation for this long, keys fail closed.
  Ms confirm_within = Seconds(4);
};

/// Follows the configuration's head row and publishes each newer version; what
/// is in force never goes back to an older one. Safe from any thread.
class RulesWatcher {
 public:
  /// Polls on a thread of its own, from now until destroyed.
  RulesWatcher(TableService table, ObjectStore objects, RulesHolder& holder,
               const Clock& clock, RulesWatcherOptions options);
  ~RulesWatcher();
  RulesWatcher(const RulesWatcher&) = delete;
  RulesWatcher& operator=(const RulesWatcher&) = delete;

  /// Reads the newest configuration now. Blocks on the store. DataLoss when the
  /// store's version is older than the one in force.
  absl::Status Refresh();
  /// Whether the store, or a peer that reached it, has confirmed the version in
  /// force lately.
  bool Confirmed() const;
  /// How long ago the store confirmed it, directly or by way of a peer; a long
  /// time when it never did.
  Ms ConfirmedAge() const;
  /// A peer confirmed `version` with the store at `age` before now. A newer
  /// version than the one in force starts a refresh and confirms nothing.
  void ConfirmFromPeer(uint64_t version, Ms age);

  /// Every failure domain said lately that it does not reach the store and
  /// knows no newer version, so that no change can be in force anywhere. Counts
  /// for this process only and is never passed on.
  void ConfirmDuringOutage();

  /// Applies what a peer pushed, without the store. FailedPrecondition on a
  /// gap, and DataLoss on another digest; both start a refresh. A version that
  /// is in force already is OK.
  absl::Status ApplyPush(const ConfigPush& push);
  /// The delta that led to the version in force, for peers that hold the one
  /// before; no value when it was read as a whole.
  std::optional<ConfigPush> LastPush() const;

  /// Called after each published version, on the thread that published it. The
  /// callback must not call `Refresh` or `ApplyPush`.
  void OnPublish(std::function<void(const Rules&)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_WATCHER_H_

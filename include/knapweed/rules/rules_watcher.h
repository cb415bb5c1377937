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
  /// Interval between reads of the head row.
  Ms poll_every = Ms{1000};
  /// `Confirmed` is true for this long after a confirmation. Without one, keys
  /// are rejected (fail closed).
  Ms confirm_within = Seconds(4);
};

/// Polls the configuration's head row and publishes each newer version to a
/// `RulesHolder`; the version in force never decreases. An entry process owns
/// one instance. Thread-safe.
class RulesWatcher {
 public:
  /// Starts a thread that polls until destruction. `holder` and `clock` must
  /// outlive the watcher.
  RulesWatcher(TableService table, ObjectStore objects, RulesHolder& holder,
               const Clock& clock, RulesWatcherOptions options);
  ~RulesWatcher();
  RulesWatcher(const RulesWatcher&) = delete;
  RulesWatcher& operator=(const RulesWatcher&) = delete;

  /// Reads and publishes the newest configuration. Blocks on the store.
  /// DataLoss when the store's version is older than the one in force.
  absl::Status Refresh();
  /// Returns whether the version in force was confirmed within
  /// `confirm_within`: by the store, by a peer that reached the store, or by
  /// `ConfirmDuringOutage`.
  bool Confirmed() const;
  /// Returns the time since the store confirmed the version in force, directly
  /// or through a peer; 1,000,000 s when it never has.
  Ms ConfirmedAge() const;
  /// Records that a peer confirmed `version` with the store `age` ago. A
  /// version newer than the one in force starts a refresh and confirms nothing.
  void ConfirmFromPeer(uint64_t version, Ms age);

  /// Confirms the version in force while the store is unreachable from every
  /// failure domain. Call it when all of them have just reported that they
  /// can't reach the store and have no newer version, so that no newer version
  /// can be in force anywhere. It does not affect `ConfirmedAge`, which peers
  /// are sent.
  void ConfirmDuringOutage();

  /// Applies a version pushed by a peer without reading the store.
  /// FailedPrecondition when a version in between is missing, and DataLoss when
  /// the result does not match the push; any error starts a refresh. A version
  /// that is not newer than the one in force is ignored, with OK.
  absl::Status ApplyPush(const ConfigPush& push);
  /// Returns the delta from the previous version to the one in force, for peers
  /// that have the previous one; no value before the first version or when it
  /// was not the direct successor of the last one in force.
  std::optional<ConfigPush> LastPush() const;

  /// Adds a callback that runs after each published version, on the thread that
  /// published it. It must not call any member of this class that takes its
  /// lock: `Refresh`, `ApplyPush`, `LastPush` or `OnPublish`.
  void OnPublish(std::function<void(const Rules&)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_WATCHER_H_

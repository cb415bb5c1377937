#ifndef KNAPWEED_RULES_RULES_WATCHER_H_
#define KNAPWEED_RULES_RULES_WATCHER_H_

#include <functional>
#include <memory>
#include <string>

#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"
#include "knapweed/rules/rules_holder.h"

namespace knapweed {

struct RulesWatcherOptions {
  Ms poll_every = Ms{1000};
  /// Without a confirmation for this long, keys fail closed.
  Ms confirm_within = Seconds(4);
};

/// Follows the configuration's head row and publishes each newer version.
class RulesWatcher {
 public:
  RulesWatcher(TableService table, ObjectStore objects, RulesHolder& holder,
               const Clock& clock, RulesWatcherOptions options);
  ~RulesWatcher();

  /// Reads the newest configuration now, as after a push from a peer. Blocks.
  absl::Status Refresh();
  /// Whether the store, or a peer that reached it, has confirmed the version in
  /// force lately.
  bool Confirmed() const;
  /// A peer confirmed `version` with the store at `age` before now.
  void ConfirmFromPeer(uint64_t version, Ms age);
  /// Called after each published version, on the watcher's thread.
  void OnPublish(std::function<void(const Rules&)> callback);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_WATCHER_H_

#ifndef KNAPWEED_RULES_RULES_HOLDER_H_
#define KNAPWEED_RULES_RULES_HOLDER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// The configuration in force. Readers take it by read-copy-update and never
/// wait; a replaced configuration is freed after its last reader has left.
class RulesHolder {
 public:
  /// Keeps one configuration alive on the thread that made it. Meant for short
  /// spans: while it lives, replaced configurations pile up. A request that
  /// blocks takes a `Snapshot` instead.
  class ReadGuard {
   public:
    explicit ReadGuard(const RulesHolder& holder);
    ~ReadGuard();
    ReadGuard(const ReadGuard&) = delete;
    ReadGuard& operator=(const ReadGuard&) = delete;
    const Rules& operator*() const { return *rules_; }
    const Rules* operator->() const { return rules_; }

   private:
    const Rules* rules_;
  };

  RulesHolder();
  /// No guard may be alive any more.
  ~RulesHolder();
  RulesHolder(const RulesHolder&) = delete;
  RulesHolder& operator=(const RulesHolder&) = delete;

  ReadGuard Read() const { return ReadGuard(*this); }
  /// The configuration in force, to keep for as long as needed and on any
  /// thread.
  std::shared_ptr<const Rules> Snapshot() const;
  /// Puts a configuration in force. False, changing nothing, unless its version
  /// is higher. Never waits for readers.
  bool Publish(std::unique_ptr<const Rules> rules);
  uint64_t version() const;

  /// Refuses the key with this digest from now on, before its withdrawal is
  /// committed. The denial holds in later versions too, until the process ends
  /// or `LiftDenial`. False when no key in force has this digest; the denial is
  /// kept all the same. Costs a copy of the configuration, and denying a digest
  /// again costs nothing.
  bool Deny(std::string_view key_digest);
  /// Ends a denial whose withdrawal was given up.
  void LiftDenial(std::string_view key_digest);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_HOLDER_H_

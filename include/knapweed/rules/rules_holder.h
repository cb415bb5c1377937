#ifndef KNAPWEED_RULES_RULES_HOLDER_H_
#define KNAPWEED_RULES_RULES_HOLDER_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// Holds the configuration in force; an entry process has one instance. It is
/// published by read-copy-update (RCU): readers never block, and a replaced
/// configuration is freed once no reader uses it. Thread-safe.
class RulesHolder {
 public:
  /// An RCU read-side critical section; destroy it on the thread that created
  /// it. Keep it short: no replaced configuration is freed while it exists.
  /// Code that blocks takes a `Snapshot` instead.
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
  /// No `ReadGuard` may exist any more.
  ~RulesHolder();
  RulesHolder(const RulesHolder&) = delete;
  RulesHolder& operator=(const RulesHolder&) = delete;

  ReadGuard Read() const { return ReadGuard(*this); }
  /// Returns the configuration in force for use on any thread and for any time.
  std::shared_ptr<const Rules> Snapshot() const;
  /// Puts a configuration in force. Returns false and changes nothing unless
  /// its version is higher than the last one. Does not wait for readers.
  bool Publish(std::unique_ptr<const Rules> rules);
  uint64_t version() const;

  /// Rejects the key with this digest at once, before its withdrawal is
  /// committed. The denial also applies to later versions, until `LiftDenial`
  /// or the end of the process. Returns false when no key in force has this
  /// digest; the denial is kept for later versions. Copies the configuration,
  /// unless the digest is already denied.
  bool Deny(std::string_view key_digest);
  /// Ends a denial, for when the withdrawal was not committed after all.
  void LiftDenial(std::string_view key_digest);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_HOLDER_H_

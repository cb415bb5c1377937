#ifndef KNAPWEED_RULES_RULES_HOLDER_H_
#define KNAPWEED_RULES_RULES_HOLDER_H_

#include <cstdint>
#include <memory>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// The configuration in force. Readers take it by read-copy-update and never
/// wait.
class RulesHolder {
 public:
  /// Keeps one configuration alive while a request uses it. Bound to the thread
  /// that made it.
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
  ~RulesHolder();
  RulesHolder(const RulesHolder&) = delete;
  RulesHolder& operator=(const RulesHolder&) = delete;

  ReadGuard Read() const { return ReadGuard(*this); }
  /// Puts a configuration in force. False, changing nothing, unless its version
  /// is higher.
  bool Publish(std::unique_ptr<const Rules> rules);
  uint64_t version() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_RULES_HOLDER_H_

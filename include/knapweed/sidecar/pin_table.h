#ifndef KNAPWEED_SIDECAR_PIN_TABLE_H_
#define KNAPWEED_SIDECAR_PIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/clock.h"

namespace knapweed {

/// Returns the engine's name for the hold on a program's cache: the program's
/// hash as 16 hexadecimal digits.
std::string HoldName(uint64_t program_hash);

/// The holds (pinned caches) at one engine, each with the end of its lease, so
/// that the cache of a program that ended without a release is freed as well.
/// Owned by EngineKeeper. Not thread-safe.
class PinTable {
 public:
  /// Adds a hold that the engine has, or sets the lease of a known one.
  void Add(const std::string& hold, Ms lease_end);
  /// Sets the end of a lease, later or earlier. False if there is no such hold.
  bool Renew(const std::string& hold, Ms lease_end);
  /// Removes the hold of a program that ended. False if there is none.
  bool Remove(const std::string& hold);
  /// Removes and returns the holds whose lease has ended, for the caller to
  /// release at the engine.
  std::vector<std::string> TakeExpired(Ms now);
  /// Removes all holds; for an engine that lost its memory.
  void Clear() { lease_ends_.clear(); }
  /// The end of the lease of each hold.
  const std::map<std::string, Ms>& holds() const { return lease_ends_; }

 private:
  std::map<std::string, Ms> lease_ends_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_PIN_TABLE_H_

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

/// The name under which an engine holds a program's cache: its hash in
/// hexadecimal.
std::string HoldName(uint64_t program_hash);

/// The holds that this sidecar keeps at its engine, each under a lease, so that
/// the memory of a program that is gone frees itself. Not safe from several
/// threads.
class PinTable {
 public:
  /// Notes a hold that the engine has.
  void Add(const std::string& hold, Ms lease_end);
  /// Moves a lease's end, later or earlier. False when there is no such hold.
  bool Renew(const std::string& hold, Ms lease_end);
  /// Takes out a hold whose program ended. False when there is none.
  bool Remove(const std::string& hold);
  /// Takes out all holds whose lease ended, for the engine to release.
  std::vector<std::string> TakeExpired(Ms now);
  /// The engine lost its memory.
  void Clear() { lease_ends_.clear(); }
  const std::map<std::string, Ms>& holds() const { return lease_ends_; }

 private:
  std::map<std::string, Ms> lease_ends_;
};

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_PIN_TABLE_H_

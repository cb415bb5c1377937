#ifndef KNAPWEED_GATEWAY_TURN_WITNESS_H_
#define KNAPWEED_GATEWAY_TURN_WITNESS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"

/// What a gateway remembers of turns that run on the allowance of another one,
/// so that the allowance can be taken over when that gateway is gone.
namespace knapweed::gateway {

/// One lease on a part of a program's budget. A holder that gives its allowance
/// back and claims another one begins a new lease.
struct LeaseKey {
  std::string program;
  /// Name of the holder's process.
  std::string holder;
  uint64_t number = 0;

  auto operator<=>(const LeaseKey&) const = default;
};

/// A turn that has not ended, as far as its witness knows.
struct WitnessedTurn {
  uint64_t max_tokens = 0;
  /// It counts as spent in full then.
  Ms expires_at;
};

/// The turns of one lease that one gateway has witnessed.
struct WitnessedLease {
  /// Tokens of turns that have ended.
  uint64_t settled = 0;
  std::map<std::string, WitnessedTurn> running;
  /// No turn may begin on it any more: another gateway has taken it over.
  bool is_closed = false;
  /// Peer address of that gateway.
  Address successor;
  Ms used_at;
};

/// The leases that one gateway witnesses. Not thread-safe.
class TurnWitness {
 public:
  /// A lease is remembered for at least this long after its last turn.
  static constexpr Ms kKept = Seconds(600);

  /// Adds a turn that is to begin. Returns false, and adds nothing, if the
  /// lease is closed.
  bool Begin(const LeaseKey& lease, const std::string& turn,
             const WitnessedTurn& begun, Ms now);
  /// Ends a turn of which `spent` tokens reached the caller. Returns the
  /// gateway that has taken over its lease; none if it is open.
  Address Settle(const LeaseKey& lease, const std::string& turn, uint64_t spent,
                 Ms now);
  /// Closes a lease, also one of which nothing is known, for `successor`.
  /// Returns what its turns have spent and may still spend.
  const WitnessedLease& Close(const LeaseKey& lease, const Address& successor,
                              Ms now);
  /// Ends turns that were not settled in time, and forgets old leases.
  void Expire(Ms now);

  size_t size() const { return leases_.size(); }

 private:
  std::map<LeaseKey, WitnessedLease> leases_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_TURN_WITNESS_H_

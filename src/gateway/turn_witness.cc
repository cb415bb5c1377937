#include "knapweed/gateway/turn_witness.h"

#include <algorithm>

namespace knapweed::gateway {

bool TurnWitness::Begin(const LeaseKey& lease, const std::string& turn,
                        const WitnessedTurn& begun, Ms now) {
  WitnessedLease& known = leases_[lease];
  known.used_at = now;
  if (known.is_closed) return false;
  known.running[turn] = begun;
  return true;
}

Address TurnWitness::Settle(const LeaseKey& lease, const std::string& turn,
                            uint64_t spent, Ms now) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return {};
  WitnessedLease& known = it->second;
  known.used_at = now;
  if (known.running.erase(turn) > 0) known.settled += spent;
  return known.successor;
}

const WitnessedLease& TurnWitness::Close(const LeaseKey& lease,
                                         const Address& successor, Ms now) {
  WitnessedLease& known = leases_[lease];
  known.used_at = now;
  known.is_closed = true;
  known.successor = successor;
  return known;
}

void TurnWitness::Expire(Ms now) {
  for (auto& known : leases_) {
    WitnessedLease& lease = known.second;
    std::erase_if(lease.running, [&](const auto& item) {
      const WitnessedTurn& turn = item.second;
      if (turn.expires_at > now) return false;
      lease.settled += turn.max_tokens;
      return true;
    });
  }
  std::erase_if(leases_, [&](const auto& item) {
    const WitnessedLease& lease = item.second;
    return lease.running.empty() && now - lease.used_at > kKept;
  });
}

}  // namespace knapweed::gateway

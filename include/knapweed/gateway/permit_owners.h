#ifndef KNAPWEED_GATEWAY_PERMIT_OWNERS_H_
#define KNAPWEED_GATEWAY_PERMIT_OWNERS_H_

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/gateway/permit_book.h"

/// In which order a gateway asks the holders of a workspace's slots for a
/// permit. Pure bookkeeping; nothing depends on it but the number of messages
/// and refusals.
namespace knapweed::gateway {

/// What the holders have answered lately. Not thread-safe.
class PermitOwners {
 public:
  PermitOwners(const Clock& clock, const RateSlots& slots, const Address& self);

  /// Returns the holders of the workspace's slots that may have a permit: this
  /// gateway first, then those with the most permits left as far as known.
  std::vector<Address> ToAsk(const std::string& workspace, size_t permits);
  /// Takes what a holder answered.
  void Record(const std::string& workspace, const Address& owner,
              const PermitGrant& answer);
  /// Skips a holder for all workspaces because it did not answer.
  void RecordSilence(const Address& owner);
  /// Returns whether some holder is skipped because it did not answer.
  bool HasSilent(const std::string& workspace) const;
  /// Returns the time until the first holder that had none has a permit.
  Ms UntilNextFree(const std::string& workspace) const;
  /// Forgets what is out of date.
  void RemoveOld();

 private:
  struct Known {
    size_t left = 0;
    Ms at;
    Ms none_until;
  };

  std::map<Address, size_t> SlotsByHolder(const std::string& workspace) const;
  bool IsSilent(const Address& owner) const;

  const Clock& clock_;
  const RateSlots& slots_;
  Address self_;
  std::map<std::pair<std::string, Address>, Known> known_;
  std::map<Address, Ms> silent_until_;
  std::minstd_rand random_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PERMIT_OWNERS_H_

#include "knapweed/gateway/permit_owners.h"

#include <algorithm>

#include "knapweed/base/ids.h"

namespace knapweed::gateway {
namespace {

/// After this time what a holder said of the permits left there says little.
constexpr Ms kKnownFor{1000};
/// A holder with none left is asked again after this time at the latest: its
/// calls may have ended unsent, and a limit may have been raised.
constexpr Ms kMaxSkipOfEmpty{400};
/// Time for which a holder that did not answer is not asked.
constexpr Ms kSkipOfSilent{1500};

}  // namespace

PermitOwners::PermitOwners(const Clock& clock, const RateSlots& slots,
                           const Address& self)
    : clock_(clock),
      slots_(slots),
      self_(self),
      random_(static_cast<uint32_t>(HashBytes(self.ToString()))) {}

std::map<Address, size_t> PermitOwners::SlotsByHolder(
    const std::string& workspace) const {
  std::map<Address, size_t> count;
  const size_t first = FirstSlotOf(workspace);
  for (size_t i = 0; i < kSlotsPerGroup; ++i) {
    const Address& holder = slots_.HolderOf(first + i);
    if (holder.port != 0) ++count[holder];
  }
  return count;
}

bool PermitOwners::IsSilent(const Address& owner) const {
  const auto it = silent_until_.find(owner);
  return it != silent_until_.end() && it->second > clock_.Now();
}

std::vector<Address> PermitOwners::ToAsk(const std::string& workspace,
                                         size_t permits) {
  struct Candidate {
    Address address;
    double left = 0;
  };
  const Ms now = clock_.Now();
  std::vector<Candidate> candidates;
  for (const auto& [address, slots] : SlotsByHolder(workspace)) {
    if (IsSilent(address)) continue;
    // A fraction of a permit decides between holders that have as many.
    Candidate candidate{address,
                        std::uniform_real_distribution<double>(0, 1)(random_)};
    const auto it = known_.find({workspace, address});
    const bool is_known =
        it != known_.end() && now - it->second.at <= kKnownFor;
    if (is_known && it->second.none_until > now) continue;
    candidate.left += is_known && it->second.left > 0
                          ? static_cast<double>(it->second.left)
                          : static_cast<double>(permits * slots) /
                                static_cast<double>(2 * kSlotsPerGroup);
    if (address == self_) candidate.left += static_cast<double>(permits);
    candidates.push_back(candidate);
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.left > b.left; });
  std::vector<Address> order;
  order.reserve(candidates.size());
  for (const Candidate& it : candidates) order.push_back(it.address);
  return order;
}

void PermitOwners::Record(const std::string& workspace, const Address& owner,
                          const PermitGrant& answer) {
  const Ms now = clock_.Now();
  Known& known = known_[{workspace, owner}];
  known.left = answer.left;
  known.at = now;
  known.none_until = answer.granted
                         ? now
                         : now + std::min(answer.retry_after, kMaxSkipOfEmpty);
  silent_until_.erase(owner);
}

void PermitOwners::RecordSilence(const Address& owner) {
  silent_until_[owner] = clock_.Now() + kSkipOfSilent;
}

bool PermitOwners::HasSilent(const std::string& workspace) const {
  const std::map<Address, size_t> holders = SlotsByHolder(workspace);
  return holders.empty() ||
         std::any_of(holders.begin(), holders.end(),
                     [&](const auto& item) { return IsSilent(item.first); });
}

Ms PermitOwners::UntilNextFree(const std::string& workspace) const {
  Ms shortest = kMaxSkipOfEmpty;
  for (const auto& [address, slots] : SlotsByHolder(workspace)) {
    const auto it = known_.find({workspace, address});
    if (it == known_.end()) continue;
    shortest = std::min(shortest, it->second.none_until - clock_.Now());
  }
  return std::max(shortest, Ms{0});
}

void PermitOwners::RemoveOld() {
  const Ms now = clock_.Now();
  std::erase_if(known_, [&](const auto& item) {
    return now - item.second.at > kKnownFor && item.second.none_until <= now;
  });
  std::erase_if(silent_until_,
                [&](const auto& item) { return item.second <= now; });
}

}  // namespace knapweed::gateway

#ifndef KNAPWEED_TESTS_PERMIT_GROUP_H_
#define KNAPWEED_TESTS_PERMIT_GROUP_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/gateway/permit_book.h"
#include "knapweed/gateway/permit_owners.h"

/// Gateways among which the slots of rates are divided for good, and that ask
/// each other for permits without delay.
namespace knapweed::gateway {

class PermitGroup {
 public:
  PermitGroup(const Clock& clock, size_t gateways, QuotaTolerance tolerance)
      : clock_(clock), tolerance_(tolerance) {
    SlotTable table;
    for (size_t i = 0; i < kSlotCount; ++i) {
      const size_t holder = i % gateways;
      table[i] = {AddressOf(holder), AddressOf(holder).ToString(), Ms{0}};
    }
    const Row row{
        {"gateways", "", std::string(kSlotsKey)}, EncodeSlots(table), 1, false};
    for (size_t i = 0; i < gateways; ++i) {
      members_.push_back(std::make_unique<Member>(clock, i, tolerance));
      members_[i]->slots.OnRead(nullptr);
      members_[i]->slots.OnAnnounced(clock.Now(), 1);
      members_[i]->slots.OnRead(&row);
    }
  }

  /// Takes a permit at a gateway, from the others too if it reaches them.
  bool Take(size_t gateway, const Workspace& workspace, bool reaches_others) {
    Member& member = *members_[gateway];
    const std::vector<Address> owners =
        member.owners.ToAsk(workspace.name, PermitsOf(workspace, tolerance_));
    for (const Address& owner : owners) {
      const size_t index = owner.port - size_t{1};
      if (index != gateway && !reaches_others) continue;
      Member& asked = *members_[index];
      asked.slots.OnAnnounced(clock_.Now(), 1);
      const PermitGrant grant = asked.book.Grant(workspace);
      member.owners.Record(workspace.name, owner, grant);
      if (grant.granted) return true;
    }
    return false;
  }

 private:
  struct Member {
    Member(const Clock& clock, size_t i, QuotaTolerance tolerance)
        : slots(clock, AddressOf(i), AddressOf(i).ToString(),
                PermitSpan(tolerance)),
          book(clock, slots, tolerance, 1),
          owners(clock, slots, AddressOf(i)) {}
    RateSlots slots;
    PermitBook book;
    PermitOwners owners;
  };

  static Address AddressOf(size_t gateway) {
    return {"127.0.0.1", static_cast<uint16_t>(gateway + 1)};
  }

  const Clock& clock_;
  QuotaTolerance tolerance_;
  std::vector<std::unique_ptr<Member>> members_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_PERMIT_GROUP_H_

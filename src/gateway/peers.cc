#include "knapweed/gateway/peers.h"

#include "knapweed/base/ids.h"

namespace knapweed::gateway {
namespace {

/// Time for which a peer that did not answer is skipped.
constexpr Ms kSkipTime{1500};

}  // namespace

void Peers::SetOthers(std::span<const Address> others) {
  others_.clear();
  for (const Address& address : others) others_.push_back(NameOf(address));
}

Home Peers::HomeOf(std::string_view name) const {
  const uint64_t seed = HashBytes(name);
  Home home{self_.address, true};
  uint64_t best = HashBytes(self_.text, seed);
  for (const Name& other : others_) {
    const uint64_t weight = HashBytes(other.text, seed);
    if (weight <= best) continue;
    best = weight;
    home = {other.address, false};
  }
  return home;
}

HttpClient& Peers::At(const Address& address) {
  std::unique_ptr<HttpClient>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<HttpClient>(loop_, clock_, address);
  }
  return *client;
}

bool Peers::MayAsk(const Address& address) const {
  const auto it = skipped_until_.find(address);
  return it == skipped_until_.end() || it->second <= clock_.Now();
}

void Peers::Skip(const Address& address) {
  skipped_until_[address] = clock_.Now() + kSkipTime;
}

}  // namespace knapweed::gateway

#include "knapweed/gateway/peers.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "knapweed/base/ids.h"

namespace knapweed::gateway {
void Peers::SetOthers(std::span<const Address> others) {
  others_.clear();
  for (const Address& address : others) others_.push_back(NameOf(address));
}

void Peers::AddOther(const Address& address) {
  const bool is_known =
      address == self_.address ||
      std::any_of(others_.begin(), others_.end(),
                  [&](const Name& other) { return other.address == address; });
  if (!is_known) others_.push_back(NameOf(address));
}

template <typename Filter>
Home Peers::Choose(std::string_view name, bool own_weight_counts,
                   const Filter& may_choose) const {
  const uint64_t seed = HashBytes(name);
  Home home{self_.address, true};
  uint64_t best = own_weight_counts ? HashBytes(self_.text, seed) : 0;
  for (const Name& other : others_) {
    const uint64_t weight = HashBytes(other.text, seed);
    if (weight <= best || !may_choose(other.address)) continue;
    best = weight;
    home = {other.address, false};
  }
  return home;
}

Home Peers::HomeOf(std::string_view name) const {
  return Choose(name, !excludes_self_, [](const Address&) { return true; });
}

Home Peers::ReachableHomeOf(std::string_view name) const {
  return Choose(name, !excludes_self_,
                [this](const Address& address) { return MayAsk(address); });
}

Home Peers::SubstituteOf(std::string_view name) const {
  return Choose(name, false,
                [this](const Address& address) { return MayAsk(address); });
}

size_t Peers::RankOf(std::string_view name,
                     const std::function<bool(const Address&)>& counts) const {
  const uint64_t seed = HashBytes(name);
  const uint64_t own = HashBytes(self_.text, seed);
  return static_cast<size_t>(
      std::count_if(others_.begin(), others_.end(), [&](const Name& other) {
        return HashBytes(other.text, seed) > own && counts(other.address);
      }));
}

template <typename Filter>
std::vector<Address> Peers::ChooseFirst(std::string_view name, size_t count,
                                        const Filter& may_choose) const {
  const uint64_t seed = HashBytes(name);
  std::vector<std::pair<uint64_t, const Name*>> ranked;
  ranked.reserve(others_.size());
  for (const Name& other : others_) {
    if (!may_choose(other.address)) continue;
    ranked.emplace_back(HashBytes(other.text, seed), &other);
  }
  const size_t n = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(n),
                    ranked.end(), std::greater<>());
  std::vector<Address> first;
  first.reserve(n);
  for (size_t i = 0; i < n; ++i) first.push_back(ranked[i].second->address);
  return first;
}

std::vector<Address> Peers::First(std::string_view name, size_t count) const {
  return ChooseFirst(name, count, [](const Address&) { return true; });
}

std::vector<Address> Peers::FirstReachable(std::string_view name,
                                           size_t count) const {
  return ChooseFirst(
      name, count, [this](const Address& address) { return MayAsk(address); });
}

HttpClient& PeerClients::At(const Address& address) {
  std::unique_ptr<HttpClient>& client = clients_[address];
  if (client == nullptr) {
    client = std::make_unique<HttpClient>(loop_, clock_, address);
  }
  return *client;
}

SendToPeer PeerClients::Sender() {
  return [this](const Address& peer, const HttpRequest& call, Ms timeout) {
    return At(peer).Send(call, timeout);
  };
}

bool Peers::MayAsk(const Address& address) const {
  const auto it = skipped_until_.find(address);
  return it == skipped_until_.end() || it->second <= clock_.Now();
}

void Peers::Skip(const Address& address) {
  skipped_until_[address] = clock_.Now() + skip_time_;
  unreachable_since_.try_emplace(address, clock_.Now());
}

void Peers::RecordAnswer(const Address& address) {
  unreachable_since_.erase(address);
}

Ms Peers::UnreachableFor(const Address& address) const {
  const auto it = unreachable_since_.find(address);
  return it == unreachable_since_.end() ? Ms{0} : clock_.Now() - it->second;
}

}  // namespace knapweed::gateway

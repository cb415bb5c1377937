#include "knapweed/sidecar/pin_table.h"

#include "absl/strings/str_cat.h"

namespace knapweed {

std::string HoldName(uint64_t program_hash) {
  return absl::StrCat(absl::Hex(program_hash, absl::kZeroPad16));
}

void PinTable::Add(const std::string& hold, Ms lease_end) {
  lease_ends_[hold] = lease_end;
}

bool PinTable::Renew(const std::string& hold, Ms lease_end) {
  const auto it = lease_ends_.find(hold);
  if (it == lease_ends_.end()) return false;
  it->second = lease_end;
  return true;
}

bool PinTable::Remove(const std::string& hold) {
  return lease_ends_.erase(hold) > 0;
}

std::vector<std::string> PinTable::TakeExpired(Ms now) {
  std::vector<std::string> expired;
  for (auto it = lease_ends_.begin(); it != lease_ends_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = lease_ends_.erase(it);
  }
  return expired;
}

}  // namespace knapweed

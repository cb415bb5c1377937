#ifndef KNAPWEED_TESTS_SIM_STORE_H_
#define KNAPWEED_TESTS_SIM_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "knapweed/gateway/permit_book.h"
#include "knapweed/gateway/rate_slots.h"

namespace knapweed::gateway {

/// A simulated table of announcements and slots, with conditional commits.
class SimStore {
 public:
  struct Stored {
    std::string value;
    uint64_t version = 0;
    /// What the tests need of an announcement beside its value.
    Address address;
    Ms at;
    bool stopped = false;
    std::optional<AnnouncedGrants> granted;
    /// When it was announced, by the gateway's own estimate of the time.
    Ms own_at;
  };

  using Rows = std::map<std::string, std::shared_ptr<const Stored>>;

  bool Apply(const Commit& commit, const Stored& extra) {
    for (const RowCondition& condition : commit.conditions) {
      const auto it = rows.find(condition.key.key);
      const uint64_t version = it == rows.end() ? 0 : it->second->version;
      if (version != condition.version) return false;
    }
    ++version_;
    for (const RowWrite& write : commit.writes) {
      Stored row = extra;
      row.value = write.value;
      row.version = version_;
      rows[write.key.key] = std::make_shared<const Stored>(std::move(row));
    }
    return true;
  }

  uint64_t version() const { return version_; }

  Rows rows;
  bool is_up = true;

 private:
  uint64_t version_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_SIM_STORE_H_

#ifndef KNAPWEED_RULES_KEY_LIST_H_
#define KNAPWEED_RULES_KEY_LIST_H_

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/base/ids.h"

namespace knapweed {

/// The stored form of a caller's key: the salted digest of its secret, never
/// the secret.
struct KeyRecord {
  std::string id;
  WorkspaceId workspace;
  std::string salt;
  std::string digest;
  bool withdrawn = false;

  bool operator==(const KeyRecord&) const = default;
};

/// A copy-on-write list of keys: copies share one vector until one of them is
/// edited. The versions of a configuration, in stored and compiled form, thus
/// share the memory of their keys.
class KeyList {
 public:
  KeyList() = default;
  KeyList(std::initializer_list<KeyRecord> keys)
      : keys_(std::make_shared<std::vector<KeyRecord>>(keys)) {}

  auto begin() const { return keys_->cbegin(); }
  auto end() const { return keys_->cend(); }
  size_t size() const { return keys_->size(); }
  bool empty() const { return keys_->empty(); }

  /// Returns the vector for editing, after copying it if it is shared.
  std::vector<KeyRecord>& Edit() {
    if (keys_.use_count() > 1)
      keys_ = std::make_shared<std::vector<KeyRecord>>(*keys_);
    return *keys_;
  }

 private:
  std::shared_ptr<std::vector<KeyRecord>> keys_ =
      std::make_shared<std::vector<KeyRecord>>();
};

}  // namespace knapweed

#endif  // KNAPWEED_RULES_KEY_LIST_H_

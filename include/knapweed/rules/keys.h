#ifndef KNAPWEED_RULES_KEYS_H_
#define KNAPWEED_RULES_KEYS_H_

#include <string>
#include <string_view>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// A new key. `text` is what the caller presents, "kw_KEYID_SECRET"; it is
/// shown once and only `record` is stored.
struct IssuedKey {
  std::string text;
  KeyRecord record;
};

/// Generates a key; id, salt and secret come from the operating system's random
/// source.
IssuedKey MakeKey(const WorkspaceId& workspace);

/// The two parts of "kw_KEYID_SECRET"; both are empty when the text is not in
/// this form. They point into the text.
struct KeyParts {
  std::string_view id;
  std::string_view secret;
};

KeyParts SplitKey(std::string_view presented);

/// Returns whether the salted SHA-256 of `secret` equals the record's digest.
/// Compares in constant time.
bool SecretMatches(const KeyRecord& record, std::string_view secret);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_KEYS_H_

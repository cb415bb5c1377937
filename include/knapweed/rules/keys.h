#ifndef KNAPWEED_RULES_KEYS_H_
#define KNAPWEED_RULES_KEYS_H_

#include <string>
#include <string_view>

#include "knapweed/rules/rules.h"

namespace knapweed {

/// A new key. `text` is what the caller presents and is shown once; only
/// `record` is kept.
struct IssuedKey {
  std::string text;
  KeyRecord record;
};

/// Draws id, salt and secret from the operating system's random source.
IssuedKey MakeKey(const WorkspaceId& workspace);

/// The two parts of "kw_KEYID_SECRET"; both empty when the text is not a key.
struct KeyParts {
  std::string_view id;
  std::string_view secret;
};

KeyParts SplitKey(std::string_view presented);

/// Whether the salted SHA-256 of `secret` is the record's digest. Takes the
/// same time wherever the digests differ.
bool SecretMatches(const KeyRecord& record, std::string_view secret);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_KEYS_H_

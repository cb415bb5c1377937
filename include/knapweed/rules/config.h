#ifndef KNAPWEED_RULES_CONFIG_H_
#define KNAPWEED_RULES_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/rules/rules.h"

namespace knapweed {

/// One version of the configuration as it is stored: the text of the rules file
/// as the operator wrote it, and the keys, sorted by id.
struct StoredConfig {
  uint64_t version = 0;
  /// The version in which the rules text last changed; later versions, up to
  /// `version`, changed only keys.
  uint64_t rules_version = 0;
  std::string rules_text;
  KeyList keys;
};

/// A new version as sent to peers: `delta` turns `base_version` into `version`,
/// and `digest` is the `ConfigDigest` of the result.
struct ConfigPush {
  uint64_t version = 0;
  uint64_t base_version = 0;
  std::string digest;
  std::string delta;
};

/// Returns the hexadecimal SHA-256 of everything in a configuration. Two
/// processes with equal digests have identical configurations.
std::string ConfigDigest(const StoredConfig& config);

/// Returns a complete configuration as JSON.
std::string EncodeConfig(const StoredConfig& config);
/// Parses the output of `EncodeConfig`. InvalidArgument when a member is
/// missing or has another type.
absl::StatusOr<StoredConfig> DecodeConfig(std::string_view text);

/// Returns the difference between `base` and `next` as JSON: one contiguous run
/// of changed lines of the rules text, and the keys that were added, changed or
/// removed.
std::string EncodeDelta(const StoredConfig& base, const StoredConfig& next);
/// Applies the output of `EncodeDelta` to `base`. FailedPrecondition when the
/// delta is based on another version than that of `base`; InvalidArgument when
/// it is malformed or edits past the end of the rules text.
absl::StatusOr<StoredConfig> ApplyDelta(const StoredConfig& base,
                                        std::string_view delta);

/// Returns the key with that id, or null. The pointer is valid until the keys
/// of `config` change.
const KeyRecord* FindStoredKey(const StoredConfig& config, std::string_view id);
/// Adds a key, or replaces the key with the same id.
void PutStoredKey(StoredConfig& config, KeyRecord key);

/// Parses the rules text and adds the keys. `previous`, when given, is the
/// result for an earlier version; its rules are copied instead of parsed again
/// when the text has not changed since. InvalidArgument lists the faults of the
/// text.
absl::StatusOr<std::unique_ptr<Rules>> CompileConfig(
    const StoredConfig& config, const Rules* previous = nullptr);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_CONFIG_H_

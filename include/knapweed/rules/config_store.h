#ifndef KNAPWEED_RULES_CONFIG_STORE_H_
#define KNAPWEED_RULES_CONFIG_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/platform/object_store.h"
#include "knapweed/platform/table_service.h"
#include "knapweed/rules/config.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {

/// Key of the head row, the table row that names the newest committed
/// configuration.
inline constexpr std::string_view kConfigHeadRow = "config/head";
/// The objects of version 1 and of every multiple of this number hold a
/// complete configuration; all others hold a delta from the version before.
inline constexpr uint64_t kVersionsPerFullCopy = 32;

/// The stores that hold the configuration: the head row is in the table, the
/// configuration itself in objects.
struct ConfigStore {
  TableService table;
  ObjectStore objects;
};

/// The decoded head row. A commit is conditional on `row_version`. `version` is
/// 0 before the first change.
struct ConfigHead {
  uint64_t version = 0;
  std::string digest;
  std::string object;
  /// Random id of the change that wrote this head. After a commit of unknown
  /// outcome, a writer compares it to tell its own write from another's.
  std::string writer;
  uint64_t row_version = 0;
};

/// Reads the head row. DataLoss when it is malformed. Blocks on the store.
absl::StatusOr<ConfigHead> ReadConfigHead(const ConfigStore& store);

/// Reads the configuration that `head` names. `cached` is a version that the
/// caller already has: reading goes back from the head only as far as the next
/// complete copy or `cached`. DataLoss when the result does not match the
/// head's digest. Blocks on the store.
absl::StatusOr<StoredConfig> ReadConfig(const ConfigStore& store,
                                        const ConfigHead& head,
                                        const StoredConfig& cached = {});

/// Outcome of a change to the configuration.
enum class ChangeState : uint8_t {
  kApplied,
  /// The configuration was already as requested.
  kUnchanged,
  /// The change is invalid; `faults` or `message` say why.
  kRefused,
  /// Another operator's change was committed first. Nothing was changed.
  kConflict,
  /// The store can't be reached or read. Nothing was changed.
  kUnavailable,
  /// The store's answer was lost and the outcome could not be read back: the
  /// change may or may not be in force.
  kUnknown,
};

/// Result of `ApplyRules`, `IssueKey` and `WithdrawKey`.
struct ChangeResult {
  ChangeState state = ChangeState::kRefused;
  /// The version in force after the change, or the one that it conflicts with.
  uint64_t version = 0;
  /// Faults of a refused rules file.
  std::vector<RulesFault> faults;
  /// Explanation for the operator; may be empty when applied or unchanged.
  std::string message;
  /// The change as it can be sent to peers; set when applied.
  ConfigPush push;
};

/// Commits a new rules file. The change conflicts when the rules were changed
/// after `expect_version`, or after the version first read when none is given.
/// Changes of keys alone never conflict. Blocks on the store, as do the
/// functions below.
ChangeResult ApplyRules(const ConfigStore& store, std::string_view text,
                        std::optional<uint64_t> expect_version = std::nullopt);

/// Result of `IssueKey`. `key_text` is what the caller presents; it is not
/// stored. After `kUnknown` the key may or may not be accepted and should be
/// withdrawn.
struct IssuedKeyResult {
  ChangeResult change;
  std::string key_id;
  std::string key_text;
};

/// Creates a key for a workspace that the rules define. `kRefused` when they
/// don't.
IssuedKeyResult IssueKey(const ConfigStore& store,
                         const WorkspaceId& workspace);
/// Withdraws a key permanently. `kUnchanged` when it is already withdrawn,
/// `kRefused` when the id is unknown.
ChangeResult WithdrawKey(const ConfigStore& store, std::string_view key_id);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_CONFIG_STORE_H_

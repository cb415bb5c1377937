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

/// The row that names the newest accepted configuration.
inline constexpr std::string_view kConfigHeadRow = "config/head";
/// Every this many versions an object holds the whole configuration; those
/// between hold what changed.
inline constexpr uint64_t kVersionsPerFullCopy = 32;

/// Where the configuration is kept.
struct ConfigStore {
  TableService table;
  ObjectStore objects;
};

/// The head row. `row_version` is what a change is conditioned on; `version` is
/// 0 before the first change.
struct ConfigHead {
  uint64_t version = 0;
  std::string digest;
  std::string object;
  /// Names the one change that wrote this head, so that an uncertain write can
  /// be told from another's.
  std::string writer;
  uint64_t row_version = 0;
};

absl::StatusOr<ConfigHead> ReadConfigHead(const ConfigStore& store);

/// The configuration that `head` names. Only what changed since `held` is read,
/// where that is shorter. DataLoss when the result has another digest.
absl::StatusOr<StoredConfig> ReadConfig(const ConfigStore& store,
                                        const ConfigHead& head,
                                        const StoredConfig& cached = {});

/// What came of a change to the configuration.
enum class ChangeState : uint8_t {
  kApplied,
  /// The configuration already was as asked for.
  kUnchanged,
  /// The change itself is wrong; `faults` or `message` say why.
  kRefused,
  /// Another operator's change came first. Nothing was changed.
  kConflict,
  /// The store can't be reached. Nothing was changed.
  kUnavailable,
  /// The store's answer was lost and it could not be read back: the change may
  /// or may not be in force.
  kUnknown,
};

struct ChangeResult {
  ChangeState state = ChangeState::kRefused;
  /// The version in force after the change, or the one that it conflicts with.
  uint64_t version = 0;
  std::vector<RulesFault> faults;
  /// A sentence for the operator where the state alone does not say enough.
  std::string message;
  /// Set when applied: what peers can be sent.
  ConfigPush push;
};

/// Puts a rules file in force. With `expect_version` the change conflicts when
/// the rules were changed after that version; changes of keys alone never
/// conflict.
ChangeResult ApplyRules(const ConfigStore& store, std::string_view text,
                        std::optional<uint64_t> expect_version = std::nullopt);

/// `key_text` is what the caller presents; it is kept nowhere. After
/// `kUnknown` it may or may not work, and should be withdrawn.
struct IssuedKeyResult {
  ChangeResult change;
  std::string key_id;
  std::string key_text;
};

IssuedKeyResult IssueKey(const ConfigStore& store,
                         const WorkspaceId& workspace);
/// Withdrawing a key again is `kUnchanged`; an unknown id is `kRefused`.
ChangeResult WithdrawKey(const ConfigStore& store, std::string_view key_id);

}  // namespace knapweed

#endif  // KNAPWEED_RULES_CONFIG_STORE_H_

#include "knapweed/rules/config_store.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "knapweed/rules/keys.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kObjectPrefix = "config/";
/// How often a change is tried. An attempt fails when another change is
/// committed first, so each failed attempt means progress for another operator.
constexpr int kMaxCommitAttempts = 32;
/// The upper bound of the random delay before attempt N, counted from 0, is
/// kBackoffBaseMs * 2^N, and at most kMaxBackoffMs.
constexpr int64_t kBackoffBaseMs = 2;
constexpr int64_t kMaxBackoffMs = 200;
/// How often one write, or the reading back of its outcome, is tried when the
/// store's answer leaves the outcome unknown.
constexpr int kMaxStoreAttempts = 4;
/// Withdrawn keys stay in the list for operators to see. Beyond this number,
/// each withdrawal removes one; a removed key is rejected as unknown.
constexpr ptrdiff_t kMaxWithdrawnKeys = 1000;

/// One version in the object store: either a complete configuration in `full`,
/// or the `delta` from the version in the object named `previous`.
struct ConfigObject {
  uint64_t version = 0;
  std::string previous;
  std::string full;
  std::string delta;
};

std::string StringMember(const Json& json, const char* key) {
  if (!json.is_object()) return "";
  const auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

uint64_t NumberMember(const Json& json, const char* key) {
  if (!json.is_object()) return 0;
  const auto it = json.find(key);
  const bool number = it != json.end() && it->is_number_unsigned();
  return number ? it->get<uint64_t>() : 0;
}

std::string EncodeObject(const ConfigObject& object) {
  return Json{{"version", object.version},
              {"previous", object.previous},
              {"full", object.full},
              {"delta", object.delta}}
      .dump();
}

absl::StatusOr<ConfigObject> ReadObject(const ConfigStore& store,
                                        std::string_view name) {
  absl::StatusOr<std::string> bytes = store.objects.get(name);
  if (!bytes.ok()) return bytes.status();
  const Json json = Json::parse(*bytes, nullptr, false);
  ConfigObject object{NumberMember(json, "version"),
                      StringMember(json, "previous"),
                      StringMember(json, "full"), StringMember(json, "delta")};
  if (object.version == 0 || (object.full.empty() && object.delta.empty())) {
    return absl::DataLossError(absl::StrCat("object ", std::string(name),
                                            " does not hold a configuration"));
  }
  return object;
}

std::string EncodeHead(const ConfigHead& head) {
  return Json{{"version", head.version},
              {"digest", head.digest},
              {"object", head.object},
              {"writer", head.writer}}
      .dump();
}

/// Applies the deltas, listed from newest to oldest, to `base`.
absl::StatusOr<StoredConfig> ApplyDeltas(
    StoredConfig base, const std::vector<std::string>& deltas) {
  for (auto it = deltas.rbegin(); it != deltas.rend(); ++it) {
    absl::StatusOr<StoredConfig> next = ApplyDelta(base, *it);
    if (!next.ok()) return next.status();
    base = *std::move(next);
  }
  return base;
}

/// Follows the `previous` links from the head back to a complete configuration
/// or to `cached`, and applies the deltas found on the way.
absl::StatusOr<StoredConfig> ReadChain(const ConfigStore& store,
                                       const ConfigHead& head,
                                       const StoredConfig& cached) {
  std::vector<std::string> deltas;
  std::string name = head.object;
  while (true) {
    absl::StatusOr<ConfigObject> object = ReadObject(store, name);
    if (!object.ok()) return object.status();
    if (!object->full.empty()) {
      absl::StatusOr<StoredConfig> base = DecodeConfig(object->full);
      if (!base.ok()) return base.status();
      return ApplyDeltas(*std::move(base), deltas);
    }
    deltas.push_back(std::move(object->delta));
    if (cached.version != 0 && object->version == cached.version + 1)
      return ApplyDeltas(cached, deltas);
    name = object->previous;
  }
}

std::string ObjectName(uint64_t version, std::string_view writer) {
  return absl::StrFormat("%s%012u-%s", std::string(kObjectPrefix), version,
                         std::string(writer));
}

/// Returns the version in an object's name, or 0 if it has none.
uint64_t VersionFromName(std::string_view name) {
  if (!name.starts_with(kObjectPrefix)) return 0;
  name.remove_prefix(kObjectPrefix.size());
  uint64_t version = 0;
  std::from_chars(name.data(), name.data() + name.size(), version);
  return version;
}

/// Removes the objects from before the previous complete configuration, given
/// that `version` is stored as a complete one. Ignores errors: a later call
/// removes what is left.
void RemoveOldObjects(const ConfigStore& store, uint64_t version) {
  if (version <= kVersionsPerFullCopy) return;
  const auto names = store.objects.list(kObjectPrefix);
  if (!names.ok()) return;
  for (const std::string& name : *names) {
    const uint64_t n = VersionFromName(name);
    if (n == 0 || n + kVersionsPerFullCopy >= version) continue;
    (void)store.objects.remove(name);
  }
}

/// Returns whether the change that wrote `new_head` is `head` itself or one of
/// its predecessors.
absl::StatusOr<bool> IsInHistory(const ConfigStore& store,
                                 const ConfigHead& head,
                                 const ConfigHead& new_head) {
  if (head.writer == new_head.writer) return true;
  std::string name = head.object;
  uint64_t version = head.version;
  while (version > new_head.version) {
    absl::StatusOr<ConfigObject> object = ReadObject(store, name);
    if (!object.ok()) return object.status();
    name = object->previous;
    version = object->version - 1;
  }
  return name == new_head.object;
}

enum class CommitState : uint8_t {
  kCommitted,
  /// Another change was committed instead.
  kConflict,
  /// The head row is unchanged.
  kNotCommitted,
  kUnknown
};

/// Finds out from the store whether a write of unknown outcome took effect.
/// After `kNotCommitted` the same write may be sent again.
CommitState ResolveCommit(const ConfigStore& store, const ConfigHead& old_head,
                          const ConfigHead& new_head) {
  for (int i = 0; i < kMaxStoreAttempts; ++i) {
    const absl::StatusOr<ConfigHead> head = ReadConfigHead(store);
    if (!head.ok()) continue;
    if (head->row_version == old_head.row_version)
      return CommitState::kNotCommitted;
    const absl::StatusOr<bool> in_history = IsInHistory(store, *head, new_head);
    if (in_history.ok())
      return *in_history ? CommitState::kCommitted : CommitState::kConflict;
  }
  return CommitState::kUnknown;
}

/// Replaces the head row if it is still `old_head`. When the answer is lost,
/// reads the row back; if the row is unchanged, sends the same conditional
/// write again. That is safe even if the first write still arrives, since the
/// condition holds for only one of the two.
CommitState CommitHead(const ConfigStore& store, const ConfigHead& old_head,
                       const ConfigHead& new_head) {
  const std::string row(kConfigHeadRow);
  const Transaction transaction{{{row, old_head.row_version}},
                                {{row, EncodeHead(new_head)}}};
  for (int i = 0; i < kMaxStoreAttempts; ++i) {
    const absl::Status status = store.table.commit(transaction);
    if (status.ok()) return CommitState::kCommitted;
    if (absl::IsUnavailable(status) && i == 0)
      return CommitState::kNotCommitted;
    // Reads the row back after a failed condition as well: the platform's
    // client may have sent the write twice, and the first may have been
    // applied.
    const CommitState state = ResolveCommit(store, old_head, new_head);
    if (state != CommitState::kNotCommitted) return state;
  }
  return CommitState::kUnknown;
}

/// Writes an object; tries again while the outcome is unknown.
absl::Status PutObject(const ConfigStore& store, std::string_view name,
                       std::string_view bytes) {
  absl::Status status;
  for (int i = 0; i < kMaxStoreAttempts; ++i) {
    status = store.objects.put(name, bytes);
    if (status.ok() || absl::IsUnavailable(status)) return status;
  }
  return status;
}

ChangeResult Result(ChangeState state, uint64_t version,
                    std::string_view message) {
  ChangeResult result;
  result.state = state;
  result.version = version;
  result.message = std::string(message);
  return result;
}

ChangeResult UnavailableResult(const absl::Status& status) {
  return Result(ChangeState::kUnavailable, 0,
                absl::StrCat("the platform's store can't be used: ",
                             status.message(), "; nothing was changed"));
}

/// Returns the object that stores `next`, complete or as `delta`.
ConfigObject MakeObject(const ConfigHead& head, const StoredConfig& next,
                        std::string_view delta) {
  ConfigObject object;
  object.version = next.version;
  object.previous = head.object;
  if (head.version == 0 || next.version % kVersionsPerFullCopy == 0) {
    object.full = EncodeConfig(next);
  } else {
    object.delta = delta;
  }
  return object;
}

/// Writes `next` as the successor of `base`, first the object, then the head
/// row. No value when another change was committed first.
std::optional<ChangeResult> Commit(const ConfigStore& store,
                                   const ConfigHead& head,
                                   const StoredConfig& base,
                                   const StoredConfig& next) {
  ChangeResult result;
  result.version = next.version;
  result.push = {next.version, base.version, ConfigDigest(next),
                 EncodeDelta(base, next)};
  ConfigHead new_head;
  new_head.version = next.version;
  new_head.digest = result.push.digest;
  new_head.writer = RandomHexId();
  new_head.object = ObjectName(next.version, new_head.writer);
  const ConfigObject object = MakeObject(head, next, result.push.delta);
  const absl::Status put_status =
      PutObject(store, new_head.object, EncodeObject(object));
  if (!put_status.ok()) return UnavailableResult(put_status);
  switch (CommitHead(store, head, new_head)) {
    case CommitState::kCommitted:
      if (!object.full.empty()) RemoveOldObjects(store, next.version);
      result.state = ChangeState::kApplied;
      return result;
    case CommitState::kConflict:
      (void)store.objects.remove(new_head.object);
      return std::nullopt;
    case CommitState::kNotCommitted:
      return UnavailableResult(
          absl::UnavailableError("the store rejected the commit"));
    case CommitState::kUnknown:
      break;
  }
  return Result(ChangeState::kUnknown, next.version,
                "the store's answer was lost; the change may or may not be in "
                "force. Check with `show` before trying again");
}

/// Edits a copy of the configuration. Returning a result ends the change
/// without a write.
using ConfigEdit = std::function<std::optional<ChangeResult>(StoredConfig&)>;

/// Sleeps for a random time before a retry, so that concurrent changes don't
/// collide again.
void BackOffBeforeAttempt(int attempt) {
  if (attempt == 0) return;
  thread_local std::minstd_rand random(std::random_device{}());
  const int64_t max_backoff_ms =
      std::min(kBackoffBaseMs << std::min(attempt, 10), kMaxBackoffMs);
  SleepFor(
      Ms{std::uniform_int_distribution<int64_t>(0, max_backoff_ms)(random)});
}

/// Reads, edits and commits the configuration; retries when another change was
/// committed first.
ChangeResult ChangeConfig(const ConfigStore& store, const ConfigEdit& edit) {
  for (int i = 0; i < kMaxCommitAttempts; ++i) {
    BackOffBeforeAttempt(i);
    const absl::StatusOr<ConfigHead> head = ReadConfigHead(store);
    if (!head.ok()) return UnavailableResult(head.status());
    const absl::StatusOr<StoredConfig> base = ReadConfig(store, *head);
    // A concurrent change may have removed the objects of the head just read.
    if (absl::IsNotFound(base.status())) continue;
    if (!base.ok()) return UnavailableResult(base.status());
    StoredConfig next = *base;
    std::optional<ChangeResult> early_result = edit(next);
    if (early_result) return *std::move(early_result);
    next.version = base->version + 1;
    if (next.rules_text != base->rules_text) next.rules_version = next.version;
    std::optional<ChangeResult> result = Commit(store, *head, *base, next);
    if (result) return *std::move(result);
  }
  return Result(
      ChangeState::kConflict, 0,
      "gave up after repeated conflicts with other changes; try again");
}

/// Returns a conflict when the rules changed after version `expected`, so that
/// one operator's rules don't overwrite another's.
std::optional<ChangeResult> FindConflict(const StoredConfig& config,
                                         uint64_t expected) {
  if (config.rules_version <= expected && expected <= config.version)
    return std::nullopt;
  return Result(
      ChangeState::kConflict, config.version,
      absl::StrCat("the rules were changed in version ", config.rules_version,
                   ", but your file is based on version ", expected,
                   "; nothing was changed. Compare with `diff`, then apply "
                   "with --expect-version ",
                   config.version));
}

/// Removes the withdrawn key with the lowest id when there are more than
/// `kMaxWithdrawnKeys`.
void EvictWithdrawnKey(StoredConfig& config) {
  const auto withdrawn = [](const KeyRecord& key) { return key.withdrawn; };
  if (std::ranges::count_if(config.keys, withdrawn) <= kMaxWithdrawnKeys)
    return;
  std::vector<KeyRecord>& keys = config.keys.Edit();
  keys.erase(std::ranges::find_if(keys, withdrawn));
}

}  // namespace

absl::StatusOr<ConfigHead> ReadConfigHead(const ConfigStore& store) {
  const absl::StatusOr<Row> row = store.table.get(kConfigHeadRow);
  if (absl::IsNotFound(row.status())) return ConfigHead{};
  if (!row.ok()) return row.status();
  const Json json = Json::parse(row->value, nullptr, false);
  ConfigHead head{NumberMember(json, "version"), StringMember(json, "digest"),
                  StringMember(json, "object"), StringMember(json, "writer"),
                  row->version};
  if (head.version == 0 || head.object.empty())
    return absl::DataLossError("the row config/head is malformed");
  return head;
}

absl::StatusOr<StoredConfig> ReadConfig(const ConfigStore& store,
                                        const ConfigHead& head,
                                        const StoredConfig& cached) {
  if (head.version == 0) return StoredConfig{};
  if (head.version == cached.version) return cached;
  absl::StatusOr<StoredConfig> config = ReadChain(store, head, cached);
  if (!config.ok()) return config.status();
  if (config->version == head.version && ConfigDigest(*config) == head.digest)
    return config;
  // The cached version may be the wrong one: reads again without it.
  if (cached.version != 0) return ReadConfig(store, head);
  return absl::DataLossError(
      absl::StrCat("configuration ", head.version,
                   " does not match the digest in its head row"));
}

ChangeResult ApplyRules(const ConfigStore& store, std::string_view text,
                        std::optional<uint64_t> expect_version) {
  ParsedRules parsed = ParseRules(text);
  if (!parsed.ok()) {
    ChangeResult refused =
        Result(ChangeState::kRefused, 0, "the rules file has faults");
    refused.faults = std::move(parsed.faults);
    return refused;
  }
  std::optional<uint64_t> expected = expect_version;
  return ChangeConfig(store, [&](StoredConfig& config) {
    if (config.rules_text == text && config.version != 0)
      return std::optional(Result(ChangeState::kUnchanged, config.version, ""));
    if (!expected) expected = config.version;
    std::optional<ChangeResult> conflict = FindConflict(config, *expected);
    if (!conflict) config.rules_text = text;
    return conflict;
  });
}

IssuedKeyResult IssueKey(const ConfigStore& store,
                         const WorkspaceId& workspace) {
  IssuedKey key = MakeKey(workspace);
  IssuedKeyResult result;
  result.key_id = key.record.id;
  result.change = ChangeConfig(
      store, [&](StoredConfig& config) -> std::optional<ChangeResult> {
        const ParsedRules parsed = ParseRules(config.rules_text);
        if (FindWorkspace(parsed.rules, workspace) == nullptr) {
          return Result(ChangeState::kRefused, config.version,
                        absl::StrCat("there is no workspace '", workspace.value,
                                     "' in the rules"));
        }
        PutStoredKey(config, key.record);
        return std::nullopt;
      });
  const ChangeState state = result.change.state;
  if (state == ChangeState::kApplied || state == ChangeState::kUnknown)
    result.key_text = std::move(key.text);
  return result;
}

ChangeResult WithdrawKey(const ConfigStore& store, std::string_view key_id) {
  return ChangeConfig(
      store, [&](StoredConfig& config) -> std::optional<ChangeResult> {
        const KeyRecord* found = FindStoredKey(config, key_id);
        if (found == nullptr) {
          return Result(ChangeState::kRefused, config.version,
                        absl::StrCat("there is no key '", std::string(key_id),
                                     "'; `keys list` shows the ids"));
        }
        if (found->withdrawn) {
          return Result(ChangeState::kUnchanged, config.version,
                        "the key is already withdrawn");
        }
        KeyRecord key = *found;
        key.withdrawn = true;
        PutStoredKey(config, std::move(key));
        EvictWithdrawnKey(config);
        return std::nullopt;
      });
}

}  // namespace knapweed

#include "knapweed/rules/config.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/rules/parse_rules.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

std::string_view IdOf(const KeyRecord& key) { return key.id; }

/// Reads typed members of a JSON object. `ok` turns false when one is missing
/// or has another type; its value is then a default.
class JsonReader {
 public:
  explicit JsonReader(const Json& json) : json_(json) {
    ok_ = json.is_object();
  }

  std::string String(const char* key) {
    const Json* value = Member(key);
    if (value == nullptr || !value->is_string()) return Fail<std::string>();
    return value->get<std::string>();
  }
  uint64_t Number(const char* key) {
    const Json* value = Member(key);
    if (value == nullptr || !value->is_number_unsigned())
      return Fail<uint64_t>();
    return value->get<uint64_t>();
  }
  bool Bool(const char* key) {
    const Json* value = Member(key);
    if (value == nullptr || !value->is_boolean()) return Fail<bool>();
    return value->get<bool>();
  }
  const Json& Array(const char* key) {
    static const Json kEmptyArray = Json::array();
    const Json* value = Member(key);
    if (value != nullptr && value->is_array()) return *value;
    ok_ = false;
    return kEmptyArray;
  }
  bool ok() const { return ok_; }

 private:
  const Json* Member(const char* key) const {
    if (!json_.is_object()) return nullptr;
    const auto it = json_.find(key);
    return it == json_.end() ? nullptr : &*it;
  }
  template <typename T>
  T Fail() {
    ok_ = false;
    return T{};
  }

  const Json& json_;
  bool ok_ = true;
};

Json KeyToJson(const KeyRecord& key) {
  return Json{{"id", key.id},
              {"workspace", key.workspace.value},
              {"salt", key.salt},
              {"digest", key.digest},
              {"withdrawn", key.withdrawn}};
}

bool KeyFromJson(const Json& json, KeyRecord* key) {
  JsonReader reader(json);
  key->id = reader.String("id");
  key->workspace = WorkspaceId(reader.String("workspace"));
  key->salt = reader.String("salt");
  key->digest = reader.String("digest");
  key->withdrawn = reader.Bool("withdrawn");
  return reader.ok();
}

bool KeysFromJson(const Json& json, std::vector<KeyRecord>* keys) {
  keys->reserve(json.size());
  for (const Json& item : json) {
    if (!KeyFromJson(item, &keys->emplace_back())) return false;
  }
  return true;
}

/// Replaces `removed_bytes` bytes at byte `offset` of the rules text.
struct TextSplice {
  size_t offset = 0;
  size_t removed_bytes = 0;
  std::string_view inserted;
};

/// Returns the shortest run of complete lines that differs. Complete lines keep
/// the inserted text valid UTF-8, which JSON requires.
TextSplice ComputeSplice(std::string_view from, std::string_view to) {
  const size_t n = std::min(from.size(), to.size());
  const size_t common_prefix = static_cast<size_t>(
      std::mismatch(from.begin(), from.begin() + n, to.begin()).first -
      from.begin());
  const size_t newline = from.substr(0, common_prefix).rfind('\n');
  const size_t offset = newline == std::string_view::npos ? 0 : newline + 1;
  size_t common_suffix = 0;
  size_t line_suffix = 0;
  while (common_suffix < n - offset && from[from.size() - 1 - common_suffix] ==
                                           to[to.size() - 1 - common_suffix]) {
    if (from[from.size() - 1 - common_suffix] == '\n')
      line_suffix = common_suffix;
    ++common_suffix;
  }
  return {offset, from.size() - offset - line_suffix,
          to.substr(offset, to.size() - offset - line_suffix)};
}

absl::Status InvalidConfigError(std::string_view what) {
  return absl::InvalidArgumentError(
      absl::StrCat("malformed configuration or delta: ", std::string(what)));
}

/// Collects the keys of `next` that are new or differ from `base`, and the ids
/// of `base` that `next` lacks.
void DiffKeys(const StoredConfig& base, const StoredConfig& next, Json* upserts,
              Json* dropped) {
  auto base_key = base.keys.begin();
  for (const KeyRecord& key : next.keys) {
    for (; base_key != base.keys.end() && base_key->id < key.id; ++base_key)
      dropped->push_back(base_key->id);
    const bool in_base = base_key != base.keys.end() && base_key->id == key.id;
    if (!in_base || !(*base_key == key)) upserts->push_back(KeyToJson(key));
    if (in_base) ++base_key;
  }
  for (; base_key != base.keys.end(); ++base_key)
    dropped->push_back(base_key->id);
}

absl::Status ApplySplice(const Json& json, std::string* text) {
  JsonReader reader(json);
  const size_t offset = reader.Number("at");
  const size_t removed_bytes = reader.Number("drop");
  const std::string inserted = reader.String("insert");
  if (!reader.ok() || offset > text->size() ||
      removed_bytes > text->size() - offset)
    return InvalidConfigError("the splice is malformed or out of range");
  text->replace(offset, removed_bytes, inserted);
  return absl::OkStatus();
}

absl::Status ApplyKeyChanges(JsonReader& reader, StoredConfig* config) {
  std::vector<KeyRecord> upserts;
  if (!KeysFromJson(reader.Array("keys"), &upserts))
    return InvalidConfigError("a key has a missing or mistyped member");
  for (KeyRecord& key : upserts) PutStoredKey(*config, std::move(key));
  for (const Json& id : reader.Array("dropped")) {
    if (!id.is_string())
      return InvalidConfigError("the id of a dropped key is not a string");
    const auto& text = id.get_ref<const std::string&>();
    std::erase_if(config->keys.Edit(),
                  [&](const KeyRecord& key) { return key.id == text; });
  }
  return reader.ok()
             ? absl::OkStatus()
             : InvalidConfigError("a member is missing or has another type");
}

}  // namespace

std::string ConfigDigest(const StoredConfig& config) {
  std::string text = absl::StrCat(config.version, " ", config.rules_version,
                                  " ", config.rules_text.size(), "\n");
  text += config.rules_text;
  for (const KeyRecord& key : config.keys) {
    absl::StrAppend(&text, key.id, " ", key.workspace.value, " ", key.salt, " ",
                    key.digest, key.withdrawn ? " withdrawn\n" : "\n");
  }
  return Sha256Hex(text);
}

std::string EncodeConfig(const StoredConfig& config) {
  Json keys = Json::array();
  for (const KeyRecord& key : config.keys) keys.push_back(KeyToJson(key));
  const Json json{{"version", config.version},
                  {"rules_version", config.rules_version},
                  {"rules", config.rules_text},
                  {"keys", std::move(keys)}};
  return json.dump();
}

absl::StatusOr<StoredConfig> DecodeConfig(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  JsonReader reader(json);
  StoredConfig config;
  config.version = reader.Number("version");
  config.rules_version = reader.Number("rules_version");
  config.rules_text = reader.String("rules");
  std::vector<KeyRecord>& keys = config.keys.Edit();
  if (!KeysFromJson(reader.Array("keys"), &keys) || !reader.ok())
    return InvalidConfigError("a member is missing or has another type");
  std::ranges::sort(keys, {}, IdOf);
  return config;
}

std::string EncodeDelta(const StoredConfig& base, const StoredConfig& next) {
  Json upserts = Json::array();
  Json dropped = Json::array();
  DiffKeys(base, next, &upserts, &dropped);
  Json json{{"base_version", base.version},
            {"version", next.version},
            {"rules_version", next.rules_version},
            {"keys", std::move(upserts)},
            {"dropped", std::move(dropped)}};
  if (base.rules_text != next.rules_text) {
    const TextSplice splice = ComputeSplice(base.rules_text, next.rules_text);
    json["splice"] = Json{{"at", splice.offset},
                          {"drop", splice.removed_bytes},
                          {"insert", splice.inserted}};
  }
  return json.dump();
}

absl::StatusOr<StoredConfig> ApplyDelta(const StoredConfig& base,
                                        std::string_view delta) {
  const Json json = Json::parse(delta, nullptr, false);
  JsonReader reader(json);
  const uint64_t base_version = reader.Number("base_version");
  if (!reader.ok())
    return InvalidConfigError("base_version is missing or not a number");
  if (base_version != base.version) {
    return absl::FailedPreconditionError(
        absl::StrCat("the delta is based on version ", base_version,
                     ", but this process has version ", base.version));
  }
  StoredConfig next = base;
  next.version = reader.Number("version");
  next.rules_version = reader.Number("rules_version");
  if (json.contains("splice")) {
    absl::Status status = ApplySplice(json["splice"], &next.rules_text);
    if (!status.ok()) return status;
  }
  absl::Status status = ApplyKeyChanges(reader, &next);
  if (!status.ok()) return status;
  return next;
}

const KeyRecord* FindStoredKey(const StoredConfig& config,
                               std::string_view id) {
  const auto it = std::ranges::lower_bound(config.keys, id, {}, IdOf);
  return it != config.keys.end() && it->id == id ? &*it : nullptr;
}

void PutStoredKey(StoredConfig& config, KeyRecord key) {
  const std::string_view id = key.id;
  std::vector<KeyRecord>& keys = config.keys.Edit();
  const auto it = std::ranges::lower_bound(keys, id, {}, IdOf);
  if (it != keys.end() && it->id == key.id) {
    *it = std::move(key);
  } else {
    keys.insert(it, std::move(key));
  }
}

absl::StatusOr<std::unique_ptr<Rules>> CompileConfig(const StoredConfig& config,
                                                     const Rules* previous) {
  auto rules = std::make_unique<Rules>();
  if (previous != nullptr && previous->version >= config.rules_version) {
    rules->routes = previous->routes;
    rules->pools = previous->pools;
    rules->workspaces = previous->workspaces;
    rules->budgets = previous->budgets;
    rules->domains = previous->domains;
  } else {
    ParsedRules parsed = ParseRules(config.rules_text);
    if (!parsed.ok()) {
      return absl::InvalidArgumentError(FormatFaults("stored", parsed.faults));
    }
    *rules = std::move(parsed.rules);
  }
  rules->version = config.version;
  rules->keys = config.keys;
  return rules;
}

}  // namespace knapweed

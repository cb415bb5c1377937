#include "knapweed/rules/keys.h"

#include <openssl/crypto.h>

namespace knapweed {
namespace {

constexpr std::string_view kPrefix = "kw_";
constexpr size_t kIdChars = 12;
constexpr size_t kSaltChars = 12;

std::string DigestOf(std::string_view salt, std::string_view secret) {
  std::string salted(salt);
  salted.append(":").append(secret);
  return Sha256Hex(salted);
}

}  // namespace

IssuedKey MakeKey(const WorkspaceId& workspace) {
  IssuedKey key;
  const std::string secret = RandomHexId() + RandomHexId();
  key.record.id = RandomHexId().substr(0, kIdChars);
  key.record.workspace = workspace;
  key.record.salt = RandomHexId().substr(0, kSaltChars);
  key.record.digest = DigestOf(key.record.salt, secret);
  key.text = std::string(kPrefix) + key.record.id + "_" + secret;
  return key;
}

KeyParts SplitKey(std::string_view presented) {
  if (!presented.starts_with(kPrefix)) return {};
  presented.remove_prefix(kPrefix.size());
  const size_t n = presented.find('_');
  if (n == 0 || n == std::string_view::npos) return {};
  if (n + 1 == presented.size()) return {};
  return KeyParts{presented.substr(0, n), presented.substr(n + 1)};
}

bool SecretMatches(const KeyRecord& record, std::string_view secret) {
  const std::string digest = DigestOf(record.salt, secret);
  if (digest.size() != record.digest.size()) return false;
  return CRYPTO_memcmp(digest.data(), record.digest.data(), digest.size()) == 0;
}

}  // namespace knapweed

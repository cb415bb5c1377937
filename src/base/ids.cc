#include "knapweed/base/ids.h"

#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <cstdlib>

namespace knapweed {
namespace {

std::string ToHex(const unsigned char* bytes, size_t n) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(n * 2);
  for (size_t i = 0; i < n; ++i) {
    hex.push_back(kDigits[bytes[i] >> 4]);
    hex.push_back(kDigits[bytes[i] & 15]);
  }
  return hex;
}

}  // namespace

uint64_t HashBytes(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string_view RootOf(const ProgramId& program) {
  const std::string_view name = program.value;
  return name.substr(0, name.find('/'));
}

PartitionId PartitionOf(const ProgramKey& key, uint32_t partition_count) {
  const uint64_t workspace_hash = HashBytes(key.workspace.value);
  const uint64_t hash = HashBytes(RootOf(key.program), workspace_hash);
  return PartitionId{static_cast<uint32_t>(hash % partition_count)};
}

std::string RandomHexId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), bytes.size()) != 1) std::abort();
  return ToHex(bytes.data(), bytes.size());
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  return ToHex(digest.data(), digest.size());
}

}  // namespace knapweed

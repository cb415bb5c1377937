#ifndef KNAPWEED_POLICY_QUARANTINE_H_
#define KNAPWEED_POLICY_QUARANTINE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/clock.h"

namespace knapweed {

/// A crash of `upstream_hash` while it ran a request with this digest. `at` is
/// wall time, so that processes agree on it. A report without an upstream, with
/// `cleared` set, is an operator's word that older crashes don't count.
struct CrashRecord {
  uint64_t digest = 0;
  uint64_t upstream_hash = 0;
  Ms at;
  bool cleared = false;
};

enum class QuarantineVerdict : uint8_t { kClear, kSuspect, kQuarantined };

/// Constants of quarantine.
struct QuarantineOptions {
  /// Distinct upstreams that make a quarantine.
  uint32_t min_upstreams = 2;
  /// A crash counts this long.
  Ms expiry = Seconds(3600);
  /// Digests kept; the one whose last crash is oldest goes first.
  size_t max_digests = 4096;
};

/// Digests of requests that were running when an upstream crashed. Two
/// processes that have merged the same records, in any order and any number of
/// times, give the same verdicts. Not safe from several threads.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineOptions& options = {});

  /// Adds a record. True when it was news, so that it should be passed on.
  bool Merge(const CrashRecord& record);
  /// A suspect must run alone; a quarantined request must not run.
  QuarantineVerdict VerdictOf(uint64_t digest, Ms now) const;
  /// Drops what no longer counts at `now`.
  void Expire(Ms now);
  /// Every record, to bring a new peer up to date.
  std::vector<CrashRecord> Records() const;
  size_t size() const { return entries_.size(); }

 private:
  /// More crashes than this add nothing to a verdict.
  static constexpr size_t kMaxCrashes = 4;

  struct Crash {
    uint64_t upstream_hash = 0;
    Ms at;
  };

  struct Entry {
    std::array<Crash, kMaxCrashes> crashes;
    uint32_t count = 0;
    Ms cleared_at;
  };

  static bool AddCrash(Entry& entry, const Crash& crash);
  static Ms NewestOf(const Entry& entry);
  void EvictOldest();

  QuarantineOptions options_;
  absl::flat_hash_map<uint64_t, Entry> entries_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_QUARANTINE_H_

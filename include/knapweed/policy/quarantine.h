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
/// wall-clock time, so that it is comparable between processes. A record with
/// `cleared` set has no upstream: an operator has declared older crashes void.
struct CrashRecord {
  uint64_t digest = 0;
  uint64_t upstream_hash = 0;
  Ms at;
  bool cleared = false;
};

/// kSuspect: the request must run alone. kQuarantined: it must not run.
enum class QuarantineVerdict : uint8_t { kClear, kSuspect, kQuarantined };

/// Parameters of quarantine.
struct QuarantineOptions {
  /// Number of distinct crashed upstreams that quarantines a request.
  uint32_t min_upstreams = 2;
  /// How long a crash counts.
  Ms expiry = Seconds(3600);
  /// Reports about one upstream that lie closer together than this are of one
  /// crash. Zero: all of them are.
  Ms crash_span;
  /// Maximum number of digests. Beyond it, the one with the oldest last crash
  /// is evicted.
  size_t max_digests = 4096;
};

/// Digests of requests that were running when an upstream crashed. Merging is
/// commutative and idempotent: processes that have merged the same records, in
/// any order and any number of times, return the same verdicts, provided that
/// two crashes of one upstream lie further apart than the reports of one. Not
/// thread-safe.
class Quarantine {
 public:
  explicit Quarantine(const QuarantineOptions& options = {});

  /// Adds a record. Returns true when it was new and should be forwarded to the
  /// peers.
  bool Merge(const CrashRecord& record);
  /// Returns the verdict on requests with this digest at time `now`.
  QuarantineVerdict VerdictOf(uint64_t digest, Ms now) const;
  /// Returns the time of the last crash of a digest; zero if there is none.
  Ms LastCrashOf(uint64_t digest) const;
  /// Removes digests whose last crash no longer counts at `now`.
  void Expire(Ms now);
  /// Returns all records, to synchronize a new peer.
  std::vector<CrashRecord> Records() const;
  size_t size() const { return entries_.size(); }

 private:
  /// Crashes kept per digest; more of them would not change a verdict.
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

  bool IsSameCrash(const Crash& a, const Crash& b) const;
  bool AddCrash(Entry& entry, const Crash& crash) const;
  static Ms NewestOf(const Entry& entry);
  void EvictOldest();

  QuarantineOptions options_;
  absl::flat_hash_map<uint64_t, Entry> entries_;
};

}  // namespace knapweed

#endif  // KNAPWEED_POLICY_QUARANTINE_H_

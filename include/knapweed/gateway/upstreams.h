#ifndef KNAPWEED_GATEWAY_UPSTREAMS_H_
#define KNAPWEED_GATEWAY_UPSTREAMS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/gateway/call.h"
#include "knapweed/policy/circuit_breaker.h"

/// The upstreams that the platform lists, and what this gateway knows of each
/// from its own calls.
namespace knapweed::gateway {

/// One upstream as the platform lists it.
struct UpstreamEntry {
  /// Names one incarnation, unless an upstream starts again under its old name.
  std::string id;
  /// Start of this incarnation, ms since 1970; tells two of one name apart.
  uint64_t started_at_ms = 0;
  std::string service;
  Address address;
  std::string failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer it stays slow after its start.
  Ms cold_remaining;
};

/// Prompt parts that calls of this gateway left in one engine's cache, the
/// least recently used dropped first.
class PromptCacheModel {
 public:
  explicit PromptCacheModel(uint64_t capacity_tokens)
      : capacity_tokens_(capacity_tokens) {}

  /// Tokens of the leading parts that are believed to be cached.
  uint64_t CachedTokens(std::span<const PromptPart> prompt) const;
  /// The engine has read all of `prompt`.
  void Record(std::span<const PromptPart> prompt, Ms now);

 private:
  struct Part {
    uint32_t tokens = 0;
    Ms used_at;
  };

  void Trim();

  uint64_t capacity_tokens_;
  uint64_t total_tokens_ = 0;
  absl::flat_hash_map<uint64_t, Part> parts_;
};

/// An upstream and this gateway's dealings with it.
struct Upstream {
  explicit Upstream(UpstreamEntry e, uint64_t cache_tokens)
      : entry(std::move(e)), cache(cache_tokens) {}

  UpstreamEntry entry;
  /// False once the platform has dropped it.
  bool listed = true;
  CircuitBreaker breaker;
  /// Refused or failed lately; others go first until then.
  Ms avoid_until;
  uint32_t in_flight = 0;
  /// Prompt tokens of calls whose first event has not come yet.
  uint64_t pending_prefill_tokens = 0;
  PromptCacheModel cache;
};

using UpstreamPtr = std::shared_ptr<Upstream>;

/// What has to be known to choose an upstream for a call.
struct ChoiceInput {
  std::string_view service;
  std::string_view failure_domain;
  std::span<const PromptPart> prompt;
  uint32_t prompt_tokens = 0;
  uint32_t expected_output_tokens = 0;
  /// Calls with the same nonzero hash prefer the same upstream.
  uint64_t affinity_hash = 0;
  uint64_t random = 0;
  Ms now;
};

/// All upstreams that may get new calls.
class UpstreamSet {
 public:
  /// A row was read: adds, changes or restarts an upstream. Returns true when
  /// something other than its slowness changed.
  bool Put(UpstreamEntry entry, uint64_t cache_tokens);
  /// The platform dropped it. False when it was not known.
  bool Remove(const std::string& id);
  const std::map<std::string, UpstreamPtr>& all() const { return by_id_; }

  /// The upstream with the least expected finish; none of `excluded`. Null when
  /// there is none. Keeps those that failed lately for when no other is left.
  UpstreamPtr Choose(const ChoiceInput& input,
                     std::span<const UpstreamPtr> excluded) const;

 private:
  std::map<std::string, UpstreamPtr> by_id_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_UPSTREAMS_H_

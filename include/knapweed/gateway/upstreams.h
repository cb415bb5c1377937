#ifndef KNAPWEED_GATEWAY_UPSTREAMS_H_
#define KNAPWEED_GATEWAY_UPSTREAMS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/gateway/call.h"
#include "knapweed/policy/circuit_breaker.h"
#include "knapweed/policy/placement.h"
#include "knapweed/policy/prefix_homes.h"
#include "knapweed/policy/send_limit.h"
#include "knapweed/policy/service_speed.h"
#include "knapweed/policy/upstream_load.h"

/// The upstreams that the platform lists, and the state that this gateway keeps
/// of each from its own calls.
namespace knapweed::gateway {

/// One upstream as the platform lists it.
struct UpstreamEntry {
  /// Identifies one incarnation, unless an upstream restarts under the same id.
  std::string id;
  /// Start of this incarnation in ms since 1970; distinguishes incarnations
  /// with the same id.
  uint64_t started_at_ms = 0;
  std::string service;
  /// Version of its software. Streams of two versions do not fit together.
  std::string version;
  Address address;
  std::string failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  /// How much longer the upstream stays slow after its start.
  Ms cold_remaining;
};

/// Estimates which prompt parts one engine has in its cache, from the calls of
/// this gateway. Drops the least recently used parts first.
class PromptCacheModel {
 public:
  explicit PromptCacheModel(uint64_t capacity_tokens)
      : capacity_tokens_(capacity_tokens) {}

  /// Returns the number of tokens in the leading parts that are expected to be
  /// cached.
  uint64_t CachedTokens(std::span<const PromptPart> prompt) const;
  /// Records that the engine has processed all of `prompt`.
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

/// What this gateway knows of the cold time of one incarnation.
struct ColdState {
  /// Requests per second that it tolerates while it is cold, from all gateways
  /// together, and the length of a cold start, by its service. 0 if there is no
  /// bound.
  double per_s = 0;
  Ms start;
  Ms until;
  /// Version of the row that was read last.
  uint64_t row_version = 0;
  /// When a sign of a restart was seen that no row has confirmed or denied.
  Ms suspected_at;
};

/// An upstream and the state of this gateway's calls to it.
struct Upstream {
  explicit Upstream(UpstreamEntry e, uint64_t cache_tokens)
      : entry(std::move(e)), cache(cache_tokens) {}

  UpstreamEntry entry;
  /// False once the platform no longer lists it.
  bool listed = true;
  /// It stated in a response that it is draining. Final for this incarnation,
  /// whatever the platform lists.
  bool said_draining = false;
  /// Its failure domain is evacuated.
  bool evacuated = false;
  /// The limit on requests that it stated last.
  StatedLimit limit;
  /// Requests that this gateway sent to it since it states a limit.
  uint64_t sent_under_limit = 0;
  ColdState cold;
  /// It could not be connected to. Until then it may have started again under
  /// its id, with another version than its row tells.
  Ms version_unsure_until;
  /// Its limit is used up until then, as far as this gateway knows.
  Ms closed_until;
  CircuitBreaker breaker;
  /// Other upstreams are preferred until then, after a refusal or a failure.
  Ms avoid_until;
  /// Load by this gateway's calls.
  CallLoad own;
  /// Speed relative to the other upstreams of its service.
  RelativeSpeed speed;
  PromptCacheModel cache;
};

using UpstreamPtr = std::shared_ptr<Upstream>;

/// Returns whether new calls may be sent to the upstream: it is listed and
/// neither the platform nor the upstream itself says that it is draining, and
/// its failure domain is not evacuated.
bool AcceptsCalls(const Upstream& up);

/// Returns whether the upstream states a limit.
inline bool IsLimited(const Upstream& up) { return up.limit.per_s.has_value(); }

/// Returns whether the upstream is cold and its service has a bound for that.
inline bool IsCold(const Upstream& up, Ms now) {
  return up.cold.per_s > 0 && now < up.cold.until;
}

/// Returns whether a request to the upstream needs a grant.
inline bool NeedsGrant(const Upstream& up, Ms now) {
  return IsLimited(up) || IsCold(up, now);
}

/// Takes over the cold time that the upstream's entry states as of `now`, when
/// its row was read. A row that was read before changes nothing.
void ReadColdTime(Upstream& up, uint64_t row_version, Ms now);
/// Takes the upstream for cold for `span`, because it has probably restarted.
/// Ends with the next row that was written since then.
void SuspectCold(Upstream& up, Ms span, Ms now);

/// The inputs for choosing the upstream of a call.
struct ChoiceInput {
  std::string_view service;
  std::string_view failure_domain;
  std::span<const PromptPart> prompt;
  uint32_t prompt_tokens = 0;
  uint32_t expected_output_tokens = 0;
  /// Calls with the same nonzero hash prefer the same upstream.
  uint64_t home_hash = 0;
  uint64_t random = 0;
  /// Only upstreams of these software versions; of any if empty.
  std::vector<std::string> versions;
  /// The call goes on with a stream, so the version must be sure.
  bool continues_stream = false;
  /// The calls of all slots leave an engine too little memory to keep
  /// histories.
  bool memory_binds = false;
  /// Share of the engines that keep the call's shared prompt part, above 0 to
  /// 1.
  double home_share = 1;
  /// Only upstreams that need no grant.
  bool without_limit = false;
  /// Only upstreams that are not cold.
  bool without_cold = false;
  Ms now;
};

/// Which of the figures that a gateway knows placement uses.
struct PlacementSettings {
  /// Speeds that were measured, rather than one speed assumed of all.
  bool learn_speeds = false;
  /// Only some engines keep a prompt part that many programs share, where the
  /// memory of engines binds.
  bool prefix_homes = false;
};

/// Failure domains by name.
using DomainSet = std::set<std::string, std::less<>>;

/// The upstreams that the platform currently lists.
class UpstreamSet {
 public:
  void SetPlacement(const PlacementSettings& settings) { settings_ = settings; }
  /// Returns what is measured of a service's upstreams together; adds it if it
  /// is new.
  ServiceSpeed& SpeedOf(const std::string& service) { return speeds_[service]; }
  /// Returns the mix of prompts of a service's calls; adds it if it is new.
  PromptMix& MixOf(const std::string& service) { return mixes_[service]; }
  /// Records the time that an upstream took for a token, or for a whole answer
  /// where nothing is streamed.
  void RecordUnit(Upstream& upstream, double ms, Ms now);
  /// Adds or updates an upstream; an upstream that has restarted, moved to
  /// another address or changed its service or version gets a new object.
  /// Returns true when an upstream was added or replaced, or started or stopped
  /// draining.
  bool Put(UpstreamEntry entry, uint64_t cache_tokens);
  /// Removes an upstream that is no longer listed. Returns false when there is
  /// none with this id.
  bool Remove(const std::string& id);
  /// Records that the upstream stated in a response that it is draining. No
  /// calls go to this incarnation again, also if it is listed anew after it was
  /// removed. `wall_time` is the current time since 1970.
  void MarkDraining(const UpstreamPtr& upstream, Ms wall_time);
  /// Replaces the evacuated failure domains. From then on no new calls go to
  /// their upstreams, those that are listed later included.
  void SetEvacuated(DomainSet domains);
  const DomainSet& evacuated() const { return evacuated_; }
  const std::map<std::string, UpstreamPtr>& all() const { return by_id_; }

  /// Returns the upstream with the earliest expected finish, none of `excluded`
  /// and none whose limit is used up; null when there is none. Upstreams that
  /// failed recently are chosen only when no other is left.
  UpstreamPtr Choose(ChoiceInput input,
                     std::span<const UpstreamPtr> excluded) const;
  /// Returns the upstream whose limit first allows a request, none of
  /// `excluded`; null when there is none that needs a grant.
  UpstreamPtr FirstToOpen(const ChoiceInput& input,
                          std::span<const UpstreamPtr> excluded) const;

 private:
  /// What is kept of an upstream that stated that it is draining.
  struct DrainNotice {
    Address address;
    uint64_t started_at_ms = 0;
    /// When the statement was read, since 1970.
    Ms read_at;
  };

  bool HasDrainNotice(const UpstreamEntry& entry) const;
  /// Returns whether an upstream that may get the call keeps its shared part.
  bool HasHome(const ChoiceInput& input) const;
  /// Returns how many leading tokens of the prompt the upstream has cached or
  /// should keep for others.
  uint64_t CachedTokens(const Upstream& up, const ChoiceInput& input) const;
  UpstreamView ViewOf(const Upstream& up, uint32_t index,
                      const ChoiceInput& input) const;

  std::map<std::string, UpstreamPtr> by_id_;
  std::map<std::string, DrainNotice> drain_notices_;
  PlacementSettings settings_;
  std::map<std::string, ServiceSpeed, std::less<>> speeds_;
  std::map<std::string, PromptMix, std::less<>> mixes_;
  DomainSet evacuated_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_UPSTREAMS_H_

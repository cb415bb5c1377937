#ifndef KNAPWEED_GATEWAY_GRANT_LEDGER_H_
#define KNAPWEED_GATEWAY_GRANT_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/settings.h"
#include "knapweed/policy/send_limit.h"

/// What a gateway knows of the limits of upstreams and what it has granted, as
/// their home or in the home's place, and the messages about it between
/// gateways. No I/O.
namespace knapweed::gateway {

/// What a gateway tells others of the limit of one incarnation of an upstream.
struct LimitRecord {
  std::string upstream;
  uint64_t started_at_ms = 0;
  /// `observed_at` is on the clock of the process that holds the record.
  StatedLimit limit;
};

/// The bound of a cold upstream.
struct ColdBound {
  /// Requests per second from all gateways together.
  double per_s = 0;
  /// How much longer it holds; zero or less if the upstream is not cold.
  Ms left;
};

/// A request for permission to send one request to a limited upstream, or a
/// mere report of its limit. Passes on what the sender knows of the limit.
struct GrantRequest {
  LimitRecord record;
  bool wants_grant = true;
  Ms max_wait;
  /// As the sender knows it.
  ColdBound cold;
  /// Peer address of the gateway that asks or passes the request on.
  Address sender;
  /// It comes from a gateway that was asked in this one's place, so it must not
  /// be passed on again.
  bool forwarded = false;
};

/// The answer, with what the granting gateway knows of the limit.
struct GrantAnswer {
  SendGrant grant;
  StatedLimit limit;
};

/// Encoders and decoders; times are sent as ages relative to `now`. Decoders
/// return InvalidArgument for bytes that the encoder did not make.
std::string EncodeGrantRequest(const GrantRequest& request, Ms now);
absl::StatusOr<GrantRequest> DecodeGrantRequest(std::string_view bytes, Ms now);
std::string EncodeGrantAnswer(const GrantAnswer& answer, Ms now);
absl::StatusOr<GrantAnswer> DecodeGrantAnswer(std::string_view bytes, Ms now);

/// The limits that one gateway has heard of and its schedules of grants. Not
/// thread-safe.
class GrantLedger {
 public:
  explicit GrantLedger(const Clock& clock) : clock_(clock) {}

  /// Takes over what the request reports and decides on it; grants up to
  /// `share` of the limit and `cold_share` of the bound of a cold upstream,
  /// whichever is less.
  GrantAnswer Decide(const GrantRequest& request, double share,
                     double cold_share = 1);
  /// Returns whether it has heard of an upstream's limit.
  bool Knows(const std::string& upstream) const {
    return entries_.contains(upstream);
  }
  /// Returns the records that other gateways should know: limits in use and
  /// limits that have ended lately. Forgets upstreams that were idle for long.
  std::vector<LimitRecord> Records();

 private:
  struct Entry {
    uint64_t started_at_ms = 0;
    StatedLimit limit;
    SendSchedule schedule;
    Ms used_at;
    double cold_per_s = 0;
    Ms cold_until;
    SendSchedule cold_schedule;
  };

  /// Decides by the limit, if `with_limit`, and by the bound of a cold
  /// upstream.
  static SendGrant Grant(Entry& entry, const GrantRequest& request,
                         bool with_limit, double share, double cold_share,
                         Ms now);

  const Clock& clock_;
  /// By id of the upstream; holds its newest incarnation.
  std::map<std::string, Entry> entries_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_GRANT_LEDGER_H_

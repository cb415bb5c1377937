#ifndef KNAPWEED_GATEWAY_LOAD_EXCHANGE_H_
#define KNAPWEED_GATEWAY_LOAD_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/base/metrics.h"
#include "knapweed/gateway/load_collector.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/upstreams.h"
#include "knapweed/policy/decaying_rate.h"

/// The load of each upstream by the calls of all gateways. One gateway, the
/// home, collects the reports of all and answers each with the sums. Nothing of
/// it is stored: a new home knows the load after one report of each gateway.
namespace knapweed::gateway {

/// Reports this gateway's load, takes over that of the others into
/// `Upstream::others`, and answers reports as the home. Answers 503 until `Run`
/// is called. Not thread-safe.
class LoadExchange {
 public:
  /// First turns of programs of one service that arrive per second, admitted or
  /// not, averaged over about 1.5 s.
  struct FleetStarts {
    /// At this gateway.
    double own_per_s = 0;
    /// At all gateways, this one included, as far as this one has been told.
    double fleet_per_s = 0;
  };

  /// `self` is this gateway's peer address; `send` reaches the others.
  LoadExchange(asio::io_context& loop, const Clock& clock,
               UpstreamSet& upstreams, Metrics& metrics, const Address& self,
               SendToPeer send);

  /// Reports regularly until the loop stops.
  Task<void> Run();
  /// Handles a report of another gateway: 503 if this one does not collect, 400
  /// if the report is malformed, 409 if a newer one has arrived.
  HttpResponse AnswerPeer(const HttpRequest& call);
  /// Sets the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others);
  /// Leaves the collecting to others, because this gateway is stopping. It goes
  /// on to report its own load.
  void StopCollecting();

  /// Counts the first turn of a program.
  void RecordStart(std::string_view service);
  /// Returns the rate of first turns of a service; the part of the others is as
  /// old as the last answer.
  FleetStarts StartsOf(std::string_view service) const;
  /// Returns whether the load of the others was told within the last 2 s, or,
  /// where gateways report less often than each second, two intervals.
  bool HasFreshView() const;

 private:
  using UpstreamByKey = absl::flat_hash_map<LoadKey, UpstreamPtr>;

  /// Time between two reports of one gateway.
  Ms Interval() const;
  Task<void> Report();
  /// Sends a report; returns false, and skips the peer for a while, if it gives
  /// no usable answer.
  Task<bool> AskHome(Address home, const LoadReport& report);
  LoadReport OwnReport();
  void IndexUpstreams();
  /// Removes and counts the entries of upstreams that this gateway does not
  /// know.
  void LeaveOutUnknown(LoadReport& report);
  /// Takes over sums that include `report`, which was made at `sent_at`.
  void TakeOver(const LoadReport& report, const LoadAnswer& answer, Ms sent_at);
  /// Returns whether sums cover too few gateways to replace the current view.
  bool CoversTooFew(const LoadAnswer& answer) const;
  void NoteHome(const Address& home);
  void CountLeftOut(std::string_view metric, size_t entries,
                    const Address& reporter);
  void UpdateGauges();

  asio::io_context& loop_;
  const Clock& clock_;
  UpstreamSet& upstreams_;
  Metrics& metrics_;
  Address self_;
  SendToPeer send_;
  Peers peers_;
  LoadCollector collector_;
  uint32_t incarnation_;
  uint64_t sequence_ = 0;
  size_t gateways_ = 1;
  bool is_running_ = false;
  bool has_stopped_ = false;
  UpstreamByKey by_key_;
  /// The keys of `by_key_` in ascending order.
  std::vector<LoadKey> keys_;
  Ms indexed_at_;
  std::map<std::string, DecayingRate, std::less<>> own_starts_;

  // The view, as of the last answer that was taken over.
  StartsByService others_starts_;
  bool has_view_ = false;
  Ms view_at_;
  Ms oldest_report_age_;
  uint32_t covered_ = 0;
  Address last_home_;
  /// The upstreams of the last answer, in its order.
  std::vector<LoadKey> home_list_;
  bool was_fresh_ = false;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_LOAD_EXCHANGE_H_

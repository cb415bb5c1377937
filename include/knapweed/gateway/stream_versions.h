#ifndef KNAPWEED_GATEWAY_STREAM_VERSIONS_H_
#define KNAPWEED_GATEWAY_STREAM_VERSIONS_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "knapweed/gateway/fleet_config.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/stream_records.h"
#include "knapweed/gateway/upstreams.h"
#include "knapweed/policy/stream_version.h"

/// Which software version began a stream, so that it goes on at that version
/// when its caller resumes it at another gateway. The gateway that begins a
/// stream tells two others, chosen by the request's id, so that the version is
/// known also when that gateway has died. When all have died, `StreamRecords`
/// tells where streams began.
namespace knapweed::gateway {

/// Paths of a report of a stream's origin and of a request for it, on a
/// gateway's peer address.
inline constexpr std::string_view kStreamBegunPath = "/streams/begun";
inline constexpr std::string_view kStreamOriginPath = "/streams/origin";

/// Returns the name of a route in records of origins: its host and path prefix.
std::string RouteKeyOf(const Route& route);

/// Whether a stream may go on, and where.
struct StreamResume {
  bool may_go_on = false;
  StreamOrigin origin;
};

/// A stream that a caller resumes.
struct StreamToResume {
  /// Id of the request that brought its first event; empty if not stated.
  std::string begun_by;
  /// Host and path prefix of its route.
  std::string route;
  /// The services that the route leads to now.
  std::vector<std::string> services;
  /// Longest time in which the route's upstreams answer.
  Ms timeout;
};

/// Remembers the origins of streams and exchanges them with other gateways.
/// `Gateway` owns it. Not thread-safe.
class StreamVersions {
 public:
  /// `self` is this gateway's peer address; `send` reaches the others.
  StreamVersions(asio::io_context& loop, const Clock& clock,
                 const UpstreamSet& upstreams, StreamRecords& records,
                 const Address& self, SendToPeer send);

  /// Records the places at which streams may begin by the routes and the list
  /// of upstreams. Must be called when one of these has changed.
  void RecordPlaces(std::span<const Route> routes);
  /// Returns the versions at which a stream may begin now; nothing if these are
  /// all that are listed, or if none is recorded yet.
  std::vector<std::string> VersionsToBegin(const std::string& route,
                                           const std::string& service) const;
  /// Must be called before a stream begins at an upstream. Waits until the
  /// store's record names the place; if it returns false, the stream must not
  /// begin, since after the death of this gateway it might go on elsewhere.
  Task<bool> WillBegin(RouteOrigin place, Ms timeout);
  /// Exchange of records with a gateway that starts; see `StreamRecords`.
  std::optional<Row> RowForPeer() { return records_.RowForPeer(); }
  void ApplyPeerRow(const Row& row, Ms asked_at) {
    records_.ApplyPeerRow(row, asked_at);
  }
  /// Records where the stream of a request began and tells other gateways, in
  /// the background.
  void Record(const std::string& request_id, const RouteOrigin& place);
  /// Notes that the stream of a request was sent whole.
  void EndStream(const std::string& request_id) {
    records_.EndStream(request_id);
  }
  /// Decides on a stream that a caller resumes. Asks other gateways for the
  /// origin if this one does not know it, then the store.
  Task<StreamResume> Resume(StreamToResume stream);
  /// Handles a report or a request of another gateway.
  HttpResponse AnswerPeer(const HttpRequest& call);
  /// Forgets old streams. Must be called periodically.
  void Update();
  /// Sets the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others);

 private:
  struct Known {
    StreamOrigin origin;
    Ms recorded_at;
  };
  /// A search for an origin that several gateways are asked for at once.
  struct Search {
    explicit Search(asio::io_context& loop) : progress(loop) {}
    Event progress;
    size_t unanswered = 0;
    std::optional<StreamOrigin> origin;
  };

  void Remember(const std::string& request_id, const StreamOrigin& origin);
  std::optional<StreamOrigin> FindHere(const std::string& request_id) const;
  Task<std::optional<StreamOrigin>> Find(std::string request_id);
  Task<void> Tell(Address peer, std::string request_id, StreamOrigin origin);
  Task<void> Ask(Address peer, std::string request_id,
                 std::shared_ptr<Search> search);
  asio::io_context& loop_;
  const Clock& clock_;
  const UpstreamSet& upstreams_;
  StreamRecords& records_;
  SendToPeer send_;
  Peers peers_;
  absl::flat_hash_map<std::string, Known> known_;
  /// Ids of the known streams, oldest first.
  std::deque<std::string> by_age_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_STREAM_VERSIONS_H_

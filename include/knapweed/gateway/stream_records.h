#ifndef KNAPWEED_GATEWAY_STREAM_RECORDS_H_
#define KNAPWEED_GATEWAY_STREAM_RECORDS_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "knapweed/gateway/net.h"
#include "knapweed/gateway/records.h"
#include "knapweed/gateway/swept_table.h"
#include "knapweed/policy/stream_version.h"

/// The store's record of where streams begin, which survives the death of all
/// gateways. Each gateway has one row. It names every service and version at
/// which the gateway may begin streams of a route: a place is recorded as soon
/// as it is listed, and no stream begins at a place that no row names. So
/// whoever reads all rows knows every place where a stream can have begun, also
/// without the store in the meantime. While the row names several versions of a
/// service, it also names the latest streams, late by the interval between two
/// writes.
namespace knapweed::gateway {

/// Where a stream began.
struct StreamOrigin {
  std::string service;
  std::string version;
  auto operator<=>(const StreamOrigin&) const = default;
};

/// A place where a gateway begins streams of a route.
struct RouteOrigin {
  /// Host and path prefix of the route.
  std::string route;
  StreamOrigin origin;
  auto operator<=>(const RouteOrigin&) const = default;
};

/// A place at which streams may begin, as the configuration and the list of
/// upstreams tell.
struct ListedPlace {
  RouteOrigin at;
  /// Longest time from the begin of a stream until its caller resumes it.
  Ms longest_span;
};

/// The calls to the store that `StreamRecords` needs.
struct RecordStore {
  /// Reads all rows of a range; false if the store can't be read.
  std::function<Task<bool>(RowRange range, std::vector<Row>* rows)> read;
  std::function<Task<StoreAnswer>(Commit commit)> write;
  /// Whether the store counts as reachable, directly or through a peer.
  std::function<bool()> reachable;
  /// Time on the store's clock.
  std::function<Ms()> now;
};

/// The table of the records, for `RowSweeper`.
SweptTable StreamTable();

/// Writes this gateway's record and reads those of all. Not thread-safe.
class StreamRecords {
 public:
  /// `name` is the gateway's, which stays the same when it restarts.
  StreamRecords(asio::io_context& loop, const Clock& clock, RecordStore store,
                std::string name);

  /// Sets the places at which streams may begin now; they are recorded with the
  /// next write. Those that are not among them any more are withdrawn once no
  /// caller can resume a stream that began there.
  void SetListed(std::span<const ListedPlace> places);
  /// Notes that a stream begins at `place` now, and that its caller resumes it
  /// within `longest_span`.
  void NoteBegin(const RouteOrigin& place, Ms longest_span);
  /// Returns whether a row of the store names the place: this gateway's own, or
  /// lately that of a peer. Only then may a stream begin there.
  bool IsRecorded(const RouteOrigin& place) const;
  /// Returns whether a place at which streams may begin is not recorded.
  bool HasUnrecorded() const;
  /// Waits until the place is recorded, but not while the store is unreachable,
  /// and not for longer than 1 s. Returns whether it is recorded.
  Task<bool> WaitUntilRecorded(RouteOrigin place);
  /// Returns whether several versions of the service are recorded or will be.
  bool HasSeveralVersions(const std::string& service) const;
  /// Returns a row for a gateway that starts without the store, with the places
  /// that this gateway's row names, and keeps these until that gateway relies
  /// on them no more. Nothing if there is none.
  std::optional<Row> RowForPeer();
  /// Takes over a peer's row, which was asked for at `asked_at`: its places
  /// count as recorded for a while. Ignores a row that can't be decoded.
  void ApplyPeerRow(const Row& row, Ms asked_at);
  /// Records where one stream began. Takes effect with the next write.
  void RecordStream(const std::string& request_id, const RouteOrigin& place);
  /// Notes that a stream was sent whole, so that its record is needed only for
  /// a caller that didn't get its end.
  void EndStream(const std::string& request_id);
  /// Reads the records of all gateways, by a read that begins after the call.
  /// Returns false if they can't be read completely.
  Task<bool> Refresh();
  /// Returns where streams of the route may have begun, as last read. The views
  /// are valid until the next write or read.
  std::vector<PossibleOrigin> PossibleOrigins(std::string_view route) const;
  /// Returns where a stream began if a record that was read names it.
  std::optional<StreamOrigin> Find(const std::string& request_id) const;
  /// Sets the number of gateways, which bounds the rate of writes of each.
  void SetGateways(size_t count) { gateways_ = count; }
  /// Writes the record whenever it has changed. Runs until the loop stops.
  Task<void> Run();

 private:
  struct OwnPlace {
    /// When it was last listed, a stream last began there, or a peer that was
    /// told of it may last begin one.
    Ms needed_until;
    Ms longest_span;
    bool is_listed = false;
    bool is_recorded = false;
  };
  struct BegunStream {
    std::string request_id;
    RouteOrigin place;
    /// When its record may go.
    Ms until;
  };
  struct Place {
    RouteOrigin at;
    Ms longest_span;
  };
  /// The record of one gateway. `streams` holds indexes of places by request.
  struct Record {
    std::vector<Place> places;
    std::map<std::string, size_t> streams;
    Ms written_at;
  };

  /// Returns nothing if any place of the row can't be decoded.
  static std::optional<Record> Decode(const std::string& value);
  enum class Places : uint8_t { kAll, kRecorded };
  std::string Encode(Places places) const;
  /// Adds the place if it is new.
  OwnPlace& Own(const RouteOrigin& place, Ms longest_span);
  /// Returns whether the other gateways still count this gateway's row.
  bool RowCounts() const;
  /// Returns whether the row in the store lacks a place.
  bool LacksPlace() const;
  /// Returns whether the row must be written now.
  bool IsDue() const;
  Ms WriteInterval() const;
  /// Drops places and streams that no caller can resume any more.
  void DropExpired();
  /// Returns false if the store did not answer.
  Task<bool> Write();
  /// Takes over what this gateway's earlier process recorded.
  void TakeOver(const Row& row);
  /// Replaces the records by `rows`. Returns false if one can't be decoded.
  bool Apply(const std::vector<Row>& rows);

  asio::io_context& loop_;
  const Clock& clock_;
  RecordStore store_;
  std::string name_;
  std::map<RouteOrigin, OwnPlace> own_;
  /// Places that a peer's row names, and until when a stream may begin there.
  std::map<RouteOrigin, Ms> peer_places_;
  std::deque<BegunStream> begun_;
  /// The row differs from what it should be.
  bool is_changed_ = false;
  Ms written_at_;
  uint64_t row_version_ = 0;
  size_t gateways_ = 1;
  /// The records of all gateways, as last read.
  std::vector<Record> records_;
  Ms read_at_;
  bool is_reading_ = false;
  uint64_t reads_begun_ = 0;
  uint64_t reads_done_ = 0;
  bool read_succeeded_ = false;
  Event read_done_;
  Event write_wanted_;
  Event written_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_STREAM_RECORDS_H_

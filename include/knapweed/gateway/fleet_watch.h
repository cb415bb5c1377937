#ifndef KNAPWEED_GATEWAY_FLEET_WATCH_H_
#define KNAPWEED_GATEWAY_FLEET_WATCH_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/gateway/announcement.h"
#include "knapweed/gateway/call_runner.h"
#include "knapweed/gateway/known_rows.h"
#include "knapweed/gateway/permits.h"
#include "knapweed/gateway/store.h"
#include "knapweed/gateway/use_exchange.h"

/// Replication of the store's tables to the gateway: configuration, upstreams
/// and the other gateways.
namespace knapweed::gateway {

/// This gateway's name and address in the table of gateways.
struct GatewayEntry {
  std::string name;
  Address peer_address;
};

/// Objects that `FleetWatch` reads from and updates; all must outlive it.
struct FleetWatchDeps {
  asio::io_context& loop;
  const Clock& clock;
  const Dialect& dialect;
  Store& store;
  FleetView& view;
  Quotas& quotas;
  Permits& permits;
  UseExchange& use_exchange;
  ProgramStarts& starts;
  Budgets& budgets;
  SendLimits& send_limits;
  StreamVersions& stream_versions;
  CrashWatch& crashes;
};

/// Follows the store's tables and updates `FleetView`, quotas, budgets and
/// crash records. `Gateway` owns it.
class FleetWatch {
 public:
  FleetWatch(const FleetWatchDeps& parts, GatewayEntry self,
             std::vector<Address> seeds);

  /// Starts the coroutines that follow the tables; they run until the loop
  /// stops.
  void Start();
  /// Ends the granting of permits and announces what was granted, so that the
  /// next process of this gateway can go on at once.
  Task<void> AnnounceStop();
  /// Returns the rows for a peer that can't read the store; empty until this
  /// gateway is ready.
  KnownRows RowsForPeers();
  /// Returns whether configuration, upstreams and other gateways have been
  /// read.
  bool ready() const {
    return view_.config != nullptr && upstreams_read_ && gateways_read_;
  }

 private:
  /// Position in a table's feed. Any failed read makes it invalid, so that the
  /// whole table is read again.
  struct TablePosition {
    bool valid = false;
    uint64_t version = 0;
  };
  /// Rows read from a table. They may be incomplete unless `ok`.
  struct TableChanges {
    bool ok = false;
    bool is_whole_table = false;
    std::vector<Row> rows;
  };

  /// Reads the whole table if `position` is invalid; otherwise polls the
  /// feed for changes, which may block for `max_wait`.
  Task<TableChanges> ReadChanges(std::string_view table,
                                 TablePosition& position, Ms max_wait);
  Task<void> PauseAfterFailure();
  Task<void> FollowConfig();
  Task<void> FollowUpstreams();
  Task<void> FollowGateways();
  Task<bool> ReadTable(std::string_view table, std::vector<Row>* rows,
                       uint64_t* version);
  /// Applies the rows of evacuations among `rows`; without `is_whole_table`
  /// those that are not mentioned stay in force.
  void ApplyEvacuations(const std::vector<Row>& rows, bool is_whole_table);
  void ApplyConfig(const Row& row);
  /// Returns the failure domain that the row evacuates or ceases to evacuate.
  std::optional<std::string> EvacuatedBy(const Row& row) const;
  void ApplyUpstream(const Row& row);
  /// Takes over the cold time that the row of an upstream states.
  void ApplyColdTime(const Row& row);
  /// Takes over the settings of the upstream's service.
  void ApplyService(Upstream& upstream) const;
  void RemoveUpstream(const std::string& id);
  void RemoveUnlisted(const std::vector<Row>& rows);
  /// Decides, when the whole table has been read, whether upstreams that it
  /// lacks may still register again after an outage of the store.
  void ExpectRegistrations(const std::vector<Row>& rows);
  /// Returns the time until a pending removal is due, at most the longest wait
  /// for a change.
  Ms UntilNextRemoval() const;
  void RunPendingRemovals();
  Task<void> RestoreOwnUse();
  Task<bool> Announce();
  /// Takes over who holds the slots of rates, and commits the change that is
  /// due.
  Task<void> UpdateSlots(const std::vector<Row>& rows);
  /// Returns the records of limits with their times on the store's clock.
  std::vector<LimitRecord> LimitsToTell();
  /// `now` is the store's time when the rows were read; `age` is the time since
  /// then.
  void ApplyGateways(const std::vector<Row>& rows, Ms now, Ms age);
  /// Returns the age up to which an announcement shows a running gateway.
  Ms LongestAnnouncementAge() const;
  /// Returns another gateway's announcement; nothing if it is this gateway's or
  /// malformed.
  std::optional<Announcement> ReadAnnouncement(const Row& row) const;
  /// Takes over what another gateway tells of crashes and limits.
  void MergeRecords(Announcement& told, Ms now, Ms age);
  /// Takes over what an earlier run of this gateway announced.
  void TakeOverOwnRow(const std::vector<Row>& rows, Ms now);
  /// Requests the rows from peers until this gateway is ready.
  Task<void> BootstrapFromPeers();
  /// `asked_at` is when the peer was asked for the rows.
  void ApplyPeerRows(const KnownRows& known, Ms asked_at);
  /// Records at which places streams may begin, as the tables tell now.
  void RecordStreamPlaces();

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  Store& store_;
  FleetView& view_;
  Quotas& quotas_;
  Permits& permits_;
  UseExchange& use_exchange_;
  ProgramStarts& starts_;
  Budgets& budgets_;
  SendLimits& send_limits_;
  StreamVersions& stream_versions_;
  CrashWatch& crashes_;
  GatewayEntry self_;
  std::vector<Address> seeds_;
  bool upstreams_read_ = false;
  bool gateways_read_ = false;
  // Rows as last read, for `RowsForPeers`.
  Row config_row_;
  /// Rows of the evacuations in force, by failure domain.
  std::map<std::string, Row, std::less<>> evacuation_rows_;
  /// The operator's table was read from the store, not only from a peer.
  bool operator_table_read_ = false;
  std::map<std::string, Row> upstream_rows_;
  std::vector<Row> gateway_rows_;
  Ms gateways_read_at_;
  bool own_use_restored_ = false;
  /// Set, and notified, when the row of this gateway is to be written at once.
  bool announce_wanted_ = false;
  Event announce_;
  uint64_t own_row_version_ = 0;
  /// This gateway grants no more permits.
  bool has_stopped_ = false;
  /// Upstreams whose entries were missing just after a store outage, with the
  /// time at which to remove them.
  std::map<std::string, Ms> pending_removals_;
  /// Until then a missing entry does not mean that its upstream is gone.
  Ms reregister_until_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FLEET_WATCH_H_

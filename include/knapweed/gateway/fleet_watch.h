#ifndef KNAPWEED_GATEWAY_FLEET_WATCH_H_
#define KNAPWEED_GATEWAY_FLEET_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "knapweed/gateway/call_runner.h"
#include "knapweed/gateway/known_rows.h"
#include "knapweed/gateway/store.h"

/// Follows the store's tables, so that a gateway's view of configuration,
/// upstreams and other gateways is no older than the store allows.
namespace knapweed::gateway {

/// This gateway as others see it.
struct GatewayEntry {
  std::string name;
  Address peer_address;
};

/// The parts that are kept up to date, and those that it takes to do so.
struct FleetWatchDeps {
  asio::io_context& loop;
  const Clock& clock;
  const Dialect& dialect;
  Store& store;
  FleetView& view;
  Quotas& quotas;
  Budgets& budgets;
  CrashWatch& crashes;
};

class FleetWatch {
 public:
  FleetWatch(const FleetWatchDeps& parts, GatewayEntry self,
             std::vector<Address> seeds);

  /// Runs until the process ends.
  void Start();
  /// What to tell a peer that can't read the store; empty before this gateway
  /// has read it all.
  KnownRows RowsForPeers() const;
  /// Whether configuration, upstreams and other gateways have been read.
  bool ready() const {
    return view_.config != nullptr && upstreams_read_ && gateways_read_;
  }

 private:
  /// How far a table is known; a gap in the feed makes it unknown again.
  struct TablePosition {
    bool valid = false;
    uint64_t version = 0;
  };
  /// What the store told of a table. Without `ok` the rows are a part of it.
  struct TableChanges {
    bool ok = false;
    bool is_whole_table = false;
    std::vector<Row> rows;
  };

  /// Reads the whole table at first and after a failure, otherwise waits a
  /// while for what changes in it.
  Task<TableChanges> ReadChanges(std::string_view table,
                                 TablePosition& position);
  Task<void> PauseAfterFailure();
  Task<void> FollowConfig();
  Task<void> FollowUpstreams();
  Task<void> FollowGateways();
  Task<bool> ReadTable(std::string_view table, std::vector<Row>* rows,
                       uint64_t* version);
  void ApplyConfig(const Row& row);
  void ApplyUpstream(const Row& row);
  void RemoveUpstream(const std::string& id);
  void RemoveUnlisted(const std::vector<Row>& rows);
  void RunPendingRemovals();
  Task<void> RestoreOwnUse();
  Task<bool> Announce();
  /// `now` is the store's time at which the rows were read, `age` ago.
  void ApplyGateways(const std::vector<Row>& rows, Ms now, Ms age);
  void RestoreOwnUseFrom(const std::vector<Row>& rows, Ms now);
  /// Asks peers for what they know until this gateway is ready.
  Task<void> BootstrapFromPeers();
  void ApplyPeerRows(const KnownRows& known);

  asio::io_context& loop_;
  const Clock& clock_;
  const Dialect& dialect_;
  Store& store_;
  FleetView& view_;
  Quotas& quotas_;
  Budgets& budgets_;
  CrashWatch& crashes_;
  GatewayEntry self_;
  std::vector<Address> seeds_;
  bool upstreams_read_ = false;
  bool gateways_read_ = false;
  /// As last read, for peers.
  Row config_row_;
  std::map<std::string, Row> upstream_rows_;
  std::vector<Row> gateway_rows_;
  Ms gateways_read_at_;
  bool own_use_restored_ = false;
  uint64_t own_row_version_ = 0;
  /// Upstreams that the store dropped around an outage, and when they go.
  std::map<std::string, Ms> pending_removals_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_FLEET_WATCH_H_

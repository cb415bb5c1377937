#include "knapweed/gateway/fleet_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("watch");

/// Maximum time for which the store delays the response to a feed request while
/// there are no changes (long polling). A dead connection is detected after
/// this time plus the request's timeout margin, well within the time in which a
/// new configuration must be in force.
constexpr Ms kFeedMaxWait{700};
constexpr Ms kRetryInterval{150};
constexpr Ms kOutageRetryInterval{250};
/// Upstreams whose entries expired during an outage of the store register again
/// within this time after it.
constexpr Ms kReregisterGrace{2300};
/// If at least this share of the upstreams' entries was written while this
/// gateway did not reach the store, the upstreams did reach it. Just after an
/// outage of the store few entries are new: each is written about once a
/// second.
constexpr double kWrittenMeanwhile = 0.9;
/// A gateway that is not ready after this delay requests the rows from its
/// peers, and repeats that at the retry interval.
constexpr Ms kBootstrapDelay{300};
constexpr Ms kBootstrapRetryInterval{200};
constexpr Ms kBootstrapTimeout{500};

/// Returns whether the upstreams wrote their entries while this gateway did not
/// read them: `known` are those that it read last.
bool WroteMeanwhile(const std::map<std::string, Row>& known,
                    const std::vector<Row>& rows) {
  size_t listed = 0;
  size_t written = 0;
  for (const Row& row : rows) {
    const auto it = known.find(row.key.key);
    if (it == known.end()) continue;
    ++listed;
    if (row.version != it->second.version) ++written;
  }
  return listed > 0 && static_cast<double>(written) >=
                           kWrittenMeanwhile * static_cast<double>(listed);
}

}  // namespace

FleetWatch::FleetWatch(const FleetWatchDeps& parts, GatewayEntry self,
                       std::vector<Address> seeds)
    : loop_(parts.loop),
      clock_(parts.clock),
      dialect_(parts.dialect),
      store_(parts.store),
      view_(parts.view),
      quotas_(parts.quotas),
      permits_(parts.permits),
      use_exchange_(parts.use_exchange),
      starts_(parts.starts),
      budgets_(parts.budgets),
      send_limits_(parts.send_limits),
      stream_versions_(parts.stream_versions),
      crashes_(parts.crashes),
      self_(std::move(self)),
      seeds_(std::move(seeds)),
      announce_(parts.loop) {
  std::erase(seeds_, self_.peer_address);
  crashes_.OnQuarantined([this] {
    announce_wanted_ = true;
    announce_.Notify();
  });
  store_.SetPeers(seeds_);
}

void FleetWatch::Start() {
  SpawnForever(loop_, "following the configuration",
               [this] { return FollowConfig(); });
  SpawnForever(loop_, "following upstreams",
               [this] { return FollowUpstreams(); });
  SpawnForever(loop_, "following gateways",
               [this] { return FollowGateways(); });
  SpawnForever(loop_, "reading tables from a peer",
               [this] { return BootstrapFromPeers(); });
}

KnownRows FleetWatch::RowsForPeers() {
  KnownRows known;
  if (!ready()) return known;
  const Ms now = clock_.Now();
  known.rows.push_back(config_row_);
  for (const auto& [domain, row] : evacuation_rows_) known.rows.push_back(row);
  for (const auto& [id, row] : upstream_rows_) known.rows.push_back(row);
  known.rows.insert(known.rows.end(), gateway_rows_.begin(),
                    gateway_rows_.end());
  // Newer than the one among the rows if this gateway has changed it.
  std::optional<Row> slots = permits_.slots().RowForPeer();
  if (slots.has_value()) known.rows.push_back(*std::move(slots));
  std::optional<Row> origins = stream_versions_.RowForPeer();
  if (origins.has_value()) known.rows.push_back(*std::move(origins));
  known.store_now = store_.StoreNow();
  known.config_age = now - view_.config_confirmed_at;
  known.gateways_age = now - gateways_read_at_;
  return known;
}

Task<void> FleetWatch::BootstrapFromPeers() {
  std::vector<std::unique_ptr<HttpClient>> peers;
  for (const Address& seed : seeds_) {
    if (seed == self_.peer_address) continue;
    peers.push_back(std::make_unique<HttpClient>(loop_, clock_, seed));
  }
  co_await Sleep(loop_, kBootstrapDelay);
  HttpRequest call;
  call.target = std::string(kKnownRowsPath);
  for (size_t next = 0; !ready() && !peers.empty(); ++next) {
    HttpClient& peer = *peers[next % peers.size()];
    const Ms asked_at = clock_.Now();
    const HttpResponse answer = co_await peer.Send(call, kBootstrapTimeout);
    if (answer.status == 200 && !ready()) {
      const absl::StatusOr<KnownRows> known = DecodeKnownRows(answer.body);
      if (known.ok()) {
        ApplyPeerRows(*known, asked_at);
        kLog.Info("Read the tables from a peer.",
                  {{"peer", peer.address().ToString()},
                   {"rows", known->rows.size()},
                   {"config_age_ms", known->config_age.count},
                   {"gateways_age_ms", known->gateways_age.count}});
      } else {
        kLog.Warning("Rows from a peer can't be decoded.",
                     {{"peer", peer.address().ToString()},
                      {"error", known.status().ToString()}});
      }
    }
    if (!ready()) {
      co_await Sleep(loop_, kBootstrapRetryInterval);
    }
  }
}

// Tables that were read from the store in the meantime are newer and are kept.
void FleetWatch::ApplyPeerRows(const KnownRows& known, Ms asked_at) {
  std::vector<Row> upstreams;
  std::vector<Row> gateways;
  const bool needs_config = view_.config == nullptr;
  if (!operator_table_read_) ApplyEvacuations(known.rows, true);
  for (const Row& row : known.rows) {
    ApplyConfig(row);
    if (row.key.table == dialect_.upstream_table) upstreams.push_back(row);
    if (row.key.table == kGatewayTable) gateways.push_back(row);
    if (row.key.key == kSlotsKey) permits_.slots().LearnFromPeer(row);
    if (row.key.table == StreamTable().table) {
      stream_versions_.ApplyPeerRow(row, asked_at);
    }
  }
  const Ms now = clock_.Now();
  if (needs_config) view_.config_confirmed_at = now - known.config_age;
  if (view_.config == nullptr) return;
  if (!upstreams_read_) {
    for (const Row& row : upstreams) ApplyUpstream(row);
    upstreams_read_ = true;
  }
  RecordStreamPlaces();
  if (gateways_read_) return;
  store_.SeedClock(known.store_now);
  const Ms read_at = known.store_now - known.gateways_age;
  TakeOverOwnRow(gateways, known.store_now);
  ApplyGateways(gateways, read_at, known.gateways_age);
}

Task<bool> FleetWatch::ReadTable(std::string_view table, std::vector<Row>* rows,
                                 uint64_t* version) {
  RowRange range;
  range.table = std::string(table);
  // The feed returns changes made since the first page was read.
  const bool ok = co_await store_.ReadAll(range, rows, version);
  co_return ok;
}

std::optional<std::string> FleetWatch::EvacuatedBy(const Row& row) const {
  const RowKey& config = dialect_.config_row;
  if (row.key.table != config.table || row.key.part != config.part) return {};
  return dialect_.decode_evacuation(row.key.key);
}

void FleetWatch::ApplyEvacuations(const std::vector<Row>& rows,
                                  bool is_whole_table) {
  std::map<std::string, Row, std::less<>> next;
  if (!is_whole_table) next = evacuation_rows_;
  for (const Row& row : rows) {
    const std::optional<std::string> domain = EvacuatedBy(row);
    if (!domain.has_value()) continue;
    if (row.deleted) {
      next.erase(*domain);
    } else {
      next[*domain] = row;
    }
  }
  DomainSet domains;
  for (const auto& [domain, row] : next) {
    domains.insert(domain);
    if (evacuation_rows_.contains(domain)) continue;
    kLog.Info("Evacuation in force.",
              {{"failure_domain", domain}, {"row", row.version}});
  }
  for (const auto& [domain, row] : evacuation_rows_) {
    if (next.contains(domain)) continue;
    kLog.Info("Evacuation ended.",
              {{"failure_domain", domain}, {"row", row.version}});
  }
  evacuation_rows_ = std::move(next);
  if (domains != view_.upstreams.evacuated()) {
    view_.upstreams.SetEvacuated(std::move(domains));
  }
}

void FleetWatch::ApplyConfig(const Row& row) {
  if (row.key != dialect_.config_row || row.deleted) return;
  if (row.version <= config_row_.version) return;
  absl::StatusOr<FleetConfig> config = dialect_.decode_config(row.value);
  if (!config.ok()) {
    kLog.Error("Keeping the configuration: the new one can't be decoded.",
               {{"error", config.status().ToString()}});
    return;
  }
  config_row_ = row;
  kLog.Info("Configuration in force.",
            {{"version", config->version},
             {"row", row.version},
             {"routes", config->routes.size()},
             {"workspaces", config->workspaces.size()},
             {"keys", config->keys.size()},
             {"requires_keys", config->requires_keys ? 1 : 0}});
  view_.config = std::make_shared<const FleetConfig>(*std::move(config));
  for (const auto& [id, up] : view_.upstreams.all()) ApplyService(*up);
}

Task<FleetWatch::TableChanges> FleetWatch::ReadChanges(std::string_view table,
                                                       TablePosition& position,
                                                       Ms max_wait) {
  TableChanges changes;
  if (!position.valid) {
    changes.is_whole_table = true;
    changes.ok = co_await ReadTable(table, &changes.rows, &position.version);
  } else {
    FeedRequest feed;
    feed.table = std::string(table);
    feed.after = position.version;
    feed.wait = max_wait;
    StoreAnswer answer = co_await store_.Follow(feed);
    changes.ok = answer.outcome == StoreOutcome::kDone;
    if (changes.ok) {
      changes.rows = std::move(answer.rows);
      position.version = std::max(position.version, answer.version);
    }
  }
  position.valid = changes.ok;
  co_return changes;
}

Task<void> FleetWatch::PauseAfterFailure() {
  co_await Sleep(loop_,
                 store_.reachable() ? kRetryInterval : kOutageRetryInterval);
}

Task<void> FleetWatch::FollowConfig() {
  TablePosition position;
  while (true) {
    const Ms asked_at = clock_.Now();
    const TableChanges changes =
        co_await ReadChanges(dialect_.config_row.table, position, kFeedMaxWait);
    // Evacuations first: a gateway serves as soon as it has a configuration.
    if (changes.ok) {
      operator_table_read_ = true;
      ApplyEvacuations(changes.rows, changes.is_whole_table);
      for (const Row& row : changes.rows) {
        RunStep("a row of the configuration", [&] { ApplyConfig(row); });
      }
      view_.config_confirmed_at = clock_.Now();
      view_.config_asked_at = asked_at;
      RecordStreamPlaces();
    } else {
      co_await PauseAfterFailure();
    }
  }
}

void FleetWatch::ApplyUpstream(const Row& row) {
  const std::string& id = row.key.key;
  if (row.deleted) {
    upstream_rows_.erase(id);
    RemoveUpstream(id);
    return;
  }
  upstream_rows_[id] = row;
  absl::StatusOr<UpstreamEntry> entry = dialect_.decode_upstream(id, row.value);
  if (!entry.ok()) {
    kLog.Warning("An upstream's entry can't be decoded.",
                 {{"upstream", id}, {"error", entry.status().ToString()}});
    RemoveUpstream(id);
    return;
  }
  pending_removals_.erase(id);
  uint64_t cache_tokens = 0;
  if (view_.config != nullptr) {
    const auto service = view_.config->services.find(entry->service);
    if (service != view_.config->services.end()) {
      cache_tokens = service->second.cache_tokens;
    }
  }
  const bool draining = entry->draining;
  const std::string version = entry->version;
  if (view_.upstreams.Put(*std::move(entry), cache_tokens)) {
    kLog.Info("An upstream changed.", {{"upstream", id},
                                       {"version", version},
                                       {"draining", draining ? 1 : 0}});
  }
  ApplyColdTime(row);
}

void FleetWatch::ApplyService(Upstream& upstream) const {
  upstream.cold.per_s = 0;
  upstream.cold.start = Ms{0};
  if (view_.config == nullptr) return;
  const auto it = view_.config->services.find(upstream.entry.service);
  if (it == view_.config->services.end()) return;
  upstream.cold.per_s = it->second.cold_per_s;
  upstream.cold.start = it->second.cold_start;
}

void FleetWatch::ApplyColdTime(const Row& row) {
  Upstream& upstream = *view_.upstreams.all().at(row.key.key);
  const Ms now = clock_.Now();
  ApplyService(upstream);
  const bool was_cold = IsCold(upstream, now);
  ReadColdTime(upstream, row.version, now);
  if (was_cold || !IsCold(upstream, now)) return;
  kLog.Info("An upstream is cold.",
            {{"upstream", upstream.entry.id},
             {"cold_ms", (upstream.cold.until - now).count},
             {"cold_per_s", std::to_string(upstream.cold.per_s)},
             {"row", row.version}});
}

void FleetWatch::RemoveUpstream(const std::string& id) {
  if (!view_.upstreams.all().contains(id)) return;
  // Entries also expire because of a store outage; live upstreams register
  // again.
  if (clock_.Now() < reregister_until_) {
    pending_removals_.emplace(id, reregister_until_);
    return;
  }
  kLog.Info("Upstream removed.", {{"upstream", id}});
  view_.upstreams.Remove(id);
}

void FleetWatch::RemoveUnlisted(const std::vector<Row>& rows) {
  std::set<std::string_view> listed;
  for (const Row& row : rows) listed.insert(row.key.key);
  std::vector<std::string> absent;
  for (const auto& [id, up] : view_.upstreams.all()) {
    if (!listed.contains(id)) absent.push_back(id);
  }
  for (const std::string& id : absent) {
    upstream_rows_.erase(id);
    RemoveUpstream(id);
  }
}

void FleetWatch::ExpectRegistrations(const std::vector<Row>& rows) {
  const Ms now = clock_.Now();
  const Ms until = store_.regained_at() + kReregisterGrace;
  reregister_until_ = Ms{0};
  if (store_.regained_at() == Ms{0} || now >= until) return;
  const bool wrote_meanwhile = WroteMeanwhile(upstream_rows_, rows);
  kLog.Info("Read the upstreams after an outage.",
            {{"rows", rows.size()},
             {"known", upstream_rows_.size()},
             {"written_meanwhile", wrote_meanwhile ? 1 : 0}});
  if (!wrote_meanwhile) reregister_until_ = until;
}

Ms FleetWatch::UntilNextRemoval() const {
  Ms wait = kFeedMaxWait;
  const Ms now = clock_.Now();
  for (const auto& [id, at] : pending_removals_) {
    wait = std::min(wait, std::max(at - now, Ms{1}));
  }
  return wait;
}

void FleetWatch::RunPendingRemovals() {
  const Ms now = clock_.Now();
  for (auto it = pending_removals_.begin(); it != pending_removals_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    kLog.Info("Removed an upstream that did not register again.",
              {{"upstream", it->first}});
    view_.upstreams.Remove(it->first);
    it = pending_removals_.erase(it);
  }
}

Task<void> FleetWatch::FollowUpstreams() {
  TablePosition position;
  while (true) {
    // The configuration has the cache sizes of engines.
    while (view_.config == nullptr) {
      co_await Sleep(loop_, Ms{20});
    }
    const TableChanges changes = co_await ReadChanges(
        dialect_.upstream_table, position, UntilNextRemoval());
    if (changes.ok) {
      if (changes.is_whole_table) ExpectRegistrations(changes.rows);
      for (const Row& row : changes.rows) {
        RunStep("a row of an upstream", [&] { ApplyUpstream(row); });
      }
      if (changes.is_whole_table) RemoveUnlisted(changes.rows);
      upstreams_read_ = true;
    }
    RunPendingRemovals();
    RecordStreamPlaces();
    if (!changes.ok) {
      co_await PauseAfterFailure();
    }
  }
}

void FleetWatch::RecordStreamPlaces() {
  if (!upstreams_read_ || view_.config == nullptr) return;
  stream_versions_.RecordPlaces(view_.config->routes);
}

}  // namespace knapweed::gateway

#include "knapweed/gateway/store.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("store");

/// A slow store answers within about 400 ms; one that takes longer than this
/// counts as unreachable.
constexpr Ms kCallTimeout{900};
/// Added to the wait of a feed for network latency and a slow store.
constexpr Ms kFeedMargin{600};
/// Poll interval of a table that is followed through a peer.
constexpr Ms kPollInterval{300};
/// Timeout of a call through one peer, before the next peer is tried.
constexpr Ms kRelayTimeout{600};
/// Interval and timeout of the probes while direct calls fail.
constexpr Ms kProbeInterval{250};
constexpr Ms kProbeTimeout{700};
/// Attempts per call at a busy store, and the pause after the first one, which
/// grows with each attempt. A store that has answered nothing but busy for
/// longer than `kBusyCountsAsDown` rejects this VM and counts as unreachable.
constexpr int kBusyAttempts = 3;
constexpr Ms kBusyPause{40};
constexpr Ms kBusyCountsAsDown{500};
/// The store counts as unreachable when all direct calls have failed for so
/// long. Until then a failure may show only that a part of the store is down,
/// and calls to the other parts go on.
constexpr Ms kLostAfter{300};
/// Maximum peers tried per call; more would only add load to a real outage.
constexpr size_t kMaxRelayPeers = 2;

std::string_view OutcomeName(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kDone:
      return "done";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kNotDone:
      return "not_done";
    case StoreOutcome::kBusy:
      return "busy";
    case StoreOutcome::kUnknown:
      return "unknown";
    case StoreOutcome::kHistoryLost:
      return "history_lost";
    case StoreOutcome::kRejected:
      return "rejected";
  }
  return "unknown";
}

bool IsAnswered(const StoreAnswer& answer) {
  return answer.outcome != StoreOutcome::kNotDone &&
         answer.outcome != StoreOutcome::kBusy &&
         answer.outcome != StoreOutcome::kUnknown;
}

}  // namespace

Store::Store(asio::io_context& loop, const Clock& clock, const Dialect& dialect,
             Address address, Metrics& metrics)
    : loop_(loop),
      clock_(clock),
      dialect_(dialect),
      metrics_(metrics),
      direct_(std::make_unique<HttpClient>(loop, clock, std::move(address))) {}

void Store::Count(std::string_view kind, std::string_view table) {
  std::string name = "store_calls_total{kind=\"";
  name.append(kind).append("\",table=\"").append(table).append("\"}");
  metrics_.GetCounter(name).Add();
}

Task<StoreAnswer> Store::Apply(const Commit& commit) {
  Count("commit", commit.conditions.front().key.table);
  const HttpRequest call = dialect_.encode_commit(commit);
  StoreAnswer answer = co_await Run(call, kCallTimeout, false);
  if (answer.outcome != StoreOutcome::kDone) {
    Count(OutcomeName(answer.outcome), commit.conditions.front().key.table);
  }
  co_return answer;
}

Task<StoreAnswer> Store::Read(const RowRange& range) {
  Count("read", range.table);
  const HttpRequest call = dialect_.encode_range(range);
  co_return co_await Run(call, kCallTimeout, false);
}

Task<StoreAnswer> Store::ReadTryingPeers(const RowRange& range) {
  Count("read", range.table);
  const HttpRequest call = dialect_.encode_range(range);
  co_return co_await Run(call, kCallTimeout, true);
}

Task<StoreAnswer> Store::Follow(const FeedRequest& feed) {
  Count("feed", feed.table);
  FeedRequest request = feed;
  // Peers do not wait for changes on behalf of others.
  if (!direct_ok_) request.wait = Ms{0};
  const HttpRequest call = dialect_.encode_feed(request);
  StoreAnswer answer = co_await Run(call, request.wait + kFeedMargin, true);
  if (request.wait < feed.wait) {
    co_await Sleep(loop_, kPollInterval);
  }
  co_return answer;
}

void Store::Start() {
  SpawnForever(loop_, "probing the store", [this] { return ProbeDirect(); });
}

Task<void> Store::ProbeDirect() {
  RowRange range;
  range.table = dialect_.config_row.table;
  range.limit = 1;
  const HttpRequest call = dialect_.encode_range(range);
  while (true) {
    co_await Sleep(loop_, kProbeInterval);
    if (!direct_ok_) {
      co_await RunDirect(call, kProbeTimeout);
    }
  }
}

Task<StoreAnswer> Store::Run(const HttpRequest& call, Ms timeout,
                             bool always_try_peers) {
  StoreAnswer answer;
  answer.outcome = StoreOutcome::kNotDone;
  bool maybe_done = false;
  const bool try_peers = direct_ok_ || relay_ok_ || always_try_peers;
  if (direct_ok_) {
    answer = co_await RunDirectWithRetry(call, timeout);
    if (IsAnswered(answer) || answer.outcome == StoreOutcome::kBusy) {
      co_return answer;
    }
    maybe_done = answer.outcome == StoreOutcome::kUnknown;
  }
  if (try_peers && !peers_.empty()) {
    answer = co_await RunThroughPeers(call, std::min(timeout, kRelayTimeout));
    maybe_done = maybe_done || answer.outcome == StoreOutcome::kUnknown;
    if (IsAnswered(answer)) co_return answer;
  }
  answer.outcome = maybe_done ? StoreOutcome::kUnknown : StoreOutcome::kNotDone;
  co_return answer;
}

Task<StoreAnswer> Store::RunDirectWithRetry(const HttpRequest& call,
                                            Ms timeout) {
  StoreAnswer answer;
  for (int i = 0; i < kBusyAttempts; ++i) {
    answer = co_await RunDirect(call, timeout);
    if (answer.outcome != StoreOutcome::kBusy) break;
    const Ms pause = kBusyPause * (i + 1) + Ms{clock_.Now().count % 32};
    co_await Sleep(loop_, pause);
  }
  co_return answer;
}

Task<StoreAnswer> Store::RunDirect(const HttpRequest& call, Ms timeout) {
  const Ms sent_at = clock_.Now();
  const HttpResponse raw = co_await direct_->Send(call, timeout);
  StoreAnswer answer = dialect_.decode_store_answer(raw.status, raw.body);
  if (raw.not_sent) answer.outcome = StoreOutcome::kNotDone;
  UpdateClock(answer);
  if (answer.outcome != StoreOutcome::kBusy) {
    busy_since_ = Ms{0};
  } else if (busy_since_ == Ms{0}) {
    busy_since_ = clock_.Now();
  }
  // A store that answers busy is reachable, unless it has answered nothing else
  // for a while.
  const bool rejects_this_vm = answer.outcome == StoreOutcome::kBusy &&
                               clock_.Now() - busy_since_ > kBusyCountsAsDown;
  if (rejects_this_vm) answer.outcome = StoreOutcome::kNotDone;
  if (answer.outcome != StoreOutcome::kBusy) {
    RecordDirect(IsAnswered(answer), sent_at);
  }
  co_return answer;
}

Task<StoreAnswer> Store::RunThroughPeers(const HttpRequest& call, Ms timeout) {
  StoreAnswer answer;
  answer.outcome = StoreOutcome::kNotDone;
  HttpRequest relayed = call;
  relayed.target = std::string(kRelayPrefix) + call.target;
  bool maybe_done = false;
  for (size_t i = 0; i < std::min(kMaxRelayPeers, peers_.size()); ++i) {
    HttpClient& peer = *peers_[next_peer_ % peers_.size()];
    const HttpResponse raw = co_await peer.Send(relayed, timeout);
    answer = dialect_.decode_store_answer(raw.status, raw.body);
    if (raw.not_sent) answer.outcome = StoreOutcome::kNotDone;
    if (IsAnswered(answer)) break;
    maybe_done = maybe_done || answer.outcome == StoreOutcome::kUnknown;
    ++next_peer_;
    if (peers_.empty()) break;
  }
  UpdateClock(answer);
  RecordContact(false, IsAnswered(answer));
  if (!IsAnswered(answer) && maybe_done) {
    answer.outcome = StoreOutcome::kUnknown;
  }
  co_return answer;
}

Task<bool> Store::ReadAll(RowRange range, std::vector<Row>* rows,
                          uint64_t* version) {
  rows->clear();
  uint64_t first_version = 0;
  while (true) {
    StoreAnswer answer = co_await ReadTryingPeers(range);
    if (answer.outcome != StoreOutcome::kDone) co_return false;
    if (first_version == 0) first_version = answer.version;
    const bool more = answer.more && !answer.rows.empty();
    if (more) range.from = answer.rows.back().key.key + '\x01';
    std::move(answer.rows.begin(), answer.rows.end(),
              std::back_inserter(*rows));
    if (!more) break;
  }
  *version = first_version;
  co_return true;
}

Task<HttpResponse> Store::RunForPeer(const HttpRequest& call) {
  HttpResponse answer;
  if (!direct_ok_) {
    answer.not_sent = true;
    co_return answer;
  }
  answer = co_await direct_->Send(call, kRelayTimeout);
  co_return answer;
}

void Store::SetPeers(std::vector<Address> peers) {
  std::vector<std::unique_ptr<HttpClient>> next;
  for (Address& address : peers) {
    const auto known =
        std::find_if(peers_.begin(), peers_.end(), [&](const auto& peer) {
          return peer != nullptr && peer->address() == address;
        });
    if (known != peers_.end()) {
      next.push_back(std::move(*known));
    } else {
      next.push_back(
          std::make_unique<HttpClient>(loop_, clock_, std::move(address)));
    }
  }
  // Peers that are no longer listed are kept, since calls may still be in
  // progress on them.
  for (auto& peer : peers_) {
    if (peer != nullptr) next.push_back(std::move(peer));
  }
  peers_ = std::move(next);
}

void Store::RecordDirect(bool ok, Ms sent_at) {
  if (ok) {
    failing_since_.reset();
  } else if (!failing_since_.has_value()) {
    failing_since_ = sent_at;
  }
  const bool may_be_partial =
      !ok && direct_ok_ && clock_.Now() - *failing_since_ < kLostAfter;
  if (!may_be_partial) RecordContact(true, ok);
}

void Store::RecordContact(bool direct, bool ok) {
  const Ms now = clock_.Now();
  const bool was_reachable = reachable();
  bool& state = direct ? direct_ok_ : relay_ok_;
  if (state != ok) {
    kLog.Info(ok ? "Regained the store." : "Lost the store.",
              {{"way", direct ? "direct" : "peer"}});
  }
  state = ok;
  // Peers are not tried while the store answers directly, so it is unknown
  // whether they could reach it.
  if (direct && ok) relay_ok_ = false;
  if (was_reachable && !reachable()) lost_at_ = now;
  if (!was_reachable && reachable()) regained_at_ = now;
}

void Store::UpdateClock(const StoreAnswer& answer) {
  if (answer.store_now <= Ms{0}) return;
  store_offset_ = answer.store_now - clock_.Now();
  clock_known_ = true;
}

void Store::SeedClock(Ms store_now) {
  if (!clock_known_) store_offset_ = store_now - clock_.Now();
}

Ms Store::StoreNow() const { return clock_.Now() + store_offset_; }

}  // namespace knapweed::gateway

#include "tests/send_limit_fleet.h"

#include <algorithm>

namespace knapweed::testing {
namespace {

using gateway::HttpRequest;
using gateway::HttpResponse;
using gateway::LimitRecord;
using gateway::Peers;
using gateway::SendLimits;
using gateway::Spawn;
using gateway::Task;
using gateway::UpstreamPtr;

constexpr uint64_t kStartedAtMs = 1;
constexpr Ms kLimitBegins{2000};
constexpr Ms kLimitEnds{42000};
constexpr Ms kRunEnds{52000};
/// The platform judges from this time after the limit was first stated, and
/// counts gateways that were told at least `kToldBefore` earlier.
constexpr Ms kJudgedAfter{3000};
constexpr Ms kToldBefore{500};
constexpr Ms kAnnounceInterval{600};
constexpr Ms kAnnouncementTtl{9000};
/// Time after an outage of the store in which announcements count for as much
/// longer as it lasted, as in `FleetWatch`.
constexpr Ms kReannounceTime{2000};
constexpr Ms kServiceTime{50};

/// One run of a gateway's process.
struct Process {
  Metrics metrics;
  gateway::UpstreamSet upstreams;
  UpstreamPtr upstream;
  std::unique_ptr<SendLimits> limits;
  /// The same list that `limits` has, to find the home.
  std::unique_ptr<Peers> peers;
};

struct Node {
  Address address;
  std::shared_ptr<Process> process;
  /// When it forwarded a response with a limit; unset since its last start.
  std::optional<Ms> told_at;
  /// Its requests are not judged until then, because of a fault.
  Ms excused_until;
  /// Increases with each start; events of earlier runs are dropped.
  int run = 0;
  bool is_up = true;
  /// While down, its address refuses connections instead of being silent.
  bool refuses = true;
  Ms frozen_until;
  Ms cut_until;
  Ms slow_until;
};

/// The row of a gateway in the store.
struct NodeRow {
  Ms at;
  std::vector<LimitRecord> limits;
};

struct Arrival {
  Ms at;
  bool judged = false;
};

/// A request between gateways that waits for its response. The timer never
/// expires; it is cancelled when there is a response.
struct Exchange {
  explicit Exchange(gateway::asio::io_context& loop)
      : done(loop, std::chrono::hours(1)) {}
  gateway::asio::steady_timer done;
  HttpResponse response;
};
using ExchangePtr = std::shared_ptr<Exchange>;

class Fleet {
 public:
  explicit Fleet(const FleetScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {}

  FleetOutcome Run();

 private:
  using Action = std::function<void()>;
  struct Timed {
    Ms at;
    uint64_t number = 0;
    Action action;
    bool operator<(const Timed& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  Ms Now() const { return clock_.Now(); }
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Ms Exponential(double per_s) {
    const double s = std::exponential_distribution<double>(per_s)(random_);
    return Ms{1 + static_cast<int64_t>(s * 1000)};
  }
  void At(Ms at, Action action) {
    events_.push({at, ++event_number_, std::move(action)});
  }
  void After(Ms span, Action action) { At(Now() + span, std::move(action)); }
  /// Runs the action at the node when it is awake, unless it restarts before.
  void OnNode(int n, Ms at, Action action);

  void Start(int n);
  void ExchangeRows(int n);
  void ReadRows(Node& node);
  void StartOutage(Ms span);
  Ms LongestAnnouncementAge() const;
  void Arrive();
  Task<void> Ask(int n, std::shared_ptr<Process> process);
  Task<HttpResponse> Transport(int from, Address peer, HttpRequest call,
                               Ms timeout);
  Task<void> Answer(int n, std::shared_ptr<Process> process, HttpRequest call,
                    Action respond, ExchangePtr exchange);
  void Send(int n, Ms send_by);
  void ScheduleFaults();
  void Strike();
  void Stop(int n, Ms down_for);
  void Kill(int n, Ms down_for, bool refuses);
  std::vector<int> Victims();
  static int IndexOf(const Address& address) { return address.port - 1000; }
  Ms Delay(int from, int to);
  bool IsCut(int n) const { return nodes_[index(n)].cut_until > Now(); }
  static size_t index(int n) { return static_cast<size_t>(n); }
  FleetOutcome Judge() const;

  const FleetScenario scenario_;
  std::mt19937_64 random_;
  Clock clock_ = Clock::Manual(Seconds(100));
  gateway::asio::io_context loop_;
  std::priority_queue<Timed> events_;
  uint64_t event_number_ = 0;
  std::vector<Node> nodes_;
  /// Ended processes, whose requests may still be in progress.
  std::vector<std::shared_ptr<Process>> ended_;
  std::map<int, NodeRow> rows_;
  Ms store_away_from_;
  Ms store_away_until_;
  Ms begun_;
  std::vector<Arrival> arrivals_;
};

void Fleet::OnNode(int n, Ms at, Action action) {
  const int run = nodes_[index(n)].run;
  At(at, [this, n, run, action = std::move(action)] {
    const Node& node = nodes_[index(n)];
    if (node.run != run || !node.is_up) return;
    if (node.frozen_until > Now()) {
      OnNode(n, node.frozen_until, action);
      return;
    }
    action();
  });
}

void Fleet::Start(int n) {
  Node& node = nodes_[index(n)];
  node.address = {"10.0.0.1", static_cast<uint16_t>(1000 + n)};
  if (node.process != nullptr) ended_.push_back(node.process);
  node.process = std::make_shared<Process>();
  Process& process = *node.process;
  gateway::UpstreamEntry entry;
  entry.id = scenario_.upstream;
  entry.started_at_ms = kStartedAtMs;
  process.upstreams.Put(entry, 0);
  process.upstream = process.upstreams.all().at(scenario_.upstream);
  if (scenario_.is_cold) {
    process.upstream->cold.per_s = scenario_.limit_per_s;
    process.upstream->cold.until = begun_ + kLimitEnds;
  }
  process.limits = std::make_unique<SendLimits>(
      loop_, clock_, process.upstreams, process.metrics, node.address,
      [this, n](const Address& peer, const HttpRequest& call, Ms timeout) {
        return Transport(n, peer, call, timeout);
      });
  const auto row = rows_.find(n);
  if (row != rows_.end() && Now() - row->second.at <= kAnnouncementTtl) {
    process.limits->SetKnownBefore();
  }
  process.peers = std::make_unique<Peers>(clock_, node.address);
  node.told_at.reset();
  node.is_up = true;
  ++node.run;
  ReadRows(node);
  OnNode(n, Now() + Ms{static_cast<int64_t>(Uniform() * 600)},
         [this, n] { ExchangeRows(n); });
}

Ms Fleet::LongestAnnouncementAge() const {
  const bool has_just_returned =
      Now() >= store_away_until_ && Now() - store_away_until_ < kReannounceTime;
  const Ms outage =
      has_just_returned ? store_away_until_ - store_away_from_ : Ms{0};
  return kAnnouncementTtl + outage;
}

void Fleet::ReadRows(Node& node) {
  std::vector<Address> others;
  for (const auto& [i, row] : rows_) {
    const Node& other = nodes_[index(i)];
    if (&other == &node || Now() - row.at > LongestAnnouncementAge()) continue;
    others.push_back(other.address);
    node.process->limits->MergeRecords(row.limits);
  }
  node.process->limits->SetOthers(others, Now());
  node.process->peers->SetOthers(others);
}

void Fleet::StartOutage(Ms span) {
  if (Now() >= store_away_until_) store_away_from_ = Now();
  store_away_until_ = Now() + span;
}

void Fleet::ExchangeRows(int n) {
  Node& node = nodes_[index(n)];
  if (store_away_until_ <= Now() && !IsCut(n)) {
    rows_[n] = {Now(), node.process->limits->Records()};
    ReadRows(node);
  }
  OnNode(n, Now() + kAnnounceInterval, [this, n] { ExchangeRows(n); });
}

Ms Fleet::Delay(int from, int to) {
  const Node& a = nodes_[index(from)];
  const Node& b = nodes_[index(to)];
  const bool slow = a.slow_until > Now() || b.slow_until > Now();
  return Ms{1 + static_cast<int64_t>(Uniform() * (slow ? 150 : 2))};
}

Task<void> Fleet::Answer(int n, std::shared_ptr<Process> process,
                         HttpRequest call, Action respond,
                         ExchangePtr exchange) {
  const HttpResponse response = co_await process->limits->AnswerPeer(call);
  if (nodes_[index(n)].process != process) co_return;
  exchange->response = response;
  respond();
}

Task<HttpResponse> Fleet::Transport(int from, Address peer, HttpRequest call,
                                    Ms timeout) {
  const int to = IndexOf(peer);
  const auto exchange = std::make_shared<Exchange>(loop_);
  const auto end = [exchange] { exchange->done.cancel(); };
  // The response is read from here, so that a late one is not.
  const auto received = std::make_shared<HttpResponse>();
  OnNode(from, Now() + timeout, end);
  const Node& target = nodes_[index(to)];
  const Ms there = Delay(from, to);
  const Ms back = Delay(from, to);
  const bool connected = !IsCut(from) && !IsCut(to);
  if (connected && !target.is_up && target.refuses) {
    OnNode(from, Now() + there + back, end);
  }
  if (connected && target.is_up) {
    OnNode(to, Now() + there, [=, this] {
      const auto respond = [=, this] {
        OnNode(from, Now() + back, [exchange, received, end] {
          *received = exchange->response;
          end();
        });
      };
      Spawn(loop_,
            Answer(to, nodes_[index(to)].process, call, respond, exchange));
    });
  }
  gateway::NetErrorCode ec;
  co_await exchange->done.async_wait(
      gateway::asio::redirect_error(gateway::asio::use_awaitable, ec));
  co_return *received;
}

void Fleet::Send(int n, Ms send_by) {
  if (Now() > send_by) return;
  Node& node = nodes_[index(n)];
  const bool told =
      node.told_at.has_value() && Now() - *node.told_at >= kToldBefore;
  const bool judged = told && node.excused_until <= Now();
  arrivals_.push_back({Now(), judged || scenario_.is_cold});
  const Ms sent_at = Now();
  OnNode(n, Now() + kServiceTime, [this, n, sent_at] {
    Node& to = nodes_[index(n)];
    const Ms passed = sent_at - begun_;
    std::optional<double> stated;
    const bool states_limit =
        !scenario_.is_cold && passed >= kLimitBegins && passed < kLimitEnds;
    if (states_limit) {
      stated = scenario_.limit_per_s;
      if (!to.told_at.has_value()) to.told_at = Now();
    }
    to.process->limits->RecordResponse(to.process->upstream,
                                       {stated, sent_at, Now()});
  });
}

Task<void> Fleet::Ask(int n, std::shared_ptr<Process> process) {
  const Ms asked_at = Now();
  const SendGrant grant =
      co_await process->limits->Ask(process->upstream, Ms{0});
  if (nodes_[index(n)].process != process || !grant.granted) co_return;
  const Ms send_by = SendBy(asked_at, grant);
  OnNode(n, Now() + grant.wait, [this, n, send_by] { Send(n, send_by); });
}

void Fleet::Arrive() {
  const double per_s = scenario_.demand * scenario_.limit_per_s;
  After(Exponential(per_s), [this] { Arrive(); });
  const double u = Uniform();
  const double place = scenario_.is_demand_even ? u : u * u;
  const auto n = static_cast<int>(place * static_cast<double>(nodes_.size()));
  OnNode(n, Now(), [this, n] {
    const std::shared_ptr<Process> process = nodes_[index(n)].process;
    if (process->upstream->closed_until > Now()) return;
    if (NeedsGrant(*process->upstream, Now())) {
      Spawn(loop_, Ask(n, process));
    } else {
      Send(n, Now());
    }
  });
}

void Fleet::Kill(int n, Ms down_for, bool refuses) {
  Node& node = nodes_[index(n)];
  node.is_up = false;
  node.refuses = refuses;
  node.excused_until = Now() + down_for + kLimitWindow;
  After(down_for, [this, n] { Start(n); });
}

void Fleet::Stop(int n, Ms down_for) {
  Node& node = nodes_[index(n)];
  node.process->limits->StopGranting();
  const int run = node.run;
  // Serves on until its last connections are closed.
  After(Seconds(4), [this, n, run, down_for] {
    if (nodes_[index(n)].run == run) Kill(n, down_for, true);
  });
}

std::vector<int> Fleet::Victims() {
  const auto count = static_cast<size_t>(
      std::max(1.0, scenario_.share * static_cast<double>(nodes_.size())));
  std::vector<int> victims;
  // Some node that is up knows the home, which is struck first.
  for (const Node& node : nodes_) {
    if (!node.is_up) continue;
    victims.push_back(
        IndexOf(node.process->peers->HomeOf(scenario_.upstream).address));
    break;
  }
  while (victims.size() < count) {
    const auto n =
        static_cast<int>(Uniform() * static_cast<double>(nodes_.size()));
    if (std::find(victims.begin(), victims.end(), n) == victims.end()) {
      victims.push_back(n);
    }
  }
  std::erase_if(victims, [this](int n) { return !nodes_[index(n)].is_up; });
  return victims;
}

void Fleet::Strike() {
  Ms next;
  for (const int n : Victims()) {
    Node& node = nodes_[index(n)];
    switch (scenario_.fault) {
      case FleetFault::kStoreAwayAndKill:
        StartOutage(Seconds(10));
        After(Ms{static_cast<int64_t>(Uniform() * 3000)},
              [this, n] { Kill(n, Seconds(1), true); });
        break;
      case FleetFault::kKill:
        Kill(n, Seconds(1), true);
        break;
      case FleetFault::kPowerLoss:
        Kill(n, Seconds(3), false);
        break;
      case FleetFault::kRollingStop:
        After(next, [this, n] { Stop(n, Seconds(1)); });
        next += Ms{1500};
        break;
      case FleetFault::kFreeze:
        node.frozen_until = Now() + Seconds(4);
        node.excused_until = node.frozen_until + kLimitWindow;
        break;
      case FleetFault::kCut:
        node.cut_until = Now() + Seconds(5);
        node.excused_until = node.cut_until + kLimitWindow;
        break;
      case FleetFault::kSlow:
        node.slow_until = Now() + Seconds(5);
        break;
      case FleetFault::kNone:
      case FleetFault::kGrow:
      case FleetFault::kGrowAndStoreAway:
        break;
    }
  }
}

void Fleet::ScheduleFaults() {
  if (scenario_.fault == FleetFault::kNone) return;
  const bool store_fails = scenario_.fault == FleetFault::kGrowAndStoreAway;
  if (scenario_.fault == FleetFault::kGrow || store_fails) {
    At(begun_ + Seconds(15), [this, store_fails] {
      if (store_fails) {
        const Ms away_at = Now() + scenario_.store_away_after;
        At(away_at, [this] { StartOutage(Seconds(15)); });
      }
      const auto first = static_cast<int>(nodes_.size());
      const int added = scenario_.added > 0 ? scenario_.added : first / 2;
      nodes_.resize(index(first + added));
      for (auto n = first; n < first + added; ++n) Start(n);
    });
    return;
  }
  for (Ms at = begun_ + Seconds(6); at < begun_ + kLimitEnds - Seconds(6);
       at += scenario_.fault_interval) {
    At(at, [this] { Strike(); });
  }
}

FleetOutcome Fleet::Run() {
  begun_ = Now();
  nodes_.resize(static_cast<size_t>(scenario_.gateways));
  for (int n = 0; n < scenario_.gateways; ++n) rows_[n] = {Now(), {}};
  for (int n = 0; n < scenario_.gateways; ++n) Start(n);
  for (Node& node : nodes_) ReadRows(node);
  After(Ms{1}, [this] { Arrive(); });
  ScheduleFaults();
  while (!events_.empty() && events_.top().at < begun_ + kRunEnds) {
    const Timed event = events_.top();
    events_.pop();
    clock_.Advance(event.at - Now());
    event.action();
    loop_.restart();
    loop_.poll();
  }
  return Judge();
}

FleetOutcome Fleet::Judge() const {
  FleetOutcome outcome;
  const Ms from = begun_ + kLimitBegins + kJudgedAfter;
  const Ms until = begun_ + kLimitEnds;
  std::vector<Ms> judged;
  int used = 0;
  for (const Arrival& arrival : arrivals_) {
    if (arrival.at < from || arrival.at >= until) continue;
    ++used;
    if (arrival.judged) judged.push_back(arrival.at);
  }
  const Ms window = scenario_.is_cold ? kColdWindow : kLimitWindow;
  size_t first = 0;
  for (size_t i = 0; i < judged.size(); ++i) {
    while (judged[i] - judged[first] >= window) ++first;
    outcome.most_in_window =
        std::max(outcome.most_in_window, static_cast<int>(i - first) + 1);
  }
  outcome.used = used / (until - from).Seconds() / scenario_.limit_per_s;
  for (const Node& node : nodes_) {
    if (IsLimited(*node.process->upstream)) ++outcome.still_limited;
  }
  return outcome;
}

}  // namespace

FleetOutcome RunFleet(const FleetScenario& scenario) {
  Fleet fleet(scenario);
  return fleet.Run();
}

}  // namespace knapweed::testing

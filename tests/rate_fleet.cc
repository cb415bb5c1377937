#include "tests/rate_fleet.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "tests/sim_store.h"
#include "tests/window_judge.h"

namespace knapweed::gateway {
namespace {

constexpr Ms kAnnounceInterval{600};
/// Time before the calls begin, in which the gateways divide the slots.
constexpr Ms kWarmUp = Seconds(14);
constexpr uint16_t kFirstPort = 1000;

using Action = std::function<void()>;

struct SimGateway {
  Address address;
  /// Counts processes, so that events of an ended one are dropped.
  uint32_t incarnation = 0;
  Ms started_at;
  bool is_running = false;
  Ms paused_until;
  Ms cut_until;
  std::unique_ptr<RateSlots> slots;
  std::unique_ptr<PermitBook> book;
  std::unique_ptr<PermitOwners> owners;
  std::unique_ptr<Quotas> quotas;
  UseByWorkspace published;
  Workspace workspace;
  size_t config_version = 0;
  uint64_t row_version = 0;
};

class Simulation {
 public:
  Simulation(const FleetPlan& plan, uint32_t seed)
      : plan_(plan), random_(seed) {
    workspace_.name = "ws" + std::to_string(seed % 3);
    workspace_.rate_per_s = plan.rate_per_s;
    workspace_.burst = plan.burst;
    judge_.SetLimit(Ms{0}, PermitsOf(workspace_, tolerance_));
    for (size_t i = 0; i < plan.gateways; ++i) Add();
  }

  FleetOutcome Run() {
    const Ms end = clock_.Now() + kWarmUp + plan_.duration;
    const Ms begin = clock_.Now() + kWarmUp;
    while (clock_.Now() < end) {
      RunDue();
      if (clock_.Now() >= begin) {
        InjectFaults(clock_.Now() - begin);
        Arrive(clock_.Now() - begin);
      }
      clock_.Advance(Ms{1});
    }
    judge_.Judge(&outcome_);
    return outcome_;
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Ms Between(int64_t from, int64_t to) {
    return Ms{std::uniform_int_distribution<int64_t>(from, to)(random_)};
  }
  void At(Ms when, Action action) {
    due_.emplace(when.count, std::move(action));
  }
  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= clock_.Now().count) {
      const Action action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
  }
  /// Runs an action in a gateway's process `delay` from now: later if the
  /// process is paused then, never if it has ended.
  void InProcess(size_t gateway, Ms delay, Action action) {
    const uint32_t incarnation = gateways_[gateway].incarnation;
    At(clock_.Now() + delay, [=, this, action = std::move(action)] {
      SimGateway& it = gateways_[gateway];
      if (!it.is_running || it.incarnation != incarnation) return;
      if (it.paused_until > clock_.Now()) {
        InProcess(gateway, it.paused_until - clock_.Now(), action);
        return;
      }
      action();
    });
  }

  bool IsCut(size_t gateway) const {
    return gateways_[gateway].cut_until > clock_.Now();
  }
  bool ReachesStore(size_t gateway) const {
    return store_.is_up && !IsCut(gateway);
  }
  Ms MessageDelay() {
    if (plan_.faults.messages && Uniform() < 0.05) return Between(60, 500);
    return Between(1, 3);
  }
  Ms StoreDelay() {
    if (plan_.faults.store && Uniform() < 0.05) return Between(100, 4000);
    return Between(2, 8);
  }

  void Add() {
    SimGateway gateway;
    gateway.address = {"127.0.0.1",
                       static_cast<uint16_t>(kFirstPort + gateways_.size())};
    gateway.workspace = workspace_;
    gateways_.push_back(std::move(gateway));
    Start(gateways_.size() - 1);
  }

  static size_t IndexOf(const Address& address) {
    return static_cast<size_t>(address.port - kFirstPort);
  }
  static std::string KeyOf(const SimGateway& it) {
    return it.address.ToString();
  }

  void Start(size_t gateway) {
    SimGateway& it = gateways_[gateway];
    ++it.incarnation;
    it.is_running = true;
    it.started_at = clock_.Now();
    it.paused_until = Ms{0};
    it.slots = std::make_unique<RateSlots>(clock_, it.address, KeyOf(it),
                                           PermitSpan(tolerance_));
    it.book = std::make_unique<PermitBook>(clock_, *it.slots, tolerance_,
                                           static_cast<uint64_t>(random_()));
    it.owners = std::make_unique<PermitOwners>(clock_, *it.slots, it.address);
    it.quotas =
        std::make_unique<Quotas>(clock_, tolerance_, RateBound::kPermits);
    it.row_version = 0;
    InProcess(gateway, Between(0, 300), [=, this] { ReadOwnRow(gateway); });
  }

  void ReadOwnRow(size_t gateway) {
    SimGateway& it = gateways_[gateway];
    if (!ReachesStore(gateway)) {
      InProcess(gateway, Ms{100}, [=, this] { ReadOwnRow(gateway); });
      return;
    }
    const auto row = store_.rows.find(KeyOf(it));
    if (row != store_.rows.end()) {
      const SimStore::Stored& told = *row->second;
      it.row_version = told.version;
      const Ms clock_error =
          Between(-kMaxClockError.count, kMaxClockError.count);
      const bool is_fresh =
          it.started_at - told.own_at - clock_error <= kMaxAnnouncedAge;
      if (told.granted.has_value() && (told.stopped || is_fresh)) {
        it.book->Restore({*told.granted, told.stopped,
                          told.own_at + clock_error, it.started_at});
        it.slots->SkipRestAtStart();
      }
    }
    Announce(gateway);
  }

  /// Sends a commit; `then` gets its outcome and version.
  void SendCommit(size_t gateway, const Commit& commit,
                  const SimStore::Stored& extra,
                  const std::function<void(StoreOutcome, uint64_t)>& then) {
    if (!ReachesStore(gateway)) {
      InProcess(gateway, Between(5, 300),
                [then] { then(StoreOutcome::kNotDone, 0); });
      return;
    }
    const Ms there = StoreDelay();
    const Ms back = StoreDelay();
    constexpr Ms kTimeout{1200};
    const bool answer_lost = plan_.faults.store && Uniform() < 0.03;
    const bool in_time = there + back <= kTimeout && !answer_lost;
    const uint32_t incarnation = gateways_[gateway].incarnation;
    At(clock_.Now() + there, [=, this] {
      const bool done = store_.Apply(commit, extra);
      const uint64_t version = store_.version();
      if (!in_time || gateways_[gateway].incarnation != incarnation) return;
      InProcess(gateway, back, [=] {
        then(done ? StoreOutcome::kDone : StoreOutcome::kConflict, version);
      });
    });
    if (in_time) return;
    InProcess(gateway, kTimeout, [then] { then(StoreOutcome::kUnknown, 0); });
  }

  Commit OwnRow(const SimGateway& it) const {
    const RowKey key{"gateways", "", KeyOf(it)};
    return {{{key, it.row_version}}, {{key, "announcement"}}, {}};
  }

  void Announce(size_t gateway) {
    SimGateway& it = gateways_[gateway];
    const Ms started_at = clock_.Now();
    SimStore::Stored extra;
    // Clocks of gateways differ from the store's by up to some seconds.
    extra.address = it.address;
    extra.at = started_at + Ms{static_cast<int64_t>(gateway % 5) * 1000 - 2000};
    extra.own_at = started_at;
    extra.granted = it.book->Granted();
    it.book->OnAnnouncing(started_at);
    it.published = it.quotas->OwnUse();
    SendCommit(gateway, OwnRow(it), extra,
               [=, this](StoreOutcome outcome, uint64_t version) {
                 SimGateway& me = gateways_[gateway];
                 me.book->OnAnnounceEnded(outcome);
                 if (outcome == StoreOutcome::kDone) {
                   me.row_version = version;
                   me.slots->OnAnnounced(started_at, version);
                 }
                 if (outcome == StoreOutcome::kConflict) {
                   me.row_version = store_.rows[KeyOf(me)]->version;
                 }
                 ReadRows(gateway);
               });
  }

  void ReadRows(size_t gateway) {
    if (!ReachesStore(gateway)) {
      AnnounceAgain(gateway, Ms{300});
      return;
    }
    const Ms back = StoreDelay();
    At(clock_.Now() + Between(1, 4), [=, this] {
      const auto rows = std::make_shared<const SimStore::Rows>(store_.rows);
      InProcess(gateway, back, [=, this] { UpdateSlots(gateway, *rows); });
    });
  }

  void AnnounceAgain(size_t gateway, Ms delay) {
    InProcess(gateway, delay, [=, this] { Announce(gateway); });
  }

  void UpdateSlots(size_t gateway, const SimStore::Rows& rows) {
    SimGateway& it = gateways_[gateway];
    const std::string own_key = KeyOf(it);
    std::vector<ListedGateway> others;
    std::optional<Row> slots_row;
    std::vector<UseByWorkspace> uses;
    for (const auto& [key, stored] : rows) {
      if (key == kSlotsKey) {
        const RowKey row_key{"gateways", "", key};
        slots_row = Row{row_key, stored->value, stored->version, false};
        continue;
      }
      if (key == own_key) continue;
      ListedGateway other;
      other.address = stored->address;
      other.silence = clock_.Now() - stored->at;
      other.stopped = stored->stopped;
      other.name = key;
      other.version = stored->version;
      if (plan_.with_counts) {
        uses.push_back(gateways_[IndexOf(other.address)].published);
      }
      others.push_back(other);
    }
    if (plan_.with_counts) it.quotas->SetOthers(uses);
    it.slots->OnRead(slots_row.has_value() ? &*slots_row : nullptr);
    const std::optional<Commit> change = it.slots->NextChange(others);
    if (!change.has_value()) {
      AnnounceAgain(gateway, kAnnounceInterval);
      return;
    }
    SendCommit(gateway, *change, {},
               [=, this](StoreOutcome outcome, uint64_t version) {
                 StoreAnswer answer;
                 answer.outcome = outcome;
                 answer.version = version;
                 gateways_[gateway].slots->OnCommitted(answer);
                 AnnounceAgain(gateway, kAnnounceInterval);
               });
  }

  double DemandAt(Ms passed) const {
    const double most = plan_.demand * plan_.rate_per_s;
    switch (plan_.pattern) {
      case CallPattern::kRising:
        return most * passed.Seconds() / plan_.duration.Seconds();
      case CallPattern::kPulses:
        return passed.count / 2000 % 2 == 0 ? most : 0;
      case CallPattern::kConstant:
      case CallPattern::kMoving:
        break;
    }
    return most;
  }

  size_t Choose(Ms passed) {
    const size_t n = plan_.gateways;
    if (plan_.pattern != CallPattern::kMoving) {
      return random_() % gateways_.size();
    }
    const size_t quarter = std::max<size_t>(1, n / 4);
    const auto from = static_cast<size_t>(passed.count / 1500) * quarter;
    return (from + random_() % quarter) % n;
  }

  void Arrive(Ms passed) {
    std::poisson_distribution<int> arrivals(DemandAt(passed) * 0.001);
    const int n = arrivals(random_);
    for (int i = 0; i < n; ++i) {
      const size_t gateway = Choose(passed);
      if (!gateways_[gateway].is_running) continue;
      ++outcome_.calls;
      InProcess(gateway, Ms{0}, [=, this] { Begin(gateway); });
    }
  }

  void Begin(size_t gateway) {
    SimGateway& it = gateways_[gateway];
    if (plan_.with_counts && !it.quotas->Take(it.workspace).allowed) {
      ++outcome_.refused;
      return;
    }
    const std::vector<Address> owners = it.owners->ToAsk(
        it.workspace.name, PermitsOf(it.workspace, tolerance_));
    AskNext(gateway, owners, 0);
  }

  void AskNext(size_t gateway, const std::vector<Address>& owners,
               size_t index) {
    SimGateway& it = gateways_[gateway];
    if (index >= owners.size()) {
      if (plan_.with_counts) it.quotas->Return(it.workspace.name);
      ++outcome_.refused;
      return;
    }
    const Address& owner = owners[index];
    if (owner == it.address) {
      const PermitGrant grant = it.book->Grant(it.workspace);
      OnAnswer(gateway, owners, index, clock_.Now(), grant);
      return;
    }
    ++outcome_.asked;
    const size_t peer = IndexOf(owner);
    const Ms asked_at = clock_.Now();
    const uint64_t question = ++questions_;
    open_[question] = true;
    InProcess(gateway, kPermitTimeout, [=, this] {
      if (open_.erase(question) == 0) return;
      gateways_[gateway].owners->RecordSilence(owner);
      AskNext(gateway, owners, index + 1);
    });
    const bool lost = IsCut(gateway) || IsCut(peer) ||
                      (plan_.faults.messages && Uniform() < 0.02);
    if (lost) return;
    InProcess(peer, MessageDelay(), [=, this] {
      SimGateway& holder = gateways_[peer];
      const PermitGrant grant = holder.book->Grant(holder.workspace);
      InProcess(gateway, MessageDelay(), [=, this] {
        if (open_.erase(question) == 0) return;
        OnAnswer(gateway, owners, index, asked_at, grant);
      });
    });
  }

  void OnAnswer(size_t gateway, const std::vector<Address>& owners,
                size_t index, Ms asked_at, PermitGrant grant) {
    SimGateway& it = gateways_[gateway];
    if (clock_.Now() - asked_at > kPermitTimeout) grant.granted = false;
    it.owners->Record(it.workspace.name, owners[index], grant);
    if (!grant.granted) {
      AskNext(gateway, owners, index + 1);
      return;
    }
    // Sometimes the call ends before it is sent.
    if (Uniform() < 0.02) {
      Return(IndexOf(owners[index]), grant.id);
      return;
    }
    judge_.AddCall(clock_.Now());
  }

  /// Returns a permit to its owner, which may be another process by then.
  void Return(size_t owner, uint64_t id) {
    const bool is_late = plan_.faults.messages && Uniform() < 0.5;
    const Ms delay = is_late ? Between(100, 8000) : MessageDelay();
    At(clock_.Now() + delay, [=, this] {
      SimGateway& it = gateways_[owner];
      const bool reads = it.is_running && it.paused_until <= clock_.Now();
      if (reads) it.book->Return(it.workspace.name, id);
    });
  }

  /// Each kind of fault comes about every `kMeanGap`.
  bool Happens() {
    constexpr double kMeanGapMs = 9000;
    return Uniform() < 1 / kMeanGapMs;
  }

  void KillThird() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (random_() % 3 == 0) Kill(i, Between(200, 3000));
    }
  }

  void InjectFaults(Ms passed) {
    const int64_t interval = plan_.kill_interval.count;
    if (interval > 0 && passed.count % interval == interval - 1) KillThird();
    const FleetFaults& faults = plan_.faults;
    const size_t any = random_() % gateways_.size();
    if (faults.restarts && Happens()) Restart(any);
    if (faults.restarts && Happens()) KillThird();
    if (faults.pauses && Happens()) {
      const Ms longest = Uniform() < 0.3 ? Seconds(90) : Ms{3000};
      gateways_[any].paused_until = clock_.Now() + Between(50, longest.count);
    }
    if (faults.cuts && Happens()) {
      const Ms longest = Uniform() < 0.3 ? Seconds(90) : Seconds(8);
      gateways_[any].cut_until = clock_.Now() + Between(500, longest.count);
    }
    if (faults.store && store_.is_up && Uniform() < 1.0 / 30000) {
      store_.is_up = false;
      At(clock_.Now() + Between(500, 20000), [this] { store_.is_up = true; });
    }
    const bool adds = faults.additions &&
                      gateways_.size() < plan_.gateways * 2 &&
                      Uniform() < 1.0 / 20000;
    if (adds) Add();
    if (faults.limits && Happens()) ChangeLimit();
  }

  void Kill(size_t gateway, Ms restart_after) {
    SimGateway& it = gateways_[gateway];
    if (!it.is_running) return;
    it.is_running = false;
    ++it.incarnation;
    // Some never return.
    if (plan_.faults.additions && Uniform() < 0.1) return;
    At(clock_.Now() + restart_after, [=, this] { Start(gateway); });
  }

  /// A process that stops tells what it has granted, unless it is killed.
  void Restart(size_t gateway) {
    SimGateway& it = gateways_[gateway];
    if (!it.is_running || it.paused_until > clock_.Now()) return;
    if (Uniform() < 0.4 || !ReachesStore(gateway)) {
      Kill(gateway, Between(200, 3000));
      return;
    }
    it.slots->Stop();
    SimStore::Stored extra;
    extra.address = it.address;
    extra.at = clock_.Now();
    extra.own_at = clock_.Now();
    extra.stopped = true;
    extra.granted = it.book->Granted();
    SendCommit(gateway, OwnRow(it), extra, [=, this](StoreOutcome, uint64_t) {
      Kill(gateway, Between(200, 3000));
    });
  }

  void ChangeLimit() {
    workspace_.rate_per_s = plan_.rate_per_s * (0.3 + 2 * Uniform());
    workspace_.burst = plan_.burst * (0.3 + 2 * Uniform());
    judge_.SetLimit(clock_.Now(), PermitsOf(workspace_, tolerance_));
    const size_t version = ++config_version_;
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const Workspace next = workspace_;
      At(clock_.Now() + Between(20, WindowJudge::kMaxApplyTime.count),
         [=, this] {
           SimGateway& it = gateways_[i];
           if (version < it.config_version) return;
           it.config_version = version;
           it.workspace = next;
         });
    }
  }

  FleetPlan plan_;
  std::mt19937_64 random_;
  Clock clock_ = Clock::Manual(Seconds(1000));
  QuotaTolerance tolerance_;
  Workspace workspace_;
  SimStore store_;
  std::vector<SimGateway> gateways_;
  std::multimap<int64_t, Action> due_;
  size_t config_version_ = 0;
  std::map<uint64_t, bool> open_;
  uint64_t questions_ = 0;
  WindowJudge judge_;
  FleetOutcome outcome_;
};

}  // namespace

FleetOutcome RunFleet(const FleetPlan& plan, uint32_t seed) {
  return Simulation(plan, seed).Run();
}

}  // namespace knapweed::gateway

#ifndef KNAPWEED_TESTS_FLEET_WALK_H_
#define KNAPWEED_TESTS_FLEET_WALK_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "knapweed/limits/bucket_owner.h"
#include "knapweed/limits/grant_book.h"

namespace knapweed {

/// A randomized simulation of several clients and a changing owner of one
/// bucket, in steps of 1 ms, with random message delays and faults. All
/// decisions are made by the library; the simulation only advances time and
/// delivers messages.
class FleetWalk {
 public:
  struct Plan {
    RateLimit limit = {};
    int clients = 3;
    /// Calls per second over all clients together.
    double offered_per_s = 0;
    Ms length = Seconds(60);
    /// If not zero, calls arrive only in every second interval of this length.
    Ms burst_period = Ms{0};
    Ms max_wait = Seconds(2);
    /// Probability per second of each fault.
    double crash = 0;
    double hand_over = 0;
    double pause = 0;
    double lost_message = 0;
    /// Whether some messages, and some clients, are up to 1.5 s late.
    bool delays = false;
  };

  FleetWalk(const Plan& plan, uint64_t seed) : plan_(plan), random_(seed) {
    books_.resize(plan.clients);
    NewOwner(Ms{0});
  }

  void Run() {
    Ms next_call = NextArrival(Ms{0});
    for (now_ = Ms{0}; now_ < plan_.length; now_ += Ms{1}) {
      RunScheduled();
      for (; next_call <= now_; next_call = NextArrival(next_call))
        Arrive(Draw(0, plan_.clients - 1));
      Step();
    }
  }

  uint64_t admitted() const { return admitted_.size(); }
  uint64_t refused() const { return refused_; }
  /// Calls that a single central bucket would refuse, given the same calls and
  /// maximum wait.
  uint64_t ideal_refused() const { return ideal_refused_; }
  uint64_t messages() const { return messages_; }
  uint64_t owners() const { return epoch_; }

  /// Returns by how many calls the worst time window exceeds rate x span +
  /// burst; negative or zero when the limit is kept.
  double WorstExcess() const {
    double level = 0;
    double worst = -plan_.limit.burst;
    Ms last;
    for (Ms at : admitted_) {
      const double left = (at - last).Seconds() * plan_.limit.rate_per_s;
      level = std::max(0.0, level - left) + 1;
      worst = std::max(worst, level - plan_.limit.burst);
      last = at;
    }
    return worst;
  }

 private:
  static constexpr Ms kLease = Seconds(3);
  static constexpr Ms kRenewEvery = Seconds(1);

  struct Owner {
    BucketLease lease;
    std::unique_ptr<BucketOwner> buckets;
    bool crashed = false;
    Ms paused_until;
  };

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  /// Returns true with the probability of an event at this rate within one step
  /// of 1 ms.
  bool Chance(double per_s) {
    return std::uniform_real_distribution<>(0, 1)(random_) < per_s / 1000;
  }
  Ms NextArrival(Ms after) {
    if (plan_.offered_per_s <= 0) return plan_.length;
    std::exponential_distribution<> gap(plan_.offered_per_s);
    arrival_s_ = std::max(arrival_s_, after.Seconds()) + gap(random_);
    return Ms{static_cast<int64_t>(arrival_s_ * 1000)};
  }
  void Schedule(Ms when, std::function<void()> action) {
    scheduled_.emplace(std::max(when, now_).count, std::move(action));
  }
  void RunScheduled() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_.count) {
      const auto action = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      action();
    }
  }
  /// Sends a message, which may be delayed or lost.
  void Send(std::function<void()> action) {
    ++messages_;
    const Ms delay =
        plan_.delays && Chance(50) ? Ms{Draw(100, 1500)} : Ms{Draw(1, 6)};
    if (Chance(plan_.lost_message)) return;
    Schedule(now_ + delay, std::move(action));
  }

  void NewOwner(Ms since) {
    auto owner = std::make_shared<Owner>();
    owner->lease = BucketLease{since, since + kLease, ++epoch_};
    Owner* raw = owner.get();
    owner->buckets = std::make_unique<BucketOwner>(BucketOwnerSources{
        [raw](const WorkspaceId&) { return std::optional(raw->lease); },
        [this](const WorkspaceId&) { return std::optional(plan_.limit); }});
    owner_ = std::move(owner);
    renew_at_ = since + kRenewEvery;
  }

  /// Injects owner faults and renews the lease. When the lease has ended,
  /// another owner takes over.
  void Step() {
    if (now_ >= owner_->lease.until) NewOwner(now_);
    const bool up = !owner_->crashed && now_ >= owner_->paused_until;
    if (up && now_ >= renew_at_) {
      owner_->lease.until = now_ + kLease;
      renew_at_ = now_ + kRenewEvery;
    }
    if (Chance(plan_.crash)) owner_->crashed = true;
    if (Chance(plan_.pause)) owner_->paused_until = now_ + Seconds(5);
    if (up && Chance(plan_.hand_over)) HandOver();
  }

  /// Simulates a planned shutdown: closes the bucket, waits until all waiting
  /// callers have started, releases the lease and sends the state to the next
  /// owner, which may have started already.
  void HandOver() {
    const auto handover = owner_->buckets->HandOver(workspace_, now_);
    if (!handover) return;
    const std::shared_ptr<Owner> old = owner_;
    Schedule(now_ + handover->ready_in, [this, old, handover = *handover] {
      if (owner_ != old) return;
      old->lease.until = now_;
      NewOwner(now_);
      const std::shared_ptr<Owner> next = owner_;
      Send([this, next, handover] { next->buckets->Accept(handover, now_); });
    });
  }

  /// Runs `action` at the owner, after its pause if it is paused; never at a
  /// crashed owner.
  void RunAtOwner(const std::shared_ptr<Owner>& owner,
                  const std::function<void()>& action) {
    if (owner->crashed) return;
    if (now_ >= owner->paused_until) return action();
    Schedule(owner->paused_until,
             [this, owner, action] { RunAtOwner(owner, action); });
  }

  void CountIdealRefusals() {
    FillBucket(ideal_, now_);
    if (TimeUntil(ideal_, 1) > plan_.max_wait) {
      ++ideal_refused_;
    } else {
      ideal_.tokens -= 1;
    }
  }

  void Arrive(int client) {
    if (plan_.burst_period > Ms{0} &&
        now_.count / plan_.burst_period.count % 2 == 0)
      return;
    CountIdealRefusals();
    const Ms deadline = now_ + plan_.max_wait;
    if (books_[client].UseHeldToken(workspace_, now_)) return Admit();
    SendRequest(client, deadline);
  }

  void SendRequest(int client, Ms deadline) {
    const BucketRequest request{
        workspace_, books_[client].StartRequest(workspace_), deadline - now_};
    const Ms requested_at = now_;
    const auto completed = std::make_shared<bool>(false);
    const std::shared_ptr<Owner> owner = owner_;
    Send([=, this] {
      RunAtOwner(owner, [=, this] {
        const auto response = owner->buckets->Take(request, now_);
        if (!response.ok()) return;
        Send([=, this] {
          if (std::exchange(*completed, true)) return;
          OnResponse(client, *response, requested_at, deadline);
        });
      });
    });
    Schedule(now_ + Ms{500}, [=, this] {
      if (std::exchange(*completed, true)) return;
      books_[client].OnRequestFailure(workspace_);
      Retry(client, deadline);
    });
  }

  void Retry(int client, Ms deadline) {
    if (now_ >= deadline) {
      ++refused_;
    } else {
      SendRequest(client, deadline);
    }
  }

  void OnResponse(int client, const BucketResponse& response, Ms requested_at,
                  Ms deadline) {
    const GrantedStart start =
        books_[client].OnResponse(workspace_, response, requested_at, now_);
    if (response.granted == 0) {
      ++refused_;
      return;
    }
    // The client may be late itself.
    const Ms late = plan_.delays && Chance(20) ? Ms{Draw(0, 1000)} : Ms{0};
    Schedule(start.start_at + late, [=, this] {
      if (now_ <= start.expires_at) return Admit();
      Retry(client, deadline);
    });
  }

  void Admit() { admitted_.push_back(now_); }

  const Plan plan_;
  const WorkspaceId workspace_{"w"};
  std::mt19937_64 random_;
  Ms now_;
  double arrival_s_ = 0;
  std::multimap<int64_t, std::function<void()>> scheduled_;
  std::vector<GrantBook> books_;
  std::shared_ptr<Owner> owner_;
  uint64_t epoch_ = 0;
  Ms renew_at_;
  std::vector<Ms> admitted_;
  uint64_t refused_ = 0;
  RateBucket ideal_ = {plan_.limit.rate_per_s, plan_.limit.burst, 0, Ms{0}};
  uint64_t ideal_refused_ = 0;
  uint64_t messages_ = 0;
};

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_FLEET_WALK_H_

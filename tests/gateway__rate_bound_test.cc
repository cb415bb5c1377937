// The bound on the calls of a workspace in any window, under random schedules.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "knapweed/gateway/quotas.h"

namespace knapweed::gateway {
namespace {

constexpr Ms kStep{10};
constexpr Ms kExchangeInterval{600};
constexpr Ms kLoadFor = Seconds(40);

/// How the calls of a workspace come.
enum class Load : uint8_t { kConstant, kRising, kPulses, kMoving };

struct Row {
  const char* what;
  size_t gateways = 0;
  /// The most calls that the platform tolerates in a window.
  double tolerated = 0;
  Load load = Load::kConstant;
  /// A third of the gateways restart at this interval; zero for never.
  Ms restart_each;
};

/// Gateways that publish and read their counts at the usual interval.
class Fleet {
 public:
  Fleet(const Row& row, uint32_t seed) : row_(row), random_(seed) {
    workspace_.name = "ws";
    const double limit =
        (row.tolerated - tolerance_.slack_calls) / (1 + tolerance_.over_share);
    workspace_.rate_per_s = limit / (tolerance_.window.Seconds() + 1);
    workspace_.burst = workspace_.rate_per_s;
    gateways_.resize(row.gateways);
    published_.resize(row.gateways);
    for (size_t i = 0; i < row.gateways; ++i) Start(i);
  }

  /// Returns the most calls that were admitted in any window.
  size_t Run() {
    for (Ms passed; passed < kLoadFor; passed += kStep) {
      if (row_.restart_each > Ms{0} && passed > Ms{0} &&
          passed.count % row_.restart_each.count == 0) {
        RestartThird();
      }
      Exchange(passed);
      std::poisson_distribution<int> arrivals(DemandAt(passed) *
                                              kStep.Seconds());
      const int n = arrivals(random_);
      for (int i = 0; i < n; ++i) {
        const bool allowed =
            gateways_[Choose(passed)]->Take(workspace_).allowed;
        if (allowed) admitted_.push_back(clock_.Now());
      }
      clock_.Advance(kStep);
    }
    return MostInWindow();
  }

 private:
  double DemandAt(Ms passed) const {
    constexpr double kOverload = 6;
    const double most = kOverload * workspace_.rate_per_s;
    switch (row_.load) {
      case Load::kRising:
        return most * passed.Seconds() / kLoadFor.Seconds();
      case Load::kPulses:
        return passed.count / 2000 % 2 == 0 ? most : 0;
      case Load::kConstant:
      case Load::kMoving:
        break;
    }
    return most;
  }

  size_t Choose(Ms passed) {
    const size_t n = gateways_.size();
    if (row_.load != Load::kMoving) return random_() % n;
    const size_t quarter = std::max<size_t>(1, n / 4);
    const auto from = static_cast<size_t>(passed.count / 1500) * quarter;
    return (from + random_() % quarter) % n;
  }

  void Start(size_t gateway) {
    gateways_[gateway] = std::make_unique<Quotas>(clock_, tolerance_);
    gateways_[gateway]->RestoreUse(published_[gateway].use,
                                   clock_.Now() - published_[gateway].at);
    Read(gateway);
  }

  void RestartThird() {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      if (random_() % 3 == 0) Start(i);
    }
  }

  void Read(size_t gateway) {
    std::vector<UseByWorkspace> others;
    for (size_t i = 0; i < published_.size(); ++i) {
      if (i != gateway) others.push_back(published_[i].use);
    }
    gateways_[gateway]->SetOthers(others);
  }

  void Exchange(Ms passed) {
    for (size_t i = 0; i < gateways_.size(); ++i) {
      const Ms phase = kStep * static_cast<int64_t>(7 * i);
      if ((passed + phase).count % kExchangeInterval.count != 0) continue;
      published_[i] = {gateways_[i]->OwnUse(), clock_.Now()};
      Read(i);
    }
  }

  size_t MostInWindow() const {
    size_t most = 0;
    for (size_t from = 0, to = 0; from < admitted_.size(); ++from) {
      while (to < admitted_.size() &&
             admitted_[to] - admitted_[from] < tolerance_.window) {
        ++to;
      }
      most = std::max(most, to - from);
    }
    return most;
  }

  struct Published {
    UseByWorkspace use;
    Ms at;
  };

  Row row_;
  Clock clock_ = Clock::Manual(Seconds(100));
  std::mt19937_64 random_;
  QuotaTolerance tolerance_;
  Workspace workspace_;
  std::vector<std::unique_ptr<Quotas>> gateways_;
  std::vector<Published> published_;
  std::vector<Ms> admitted_;
};

// Guards against a workspace that gets more than its rate because each gateway
// estimates what the others admit.
TEST_CASE("gateways together never admit more than is tolerated") {
  constexpr uint32_t kSeeds = 30;
  const Row rows[] = {
      {"constant", 4, 130, Load::kConstant, Ms{0}},
      {"constant", 30, 130, Load::kConstant, Ms{0}},
      {"constant", 84, 130, Load::kConstant, Ms{0}},
      {"constant", 30, 60, Load::kConstant, Ms{0}},
      {"rising", 30, 60, Load::kRising, Ms{0}},
      {"rising", 84, 130, Load::kRising, Ms{0}},
      {"pulses", 30, 60, Load::kPulses, Ms{0}},
      {"pulses", 30, 130, Load::kPulses, Ms{0}},
      {"moving", 30, 60, Load::kMoving, Ms{0}},
      {"moving", 30, 130, Load::kMoving, Ms{0}},
      {"constant, restarts", 30, 130, Load::kConstant, Seconds(4)},
      {"constant, restarts", 30, 60, Load::kConstant, Seconds(4)},
  };
  for (const Row& row : rows) {
    size_t most = 0;
    int exceeded = 0;
    for (uint32_t seed = 1; seed <= kSeeds; ++seed) {
      const size_t n = Fleet(row, seed).Run();
      most = std::max(most, n);
      if (static_cast<double>(n) > row.tolerated) ++exceeded;
    }
    const std::string what = row.what;
    MESSAGE(what << ", " << row.gateways << " gateways: at most " << most
                 << " of " << row.tolerated << ", exceeded with " << exceeded
                 << " of " << kSeeds << " seeds");
    CHECK(static_cast<double>(most) <= row.tolerated);
  }
}

}  // namespace
}  // namespace knapweed::gateway

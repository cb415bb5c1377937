#ifndef KNAPWEED_GATEWAY_CALL_RUNNER_H_
#define KNAPWEED_GATEWAY_CALL_RUNNER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/budgets.h"
#include "knapweed/gateway/channel.h"
#include "knapweed/gateway/crash_watch.h"
#include "knapweed/gateway/quotas.h"
#include "knapweed/gateway/turns.h"

/// The path of one call: route, key, rate, budget and history are checked, then
/// it goes to one upstream after another as its kind allows.
namespace knapweed::gateway {

/// A caller's request, read whole.
struct CallerRequest {
  http::verb method = http::verb::get;
  std::string target;
  http::fields fields;
  std::string body;
  CallHead head;
  Ms received;
};

/// The way back to a caller. Writes return false once the caller is gone.
class CallerLink {
 public:
  virtual ~CallerLink() = default;
  virtual Task<bool> WriteResponse(unsigned status, const http::fields& fields,
                                   std::string_view body) = 0;
  virtual Task<bool> BeginStream(unsigned status,
                                 const http::fields& fields) = 0;
  virtual Task<bool> WriteChunk(std::string_view bytes) = 0;
  virtual Task<bool> EndStream() = 0;
  /// Ends a stream so that it does not look whole.
  virtual void AbortStream() = 0;
  /// Called once when the caller leaves before its answer is whole.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

/// What the process believes of the world, kept up to date by `FleetWatch`.
struct FleetView {
  ConfigPtr config;
  /// Last time that the store confirmed the configuration.
  Ms config_confirmed_at;
  UpstreamSet upstreams;
};

/// The parts that a call passes through.
struct CallRunnerDeps {
  asio::io_context& loop;
  const Clock& clock;
  const Dialect& dialect;
  FleetView& view;
  const Store& store;
  Quotas& quotas;
  Budgets& budgets;
  Turns& turns;
  ConnectionPool& pool;
  CrashWatch& crashes;
  Metrics& metrics;
  std::string failure_domain;
};

class CallRunner {
 public:
  explicit CallRunner(CallRunnerDeps deps);

  /// Answers one call. Returns when the answer is written or broken off.
  Task<void> Run(CallerRequest& request, CallerLink& link);
  uint32_t under_way() const { return under_way_; }

 private:
  struct State;
  using StatePtr = std::shared_ptr<State>;
  enum class Step : uint8_t { kNext, kDone };

  Task<void> RunChecked(StatePtr state);
  Task<Step> ResolveRoute(StatePtr state);
  Task<Step> ReserveBudget(StatePtr state);
  Task<Step> TakeRateToken(StatePtr state);
  Task<Step> PrependHistory(StatePtr state);
  Task<void> RunAttempts(StatePtr state);
  Task<Step> RunAttempt(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnResponse(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnUnaryResponse(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnStream(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnNotRun(StatePtr state, UpstreamPtr upstream);
  Task<Step> OnBroken(StatePtr state, UpstreamPtr upstream,
                      std::string_view what);
  Task<Step> FinishStream(StatePtr state);
  Task<void> Refuse(StatePtr state, unsigned status, Ms retry_after,
                    std::string_view reason);
  UpstreamPtr Choose(State& state);
  UpstreamRequest MakeRequest(const State& state, const Upstream& upstream);
  /// When a call that the store's absence refused should come back.
  Ms StoreRetryAfter() const;
  bool MayRunAgain(const State& state) const;
  static uint64_t DigestOf(const State& state);
  void StartDeadlineTimer(const StatePtr& state);
  void Report(const State& state);
  static void LogOverRate(const State& state, const QuotaVerdict& verdict);

  CallRunnerDeps deps_;
  std::mt19937_64 random_;
  uint32_t under_way_ = 0;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_CALL_RUNNER_H_

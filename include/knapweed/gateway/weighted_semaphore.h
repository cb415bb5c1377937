#ifndef KNAPWEED_GATEWAY_WEIGHTED_SEMAPHORE_H_
#define KNAPWEED_GATEWAY_WEIGHTED_SEMAPHORE_H_

#include <cstdint>
#include <list>
#include <memory>
#include <utility>

#include "knapweed/gateway/net.h"

/// Bounds the memory of steps that need several times the size of what they
/// work on, by letting only as many run at once as fit.
namespace knapweed::gateway {

/// Semaphore whose holders have different weights, such as bytes. Those that
/// wait are served in their order. Not thread-safe.
class WeightedSemaphore {
 private:
  struct State;

 public:
  /// A part of the capacity; its destructor gives it back. Empty if nothing was
  /// acquired.
  class Permit {
   public:
    Permit() = default;
    Permit(Permit&& other) noexcept
        : state_(std::move(other.state_)), weight_(other.weight_) {}
    Permit& operator=(Permit&& other) noexcept;
    Permit(const Permit&) = delete;
    Permit& operator=(const Permit&) = delete;
    ~Permit() { Release(); }

    explicit operator bool() const { return state_ != nullptr; }

   private:
    friend class WeightedSemaphore;
    Permit(std::shared_ptr<State> state, uint64_t weight)
        : state_(std::move(state)), weight_(weight) {}
    void Release();

    std::shared_ptr<State> state_;
    uint64_t weight_ = 0;
  };

  /// There is no bound if `capacity` is 0.
  WeightedSemaphore(asio::io_context& loop, uint64_t capacity);

  /// Waits for `weight`, at most `timeout`; the permit is empty after that. A
  /// weight above the capacity counts as the whole of it.
  Task<Permit> Acquire(uint64_t weight, Ms timeout);

  /// Returns the weight that is acquired now, and at most so far.
  uint64_t used() const { return state_->used; }
  uint64_t peak_used() const { return state_->peak_used; }

 private:
  struct Waiter {
    explicit Waiter(asio::io_context& loop) : timer(loop) {}
    asio::steady_timer timer;
    uint64_t weight = 0;
    bool admitted = false;
  };
  /// Shared, since holders that are cut off at the end of the process outlive
  /// the semaphore.
  struct State {
    uint64_t capacity = 0;
    uint64_t used = 0;
    uint64_t peak_used = 0;
    std::list<Waiter*> waiters;

    bool Fits(uint64_t weight) const { return weight <= capacity - used; }
    void Take(uint64_t weight);
    /// Admits those that wait, from the first on, as long as they fit.
    void AdmitWaiters();
  };

  asio::io_context& loop_;
  std::shared_ptr<State> state_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_WEIGHTED_SEMAPHORE_H_

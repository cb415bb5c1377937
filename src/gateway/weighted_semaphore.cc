#include "knapweed/gateway/weighted_semaphore.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <limits>

namespace knapweed::gateway {

void WeightedSemaphore::State::Take(uint64_t weight) {
  used += weight;
  peak_used = std::max(peak_used, used);
}

void WeightedSemaphore::State::AdmitWaiters() {
  while (!waiters.empty() && Fits(waiters.front()->weight)) {
    Waiter& first = *waiters.front();
    waiters.pop_front();
    Take(first.weight);
    first.admitted = true;
    first.timer.cancel();
  }
}

WeightedSemaphore::Permit& WeightedSemaphore::Permit::operator=(
    Permit&& other) noexcept {
  if (this == &other) return *this;
  Release();
  state_ = std::move(other.state_);
  weight_ = other.weight_;
  return *this;
}

void WeightedSemaphore::Permit::Release() {
  if (state_ == nullptr) return;
  state_->used -= weight_;
  state_->AdmitWaiters();
  state_.reset();
}

WeightedSemaphore::WeightedSemaphore(asio::io_context& loop, uint64_t capacity)
    : loop_(loop), state_(std::make_shared<State>()) {
  state_->capacity =
      capacity > 0 ? capacity : std::numeric_limits<uint64_t>::max();
}

Task<WeightedSemaphore::Permit> WeightedSemaphore::Acquire(uint64_t weight,
                                                           Ms timeout) {
  const std::shared_ptr<State> state = state_;
  weight = std::min(weight, state->capacity);
  if (state->waiters.empty() && state->Fits(weight)) {
    state->Take(weight);
    co_return Permit(state, weight);
  }
  Waiter waiter(loop_);
  waiter.weight = weight;
  waiter.timer.expires_after(ToChrono(timeout));
  const auto it = state->waiters.insert(state->waiters.end(), &waiter);
  absl::Cleanup leave = [&] {
    if (waiter.admitted) return;
    state->waiters.erase(it);
    // It may have been too heavy where those behind it are not.
    state->AdmitWaiters();
  };
  NetErrorCode ec;
  co_await waiter.timer.async_wait(
      asio::redirect_error(asio::use_awaitable, ec));
  if (!waiter.admitted) co_return Permit();
  co_return Permit(state, weight);
}

}  // namespace knapweed::gateway

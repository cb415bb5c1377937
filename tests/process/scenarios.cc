#include "tests/process/scenarios.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <thread>

#include "absl/strings/str_cat.h"

namespace knapweed {

void RunConcurrently(size_t n, const std::function<void(size_t)>& work) {
  std::vector<std::thread> threads;
  threads.reserve(n);
  for (size_t i = 0; i < n; ++i) threads.emplace_back(work, i);
  for (std::thread& it : threads) it.join();
}

void RunConcurrently(size_t n, const std::function<void(size_t)>& work,
                     const std::function<void()>& inject_faults) {
  std::thread others([&] { RunConcurrently(n, work); });
  inject_faults();
  others.join();
}

ProgramSet::ProgramSet(ScenarioContext& context, const std::string& name,
                       size_t n) {
  for (size_t i = 0; i < n; ++i) {
    programs_.push_back(std::make_unique<ProgramCaller>(
        context.fleet, absl::StrCat(name, "-", i), i % 4 == 3 ? "v" : "w"));
  }
}

Ms ProgramSet::SendAll(const std::string& text, Ms limit, size_t first_entry,
                       const std::function<void()>& inject_faults) {
  const Clock clock = Clock::Steady();
  std::vector<Ms> elapsed(size());
  // Not vector<bool>: its elements share bytes, and threads write them
  // concurrently.
  std::vector<int> answered(size());
  const auto send = [&](size_t i) {
    const Ms start = clock.Now();
    const bool done = programs_[i]->SendUntilAnswered(
        text, limit, first_entry + i, i % 2 == 1);
    answered[i] = done ? 1 : 0;
    elapsed[i] = clock.Now() - start;
  };
  RunConcurrently(size(), send, inject_faults);
  for (size_t i = 0; i < size(); ++i) {
    CAPTURE(programs_[i]->program());
    CAPTURE(programs_[i]->last_reply().status);
    CAPTURE(programs_[i]->last_reply().text);
    CHECK(answered[i]);
  }
  return *std::max_element(elapsed.begin(), elapsed.end());
}

void ScenarioContext::RecordOutcome(const Booking& booking) {
  if (booking.outcome != BookingOutcome::kNotRun) return;
  const std::lock_guard lock(mu);
  not_run.insert(booking.reference);
}

void BookAll(ScenarioContext& context, const std::string& name, size_t n,
             Ms limit, const std::set<BookingOutcome>& allowed,
             const std::function<void()>& inject_faults) {
  std::vector<Booking> bookings(n);
  const auto book = [&](size_t i) {
    bookings[i] =
        BookUntilSettled(context.fleet, absl::StrCat(name, "-", i), limit, i);
    context.RecordOutcome(bookings[i]);
  };
  RunConcurrently(n, book, inject_faults);
  for (const Booking& it : bookings) {
    CAPTURE(it.reference);
    CAPTURE(it.last_reply.status);
    CAPTURE(it.last_reply.text);
    CHECK(allowed.contains(it.outcome));
  }
}

void PrintFigure(const std::string& name, double value,
                 const std::string& unit) {
  std::printf("figure %s %.3f %s\n", name.c_str(), value, unit.c_str());
}

}  // namespace knapweed

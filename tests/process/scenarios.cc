#include "tests/process/scenarios.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <thread>

#include "absl/strings/str_cat.h"

namespace knapweed {

void RunAtOnce(size_t n, const std::function<void(size_t)>& work) {
  std::vector<std::thread> threads;
  threads.reserve(n);
  for (size_t i = 0; i < n; ++i) threads.emplace_back(work, i);
  for (std::thread& it : threads) it.join();
}

void RunAtOnce(size_t n, const std::function<void(size_t)>& work,
               const std::function<void()>& disturb) {
  std::thread others([&] { RunAtOnce(n, work); });
  disturb();
  others.join();
}

ProgramSet::ProgramSet(ScenarioContext& context, const std::string& name,
                       size_t n) {
  for (size_t i = 0; i < n; ++i) {
    programs_.push_back(std::make_unique<ProgramCaller>(
        context.fleet, absl::StrCat(name, "-", i), i % 4 == 3 ? "v" : "w"));
  }
}

Ms ProgramSet::SayAll(const std::string& text, Ms limit, size_t first_entry,
                      const std::function<void()>& disturb) {
  const Clock clock = Clock::Steady();
  std::vector<Ms> took(size());
  // Not of bool, whose elements share bytes between threads.
  std::vector<int> answered(size());
  const auto say = [&](size_t i) {
    const Ms start = clock.Now();
    const bool done = programs_[i]->SayUntilAnswered(
        text, limit, first_entry + i, i % 2 == 1);
    answered[i] = done ? 1 : 0;
    took[i] = clock.Now() - start;
  };
  RunAtOnce(size(), say, disturb);
  for (size_t i = 0; i < size(); ++i) {
    CAPTURE(programs_[i]->program());
    CAPTURE(programs_[i]->last().status);
    CAPTURE(programs_[i]->last().text);
    CHECK(answered[i]);
  }
  return *std::max_element(took.begin(), took.end());
}

void ScenarioContext::Add(const Booking& booking) {
  if (booking.end != BookingEnd::kNotRun) return;
  const std::lock_guard lock(mu);
  not_run.insert(booking.reference);
}

void BookAll(ScenarioContext& context, const std::string& name, size_t n,
             Ms limit, const std::set<BookingEnd>& allowed,
             const std::function<void()>& disturb) {
  std::vector<Booking> bookings(n);
  const auto book = [&](size_t i) {
    bookings[i] =
        BookUntilSettled(context.fleet, absl::StrCat(name, "-", i), limit, i);
    context.Add(bookings[i]);
  };
  RunAtOnce(n, book, disturb);
  for (const Booking& it : bookings) {
    CAPTURE(it.reference);
    CAPTURE(it.last.status);
    CAPTURE(it.last.text);
    CHECK(allowed.contains(it.end));
  }
}

void PrintFigure(const std::string& name, double value,
                 const std::string& unit) {
  std::printf("figure %s %.3f %s\n", name.c_str(), value, unit.c_str());
}

}  // namespace knapweed

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

std::vector<BookingEnd> BookAll(ScenarioContext& context,
                                const std::string& name, size_t n, Ms limit,
                                const std::function<void()>& disturb) {
  std::vector<BookingEnd> ends(n);
  const auto book = [&](size_t i) {
    std::set<std::string> not_run;
    ends[i] = BookUntilSettled(context.fleet, absl::StrCat(name, "-", i), limit,
                               i, &not_run);
    const std::lock_guard lock(context.mu);
    context.not_run.merge(not_run);
  };
  RunAtOnce(n, book, disturb);
  return ends;
}

void PrintFigure(const std::string& name, double value,
                 const std::string& unit) {
  std::printf("figure %s %.3f %s\n", name.c_str(), value, unit.c_str());
}

}  // namespace knapweed

// What the line that ends a call costs. The target is 3 % of a call's processor
// time at a gateway, which was 0.15 ms on a calm day of the users' bench.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("call");
/// An event's lines are bounded; with this many events none is dropped.
constexpr size_t kDistinctEvents = 4096;
constexpr int kFlushEvery = 64;

/// Sends standard output nowhere while it lives.
class ScopedStdoutDiscard {
 public:
  ScopedStdoutDiscard() : saved_stdout_(dup(STDOUT_FILENO)) {
    const int dev_null = open("/dev/null", O_WRONLY);
    dup2(dev_null, STDOUT_FILENO);
    close(dev_null);
  }
  ~ScopedStdoutDiscard() {
    FlushLog();
    dup2(saved_stdout_, STDOUT_FILENO);
    close(saved_stdout_);
  }
  ScopedStdoutDiscard(const ScopedStdoutDiscard&) = delete;
  ScopedStdoutDiscard& operator=(const ScopedStdoutDiscard&) = delete;

 private:
  int saved_stdout_;
};

/// The log keeps the texts of events, which are literals elsewhere.
const std::vector<std::string>& EventTexts() {
  static const auto* const kTexts = [] {
    auto* texts = new std::vector<std::string>;
    for (size_t i = 0; i < kDistinctEvents; ++i) {
      texts->push_back("Call ended " + std::to_string(i) + ".");
    }
    return texts;
  }();
  return *kTexts;
}

void CallEnded(benchmark::State& state) {
  static const bool kStarted = (StartStructuredLog(LogLevel::kInfo), true);
  benchmark::DoNotOptimize(kStarted);
  const auto n = static_cast<size_t>(state.range(0));
  const ScopedStdoutDiscard stdout_discard;
  size_t i = 0;
  for (auto _ : state) {
    kLog.Info(EventTexts()[i++ % n], {{"request", "4b1343fd83ea649d"},
                                      {"route", "r-dhxbmch"},
                                      {"workspace", "seny252"},
                                      {"program", "61416f0ea92561"},
                                      {"status", 200},
                                      {"ms", 231},
                                      {"first_ms", 41},
                                      {"budget", 1300},
                                      {"most", 136},
                                      {"runs", 1},
                                      {"refusals", 0},
                                      {"events", 8},
                                      {"upstream", "i-548abbc237"},
                                      {"gone", 0},
                                      {"broken_off", 0},
                                      {"config", 12},
                                      {"reason", ""}});
    if (i % kFlushEvery == 0) FlushLog();
  }
  state.SetItemsProcessed(state.iterations());
}
// Lines that are written, and lines beyond what one event may write.
BENCHMARK(CallEnded)->Arg(kDistinctEvents)->Arg(1);

}  // namespace
}  // namespace knapweed

BENCHMARK_MAIN();

// Measures the cost of the log line that a gateway writes at the end of a call.
// The target is 3 % of the processor time that a call takes at a gateway, which
// is 0.15 ms without faults.
#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("call");
/// The log limits the lines of each event text; spread over this many texts, no
/// line is dropped.
constexpr size_t kDistinctEvents = 4096;
/// Log lines between two flushes.
constexpr int kFlushEvery = 64;

/// Redirects standard output to /dev/null during its lifetime.
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

/// Returns the event texts. They are never freed, because the log keeps
/// references to them; elsewhere they are literals.
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
                                      {"sent", 1},
                                      {"runs", 1},
                                      {"refusals", 0},
                                      {"events", 8},
                                      {"upstream", "i-548abbc237"},
                                      {"answered", 1},
                                      {"gone", "no"},
                                      {"broken_off", 0},
                                      {"on_connection", 3},
                                      {"stopping_ms", 0},
                                      {"config", 12},
                                      {"reason", ""}});
    if (i % kFlushEvery == 0) FlushLog();
  }
  state.SetItemsProcessed(state.iterations());
}
// With all texts every line is written; with one text most lines exceed the
// limit of the event and are dropped.
BENCHMARK(CallEnded)->Arg(kDistinctEvents)->Arg(1);

}  // namespace
}  // namespace knapweed

// Measures direct calls to an engine and calls through the entries in one run,
// and prints the throughput and latency of both and their ratio.

#include <popt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "knapweed/base/daemon_args.h"
#include "knapweed/base/ids.h"
#include "knapweed/http/client.h"

namespace knapweed {
namespace {

constexpr char kBody[] =
    R"({"model":"small","max_tokens":4,"messages":[{"role":"user","content":"hello"}]})";
constexpr Ms kCallTimeout = Seconds(30);

struct LoadOptions {
  std::vector<Address> entries;
  /// The engine for the direct calls.
  Address engine;
  std::string key;
  /// Calls per measurement.
  int calls = 400;
  /// Concurrent callers, each with a connection of its own.
  int threads = 8;
};

struct LoadResult {
  double calls_per_s = 0;
  int64_t p50_us = 0;
  int64_t p99_us = 0;
  int failed = 0;
};

int64_t NowMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Sends `options.calls` calls from `options.threads` threads, each of which
// calls one of the servers. Sends no key when `key` is empty.
LoadResult RunLoad(const std::vector<Address>& servers, const std::string& key,
                   const LoadOptions& options) {
  std::atomic<int> next{0};
  std::atomic<int> failed{0};
  std::vector<int64_t> latencies_us(static_cast<size_t>(options.calls));
  const int64_t start_us = NowMicros();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<size_t>(options.threads));
  for (int i = 0; i < options.threads; ++i) {
    threads.emplace_back([&, i] {
      HttpClient client(servers[static_cast<size_t>(i) % servers.size()]);
      HttpRequest request{"POST", "/v1/chat/completions", "", {}, kBody};
      if (!key.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + key});
      }
      HttpCallOptions call;
      call.timeout = kCallTimeout;
      for (int n = next++; n < options.calls; n = next++) {
        const int64_t sent_us = NowMicros();
        const auto reply = client.Call(request, call);
        if (!reply.ok() || reply->status != 200) ++failed;
        latencies_us[static_cast<size_t>(n)] = NowMicros() - sent_us;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const int64_t elapsed_us = NowMicros() - start_us;
  std::sort(latencies_us.begin(), latencies_us.end());
  LoadResult result;
  result.calls_per_s = 1e6 * options.calls / static_cast<double>(elapsed_us);
  result.p50_us = latencies_us[latencies_us.size() / 2];
  result.p99_us = latencies_us[latencies_us.size() * 99 / 100];
  result.failed = failed;
  return result;
}

void Print(const char* name, const LoadResult& result) {
  std::printf("%-8s %8.1f calls/s  p50 %7.2f ms  p99 %7.2f ms  %d failed\n",
              name, result.calls_per_s,
              static_cast<double>(result.p50_us) / 1000,
              static_cast<double>(result.p99_us) / 1000, result.failed);
}

/// Runs both measurements and prints them. Returns the exit code, which is a
/// failure when any call failed.
int Compare(const LoadOptions& options) {
  const LoadResult direct = RunLoad({options.engine}, "", options);
  const LoadResult via_entries = RunLoad(options.entries, options.key, options);
  Print("direct", direct);
  Print("through", via_entries);
  std::printf("ratio    %8.2f calls/s  p50 %7.2f     p99 %7.2f\n",
              via_entries.calls_per_s / direct.calls_per_s,
              static_cast<double>(via_entries.p50_us) /
                  static_cast<double>(direct.p50_us),
              static_cast<double>(via_entries.p99_us) /
                  static_cast<double>(direct.p99_us));
  return direct.failed + via_entries.failed == 0 ? kExitOk : kExitFailed;
}

/// Parses the command line. Returns false when an option is missing or wrong.
bool ReadOptions(int argc, const char** argv, LoadOptions* options) {
  char* entries = nullptr;
  char* engine = nullptr;
  char* key = nullptr;
  const poptOption table[] = {
      {"entries", 0, POPT_ARG_STRING, &entries, 0, "entries", "IP:PORT,..."},
      {"engine", 0, POPT_ARG_STRING, &engine, 0, "an engine", "IP:PORT"},
      {"key", 0, POPT_ARG_STRING, &key, 0, "a workspace's key", "KEY"},
      {"calls", 0, POPT_ARG_INT, &options->calls, 0, "calls per measurement",
       "N"},
      {"threads", 0, POPT_ARG_INT, &options->threads, 0, "concurrent callers",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const bool parsed = poptGetNextOpt(context) == -1;
  poptFreeContext(context);
  if (!parsed || entries == nullptr || engine == nullptr || key == nullptr) {
    return false;
  }
  options->key = key;
  Settings settings =
      Settings::Parse("[load]\nentries = " + std::string{entries} +
                          "\nengine = " + std::string{engine} + "\n",
                      "command line");
  options->entries = settings.GetAddresses("load", "entries", "");
  options->engine = settings.GetAddress("load", "engine");
  return settings.Check().ok() && !options->entries.empty() &&
         options->calls > 0 && options->threads > 0;
}

}  // namespace
}  // namespace knapweed

int main(int argc, const char** argv) {
  knapweed::LoadOptions options;
  if (!knapweed::ReadOptions(argc, argv, &options)) {
    std::fprintf(stderr,
                 "usage: knapweed-load --entries IP:PORT,... --engine IP:PORT "
                 "--key KEY [--calls N] [--threads N]\n");
    return knapweed::kExitUsage;
  }
  return knapweed::Compare(options);
}

#ifndef KNAPWEED_BASE_METRICS_H_
#define KNAPWEED_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "knapweed/base/clock.h"

namespace knapweed {

/// A number that only rises. Safe from any thread.
class Counter {
 public:
  void Add(uint64_t n = 1) { n_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t Value() const { return n_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> n_{0};
};

/// A latency distribution in logarithmic buckets from 0.1 ms to 1,000 s. Safe
/// from any thread.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(double ms);
  uint64_t Count() const;
  /// Upper edge of the bucket that holds the quantile, in ms; 0 when nothing
  /// was recorded.
  double Quantile(double q) const;
  /// Calls `visit` with the upper edge in ms of each bucket that is not empty,
  /// in order, and the number of records up to it.
  void VisitBuckets(
      const std::function<void(double upper_ms, uint64_t cumulative_count)>&
          visit) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// The named metrics of a process. References stay valid for the registry's
/// life.
class Metrics {
 public:
  Counter& GetCounter(std::string_view name);
  LatencyHistogram& GetLatency(std::string_view name);
  /// {"counters":{...},"latency_ms":{name:{"count":..,"p50":..,"p95":..,"p99":..}}}
  std::string ToJson() const;
  /// The same in the Prometheus text format, each name behind `prefix`. A
  /// counter's name may end in labels, as in `calls_total{status="200"}`.
  std::string ToPrometheus(std::string_view prefix) const;

 private:
  mutable std::mutex mu_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
      latencies_;
};

}  // namespace knapweed

#endif  // KNAPWEED_BASE_METRICS_H_

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

/// A monotonically increasing counter. Safe from any thread.
class Counter {
 public:
  void Add(uint64_t n = 1) { n_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t Value() const { return n_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> n_{0};
};

/// A value that goes up and down. Safe from any thread.
class Gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// A latency histogram with logarithmic buckets from 0.1 ms to 1,000 s; values
/// outside this range are counted in the first or the last bucket. Safe from
/// any thread.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(double ms);
  uint64_t Count() const;
  /// Returns the upper bound in ms of the bucket that holds the quantile `q`
  /// (0 to 1), or 0 if nothing was recorded.
  double Quantile(double q) const;
  /// Calls `visit` for each non-empty bucket in ascending order, with its upper
  /// bound in ms and the number of values in this and all lower buckets.
  void VisitBuckets(
      const std::function<void(double upper_ms, uint64_t cumulative_count)>&
          visit) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A registry of named metrics. A metric is created on first use; references to
/// it stay valid as long as the registry exists. Safe from any thread.
class Metrics {
 public:
  Counter& GetCounter(std::string_view name);
  Gauge& GetGauge(std::string_view name);
  LatencyHistogram& GetLatency(std::string_view name);
  /// Returns all metrics as JSON:
  /// {"counters":{...},"gauges":{...},"latency_ms":{name:{"count":..,"p50":..,"p95":..,"p99":..}}}
  std::string ToJson() const;
  /// Returns all metrics in the Prometheus text format, with `prefix` before
  /// each name. A counter's name may end with labels, as in
  /// `calls_total{status="200"}`.
  std::string ToPrometheus(std::string_view prefix) const;

 private:
  mutable std::mutex mu_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_;
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
      latencies_;
  std::map<std::string, std::unique_ptr<Gauge>, std::less<>> gauges_;
};

}  // namespace knapweed

#endif  // KNAPWEED_BASE_METRICS_H_

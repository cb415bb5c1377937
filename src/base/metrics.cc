#include "knapweed/base/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>
#include <vector>

namespace knapweed {
namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;

constexpr int kBucketCount = 140;
constexpr double kLowestMs = 0.1;
constexpr double kHighestMs = 1e6;

}  // namespace

struct LatencyHistogram::Impl {
  bh::histogram<std::tuple<LogAxis>, Storage> histogram{
      std::make_tuple(LogAxis(kBucketCount, kLowestMs, kHighestMs))};
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(double ms) {
  // The upper bound of the axis is exclusive, hence the factor.
  impl_->histogram(std::clamp(ms, kLowestMs, kHighestMs * 0.999));
}

uint64_t LatencyHistogram::Count() const {
  uint64_t n = 0;
  for (auto&& cell : impl_->histogram) n += cell.load();
  return n;
}

double LatencyHistogram::Quantile(double q) const {
  const uint64_t total = Count();
  if (total == 0) return 0;
  const double target_count = q * static_cast<double>(total);
  uint64_t cumulative_count = 0;
  for (auto&& cell : bh::indexed(impl_->histogram)) {
    cumulative_count += (*cell).load();
    if (static_cast<double>(cumulative_count) >= target_count)
      return cell.bin().upper();
  }
  return kHighestMs;
}

void LatencyHistogram::VisitBuckets(
    const std::function<void(double, uint64_t)>& visit) const {
  uint64_t cumulative_count = 0;
  for (auto&& cell : bh::indexed(impl_->histogram)) {
    const uint64_t n = (*cell).load();
    if (n == 0) continue;
    cumulative_count += n;
    visit(cell.bin().upper(), cumulative_count);
  }
}

Counter& Metrics::GetCounter(std::string_view name) {
  const std::lock_guard lock(mu_);
  auto& slot = counters_[std::string(name)];
  if (slot == nullptr) slot = std::make_unique<Counter>();
  return *slot;
}

Gauge& Metrics::GetGauge(std::string_view name) {
  const std::lock_guard lock(mu_);
  auto& slot = gauges_[std::string(name)];
  if (slot == nullptr) slot = std::make_unique<Gauge>();
  return *slot;
}

LatencyHistogram& Metrics::GetLatency(std::string_view name) {
  const std::lock_guard lock(mu_);
  auto& slot = latencies_[std::string(name)];
  if (slot == nullptr) slot = std::make_unique<LatencyHistogram>();
  return *slot;
}

std::string Metrics::ToPrometheus(std::string_view prefix) const {
  const std::lock_guard lock(mu_);
  std::string out;
  for (const auto& [name, counter] : counters_) {
    out.append(prefix).append(name).append(" ");
    out.append(std::to_string(counter->Value())).append("\n");
  }
  for (const auto& [name, gauge] : gauges_) {
    out.append(prefix).append(name).append(" ");
    out.append(std::to_string(gauge->Value())).append("\n");
  }
  for (const auto& [name, latency] : latencies_) {
    const std::string full_name = std::string(prefix) + name;
    latency->VisitBuckets([&](double upper_ms, uint64_t cumulative_count) {
      out.append(full_name)
          .append("_bucket{le=\"")
          .append(std::to_string(upper_ms));
      out.append("\"} ").append(std::to_string(cumulative_count)).append("\n");
    });
    const std::string total = std::to_string(latency->Count()) + "\n";
    out.append(full_name).append("_bucket{le=\"+Inf\"} ").append(total);
    out.append(full_name).append("_count ").append(total);
  }
  return out;
}

std::string Metrics::ToJson() const {
  const std::lock_guard lock(mu_);
  nlohmann::json json = {{"counters", nlohmann::json::object()},
                         {"gauges", nlohmann::json::object()},
                         {"latency_ms", nlohmann::json::object()}};
  for (const auto& [name, counter] : counters_)
    json["counters"][name] = counter->Value();
  for (const auto& [name, gauge] : gauges_)
    json["gauges"][name] = gauge->Value();
  for (const auto& [name, latency] : latencies_) {
    json["latency_ms"][name] = {{"count", latency->Count()},
                                {"p50", latency->Quantile(0.5)},
                                {"p95", latency->Quantile(0.95)},
                                {"p99", latency->Quantile(0.99)}};
  }
  return json.dump();
}

}  // namespace knapweed

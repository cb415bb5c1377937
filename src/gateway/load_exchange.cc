#include "knapweed/gateway/load_exchange.h"

#include <algorithm>
#include <utility>

#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("load");

/// Name whose home collects the reports.
constexpr std::string_view kHomeName = "upstream load";
constexpr Ms kMinInterval{250};
/// The interval grows with the number of gateways, so that the home gets at
/// most 200 reports per second.
constexpr Ms kIntervalPerGateway{5};
/// A home that takes longer to answer is not waited for.
constexpr Ms kAnswerTimeout{200};
/// Gateways that are asked for one report, one after the other.
constexpr int kMaxAsked = 2;
/// Age from which a view is too old to decide by.
constexpr Ms kFreshTime{2000};
/// Gateways skip a home that did not answer for 1.5 s and do not all notice it
/// at once. For that long there may be two homes that each have a part of the
/// sums.
constexpr Ms kTwoHomesTime{1500};
/// Sums that lack no more than this part of the gateways replace the view at
/// once: in a large fleet some gateway is always late or being restarted.
constexpr uint32_t kMaxLackingPart = 16;
/// A report with an unknown upstream makes the home look for new upstreams, but
/// no more often than this.
constexpr Ms kMinIndexAge{100};
/// A rate below this is not reported.
constexpr double kLeastRate = 0.005;

}  // namespace

LoadExchange::LoadExchange(asio::io_context& loop, const Clock& clock,
                           UpstreamSet& upstreams, Metrics& metrics,
                           const Address& self, SendToPeer send)
    : loop_(loop),
      clock_(clock),
      upstreams_(upstreams),
      metrics_(metrics),
      self_(self),
      send_(std::move(send)),
      peers_(clock, self),
      collector_(clock),
      incarnation_(static_cast<uint32_t>(HashBytes(RandomHexId()))) {}

Ms LoadExchange::Interval() const {
  const auto gateways = static_cast<int64_t>(gateways_);
  return std::max(kMinInterval, kIntervalPerGateway * gateways);
}

Task<void> LoadExchange::Run() {
  is_running_ = true;
  view_at_ = clock_.Now();
  IndexUpstreams();
  // Gateways that start together do not report together.
  const auto spread = static_cast<uint64_t>(Interval().count);
  co_await Sleep(loop_, Ms{static_cast<int64_t>(incarnation_ % spread)});
  while (true) {
    const Ms next = clock_.Now() + Interval();
    co_await Report();
    UpdateGauges();
    co_await Sleep(loop_, std::max(next - clock_.Now(), kMinInterval / 5));
  }
}

Task<void> LoadExchange::Report() {
  IndexUpstreams();
  const LoadReport report = OwnReport();
  for (int i = 0; i < kMaxAsked; ++i) {
    const Home home = peers_.ReachableHomeOf(kHomeName);
    if (home.is_self) {
      collector_.Take(report);
      TakeOver(report, collector_.Sums(self_, keys_), clock_.Now());
      NoteHome(self_);
      co_return;
    }
    if (co_await AskHome(home.address, report)) co_return;
  }
}

Task<bool> LoadExchange::AskHome(Address home, const LoadReport& report) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kLoadPath);
  call.body = EncodeLoadReport(report);
  const Ms sent_at = clock_.Now();
  const HttpResponse raw = co_await send_(home, call, kAnswerTimeout);
  if (raw.status != 200) {
    peers_.Skip(home);
    metrics_.GetCounter("load_reports_total{outcome=\"unanswered\"}").Add();
    kLog.Info("A gateway did not take a report of load.",
              {{"peer", home.ToString()}, {"status", raw.status}});
    co_return false;
  }
  const absl::StatusOr<LoadAnswer> answer =
      DecodeLoadAnswer(raw.body, home_list_);
  if (!answer.ok()) {
    peers_.Skip(home);
    metrics_.GetCounter("load_reports_total{outcome=\"unreadable\"}").Add();
    kLog.Warning(
        "Sums of load can't be decoded.",
        {{"peer", home.ToString()}, {"error", answer.status().ToString()}});
    co_return false;
  }
  peers_.RecordAnswer(home);
  metrics_.GetCounter("load_reports_total{outcome=\"answered\"}").Add();
  home_list_.clear();
  for (const LoadEntry& entry : answer->entries) {
    home_list_.push_back(entry.key);
  }
  TakeOver(report, *answer, sent_at);
  NoteHome(home);
  co_return true;
}

LoadReport LoadExchange::OwnReport() {
  const Ms now = clock_.Now();
  LoadReport report{self_, incarnation_, ++sequence_,         Interval(),
                    {},    {},           DigestOf(home_list_)};
  for (const auto& [key, up] : by_key_) {
    if (up->own != CallLoad{}) report.entries.push_back({key, up->own});
  }
  std::erase_if(own_starts_, [&](const auto& item) {
    return RateAt(item.second, now) < kLeastRate;
  });
  for (const auto& [service, rate] : own_starts_) {
    report.starts_per_s[service] = RateAt(rate, now);
  }
  return report;
}

void LoadExchange::IndexUpstreams() {
  by_key_.clear();
  keys_.clear();
  for (const auto& [id, up] : upstreams_.all()) {
    const LoadKey key = LoadKeyOf(id, up->entry.started_at_ms);
    by_key_[key] = up;
    keys_.push_back(key);
  }
  std::sort(keys_.begin(), keys_.end());
  keys_.erase(std::unique(keys_.begin(), keys_.end()), keys_.end());
  indexed_at_ = clock_.Now();
}

void LoadExchange::LeaveOutUnknown(LoadReport& report) {
  const auto is_unknown = [this](const LoadEntry& entry) {
    return !by_key_.contains(entry.key);
  };
  std::vector<LoadEntry>& entries = report.entries;
  const bool has_unknown =
      std::any_of(entries.begin(), entries.end(), is_unknown);
  if (!has_unknown) return;
  if (clock_.Now() - indexed_at_ >= kMinIndexAge) IndexUpstreams();
  const size_t unknown = std::erase_if(entries, is_unknown);
  CountLeftOut("load_left_out_total{reason=\"unknown\"}", unknown,
               report.sender);
}

void LoadExchange::CountLeftOut(std::string_view metric, size_t entries,
                                const Address& reporter) {
  if (entries == 0) return;
  metrics_.GetCounter(metric).Add(entries);
  kLog.Warning("Left out figures of load.", {{"peer", reporter.ToString()},
                                             {"figures", entries},
                                             {"metric", metric}});
}

HttpResponse LoadExchange::AnswerPeer(const HttpRequest& call) {
  HttpResponse response;
  response.status = 503;
  if (!is_running_ || has_stopped_) return response;
  absl::StatusOr<CheckedLoadReport> checked = DecodeLoadReport(call.body);
  if (!checked.ok()) {
    response.status = 400;
    metrics_.GetCounter("load_reports_total{outcome=\"malformed\"}").Add();
    kLog.Warning("A report of load can't be decoded.",
                 {{"error", checked.status().ToString()}});
    return response;
  }
  LoadReport& report = checked->report;
  const Address sender = report.sender;
  const uint32_t asker_digest = report.list_digest;
  CountLeftOut("load_left_out_total{reason=\"figure\"}", checked->left_out,
               sender);
  LeaveOutUnknown(report);
  // The sender may have started only now.
  peers_.AddOther(sender);
  if (!collector_.Take(std::move(report))) {
    response.status = 409;
    metrics_.GetCounter("load_reports_total{outcome=\"older\"}").Add();
    return response;
  }
  metrics_.GetCounter("load_reports_total{outcome=\"taken\"}").Add();
  response.status = 200;
  response.body =
      EncodeLoadAnswer(collector_.Sums(sender, keys_), asker_digest);
  return response;
}

bool LoadExchange::CoversTooFew(const LoadAnswer& answer) const {
  // Without a report of another gateway nothing is known of the others.
  if (answer.gateways <= 1 && gateways_ > 1) return true;
  // A home that has just begun to collect lacks the reports of some gateways,
  // which then would seem to have no calls.
  const uint32_t enough = covered_ - covered_ / kMaxLackingPart;
  const Ms all_report_within =
      std::max(kTwoHomesTime, Interval() + kAnswerTimeout * 2);
  return answer.gateways < enough &&
         clock_.Now() - view_at_ < all_report_within;
}

void LoadExchange::TakeOver(const LoadReport& report, const LoadAnswer& answer,
                            Ms sent_at) {
  if (CoversTooFew(answer)) return;
  absl::flat_hash_map<LoadKey, CallLoad> sums;
  for (const LoadEntry& entry : answer.entries) sums[entry.key] = entry.load;
  absl::flat_hash_map<LoadKey, CallLoad> own;
  for (const LoadEntry& entry : report.entries) own[entry.key] = entry.load;
  view_at_ = sent_at - answer.newest_age;
  for (const auto& [key, up] : by_key_) {
    const auto sum = sums.find(key);
    const auto reported = own.find(key);
    up->others = Excess(sum == sums.end() ? CallLoad{} : sum->second,
                        reported == own.end() ? CallLoad{} : reported->second);
    up->others_at = view_at_;
  }
  others_starts_ = answer.starts_per_s;
  for (const auto& [service, per_s] : report.starts_per_s) {
    const auto it = others_starts_.find(service);
    if (it != others_starts_.end())
      it->second = std::max(0., it->second - per_s);
  }
  has_view_ = true;
  oldest_report_age_ = answer.oldest_age;
  covered_ = answer.gateways;
}

void LoadExchange::NoteHome(const Address& home) {
  if (home == last_home_) return;
  last_home_ = home;
  kLog.Info("The home that collects the load has changed.",
            {{"home", home.ToString()}, {"covered", covered_}});
}

void LoadExchange::UpdateGauges() {
  metrics_.GetGauge("load_age_ms").Set((clock_.Now() - view_at_).count);
  metrics_.GetGauge("load_oldest_report_ms").Set(oldest_report_age_.count);
  metrics_.GetGauge("load_gateways").Set(covered_);
  const bool is_fresh = HasFreshView();
  if (is_fresh == was_fresh_) return;
  was_fresh_ = is_fresh;
  kLog.Info(is_fresh ? "The load by other gateways is known."
                     : "The load by other gateways is unknown.",
            {{"age_ms", (clock_.Now() - view_at_).count},
             {"covered", covered_},
             {"gateways", gateways_}});
}

void LoadExchange::SetOthers(std::span<const Address> others) {
  peers_.SetOthers(others);
  gateways_ = others.size() + 1;
}

void LoadExchange::StopCollecting() {
  has_stopped_ = true;
  peers_.ExcludeSelf();
}

void LoadExchange::RecordStart(std::string_view service) {
  auto it = own_starts_.find(service);
  if (it == own_starts_.end()) {
    it = own_starts_.try_emplace(std::string(service)).first;
  }
  RecordEvent(it->second, clock_.Now());
}

LoadExchange::FleetStarts LoadExchange::StartsOf(
    std::string_view service) const {
  FleetStarts starts;
  const auto own = own_starts_.find(service);
  if (own != own_starts_.end()) {
    starts.own_per_s = RateAt(own->second, clock_.Now());
  }
  const auto others = others_starts_.find(service);
  starts.fleet_per_s = starts.own_per_s;
  if (others != others_starts_.end()) starts.fleet_per_s += others->second;
  return starts;
}

bool LoadExchange::HasFreshView() const {
  const Ms fresh_time = std::max(kFreshTime, Interval() * 2);
  return has_view_ && clock_.Now() - view_at_ <= fresh_time;
}

}  // namespace knapweed::gateway

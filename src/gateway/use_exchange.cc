#include "knapweed/gateway/use_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/announcement.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("quota");

/// Well below the age from which counts are out of date.
constexpr Ms kReportInterval{500};
constexpr Ms kReportTimeout{300};
/// A report counts for so long; after that its gateway may be cut off.
constexpr Ms kReportTtl{1500};
/// Collectors that are tried in one interval, the next if one does not answer.
constexpr int kMaxCollectors = 3;
/// Many gateways may be out of reach at once; each is tried again after a time
/// in which the others have been.
constexpr Ms kSkipTime = Seconds(10);
/// The name by which all gateways choose the collector.
constexpr std::string_view kCollectorName = "use of rates";

/// Returns a number of gateways that a message states. Larger ones count as the
/// most: the number is added to and divided by.
uint32_t GatewaysField(const nlohmann::json& message, const char* name) {
  constexpr uint64_t kMost = 1'000'000;
  return static_cast<uint32_t>(std::min(CountField(message, name), kMost));
}

/// The demand of a workspace is an array: in contact, silent.
nlohmann::json EncodeKnown(const std::map<std::string, KnownDemand>& known) {
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, demand] : known) {
    json[name] = {demand.in_contact_per_s, demand.silent_per_s};
  }
  return json;
}

std::map<std::string, KnownDemand> DecodeKnown(const nlohmann::json& message) {
  std::map<std::string, KnownDemand> known;
  const nlohmann::json* json = FindField(message, "known");
  if (json == nullptr || !json->is_object()) return known;
  for (const auto& [name, item] : json->items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          IsRate(item[0]) && IsRate(item[1]);
    if (!readable) continue;
    known[name].in_contact_per_s = item[0].get<double>();
    known[name].silent_per_s = item[1].get<double>();
  }
  return known;
}

}  // namespace

void UseLedger::Report(const Address& gateway, UseByWorkspace use, Ms now) {
  // Those that don't count any more may never report again.
  std::erase_if(reported_, [now](const auto& item) {
    return now - item.second.at > kReportTtl;
  });
  reported_[gateway] = {std::move(use), now};
}

UseOfOthers UseLedger::SumWithout(const Address& gateway, Ms now) const {
  UseOfOthers others;
  const auto has_reported = [&](const Address& address) {
    const auto it = reported_.find(address);
    return it != reported_.end() && now - it->second.at <= kReportTtl;
  };
  for (const auto& [address, reported] : reported_) {
    if (address == gateway || !has_reported(address)) continue;
    AddUse(reported.use, others.use);
    ++others.gateways;
  }
  for (const auto& [address, use] : stored_) {
    const bool in_contact = address == gateway || has_reported(address);
    if (in_contact) {
      AddInContact(use, others);
    } else {
      AddSilent(use, others);
    }
  }
  return others;
}

UseExchange::UseExchange(asio::io_context& loop, const Clock& clock,
                         Quotas& quotas, const Address& self, SendToPeer send,
                         std::function<bool()> store_reachable)
    : loop_(loop),
      clock_(clock),
      quotas_(quotas),
      self_(self),
      send_(std::move(send)),
      store_reachable_(std::move(store_reachable)),
      peers_(clock, self, kSkipTime) {}

void UseExchange::SetStored(std::map<Address, UseByWorkspace> stored) {
  std::vector<Address> others;
  others_ = {};
  for (const auto& [address, use] : stored) {
    others.push_back(address);
    AddUse(use, others_.use);
  }
  others_.gateways = static_cast<uint32_t>(others.size());
  peers_.SetOthers(others);
  stored[self_] = quotas_.OwnUse();
  ledger_.SetStored(std::move(stored));
}

Task<void> UseExchange::Run() {
  while (true) {
    co_await Sleep(loop_, kReportInterval);
    if (!store_reachable_()) {
      co_await ExchangeOnce();
    }
  }
}

Task<void> UseExchange::ExchangeOnce() {
  for (int i = 0; i < kMaxCollectors; ++i) {
    const Home collector = peers_.ReachableHomeOf(kCollectorName);
    if (collector.is_self) {
      ledger_.Report(self_, quotas_.OwnUse(), clock_.Now());
      others_ = ledger_.SumWithout(self_, clock_.Now());
      quotas_.SetUseOfOthers(others_, Ms{0});
      co_return;
    }
    const bool answered = co_await ReportTo(collector.address);
    if (answered) co_return;
    peers_.Skip(collector.address);
  }
}

Task<bool> UseExchange::ReportTo(Address collector) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kUsePath);
  const UseByWorkspace own = quotas_.OwnUse();
  nlohmann::json report = EncodeUse(own);
  report["address"] = self_.ToString();
  call.body = DumpJson(report);
  const Ms asked_at = clock_.Now();
  const HttpResponse raw = co_await send_(collector, call, kReportTimeout);
  const nlohmann::json answer = ParseJson(raw.body);
  if (raw.status != 200 || !answer.is_object()) co_return false;
  UseByWorkspace told = DecodeUse(answer);
  // What was known of workspaces that were not asked for stays: that nothing
  // was told of them does not mean that the others don't use them.
  for (const auto& [name, use] : own) others_.use[name] = told[name];
  others_.gateways = GatewaysField(answer, "gateways");
  others_.silent_gateways = GatewaysField(answer, "silent");
  others_.known = DecodeKnown(answer);
  quotas_.SetUseOfOthers(others_, clock_.Now() - asked_at);
  kLog.Debug("Read the use of the others from a gateway.",
             {{"collector", collector.ToString()},
              {"gateways", others_.gateways},
              {"silent", others_.silent_gateways},
              {"workspaces", own.size()}});
  co_return true;
}

HttpResponse UseExchange::AnswerPeer(const HttpRequest& call) {
  HttpResponse answer;
  answer.status = 400;
  const nlohmann::json report = ParseJson(call.body);
  Address sender;
  if (!ParseAddress(TextField(report, "address"), &sender)) return answer;
  const Ms now = clock_.Now();
  const UseByWorkspace reported = DecodeUse(report);
  ledger_.Report(sender, reported, now);
  ledger_.Report(self_, quotas_.OwnUse(), now);
  UseOfOthers others = ledger_.SumWithout(sender, now);
  std::erase_if(others.use, [&](const auto& item) {
    return !reported.contains(item.first);
  });
  nlohmann::json body = EncodeUse(others.use);
  body["gateways"] = others.gateways;
  body["silent"] = others.silent_gateways;
  body["known"] = EncodeKnown(others.known);
  answer.status = 200;
  answer.body = DumpJson(body);
  return answer;
}

}  // namespace knapweed::gateway

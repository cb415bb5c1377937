#include "knapweed/gateway/stream_versions.h"

#include <algorithm>
#include <set>
#include <utility>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

constexpr Logger kLog("streams");

/// Gateways that are told of a stream, and those that are asked for it: one
/// more, for when the gateways know of different others.
constexpr size_t kTold = 2;
constexpr size_t kAsked = 3;
constexpr Ms kTellTimeout{400};
/// A resumed stream waits no longer for its origin.
constexpr Ms kAskTimeout{150};
/// Longer than a stream and its interruption last.
constexpr Ms kRememberFor{30000};
constexpr size_t kMaxKnown = 20000;
/// Time that a caller whose stream broke off may take to resume it.
constexpr Ms kLongestInterruption{15000};

HttpRequest PostJson(std::string_view path, const json& body) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(path);
  call.body = DumpJson(body);
  return call;
}

std::optional<StreamOrigin> DecodeOrigin(const json& message) {
  StreamOrigin origin{TextField(message, "service"),
                      TextField(message, "version")};
  if (origin.service.empty() || origin.version.empty()) return std::nullopt;
  return origin;
}

}  // namespace

StreamVersions::StreamVersions(asio::io_context& loop, const Clock& clock,
                               const UpstreamSet& upstreams,
                               StreamRecords& records, const Address& self,
                               SendToPeer send)
    : loop_(loop),
      clock_(clock),
      upstreams_(upstreams),
      records_(records),
      send_(std::move(send)),
      peers_(clock, self) {}

void StreamVersions::Remember(const std::string& request_id,
                              const StreamOrigin& origin) {
  const Known known{origin, clock_.Now()};
  const bool is_new = known_.insert_or_assign(request_id, known).second;
  if (is_new) by_age_.push_back(request_id);
  if (known_.size() <= kMaxKnown) return;
  known_.erase(by_age_.front());
  by_age_.pop_front();
}

void StreamVersions::SetOthers(std::span<const Address> others) {
  peers_.SetOthers(others);
  records_.SetGateways(others.size() + 1);
}

std::string RouteKeyOf(const Route& route) { return route.host + route.prefix; }

void StreamVersions::RecordPlaces(std::span<const Route> routes) {
  std::set<StreamOrigin> listed;
  for (const auto& [id, up] : upstreams_.all()) {
    listed.insert({up->entry.service, up->entry.version});
  }
  std::vector<ListedPlace> places;
  for (const Route& route : routes) {
    if (!route.streaming || !route.resumable) continue;
    for (const WeightedService& item : route.services) {
      const auto first = listed.lower_bound({item.service, ""});
      for (auto it = first; it != listed.end(); ++it) {
        if (it->service != item.service) break;
        places.push_back(
            {{RouteKeyOf(route), *it}, route.timeout + kLongestInterruption});
      }
    }
  }
  records_.SetListed(places);
}

std::vector<std::string> StreamVersions::VersionsToBegin(
    const std::string& route, const std::string& service) const {
  if (!records_.HasUnrecorded()) return {};
  std::set<std::string> versions;
  for (const auto& [id, up] : upstreams_.all()) {
    if (up->entry.service != service || !AcceptsCalls(*up)) continue;
    if (versions.contains(up->entry.version)) continue;
    const RouteOrigin place{route, {service, up->entry.version}};
    if (records_.IsRecorded(place)) versions.insert(up->entry.version);
  }
  return {versions.begin(), versions.end()};
}

Task<bool> StreamVersions::WillBegin(RouteOrigin place, Ms timeout) {
  records_.NoteBegin(place, timeout + kLongestInterruption);
  if (records_.IsRecorded(place)) co_return true;
  co_return co_await records_.WaitUntilRecorded(std::move(place));
}

void StreamVersions::Record(const std::string& request_id,
                            const RouteOrigin& place) {
  Remember(request_id, place.origin);
  for (const Address& peer : peers_.FirstReachable(request_id, kTold)) {
    Spawn(loop_, Tell(peer, request_id, place.origin));
  }
  if (records_.HasSeveralVersions(place.origin.service)) {
    records_.RecordStream(request_id, place);
  }
}

Task<void> StreamVersions::Tell(Address peer, std::string request_id,
                                StreamOrigin origin) {
  const HttpRequest call =
      PostJson(kStreamBegunPath, {{"request", request_id},
                                  {"service", origin.service},
                                  {"version", origin.version}});
  const HttpResponse response = co_await send_(peer, call, kTellTimeout);
  if (response.status == 0) peers_.Skip(peer);
}

std::optional<StreamOrigin> StreamVersions::FindHere(
    const std::string& request_id) const {
  const auto it = known_.find(request_id);
  if (it == known_.end()) return std::nullopt;
  return it->second.origin;
}

Task<std::optional<StreamOrigin>> StreamVersions::Find(std::string request_id) {
  std::optional<StreamOrigin> here = FindHere(request_id);
  if (here.has_value()) co_return here;
  const auto search = std::make_shared<Search>(loop_);
  const std::vector<Address> asked = peers_.First(request_id, kAsked);
  search->unanswered = asked.size();
  for (const Address& peer : asked) {
    Spawn(loop_, Ask(peer, request_id, search));
  }
  const Ms until = clock_.Now() + kAskTimeout;
  while (search->unanswered > 0 && !search->origin.has_value()) {
    const Ms left = until - clock_.Now();
    if (left <= Ms{0}) break;
    co_await search->progress.Wait(left);
  }
  if (search->origin.has_value()) Remember(request_id, *search->origin);
  co_return search->origin;
}

Task<void> StreamVersions::Ask(Address peer, std::string request_id,
                               std::shared_ptr<Search> search) {
  const HttpRequest call =
      PostJson(kStreamOriginPath, {{"request", request_id}});
  const HttpResponse response = co_await send_(peer, call, kAskTimeout);
  if (response.status == 200) {
    const json message = ParseJson(response.body);
    const std::optional<StreamOrigin> origin = DecodeOrigin(message);
    if (origin.has_value()) search->origin = origin;
  }
  --search->unanswered;
  search->progress.Notify();
}

HttpResponse StreamVersions::AnswerPeer(const HttpRequest& call) {
  HttpResponse response;
  const json message = ParseJson(call.body);
  const std::string request_id = TextField(message, "request");
  response.status = 400;
  if (request_id.empty()) return response;
  if (call.target == kStreamBegunPath) {
    const std::optional<StreamOrigin> origin = DecodeOrigin(message);
    if (!origin.has_value()) return response;
    Remember(request_id, *origin);
    response.status = 200;
    return response;
  }
  const std::optional<StreamOrigin> origin = FindHere(request_id);
  response.status = origin.has_value() ? 200 : 404;
  if (!origin.has_value()) return response;
  response.body =
      DumpJson({{"service", origin->service}, {"version", origin->version}});
  return response;
}

void StreamVersions::Update() {
  const Ms now = clock_.Now();
  while (!by_age_.empty()) {
    const auto it = known_.find(by_age_.front());
    if (it != known_.end() && now - it->second.recorded_at < kRememberFor) {
      break;
    }
    if (it != known_.end()) known_.erase(it);
    by_age_.pop_front();
  }
}

Task<StreamResume> StreamVersions::Resume(StreamToResume resumed) {
  std::optional<StreamOrigin> origin;
  if (!resumed.begun_by.empty()) {
    origin = co_await Find(resumed.begun_by);
  }
  ResumedStream stream;
  if (!origin.has_value()) {
    stream.knows_all = co_await records_.Refresh();
    if (!resumed.begun_by.empty()) origin = records_.Find(resumed.begun_by);
  }
  if (origin.has_value()) {
    stream.begun = PossibleOrigin{origin->service, origin->version, Ms{0}};
  }
  const std::vector<PossibleOrigin> possible =
      records_.PossibleOrigins(resumed.route);
  stream.possible = possible;
  const std::vector<std::string_view> services(resumed.services.begin(),
                                               resumed.services.end());
  stream.services = services;
  stream.longest_span = resumed.timeout + kLongestInterruption;
  stream.now = clock_.Now();
  const ResumeDecision decision = DecideResume(stream);
  kLog.Info("A caller resumes a stream.",
            {{"begun_by", resumed.begun_by},
             {"begun_service", origin.has_value() ? origin->service : ""},
             {"begun_version", origin.has_value() ? origin->version : ""},
             {"records_read", stream.knows_all ? 1 : 0},
             {"possible_origins", possible.size()},
             {"goes_on", decision.may_go_on ? 1 : 0},
             {"service", std::string(decision.service)},
             {"version", std::string(decision.version)}});
  co_return StreamResume{
      decision.may_go_on,
      {std::string(decision.service), std::string(decision.version)}};
}

}  // namespace knapweed::gateway

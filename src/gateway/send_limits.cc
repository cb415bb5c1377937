#include "knapweed/gateway/send_limits.h"

#include <algorithm>

#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("limits");

/// A gateway that takes longer to answer is not waited for.
constexpr Ms kAskTimeout{200};
/// The same for a request that is passed on, whose sender waits meanwhile.
constexpr Ms kForwardTimeout{80};
/// Gateways that are asked for one request, one after the other.
constexpr int kMaxAsked = 2;
/// Time without a grant if no gateway answers.
constexpr Ms kNoAnswerWait{100};
/// Time for which a gateway that has stopped granting is taken to be stopping.
constexpr Ms kStopTime{10000};
/// Time after which a peer that does not answer at all is not merely slow;
/// shorter than the time after which a home counts as dead.
constexpr Ms kProbeTimeout{1500};
/// Time within which gateways that reach the store have read of one another;
/// longer than two exchanges of their rows.
constexpr Ms kExchangeTime{1500};

/// Returns a request that only reports what is known of the limit.
GrantRequest ReportOf(const Upstream& upstream) {
  GrantRequest request;
  request.wants_grant = false;
  request.record = {upstream.entry.id, upstream.entry.started_at_ms,
                    upstream.limit};
  return request;
}

ColdBound ColdBoundOf(const Upstream& upstream, Ms now) {
  if (!IsCold(upstream, now)) return {};
  return {upstream.cold.per_s, upstream.cold.until - now};
}

void OpenIfUnlimited(Upstream& upstream) {
  if (!upstream.limit.per_s.has_value()) upstream.closed_until = Ms{0};
}

}  // namespace

SendLimits::SendLimits(asio::io_context& loop, const Clock& clock,
                       UpstreamSet& upstreams, Metrics& metrics,
                       const Address& self, SendToPeer send)
    : loop_(loop),
      clock_(clock),
      upstreams_(upstreams),
      metrics_(metrics),
      self_(self),
      send_(std::move(send)),
      peers_(clock, self),
      started_at_(clock.Now()),
      ledger_(clock) {}

void SendLimits::SetOthers(std::span<const Address> others, Ms read_at) {
  peers_.SetOthers(others);
  const bool knows_all = read_at >= started_at_ + kExchangeTime;
  if (!knows_all || all_known_at_.has_value()) return;
  all_known_at_ = clock_.Now();
  kLog.Info("Has read of all gateways that started with this one.",
            {{"since_start_ms", (clock_.Now() - started_at_).count},
             {"decides_in_ms", kExchangeTime.count},
             {"others", others.size()}});
}

void SendLimits::SetKnownBefore() {
  all_known_at_ = started_at_ - kExchangeTime;
  kLog.Info("The list of gateways names an earlier run of this one.", {});
}

bool SendLimits::IsSettled() const {
  // The others may have read of this gateway only after the store was back.
  return all_known_at_.has_value() &&
         clock_.Now() - *all_known_at_ >= kExchangeTime;
}

Home SendLimits::GrantorOf(const GrantRequest& request) const {
  // Several gateways that started together may each be the home by what they
  // know. A cold upstream has room for one.
  const bool leaves_it = request.cold.left > Ms{0} && !IsSettled();
  return leaves_it ? peers_.SubstituteOf(request.record.upstream)
                   : peers_.ReachableHomeOf(request.record.upstream);
}

void SendLimits::TakeOverTold(Upstream& upstream, const StatedLimit& news) {
  MergeTold(upstream.limit, news);
  OpenIfUnlimited(upstream);
}

Task<SendGrant> SendLimits::Ask(UpstreamPtr upstream, Ms max_wait) {
  GrantRequest request = ReportOf(*upstream);
  request.wants_grant = true;
  request.max_wait = max_wait;
  request.cold = ColdBoundOf(*upstream, clock_.Now());
  const GrantAnswer answer = co_await AskAny(std::move(request));
  TakeOverTold(*upstream, answer.limit);
  const Ms now = clock_.Now();
  if (!answer.grant.granted) {
    Ms pause;
    if (IsCold(*upstream, now)) {
      pause = ColdAskPause(upstream->cold.per_s, peers_.count() + 1);
    }
    upstream->closed_until = now + std::max(answer.grant.wait, pause);
  }
  metrics_
      .GetCounter(answer.grant.granted ? "send_grants_total{granted=\"1\"}"
                                       : "send_grants_total{granted=\"0\"}")
      .Add();
  co_return answer.grant;
}

Task<GrantAnswer> SendLimits::AskAny(GrantRequest request) {
  for (int i = 0; i < kMaxAsked; ++i) {
    const Home home = GrantorOf(request);
    if (home.is_self) co_return DecideHere(request);
    const MaybeAnswer answer =
        co_await AskPeer(home.address, request, kAskTimeout);
    if (answer.has_value()) co_return *answer;
  }
  co_return GrantAnswer{{false, kNoAnswerWait}, request.record.limit};
}

Task<SendLimits::MaybeAnswer> SendLimits::Exchange(Address peer,
                                                   GrantRequest request,
                                                   Ms timeout) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kGrantPath);
  request.sender = self_;
  call.body = EncodeGrantRequest(request, clock_.Now());
  const HttpResponse raw = co_await send_(peer, call, timeout);
  if (raw.status == 503) stopped_at_[peer] = clock_.Now();
  if (raw.status != 200) co_return std::nullopt;
  peers_.RecordAnswer(peer);
  stopped_at_.erase(peer);
  const absl::StatusOr<GrantAnswer> answer =
      DecodeGrantAnswer(raw.body, clock_.Now());
  if (!answer.ok()) co_return std::nullopt;
  co_return *answer;
}

Task<SendLimits::MaybeAnswer> SendLimits::AskPeer(Address peer,
                                                  GrantRequest request,
                                                  Ms timeout) {
  const MaybeAnswer answer = co_await Exchange(peer, request, timeout);
  if (answer.has_value()) co_return answer;
  peers_.Skip(peer);
  if (probed_.insert(peer).second) Spawn(loop_, Probe(peer, request));
  co_return std::nullopt;
}

Task<void> SendLimits::Probe(Address peer, GrantRequest request) {
  request.wants_grant = false;
  co_await Exchange(peer, std::move(request), kProbeTimeout);
  probed_.erase(peer);
}

Task<void> SendLimits::Introduce(GrantRequest request) {
  request.wants_grant = false;
  request.forwarded = true;
  const Home substitute = peers_.SubstituteOf(request.record.upstream);
  if (substitute.is_self) co_return;
  co_await AskPeer(substitute.address, std::move(request), kAskTimeout);
}

HomeStatus SendLimits::StatusOfHome(std::string_view upstream) const {
  const Home home = peers_.HomeOf(upstream);
  HomeStatus status;
  status.is_self = home.is_self;
  if (home.is_self) return status;
  status.has_stopped = HasStopped(home.address);
  status.unreachable_for = peers_.UnreachableFor(home.address);
  return status;
}

bool SendLimits::HasStopped(const Address& peer) const {
  const auto stopped = stopped_at_.find(peer);
  return stopped != stopped_at_.end() &&
         clock_.Now() - stopped->second < kStopTime;
}

ColdGrantor SendLimits::AsColdGrantor(std::string_view upstream) const {
  ColdGrantor grantor;
  grantor.rank = peers_.RankOf(
      upstream, [this](const Address& peer) { return !HasStopped(peer); });
  grantor.up_for = clock_.Now() - started_at_;
  grantor.is_settled = IsSettled();
  grantor.is_stopping = has_stopped_ && peers_.count() > 0;
  return grantor;
}

GrantRequest SendLimits::WithOwnColdTime(GrantRequest request) const {
  const auto it = upstreams_.all().find(request.record.upstream);
  const bool same =
      it != upstreams_.all().end() &&
      it->second->entry.started_at_ms == request.record.started_at_ms;
  if (!same) return request;
  const ColdBound own = ColdBoundOf(*it->second, clock_.Now());
  if (own.left > request.cold.left) request.cold = own;
  return request;
}

void SendLimits::CheckIncarnation(const LimitRecord& record) {
  const auto it = upstreams_.all().find(record.upstream);
  if (it == upstreams_.all().end()) return;
  Upstream& upstream = *it->second;
  if (record.started_at_ms <= upstream.entry.started_at_ms) return;
  const Ms started_at{static_cast<int64_t>(record.started_at_ms)};
  const Ms left = started_at + upstream.cold.start - WallTime();
  SuspectCold(upstream, std::min(left, upstream.cold.start), clock_.Now());
}

GrantAnswer SendLimits::DecideHere(const GrantRequest& request) {
  const HomeStatus home = StatusOfHome(request.record.upstream);
  if (home.is_self && !ledger_.Knows(request.record.upstream)) {
    Spawn(loop_, Introduce(request));
  }
  const double cold_share = ColdShare(AsColdGrantor(request.record.upstream));
  return ledger_.Decide(WithOwnColdTime(request), GrantableShare(home),
                        cold_share);
}

bool SendLimits::RecordResponse(const UpstreamPtr& upstream,
                                const LimitInResponse& news) {
  if (!MergeResponse(upstream->limit, news)) return false;
  OpenIfUnlimited(*upstream);
  Spawn(loop_, Report(ReportOf(*upstream)));
  return true;
}

Task<void> SendLimits::Report(GrantRequest request) {
  co_await AskAny(std::move(request));
}

Task<HttpResponse> SendLimits::AnswerPeer(const HttpRequest& call) {
  HttpResponse response;
  response.status = 503;
  if (has_stopped_) co_return response;
  absl::StatusOr<GrantRequest> request =
      DecodeGrantRequest(call.body, clock_.Now());
  response.status = 400;
  if (!request.ok()) co_return response;
  response.status = 200;
  peers_.AddOther(request->sender);
  CheckIncarnation(request->record);
  // The sender may not know the home yet, or may not reach it.
  const Home home = GrantorOf(*request);
  if (!home.is_self && !request->forwarded) {
    request->forwarded = true;
    const MaybeAnswer answer =
        co_await AskPeer(home.address, *request, kForwardTimeout);
    if (answer.has_value()) {
      response.body = EncodeGrantAnswer(*answer, clock_.Now());
      co_return response;
    }
  }
  response.body = EncodeGrantAnswer(DecideHere(*request), clock_.Now());
  co_return response;
}

void SendLimits::StopGranting() {
  has_stopped_ = true;
  peers_.ExcludeSelf();
}

void SendLimits::MergeRecords(std::span<const LimitRecord> records) {
  const auto& upstreams = upstreams_.all();
  for (const LimitRecord& record : records) {
    CheckIncarnation(record);
    const auto it = upstreams.find(record.upstream);
    const bool is_known =
        it != upstreams.end() &&
        it->second->entry.started_at_ms == record.started_at_ms;
    if (is_known) TakeOverTold(*it->second, record.limit);
  }
}

}  // namespace knapweed::gateway

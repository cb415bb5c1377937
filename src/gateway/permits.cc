#include "knapweed/gateway/permits.h"

#include <algorithm>
#include <random>
#include <utility>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("permits");

/// Holders that leave requests unanswered must not delay a call for longer.
constexpr Ms kMaxAskTime{400};
/// Retry-After of a refused call: at least, and where holders are out of reach.
constexpr Ms kMinRetryAfter{100};
constexpr Ms kRetryUnsure{300};

PermitGrant DecodeGrant(const nlohmann::json& answer) {
  PermitGrant grant;
  grant.granted = FlagField(answer, "granted");
  grant.holds = FlagField(answer, "holds");
  grant.id = CountField(answer, "id");
  grant.left = CountField(answer, "left");
  grant.retry_after =
      std::max(MsField(answer, "retry_ms").value_or(Ms{0}), Ms{0});
  return grant;
}

/// Returns an id below 2^52, so that those that follow are exact in JSON.
uint64_t RandomId() {
  constexpr uint64_t kMaxId = uint64_t{1} << 52;
  std::random_device random;
  return std::uniform_int_distribution<uint64_t>(1, kMaxId)(random);
}

HttpRequest PermitRequest(const nlohmann::json& body) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kPermitPath);
  call.body = DumpJson(body);
  return call;
}

}  // namespace

Permits::Permits(asio::io_context& loop, const Clock& clock, Metrics& metrics,
                 QuotaTolerance tolerance, const Address& self,
                 std::string name, SendToPeer send, FindByName find)
    : loop_(loop),
      clock_(clock),
      metrics_(metrics),
      tolerance_(tolerance),
      self_(self),
      send_(std::move(send)),
      find_(std::move(find)),
      started_at_(clock.Now()),
      slots_(clock, self, std::move(name), PermitSpan(tolerance)),
      book_(clock, slots_, tolerance, RandomId()),
      owners_(clock, slots_, self) {}

void Permits::SetTolerance(QuotaTolerance tolerance) {
  tolerance_ = tolerance;
  book_.SetTolerance(tolerance);
}

Task<PermitResult> Permits::Take(Workspace workspace) {
  PermitResult result = co_await AskHolders(workspace);
  if (result.permit.has_value()) {
    const bool is_own = result.permit->owner == self_;
    CountOutcome(is_own ? "here" : "peer");
    co_return result;
  }
  result.unsure = result.unsure || owners_.HasSilent(workspace.name);
  const Ms next = owners_.UntilNextFree(workspace.name);
  result.retry_after =
      result.unsure ? kRetryUnsure : std::max(next, kMinRetryAfter);
  CountOutcome(result.unsure ? "unsure" : "none");
  co_return result;
}

void Permits::CountOutcome(std::string_view from) {
  metrics_.GetCounter("permits_total{from=\"" + std::string(from) + "\"}")
      .Add();
}

Task<PermitResult> Permits::AskHolders(const Workspace& workspace) {
  const Ms started_at = clock_.Now();
  const size_t permits = PermitsOf(workspace, tolerance_);
  PermitResult result;
  for (const Address& owner : owners_.ToAsk(workspace.name, permits)) {
    if (clock_.Now() - started_at > kMaxAskTime) {
      result.unsure = true;
      break;
    }
    std::optional<PermitGrant> answer;
    if (owner == self_) {
      answer = book_.Grant(workspace);
    } else {
      answer = co_await Ask(owner, workspace.name);
    }
    if (!answer.has_value()) {
      owners_.RecordSilence(owner);
      continue;
    }
    owners_.Record(workspace.name, owner, *answer);
    if (!answer->holds) result.unsure = true;
    if (!answer->granted) continue;
    result.permit = Permit{owner, answer->id};
    break;
  }
  co_return result;
}

Task<std::optional<PermitGrant>> Permits::Ask(Address owner,
                                              std::string workspace) {
  const HttpRequest call = PermitRequest({{"workspace", workspace}});
  const Ms asked_at = clock_.Now();
  const HttpResponse raw = co_await send_(owner, call, kPermitTimeout);
  const Ms waited = clock_.Now() - asked_at;
  const nlohmann::json answer = ParseJson(raw.body);
  if (raw.status == 404) co_return PermitGrant{};
  if (raw.status != 200 || !answer.is_object()) co_return std::nullopt;
  PermitGrant grant = DecodeGrant(answer);
  // The owner counts a permit only as long as it may be used.
  if (waited > kPermitTimeout) grant.granted = false;
  co_return grant;
}

HttpResponse Permits::AnswerPeer(const HttpRequest& call) {
  HttpResponse answer;
  const nlohmann::json json = ParseJson(call.body);
  const std::string name = TextField(json, "workspace");
  if (name.empty()) {
    answer.status = 400;
    return answer;
  }
  if (json.contains("returned")) {
    book_.Return(name, CountField(json, "returned"));
    answer.status = 200;
    answer.body = "{}";
    return answer;
  }
  return AnswerRequest(name);
}

HttpResponse Permits::AnswerRequest(const std::string& name) {
  HttpResponse answer;
  // The asking gateway may have a newer configuration.
  const Workspace* workspace = find_(name);
  if (workspace == nullptr) {
    answer.status = 404;
    return answer;
  }
  const PermitGrant grant = book_.Grant(*workspace);
  answer.status = 200;
  answer.body = DumpJson({{"granted", grant.granted},
                          {"holds", grant.holds},
                          {"id", grant.id},
                          {"left", grant.left},
                          {"retry_ms", grant.retry_after.count}});
  return answer;
}

void Permits::Return(const std::string& workspace, const Permit& permit) {
  if (permit.owner == self_) {
    book_.Return(workspace, permit.id);
    return;
  }
  Spawn(loop_, SendReturn(workspace, permit));
}

Task<void> Permits::SendReturn(std::string workspace, Permit permit) {
  const HttpRequest call =
      PermitRequest({{"workspace", workspace}, {"returned", permit.id}});
  co_await send_(permit.owner, call, kPermitTimeout);
}

void Permits::TakeOver(const AnnouncedGrants& granted, bool had_stopped,
                       Ms age) {
  const Ms announced_at = clock_.Now() - age;
  // The process before may have ended just when this one started.
  const Ms age_at_start = started_at_ - announced_at;
  if (!had_stopped && age_at_start > kMaxAnnouncedAge) return;
  book_.Restore({granted, had_stopped, announced_at, started_at_});
  slots_.SkipRestAtStart();
  kLog.Info("Counted the permits of an earlier process.",
            {{"workspaces", granted.size()},
             {"had_stopped", had_stopped ? 1 : 0},
             {"age_ms", age_at_start.count}});
}

void Permits::RemoveOld() {
  book_.RemoveIdle();
  owners_.RemoveOld();
}

}  // namespace knapweed::gateway

#include "knapweed/gateway/grant_ledger.h"

#include <algorithm>

#include "knapweed/base/json.h"

namespace knapweed::gateway {
namespace {

using nlohmann::json;

/// A limit is told to others for this long after a request for a grant, and
/// its end for this long after it was observed.
constexpr Ms kTellInUse{30000};
constexpr Ms kTellEnd{5000};
constexpr Ms kForgetAfter{60000};
/// Time for which the cold time that one gateway reported also binds those that
/// don't know it.
constexpr Ms kKeepCold{5000};
/// Age that stands for a limit of which nothing was observed; the epoch of a
/// process's clock says nothing to another one.
constexpr Ms kNeverObservedAge{1'000'000'000'000};

/// Reads the fields of a message; a missing or mistyped one makes it invalid.
class MessageReader {
 public:
  explicit MessageReader(std::string_view bytes)
      : message_(ParseJson(bytes)), valid_(message_.is_object()) {}

  template <typename T>
  T Get(const char* name, bool (json::*has_type)() const noexcept) {
    const json* value = Find(name);
    if (value != nullptr && (value->*has_type)()) return value->get<T>();
    valid_ = false;
    return T{};
  }
  /// Returns whether a field is there; gateways of earlier versions lack some.
  bool Has(const char* name) const { return Find(name) != nullptr; }
  bool Flag(const char* name) { return Get<bool>(name, &json::is_boolean); }
  Ms Span(const char* name) {
    const std::optional<Ms> span = MsField(message_, name);
    if (!span.has_value()) valid_ = false;
    return span.value_or(Ms{0});
  }
  /// Reads "per_s", which is null where there is no limit, and "age_ms".
  StatedLimit Limit(Ms now) {
    StatedLimit limit;
    limit.observed_at = now - Span("age_ms");
    const json* per_s = Find("per_s");
    if (per_s != nullptr && per_s->is_null()) return limit;
    const auto n = Get<double>("per_s", &json::is_number);
    if (n < 0) valid_ = false;
    limit.per_s = n;
    return limit;
  }
  bool valid() const { return valid_; }

 private:
  const json* Find(const char* name) const {
    if (!message_.is_object()) return nullptr;
    const auto it = message_.find(name);
    return it == message_.end() ? nullptr : &*it;
  }

  json message_;
  bool valid_;
};

void AddLimit(json& message, const StatedLimit& limit, Ms now) {
  message["per_s"] = limit.per_s.has_value() ? json(*limit.per_s) : json();
  const bool observed = limit.observed_at != Ms{0};
  const Ms age = observed ? now - limit.observed_at : kNeverObservedAge;
  message["age_ms"] = age.count;
}

}  // namespace

std::string EncodeGrantRequest(const GrantRequest& request, Ms now) {
  json message = {{"upstream", request.record.upstream},
                  {"started_at_ms", request.record.started_at_ms},
                  {"wants_grant", request.wants_grant},
                  {"max_wait_ms", request.max_wait.count},
                  {"sender", request.sender.ToString()},
                  {"forwarded", request.forwarded}};
  if (request.cold.left > Ms{0}) {
    message["cold_per_s"] = request.cold.per_s;
    message["cold_left_ms"] = request.cold.left.count;
  }
  AddLimit(message, request.record.limit, now);
  return DumpJson(message);
}

absl::StatusOr<GrantRequest> DecodeGrantRequest(std::string_view bytes,
                                                Ms now) {
  MessageReader reader(bytes);
  GrantRequest request;
  request.record.upstream =
      reader.Get<std::string>("upstream", &json::is_string);
  request.record.started_at_ms =
      reader.Get<uint64_t>("started_at_ms", &json::is_number_unsigned);
  request.record.limit = reader.Limit(now);
  request.wants_grant = reader.Flag("wants_grant");
  request.max_wait = reader.Span("max_wait_ms");
  request.forwarded = reader.Flag("forwarded");
  if (reader.Has("cold_left_ms")) {
    request.cold.per_s = reader.Get<double>("cold_per_s", &json::is_number);
    request.cold.left = reader.Span("cold_left_ms");
  }
  const bool has_sender = ParseAddress(
      reader.Get<std::string>("sender", &json::is_string), &request.sender);
  if (!reader.valid() || !has_sender)
    return absl::InvalidArgumentError("not a grant request");
  return request;
}

std::string EncodeGrantAnswer(const GrantAnswer& answer, Ms now) {
  json message = {{"granted", answer.grant.granted},
                  {"wait_ms", answer.grant.wait.count},
                  {"ttl_ms", answer.grant.ttl.count}};
  AddLimit(message, answer.limit, now);
  return DumpJson(message);
}

absl::StatusOr<GrantAnswer> DecodeGrantAnswer(std::string_view bytes, Ms now) {
  MessageReader reader(bytes);
  GrantAnswer answer;
  answer.grant.granted = reader.Flag("granted");
  answer.grant.wait = reader.Span("wait_ms");
  if (reader.Has("ttl_ms")) answer.grant.ttl = reader.Span("ttl_ms");
  answer.limit = reader.Limit(now);
  if (!reader.valid()) return absl::InvalidArgumentError("not a grant answer");
  return answer;
}

SendGrant GrantLedger::Grant(Entry& entry, const GrantRequest& request,
                             bool with_limit, double share, double cold_share,
                             Ms now) {
  SendGrant grant{true, Ms{0}};
  SendSchedule schedule = entry.schedule;
  SendSchedule cold_schedule = entry.cold_schedule;
  if (with_limit && entry.limit.per_s.has_value()) {
    const double rate = share * *entry.limit.per_s;
    grant = GrantSend(schedule, rate, request.max_wait, now);
  }
  if (now < entry.cold_until) {
    const SendGrant cold = GrantColdSend(cold_schedule, entry.cold_per_s,
                                         cold_share, request.max_wait, now);
    grant = BothGrants(grant, cold);
  }
  // A request that one bound refuses takes nothing of the other.
  if (grant.granted) {
    entry.schedule = schedule;
    entry.cold_schedule = cold_schedule;
  }
  return grant;
}

GrantAnswer GrantLedger::Decide(const GrantRequest& request, double share,
                                double cold_share) {
  const Ms now = clock_.Now();
  const LimitRecord& record = request.record;
  Entry& entry = entries_[record.upstream];
  // The sender does not know the newest incarnation yet; the upstream refuses
  // requests for an earlier one, unless it has restarted under the same id.
  if (record.started_at_ms < entry.started_at_ms) {
    if (!request.wants_grant) return {{true, Ms{0}}, record.limit};
    return {Grant(entry, request, false, share, cold_share, now), record.limit};
  }
  const bool is_new =
      entry.used_at == Ms{0} || record.started_at_ms > entry.started_at_ms;
  if (is_new) {
    entry = Entry();
    entry.started_at_ms = record.started_at_ms;
    entry.limit = record.limit;
    entry.schedule.filled_at = now;
    entry.cold_schedule.filled_at = now;
    entry.used_at = now;
  }
  MergeTold(entry.limit, record.limit);
  if (request.cold.left > Ms{0}) {
    const Ms until = now + std::min(request.cold.left, kKeepCold);
    entry.cold_per_s = request.cold.per_s;
    entry.cold_until = std::max(entry.cold_until, until);
  }
  GrantAnswer answer{{true, Ms{0}}, entry.limit};
  if (!request.wants_grant) return answer;
  entry.used_at = now;
  answer.grant = Grant(entry, request, true, share, cold_share, now);
  return answer;
}

std::vector<LimitRecord> GrantLedger::Records() {
  const Ms now = clock_.Now();
  std::erase_if(entries_, [&](const auto& item) {
    return now - item.second.used_at > kForgetAfter;
  });
  std::vector<LimitRecord> records;
  for (const auto& [id, entry] : entries_) {
    const bool in_use =
        entry.limit.per_s.has_value() && now - entry.used_at < kTellInUse;
    const bool has_ended = !entry.limit.per_s.has_value() &&
                           now - entry.limit.observed_at < kTellEnd;
    if (in_use || has_ended) {
      records.push_back({id, entry.started_at_ms, entry.limit});
    }
  }
  return records;
}

}  // namespace knapweed::gateway

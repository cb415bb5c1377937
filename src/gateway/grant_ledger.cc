#include "knapweed/gateway/grant_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace knapweed::gateway {
namespace {

using nlohmann::json;

/// A limit is told to others for this long after a request for a grant, and
/// its end for this long after it was observed.
constexpr Ms kTellInUse{30000};
constexpr Ms kTellEnd{5000};
constexpr Ms kForgetAfter{60000};

/// Reads the fields of a message; a missing or mistyped one makes it invalid.
class MessageReader {
 public:
  explicit MessageReader(std::string_view bytes)
      : message_(json::parse(bytes, nullptr, false)),
        valid_(message_.is_object()) {}

  template <typename T>
  T Get(const char* name, bool (json::*has_type)() const noexcept) {
    const json* value = Find(name);
    if (value != nullptr && (value->*has_type)()) return value->get<T>();
    valid_ = false;
    return T{};
  }
  bool Flag(const char* name) { return Get<bool>(name, &json::is_boolean); }
  Ms Span(const char* name) {
    return Ms{Get<int64_t>(name, &json::is_number_integer)};
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
  message["age_ms"] = (now - limit.observed_at).count;
}

}  // namespace

std::string EncodeGrantRequest(const GrantRequest& request, Ms now) {
  json message = {{"upstream", request.record.upstream},
                  {"started_at_ms", request.record.started_at_ms},
                  {"wants_grant", request.wants_grant},
                  {"max_wait_ms", request.max_wait.count},
                  {"sender", request.sender.ToString()},
                  {"forwarded", request.forwarded}};
  AddLimit(message, request.record.limit, now);
  return message.dump();
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
  const bool has_sender = ParseAddress(
      reader.Get<std::string>("sender", &json::is_string), &request.sender);
  if (!reader.valid() || !has_sender)
    return absl::InvalidArgumentError("not a grant request");
  return request;
}

std::string EncodeGrantAnswer(const GrantAnswer& answer, Ms now) {
  json message = {{"granted", answer.grant.granted},
                  {"wait_ms", answer.grant.wait.count}};
  AddLimit(message, answer.limit, now);
  return message.dump();
}

absl::StatusOr<GrantAnswer> DecodeGrantAnswer(std::string_view bytes, Ms now) {
  MessageReader reader(bytes);
  GrantAnswer answer;
  answer.grant.granted = reader.Flag("granted");
  answer.grant.wait = reader.Span("wait_ms");
  answer.limit = reader.Limit(now);
  if (!reader.valid()) return absl::InvalidArgumentError("not a grant answer");
  return answer;
}

GrantAnswer GrantLedger::Decide(const GrantRequest& request, double share) {
  const Ms now = clock_.Now();
  const LimitRecord& record = request.record;
  Entry& entry = entries_[record.upstream];
  // The sender does not know the newest incarnation yet; the upstream refuses
  // requests for an earlier one.
  if (record.started_at_ms < entry.started_at_ms) {
    return {{true, Ms{0}}, record.limit};
  }
  const bool is_new =
      entry.used_at == Ms{0} || record.started_at_ms > entry.started_at_ms;
  if (is_new)
    entry = {record.started_at_ms, record.limit, {.filled_at = now}, now};
  MergeTold(entry.limit, record.limit);
  GrantAnswer answer{{true, Ms{0}}, entry.limit};
  if (!request.wants_grant) return answer;
  entry.used_at = now;
  if (!entry.limit.per_s.has_value()) return answer;
  const double rate = share * *entry.limit.per_s;
  answer.grant = GrantSend(entry.schedule, rate, request.max_wait, now);
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

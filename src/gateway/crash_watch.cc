#include "knapweed/gateway/crash_watch.h"

#include <algorithm>
#include <optional>
#include <span>
#include <tuple>
#include <utility>

#include "knapweed/base/clock.h"
#include "knapweed/base/ids.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("crashes");

/// Delay and timeout of the connection that checks for a crash. A server that
/// crashed refuses it at once; one that only broke off a single connection
/// accepts it.
constexpr Ms kConfirmDelay{50};
constexpr Ms kConfirmTimeout{300};
/// Maximum number of concurrent checks; when all upstreams fail, no single
/// request is the cause.
constexpr size_t kMaxConfirming = 16;
/// Crashes during a request after which it counts as their cause. A single
/// upstream may have crashed for another reason while the request ran there.
constexpr uint32_t kCrashesToQuarantine = 3;
constexpr Ms kRecordTtl = Seconds(600);
/// All gateways notice one crash within this time, and an upstream takes longer
/// to come back and crash again.
constexpr Ms kCrashSpan{1000};
constexpr size_t kMaxDigests = 1024;
/// Maximum number of own records.
constexpr size_t kMaxOwnRecords = 32;
/// Maximum number of published records. A row has room for a multiple of them
/// beside what else stands in it.
constexpr size_t kMaxPublished = 160;
/// Gateways that publish a record beside the one that made it, so that one of
/// them may be gone.
constexpr size_t kKeepers = 2;
constexpr size_t kRecordFields = 4;

/// Returns nothing if a record is malformed.
std::optional<CrashRecord> DecodeRecord(const nlohmann::json& item) {
  const bool readable =
      item.is_array() && item.size() == kRecordFields &&
      item[0].is_number_unsigned() && item[1].is_number_unsigned() &&
      item[2].is_number_integer() && item[3].is_number_integer();
  if (!readable) return std::nullopt;
  CrashRecord record;
  record.digest = item[0].get<uint64_t>();
  record.upstream_hash = item[1].get<uint64_t>();
  record.at = Ms{item[2].get<int64_t>()};
  record.cleared = item[3].get<int>() != 0;
  return record;
}

/// Decodes a list of records; skips malformed ones.
std::vector<CrashRecord> DecodeRecords(const nlohmann::json& list) {
  std::vector<CrashRecord> records;
  if (!list.is_array()) return records;
  for (const nlohmann::json& item : list) {
    const std::optional<CrashRecord> record = DecodeRecord(item);
    if (record.has_value()) {
      records.push_back(*record);
    } else {
      kLog.Warning("Ignored a malformed crash record of a gateway.");
    }
  }
  return records;
}

bool IsOlder(const CrashRecord& a, const CrashRecord& b) { return a.at < b.at; }

auto IdentityOf(const CrashRecord& record) {
  return std::tuple(record.digest, record.upstream_hash, record.at.count,
                    record.cleared);
}

/// Leaves one of the records that are the same.
void DropDuplicates(std::vector<CrashRecord>& records) {
  const auto by_identity = [](const CrashRecord& a, const CrashRecord& b) {
    return IdentityOf(a) < IdentityOf(b);
  };
  std::sort(records.begin(), records.end(), by_identity);
  const auto is_same = [](const CrashRecord& a, const CrashRecord& b) {
    return IdentityOf(a) == IdentityOf(b);
  };
  records.erase(std::unique(records.begin(), records.end(), is_same),
                records.end());
}

nlohmann::json EncodeRecords(std::span<const CrashRecord> records) {
  nlohmann::json list = nlohmann::json::array();
  for (const CrashRecord& it : records) {
    list.push_back(
        {it.digest, it.upstream_hash, it.at.count, it.cleared ? 1 : 0});
  }
  return list;
}

QuarantineOptions Options() {
  QuarantineOptions options;
  options.min_upstreams = kCrashesToQuarantine;
  options.expiry = kRecordTtl;
  options.crash_span = kCrashSpan;
  options.max_digests = kMaxDigests;
  return options;
}

}  // namespace

uint64_t RequestDigest(const DigestedRequest& request) {
  const uint64_t caller = HashBytes(request.workspace);
  const uint64_t place = HashBytes(request.target, caller);
  return HashBytes(request.body, HashBytes(request.previous_turn, place));
}

CrashWatch::CrashWatch(asio::io_context& loop)
    : loop_(loop), quarantine_(Options()) {}

bool CrashWatch::IsQuarantined(uint64_t digest) const {
  return quarantine_.VerdictOf(digest, WallTime()) ==
         QuarantineVerdict::kQuarantined;
}

Ms CrashWatch::SinceLastCrash(uint64_t digest) const {
  return WallTime() - quarantine_.LastCrashOf(digest);
}

void CrashWatch::OnBroken(uint64_t digest, const UpstreamPtr& upstream,
                          std::string_view request_id) {
  if (confirming_ >= kMaxConfirming) return;
  ++confirming_;
  Spawn(loop_, Confirm(digest, upstream, std::string(request_id)));
}

Task<void> CrashWatch::Confirm(uint64_t digest, UpstreamPtr upstream,
                               std::string request_id) {
  co_await Sleep(loop_, kConfirmDelay);
  beast::tcp_stream stream(loop_);
  const bool alive =
      co_await Connect(stream, upstream->entry.address, kConfirmTimeout);
  --confirming_;
  if (alive) co_return;
  CrashRecord record;
  record.digest = digest;
  // One crash breaks off all requests of an incarnation and counts once. The
  // next incarnation can crash again, also under the same id and before its row
  // states another start.
  record.upstream_hash =
      HashBytes(std::to_string(upstream->entry.started_at_ms),
                HashBytes(upstream->entry.id));
  record.at = WallTime();
  AddOwn(record);
  const bool quarantined = IsQuarantined(digest);
  kLog.Warning("An upstream crashed while running a request.",
               {{"request", request_id},
                {"digest", digest},
                {"upstream", upstream->entry.id},
                {"quarantined", quarantined ? 1 : 0}});
  if (quarantined && on_quarantined_) on_quarantined_();
}

void CrashWatch::OnSuccess(uint64_t digest) {
  if (quarantine_.VerdictOf(digest, WallTime()) == QuarantineVerdict::kClear) {
    return;
  }
  CrashRecord record;
  record.digest = digest;
  record.at = WallTime();
  record.cleared = true;
  AddOwn(record);
  kLog.Info("Cleared a request suspected of crashing upstreams.",
            {{"digest", digest}});
}

void CrashWatch::AddOwn(const CrashRecord& record) {
  quarantine_.Merge(record);
  own_.push_back(record);
  if (own_.size() > kMaxOwnRecords) own_.pop_front();
}

bool CrashWatch::Keeps(uint64_t digest) const {
  const uint64_t own = HashBytes(self_, digest);
  const auto before = std::count_if(
      others_.begin(), others_.end(),
      [&](const auto& other) { return HashBytes(other, digest) > own; });
  return static_cast<size_t>(before) < kKeepers;
}

std::vector<CrashRecord> CrashWatch::RecordsInForce() {
  const Ms now = WallTime();
  quarantine_.Expire(now);
  while (!own_.empty() && own_.front().at + kRecordTtl <= now) {
    own_.pop_front();
  }
  std::vector<CrashRecord> records(own_.begin(), own_.end());
  for (const CrashRecord& it : quarantine_.Records()) {
    const bool counts = it.at + kRecordTtl > now;
    if (counts && Keeps(it.digest)) records.push_back(it);
  }
  return records;
}

nlohmann::json CrashWatch::RecordsToPublish() {
  std::vector<CrashRecord> published = RecordsInForce();
  DropDuplicates(published);
  std::stable_sort(published.begin(), published.end(), IsOlder);
  const size_t dropped =
      published.size() - std::min(published.size(), kMaxPublished);
  return EncodeRecords(std::span(published).subspan(dropped));
}

void CrashWatch::MergeRecords(const nlohmann::json& records) {
  for (const CrashRecord& record : DecodeRecords(records)) {
    quarantine_.Merge(record);
  }
}

void CrashWatch::Restore(const nlohmann::json& records) {
  std::vector<CrashRecord> restored = DecodeRecords(records);
  std::stable_sort(restored.begin(), restored.end(), IsOlder);
  for (const CrashRecord& record : restored) AddOwn(record);
}

void CrashWatch::SetGateways(std::string self,
                             std::vector<std::string> others) {
  self_ = std::move(self);
  others_ = std::move(others);
}

}  // namespace knapweed::gateway

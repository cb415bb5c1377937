#include "knapweed/entry/crash_board.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "knapweed/base/clock.h"
#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("quarantine");
constexpr Ms kSendTimeout = Ms{500};
/// Reports kept, newest first; equal to the number of digests that a Quarantine
/// keeps.
constexpr size_t kMaxReports = 4096;

CrashRecord ToRecord(const wire::CrashReportT& report) {
  CrashRecord record;
  record.digest = report.digest;
  record.upstream_hash = HashBytes(report.upstream);
  // Processes of an older version send no time.
  record.at = report.at_ms > 0 ? Ms{report.at_ms} : WallTime();
  record.cleared = report.crashes == 0;
  return record;
}

std::string_view VerdictName(QuarantineVerdict verdict) {
  switch (verdict) {
    case QuarantineVerdict::kClear:
      return "clear";
    case QuarantineVerdict::kSuspect:
      return "suspect";
    case QuarantineVerdict::kQuarantined:
      return "quarantined";
  }
  return "";
}

}  // namespace

void CrashReportLog::Add(wire::CrashReportT report) {
  reports_.push_back(std::move(report));
  if (reports_.size() <= kMaxReports) return;
  reports_.pop_front();
  ++first_sequence_;
}

std::vector<wire::CrashReportT> CrashReportLog::UnconfirmedBy(
    const std::string& incarnation) const {
  const auto it = next_sequence_.find(incarnation);
  const uint64_t next = it == next_sequence_.end()
                            ? first_sequence_
                            : std::max(first_sequence_, it->second);
  const auto skipped = static_cast<std::ptrdiff_t>(next - first_sequence_);
  return {reports_.begin() + skipped, reports_.end()};
}

void CrashReportLog::Confirm(const std::string& incarnation, size_t n) {
  uint64_t& next = next_sequence_[incarnation];
  next = std::max(first_sequence_, next) + n;
}

void CrashReportLog::KeepOnly(const std::vector<std::string>& incarnations) {
  std::erase_if(next_sequence_, [&](const auto& item) {
    return std::find(incarnations.begin(), incarnations.end(), item.first) ==
           incarnations.end();
  });
}

CrashBoard::CrashBoard(const Membership& membership, RpcPool& rpc,
                       MemberId self)
    : membership_(membership), rpc_(rpc), self_(std::move(self)) {}

QuarantineVerdict CrashBoard::VerdictOf(uint64_t digest) const {
  const std::lock_guard lock(mu_);
  return quarantine_.VerdictOf(digest, WallTime());
}

void CrashBoard::OnCrash(uint64_t digest, std::string_view upstream) {
  wire::CrashReportT report;
  report.digest = digest;
  report.upstream = upstream;
  report.crashes = 1;
  report.at_ms = WallTime().count;
  const std::lock_guard lock(mu_);
  if (!quarantine_.Merge(ToRecord(report))) return;
  const QuarantineVerdict verdict = quarantine_.VerdictOf(digest, WallTime());
  kLog.Warning("A request was running when an upstream crashed.",
               {{"digest", digest},
                {"upstream", upstream},
                {"verdict", VerdictName(verdict)}});
  log_.Add(std::move(report));
}

void CrashBoard::OnReport(const wire::CrashReportT& report) {
  const std::lock_guard lock(mu_);
  quarantine_.Merge(ToRecord(report));
}

void CrashBoard::Clear(uint64_t digest) {
  wire::CrashReportT report;
  report.digest = digest;
  report.crashes = 0;
  report.at_ms = WallTime().count;
  const std::lock_guard lock(mu_);
  quarantine_.Merge(ToRecord(report));
  kLog.Info("Cleared a request from quarantine.", {{"digest", digest}});
  log_.Add(std::move(report));
}

bool CrashBoard::ReportSuspect(uint64_t digest, const Address& sidecar) const {
  wire::CrashReportT report;
  report.digest = digest;
  report.crashes = 1;
  {
    const std::lock_guard lock(mu_);
    for (const CrashRecord& it : quarantine_.Records()) {
      // Any unique name works: the sidecar only distinguishes upstreams.
      if (it.digest == digest)
        report.upstream = std::to_string(it.upstream_hash);
    }
  }
  return rpc_.Get(sidecar)->Call(Wrap(std::move(report)), kSendTimeout).ok();
}

bool CrashBoard::Send(const wire::CrashReportT& report,
                      const Address& peer) const {
  const auto reply = rpc_.Get(peer)->Call(Wrap(report), kSendTimeout);
  if (reply.ok()) return true;
  kLog.Warning("Could not send a crash report to a peer; will retry.",
               {{"peer", peer.ToString()},
                {"digest", report.digest},
                {"error", absl::StrCat(reply.status().message())}});
  return false;
}

void CrashBoard::SendUnconfirmed(const std::string& incarnation,
                                 const Address& process, bool clearances_only) {
  std::vector<wire::CrashReportT> reports;
  {
    const std::lock_guard lock(mu_);
    reports = log_.UnconfirmedBy(incarnation);
  }
  size_t confirmed = 0;
  for (const wire::CrashReportT& report : reports) {
    const bool must_send = !clearances_only || report.crashes == 0;
    if (must_send && !Send(report, process)) break;
    ++confirmed;
  }
  const std::lock_guard lock(mu_);
  log_.Confirm(incarnation, confirmed);
}

void CrashBoard::Step() {
  const std::vector<Member> members = membership_.Members();
  const std::vector<SidecarRecord> sidecars = membership_.Sidecars();
  std::vector<std::string> incarnations;
  for (const Member& it : members) {
    incarnations.push_back(it.incarnation);
    if (it.id != self_) SendUnconfirmed(it.incarnation, it.rpc, false);
  }
  for (const SidecarRecord& it : sidecars) {
    incarnations.push_back(it.incarnation);
    SendUnconfirmed(it.incarnation, it.rpc, true);
  }
  const std::lock_guard lock(mu_);
  log_.KeepOnly(incarnations);
  quarantine_.Expire(WallTime());
}

std::string CrashBoard::DumpJson() const {
  nlohmann::json list = nlohmann::json::array();
  const std::lock_guard lock(mu_);
  for (const CrashRecord& it : quarantine_.Records()) {
    const auto verdict = quarantine_.VerdictOf(it.digest, WallTime());
    list.push_back({{"digest", std::to_string(it.digest)},
                    {"upstream_hash", std::to_string(it.upstream_hash)},
                    {"verdict", VerdictName(verdict)}});
  }
  return list.dump();
}

}  // namespace knapweed

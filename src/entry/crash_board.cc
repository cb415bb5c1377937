#include "knapweed/entry/crash_board.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "knapweed/base/clock.h"
#include "knapweed/base/log.h"

namespace knapweed {
namespace {

constexpr Logger kLog("quarantine");
constexpr Ms kTellTimeout = Ms{500};

CrashRecord ToRecord(const wire::CrashReportT& report) {
  CrashRecord record;
  record.digest = report.digest;
  record.upstream_hash = HashBytes(report.upstream);
  record.at = WallTime();
  record.cleared = report.crashes == 0;
  return record;
}

std::string_view NameOf(QuarantineVerdict verdict) {
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
  const std::lock_guard lock(mu_);
  if (!quarantine_.Merge(ToRecord(report))) return;
  const QuarantineVerdict verdict = quarantine_.VerdictOf(digest, WallTime());
  kLog.Warning("A request was running when an upstream crashed.",
               {{"digest", digest},
                {"upstream", upstream},
                {"verdict", NameOf(verdict)}});
  unsent_.push_back(std::move(report));
}

void CrashBoard::OnReport(const wire::CrashReportT& report) {
  const std::lock_guard lock(mu_);
  quarantine_.Merge(ToRecord(report));
}

void CrashBoard::Clear(uint64_t digest) {
  wire::CrashReportT report;
  report.digest = digest;
  report.crashes = 0;
  const std::lock_guard lock(mu_);
  quarantine_.Merge(ToRecord(report));
  kLog.Info("Cleared a request.", {{"digest", digest}});
  unsent_.push_back(std::move(report));
}

bool CrashBoard::WarnSidecar(uint64_t digest, const Address& sidecar) const {
  wire::CrashReportT report;
  report.digest = digest;
  report.crashes = 1;
  {
    const std::lock_guard lock(mu_);
    for (const CrashRecord& it : quarantine_.Records()) {
      // Any name will do: the sidecar only tells upstreams apart.
      if (it.digest == digest)
        report.upstream = std::to_string(it.upstream_hash);
    }
  }
  return rpc_.Get(sidecar)->Call(Wrap(std::move(report)), kTellTimeout).ok();
}

void CrashBoard::Send(const wire::CrashReportT& report,
                      const Address& peer) const {
  const auto told = rpc_.Get(peer)->Call(Wrap(report), kTellTimeout);
  if (told.ok()) return;
  kLog.Warning("A crash report did not reach a peer.",
               {{"peer", peer.ToString()}, {"digest", report.digest}});
}

void CrashBoard::Step() {
  std::vector<wire::CrashReportT> reports;
  {
    const std::lock_guard lock(mu_);
    reports.swap(unsent_);
    quarantine_.Expire(WallTime());
  }
  for (const wire::CrashReportT& report : reports) {
    for (const Member& it : membership_.Members()) {
      if (it.id != self_) Send(report, it.rpc);
    }
    if (report.crashes > 0) continue;
    for (const SidecarRecord& it : membership_.Sidecars()) {
      Send(report, it.rpc);
    }
  }
}

std::string CrashBoard::DumpJson() const {
  nlohmann::json list = nlohmann::json::array();
  const std::lock_guard lock(mu_);
  for (const CrashRecord& it : quarantine_.Records()) {
    const auto verdict = quarantine_.VerdictOf(it.digest, WallTime());
    list.push_back({{"digest", std::to_string(it.digest)},
                    {"upstream_hash", std::to_string(it.upstream_hash)},
                    {"verdict", NameOf(verdict)}});
  }
  return list.dump();
}

}  // namespace knapweed

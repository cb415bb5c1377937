#ifndef KNAPWEED_ENTRY_CRASH_BOARD_H_
#define KNAPWEED_ENTRY_CRASH_BOARD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/membership/membership.h"
#include "knapweed/policy/quarantine.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {

/// This process's crash reports in order, and how many of them each other
/// process has confirmed. Reports that a process has not confirmed, because it
/// was unreachable or has just started, are sent again. Not thread-safe.
class CrashReportLog {
 public:
  /// Appends a report; drops the oldest one when the log is full.
  void Add(wire::CrashReportT report);
  /// Returns the reports that `incarnation` has not confirmed, oldest first.
  std::vector<wire::CrashReportT> UnconfirmedBy(
      const std::string& incarnation) const;
  /// Marks the `n` oldest unconfirmed reports as confirmed by `incarnation`.
  void Confirm(const std::string& incarnation, size_t n);
  /// Removes the confirmations of processes not listed in `incarnations`.
  void KeepOnly(const std::vector<std::string>& incarnations);

 private:
  std::deque<wire::CrashReportT> reports_;
  /// Sequence number of the first report in `reports_`.
  uint64_t first_sequence_ = 0;
  /// By incarnation: sequence number of the first unconfirmed report.
  std::map<std::string, uint64_t> next_sequence_;
};

/// Records which requests crashed upstreams and replicates the reports to all
/// other entries, so that a request that is re-sent through another entry is
/// quarantined there too. Owned by the Entry. Safe from any thread.
class CrashBoard {
 public:
  CrashBoard(const Membership& membership, RpcPool& rpc, MemberId self);

  /// Returns whether the request may run, must run alone, or is quarantined.
  QuarantineVerdict VerdictOf(uint64_t digest) const;
  /// Records that an upstream crashed while it ran this request.
  void OnCrash(uint64_t digest, std::string_view upstream);
  /// Merges a peer's report. Does not forward it: the sender sends it to every
  /// entry itself.
  void OnReport(const wire::CrashReportT& report);
  /// Discards the crashes recorded so far, on an operator's request.
  void Clear(uint64_t digest);
  /// Reports a suspect request to a sidecar before it is dispatched there, so
  /// that the sidecar runs it alone. Blocks; returns false when the sidecar did
  /// not confirm.
  bool ReportSuspect(uint64_t digest, const Address& sidecar) const;

  /// Sends unconfirmed reports to every other entry, and unconfirmed clearances
  /// to the sidecars as well. Blocks; run it periodically.
  void Step();
  std::string DumpJson() const;

 private:
  bool Send(const wire::CrashReportT& report, const Address& peer) const;
  /// Sends a process the reports it has not confirmed, up to the first failure.
  void SendUnconfirmed(const std::string& incarnation, const Address& process,
                       bool clearances_only);

  const Membership& membership_;
  RpcPool& rpc_;
  const MemberId self_;
  mutable std::mutex mu_;
  Quarantine quarantine_;
  CrashReportLog log_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_CRASH_BOARD_H_

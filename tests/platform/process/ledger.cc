#include "tests/platform/process/ledger.h"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace knapweed::testing {
namespace {

/// Ends that lie so close to the time allowed are ends by time.
constexpr Ms kTimeSlack{100};
/// Requests sent so long after a SIGTERM count even if their upstream works
/// into the end of the grace.
constexpr Ms kNoticeTime{3000};
constexpr size_t kStuckTries = 5;
constexpr size_t kMinTakeUps = 12;

bool Overlaps(const Disruption& it, Ms from, Ms until) {
  return it.from <= until && it.until >= from;
}

/// Returns whether nothing unplanned disturbed any process from the stable time
/// before `from` to `until`.
bool IsCalm(const Ledger& ledger, Ms from, Ms until) {
  return std::none_of(ledger.disruptions.begin(), ledger.disruptions.end(),
                      [&](const auto& it) {
                        return !it.planned &&
                               Overlaps(it, from - ledger.times.stable, until);
                      });
}

/// Returns whether nothing at all disturbed this gateway.
bool IsInTouch(const Ledger& ledger, const Attempt& attempt) {
  const Ms from = attempt.sent_at - ledger.times.stable;
  return std::none_of(ledger.disruptions.begin(), ledger.disruptions.end(),
                      [&](const auto& it) {
                        const bool concerns =
                            it.gateway == static_cast<int>(attempt.gateway) ||
                            (it.gateway < 0 && !it.planned);
                        return concerns && Overlaps(it, from, attempt.ended_at);
                      });
}

/// Returns the planned work on the attempt's gateway at that time, a stop
/// rather than a reload.
const Disruption* FindPlannedWork(const Ledger& ledger,
                                  const Attempt& attempt) {
  const Disruption* found = nullptr;
  for (const Disruption& it : ledger.disruptions) {
    if (!it.planned || it.gateway != static_cast<int>(attempt.gateway))
      continue;
    const bool is_stop = it.what == "SIGTERM";
    const Ms until = it.from + (is_stop ? ledger.times.grace + Seconds(1)
                                        : ledger.times.config_apply);
    const bool sent_in_time = attempt.sent_at <= until;
    const bool counts = sent_in_time && attempt.ended_at >= it.from;
    if (counts && (is_stop || found == nullptr)) found = &it;
  }
  return found;
}

/// Returns whether an upstream was still at work late in the grace on a request
/// that was sent early in it.
bool WorkOutlastsGrace(const Ledger& ledger, const Attempt& attempt,
                       const Disruption& stop) {
  if (stop.what != "SIGTERM") return false;
  if (attempt.sent_at > stop.from + kNoticeTime) return false;
  const Ms late = stop.from + ledger.times.grace * 5 / 6;
  return std::any_of(attempt.receipts.begin(), attempt.receipts.end(),
                     [&](const Receipt& it) { return it.works_until >= late; });
}

/// Returns whether the gateway ended the connection without a complete
/// response, before the time allowed was over.
bool IsCut(const Attempt& attempt) {
  const bool closed =
      attempt.end == WaitEnd::kClosed || attempt.end == WaitEnd::kReset;
  const Ms took = attempt.ended_at - attempt.sent_at;
  return closed && attempt.sent_at > Ms{0} &&
         took < attempt.time_allowed - kTimeSlack;
}

void JudgeCut(const Ledger& ledger, const Attempt& attempt,
              std::vector<Loss>& losses) {
  if (!IsCut(attempt) || attempt.upstream_breaks) return;
  if (!IsCalm(ledger, attempt.sent_at, attempt.ended_at)) return;
  const bool passed_on = !attempt.receipts.empty();
  const Ms took = attempt.ended_at - attempt.sent_at;
  const Disruption* work = FindPlannedWork(ledger, attempt);
  if (work != nullptr) {
    if (!passed_on && took <= ledger.times.loss_slack) return;
    if (WorkOutlastsGrace(ledger, attempt, *work)) return;
    losses.push_back({"planned work", &attempt,
                      work->what + (passed_on ? ", passed on" : ", read")});
  } else if (passed_on && IsInTouch(ledger, attempt)) {
    losses.push_back({"kept connection", &attempt, "passed on"});
  } else if (passed_on) {
    losses.push_back({"cut in calm (no rule)", &attempt, "passed on"});
  }
}

void JudgeKept(const Attempt& attempt, std::vector<Loss>& losses) {
  if (attempt.previous.empty()) return;
  if (attempt.status != 404 && attempt.status != 410) return;
  const Ms age = attempt.ended_at - attempt.previous_answered_at;
  if (age >= attempt.keep) return;
  losses.push_back(
      {"kept turn", &attempt, "age " + std::to_string(age.count) + " ms"});
}

void JudgeRuns(const Attempt& attempt, std::vector<Loss>& losses) {
  if (attempt.body_differs) {
    losses.push_back({"other body (UNASKED)", &attempt, ""});
  }
  if (attempt.is_out_of_order) {
    losses.push_back({"events (ORDER)", &attempt, ""});
  }
  if (!IsUnsafe(attempt.kind)) return;
  if (attempt.receipts.size() > 1) {
    losses.push_back({"ran twice (TWICE)", &attempt, ""});
  }
  constexpr std::array<int, 5> kPromises = {402, 408, 421, 429, 503};
  const bool promised = std::find(kPromises.begin(), kPromises.end(),
                                  attempt.status) != kPromises.end();
  if (promised && !attempt.receipts.empty()) {
    losses.push_back({"ran though refused (REFUSED)", &attempt, ""});
  }
}

/// The tries of one kept turn, in order.
using Tries = std::vector<const Attempt*>;

void JudgeTries(const Ledger& ledger, const Tries& tries,
                std::vector<Loss>& losses) {
  Tries calm;
  for (const Attempt* it : tries) {
    if (!it->receipts.empty()) return;
    const bool counts = it->sent_at > Ms{0} && IsInTouch(ledger, *it) &&
                        IsCalm(ledger, it->sent_at, it->ended_at);
    if (counts) calm.push_back(it);
  }
  if (calm.size() < kStuckTries) return;
  losses.push_back({"stuck program", calm.back(),
                    std::to_string(calm.size()) + " tries in calm"});
}

void JudgeStuck(const Ledger& ledger, std::vector<Loss>& losses) {
  std::map<std::string, Tries> tasks;
  for (const Attempt& it : ledger.attempts) {
    if (!it.previous.empty()) tasks[it.task].push_back(&it);
  }
  for (const auto& [name, tries] : tasks) JudgeTries(ledger, tries, losses);
}

/// How many streams brought an event, of those that were asked for.
struct StreamShare {
  size_t asked = 0;
  size_t begun = 0;
  double Share() const {
    return asked == 0 ? 0
                      : static_cast<double>(begun) / static_cast<double>(asked);
  }
};

bool BringsEvents(const Attempt& attempt) {
  const bool whole = attempt.end == WaitEnd::kAnswered;
  return attempt.status == 200 && (attempt.events > 0 || whole);
}

void CountStreams(const Ledger& ledger, StreamShare& fresh,
                  StreamShare& taken_up, Tries& refused) {
  for (const Attempt& it : ledger.attempts) {
    if (it.kind != RequestKind::kResumable || !IsInTouch(ledger, it)) continue;
    StreamShare& share = it.begun_by.empty() ? fresh : taken_up;
    ++share.asked;
    if (BringsEvents(it)) {
      ++share.begun;
    } else if (!it.begun_by.empty()) {
      refused.push_back(&it);
    }
  }
}

void JudgeTakeUps(const Ledger& ledger, std::vector<Loss>& losses) {
  StreamShare fresh;
  StreamShare taken_up;
  Tries refused;
  CountStreams(ledger, fresh, taken_up, refused);
  if (taken_up.asked < kMinTakeUps) return;
  if (taken_up.Share() >= fresh.Share() / 2) return;
  for (const Attempt* it : refused) {
    losses.push_back({"stream take-up", it, "under half go on"});
  }
}

/// Each receipt of a resumed stream comes from the version that began it.
void JudgeVersions(const Ledger& ledger, std::vector<Loss>& losses) {
  std::map<std::string, std::string> versions;
  for (const Attempt& it : ledger.attempts) {
    if (it.kind != RequestKind::kResumable || it.receipts.empty()) continue;
    if (it.begun_by.empty() && it.events > 0) {
      versions[it.id] = it.receipts.back().version;
    }
  }
  for (const Attempt& it : ledger.attempts) {
    const auto begun = versions.find(it.begun_by);
    if (begun == versions.end() || it.events == 0) continue;
    if (it.receipts.empty()) continue;
    if (it.receipts.back().version != begun->second) {
      losses.push_back({"two versions (ORDER)", &it, begun->second});
    }
  }
}

int64_t Since(const Ledger& ledger, Ms at) {
  return at == Ms{0} ? 0 : (at - ledger.began).count;
}

}  // namespace

std::string_view NameOf(RequestKind kind) {
  constexpr std::array<std::string_view, kRequestKinds> kNames = {
      "safe", "unsafe", "upload", "slow_read", "turn", "resumable", "kept"};
  return kNames[static_cast<size_t>(kind)];
}

bool IsUnsafe(RequestKind kind) {
  return kind == RequestKind::kUnsafe || kind == RequestKind::kUpload ||
         kind == RequestKind::kTurn || kind == RequestKind::kKept;
}

std::string_view NameOf(WaitEnd end) {
  constexpr std::array<std::string_view, 6> kNames = {
      "under_way", "answered", "closed", "reset", "timeout", "left"};
  return kNames[static_cast<size_t>(end)];
}

std::vector<Loss> FindLosses(const Ledger& ledger) {
  std::vector<Loss> losses;
  for (const Attempt& it : ledger.attempts) {
    JudgeCut(ledger, it, losses);
    JudgeKept(it, losses);
    JudgeRuns(it, losses);
  }
  JudgeStuck(ledger, losses);
  JudgeTakeUps(ledger, losses);
  JudgeVersions(ledger, losses);
  return losses;
}

std::string Describe(const Ledger& ledger, const Attempt& attempt) {
  std::ostringstream out;
  out << "id=" << attempt.id << " kind=" << NameOf(attempt.kind)
      << " path=" << attempt.path << " gateway=" << attempt.gateway
      << " connection=" << attempt.connection
      << " number=" << attempt.number_on_connection
      << " pipelined=" << attempt.pipelined
      << " sent_ms=" << Since(ledger, attempt.sent_at)
      << " ended_ms=" << Since(ledger, attempt.ended_at)
      << " end=" << NameOf(attempt.end) << " status=" << attempt.status
      << " events=" << attempt.events << " work_ms=" << attempt.work.count
      << " allowed_ms=" << attempt.time_allowed.count;
  if (!attempt.reason.empty()) out << " reason='" << attempt.reason << "'";
  if (!attempt.previous.empty()) {
    out << " previous=" << attempt.previous << " previous_answered_ms="
        << Since(ledger, attempt.previous_answered_at);
  }
  if (!attempt.begun_by.empty()) {
    out << " begun_by=" << attempt.begun_by
        << " last_event=" << attempt.last_event_id;
  }
  for (const Receipt& it : attempt.receipts) {
    out << " upstream=" << it.upstream << "@" << Since(ledger, it.at) << "-"
        << Since(ledger, it.works_until);
  }
  for (const Disruption& it : ledger.disruptions) {
    const Ms from = attempt.sent_at - ledger.times.grace;
    if (!Overlaps(it, from, attempt.ended_at)) continue;
    out << " [" << it.what << " gateway=" << it.gateway << " "
        << Since(ledger, it.from) << "-" << Since(ledger, it.until) << "]";
  }
  return out.str();
}

std::string Summarize(const Ledger& ledger) {
  std::map<std::string, size_t> counts;
  for (const Attempt& it : ledger.attempts) {
    const bool calm = IsCalm(ledger, it.sent_at, it.ended_at);
    std::string name(NameOf(it.kind));
    name += it.begun_by.empty() ? "" : "_resumed";
    name += it.previous.empty() ? "" : "_continued";
    name += calm ? " calm " : " disturbed ";
    name += NameOf(it.end);
    name += " " + std::to_string(it.status);
    name += it.receipts.empty() ? " not passed on" : "";
    name += it.reason.empty() ? "" : " '" + it.reason.substr(0, 60) + "'";
    ++counts[name];
  }
  std::ostringstream out;
  for (const auto& [name, n] : counts) out << n << " " << name << "\n";
  return out.str();
}

}  // namespace knapweed::testing

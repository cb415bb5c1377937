#ifndef KNAPWEED_TESTS_PLATFORM_PROCESS_LEDGER_H_
#define KNAPWEED_TESTS_PLATFORM_PROCESS_LEDGER_H_

#include <deque>
#include <string>
#include <vector>

#include "knapweed/base/clock.h"

/// What callers, upstreams and the operator saw in a run of gateway processes.
/// All times are on the machine's steady clock.
namespace knapweed::testing {

/// What a caller asks for.
enum class RequestKind {
  kSafe,
  kUnsafe,
  /// A body that is sent slowly.
  kUpload,
  /// A large response that is read slowly.
  kSlowRead,
  /// A turn with a token budget.
  kTurn,
  /// A stream that may be resumed.
  kResumable,
  /// A turn that is kept and continued.
  kKept,
};
inline constexpr size_t kRequestKinds = 7;

std::string_view NameOf(RequestKind kind);
/// Returns whether such a request may run once at most.
bool IsUnsafe(RequestKind kind);

/// How the caller's wait for a response ended.
enum class WaitEnd {
  kUnderWay,
  /// A complete response arrived.
  kAnswered,
  kClosed,
  kReset,
  /// The caller closed the connection after its deadline.
  kTimeout,
  /// The caller closed the connection earlier, as the test wanted it to.
  kLeft,
};

std::string_view NameOf(WaitEnd end);

/// An upstream's receipt of a request.
struct Receipt {
  std::string upstream;
  std::string version;
  Ms at;
  /// When the upstream is done with it.
  Ms works_until;
};

/// One attempt of a caller, with a request ID of its own.
struct Attempt {
  std::string id;
  RequestKind kind = RequestKind::kSafe;
  std::string path;
  /// Index of the gateway.
  size_t gateway = 0;
  int connection = 0;
  /// From 1 on.
  int number_on_connection = 0;
  bool pipelined = false;
  /// The turn that it continues.
  std::string previous;
  Ms previous_answered_at;
  Ms keep;
  /// The attempt that began the stream that it resumes.
  std::string begun_by;
  int last_event_id = 0;
  /// Tries of one turn or stream share a name.
  std::string task;
  /// An upstream breaks off its response.
  bool upstream_breaks = false;
  /// Duration of the upstream's work.
  Ms work;
  Ms time_allowed;
  /// When the last byte was written; zero if it wasn't.
  Ms sent_at;
  Ms ended_at;
  WaitEnd end = WaitEnd::kUnderWay;
  /// Zero without a whole response header.
  int status = 0;
  std::string reason;
  int events = 0;
  /// A complete stream lacks an event, or holds one twice.
  bool is_out_of_order = false;
  /// The body that an upstream has to receive; empty if it isn't checked.
  std::string expected_body;
  bool body_differs = false;
  /// The body that the upstream received, if it differs.
  std::string other_body;
  std::vector<Receipt> receipts;
};

/// What was done to the gateways or the store.
struct Disruption {
  std::string what;
  /// Index of the gateway; -1 for the store or the configuration.
  int gateway = -1;
  bool planned = false;
  Ms from;
  /// When its effects are over.
  Ms until;
};

/// An end of a gateway's process.
struct ProcessEnd {
  size_t gateway = 0;
  Ms at;
  /// Signal that ended it; zero for an exit.
  int signal = 0;
  int exit_code = 0;
  bool intended = false;
  /// Time since the process was started.
  Ms ran;
};

/// The times that the rules name.
struct RuleTimes {
  Ms stable{3000};
  Ms grace{8000};
  Ms loss_slack{200};
  Ms config_apply{2000};
};

struct Ledger {
  RuleTimes times;
  std::deque<Attempt> attempts;
  std::deque<Disruption> disruptions;
  std::vector<ProcessEnd> ends;
  Ms began;
};

/// A request that ended against a rule.
struct Loss {
  std::string clause;
  const Attempt* attempt = nullptr;
  std::string why;
};

/// Returns the requests that were lost, by the clauses of the users' rules, and
/// those that ran twice or ran although they were refused.
std::vector<Loss> FindLosses(const Ledger& ledger);

/// Returns one line about an attempt.
std::string Describe(const Ledger& ledger, const Attempt& attempt);

/// Returns counts of the ends of attempts by kind, without a rule.
std::string Summarize(const Ledger& ledger);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_PROCESS_LEDGER_H_

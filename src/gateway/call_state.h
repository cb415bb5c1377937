#ifndef KNAPWEED_SRC_GATEWAY_CALL_STATE_H_
#define KNAPWEED_SRC_GATEWAY_CALL_STATE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "knapweed/gateway/call_runner.h"

/// State of a call, shared by the source files of the call runner for
/// admission, placement, attempts and responses.
namespace knapweed::gateway {

/// Retry-After for a service that has no upstream at present.
inline constexpr Ms kRetryNoUpstream{400};
/// Retry-After if every upstream tried was full.
inline constexpr Ms kRetryFull{150};

/// What a call waits for.
enum class CallPhase : uint8_t {
  /// The checks before it is placed.
  kAdmission,
  kHistory,
  kBudget,
  kPlacement,
  kConnection,
  kResponse,
  kBody,
  kStoring,
  /// Its caller reads the rest of the answer.
  kCaller,
};

/// How a call was admitted under its workspace's rate.
struct RateAdmission {
  Ms at;
  QuotaVerdict verdict;
};

/// One call in progress.
struct CallRunner::State {
  State(asio::io_context& loop, const HeldMemory& memory, CallerRequest& r,
        CallerLink& l)
      : request(r),
        link(l),
        timer(loop),
        held_history(memory),
        held_answer(memory) {}

  void SetGone(CallerGone how) {
    caller_disconnected = true;
    if (gone == CallerGone::kNo) gone = how;
  }
  /// Takes the result of the write that ends the answer.
  void EndAnswer(bool sent) {
    is_answered = sent;
    if (!sent) SetGone(CallerGone::kWriteFailed);
  }

  CallerRequest& request;
  CallerLink& link;
  asio::steady_timer timer;
  ConfigPtr config;
  const Route* route = nullptr;
  const Workspace* workspace = nullptr;
  const Service* service = nullptr;
  Ms deadline;
  std::shared_ptr<const std::string> body;
  /// The rows of the turn's chain stay in the store until then, on the store's
  /// clock.
  Ms chain_until;
  /// The body with the history before it; the front counts the request's own.
  HeldBytes held_history;
  /// The part of the answer that is kept, beside `kCallBufferBytes`.
  HeldBytes held_answer;
  std::shared_ptr<Attempt> attempt;
  std::vector<UpstreamPtr> tried;
  /// The permission to send the next attempt ends then.
  Ms send_by;
  /// The next attempt has a grant.
  bool has_grant = false;
  UpstreamPtr last_upstream;
  /// What the present attempt adds to the load of its upstream.
  CallLoad load;
  Ms sent_at;
  /// Time of the attempt's last event; zero before the first.
  Ms event_at;
  bool awaits_event = false;
  /// The present attempt's prompt counts as pending prefill.
  bool awaits_prefill = false;
  /// Tokens that arrived since `event_at`.
  uint64_t unsampled_tokens = 0;
  /// It is quarantined and runs at one upstream only, to find out whether it
  /// crashes that one too.
  bool is_probe = false;
  /// Number of attempts that may have run the call.
  uint32_t runs = 0;
  uint32_t refusals = 0;
  bool caller_disconnected = false;
  bool timed_out = false;
  /// A token of the workspace's rate limit is taken and no attempt has used it
  /// yet.
  bool holds_rate_token = false;
  /// The permit of the next attempt that may run it, or of the last one.
  std::optional<Permit> permit;
  /// Attempts that may run it by the permits taken so far.
  uint32_t permitted_runs = 0;
  /// Unset for a call without a rate, or before it is admitted.
  std::optional<RateAdmission> rate_admission;
  /// When each attempt was sent, from the arrival of the call.
  std::vector<Ms> sent_after;
  bool holds_budget = false;
  /// The first turn of a program.
  bool begins_program = false;
  /// Time since the program's first request.
  Ms waited;
  ReservationTicket ticket;
  CallPhase phase = CallPhase::kAdmission;
  /// Attempts that were sent to an upstream.
  uint32_t sent = 0;
  CallerGone gone = CallerGone::kNo;
  // The response so far.
  /// All of it was written.
  bool is_answered = false;
  unsigned status = 0;
  std::string reason;
  bool stream_begun = false;
  /// Part of a body that is not a stream of events was forwarded; no other
  /// attempt can continue it.
  bool body_begun = false;
  uint64_t last_event = 0;
  bool has_event = false;
  /// Ids count the events so far, so that a missing one shows.
  bool ids_count_events = true;
  /// An event without an id was sent since the last one with an id; no other
  /// run can tell where to go on.
  bool ends_without_id = false;
  /// The present attempt goes on with a stream and has not reached its place.
  bool awaits_place = false;
  /// Software version of the upstreams that may answer; unset until a stream
  /// has begun.
  std::optional<std::string> stream_version;
  uint64_t events_sent = 0;
  /// All events were sent, and the present attempt reads those that another
  /// request of the caller brought, since the turn is stored whole.
  bool reads_start = false;
  /// Id of the last event of that start; 0 before the first.
  uint64_t last_of_start = 0;
  std::string output;
  bool stream_aborted = false;
  Ms first_event_at;
};

/// Returns `fields` without hop-by-hop fields.
http::fields WithoutHopFields(const http::fields& fields);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_SRC_GATEWAY_CALL_STATE_H_

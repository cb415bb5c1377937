#ifndef KNAPWEED_TESTS_PROCESS_CALLER_H_
#define KNAPWEED_TESTS_PROCESS_CALLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standins/engine_answer.h"
#include "tests/process/fleet.h"

namespace knapweed {

/// The result of one request to an entry, as its caller sees it.
struct CallerReply {
  /// HTTP status; 0 if no complete reply arrived.
  int status = 0;
  /// The error's code; empty without an error.
  std::string code;
  /// Whether the upstream ran the call, as the error says: "not_run", "ran" or
  /// "unknown". "not_run" also if the connection was refused; empty otherwise.
  std::string run;
  /// The assistant's text, or the body of a service's answer.
  std::string text;
  /// True if the entry marked the answer as not durable yet.
  bool pending = false;
  Ms elapsed;

  bool answered() const { return status == 200; }
};

/// Sends a model call to one entry and blocks until the reply or the timeout.
/// With `stream` the text is joined from the events; a stream without its end
/// marker does not count as answered.
CallerReply SendTurn(Fleet& fleet, size_t entry, const std::string& workspace,
                     const std::string& program, const std::string& call_key,
                     const std::string& text, bool stream, Ms timeout);

/// Sends a non-idempotent call to one entry and blocks until the reply or the
/// timeout. `reference` identifies the call. A `deadline` above 0 is sent in
/// the deadline header.
CallerReply SendBooking(Fleet& fleet, size_t entry,
                        const std::string& reference, Ms timeout,
                        Ms deadline = Ms{0});

/// A caller of one program. It keeps its own copy of the history and checks
/// each answer against it. Not thread safe.
class ProgramCaller {
 public:
  ProgramCaller(Fleet& fleet, std::string program, std::string workspace = "w")
      : fleet_(fleet),
        program_(std::move(program)),
        workspace_(std::move(workspace)) {}

  /// Sends one message, and retries it at the next entry each time, until it is
  /// answered. Returns false after `limit`. An answer that does not match the
  /// caller's history fails a check.
  bool SendUntilAnswered(const std::string& text, Ms limit, size_t entry = 0,
                         bool stream = false);

  const std::string& program() const { return program_; }
  size_t turns() const { return history_.size() / 2; }
  /// The reply to the last attempt, successful or not.
  const CallerReply& last_reply() const { return last_reply_; }

 private:
  void CheckAnswer();

  Fleet& fleet_;
  std::string program_;
  std::string workspace_;
  std::vector<ChatMessage> history_;
  // Number of answers marked as not durable yet.
  size_t pending_turns_ = 0;
  CallerReply last_reply_;
};

/// The outcome of a booking for its caller. kNotRun: every reply said "not
/// run"; kUnknown: two replies in a row said "unknown" with the same code;
/// kNoReply: none of these before the time limit.
enum class BookingOutcome : uint8_t { kAnswered, kNotRun, kUnknown, kNoReply };

/// A non-idempotent call and its outcome.
struct Booking {
  std::string reference;
  BookingOutcome outcome = BookingOutcome::kNoReply;
  CallerReply last_reply;
};

/// Sends a booking, retrying at the next entry each time, until it is answered,
/// until two replies in a row report an unknown outcome with the same code, or
/// until `limit` has passed.
Booking BookUntilSettled(Fleet& fleet, const std::string& reference, Ms limit,
                         size_t entry);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_CALLER_H_

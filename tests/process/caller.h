#ifndef KNAPWEED_TESTS_PROCESS_CALLER_H_
#define KNAPWEED_TESTS_PROCESS_CALLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standins/engine_answer.h"
#include "tests/process/fleet.h"

namespace knapweed {

/// What one request to an entry came to, as its caller sees it.
struct CallerReply {
  /// 0 when no whole reply came.
  int status = 0;
  /// The error's code and "not_run", "ran" or "unknown"; empty otherwise.
  std::string code;
  std::string run;
  /// The assistant's text, or the body of a service's answer.
  std::string text;
  bool pending = false;
  Ms elapsed;

  bool answered() const { return status == 200; }
};

/// Sends a model call to one entry. With `stream` the text is joined from the
/// events, and counts only with its end marker.
CallerReply SendTurn(Fleet& fleet, size_t entry, const std::string& workspace,
                     const std::string& program, const std::string& call_key,
                     const std::string& text, bool stream, Ms timeout);

/// Sends a non-idempotent call, named by its reference, to one entry. The
/// entry is told the deadline, if one is given.
CallerReply SendBooking(Fleet& fleet, size_t entry,
                        const std::string& reference, Ms timeout,
                        Ms deadline = Ms{0});

/// A caller of one program, which keeps its own copy of the history to hold the
/// answers against.
class ProgramCaller {
 public:
  ProgramCaller(Fleet& fleet, std::string program, std::string workspace = "w")
      : fleet_(fleet),
        program_(std::move(program)),
        workspace_(std::move(workspace)) {}

  /// Sends one message and sends it again, each time at the next entry, until
  /// it is answered. False after the limit. An answer to another history is a
  /// failed check.
  bool SendUntilAnswered(const std::string& text, Ms limit, size_t entry = 0,
                         bool stream = false);

  const std::string& program() const { return program_; }
  size_t turns() const { return history_.size() / 2; }
  /// The last reply, answered or not.
  const CallerReply& last_reply() const { return last_reply_; }

 private:
  void CheckAnswer();

  Fleet& fleet_;
  std::string program_;
  std::string workspace_;
  std::vector<ChatMessage> history_;
  // Answers that were marked as not durable yet.
  size_t pending_turns_ = 0;
  CallerReply last_reply_;
};

/// How a booking ended for its caller.
enum class BookingOutcome : uint8_t { kAnswered, kNotRun, kUnknown, kNoReply };

struct Booking {
  std::string reference;
  BookingOutcome outcome = BookingOutcome::kNoReply;
  CallerReply last_reply;
};

/// Sends a booking until it is answered, or is said twice running and in the
/// same way to be unknown, or the limit is over. It ended as not run when every
/// reply said so.
Booking BookUntilSettled(Fleet& fleet, const std::string& reference, Ms limit,
                         size_t entry);

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_PROCESS_CALLER_H_

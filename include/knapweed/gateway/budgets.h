#ifndef KNAPWEED_GATEWAY_BUDGETS_H_
#define KNAPWEED_GATEWAY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "knapweed/gateway/shared_row.h"

/// Token budgets of programs, shared by all gateways: a row per program holds
/// what was spent and what running turns may still spend.
namespace knapweed::gateway {

enum class Reservation : uint8_t { kReserved, kExhausted, kUnavailable };

/// Reserves before a turn runs and settles after it ended. What a gateway that
/// died had reserved stays reserved: its turns may have spent all of it.
class Budgets {
 public:
  Budgets(asio::io_context& loop, Clock clock, SharedRows& rows)
      : loop_(loop), clock_(clock), rows_(rows) {}

  /// Sets `most` tokens of the program's `budget` aside. `name` is unique among
  /// all workspaces.
  Task<Reservation> Reserve(std::string name, uint64_t budget, uint64_t most,
                            Ms deadline);
  /// A reserved turn has ended: `spent` of its `most` tokens reached the
  /// caller. Written with the program's next turn, or soon by `Flush`.
  void Settle(const std::string& name, uint64_t most, uint64_t spent);
  /// Writes what was settled before `older_than` ago; call it regularly.
  Task<void> Flush(Ms older_than);
  bool HasUnsettled() const;

 private:
  struct Program {
    explicit Program(asio::io_context& loop) : freed(loop) {}
    CachedRow row;
    uint64_t ended_most = 0;
    uint64_t ended_spent = 0;
    Ms ended_at;
    Ms used_at;
    bool busy = false;
    Event freed;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  ProgramPtr Find(const std::string& name);
  Task<bool> Lock(Program& program, Ms deadline);
  static void Unlock(Program& program);
  Task<UpdateOutcome> Write(const std::string& name, Program& program,
                            uint64_t budget, uint64_t most, Ms deadline);
  void DropIdle();

  asio::io_context& loop_;
  Clock clock_;
  SharedRows& rows_;
  std::map<std::string, ProgramPtr> programs_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_BUDGETS_H_

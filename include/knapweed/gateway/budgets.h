#ifndef KNAPWEED_GATEWAY_BUDGETS_H_
#define KNAPWEED_GATEWAY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/shared_row.h"
#include "knapweed/gateway/swept_table.h"

/// Token budgets of programs, enforced jointly by all gateways. Each program
/// has one row in the store: the tokens spent so far and, for each gateway, an
/// allowance that this gateway may spend without another store call. Several
/// turns of a program thus cost one write, and a program in progress can
/// continue for a while when the store is unreachable.
namespace knapweed::gateway {

/// The decoded row of a program; `allowances` is keyed by gateway name.
struct BudgetState {
  /// Tokens set aside for one gateway. `at` is when the gateway last confirmed
  /// the allowance, on the store's clock.
  struct Allowance {
    uint64_t tokens = 0;
    Ms at;
  };

  uint64_t spent = 0;
  std::map<std::string, Allowance> allowances;
  /// When the row was last written, on the store's clock.
  Ms written_at;
};

/// A gateway's request to change a program's row: adds its spending and asks
/// for an allowance.
struct BudgetClaim {
  std::string gateway;
  uint64_t budget = 0;
  /// Tokens spent at this gateway and not yet written to the row.
  uint64_t spent = 0;
  /// Sum of the token limits of the turns running at this gateway.
  uint64_t running = 0;
  /// Token limit of the turn to start; 0 when the claim starts no turn.
  uint64_t max_tokens = 0;
  /// Current time on the store's clock.
  Ms now;
};

/// The result of `ApplyClaim`.
enum class ClaimVerdict : uint8_t {
  kGranted,
  /// The rest of the budget is too small for the turn, even if all other
  /// gateways returned their allowances.
  kExhausted,
  /// The turn may fit once another gateway returns unused tokens.
  kHeldElsewhere,
};

/// Applies a claim to a row: adds the claimed spending and sets the gateway's
/// allowance to what its turns need, plus extra tokens when the budget has
/// ample room. Allowances that other gateways have not confirmed for a while
/// count as spent. Leaves the row unchanged unless the claim is granted.
ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state);

/// Decodes the state of a row; skips malformed fields.
BudgetState DecodeBudget(const nlohmann::json& json);
nlohmann::json EncodeBudget(const BudgetState& state);

/// Describes the budget table to `RowSweeper`.
SweptTable BudgetTable();

/// The result of a request for tokens. `kUnavailable` means that the store did
/// not confirm any result in time.
enum class Reservation : uint8_t {
  kReserved,
  kExhausted,
  kHeldElsewhere,
  kUnavailable,
};
inline constexpr Reservation kLastReservation = Reservation::kUnavailable;

/// The result of `Budgets::Reserve`. `begins_program` is set when the program
/// has spent nothing and has no other turn in progress; `waited` is the time
/// since the program's first request for a reservation.
struct ReserveResult {
  Reservation reservation = Reservation::kUnavailable;
  bool begins_program = false;
  Ms waited;
};

/// Identifies the reservation of a turn, for settling it when the turn ends.
struct ReservationTicket {
  std::string program;
  /// Unique across all gateways.
  std::string turn;
  uint64_t max_tokens = 0;
  /// Peer address of the gateway that holds the reservation; empty when it is
  /// this gateway.
  Address home;
};

/// Path prefix of reservation requests on a gateway's peer address.
inline constexpr std::string_view kBudgetPrefix = "/budget";

/// Reserves tokens before a turn runs and settles the reservation after the
/// turn has ended. Each program has a home gateway, so that most claims for it
/// come from one gateway and need fewer writes; any other may claim from the
/// row itself. The allowances of a gateway that crashed count as spent,
/// since its turns may have spent all of them.
class Budgets {
 public:
  /// `gateway` names this gateway in budget rows and is unique to this process.
  /// `self` is its peer address.
  Budgets(asio::io_context& loop, const Clock& clock, Store& store,
          SharedRows& rows, PeerClients& clients, std::string gateway,
          const Address& self)
      : loop_(loop),
        clock_(clock),
        store_(store),
        rows_(rows),
        gateway_(std::move(gateway)),
        clients_(clients),
        peers_(clock, self) {}

  /// Reserves `ticket.max_tokens` tokens of the program's `budget` at the
  /// program's home, or at this gateway if the home does not answer. Waits
  /// until `deadline` at most. `ticket.program` must be unique across
  /// workspaces; `ticket.home` is filled in.
  Task<ReserveResult> Reserve(ReservationTicket& ticket, uint64_t budget,
                              Ms deadline);
  /// Ends the reservation of a turn of which `spent` tokens reached the caller.
  /// Does not block: a home at another gateway is notified in the background.
  void Settle(const ReservationTicket& ticket, uint64_t spent);
  /// From now on refuses reservations for turns of other gateways, after it has
  /// returned what it holds of the program, so that they can claim from the row
  /// themselves. Returns each allowance as soon as no turn needs it.
  void BeginHandover() { hands_over_ = true; }
  /// Returns whether a reservation between this gateway and another one is
  /// being made or not settled yet, and its turn may still be running.
  bool HasUnsettled() const;
  /// Handles a reserve or settle request from another gateway that chose this
  /// one as a program's home.
  Task<HttpResponse> AnswerPeer(const HttpRequest& call);
  /// Sets the peer addresses of the other serving gateways.
  void SetOthers(std::span<const Address> others) { peers_.SetOthers(others); }
  /// Writes pending spending to the store, returns allowances of programs that
  /// have been idle for a while and confirms those in use, until `until` at
  /// most. With `all`, returns every token that running turns do not need. Must
  /// be called periodically.
  Task<void> Flush(bool all, Ms until);

 private:
  struct Program {
    explicit Program(asio::io_context& loop) : unlocked(loop) {}
    CachedRow row;
    /// This gateway's allowance in tokens, as last written.
    uint64_t allowance = 0;
    /// When the allowance was last written.
    Ms allowed_at;
    /// Tokens spent here and not yet written.
    uint64_t spent = 0;
    /// Tokens spent by all gateways, as last read or written.
    uint64_t total_spent = 0;
    /// Sum of the token limits of the turns running here.
    uint64_t running = 0;
    Ms first_asked_at;
    Ms used_at;
    /// The outcome of the last write is not known.
    bool row_is_unsure = false;
    /// The last claim was granted more tokens than its turns needed.
    bool has_headroom = false;
    bool locked = false;
    Event unlocked;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  /// A reservation held here for a turn at another gateway. Counts as spent in
  /// full if it is not settled by `expires_at`.
  struct RemoteTurn {
    std::string program;
    uint64_t max_tokens = 0;
    Ms expires_at;
  };

  /// Programs that are due, shared by the coroutines that write them.
  struct FlushRun;

  Task<ReserveResult> ReserveHere(std::string name, uint64_t budget,
                                  uint64_t tokens, Ms deadline);
  /// The same for a program that the caller has locked.
  Task<ReserveResult> ReserveLocked(std::string name, ProgramPtr program,
                                    uint64_t budget, uint64_t tokens,
                                    Ms deadline);
  enum class HomeReply : uint8_t {
    kDecided,
    /// It reserved nothing, since it is stopping.
    kRefused,
    /// It may have made the reservation.
    kNone,
  };
  Task<HomeReply> ReserveAt(Address home, ReservationTicket ticket,
                            uint64_t budget, Ms deadline,
                            ReserveResult* result);
  void SettleHere(const std::string& name, uint64_t max_tokens, uint64_t spent);
  Task<void> SettleAt(ReservationTicket ticket, uint64_t spent);
  void ExpireRemote();
  ProgramPtr Find(const std::string& name);
  Task<bool> Lock(ProgramPtr program, Ms deadline);
  static void Unlock(Program& program);
  /// Runs a step of a locked program and unlocks it, also after an exception:
  /// left locked, it would keep its calls waiting for ever.
  template <typename Result>
  static Task<Result> ThenUnlock(ProgramPtr program, Task<Result> step);
  Task<Reservation> Claim(std::string name, ProgramPtr program, uint64_t budget,
                          uint64_t max_tokens, Ms deadline);
  Task<bool> WriteBack(std::string name, ProgramPtr program, bool release);
  /// The same for a program that the caller has locked.
  Task<bool> WriteLocked(std::string name, ProgramPtr program, bool release);
  Task<void> WriteDue(std::shared_ptr<FlushRun> run);
  /// Returns a program's tokens that no running turn needs, unless another step
  /// of it takes too long.
  Task<void> ReturnAllowance(std::string name);
  static bool HoldsMoreThanNeeded(const Program& program);
  bool IsIdle(const Program& program) const;
  void DropIdle();

  asio::io_context& loop_;
  const Clock& clock_;
  Store& store_;
  SharedRows& rows_;
  std::string gateway_;
  PeerClients& clients_;
  Peers peers_;
  std::map<std::string, ProgramPtr> programs_;
  std::map<std::string, RemoteTurn> remote_turns_;
  /// Settlements that are on their way to their home, and reservations for
  /// other gateways that are being made. Shared, since those that are cut off
  /// at the end of the process outlive this object.
  std::shared_ptr<size_t> under_way_ = std::make_shared<size_t>(0);
  bool hands_over_ = false;
  std::shared_ptr<FlushRun> last_flush_;
};

template <typename Result>
Task<Result> Budgets::ThenUnlock(ProgramPtr program, Task<Result> step) {
  Result result{};
  try {
    result = co_await std::move(step);
  } catch (...) {
    Unlock(*program);
    throw;
  }
  Unlock(*program);
  co_return result;
}

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_BUDGETS_H_

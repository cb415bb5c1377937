#ifndef KNAPWEED_GATEWAY_BUDGETS_H_
#define KNAPWEED_GATEWAY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/budget_row.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/shared_row.h"
#include "knapweed/gateway/turn_witness.h"

/// Token budgets of programs, enforced jointly by all gateways. Each program
/// has one row in the store: the tokens spent so far and, for each gateway, an
/// allowance that this gateway may spend without another store call. Several
/// turns of a program thus cost one write, and a program in progress can
/// continue for a while when the store is unreachable.
///
/// What was spent of an allowance whose gateway is gone is told by the
/// witnesses of its turns, which the row lists: the gateways that ran them, or
/// for turns that ran at the holder itself another one that the holder has told
/// before. Once asked, they let no turn begin on that lease any more, so that
/// it does not matter whether its holder is dead, paused or cut off. If one of
/// them does not answer, the allowance counts as spent in full after
/// `kAllowanceTtl`.
namespace knapweed::gateway {

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
  /// The lease on which the turn runs.
  LeaseKey lease;
  /// Another gateway than the one that asked, to which the holder has told the
  /// turn; empty if there is none.
  Address told;
};

/// A gateway's process that can witness turns; empty if there is none.
struct Witness {
  Address address;
  std::string process;

  bool empty() const { return process.empty(); }
};

/// A turn for which tokens are asked of a program's budget.
struct TurnToReserve {
  std::string program;
  /// Unique across all gateways.
  std::string turn;
  uint64_t budget = 0;
  uint64_t max_tokens = 0;
  Ms deadline;
  /// The other gateway that runs the turn, if it does.
  Witness runner;
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
  /// The lease on which the turn runs.
  LeaseKey lease;
  /// The gateway to which this one has told the turn, as the holder of its
  /// lease; empty if there is none.
  Address told;
};

/// Path prefix of reservation requests on a gateway's peer address.
inline constexpr std::string_view kBudgetPrefix = "/budget";

/// Reserves tokens before a turn runs and settles the reservation after the
/// turn has ended. Each program has a home gateway, so that most claims for it
/// come from one gateway and need fewer writes; any other may claim from the
/// row itself.
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
        peers_(clock, self),
        self_(self) {}

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
  /// What a write of a program's row changes here once it was made.
  struct RowWrite {
    /// Tokens that it adds to those spent.
    uint64_t spent = 0;
    /// This gateway's allowance after it; of no tokens if there is none.
    BudgetState::Allowance allowance;
    /// When it was prepared, on the local clock.
    Ms prepared_at;
    /// Leases that it takes over, with the turns that have not ended since.
    std::vector<TakenOverLease> taken_over;
    /// Tokens of those that have ended since.
    uint64_t settled = 0;

    /// Returns the token limits of the turns that it takes over.
    uint64_t RunningTokens() const;
  };

  struct Program {
    explicit Program(asio::io_context& loop) : unlocked(loop) {}
    CachedRow row;
    /// The lease of the allowance, as last written.
    BudgetLease lease;
    /// Reservations on earlier leases are void: another gateway has taken over
    /// what was left of them.
    uint64_t first_valid_lease = 0;
    /// The last write of the row, while it is not known whether it was made.
    /// The other fields tell the state before it; a turn may begin only if both
    /// states allow it, and nothing else is written before it is known.
    std::optional<RowWrite> unknown;
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
    LeaseKey lease;
    /// As in `ReserveResult`.
    Address told;
    /// It runs on a lease of another gateway whose takeover is the program's
    /// unknown write.
    bool is_unknown = false;
  };

  /// Programs that are due, shared by the coroutines that write them.
  struct FlushRun;

  Task<ReserveResult> ReserveHere(TurnToReserve turn);
  /// The same for a program that the caller has locked.
  Task<ReserveResult> ReserveLocked(TurnToReserve turn, ProgramPtr program);
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
  void SettleHere(const std::string& name, const LeaseKey& lease,
                  uint64_t max_tokens, uint64_t spent);
  /// Settles a reservation that is held for another gateway. Returns false if
  /// there is none.
  bool SettleRemote(const std::string& turn, uint64_t spent);
  /// Ends a reservation that is no longer among `remote_turns_`.
  void EndRemote(const RemoteTurn& held, const std::string& turn,
                 uint64_t spent);
  /// Sends a message until the peer has taken it, a few times at most.
  Task<bool> SendUntilTaken(Address peer, HttpRequest call);
  Task<void> SettleAt(Address home, std::string turn, uint64_t spent);
  /// Ends a turn that this gateway witnesses, here and at the gateway that has
  /// taken over its lease.
  void SettleWitnessed(const LeaseKey& lease, const std::string& turn,
                       uint64_t spent);
  /// Tells the witness of a turn that it has ended.
  Task<void> SettleTold(Address witness, LeaseKey lease, std::string turn,
                        uint64_t spent);
  void ExpireRemote();
  ProgramPtr Find(const std::string& name);
  Task<bool> Lock(ProgramPtr program, Ms deadline);
  static void Unlock(Program& program);
  /// Runs a step of a locked program and unlocks it, also after an exception:
  /// left locked, it would keep its calls waiting for ever.
  template <typename Result>
  static Task<Result> ThenUnlock(ProgramPtr program, Task<Result> step);
  enum class ClaimResult : uint8_t {
    kGranted,
    kExhausted,
    kHeldElsewhere,
    kUnavailable,
    /// Another gateway has taken over the lease of the program.
    kLost,
  };
  static ClaimResult ResultOf(ClaimVerdict verdict);
  /// One round of a reservation. Sets the lease of the turn and the gateway
  /// that was told of it.
  Task<ClaimResult> ReserveOnce(TurnToReserve turn, ProgramPtr program,
                                ReserveResult* result);
  /// Reserves without a claim by telling a witness that the row lists: it can't
  /// be told of the turn's runner now.
  Task<ClaimResult> ReserveByListed(TurnToReserve turn, ProgramPtr program,
                                    ReserveResult* result);
  static Reservation ReservationOf(ClaimResult result);
  /// Claims tokens for a turn on `lease`, which lists its witness. Takes over
  /// the leases of others that are in the way.
  Task<ClaimResult> Claim(TurnToReserve turn, ProgramPtr program,
                          BudgetLease lease);
  /// The same with the leases that were taken over so far. Sets `to_ask` to the
  /// others that are in the way, by holder, and then changes nothing.
  Task<ClaimResult> ClaimOnce(TurnToReserve turn, ProgramPtr program,
                              const BudgetClaim& base,
                              std::map<std::string, BudgetLease>* to_ask);
  /// Returns a lease as a claim asks for it, after a write that was unknown
  /// when the claim was prepared.
  static BudgetLease Rebase(const Program& program, BudgetLease asked);
  /// Applies a write that was made.
  void Adopt(const std::string& name, Program& program, const RowWrite& write);
  /// Keeps a write of which it is not known whether it was made.
  void KeepUnknown(const std::string& name, Program& program, RowWrite write);
  /// Finds out what became of the unknown write of a program, if there is one.
  /// Returns false if it can't be told.
  Task<bool> Resolve(std::string name, ProgramPtr program);
  /// Returns whether the row holds the allowance of the unknown write.
  bool HasAllowanceOf(const Program& program) const;
  /// Holds the turns that run on the leases that a write takes over.
  void HoldTurnsOf(const std::string& name, const Program& program,
                   const RowWrite& write);
  /// Drops those that are held for a write that was not made.
  void DropTurnsOf(const RowWrite& write);
  /// Asks the witnesses of a lease what was spent of it. Returns nothing unless
  /// all of them answer.
  Task<std::optional<TakenOverLease>> TakeOver(std::string name,
                                               std::string holder,
                                               BudgetLease lease);
  /// The same of one witness; adds what it tells.
  Task<bool> AskWitness(Witness witness, LeaseKey lease, TakenOverLease* taken);
  /// Returns the lease on which the next turn runs: that of the allowance, or a
  /// new one if it has none or the lease can't go on.
  BudgetLease NextLease(const Program& program, const Witness& runner);
  BudgetLease NewLease(const Program& program);
  /// Tells another gateway of a turn that its runner does not witness. Returns
  /// the witness; none if none answers. Replaces `lease` by a new one if one of
  /// its witnesses has gone or lets no turn begin on it.
  Task<Witness> TellTurn(TurnToReserve turn, const Program& program,
                         BudgetLease* lease);
  Task<Witness> TellTurnTo(Address address, TurnToReserve turn,
                           const Program& program, BudgetLease* lease);
  /// Returns whether another gateway has taken over the allowance.
  bool IsLost(const Program& program, const BudgetState& state) const;
  /// Voids what is held of a program of which `IsLost`.
  void LoseLease(Program& program) const;
  /// Returns whether a turn may begin on this lease without a claim.
  bool MayBegin(const Program& program, const BudgetLease& lease,
                const TurnToReserve& turn) const;
  HttpResponse AnswerSettle(const nlohmann::json& json);
  HttpResponse AnswerTold(const nlohmann::json& json);
  HttpResponse AnswerToldSettled(const nlohmann::json& json);
  HttpResponse AnswerTakeOver(const nlohmann::json& json);
  Task<HttpResponse> AnswerReserve(nlohmann::json json);
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
  TurnWitness witness_;
  Address self_;
  /// Number of the last lease that this process began, of any program.
  uint64_t last_lease_ = 0;
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

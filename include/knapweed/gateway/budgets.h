#ifndef KNAPWEED_GATEWAY_BUDGETS_H_
#define KNAPWEED_GATEWAY_BUDGETS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/gateway/shared_row.h"
#include "knapweed/gateway/swept_table.h"

/// Token budgets of programs, shared by all gateways. A row per program holds
/// what was spent and, under each gateway's name, what that gateway may spend
/// without asking again. A few turns of a program cost one write that way, and
/// a program under way goes on for a while when the store is away.
namespace knapweed::gateway {

/// What a program's row says.
struct BudgetState {
  /// An allowance in one gateway's name, and when it was last confirmed, on the
  /// store's clock.
  struct Allowance {
    uint64_t tokens = 0;
    Ms at;
  };

  uint64_t spent = 0;
  std::map<std::string, Allowance> allowances;
  /// When it was last written, on the store's clock.
  Ms written_at;
};

/// What a gateway wants to write.
struct BudgetClaim {
  std::string gateway;
  uint64_t budget = 0;
  /// Spent here and not written yet.
  uint64_t spent = 0;
  /// Most tokens of the turns that run here.
  uint64_t running = 0;
  /// Most tokens of the turn that is to begin; 0 when none is.
  uint64_t max_tokens = 0;
  /// On the store's clock.
  Ms now;
};

enum class ClaimVerdict : uint8_t {
  kGranted,
  /// The budget holds no further turn, whatever other gateways gave back.
  kExhausted,
  /// It may hold one more once another gateway gives back what it holds.
  kHeldElsewhere,
};

/// Applies a claim to a row: writes what was spent and sets the gateway's
/// allowance, with some tokens ahead where the budget has ample room. The row
/// is unchanged unless the claim is granted.
ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state);

BudgetState DecodeBudget(const nlohmann::json& json);
nlohmann::json EncodeBudget(const BudgetState& state);

/// The table of budgets, for the sweeper.
SweptTable BudgetTable();

enum class Reservation : uint8_t {
  kReserved,
  kExhausted,
  kHeldElsewhere,
  kUnavailable,
};

/// `begins` when the program has spent nothing and has no other turn under way;
/// `waited` is how long ago it first asked.
struct ReserveResult {
  Reservation reservation = Reservation::kUnavailable;
  bool begins_program = false;
  Ms waited;
};

/// A turn's reservation, for the one who is to settle it.
struct ReservationTicket {
  std::string program;
  /// Unique among all turns.
  std::string turn;
  uint64_t max_tokens = 0;
  /// The gateway that holds it; empty when it is this one.
  Address home;
};

/// Where a program's reservations are best made: the gateway that most others
/// choose for it as well. A hint that saves writes, not ownership: any gateway
/// may claim from the row for itself.
struct BudgetHome {
  Address address;
  bool is_self = true;
};

/// Chooses a home among gateways by highest random weight, so that gateways
/// that know the same others choose the same one.
BudgetHome ChooseHome(std::string_view program, const Address& self,
                      std::span<const Address> others);

/// Path on a gateway's peer address for reservations.
inline constexpr std::string_view kBudgetPrefix = "/budget";

/// Reserves before a turn runs and settles after it ended. What a gateway that
/// died was allowed counts as spent: its turns may have spent all of it.
class Budgets {
 public:
  /// `gateway` is unique to this process.
  Budgets(asio::io_context& loop, const Clock& clock, Store& store,
          SharedRows& rows, std::string gateway, Address self)
      : loop_(loop),
        clock_(clock),
        store_(store),
        rows_(rows),
        gateway_(std::move(gateway)),
        self_(std::move(self)) {}

  /// Sets `ticket.most` tokens of the program's `budget` aside until
  /// `deadline`, at the program's home if that answers. `ticket.program` is
  /// unique among all workspaces; `ticket.home` is filled in.
  Task<ReserveResult> Reserve(ReservationTicket& ticket, uint64_t budget,
                              Ms deadline);
  /// A reserved turn has ended: `spent` of its tokens reached the caller.
  void Settle(const ReservationTicket& ticket, uint64_t spent);
  /// Answers another gateway that takes this one for a program's home.
  Task<HttpResponse> AnswerPeer(const HttpRequest& call);
  /// Where the other serving gateways listen for peers.
  void SetOthers(std::vector<Address> others) { others_ = std::move(others); }
  /// Gives back the allowances of programs that have no turn here, or had none
  /// for a while unless `all`, and confirms those in use; call it regularly.
  Task<void> Flush(bool all);

 private:
  struct Program {
    explicit Program(asio::io_context& loop) : unlocked(loop) {}
    CachedRow row;
    /// Tokens in this gateway's name, as last written.
    uint64_t allowance = 0;
    Ms allowed_at;
    uint64_t spent = 0;
    /// Spent by all gateways, as last read or written.
    uint64_t total_spent = 0;
    uint64_t running = 0;
    Ms first_asked_at;
    Ms used_at;
    /// The last claim left tokens ahead.
    bool has_headroom = false;
    bool locked = false;
    Event unlocked;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  /// A reservation made here for another gateway. One that is never settled
  /// counts as spent in whole.
  struct RemoteTurn {
    std::string program;
    uint64_t max_tokens = 0;
    Ms expires_at;
  };

  Task<ReserveResult> ReserveHere(std::string name, uint64_t budget,
                                  uint64_t tokens, Ms deadline);
  Task<ReserveResult> ReserveAt(Address home, ReservationTicket ticket,
                                uint64_t budget, Ms deadline, bool* answered);
  void SettleHere(const std::string& name, uint64_t max_tokens, uint64_t spent);
  Task<void> SettleAt(ReservationTicket ticket, uint64_t spent);
  HttpClient& PeerAt(const Address& address);
  void ExpireRemote();
  ProgramPtr Find(const std::string& name);
  Task<bool> Lock(ProgramPtr program, Ms deadline);
  static void Unlock(Program& program);
  Task<Reservation> Claim(std::string name, ProgramPtr program, uint64_t budget,
                          uint64_t max_tokens, Ms deadline);
  Task<bool> WriteBack(std::string name, ProgramPtr program, bool release);
  bool IsIdle(const Program& program) const;
  void DropIdle();

  asio::io_context& loop_;
  const Clock& clock_;
  Store& store_;
  SharedRows& rows_;
  std::string gateway_;
  Address self_;
  std::vector<Address> others_;
  std::map<Address, std::unique_ptr<HttpClient>> peers_;
  /// Peers that did not answer are left alone until then.
  std::map<Address, Ms> avoid_until_;
  std::map<std::string, ProgramPtr> programs_;
  std::map<std::string, RemoteTurn> remote_turns_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_BUDGETS_H_

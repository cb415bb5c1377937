#include "knapweed/gateway/budgets.h"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

#include "knapweed/base/ids.h"
#include "knapweed/base/json.h"
#include "knapweed/base/log.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("budget");

/// Number of parts (partitions) of the budget table. The store commits about
/// 200 times a second per part, one commit after another; with 256 parts two
/// programs rarely wait for each other.
constexpr uint64_t kParts = 256;
constexpr char kTable[] = "budgets";
constexpr char kPartPrefix[] = "b";
/// A program without a call for this long is dropped from memory; its row stays
/// in the store.
constexpr Ms kDropIdleAfter{60000};
constexpr Ms kWriteBackTimeout{2000};
/// Writes of different programs that are under way at once: a slow store must
/// not keep allowances unconfirmed until they count as spent.
constexpr size_t kWritesAtOnce = 8;
/// A refusal is repeated for this long without reading the row again.
constexpr Ms kRefusalCacheTtl{200};
/// An allowance in use is confirmed at this interval. One that has not been
/// confirmed for `kAllowanceTtl` belongs to a gateway that crashed, and counts
/// as spent.
constexpr Ms kConfirmInterval{3000};
constexpr Ms kAllowanceTtl{12000};
/// A home that does not answer within this time is skipped; meanwhile this
/// gateway claims from the rows itself.
constexpr Ms kPeerTimeout{400};
/// Attempts to settle a turn at its home, and the pause after each.
constexpr int kSettleAttempts = 6;
constexpr Ms kSettlePause{300};
/// A reservation held for another gateway counts as spent in full when it is
/// not settled within this time after its deadline.
constexpr Ms kSettleGrace{6000};
/// Extra tokens in an allowance beyond what its turns need: half of what the
/// budget holds after another `kTurnsLeftOver` turns at their limit, up to the
/// limit of `kMaxTurnsAhead` turns. The rest stays available to other gateways.
constexpr uint64_t kMaxTurnsAhead = 8;
constexpr uint64_t kTurnsLeftOver = 4;
constexpr uint64_t kAheadDivisor = 2;
/// Idle time after which an allowance is returned. One with extra tokens is
/// kept longer, so that a program that meanwhile used another gateway still
/// finds it on its return. One of a tight budget is returned soon, since
/// another gateway may need the tokens.
constexpr Ms kIdleWithHeadroom{4000};
constexpr Ms kIdleWithoutHeadroom{350};

RowKey KeyOf(const std::string& name) {
  return {kTable, kPartPrefix + std::to_string(HashBytes(name) % kParts), name};
}

std::optional<Ms> ExpiresAt(std::string_view value, Ms retention) {
  const nlohmann::json row = ParseJson(value);
  if (!row.is_object() || !row.contains("state")) return std::nullopt;
  const BudgetState state = DecodeBudget(row["state"]);
  if (state.written_at == Ms{0}) return std::nullopt;
  return state.written_at + retention;
}

}  // namespace

BudgetState DecodeBudget(const nlohmann::json& json) {
  BudgetState state;
  if (!json.is_object()) return state;
  state.spent = CountField(json, "spent");
  state.written_at = MsField(json, "written_at").value_or(Ms{0});
  const nlohmann::json* allowances = FindField(json, "allowances");
  if (allowances == nullptr || !allowances->is_object()) return state;
  for (const auto& [gateway, item] : allowances->items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          item[0].is_number_unsigned() &&
                          MsOf(item[1]).has_value();
    if (!readable) continue;
    state.allowances[gateway] = {CountOf(item[0]), *MsOf(item[1])};
  }
  return state;
}

nlohmann::json EncodeBudget(const BudgetState& state) {
  nlohmann::json allowances = nlohmann::json::object();
  for (const auto& [gateway, allowance] : state.allowances) {
    allowances[gateway] = {allowance.tokens, allowance.at.count};
  }
  return {{"spent", state.spent},
          {"allowances", std::move(allowances)},
          {"written_at", state.written_at.count}};
}

SweptTable BudgetTable() { return {kTable, kPartPrefix, kParts, ExpiresAt}; }

ClaimVerdict ApplyClaim(const BudgetClaim& claim, BudgetState& state) {
  BudgetState next = state;
  next.spent += claim.spent;
  next.allowances.erase(claim.gateway);
  uint64_t held_elsewhere = 0;
  for (auto it = next.allowances.begin(); it != next.allowances.end();) {
    if (claim.now - it->second.at > kAllowanceTtl) {
      next.spent += it->second.tokens;
      it = next.allowances.erase(it);
    } else {
      held_elsewhere += it->second.tokens;
      ++it;
    }
  }
  const uint64_t needed = next.spent + claim.running + claim.max_tokens;
  if (claim.max_tokens > 0 && needed + held_elsewhere > claim.budget) {
    return needed > claim.budget || held_elsewhere == 0
               ? ClaimVerdict::kExhausted
               : ClaimVerdict::kHeldElsewhere;
  }
  uint64_t tokens = claim.running + claim.max_tokens;
  const uint64_t used = needed + held_elsewhere;
  const uint64_t kept = used + kTurnsLeftOver * claim.max_tokens;
  if (claim.max_tokens > 0 && kept < claim.budget) {
    tokens += std::min((claim.budget - kept) / kAheadDivisor,
                       kMaxTurnsAhead * claim.max_tokens);
  }
  if (tokens > 0) next.allowances[claim.gateway] = {tokens, claim.now};
  next.written_at = claim.now;
  state = std::move(next);
  return ClaimVerdict::kGranted;
}

Budgets::ProgramPtr Budgets::Find(const std::string& name) {
  ProgramPtr& program = programs_[name];
  if (program == nullptr) program = std::make_shared<Program>(loop_);
  program->used_at = clock_.Now();
  return program;
}

Task<bool> Budgets::Lock(ProgramPtr program, Ms deadline) {
  while (program->locked) {
    const Ms left = deadline - clock_.Now();
    if (left <= Ms{0}) co_return false;
    co_await program->unlocked.Wait(left);
  }
  program->locked = true;
  co_return true;
}

void Budgets::Unlock(Program& program) {
  program.locked = false;
  program.unlocked.Notify();
}

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

Task<Reservation> Budgets::Claim(std::string name, ProgramPtr program,
                                 uint64_t budget, uint64_t max_tokens,
                                 Ms deadline) {
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.budget = budget;
  claim.spent = program->spent;
  claim.running = program->running;
  claim.max_tokens = max_tokens;
  ClaimVerdict verdict = ClaimVerdict::kGranted;
  uint64_t allowance = 0;
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    program->total_spent = state.spent;
    claim.now = store_.StoreNow();
    verdict = ApplyClaim(claim, state);
    if (verdict != ClaimVerdict::kGranted) return false;
    allowance = state.allowances[gateway_].tokens;
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = KeyOf(name);
  const UpdateOutcome outcome = co_await rows_.Update(
      key, program->row, change, deadline, kRefusalCacheTtl);
  if (outcome == UpdateOutcome::kChanged) {
    program->spent -= claim.spent;
    program->row_is_unsure = false;
    program->allowance = allowance;
    program->has_headroom = allowance > program->running + max_tokens;
    program->allowed_at = clock_.Now();
    co_return Reservation::kReserved;
  }
  if (outcome == UpdateOutcome::kDeclined) {
    co_return verdict == ClaimVerdict::kExhausted ? Reservation::kExhausted
                                                  : Reservation::kHeldElsewhere;
  }
  // After an unknown outcome the row may hold a larger allowance than
  // `program->allowance`; the next write corrects it.
  co_return Reservation::kUnavailable;
}

Task<ReserveResult> Budgets::Reserve(ReservationTicket& ticket, uint64_t budget,
                                     Ms deadline) {
  const Home home = peers_.HomeOf(ticket.program);
  const bool ask_home = !home.is_self && peers_.MayAsk(home.address);
  if (ask_home) {
    ReserveResult result;
    const HomeReply reply =
        co_await ReserveAt(home.address, ticket, budget, deadline, &result);
    if (reply == HomeReply::kDecided) {
      ticket.home = home.address;
      co_return result;
    }
    peers_.Skip(home.address);
    if (reply == HomeReply::kNone) {
      ReservationTicket unused = ticket;
      unused.home = home.address;
      Settle(unused, 0);
    }
  }
  const ReserveResult result =
      co_await ReserveHere(ticket.program, budget, ticket.max_tokens, deadline);
  co_return result;
}

Task<Budgets::HomeReply> Budgets::ReserveAt(Address home,
                                            ReservationTicket ticket,
                                            uint64_t budget, Ms deadline,
                                            ReserveResult* result) {
  const nlohmann::json body = {
      {"program", ticket.program},
      {"turn", ticket.turn},
      {"budget", budget},
      {"most", ticket.max_tokens},
      {"time_ms", std::max((deadline - clock_.Now()).count, int64_t{1})}};
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kBudgetPrefix) + "/reserve";
  call.body = DumpJson(body);
  const HttpResponse raw = co_await clients_.At(home).Send(call, kPeerTimeout);
  const nlohmann::json json = ParseJson(raw.body);
  const nlohmann::json* reservation = FindField(json, "reservation");
  if (raw.status == 503) co_return HomeReply::kRefused;
  const bool decided = raw.status == 200 && reservation != nullptr &&
                       reservation->is_number_unsigned() &&
                       *reservation <= static_cast<uint64_t>(kLastReservation);
  if (!decided) co_return HomeReply::kNone;
  result->reservation = static_cast<Reservation>(reservation->get<uint64_t>());
  result->begins_program = FlagField(json, "begins");
  result->waited = MsField(json, "waited_ms").value_or(Ms{0});
  co_return HomeReply::kDecided;
}

void Budgets::Settle(const ReservationTicket& ticket, uint64_t spent) {
  if (ticket.home == Address{}) {
    SettleHere(ticket.program, ticket.max_tokens, spent);
    return;
  }
  Spawn(loop_, SettleAt(ticket, spent));
}

bool Budgets::HasUnsettled() const {
  // A turn that is not settled after its deadline is one of a gateway that has
  // gone.
  const Ms expires_after = clock_.Now() + kSettleGrace;
  const bool has_running = std::any_of(
      remote_turns_.begin(), remote_turns_.end(),
      [&](const auto& item) { return item.second.expires_at > expires_after; });
  return has_running || settling_ > 0 || reserving_ > 0;
}

Task<void> Budgets::SettleAt(ReservationTicket ticket, uint64_t spent) {
  ++settling_;
  const absl::Cleanup end = [this] { --settling_; };
  const nlohmann::json body = {{"turn", ticket.turn}, {"spent", spent}};
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kBudgetPrefix) + "/settle";
  call.body = DumpJson(body);
  for (int i = 0; i < kSettleAttempts; ++i) {
    const HttpResponse raw =
        co_await clients_.At(ticket.home).Send(call, kPeerTimeout);
    if (raw.status == 200) co_return;
    co_await Sleep(loop_, kSettlePause);
  }
  // The reservation expires at the home, which then counts it as spent in full.
  kLog.Info("Failed to settle a turn at its program's home gateway.",
            {{"program", ticket.program}, {"home", ticket.home.ToString()}});
}

Task<HttpResponse> Budgets::AnswerPeer(const HttpRequest& call) {
  HttpResponse answer;
  answer.status = 400;
  const nlohmann::json json = ParseJson(call.body);
  const std::string turn = TextField(json, "turn");
  if (turn.empty()) co_return answer;
  if (call.target.ends_with("/settle")) {
    // The reservation of an unknown turn may still be in progress; the caller
    // retries.
    answer.status = 404;
    const auto it = remote_turns_.find(turn);
    if (it == remote_turns_.end()) co_return answer;
    SettleHere(it->second.program, it->second.max_tokens,
               CountField(json, "spent"));
    remote_turns_.erase(it);
    answer.status = 200;
    co_return answer;
  }
  const std::string program = TextField(json, "program");
  if (hands_over_) {
    co_await ReturnAllowance(program);
    answer.status = 503;
    co_return answer;
  }
  ++reserving_;
  const absl::Cleanup end = [this] { --reserving_; };
  const uint64_t max_tokens = CountField(json, "most");
  const Ms deadline = clock_.Now() + MsField(json, "time_ms").value_or(Ms{0});
  const ReserveResult result = co_await ReserveHere(
      program, CountField(json, "budget"), max_tokens, deadline);
  if (result.reservation == Reservation::kReserved) {
    const auto old = remote_turns_.find(turn);
    if (old != remote_turns_.end()) {
      SettleHere(old->second.program, old->second.max_tokens,
                 old->second.max_tokens);
    }
    remote_turns_[turn] = {program, max_tokens, deadline + kSettleGrace};
  }
  answer.status = 200;
  answer.body = DumpJson({{"reservation", static_cast<int>(result.reservation)},
                          {"begins", result.begins_program},
                          {"waited_ms", result.waited.count}});
  co_return answer;
}

void Budgets::ExpireRemote() {
  const Ms now = clock_.Now();
  for (auto it = remote_turns_.begin(); it != remote_turns_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    SettleHere(it->second.program, it->second.max_tokens,
               it->second.max_tokens);
    it = remote_turns_.erase(it);
  }
}

Task<ReserveResult> Budgets::ReserveHere(std::string name, uint64_t budget,
                                         uint64_t tokens, Ms deadline) {
  const ProgramPtr program = Find(name);
  const bool locked = co_await Lock(program, deadline);
  if (!locked) co_return ReserveResult{};
  Task<ReserveResult> step =
      ReserveLocked(std::move(name), program, budget, tokens, deadline);
  co_return co_await ThenUnlock(program, std::move(step));
}

Task<ReserveResult> Budgets::ReserveLocked(std::string name, ProgramPtr program,
                                           uint64_t budget, uint64_t tokens,
                                           Ms deadline) {
  ReserveResult result;
  result.reservation = Reservation::kReserved;
  const bool lapsed =
      clock_.Now() - program->allowed_at > kAllowanceTtl - kConfirmInterval;
  if (lapsed ||
      program->spent + program->running + tokens > program->allowance) {
    result.reservation =
        co_await Claim(name, program, budget, tokens, deadline);
  }
  result.begins_program =
      program->total_spent + program->spent + program->running == 0;
  if (program->first_asked_at == Ms{0}) {
    program->first_asked_at = clock_.Now();
  }
  result.waited = clock_.Now() - program->first_asked_at;
  if (result.reservation == Reservation::kReserved) program->running += tokens;
  co_return result;
}

void Budgets::SettleHere(const std::string& name, uint64_t max_tokens,
                         uint64_t spent) {
  const ProgramPtr program = Find(name);
  program->running -= std::min(max_tokens, program->running);
  program->spent += spent;
}

Task<bool> Budgets::WriteBack(std::string name, ProgramPtr program,
                              bool release) {
  program->locked = true;
  Task<bool> step = WriteLocked(std::move(name), program, release);
  co_return co_await ThenUnlock(program, std::move(step));
}

Task<bool> Budgets::WriteLocked(std::string name, ProgramPtr program,
                                bool release) {
  BudgetClaim claim;
  claim.gateway = gateway_;
  claim.spent = program->spent;
  claim.running = program->running;
  if (!release) {
    claim.running = std::max(
        claim.running,
        program->allowance - std::min(program->spent, program->allowance));
  }
  const RowChange change = [&](nlohmann::json& json) {
    BudgetState state = DecodeBudget(json);
    claim.now = store_.StoreNow();
    ApplyClaim(claim, state);
    program->total_spent = state.spent;
    json = EncodeBudget(state);
    return true;
  };
  const RowKey key = KeyOf(name);
  const Ms deadline = clock_.Now() + kWriteBackTimeout;
  const UpdateOutcome outcome =
      co_await rows_.Update(key, program->row, change, deadline);
  if (outcome == UpdateOutcome::kChanged) {
    program->spent -= claim.spent;
    program->allowance = claim.running;
    program->allowed_at = clock_.Now();
  } else {
    // The row may have given back what is beyond this.
    program->allowance = std::min(program->allowance, claim.running);
  }
  program->row_is_unsure = outcome != UpdateOutcome::kChanged;
  co_return outcome == UpdateOutcome::kChanged;
}

Task<void> Budgets::ReturnAllowance(std::string name) {
  const auto it = programs_.find(name);
  if (it == programs_.end()) co_return;
  const ProgramPtr program = it->second;
  const bool locked = co_await Lock(program, clock_.Now() + kPeerTimeout / 2);
  if (!locked) co_return;
  if (!HoldsMoreThanNeeded(*program)) {
    Unlock(*program);
    co_return;
  }
  Task<bool> step = WriteLocked(std::move(name), program, true);
  co_await ThenUnlock(program, std::move(step));
}

bool Budgets::HoldsMoreThanNeeded(const Program& program) {
  return program.spent > 0 || program.allowance > program.running ||
         program.row_is_unsure;
}

bool Budgets::IsIdle(const Program& program) const {
  const Ms idle_for =
      program.has_headroom ? kIdleWithHeadroom : kIdleWithoutHeadroom;
  return program.running == 0 && clock_.Now() - program.used_at >= idle_for;
}

struct Budgets::FlushRun {
  explicit FlushRun(asio::io_context& loop) : ended(loop) {}
  std::deque<std::pair<std::string, ProgramPtr>> due;
  bool all = false;
  Ms until;
  size_t writers = 0;
  Event ended;
};

Task<void> Budgets::WriteDue(std::shared_ptr<FlushRun> run) {
  while (!run->due.empty() && clock_.Now() < run->until) {
    const auto [name, program] = std::move(run->due.front());
    run->due.pop_front();
    // What another coroutine writes now may keep more than running turns need.
    bool is_free = !program->locked;
    if (!is_free && run->all) {
      is_free = co_await Lock(program, run->until);
    }
    if (!is_free) continue;
    const bool release = run->all || hands_over_ || IsIdle(*program);
    const bool written = co_await WriteBack(name, program, release);
    if (!written && !store_.reachable()) run->due.clear();
  }
  --run->writers;
  run->ended.Notify();
}

Task<void> Budgets::Flush(bool all, Ms until) {
  ExpireRemote();
  const Ms now = clock_.Now();
  const auto run = std::make_shared<FlushRun>(loop_);
  run->all = all;
  run->until = until;
  if (all && last_flush_ != nullptr) last_flush_->due.clear();
  last_flush_ = run;
  for (const auto& [name, program] : programs_) {
    if (program->locked && !all) continue;
    const bool hands_over = hands_over_ && HoldsMoreThanNeeded(*program);
    const bool idle = all || hands_over || IsIdle(*program);
    const bool old = now - program->allowed_at >= kConfirmInterval;
    const bool is_written =
        program->allowance + program->spent > 0 || program->row_is_unsure;
    if (is_written && (idle || old)) {
      run->due.emplace_back(name, program);
    }
  }
  run->writers = std::min(kWritesAtOnce, run->due.size());
  const size_t writers = run->writers;
  for (size_t i = 0; i < writers; ++i) Spawn(loop_, WriteDue(run));
  while (run->writers > 0 && clock_.Now() < until) {
    co_await run->ended.Wait(until - clock_.Now());
  }
  DropIdle();
}

void Budgets::DropIdle() {
  const Ms before = clock_.Now() - kDropIdleAfter;
  std::erase_if(programs_, [&](const auto& item) {
    const Program& program = *item.second;
    return !program.locked && !program.row_is_unsure && program.running == 0 &&
           program.spent == 0 && program.allowance == 0 &&
           program.used_at < before;
  });
}

}  // namespace knapweed::gateway

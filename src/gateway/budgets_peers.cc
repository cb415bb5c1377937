// Reservations between gateways: at the home of a program, for turns of other
// gateways, and when the home stops.
#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <string>
#include <utility>

#include "knapweed/base/json.h"
#include "knapweed/base/log.h"
#include "knapweed/gateway/budgets.h"

namespace knapweed::gateway {
namespace {

constexpr Logger kLog("budget");

/// A home that does not answer within this time is skipped; meanwhile this
/// gateway claims from the rows itself.
constexpr Ms kPeerTimeout{400};
/// Attempts to settle a turn at its home, and the pause after each.
constexpr int kSettleAttempts = 6;
constexpr Ms kSettlePause{300};
/// A reservation held for another gateway counts as spent in full when it is
/// not settled within this time after its deadline.
constexpr Ms kSettleGrace{6000};

HttpRequest CallOf(std::string_view path, const nlohmann::json& body) {
  HttpRequest call;
  call.method = http::verb::post;
  call.target = std::string(kBudgetPrefix).append(path);
  call.body = DumpJson(body);
  return call;
}

HttpRequest SettleCall(const std::string& turn, uint64_t spent) {
  return CallOf("/settle", {{"turn", turn}, {"spent", spent}});
}

HttpRequest ToldSettledCall(const LeaseKey& lease, const std::string& turn,
                            uint64_t spent) {
  return CallOf("/told-settled", {{"program", lease.program},
                                  {"holder", lease.holder},
                                  {"lease", lease.number},
                                  {"turn", turn},
                                  {"spent", spent}});
}

LeaseKey LeaseOf(const nlohmann::json& json) {
  return {TextField(json, "program"), TextField(json, "holder"),
          CountField(json, "lease")};
}

}  // namespace

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
      ticket.lease = result.lease;
      co_return result;
    }
    peers_.Skip(home.address);
    if (reply == HomeReply::kNone) {
      Spawn(loop_, SettleAt(home.address, ticket.turn, 0));
    }
  }
  TurnToReserve turn;
  turn.program = ticket.program;
  turn.turn = ticket.turn;
  turn.budget = budget;
  turn.max_tokens = ticket.max_tokens;
  turn.deadline = deadline;
  const ReserveResult result = co_await ReserveHere(std::move(turn));
  ticket.lease = result.lease;
  ticket.told = result.told;
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
      {"time_ms", std::max((deadline - clock_.Now()).count, int64_t{1})},
      {"runner", self_.ToString()},
      {"process", gateway_}};
  const HttpRequest call = CallOf("/reserve", body);
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
  // The home has told another gateway, or is of a build that names no lease.
  const std::string holder = TextField(json, "holder");
  const bool is_witness = result->reservation == Reservation::kReserved &&
                          !holder.empty() && !FlagField(json, "told");
  if (!is_witness) co_return HomeReply::kDecided;
  result->lease = {ticket.program, holder, CountField(json, "lease")};
  const Ms now = clock_.Now();
  const bool may_begin =
      witness_.Begin(result->lease, ticket.turn,
                     {ticket.max_tokens, deadline + kSettleGrace}, now);
  co_return may_begin ? HomeReply::kDecided : HomeReply::kNone;
}

void Budgets::Settle(const ReservationTicket& ticket, uint64_t spent) {
  if (ticket.home != Address{}) {
    SettleWitnessed(ticket.lease, ticket.turn, spent);
    Spawn(loop_, SettleAt(ticket.home, ticket.turn, spent));
    return;
  }
  SettleHere(ticket.program, ticket.lease, ticket.max_tokens, spent);
  if (ticket.told != Address{}) {
    Spawn(loop_, SettleTold(ticket.told, ticket.lease, ticket.turn, spent));
  }
}

bool Budgets::HasUnsettled() const {
  // A turn that is not settled after its deadline is one of a gateway that has
  // gone.
  const Ms expires_after = clock_.Now() + kSettleGrace;
  const bool has_running = std::any_of(
      remote_turns_.begin(), remote_turns_.end(),
      [&](const auto& item) { return item.second.expires_at > expires_after; });
  return has_running || *under_way_ > 0;
}

Task<bool> Budgets::SendUntilTaken(Address peer, HttpRequest call) {
  ++*under_way_;
  const absl::Cleanup end = [count = under_way_] { --*count; };
  for (int i = 0; i < kSettleAttempts; ++i) {
    const HttpResponse raw =
        co_await clients_.At(peer).Send(call, kPeerTimeout);
    if (raw.status == 200) co_return true;
    co_await Sleep(loop_, kSettlePause);
  }
  co_return false;
}

Task<void> Budgets::SettleAt(Address home, std::string turn, uint64_t spent) {
  const bool taken = co_await SendUntilTaken(home, SettleCall(turn, spent));
  if (taken) co_return;
  // The reservation expires at the home, which then counts it as spent in full.
  kLog.Info("Failed to settle a turn at its program's home gateway.",
            {{"turn", turn}, {"home", home.ToString()}});
}

void Budgets::SettleWitnessed(const LeaseKey& lease, const std::string& turn,
                              uint64_t spent) {
  const Address successor = witness_.Settle(lease, turn, spent, clock_.Now());
  if (successor == Address{}) return;
  if (successor == self_) {
    SettleRemote(turn, spent);
  } else {
    Spawn(loop_, SettleAt(successor, turn, spent));
  }
}

Task<void> Budgets::SettleTold(Address witness, LeaseKey lease,
                               std::string turn, uint64_t spent) {
  co_await SendUntilTaken(witness, ToldSettledCall(lease, turn, spent));
}

bool Budgets::SettleRemote(const std::string& turn, uint64_t spent) {
  const auto it = remote_turns_.find(turn);
  if (it == remote_turns_.end()) return false;
  const RemoteTurn held = std::move(it->second);
  remote_turns_.erase(it);
  EndRemote(held, turn, spent);
  if (held.told != Address{}) {
    Spawn(loop_, SettleTold(held.told, held.lease, turn, spent));
  }
  return true;
}

Task<Witness> Budgets::TellTurnTo(Address address, TurnToReserve turn,
                                  const Program& program, BudgetLease* lease) {
  // A second time on a new lease.
  constexpr int kTries = 2;
  for (int i = 0; i < kTries; ++i) {
    const Ms left = turn.deadline - clock_.Now();
    const HttpRequest call = CallOf("/told", {{"program", turn.program},
                                              {"holder", gateway_},
                                              {"lease", lease->number},
                                              {"turn", turn.turn},
                                              {"most", turn.max_tokens},
                                              {"time_ms", left.count}});
    const HttpResponse raw =
        co_await clients_.At(address).Send(call, kPeerTimeout);
    const std::string process = TextField(ParseJson(raw.body), "process");
    if (process.empty()) {
      peers_.Skip(address);
      if (lease->witnesses.contains(address)) *lease = NewLease(program);
      co_return Witness{};
    }
    const auto known = lease->witnesses.find(address);
    const bool has_restarted =
        known != lease->witnesses.end() && known->second != process;
    if (raw.status == 200 && !has_restarted) {
      co_return Witness{address, process};
    }
    *lease = NewLease(program);
  }
  co_return Witness{};
}

Task<Witness> Budgets::TellTurn(TurnToReserve turn, const Program& program,
                                BudgetLease* lease) {
  std::vector<Address> candidates;
  for (const auto& [address, process] : lease->witnesses) {
    if (address != self_ && peers_.MayAsk(address)) {
      candidates.push_back(address);
    }
  }
  constexpr size_t kMaxOthers = 2;
  for (const Address& other : peers_.FirstReachable(turn.program, kMaxOthers)) {
    candidates.push_back(other);
  }
  for (const Address& candidate : candidates) {
    if (!peers_.MayAsk(candidate)) continue;
    const Witness witness =
        co_await TellTurnTo(candidate, turn, program, lease);
    if (!witness.empty()) co_return witness;
  }
  co_return Witness{};
}

Task<bool> Budgets::AskWitness(Witness witness, LeaseKey lease,
                               TakenOverLease* taken) {
  if (witness.address == self_) {
    if (witness.process != gateway_) co_return false;
    const WitnessedLease& known = witness_.Close(lease, self_, clock_.Now());
    taken->settled += known.settled;
    taken->running.insert(known.running.begin(), known.running.end());
    co_return true;
  }
  if (!peers_.MayAsk(witness.address)) co_return false;
  const HttpRequest call =
      CallOf("/take-over", {{"program", lease.program},
                            {"holder", lease.holder},
                            {"lease", lease.number},
                            {"successor", self_.ToString()}});
  const HttpResponse raw =
      co_await clients_.At(witness.address).Send(call, kPeerTimeout);
  const nlohmann::json json = ParseJson(raw.body);
  const nlohmann::json* running = FindField(json, "running");
  const bool is_told = raw.status == 200 && running != nullptr &&
                       running->is_object() && json.contains("settled") &&
                       TextField(json, "process") == witness.process;
  if (!is_told) {
    if (raw.status == 0) peers_.Skip(witness.address);
    co_return false;
  }
  taken->settled += CountField(json, "settled");
  const Ms now = clock_.Now();
  for (const auto& [turn, item] : running->items()) {
    const bool readable = item.is_array() && item.size() == 2 &&
                          item[0].is_number_unsigned() &&
                          MsOf(item[1]).has_value();
    if (!readable) co_return false;
    taken->running[turn] = {CountOf(item[0]), now + *MsOf(item[1])};
  }
  co_return true;
}

Task<std::optional<TakenOverLease>> Budgets::TakeOver(std::string name,
                                                      std::string holder,
                                                      BudgetLease lease) {
  TakenOverLease taken;
  taken.holder = holder;
  taken.number = lease.number;
  const LeaseKey key{name, holder, lease.number};
  bool all_told = true;
  for (const auto& [address, process] : lease.witnesses) {
    const Witness witness{address, process};
    if (!all_told) break;
    all_told = co_await AskWitness(witness, key, &taken);
  }
  kLog.Info("Asked what was spent of another gateway's allowance.",
            {{"program", name},
             {"holder", holder},
             {"lease", lease.number},
             {"witnesses", lease.witnesses.size()},
             {"all_told", all_told ? 1 : 0},
             {"settled", taken.settled},
             {"flushed", lease.flushed},
             {"running", taken.RunningTokens()}});
  if (!all_told) co_return std::nullopt;
  co_return taken;
}

Task<HttpResponse> Budgets::AnswerPeer(const HttpRequest& call) {
  HttpResponse answer;
  answer.status = 400;
  const nlohmann::json json = ParseJson(call.body);
  if (!json.is_object()) co_return answer;
  std::string_view path = call.target;
  path.remove_prefix(kBudgetPrefix.size());
  if (path == "/take-over") co_return AnswerTakeOver(json);
  if (TextField(json, "turn").empty()) co_return answer;
  if (path == "/settle") co_return AnswerSettle(json);
  if (path == "/told") co_return AnswerTold(json);
  if (path == "/told-settled") co_return AnswerToldSettled(json);
  answer.status = 404;
  if (path == "/reserve") {
    answer = co_await AnswerReserve(json);
  }
  co_return answer;
}

HttpResponse Budgets::AnswerSettle(const nlohmann::json& json) {
  // The reservation of an unknown turn may still be in progress; the caller
  // retries.
  HttpResponse answer;
  const bool settled =
      SettleRemote(TextField(json, "turn"), CountField(json, "spent"));
  answer.status = settled ? 200 : 404;
  return answer;
}

HttpResponse Budgets::AnswerTold(const nlohmann::json& json) {
  const Ms now = clock_.Now();
  const Ms left = MsField(json, "time_ms").value_or(Ms{0});
  const bool may_begin = witness_.Begin(
      LeaseOf(json), TextField(json, "turn"),
      {CountField(json, "most"), now + left + kSettleGrace}, now);
  HttpResponse answer;
  answer.status = may_begin ? 200 : 409;
  answer.body = DumpJson({{"process", gateway_}});
  return answer;
}

HttpResponse Budgets::AnswerToldSettled(const nlohmann::json& json) {
  SettleWitnessed(LeaseOf(json), TextField(json, "turn"),
                  CountField(json, "spent"));
  HttpResponse answer;
  answer.status = 200;
  return answer;
}

HttpResponse Budgets::AnswerTakeOver(const nlohmann::json& json) {
  HttpResponse answer;
  answer.status = 400;
  Address successor;
  if (!ParseAddress(TextField(json, "successor"), &successor)) return answer;
  const Ms now = clock_.Now();
  const WitnessedLease& known = witness_.Close(LeaseOf(json), successor, now);
  nlohmann::json running = nlohmann::json::object();
  for (const auto& [turn, held] : known.running) {
    running[turn] = {held.max_tokens,
                     std::max(held.expires_at - now, Ms{0}).count};
  }
  answer.status = 200;
  answer.body = DumpJson({{"process", gateway_},
                          {"settled", known.settled},
                          {"running", std::move(running)}});
  return answer;
}

Task<HttpResponse> Budgets::AnswerReserve(nlohmann::json json) {
  HttpResponse answer;
  TurnToReserve turn;
  turn.program = TextField(json, "program");
  if (hands_over_) {
    co_await ReturnAllowance(turn.program);
    answer.status = 503;
    co_return answer;
  }
  ++*under_way_;
  const absl::Cleanup end = [count = under_way_] { --*count; };
  turn.turn = TextField(json, "turn");
  turn.budget = CountField(json, "budget");
  turn.max_tokens = CountField(json, "most");
  turn.deadline = clock_.Now() + MsField(json, "time_ms").value_or(Ms{0});
  if (ParseAddress(TextField(json, "runner"), &turn.runner.address)) {
    turn.runner.process = TextField(json, "process");
  }
  const ReserveResult result = co_await ReserveHere(turn);
  if (result.reservation == Reservation::kReserved) {
    // Of an earlier try of the same turn.
    SettleRemote(turn.turn, turn.max_tokens);
    remote_turns_[turn.turn] = {turn.program, turn.max_tokens,
                                turn.deadline + kSettleGrace, result.lease,
                                result.told};
  }
  answer.status = 200;
  answer.body = DumpJson({{"reservation", static_cast<int>(result.reservation)},
                          {"begins", result.begins_program},
                          {"waited_ms", result.waited.count},
                          {"holder", gateway_},
                          {"lease", result.lease.number},
                          {"told", result.told != Address{}}});
  co_return answer;
}

void Budgets::ExpireRemote() {
  const Ms now = clock_.Now();
  witness_.Expire(now);
  for (auto it = remote_turns_.begin(); it != remote_turns_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    const auto expired = remote_turns_.extract(it++);
    const RemoteTurn& held = expired.mapped();
    EndRemote(held, expired.key(), held.max_tokens);
  }
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

}  // namespace knapweed::gateway

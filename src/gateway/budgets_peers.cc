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
  return has_running || *under_way_ > 0;
}

Task<void> Budgets::SettleAt(ReservationTicket ticket, uint64_t spent) {
  ++*under_way_;
  const absl::Cleanup end = [count = under_way_] { --*count; };
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
  ++*under_way_;
  const absl::Cleanup end = [count = under_way_] { --*count; };
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

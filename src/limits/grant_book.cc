#include "knapweed/limits/grant_book.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Arrivals are averaged over about this long.
constexpr Ms kDemandSpan = Seconds(1);
/// A workspace without calls for this long is forgotten.
constexpr Ms kQuietAfter = Seconds(10);
constexpr uint32_t kMaxWant = 64;
/// The part of the calls expected while a grant is valid that is asked for
/// ahead; the rest would often expire unused.
constexpr double kAskAhead = 0.8;

}  // namespace

bool GrantBook::TakeAtHand(const WorkspaceId& workspace, Ms now) {
  Account& account = accounts_[workspace];
  const double age = (now - account.last_call).Seconds();
  account.recent_calls =
      account.recent_calls * std::exp(-age / kDemandSpan.Seconds()) + 1;
  account.last_call = now;
  std::erase_if(account.held, [&](const Held& held) {
    return held.tokens == 0 || now > held.expires_at;
  });
  if (account.held.empty()) return false;
  --account.held.front().tokens;
  return true;
}

uint32_t GrantBook::StartQuestion(const WorkspaceId& workspace) {
  Account& account = accounts_[workspace];
  // Only one question at a time asks ahead.
  if (++account.questions > 1) return 1;
  const double per_s = (account.recent_calls - 1) / kDemandSpan.Seconds();
  const double ahead = per_s * account.valid.Seconds() * kAskAhead;
  const double want = 1 + std::floor(std::max(0.0, ahead));
  return static_cast<uint32_t>(std::min<double>(want, kMaxWant));
}

GrantedStart GrantBook::OnAnswer(const WorkspaceId& workspace,
                                 const BucketAnswer& answer, Ms asked_at,
                                 Ms now) {
  Account& account = accounts_[workspace];
  if (account.questions > 0) --account.questions;
  account.valid = answer.valid;
  const Ms expires_at = asked_at + answer.start_after + answer.valid;
  if (answer.granted > 1)
    account.held.push_back({answer.granted - 1, expires_at});
  return GrantedStart{now + answer.start_after, expires_at};
}

void GrantBook::OnNoAnswer(const WorkspaceId& workspace) {
  Account& account = accounts_[workspace];
  if (account.questions > 0) --account.questions;
}

void GrantBook::Prune(Ms now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& account = it->second;
    std::erase_if(account.held, [&](const Held& held) {
      return held.tokens == 0 || now > held.expires_at;
    });
    const bool quiet = account.held.empty() && account.questions == 0 &&
                       now - account.last_call > kQuietAfter;
    it = quiet ? accounts_.erase(it) : std::next(it);
  }
}

}  // namespace knapweed

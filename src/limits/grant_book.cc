#include "knapweed/limits/grant_book.h"

#include <algorithm>
#include <cmath>

namespace knapweed {
namespace {

/// Time constant of the moving average of arrivals.
constexpr Ms kDemandWindow = Seconds(1);
/// Workspaces without calls for this long are removed.
constexpr Ms kIdleTimeout = Seconds(10);
constexpr uint32_t kMaxTokensPerRequest = 64;
/// Share of the calls expected during the validity of a grant for which tokens
/// are requested in advance. More of them would often expire unused.
constexpr double kPrefetchShare = 0.8;

}  // namespace

bool GrantBook::UseHeldToken(const WorkspaceId& workspace, Ms now) {
  Account& account = accounts_[workspace];
  const double age = (now - account.last_call).Seconds();
  account.recent_calls =
      account.recent_calls * std::exp(-age / kDemandWindow.Seconds()) + 1;
  account.last_call = now;
  std::erase_if(account.held, [&](const HeldGrant& held) {
    return held.tokens == 0 || now > held.expires_at;
  });
  if (account.held.empty()) return false;
  --account.held.front().tokens;
  return true;
}

uint32_t GrantBook::StartRequest(const WorkspaceId& workspace) {
  Account& account = accounts_[workspace];
  // Only one request at a time asks for tokens in advance.
  if (++account.requests_in_flight > 1) return 1;
  const double per_s = (account.recent_calls - 1) / kDemandWindow.Seconds();
  const double prefetch = per_s * account.valid.Seconds() * kPrefetchShare;
  const double want = 1 + std::floor(std::max(0.0, prefetch));
  return static_cast<uint32_t>(std::min<double>(want, kMaxTokensPerRequest));
}

GrantedStart GrantBook::OnResponse(const WorkspaceId& workspace,
                                   const BucketResponse& response,
                                   Ms requested_at, Ms now) {
  Account& account = accounts_[workspace];
  if (account.requests_in_flight > 0) --account.requests_in_flight;
  account.valid = response.valid;
  const Ms expires_at = requested_at + response.start_after + response.valid;
  if (response.granted > 1)
    account.held.push_back({response.granted - 1, expires_at});
  return GrantedStart{now + response.start_after, expires_at};
}

void GrantBook::OnRequestFailure(const WorkspaceId& workspace) {
  Account& account = accounts_[workspace];
  if (account.requests_in_flight > 0) --account.requests_in_flight;
}

void GrantBook::Prune(Ms now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    Account& account = it->second;
    std::erase_if(account.held, [&](const HeldGrant& held) {
      return held.tokens == 0 || now > held.expires_at;
    });
    const bool idle = account.held.empty() && account.requests_in_flight == 0 &&
                      now - account.last_call > kIdleTimeout;
    it = idle ? accounts_.erase(it) : std::next(it);
  }
}

}  // namespace knapweed

#ifndef KNAPWEED_GATEWAY_ANNOUNCEMENT_H_
#define KNAPWEED_GATEWAY_ANNOUNCEMENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "knapweed/base/settings.h"
#include "knapweed/gateway/grant_ledger.h"
#include "knapweed/gateway/permit_book.h"
#include "knapweed/gateway/quotas.h"

/// The row by which a gateway tells the others that it runs, and what it has
/// admitted.
namespace knapweed::gateway {

/// What one gateway publishes about itself.
struct Announcement {
  Address peer_address;
  /// When it was published, on the store's clock.
  Ms at;
  UseByWorkspace use;
  /// Records of `CrashWatch`, which decodes them.
  nlohmann::json crashes = nlohmann::json::array();
  /// Limits of upstreams that it grants; times are on the store's clock.
  std::vector<LimitRecord> limits;
  /// The permits that the process has granted and that still count; unset if it
  /// does not know all.
  std::optional<AnnouncedGrants> granted;
  /// It grants no more.
  bool stopped = false;
};

/// Table with one row a gateway, which holds its announcement.
inline constexpr char kGatewayTable[] = "gateways";

/// Returns whether a value is a number that can count calls: of at least 0 and
/// of a size that sums stay finite.
bool IsRate(const nlohmann::json& value);

/// Encodes the use of workspaces as the fields "use" and "admitted" of a
/// message, and decodes these fields. Skips the use of a workspace that is
/// malformed.
nlohmann::json EncodeUse(const UseByWorkspace& use);
UseByWorkspace DecodeUse(const nlohmann::json& message);

std::string EncodeAnnouncement(const Announcement& announcement);

/// Decodes a row's value. Skips the usage of a workspace and the limit of an
/// upstream that are malformed. Returns InvalidArgument if the address or the
/// time is missing. A row of a build that does not publish admitted calls has
/// its demand in their place.
absl::StatusOr<Announcement> DecodeAnnouncement(std::string_view bytes);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_ANNOUNCEMENT_H_

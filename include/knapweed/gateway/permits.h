#ifndef KNAPWEED_GATEWAY_PERMITS_H_
#define KNAPWEED_GATEWAY_PERMITS_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "knapweed/base/metrics.h"
#include "knapweed/gateway/peers.h"
#include "knapweed/gateway/permit_book.h"
#include "knapweed/gateway/permit_owners.h"

/// Permits for the calls of workspaces with a rate. Each attempt that may run a
/// call needs one, which the holder of one of the workspace's slots grants. All
/// gateways together grant no more in a window than the platform tolerates,
/// whatever they know of each other.
namespace knapweed::gateway {

/// Path of requests for permits on a gateway's peer address.
inline constexpr std::string_view kPermitPath = "/rate/permit";

/// A permit that is held, by which it can be returned.
struct Permit {
  Address owner;
  uint64_t id = 0;
};

/// The outcome of a request for a permit.
struct PermitResult {
  std::optional<Permit> permit;
  /// No holder that answered had one left, but some did not answer.
  bool unsure = false;
  /// Set when no permit was granted.
  Ms retry_after;
};

/// Asks the holders of slots for permits and answers as one. `Gateway` owns it.
/// Not thread-safe.
class Permits {
 public:
  /// Returns the workspace in the configuration in force; null if there is
  /// none.
  using FindByName = std::function<const Workspace*(std::string_view name)>;

  /// `self` is this gateway's peer address and `name` its name; `send` reaches
  /// the others.
  Permits(asio::io_context& loop, const Clock& clock, Metrics& metrics,
          QuotaTolerance tolerance, const Address& self, std::string name,
          SendToPeer send, FindByName find);

  /// Takes a permit for one attempt of a call.
  Task<PermitResult> Take(Workspace workspace);
  /// Returns a permit that no attempt has used, to its owner in the background.
  void Return(const std::string& workspace, const Permit& permit);
  /// Handles another gateway's request for a permit or its return of one.
  HttpResponse AnswerPeer(const HttpRequest& call);
  void SetTolerance(QuotaTolerance tolerance);
  /// Ends all granting.
  void Stop() { slots_.Stop(); }
  /// Takes over what an earlier process of this gateway announced, `age` before
  /// this one read it. Without it, slots that it may have held rest.
  void TakeOver(const AnnouncedGrants& granted, bool had_stopped, Ms age);
  /// Forgets what is out of date.
  void RemoveOld();

  RateSlots& slots() { return slots_; }
  PermitBook& book() { return book_; }

 private:
  /// Asks one holder after the other until one grants a permit.
  Task<PermitResult> AskHolders(const Workspace& workspace);
  void CountOutcome(std::string_view from);
  /// Gets a holder's answer; nothing if there is none within the time.
  Task<std::optional<PermitGrant>> Ask(Address owner, std::string workspace);
  HttpResponse AnswerRequest(const std::string& name);
  Task<void> SendReturn(std::string workspace, Permit permit);

  asio::io_context& loop_;
  const Clock& clock_;
  Metrics& metrics_;
  QuotaTolerance tolerance_;
  Address self_;
  SendToPeer send_;
  FindByName find_;
  Ms started_at_;
  RateSlots slots_;
  PermitBook book_;
  PermitOwners owners_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_PERMITS_H_

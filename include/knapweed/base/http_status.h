#ifndef KNAPWEED_BASE_HTTP_STATUS_H_
#define KNAPWEED_BASE_HTTP_STATUS_H_

#include <cstdint>

/// Which answers a status line may begin. Parsers take any three digits.
namespace knapweed {

/// What a message with a status is to the sender of a request.
enum class StatusKind : uint8_t {
  /// Another answer follows it, and it has no body.
  kInterim,
  kFinal,
  /// HTTP does not define it, or it answers something that was not asked for.
  /// What follows on its connection can't be read.
  kInvalid,
};

/// Returns the kind of a message with this status. The request must not have
/// asked for another protocol, which 101 would answer.
constexpr StatusKind StatusKindOf(unsigned status) {
  constexpr unsigned kSwitchingProtocols = 101;
  if (status < 100 || status > 599) return StatusKind::kInvalid;
  if (status == kSwitchingProtocols) return StatusKind::kInvalid;
  return status < 200 ? StatusKind::kInterim : StatusKind::kFinal;
}

/// Returns the kind of the message that a parser of Beast holds. An interim
/// answer that states a body is invalid: the body would be read as the next
/// answer.
template <typename Header>
StatusKind StatusKindOfHead(const Header& header) {
  const StatusKind kind = StatusKindOf(header.result_int());
  const bool states_body = header.count("Content-Length") > 0 ||
                           header.count("Transfer-Encoding") > 0;
  return kind == StatusKind::kInterim && states_body ? StatusKind::kInvalid
                                                     : kind;
}

}  // namespace knapweed

#endif  // KNAPWEED_BASE_HTTP_STATUS_H_

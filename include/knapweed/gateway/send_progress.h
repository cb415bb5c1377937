#ifndef KNAPWEED_GATEWAY_SEND_PROGRESS_H_
#define KNAPWEED_GATEWAY_SEND_PROGRESS_H_

#include <cstdint>

/// Progress of a peer that reads, as the kernel sees it.
namespace knapweed::gateway {

struct SendProgress {
  /// Acknowledged by the peer since the connection was opened.
  uint64_t acknowledged_bytes = 0;
  /// Written, but not yet acknowledged.
  bool has_unacknowledged = false;
};

/// Returns the progress of a TCP socket; zeros if the kernel does not tell.
SendProgress ReadSendProgress(int socket);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_SEND_PROGRESS_H_

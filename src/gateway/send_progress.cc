#include "knapweed/gateway/send_progress.h"

// The C library's <netinet/tcp.h>, which Asio includes, has an older tcp_info
// without the count and can't be included together with this header.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace knapweed::gateway {

SendProgress ReadSendProgress(int socket) {
  SendProgress progress;
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
    progress.acknowledged_bytes = info.tcpi_bytes_acked;
  }
  int queued = 0;
  progress.has_unacknowledged =
      ioctl(socket, SIOCOUTQ, &queued) == 0 && queued > 0;
  return progress;
}

}  // namespace knapweed::gateway

#include "standins/free_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>

namespace knapweed {
namespace {

constexpr uint32_t kLowestPort = 10000;
constexpr uint32_t kPortCount = 20000;
constexpr uint32_t kPortsPerProcess = 97;

bool CanBind(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

}  // namespace

Address FreeLoopbackAddress() {
  static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) *
                                    kPortsPerProcess};
  for (uint32_t i = 0; i < kPortCount; ++i) {
    const auto port =
        static_cast<uint16_t>(kLowestPort + next.fetch_add(1) % kPortCount);
    if (CanBind(port)) return Address{"127.0.0.1", port};
  }
  std::abort();
}

}  // namespace knapweed

#ifndef KNAPWEED_ENTRY_SIDECAR_WATCH_H_
#define KNAPWEED_ENTRY_SIDECAR_WATCH_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "knapweed/entry/upstream_directory.h"
#include "knapweed/membership/membership.h"

namespace knapweed {

/// Brings the registered sidecars into the upstream directory, on a thread of
/// its own.
class SidecarWatch {
 public:
  SidecarWatch(const Membership& membership, UpstreamDirectory& upstreams);
  ~SidecarWatch();
  SidecarWatch(const SidecarWatch&) = delete;
  SidecarWatch& operator=(const SidecarWatch&) = delete;

  void Start();

 private:
  void Loop();

  const Membership& membership_;
  UpstreamDirectory& upstreams_;
  std::mutex mu_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace knapweed

#endif  // KNAPWEED_ENTRY_SIDECAR_WATCH_H_

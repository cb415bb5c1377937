#include "knapweed/entry/sidecar_watch.h"

#include <chrono>

namespace knapweed {
namespace {

constexpr Ms kWatchEvery = Ms{500};

}  // namespace

SidecarWatch::SidecarWatch(const Membership& membership,
                           UpstreamDirectory& upstreams)
    : membership_(membership), upstreams_(upstreams) {}

SidecarWatch::~SidecarWatch() {
  {
    const std::lock_guard lock(mu_);
    stopping_ = true;
  }
  stopped_.notify_all();
  if (thread_.joinable()) thread_.join();
}

void SidecarWatch::Start() {
  thread_ = std::thread([this] { Loop(); });
}

void SidecarWatch::Loop() {
  std::unique_lock lock(mu_);
  while (!stopping_) {
    upstreams_.Update(membership_.Sidecars());
    stopped_.wait_for(lock, std::chrono::milliseconds(kWatchEvery.count));
  }
}

}  // namespace knapweed

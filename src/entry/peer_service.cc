#include "knapweed/entry/peer_service.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <utility>

#include "knapweed/entry/caller_api.h"

namespace knapweed {

struct PeerService::Impl {
  explicit Impl(const PeerServiceParts& p)
      : parts(p), call_pool(static_cast<size_t>(p.threads)), control_pool(2) {}

  void RunCall(const wire::CallT& call, const ReplyHandle& reply);
  wire::HeartbeatT Heartbeat() const;

  PeerServiceParts parts;
  std::atomic<int> in_flight{0};
  boost::asio::thread_pool call_pool;
  /// For configuration refreshes, which must not queue behind calls.
  boost::asio::thread_pool control_pool;
};

void PeerService::Impl::RunCall(const wire::CallT& call,
                                const ReplyHandle& reply) {
  const ChunkSink sink = [&](std::string_view piece) {
    wire::ChunkT chunk;
    chunk.data = piece;
    return reply.Send(Wrap(std::move(chunk)));
  };
  wire::ResultT result = call.ends_program ? parts.runner.EndProgram(call)
                                           : parts.runner.Run(call, sink);
  reply.Send(Wrap(std::move(result)));
  in_flight.fetch_sub(1);
}

wire::HeartbeatT PeerService::Impl::Heartbeat() const {
  wire::HeartbeatT heartbeat;
  heartbeat.config_version = parts.rules.version();
  heartbeat.confirmed_age_ms = parts.watcher.ConfirmedAge().count;
  return heartbeat;
}

PeerService::PeerService(const PeerServiceParts& parts)
    : impl_(std::make_unique<Impl>(parts)) {}

PeerService::~PeerService() {
  impl_->call_pool.join();
  impl_->control_pool.join();
}

int PeerService::in_flight() const { return impl_->in_flight; }

void PeerService::Handle(wire::BodyUnion request, const ReplyHandle& reply) {
  if (const wire::CallT* call = request.AsCall()) {
    impl_->in_flight.fetch_add(1);
    boost::asio::post(impl_->call_pool,
                      [impl = impl_.get(), reply, call = *call] {
                        impl->RunCall(call, reply);
                      });
    return;
  }
  if (const wire::BucketAskT* ask = request.AsBucketAsk()) {
    reply.Send(Wrap(impl_->parts.rates.Answer(*ask)));
    return;
  }
  if (request.AsHeartbeat() != nullptr) {
    reply.Send(Wrap(impl_->Heartbeat()));
    return;
  }
  if (request.AsConfigPush() != nullptr) {
    reply.Send(Wrap(wire::AckT{}));
    boost::asio::post(impl_->control_pool, [impl = impl_.get()] {
      impl->parts.watcher.Refresh().IgnoreError();
    });
    return;
  }
  if (const wire::CrashReportT* report = request.AsCrashReport()) {
    impl_->parts.crashes.OnReport(*report);
    reply.Send(Wrap(wire::AckT{}));
    return;
  }
  if (const wire::LeavingT* leaving = request.AsLeaving()) {
    impl_->parts.upstreams.OnLeaving(leaving->name);
    impl_->parts.membership.RequestScan();
    reply.Send(Wrap(wire::AckT{}));
    return;
  }
  const CallError error{ErrorCode::kBadRequest, RunState::kNotRun, Ms{0},
                        "An entry takes no such message."};
  reply.Send(Wrap(ToFailure(error)));
}

}  // namespace knapweed

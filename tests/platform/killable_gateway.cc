#include "tests/platform/killable_gateway.h"

#include <utility>

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
using gateway::Task;

/// Interval at which the cluster's loop drives the gateway's.
constexpr Ms kStep{1};

}  // namespace

struct KillableGateway::Process {
  explicit Process(const gateway::GatewayConfig& config)
      : loop(std::make_unique<asio::io_context>()),
        gateway(std::make_unique<gateway::Gateway>(
            *loop, config, users_platform::PlatformDialect())) {}

  std::unique_ptr<asio::io_context> loop;
  std::unique_ptr<gateway::Gateway> gateway;
};

KillableGateway::KillableGateway(TestCluster& cluster, const std::string& name)
    : cluster_(cluster), index_(static_cast<int>(cluster.configs.size())) {
  cluster.AddSettings(name);
  Start();
}

KillableGateway::~KillableGateway() { Kill(); }

void KillableGateway::Kill() {
  if (process_ == nullptr) return;
  process_->gateway.reset();
  process_->loop.reset();
  process_.reset();
}

void KillableGateway::Start() {
  process_ =
      std::make_shared<Process>(cluster_.configs[static_cast<size_t>(index_)]);
  process_->gateway->Start();
  gateway::Spawn(cluster_.loop,
                 [](asio::io_context& loop,
                    std::shared_ptr<Process> process) -> Task<void> {
                   while (process->loop != nullptr) {
                     process->loop->poll();
                     process->loop->restart();
                     co_await gateway::Sleep(loop, kStep);
                   }
                 }(cluster_.loop, process_));
  cluster_.RunUntil([this] { return process_->gateway->IsReady(); });
}

}  // namespace knapweed::testing

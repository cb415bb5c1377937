#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <future>
#include <map>
#include <mutex>
#include <unordered_set>

#include "absl/strings/str_cat.h"
#include "connection.h"
#include "knapweed/base/log.h"
#include "knapweed/base/outcome.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Logger kLog("wire");
constexpr int kServerThreads = 2;
/// Delay before the next accept after a failed one.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// How long a stopping server waits for its queued replies to be written.
constexpr std::chrono::seconds kDrainTimeout{1};

flatbuffers::DetachedBuffer TooLargeFrame(uint64_t correlation) {
  wire::FailureT failure;
  failure.code = static_cast<uint8_t>(ErrorCode::kTooLarge);
  failure.run = static_cast<uint8_t>(RunState::kUnknown);
  failure.message = "the answer is over the frame limit";
  return EncodeFrame(correlation, Wrap(std::move(failure)));
}

}  // namespace

/// The requests of one server for which a ReplyHandle still exists. Matches a
/// cancellation from the peer to its request. Safe from any thread.
class OpenRequests {
 public:
  struct Key {
    const Connection* connection;
    uint64_t correlation;
    auto operator<=>(const Key&) const = default;
  };

  void Add(Key key, const std::shared_ptr<std::atomic<bool>>& abandoned) {
    const std::lock_guard lock(mu_);
    open_[key] = abandoned;
  }
  void Remove(Key key) {
    const std::lock_guard lock(mu_);
    open_.erase(key);
  }
  void Abandon(Key key) {
    const std::lock_guard lock(mu_);
    const auto it = open_.find(key);
    if (it != open_.end()) it->second->store(true);
  }

 private:
  std::mutex mu_;
  std::map<Key, std::shared_ptr<std::atomic<bool>>> open_;
};

struct ReplyHandle::State {
  State(std::shared_ptr<Connection> c, uint64_t id,
        std::shared_ptr<OpenRequests> r)
      : connection(std::move(c)), correlation(id), requests(std::move(r)) {
    requests->Add({connection.get(), correlation}, abandoned);
  }
  ~State() { requests->Remove({connection.get(), correlation}); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  const std::shared_ptr<Connection> connection;
  const uint64_t correlation;
  const std::shared_ptr<OpenRequests> requests;
  const std::shared_ptr<std::atomic<bool>> abandoned =
      std::make_shared<std::atomic<bool>>(false);
};

bool ReplyHandle::Send(const wire::BodyUnion& body) const {
  if (PeerGone()) return false;
  flatbuffers::DetachedBuffer frame = EncodeFrame(state_->correlation, body);
  if (frame.size() > kMaxFrameBytes + kFrameLengthBytes) {
    frame = TooLargeFrame(state_->correlation);
  }
  return state_->connection->Send(std::move(frame));
}

bool ReplyHandle::PeerGone() const {
  return *state_->abandoned || state_->connection->closed();
}

struct RpcServer::Impl {
  explicit Impl(RpcHandler h)
      : handler(std::move(h)),
        accept_loop(threads.NextLoop()),
        acceptor(*accept_loop),
        accept_retry_timer(*accept_loop) {}

  absl::Status Listen(const Address& listen) {
    boost::system::error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address_v4(listen.host, ec),
                                 listen.port);
    if (!ec) acceptor.open(tcp::v4(), ec);
    if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor.bind(endpoint, ec);
    if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec) return absl::OkStatus();
    return absl::UnavailableError(absl::StrCat(
        "can't listen on ", listen.ToString(), ": ", ec.message()));
  }

  void Accept() {
    const IoThreads::Loop loop = threads.NextLoop();
    acceptor.async_accept(
        *loop, [this, loop](boost::system::error_code ec, tcp::socket socket) {
          if (stopping) return;
          if (ec) return ScheduleAccept(ec);
          AddConnection(loop, std::move(socket));
          Accept();
        });
  }

  void ScheduleAccept(boost::system::error_code ec) {
    kLog.Warning("Can't accept a connection.", {{"reason", ec.message()}});
    accept_retry_timer.expires_after(kAcceptRetryDelay);
    accept_retry_timer.async_wait([this](boost::system::error_code) {
      if (!stopping) Accept();
    });
  }

  void AddConnection(const IoThreads::Loop& loop, tcp::socket socket) {
    auto connection = std::make_shared<Connection>(loop, std::move(socket));
    {
      const std::lock_guard lock(mu);
      connections.insert(connection);
    }
    asio::post(*loop, [this, connection] {
      const std::weak_ptr<Connection> weak = connection;
      connection->Start({[this, weak](Message message) {
                           OnMessage(weak, std::move(message));
                         },
                         [this, weak] { RemoveConnection(weak); }});
    });
  }

  void OnMessage(const std::weak_ptr<Connection>& weak, Message message) {
    std::shared_ptr<Connection> connection = weak.lock();
    const wire::CancelT* cancel = message.body.AsCancel();
    if (cancel != nullptr && cancel->attempt.empty()) {
      requests->Abandon({connection.get(), message.correlation});
      return;
    }
    auto state = std::make_shared<ReplyHandle::State>(
        std::move(connection), message.correlation, requests);
    handler(std::move(message.body), ReplyHandle(std::move(state)));
  }

  void RemoveConnection(const std::weak_ptr<Connection>& weak) {
    const std::lock_guard lock(mu);
    connections.erase(weak.lock());
    all_closed.notify_all();
  }

  // Stops accepting, waits up to kDrainTimeout for queued replies to be
  // written, and closes all connections.
  void Stop() {
    StopAccepting();
    ForEachConnection(
        [](Connection& connection) { connection.CloseAfterWrites(); });
    {
      std::unique_lock lock(mu);
      all_closed.wait_for(lock, kDrainTimeout,
                          [this] { return connections.empty(); });
    }
    ForEachConnection([](Connection& connection) { connection.Close(); });
  }

  void StopAccepting() {
    std::promise<void> stopped;
    asio::post(*accept_loop, [this, &stopped] {
      stopping = true;
      boost::system::error_code ec;
      acceptor.close(ec);
      accept_retry_timer.cancel();
      stopped.set_value();
    });
    stopped.get_future().wait();
  }

  void ForEachConnection(const std::function<void(Connection&)>& act) {
    const std::lock_guard lock(mu);
    for (const auto& connection : connections) act(*connection);
  }

  RpcHandler handler;
  const std::shared_ptr<OpenRequests> requests =
      std::make_shared<OpenRequests>();
  std::mutex mu;
  std::condition_variable all_closed;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  // Used on the accept loop only.
  bool stopping = false;
  IoThreads threads{kServerThreads};
  IoThreads::Loop accept_loop;
  tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
};

absl::StatusOr<std::unique_ptr<RpcServer>> RpcServer::Start(
    const Address& listen, RpcHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(handler));
  absl::Status status = impl->Listen(listen);
  if (!status.ok()) return status;
  asio::post(*impl->accept_loop, [raw = impl.get()] { raw->Accept(); });
  return std::unique_ptr<RpcServer>(new RpcServer(std::move(impl)));
}

RpcServer::RpcServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

RpcServer::~RpcServer() {
  impl_->Stop();
  impl_->threads.Join();
}

}  // namespace knapweed

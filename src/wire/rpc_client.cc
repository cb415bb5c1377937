#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <unordered_map>

#include "absl/strings/str_cat.h"
#include "connection.h"
#include "dial.h"
#include "knapweed/wire/rpc.h"

namespace knapweed {
namespace {

/// How often a waiting call invokes its ChunkSink with empty data, so that the
/// caller can cancel.
constexpr Ms kWaitPollInterval{250};
constexpr Ms kConnectTimeout = Seconds(1);
constexpr Ms kInitialBackoff{50};
constexpr Ms kMaxBackoff = Seconds(2);
constexpr int kMaxBackoffDoublings = 6;

using TimePoint = std::chrono::steady_clock::time_point;

TimePoint After(Ms span) {
  return std::chrono::steady_clock::now() +
         std::chrono::milliseconds(span.count);
}

// Returns a random delay between half and all of a span that doubles with each
// failure. The jitter keeps clients that lost the same peer from reconnecting
// at the same time.
Ms BackoffDelay(int failures) {
  static thread_local std::minstd_rand random{std::random_device{}()};
  const int doublings = std::min(failures - 1, kMaxBackoffDoublings);
  const Ms span = std::min(kMaxBackoff, kInitialBackoff * (1LL << doublings));
  std::uniform_int_distribution<int64_t> jitter(span.count / 2, span.count);
  return Ms{jitter(random)};
}

/// A call that waits for its reply. `Deliver` and `Fail` are called on the
/// loop, `Wait` on the caller's thread.
class PendingCall {
 public:
  /// Adds a chunk, or sets the final message of the reply.
  void Deliver(wire::BodyUnion body) {
    const std::lock_guard lock(mu_);
    if (wire::ChunkT* chunk = body.AsChunk()) {
      chunks_.push_back(std::move(chunk->data));
    } else if (!done_) {
      done_ = true;
      reply_ = std::move(body);
    }
    changed_.notify_one();
  }

  void Fail(absl::Status status) {
    const std::lock_guard lock(mu_);
    if (done_) return;
    done_ = true;
    reply_ = std::move(status);
    changed_.notify_one();
  }

  absl::StatusOr<wire::BodyUnion> Wait(TimePoint deadline,
                                       const ChunkSink& on_chunk) {
    std::unique_lock lock(mu_);
    while (true) {
      const bool notified = changed_.wait_until(
          lock, std::min(deadline, After(kWaitPollInterval)),
          [this] { return done_ || !chunks_.empty(); });
      if (!notified && std::chrono::steady_clock::now() >= deadline) {
        return absl::DeadlineExceededError("no answer before the deadline");
      }
      if (notified && chunks_.empty()) return std::move(reply_);
      std::string chunk;
      if (notified) {
        chunk = std::move(chunks_.front());
        chunks_.pop_front();
      }
      lock.unlock();
      if (on_chunk && !on_chunk(chunk)) {
        return absl::CancelledError("the caller stopped listening");
      }
      lock.lock();
    }
  }

  const Connection::SentFlag sent = std::make_shared<std::atomic<bool>>(false);

 private:
  std::mutex mu_;
  std::condition_variable changed_;
  std::deque<std::string> chunks_;
  bool done_ = false;
  absl::StatusOr<wire::BodyUnion> reply_ = absl::UnknownError("");
};

/// The state of a client. It is shared with the handlers on the loop, which may
/// still run after the client is destroyed.
struct ClientState : std::enable_shared_from_this<ClientState> {
  ClientState(Address address, IoThreads::Loop l)
      : peer(std::move(address)), loop(std::move(l)) {}

  /// Returns the open connection; connects first if there is none. Returns
  /// Unavailable if that fails, at `deadline`, or during the back-off.
  absl::StatusOr<std::shared_ptr<Connection>> GetConnection(
      TimePoint deadline) {
    std::unique_lock lock(mu);
    if (connection != nullptr) return connection;
    if (dial == nullptr) {
      if (std::chrono::steady_clock::now() < retry_at)
        return UnreachableError();
      StartDial();
    }
    const uint64_t awaited_dial = dial_count;
    dial_ended.wait_until(lock, deadline, [&] {
      return connection != nullptr || dial_count != awaited_dial ||
             dial == nullptr;
    });
    if (connection == nullptr) return UnreachableError();
    return connection;
  }

  absl::Status UnreachableError() const {
    return absl::UnavailableError(
        absl::StrCat("can't connect to ", peer.ToString()));
  }

  void StartDial() {
    ++dial_count;
    dial = std::make_shared<Dial>(
        loop, [self = shared_from_this()](boost::system::error_code ec,
                                          Connection::Socket socket) {
          self->OnDialed(ec, std::move(socket));
        });
    dial->Start(peer, kConnectTimeout);
  }

  void OnDialed(boost::system::error_code ec, Connection::Socket socket) {
    std::shared_ptr<Connection> opened;
    {
      const std::lock_guard lock(mu);
      dial = nullptr;
      if (!ec && !stopped) {
        opened = std::make_shared<Connection>(loop, std::move(socket));
        connection = opened;
        received_message = false;
      } else {
        RecordFailure();
      }
    }
    if (opened != nullptr) StartReading(opened);
    dial_ended.notify_all();
  }

  void StartReading(const std::shared_ptr<Connection>& opened) {
    opened->Start({[self = shared_from_this()](Message message) {
                     self->OnMessage(std::move(message));
                   },
                   [self = shared_from_this(), raw = opened.get()] {
                     self->OnClosed(raw);
                   }});
  }

  void OnMessage(Message message) {
    std::shared_ptr<PendingCall> call;
    {
      const std::lock_guard lock(mu);
      received_message = true;
      failures = 0;
      const auto it = pending.find(message.correlation);
      // The call has timed out or was cancelled.
      if (it == pending.end()) return;
      call = it->second;
    }
    call->Deliver(std::move(message.body));
  }

  void OnClosed(const Connection* closed) {
    std::unordered_map<uint64_t, std::shared_ptr<PendingCall>>
        interrupted_calls;
    {
      const std::lock_guard lock(mu);
      if (connection.get() != closed) return;
      connection = nullptr;
      interrupted_calls.swap(pending);
      // Avoids reconnecting in a tight loop to a peer that accepts connections
      // and closes them before sending a message.
      if (!received_message) RecordFailure();
    }
    for (const auto& [id, call] : interrupted_calls) {
      call->Fail(call->sent->load()
                     ? absl::UnknownError(
                           "the connection broke after the request was sent")
                     : UnreachableError());
    }
  }

  void RecordFailure() {
    ++failures;
    retry_at = After(BackoffDelay(failures));
  }

  /// Sends a request on a connection. Returns false if it was certainly not
  /// sent.
  bool Send(const std::shared_ptr<Connection>& open, uint64_t correlation,
            const std::shared_ptr<PendingCall>& call,
            flatbuffers::DetachedBuffer frame) {
    {
      const std::lock_guard lock(mu);
      if (connection != open) return false;
      pending.emplace(correlation, call);
    }
    if (open->Send(std::move(frame), call->sent)) return true;
    RemovePending(correlation);
    return false;
  }

  void RemovePending(uint64_t correlation) {
    const std::lock_guard lock(mu);
    pending.erase(correlation);
  }

  void Stop() {
    const std::lock_guard lock(mu);
    stopped = true;
    if (dial != nullptr) dial->Cancel();
    if (connection != nullptr) connection->Close();
  }

  const Address peer;
  const IoThreads::Loop loop;
  std::atomic<uint64_t> next_correlation{1};

  mutable std::mutex mu;
  std::condition_variable dial_ended;
  std::shared_ptr<Dial> dial;
  uint64_t dial_count = 0;
  std::shared_ptr<Connection> connection;
  std::unordered_map<uint64_t, std::shared_ptr<PendingCall>> pending;
  bool received_message = false;
  bool stopped = false;
  int failures = 0;
  TimePoint retry_at;
};

}  // namespace

struct RpcClient::Impl {
  explicit Impl(Address peer)
      : threads(IoThreads::ForClients()),
        state(std::make_shared<ClientState>(std::move(peer),
                                            threads->NextLoop())) {}

  // Owned by the client and not by ClientState: if a handler on a loop released
  // the last reference, the thread would have to join itself.
  const std::shared_ptr<IoThreads> threads;
  const std::shared_ptr<ClientState> state;
};

RpcClient::RpcClient(Address peer)
    : impl_(std::make_unique<Impl>(std::move(peer))) {}

RpcClient::~RpcClient() { impl_->state->Stop(); }

absl::StatusOr<wire::BodyUnion> RpcClient::Call(const wire::BodyUnion& request,
                                                Ms timeout,
                                                const ChunkSink& on_chunk) {
  ClientState& state = *impl_->state;
  const TimePoint deadline = After(timeout);
  const uint64_t correlation = state.next_correlation.fetch_add(1);
  flatbuffers::DetachedBuffer frame = EncodeFrame(correlation, request);
  if (frame.size() > kMaxFrameBytes + kFrameLengthBytes) {
    return absl::InvalidArgumentError("the request is over the frame limit");
  }
  absl::StatusOr<std::shared_ptr<Connection>> open =
      state.GetConnection(deadline);
  if (!open.ok()) return open.status();
  auto call = std::make_shared<PendingCall>();
  if (!state.Send(*open, correlation, call, std::move(frame))) {
    return state.UnreachableError();
  }
  absl::StatusOr<wire::BodyUnion> reply = call->Wait(deadline, on_chunk);
  state.RemovePending(correlation);
  const bool abandoned = absl::IsCancelled(reply.status()) ||
                         absl::IsDeadlineExceeded(reply.status());
  // Cancels the request at the peer, so that it can stop working on it.
  if (abandoned) {
    (*open)->Send(EncodeFrame(correlation, Wrap(wire::CancelT{})));
  }
  return reply;
}

bool RpcClient::connected() const {
  const std::lock_guard lock(impl_->state->mu);
  return impl_->state->connection != nullptr;
}

const Address& RpcClient::peer() const { return impl_->state->peer; }

struct RpcPool::Impl {
  std::mutex mu;
  std::map<Address, std::shared_ptr<RpcClient>> clients;
};

RpcPool::RpcPool() : impl_(std::make_unique<Impl>()) {}
RpcPool::~RpcPool() = default;

std::shared_ptr<RpcClient> RpcPool::Get(const Address& peer) {
  const std::lock_guard lock(impl_->mu);
  std::shared_ptr<RpcClient>& client = impl_->clients[peer];
  if (client == nullptr) client = std::make_shared<RpcClient>(peer);
  return client;
}

}  // namespace knapweed

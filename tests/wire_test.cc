#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "knapweed/wire/rpc.h"
#include "standins/free_port.h"

namespace knapweed {
namespace {

namespace asio = boost::asio;

constexpr Ms kTimeout = Seconds(10);
constexpr uint32_t kSeed = 20261203;

// Replies to a Dispatch with two chunks and a Result that repeat its body, and
// to any other message with an Ack. Does not reply to a Dispatch with the body
// "hold", whose handle is returned by `held`.
class EchoServer {
 public:
  explicit EchoServer(const Address& listen) {
    auto started = RpcServer::Start(
        listen, [this](wire::BodyUnion request, const ReplyHandle& reply) {
          Answer(std::move(request), reply);
        });
    REQUIRE(started.ok());
    server_ = *std::move(started);
  }

  void Stop() { server_.reset(); }
  std::optional<ReplyHandle> held() const {
    const std::lock_guard lock(mu_);
    return held_;
  }
  int calls() const { return calls_.load(); }

 private:
  void Answer(wire::BodyUnion request, const ReplyHandle& reply) {
    ++calls_;
    const wire::DispatchT* dispatch = request.AsDispatch();
    if (dispatch == nullptr) {
      reply.Send(Wrap(wire::AckT{}));
    } else if (dispatch->body == "hold") {
      const std::lock_guard lock(mu_);
      held_ = reply;
    } else {
      reply.Send(Wrap(wire::ChunkT{{}, dispatch->body + "1"}));
      reply.Send(Wrap(wire::ChunkT{{}, dispatch->body + "2"}));
      wire::ResultT result;
      result.status = 200;
      result.body = dispatch->body;
      reply.Send(Wrap(std::move(result)));
    }
  }

  mutable std::mutex mu_;
  std::optional<ReplyHandle> held_;
  std::atomic<int> calls_{0};
  std::unique_ptr<RpcServer> server_;
};

wire::BodyUnion MakeDispatch(std::string body) {
  wire::DispatchT dispatch;
  dispatch.body = std::move(body);
  return Wrap(std::move(dispatch));
}

std::string CallWithBody(RpcClient& client, const std::string& body) {
  std::string chunks;
  auto answer =
      client.Call(MakeDispatch(body), kTimeout, [&](std::string_view data) {
        if (!data.empty()) chunks.append(data).append(" ");
        return true;
      });
  if (!answer.ok()) return answer.status().ToString();
  return chunks + answer->AsResult()->body;
}

void WaitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 2000 && !condition(); ++i) SleepFor(Ms{5});
  REQUIRE(condition());
}

TEST_CASE("concurrent calls on one connection get their own replies") {
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  RpcClient client(listen);
  std::atomic<int> wrong{0};
  std::vector<std::thread> threads(8);
  for (size_t t = 0; t < threads.size(); ++t) {
    threads[t] = std::thread([&, t] {
      for (int i = 0; i < 100; ++i) {
        const std::string body = std::to_string(t) + "." + std::to_string(i);
        const std::string answer = CallWithBody(client, body);
        if (answer != absl::StrCat(body, "1 ", body, "2 ", body)) ++wrong;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(wrong == 0);
  CHECK(server.calls() == 800);
}

TEST_CASE("bodies of all sizes are transferred whole") {
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  RpcClient client(listen);
  for (size_t size : {0, 1, 4000, 4096, 5000, 100000, 5 << 20}) {
    CAPTURE(size);
    auto answer = client.Call(MakeDispatch(std::string(size, 'x')), kTimeout);
    REQUIRE(answer.ok());
    CHECK(answer->AsResult()->body.size() == size);
  }
}

TEST_CASE("RpcClient reports each kind of failure by its own status") {
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  RpcClient client(listen);
  SUBCASE("no reply before the deadline") {
    auto answer = client.Call(MakeDispatch("hold"), Ms{50});
    CHECK(answer.status().code() == absl::StatusCode::kDeadlineExceeded);
    CHECK(CallWithBody(client, "a") == "a1 a2 a");
  }
  SUBCASE("the caller cancels on a chunk") {
    auto answer = client.Call(MakeDispatch("a"), kTimeout,
                              [](std::string_view) { return false; });
    CHECK(answer.status().code() == absl::StatusCode::kCancelled);
    CHECK(CallWithBody(client, "b") == "b1 b2 b");
  }
  SUBCASE("the server is notified when a waiting caller cancels") {
    int poll_count = 0;
    auto answer =
        client.Call(MakeDispatch("hold"), kTimeout, [&](std::string_view data) {
          CHECK(data.empty());
          return ++poll_count < 2;
        });
    CHECK(answer.status().code() == absl::StatusCode::kCancelled);
    WaitFor([&] { return server.held()->PeerGone(); });
    CHECK(CallWithBody(client, "b") == "b1 b2 b");
  }
  SUBCASE("a request over the limit") {
    auto answer =
        client.Call(MakeDispatch(std::string(kMaxFrameBytes, 'x')), kTimeout);
    CHECK(answer.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(CallWithBody(client, "b") == "b1 b2 b");
  }
  SUBCASE("the connection breaks after the request was sent") {
    std::thread stopper([&] {
      WaitFor([&] { return server.held().has_value(); });
      server.Stop();
    });
    auto answer = client.Call(MakeDispatch("hold"), kTimeout);
    stopper.join();
    CHECK(answer.status().code() == absl::StatusCode::kUnknown);
    // The handle stays usable after its server and its connection are
    // destroyed.
    CHECK(server.held()->PeerGone());
    CHECK_FALSE(server.held()->Send(Wrap(wire::AckT{})));
  }
  SUBCASE("no server listens: fails quickly, also during the back-off") {
    RpcClient unreachable(FreeLoopbackAddress());
    for (int i = 0; i < 50; ++i) {
      auto answer = unreachable.Call(MakeDispatch("a"), kTimeout);
      CHECK(answer.status().code() == absl::StatusCode::kUnavailable);
    }
  }
}

TEST_CASE("RpcClient reconnects after the server restarts") {
  const Address listen = FreeLoopbackAddress();
  RpcClient client(listen);
  for (int i = 0; i < 3; ++i) {
    EchoServer server(listen);
    WaitFor([&] { return CallWithBody(client, "a") == "a1 a2 a"; });
    server.Stop();
    WaitFor([&] { return !client.connected(); });
  }
}

TEST_CASE("a reply after the client is destroyed is not sent") {
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  {
    RpcClient client(listen);
    auto answer = client.Call(MakeDispatch("hold"), Ms{50});
    CHECK_FALSE(answer.ok());
    WaitFor([&] { return server.held().has_value(); });
  }
  WaitFor([&] { return server.held()->PeerGone(); });
  CHECK_FALSE(server.held()->Send(Wrap(wire::AckT{})));
}

TEST_CASE("a reply over the frame limit is replaced by a Failure") {
  const Address listen = FreeLoopbackAddress();
  auto server = RpcServer::Start(
      listen, [](const wire::BodyUnion&, const ReplyHandle& reply) {
        reply.Send(Wrap(wire::ChunkT{{}, std::string(kMaxFrameBytes, 'x')}));
      });
  REQUIRE(server.ok());
  RpcClient client(listen);
  auto answer = client.Call(MakeDispatch("a"), kTimeout);
  REQUIRE(answer.ok());
  CHECK(answer->AsFailure() != nullptr);
}

TEST_CASE("RpcServer can't listen on an address in use") {
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  auto second = RpcServer::Start(listen, {});
  CHECK(second.status().code() == absl::StatusCode::kUnavailable);
}

using Bytes = std::vector<uint8_t>;

Bytes ValidFrame() {
  wire::DispatchT dispatch;
  dispatch.attempt = "attempt";
  dispatch.body = "body";
  dispatch.prefix_hashes = {1, 2, 3};
  const auto frame = EncodeFrame(7, Wrap(std::move(dispatch)));
  return {frame.data(), frame.data() + frame.size()};
}

Bytes RandomBytes(std::minstd_rand& random) {
  Bytes bytes(random() % 300);
  for (uint8_t& it : bytes) it = static_cast<uint8_t>(random());
  return bytes;
}

Bytes RandomFrame(std::minstd_rand& random) {
  const Bytes bytes = RandomBytes(random);
  Bytes frame(kFrameLengthBytes + bytes.size());
  std::copy(bytes.begin(), bytes.end(), frame.begin() + kFrameLengthBytes);
  flatbuffers::WriteScalar(frame.data(), static_cast<uint32_t>(bytes.size()));
  return frame;
}

Bytes FlippedFrame(std::minstd_rand& random) {
  Bytes bytes = ValidFrame();
  const size_t flips = 1 + random() % 4;
  for (size_t i = 0; i < flips; ++i) {
    const size_t at =
        kFrameLengthBytes + random() % (bytes.size() - kFrameLengthBytes);
    bytes[at] ^= static_cast<uint8_t>(1U << random() % 8);
  }
  return bytes;
}

Bytes TruncatedFrame(std::minstd_rand& random) {
  Bytes bytes = ValidFrame();
  bytes.resize(random() % bytes.size());
  return bytes;
}

Bytes OversizedFrame(std::minstd_rand& random) {
  Bytes bytes = ValidFrame();
  const auto n = static_cast<uint32_t>(kMaxFrameBytes + 1 + random() % 100000);
  flatbuffers::WriteScalar(bytes.data(), n);
  return bytes;
}

Bytes WrongVersionFrame(std::minstd_rand& random) {
  flatbuffers::FlatBufferBuilder builder;
  const auto body = wire::CreateAck(builder).Union();
  const auto version = static_cast<uint16_t>(2 + random() % 100);
  builder.FinishSizePrefixed(
      wire::CreateFrame(builder, version, 1, wire::Body::Ack, body));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

Bytes NoBodyFrame(std::minstd_rand&) {
  flatbuffers::FlatBufferBuilder builder;
  builder.FinishSizePrefixed(wire::CreateFrame(builder, kProtocolVersion, 1));
  return {builder.GetBufferPointer(),
          builder.GetBufferPointer() + builder.GetSize()};
}

// Sends raw bytes, shuts down the sending side, and reads until the peer
// closes.
void SendRaw(const Address& to, const Bytes& bytes) {
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address_v4(to.host), to.port});
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  Bytes answer(1 << 16);
  asio::read(socket, asio::buffer(answer), ec);
  CHECK(ec);
}

TEST_CASE("an invalid frame closes only its own connection") {
  struct Row {
    std::string name;
    Bytes (*make)(std::minstd_rand&);
  };
  const std::vector<Row> rows = {
      {"random bytes", RandomBytes},  {"random frame", RandomFrame},
      {"flipped bits", FlippedFrame}, {"truncated", TruncatedFrame},
      {"oversized", OversizedFrame},  {"wrong version", WrongVersionFrame},
      {"no message", NoBodyFrame},
  };
  const Address listen = FreeLoopbackAddress();
  EchoServer server(listen);
  RpcClient client(listen);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::minstd_rand random(kSeed);
    for (int i = 0; i < 60; ++i) SendRaw(listen, row.make(random));
    CHECK(CallWithBody(client, "a") == "a1 a2 a");
  }
}

TEST_CASE("DecodeFrame handles any bytes and rejects truncated frames") {
  std::minstd_rand random(kSeed);
  for (int i = 0; i < 20000; ++i) {
    Bytes bytes = i % 2 == 0 ? FlippedFrame(random) : RandomFrame(random);
    const absl::StatusOr<Message> message = DecodeFrame(bytes);
    if (message.ok()) EncodeFrame(message->correlation, message->body);
  }
  const Bytes valid = ValidFrame();
  CHECK(DecodeFrame(valid).ok());
  for (size_t n = 0; n < valid.size(); ++n) {
    CHECK_FALSE(DecodeFrame({valid.data(), n}).ok());
  }
}

}  // namespace
}  // namespace knapweed

#ifndef KNAPWEED_TESTS_SIDECAR_RIG_H_
#define KNAPWEED_TESTS_SIDECAR_RIG_H_

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "knapweed/base/outcome.h"
#include "knapweed/sidecar/sidecar.h"
#include "knapweed/wire/rpc.h"
#include "standins/engine.h"
#include "standins/free_port.h"
#include "standins/service.h"
#include "standins/standin.h"

namespace knapweed {

inline constexpr Ms kRigTimeout = Seconds(20);

/// Polls until `condition` holds; fails the test after about 20 seconds.
inline void WaitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 4000 && !condition(); ++i) SleepFor(Ms{5});
  REQUIRE(condition());
}

/// An in-memory directory that logs every write and removal.
struct FakeDirectory {
  std::mutex mu;
  bool unavailable = false;
  std::vector<Epoch> floor;
  std::vector<std::string> log;

  SidecarDirectory Functions() {
    return {[this](const SidecarRecord& record) {
              return Append(record.leaving ? "leaving" : "serving");
            },
            [this](const SidecarRecord&) { return Append("removed"); },
            [this]() -> absl::StatusOr<std::vector<Epoch>> {
              const std::lock_guard lock(mu);
              if (unavailable) return absl::UnavailableError("down");
              return floor;
            }};
  }

  absl::Status Append(std::string what) {
    const std::lock_guard lock(mu);
    log.push_back(std::move(what));
    return absl::OkStatus();
  }

  std::vector<std::string> Log() {
    const std::lock_guard lock(mu);
    return log;
  }
};

/// Runs a stand-in upstream, a sidecar in front of it and an RPC client of the
/// sidecar.
class SidecarRig {
 public:
  enum class Kind : uint8_t { kEngine, kService };

  explicit SidecarRig(Kind kind, int slots = 4)
      : standin_(kind == Kind::kEngine ? MakeEngineStandin()
                                       : MakeServiceStandin()) {
    config.name = UpstreamId("u1");
    config.domain = FailureDomain("a");
    config.pool = "pool";
    if (kind == Kind::kEngine) config.models = {"m"};
    config.rpc = FreeLoopbackAddress();
    config.control = FreeLoopbackAddress();
    config.upstream = FreeLoopbackAddress();
    config.slots = slots;
    StartUpstream();
  }

  // Stopping an HTTP server is slow, so the upstream and the sidecar stop
  // concurrently.
  ~SidecarRig() {
    std::thread stopper([this] { StopUpstream(); });
    StopSidecar();
    stopper.join();
  }
  SidecarRig(const SidecarRig&) = delete;
  SidecarRig& operator=(const SidecarRig&) = delete;

  void StartUpstream() {
    auto started = ServeStandin(config.upstream, standin_);
    REQUIRE(started.ok());
    upstream_ = *std::move(started);
  }
  void StopUpstream() { upstream_.reset(); }

  void StartSidecar() {
    auto started =
        Sidecar::Start(config, directory.Functions(), [this] { ++drains; });
    REQUIRE(started.ok());
    sidecar = *std::move(started);
    client = std::make_unique<RpcClient>(config.rpc);
  }
  void StopSidecar() {
    client.reset();
    sidecar.reset();
  }
  void StartAndWait() {
    StartSidecar();
    WaitFor([this] { return sidecar->ready(); });
  }

  /// Changes the behaviour of the upstream.
  void Control(const nlohmann::json& fields) {
    REQUIRE(standin_.control(fields).ok());
  }
  /// Returns the requests that the upstream received.
  nlohmann::json Record() const { return standin_.record(); }
  /// Counts the recorded requests that have this value in this field.
  size_t Count(const std::string& field, const nlohmann::json& value) const {
    size_t n = 0;
    for (const auto& line : Record())
      n += line.value(field, nlohmann::json()) == value;
    return n;
  }
  nlohmann::json State() const {
    return nlohmann::json::parse(sidecar->DumpJson(), nullptr, false);
  }

  wire::ResultT Send(wire::DispatchT dispatch, const ChunkSink& sink = {}) {
    return SendVia(*client, std::move(dispatch), sink);
  }
  static wire::ResultT SendVia(RpcClient& via, wire::DispatchT dispatch,
                               const ChunkSink& sink = {}) {
    auto answer = via.Call(Wrap(std::move(dispatch)), kRigTimeout, sink);
    CAPTURE(answer.status().ToString());
    REQUIRE(answer.ok());
    REQUIRE(answer->AsResult() != nullptr);
    return std::move(*answer->AsResult());
  }

  wire::BodyUnion Request(const wire::BodyUnion& request) {
    auto answer = client->Call(request, kRigTimeout);
    REQUIRE(answer.ok());
    return *std::move(answer);
  }
  /// Returns the state in the reply to a query, or -1 for a failure.
  int QueryState(const std::string& attempt, uint64_t epoch) {
    wire::AttemptQueryT query;
    query.attempt = attempt;
    query.partition = 1;
    query.epoch = epoch;
    wire::BodyUnion answer = Request(Wrap(std::move(query)));
    const wire::AttemptReplyT* reply = answer.AsAttemptReply();
    return reply == nullptr ? -1 : reply->state;
  }

  SidecarConfig config;
  FakeDirectory directory;
  std::atomic<int> drains{0};
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<RpcClient> client;

 private:
  Standin standin_;
  std::unique_ptr<HttpServer> upstream_;
};

inline wire::DispatchT ModelDispatch(const std::string& attempt,
                                     const std::string& text = "hello") {
  wire::DispatchT dispatch;
  dispatch.attempt = attempt;
  dispatch.workspace = "w";
  dispatch.program = "p";
  dispatch.partition = 1;
  dispatch.epoch = 5;
  dispatch.model = "m";
  dispatch.digest = HashBytes(text);
  dispatch.stream = true;
  dispatch.deadline_ms = kRigTimeout.count;
  const nlohmann::json body = {
      {"model", "m"},
      {"max_tokens", 16},
      {"messages",
       nlohmann::json::array({{{"role", "user"}, {"content", text}}})}};
  dispatch.body = body.dump();
  return dispatch;
}

inline wire::DispatchT ServiceDispatch(const std::string& attempt) {
  wire::DispatchT dispatch;
  dispatch.attempt = attempt;
  dispatch.workspace = "w";
  dispatch.program = "p";
  dispatch.partition = 1;
  dispatch.epoch = 5;
  dispatch.path = "/bookings";
  dispatch.non_idempotent = true;
  dispatch.digest = HashBytes(attempt);
  dispatch.deadline_ms = kRigTimeout.count;
  dispatch.body = nlohmann::json({{"reference", attempt}}).dump();
  return dispatch;
}

/// Returns the failure's name and run state, such as "fenced not_run", or "ok"
/// without a failure.
inline std::string OutcomeName(const wire::ResultT& result) {
  if (result.failure == nullptr) return "ok";
  const auto code = static_cast<ErrorCode>(result.failure->code);
  const auto run = static_cast<RunState>(result.failure->run);
  return std::string(ErrorCodeName(code)) + " " +
         std::string(RunStateName(run));
}

}  // namespace knapweed

#endif  // KNAPWEED_TESTS_SIDECAR_RIG_H_

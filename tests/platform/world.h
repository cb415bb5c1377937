#ifndef KNAPWEED_TESTS_PLATFORM_WORLD_H_
#define KNAPWEED_TESTS_PLATFORM_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "knapweed/gateway/gateway.h"
#include "platform/dialect.h"
#include "tests/platform/fake_server.h"
#include "tests/platform/fake_store.h"

/// A store, servers and gateways on one loop, for tests of the whole path.
namespace knapweed::testing {

/// What a caller sends; see the fields' names on the platform's pages.
struct CallerRequest {
  std::string method = "POST";
  std::string path = "/turn/x";
  std::string body = "input";
  std::map<std::string, std::string> headers;
};

/// What a caller received.
struct CallerResponse {
  int status = 0;
  std::string body;
  /// Ended as HTTP says that a whole answer ends.
  bool complete = false;
  gateway::http::fields fields;
  Ms elapsed;
  bool done = false;
};

/// Name of the host of all routes.
inline constexpr char kHost[] = "front.example";

class TestCluster {
 public:
  /// The last `cut_off` gateways have no way of their own to the store.
  explicit TestCluster(int gateways = 1, int servers = 2, int partitioned = 0);
  ~TestCluster();

  /// Replaces the configuration; `change` edits the usual one.
  void Configure(const std::function<void(nlohmann::json&)>& change = {});
  /// Runs the loop until `done` or `limit`; true when done.
  bool RunUntil(const std::function<bool()>& done, Ms limit = Seconds(10));
  void RunFor(Ms span);
  /// Sends one call on a new connection and runs until it has ended.
  CallerResponse Call(const CallerRequest& call, int gateway = 0);
  /// Starts another gateway, under `name`; returns its number.
  int AddGateway(const std::string& name, bool partitioned = false);
  /// Starts a call; the answer is filled in as the loop runs.
  std::shared_ptr<CallerResponse> StartCall(const CallerRequest& call,
                                            int gateway = 0);
  /// Sends raw bytes and returns all that comes back until the end or `limit`.
  std::string SendRaw(const std::string& bytes, int gateway = 0,
                      Ms limit = Seconds(3));
  /// The body of the answer to a GET of `path`.
  std::string Get(const Address& address, const std::string& path);
  /// Requests of the engines, in the order of the servers.
  std::vector<ReceivedRequest> EngineRequests() const;
  size_t CountPlainRequests() const;

  gateway::asio::io_context loop;
  FakeStore store;
  std::vector<std::unique_ptr<FakeServer>> engines;
  std::vector<std::unique_ptr<FakeServer>> plain;
  /// Gateways refer to their settings: a deque keeps them in place.
  std::deque<gateway::GatewayConfig> configs;
  std::vector<std::unique_ptr<gateway::Gateway>> gateways;
  uint64_t config_version = 1;

 private:
  Address store_address_;
};

/// A call without a body's meaning, under its own request id.
CallerRequest PlainCall(const std::string& path, const std::string& id = "p1");
/// A turn of a program with a budget.
CallerRequest TurnCall(const std::string& id, const std::string& program,
                       int token_budget, int max_output_tokens);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_WORLD_H_

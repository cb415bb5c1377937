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

/// A fake store, fake upstreams and real gateways on one event loop, for
/// end-to-end tests.
namespace knapweed::testing {

/// A request of a caller. Missing Key and Request-Id headers are added when it
/// is sent.
struct CallerRequest {
  std::string method = "POST";
  std::string path = "/turn/x";
  std::string body = "input";
  std::map<std::string, std::string> headers;
  /// Drops the response's body as it arrives.
  bool discards_body = false;
};

/// A response as a caller received it.
struct CallerResponse {
  int status = 0;
  std::string body;
  /// The message arrived completely, as its HTTP framing tells.
  bool complete = false;
  gateway::http::fields fields;
  /// Time from the start of the call to its end.
  Ms elapsed;
  /// The call has ended, with or without a response.
  bool done = false;
};

/// Host of all routes.
inline constexpr char kHost[] = "front.example";

/// Returns a configuration of two services and a route of each kind, with two
/// workspaces, "ws2" without a rate.
nlohmann::json DefaultConfig();

/// Starts fakes and gateways and sends calls through them. `servers` counts the
/// upstreams of each of the two services.
class TestCluster {
 public:
  /// The last `partitioned` gateways can't connect to the store themselves.
  /// Returns once all gateways are ready, or after 10 s.
  /// `memory_mb` is the memory setting of all gateways.
  explicit TestCluster(int gateways = 1, int servers = 2, int partitioned = 0,
                       uint64_t memory_mb = 0);
  ~TestCluster();

  /// Writes the default configuration, edited by `change`, as a new version.
  void Configure(const std::function<void(nlohmann::json&)>& change = {});
  /// Runs the loop until `done` returns true or `limit` has passed. Returns
  /// whether it is done.
  bool RunUntil(const std::function<bool()>& done, Ms limit = Seconds(10));
  void RunFor(Ms span);
  /// Sends a call on a new connection and runs the loop until it has ended.
  CallerResponse Call(const CallerRequest& call, int gateway = 0);
  /// Starts another gateway named `name`, with settings edited by
  /// `edit_settings`, and returns its index.
  int AddGateway(const std::string& name, bool partitioned = false);
  /// Adds the settings of another gateway, which is not started.
  gateway::GatewayConfig& AddSettings(const std::string& name,
                                      bool partitioned = false);
  /// Starts a call; the response is filled in while the loop runs.
  std::shared_ptr<CallerResponse> StartCall(const CallerRequest& call,
                                            int gateway = 0);
  /// Sends raw bytes and returns all bytes received until the connection closes
  /// or `limit` has passed.
  std::string SendRaw(const std::string& bytes, int gateway = 0,
                      Ms limit = Seconds(3));
  /// Returns the body of the response to a GET of `path`.
  std::string Get(const Address& address, const std::string& path);
  /// Sends a message as another gateway does and returns the status of the
  /// response; zero without one.
  unsigned Post(const Address& address, const std::string& path,
                const std::string& body);
  /// Returns the requests that all engines received, grouped by engine.
  std::vector<ReceivedRequest> EngineRequests() const;
  /// Returns the number of requests that all plain servers received.
  size_t CountPlainRequests() const;

  gateway::asio::io_context loop;
  FakeStore store;
  /// Upstreams of the service "engines", which stream events.
  std::vector<std::unique_ptr<FakeServer>> engines;
  /// Upstreams of the service "plain".
  std::vector<std::unique_ptr<FakeServer>> plain;
  /// A deque, so that its elements stay where they are.
  std::deque<gateway::GatewayConfig> configs;
  std::vector<std::unique_ptr<gateway::Gateway>> gateways;
  uint64_t config_version = 1;
  /// Changes the settings of gateways that are added from now on.
  std::function<void(gateway::GatewayConfig&)> edit_settings;

 private:
  gateway::HttpResponse Ask(const Address& address,
                            const gateway::HttpRequest& call);
  /// Returns a loopback address on whose port nothing listens. The port stays
  /// bound, so that no connection gets it meanwhile.
  Address ReserveAddress();

  uint64_t memory_mb_;
  std::deque<gateway::asio::ip::tcp::socket> reserved_;
  Address store_address_;
};

/// Returns the name of a program of "ws2" whose budget has a gateway of the
/// cluster as its home while all others run.
std::string ProgramOfHome(const TestCluster& cluster, int home,
                          const std::string& prefix = "prog");
/// Returns a call of no program with the given request ID.
CallerRequest PlainCall(const std::string& path, const std::string& id = "p1");
/// Returns a turn of a program with a token budget and a prompt of 100 tokens.
CallerRequest TurnCall(const std::string& id, const std::string& program,
                       int token_budget, int max_output_tokens);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_WORLD_H_

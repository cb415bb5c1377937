#include "tests/platform/world.h"

#include "knapweed/gateway/peers.h"

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::Task;
using nlohmann::json;

constexpr char kLoopback[] = "127.0.0.1";

std::string RequestText(const CallerRequest& call) {
  std::string text =
      call.method + " " + call.path + " HTTP/1.1\r\nHost: " + kHost + "\r\n";
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.headers.contains("Key")) text += "Key: key1\r\n";
  if (!call.headers.contains("Request-Id")) text += "Request-Id: r0\r\n";
  text += "Content-Length: " + std::to_string(call.body.size()) +
          "\r\nConnection: close\r\n\r\n" + call.body;
  return text;
}

Task<void> RunCall(asio::io_context& loop, Address address, std::string text,
                   bool discards_body,
                   std::shared_ptr<CallerResponse> response) {
  const Clock clock = Clock::Steady();
  const Ms started = clock.Now();
  beast::tcp_stream stream(loop);
  const bool open = co_await gateway::Connect(stream, address, Seconds(1));
  if (open) {
    stream.expires_after(std::chrono::seconds(9));
    gateway::NetErrorCode ec;
    co_await asio::async_write(stream, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(uint64_t{1} << 40);
    while (!ec && !parser.is_done()) {
      co_await http::async_read_some(
          stream, buf, parser, asio::redirect_error(asio::use_awaitable, ec));
      if (discards_body) parser.get().body().clear();
    }
    response->status = static_cast<int>(parser.get().result_int());
    response->complete = !ec;
    response->body = parser.get().body();
    response->fields = parser.get();
  }
  response->elapsed = clock.Now() - started;
  response->done = true;
}

Task<void> RunRaw(asio::io_context& loop, Address address, std::string bytes,
                  Ms limit, std::shared_ptr<std::string> out,
                  std::shared_ptr<bool> done) {
  beast::tcp_stream stream(loop);
  const bool open = co_await gateway::Connect(stream, address, Seconds(1));
  if (open) {
    stream.expires_after(gateway::ToChrono(limit));
    gateway::NetErrorCode ec;
    co_await asio::async_write(stream, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    char buf[4096];
    while (!ec) {
      const size_t n = co_await stream.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      out->append(buf, n);
    }
  }
  *done = true;
}

}  // namespace

json DefaultConfig() {
  const auto route = [](const char* name, const char* prefix, const char* kind,
                        const char* service) {
    return json{{"name", name},       {"host", kHost},
                {"prefix", prefix},   {"kind", kind},
                {"timeout_ms", 4000}, {"target_latency_ms", 250},
                {"priority", 1},      {"service", service},
                {"max_attempts", 2},  {"keeps_history", false},
                {"keep_s", 60.0},     {"public", false},
                {"sticky", true},     {"resumable", false},
                {"gap_aim_ms", 200}};
  };
  json config = {{"version", 1}};
  config["routes"] = {route("turn", "/turn/", "streaming", "engines"),
                      route("kept", "/kept/", "streaming", "engines"),
                      route("resume", "/resume/", "streaming", "engines"),
                      route("safe", "/safe/", "safe", "plain"),
                      route("once", "/once/", "unsafe", "plain")};
  config["routes"][1]["keeps_history"] = true;
  config["routes"][2]["resumable"] = true;
  config["services"] = {
      {{"name", "engines"},
       {"health_path", "/health"},
       {"max_connections", 150},
       {"engine", {{"slots", 4}, {"kv_tokens", 100000}, {"stride", 4}}}},
      {{"name", "plain"},
       {"health_path", "/health"},
       {"max_connections", 100}}};
  config["limits"] = {{"max_header_bytes", 4096},
                      {"max_body_bytes", 65536},
                      {"header_timeout_ms", 1000},
                      {"idle_timeout_ms", 3000}};
  config["tenants"] = {{{"name", "ws1"},
                        {"api_keys", {"key1"}},
                        {"priority", 1},
                        {"rate_per_s", 1000},
                        {"burst", 1000}},
                       {{"name", "ws2"}, {"api_keys", {"key2"}}}};
  return config;
}

TestCluster::TestCluster(int gateway_count, int servers, int partitioned,
                         uint64_t memory_mb)
    : store(loop, 7), memory_mb_(memory_mb) {
  const Address store_address = ReserveAddress();
  store.Listen(store_address);
  for (int i = 0; i < servers; ++i) {
    const std::string n = std::to_string(i);
    engines.push_back(
        std::make_unique<FakeServer>(loop, "engine-" + n, ReserveAddress()));
    engines.back()->Listen();
    engines.back()->default_script.kind = Script::Kind::kEvents;
    store.Put("servers", engines.back()->id(),
              engines.back()->Entry("engines"));
    plain.push_back(
        std::make_unique<FakeServer>(loop, "plain-" + n, ReserveAddress()));
    plain.back()->Listen();
    store.Put("servers", plain.back()->id(), plain.back()->Entry("plain"));
  }
  Configure();
  store_address_ = store_address;
  for (int i = 0; i < gateway_count; ++i) {
    AddGateway("gateway-" + std::to_string(i),
               i + partitioned >= gateway_count);
  }
  RunUntil([this] {
    return std::all_of(gateways.begin(), gateways.end(),
                       [](const auto& gateway) { return gateway->IsReady(); });
  });
}

TestCluster::~TestCluster() = default;

Address TestCluster::ReserveAddress() {
  asio::ip::tcp::socket& socket = reserved_.emplace_back(loop);
  socket.open(asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind({asio::ip::make_address_v4(kLoopback), 0});
  return {kLoopback, socket.local_endpoint().port()};
}

gateway::GatewayConfig& TestCluster::AddSettings(const std::string& name,
                                                 bool partitioned) {
  gateway::GatewayConfig& config = configs.emplace_back();
  config.name = name;
  config.failure_domain = "a";
  config.memory_mb = memory_mb_;
  config.callers = ReserveAddress();
  config.readiness = ReserveAddress();
  config.peers = ReserveAddress();
  config.metrics = ReserveAddress();
  config.store = partitioned ? ReserveAddress() : store_address_;
  config.seeds.push_back(configs.front().peers);
  if (edit_settings) edit_settings(config);
  return config;
}

int TestCluster::AddGateway(const std::string& name, bool partitioned) {
  const gateway::GatewayConfig& config = AddSettings(name, partitioned);
  gateways.push_back(std::make_unique<gateway::Gateway>(
      loop, config, users_platform::PlatformDialect()));
  gateways.back()->Start();
  return static_cast<int>(gateways.size()) - 1;
}

void TestCluster::Configure(const std::function<void(json&)>& change) {
  json config = DefaultConfig();
  if (change) change(config);
  config["version"] = ++config_version;
  store.Put("op", "config", config.dump());
}

bool TestCluster::RunUntil(const std::function<bool()>& done, Ms limit) {
  const Clock clock = Clock::Steady();
  const Ms until = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= until) return false;
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  return true;
}

void TestCluster::RunFor(Ms span) {
  RunUntil([] { return false; }, span);
}

std::shared_ptr<CallerResponse> TestCluster::StartCall(
    const CallerRequest& call, int gateway) {
  auto response = std::make_shared<CallerResponse>();
  const Address& address = configs[static_cast<size_t>(gateway)].callers;
  gateway::Spawn(loop, RunCall(loop, address, RequestText(call),
                               call.discards_body, response));
  return response;
}

CallerResponse TestCluster::Call(const CallerRequest& call, int gateway) {
  const auto response = StartCall(call, gateway);
  RunUntil([&] { return response->done; });
  return *response;
}

std::string TestCluster::SendRaw(const std::string& bytes, int gateway,
                                 Ms limit) {
  auto out = std::make_shared<std::string>();
  auto done = std::make_shared<bool>(false);
  gateway::Spawn(
      loop, RunRaw(loop, configs[static_cast<size_t>(gateway)].callers, bytes,
                   limit, out, done));
  RunUntil([&] { return *done; });
  return *out;
}

gateway::HttpResponse TestCluster::Ask(const Address& address,
                                       const gateway::HttpRequest& call) {
  const Clock clock = Clock::Steady();
  gateway::HttpClient client(loop, clock, address);
  gateway::HttpResponse response;
  bool done = false;
  const auto run = [&]() -> Task<void> {
    response = co_await client.Send(call, Seconds(2));
    done = true;
  };
  gateway::Spawn(loop, run());
  RunUntil([&] { return done; });
  return response;
}

std::string TestCluster::Get(const Address& address, const std::string& path) {
  gateway::HttpRequest call;
  call.target = path;
  return Ask(address, call).body;
}

unsigned TestCluster::Post(const Address& address, const std::string& path,
                           const std::string& body) {
  gateway::HttpRequest call;
  call.method = http::verb::post;
  call.target = path;
  call.body = body;
  return static_cast<unsigned>(Ask(address, call).status);
}

std::vector<ReceivedRequest> TestCluster::EngineRequests() const {
  std::vector<ReceivedRequest> all;
  for (const auto& server : engines) {
    all.insert(all.end(), server->received.begin(), server->received.end());
  }
  return all;
}

size_t TestCluster::CountPlainRequests() const {
  size_t n = 0;
  for (const auto& server : plain) n += server->received.size();
  return n;
}

std::string ProgramOfHome(const TestCluster& cluster, int home,
                          const std::string& prefix) {
  const Clock clock = Clock::Steady();
  const Address& self = cluster.configs[static_cast<size_t>(home)].peers;
  std::vector<Address> others;
  for (const gateway::GatewayConfig& config : cluster.configs) {
    if (config.peers != self) others.push_back(config.peers);
  }
  gateway::Peers peers(clock, self);
  peers.SetOthers(others);
  for (int i = 0;; ++i) {
    std::string name = prefix + "-" + std::to_string(i);
    if (peers.HomeOf("ws2/" + name).is_self) return name;
  }
}

CallerRequest PlainCall(const std::string& path, const std::string& id) {
  CallerRequest call;
  call.path = path;
  call.headers["Request-Id"] = id;
  return call;
}

CallerRequest TurnCall(const std::string& id, const std::string& program,
                       int token_budget, int max_output_tokens) {
  CallerRequest call;
  call.headers["Request-Id"] = id;
  call.headers["Program-Id"] = program;
  call.headers["Session-Id"] = program + "-line";
  call.headers["Token-Budget"] = std::to_string(token_budget);
  call.headers["Token-Usage"] = "100," + std::to_string(max_output_tokens);
  return call;
}

}  // namespace knapweed::testing

// Case: the configuration grows by many routes of resumable streams.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kConfigApplyMs = 2000;
constexpr int kFirstRoutes = 10;
constexpr int kMoreRoutes = 1400;
constexpr int kFewMoreRoutes = 100;
constexpr int kRequests = 60;

json RouteJson(int number) {
  char prefix[24];
  snprintf(prefix, sizeof(prefix), "/pufi%04d/", number);
  return {{"name", "r-" + std::to_string(number)},
          {"host", "ficu95.example"},
          {"prefix", prefix},
          {"kind", "streaming"},
          {"timeout_ms", 4000},
          {"target_latency_ms", 250},
          {"priority", 0},
          {"service", "huvo11a"},
          {"max_attempts", 2},
          {"public", false},
          {"sticky", true},
          {"keeps_history", false},
          {"keep_s", 60.0},
          {"resumable", true},
          {"gap_aim_ms", 200}};
}

json ConfigWith(int version, int routes) {
  json list = json::array();
  for (int i = 0; i < routes; ++i) list.push_back(RouteJson(i));
  return {{"version", version},
          {"routes", std::move(list)},
          {"services",
           {{{"name", "huvo11a"},
             {"health_path", "/health"},
             {"max_connections", 150},
             {"protocol", "h1"},
             {"tls", false},
             {"engine", {{"slots", 12}, {"kv_tokens", 174738}, {"stride", 4}}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {{{"name", "tenant1"}, {"api_keys", {"key1"}}, {"priority", 1}}}}};
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet;
  std::atomic<int> too_large{0};
  fleet.store.on_too_large = [&](const std::string& table, const std::string& key, size_t bytes) {
    if (++too_large <= 3) {
      record.Line("STORE   rejected a row of table %s, key %s: %zu bytes, more than row_bytes",
                  table.c_str(), key.c_str(), bytes);
    }
  };
  for (int i = 0; i < 3; ++i) {
    Server& server = fleet.AddServer("huvo11a");
    server.handle = [](const Message&) {
      Action action;
      action.work_ms = 10;
      for (int k = 1; k <= 3; ++k) action.events.push_back("piece-" + std::to_string(k));
      action.event_gap_ms = 5;
      return action;
    };
  }
  fleet.store.Put("op", "config", ConfigWith(1, kFirstRoutes).dump());
  for (const auto& server : fleet.servers) server->Start();
  fleet.StartBeats();
  fleet.AddGateways(3);
  for (const auto& gateway : fleet.gateways) gateway->Start();
  if (!fleet.WaitReady()) {
    record.Line("The gateways did not become ready.");
    End(fleet, kNotRun);
  }
  SleepMs(3500);
  const int more = trouble ? kMoreRoutes : kFewMoreRoutes;
  record.Line("%s the configuration grows by %d routes", trouble ? "TROUBLE" : "NOTE   ", more);
  fleet.store.Put("op", "config", ConfigWith(8, kFirstRoutes + more).dump());
  // Steady state: well after the bound of the configuration.
  SleepMs(kConfigApplyMs + 8000);
  int served_first = 0;
  int served_added = 0;
  std::map<std::string, int> outcomes;
  for (int i = 0; i < kRequests; ++i) {
    for (const bool is_added : {false, true}) {
      const int route = is_added ? kFirstRoutes + i * 7 % more : i % kFirstRoutes;
      char target[32];
      snprintf(target, sizeof(target), "/pufi%04d/2f", route);
      const std::string id = NewRequestId();
      const std::string program = NewRequestId();
      const int port = fleet.gateways[static_cast<size_t>(i % 3)]->callers;
      std::string text = "POST " + std::string(target) +
                         " HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: " + id +
                         "\r\nKey: key1\r\nSession-Id: " + program +
                         "\r\nToken-Usage: 100,80\r\nDeadline-Ms: 4000\r\n"
                         "Content-Length: 5\r\n\r\ninput";
      const int fd = Connect(port);
      Reader reader(fd);
      reader.SetDeadline(NowMs() + 5000);
      Message answer;
      if (SendAll(fd, text) && ReadHead(reader, &answer)) ReadBody(reader, &answer, true);
      close(fd);
      const bool served = answer.Status() == 200 && answer.complete;
      if (served) ++(is_added ? served_added : served_first);
      record.Line("SENT    request=%s on %s route %s: answer %d %s", id.c_str(),
                  is_added ? "an added" : "a first", target, answer.Status(),
                  served ? "" : answer.body.c_str());
    }
  }
  const bool broken = served_first > 0 && 4 * served_added < served_first;
  record.Line("NOTE    the store rejected %d rows as too large; largest row of streams: %zu bytes",
              too_large.load(), fleet.store.LargestRow("streams"));
  record.Line("RESULT  served: %d of %d on the first routes, %d of %d on the added ones: %s",
              served_first, kRequests, served_added, kRequests, broken ? "BROKEN" : "held");
  End(fleet, broken ? kBroken : kHeld);
}

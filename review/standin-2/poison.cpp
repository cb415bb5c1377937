// Case: a request that crashes its servers, and the restart of one gateway.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kStableMs = 3000;
constexpr int kServers = 5;

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet;
  std::mutex mutex;
  std::set<std::string> sent;
  std::set<std::string> reached;
  int crashes = 0;
  int64_t third_crash_at = -1;
  std::atomic<int> bookings_lost{0};
  for (int i = 0; i < kServers; ++i) {
    Server& server = fleet.AddServer("app");
    server.handle = [](const Message& request) {
      Action action;
      action.crashes = request.body == "poison";
      action.work_ms = request.body == "booking" ? 400 : 20;
      return action;
    };
    server.on_run = [&](const std::string& id, const Message& request) {
      if (request.body != "poison") return;
      const std::lock_guard lock(mutex);
      const std::string request_id = Find(request.headers, "Request-Id");
      reached.insert(request_id);
      if (++crashes == 3) third_crash_at = NowMs();
      record.Line("RUN     request=%s server=%s: the server crashes (crash %d)",
                  request_id.c_str(), id.c_str(), crashes);
    };
  }
  const json config = {
      {"version", 1},
      {"routes",
       {{{"name", "r-book"},
         {"host", "front.example"},
         {"prefix", "/book/"},
         {"kind", "unsafe"},
         {"timeout_ms", 3000},
         {"target_latency_ms", 400},
         {"priority", 0},
         {"service", "app"},
         {"max_attempts", 1},
         {"public", false},
         {"sticky", false},
         {"keeps_history", false},
         {"resumable", false}},
        {{"name", "r-app"},
         {"host", "front.example"},
         {"prefix", "/app/"},
         {"kind", "safe"},
         {"timeout_ms", 3000},
         {"target_latency_ms", 400},
         {"priority", 0},
         {"service", "app"},
         {"max_attempts", 1},
         {"public", false},
         {"sticky", false},
         {"keeps_history", false},
         {"resumable", false}}}},
      {"services",
       {{{"name", "app"},
         {"health_path", "/health"},
         {"max_connections", 100},
         {"protocol", "h1"},
         {"tls", false}}}},
      {"limits",
       {{"max_header_bytes", 16384},
        {"max_body_bytes", 4194304},
        {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}}},
      {"tenants", {{{"name", "tenant1"}, {"api_keys", {"key1"}}, {"priority", 1}}}}};
  fleet.store.Put("op", "config", config.dump());
  for (const auto& server : fleet.servers) server->Start();
  fleet.StartBeats();
  fleet.AddGateways(3);
  for (const auto& gateway : fleet.gateways) gateway->Start();
  if (!fleet.WaitReady()) {
    record.Line("The gateways did not become ready.");
    End(fleet, kNotRun);
  }
  SleepMs(3000);
  Gateway& first = *fleet.gateways[0];
  int64_t in_touch_from = NowMs();
  int counted = 0;
  int plain_ok = 0;
  int plain_lost = 0;
  const auto send_poison = [&] {
    const std::string id = NewRequestId();
    const int64_t at = NowMs();
    bool late = false;
    {
      const std::lock_guard lock(mutex);
      late = third_crash_at >= 0 && at > third_crash_at + kStableMs;
    }
    // Bookings of others that run meanwhile; they may not be repeated.
    std::vector<std::thread> others;
    for (int i = 0; i < 2 * kServers; ++i) {
      others.emplace_back([&] {
        const Answer booking = Call(fleet.gateways[1]->callers, "POST", "/book/post",
                                    {{"Request-Id", NewRequestId()}, {"Key", "key1"}}, "booking",
                                    3000);
        if (booking.status != 200 && late) ++bookings_lost;
      });
    }
    SleepMs(200);
    const Answer answer =
        Call(first.callers, "POST", "/app/order", {{"Request-Id", id}, {"Key", "key1"}}, "poison",
             3000);
    for (std::thread& other : others) other.join();
    const std::lock_guard lock(mutex);
    const bool ran = reached.contains(id);
    const bool counts = ran && late && at >= in_touch_from;
    if (counts) ++counted;
    record.Line("SENT    request=%s through %s: answer %d, reached a server: %s%s", id.c_str(),
                first.name.c_str(), answer.status, ran ? "yes" : "no",
                counts ? " (counts)" : "");
    return answer;
  };
  // The request comes, and comes again while it is not answered.
  const int64_t first_until = NowMs() + 30000;
  while (NowMs() < first_until) {
    {
      const std::lock_guard lock(mutex);
      if (third_crash_at >= 0) break;
    }
    send_poison();
    SleepMs(3000);
  }
  if (third_crash_at < 0) End(fleet, kNotRun);
  const Answer refused = send_poison();
  record.Line("NOTE    after the third crash the request is answered %d", refused.status);
  // The gateways tell one another.
  SleepMs(2000);
  if (trouble) {
    record.Line("TROUBLE %s is killed (SIGKILL) and starts again", first.name.c_str());
    first.Kill();
    SleepMs(500);
    first.Start();
    if (!fleet.WaitReady()) End(fleet, kNotRun);
    in_touch_from = NowMs() + kStableMs;
    record.Line("NOTE    %s is ready again", first.name.c_str());
  }
  SleepMs(kStableMs + 500);
  const int64_t until = NowMs() + 45000;
  while (NowMs() < until) {
    send_poison();
    for (int i = 0; i < 5; ++i) {
      const Answer plain = Call(fleet.gateways[1]->callers, "POST", "/app/order",
                                {{"Request-Id", NewRequestId()}, {"Key", "key1"}}, "plain", 3000);
      plain.status == 200 ? ++plain_ok : ++plain_lost;
    }
    SleepMs(2500);
  }
  const bool broken = counted > 3;
  record.Line("NOTE    other requests: %d served, %d not; bookings that began to run and were lost "
              "with a server since the third crash: %d",
              plain_ok, plain_lost, bookings_lost.load());
  record.Line(
      "RESULT  %d retries reached servers, sent later than %d ms after the third crash by a "
      "gateway in touch; the rule allows 3: %s",
      counted, kStableMs, broken ? "BROKEN" : "held");
  End(fleet, broken ? kBroken : kHeld);
}

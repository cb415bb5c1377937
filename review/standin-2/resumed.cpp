// Case: a turn whose stream was broken by a reset and taken up again; the turn that
// continues it.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kStableMs = 3000;
constexpr int kPrograms = 3;
/// The time objective of a program; all tries of the second turn lie before it.
constexpr int kAimMs = 15000;
constexpr int kEvents = 8;
constexpr int kEventsBeforeReset = 3;
/// A turn is sent up to three times, each with one retry of the client.
constexpr int kTries = 6;

/// Returns the number of the last whole event in a stream.
int LastEvent(const std::string& body) {
  const size_t end = body.rfind("\n\n");
  if (end == std::string::npos) return 0;
  const size_t at = body.rfind("id: ", end);
  return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet;
  std::mutex mutex;
  std::map<std::string, std::string> reached;
  for (int i = 0; i < 3; ++i) {
    Server& server = fleet.AddServer("engines");
    server.handle = [](const Message&) {
      Action action;
      action.work_ms = 20;
      for (int k = 1; k <= kEvents; ++k) action.events.push_back("piece-" + std::to_string(k));
      action.event_gap_ms = 60;
      return action;
    };
    server.on_run = [&](const std::string& id, const Message& request) {
      const std::lock_guard lock(mutex);
      const std::string request_id = Find(request.headers, "Request-Id");
      reached[request_id] = request.body;
      record.Line("RUN     request=%s server=%s after event %s, body of %zu bytes",
                  request_id.c_str(), id.c_str(),
                  Find(request.headers, "Last-Event-Id").c_str(), request.body.size());
    };
  }
  const json config = {
      {"version", 1},
      {"routes",
       {{{"name", "r-turn"}, {"host", "front.example"}, {"prefix", "/turn/"},
         {"kind", "streaming"}, {"timeout_ms", 4000}, {"target_latency_ms", 250},
         {"priority", 0}, {"service", "engines"}, {"max_attempts", 2},
         {"public", false}, {"sticky", true}, {"keeps_history", true}, {"keep_s", 60.0},
         {"resumable", true}, {"gap_aim_ms", 200}}}},
      {"services",
       {{{"name", "engines"}, {"health_path", "/health"}, {"max_connections", 150},
         {"protocol", "h1"}, {"tls", false},
         {"engine", {{"slots", 12}, {"kv_tokens", 174738}, {"stride", 4}}}}}},
      {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
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
  SleepMs(3500);
  Proxy proxy(fleet.gateways[0]->callers);
  const auto port_of = [&](int k) { return fleet.gateways[static_cast<size_t>(k % 3)]->callers; };
  std::map<std::string, int64_t> aims;
  const auto headers_of = [&](const std::string& id, const std::string& program) {
    const int64_t aim = aims.emplace(program, NowMs() + kAimMs).first->second;
    return Headers{{"Request-Id", id},
                   {"Key", "key1"},
                   {"Program-Id", program},
                   {"Session-Id", program},
                   {"Finish-Ms", std::to_string(std::max<int64_t>(aim - NowMs(), 0))},
                   {"Token-Budget", "2000"},
                   {"Token-Usage", "100,136"}};
  };
  int lost = 0;
  for (int p = 0; p < kPrograms; ++p) {
    const std::string program = NewRequestId();
    const std::string first = NewRequestId();
    if (trouble) {
      record.Line("TROUBLE the client's connection is reset after event %d", kEventsBeforeReset);
      proxy.reset_after_events = kEventsBeforeReset;
    }
    const std::string input = "first input of " + program;
    Answer answer =
        Call(proxy.port(), "POST", "/turn/x", headers_of(first, program), input, 4000);
    proxy.reset_after_events = 0;
    std::string turn = first;
    std::string output = answer.message.body;
    record.Line("SENT    request=%s program=%s: answer %d, %s, events up to %d", first.c_str(),
                program.c_str(), answer.status,
                answer.message.complete ? "whole" : "broken off", LastEvent(output));
    const bool is_resumed = !answer.message.complete && LastEvent(output) > 0;
    if (is_resumed) {
      turn = NewRequestId();
      Headers headers = headers_of(turn, program);
      headers.emplace("Last-Event-Id", std::to_string(LastEvent(output)));
      headers.emplace("Resumes", first);
      answer = Call(port_of(1), "POST", "/turn/x", headers, input, 4000);
      record.Line("SENT    request=%s takes it up after event %d: answer %d, %s, events up to %d",
                  turn.c_str(), LastEvent(output), answer.status,
                  answer.message.complete ? "whole" : "broken off",
                  LastEvent(answer.message.body));
    }
    const bool is_whole = answer.status == 200 && answer.message.complete &&
                          LastEvent(answer.message.body) == kEvents;
    if (!is_whole) {
      record.Line("NOTE    the turn was not answered whole");
      continue;
    }
    // No unplanned disruption from stable_ms before the turn that follows.
    SleepMs(kStableMs + 500);
    int tries = 0;
    bool has_reached = false;
    for (int k = 0; k < kTries && !has_reached; ++k) {
      const std::string next = NewRequestId();
      Headers headers = headers_of(next, program);
      headers.emplace("Previous-Turn", turn);
      const Answer got = Call(port_of(k), "POST", "/turn/x", headers, "second input", 4000);
      ++tries;
      const std::lock_guard lock(mutex);
      has_reached = reached.contains(next);
      record.Line("SENT    request=%s continues turn %s, through edge-%d: answer %d (%s), "
                  "reached a server: %s",
                  next.c_str(), turn.c_str(), k % 3 + 1, got.status,
                  got.status == 200 ? "" : got.message.body.c_str(), has_reached ? "yes" : "no");
      if (!has_reached) SleepMs(200);
    }
    // First turns of other programs meanwhile.
    int first_turns = 0;
    for (int k = 0; k < 10; ++k) {
      const std::string other = NewRequestId();
      Call(port_of(k), "POST", "/turn/x", headers_of(other, NewRequestId()), "input", 4000);
      const std::lock_guard lock(mutex);
      if (reached.contains(other)) ++first_turns;
    }
    record.Line("NOTE    %d of 10 first turns reached a server", first_turns);
    if (!has_reached && tries >= 5 && first_turns >= 9) ++lost;
  }
  const bool broken = lost > 0;
  record.Line("RESULT  %d of %d programs: the turn after one that was answered whole reached no "
              "server in %d tries: %s",
              lost, kPrograms, kTries, broken ? "BROKEN" : "held");
  End(fleet, broken ? kBroken : kHeld);
}

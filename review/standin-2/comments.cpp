// Case: slow model servers that keep their streams alive with comment lines, and the
// history that the next turn's server gets.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int kPrograms = 42;
/// One of them is slow: a share of 0.143.
constexpr int kServers = 7;
constexpr int kEvents = 6;
constexpr int kGapMs = 60;
/// How many times as long a slow server works.
constexpr int kSlowFactor = 4;
/// A server writes a comment when it has sent nothing for so long.
constexpr int kKeepAliveMs = 150;

std::string Visible(std::string text) {
  for (size_t at = 0; (at = text.find('\n', at)) != std::string::npos; at += 2) {
    text.replace(at, 1, "\\n");
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  record.Open(argc > 1 ? argv[1] : "record.txt");
  const bool trouble = HasTrouble();
  Fleet fleet;
  std::mutex mutex;
  std::map<std::string, std::string> got;
  std::atomic<bool> slow{false};
  for (int i = 0; i < kServers; ++i) {
    Server& server = fleet.AddServer("engines");
    server.handle = [&, i](const Message&) {
      Action action;
      for (int k = 1; k <= kEvents; ++k) action.events.push_back("piece-" + std::to_string(k));
      action.event_gap_ms = slow && i == 0 ? kSlowFactor * kGapMs : kGapMs;
      action.comment_after_ms = kKeepAliveMs;
      return action;
    };
    server.on_run = [&](const std::string& id, const Message& request) {
      const std::lock_guard lock(mutex);
      const std::string request_id = Find(request.headers, "Request-Id");
      got[request_id] = request.body;
      record.Line("RUN     request=%s server=%s body=\"%s\"", request_id.c_str(), id.c_str(),
                  Visible(request.body).c_str());
    };
  }
  const json config = {
      {"version", 1},
      {"routes",
       {{{"name", "r-turn"}, {"host", "front.example"}, {"prefix", "/turn/"},
         {"kind", "streaming"}, {"timeout_ms", 4000}, {"target_latency_ms", 250},
         {"priority", 0}, {"service", "engines"}, {"max_attempts", 2},
         {"public", false}, {"sticky", true}, {"keeps_history", true}, {"keep_s", 60.0},
         {"resumable", false}, {"gap_aim_ms", 200}}}},
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
  int wrong = 0;
  int followed = 0;
  if (trouble) {
    record.Line("TROUBLE one of %d servers works %d times as long", kServers, kSlowFactor);
    slow = true;
  }
  const auto run_program = [&](int p) {
    const std::string program = NewRequestId();
    const auto headers_of = [&](const std::string& id) {
      return Headers{{"Request-Id", id},      {"Key", "key1"},
                     {"Program-Id", program}, {"Session-Id", program},
                     {"Finish-Ms", "15000"},  {"Token-Budget", "2000"},
                     {"Token-Usage", "100,136"}};
    };
    const int port = fleet.gateways[static_cast<size_t>(p % 3)]->callers;
    const std::string first = NewRequestId();
    const std::string input = "first-input;";
    const Answer answer = Call(port, "POST", "/turn/x", headers_of(first), input, 4000);
    const bool is_whole = answer.status == 200 && answer.message.complete;
    record.Line("SENT    request=%s: answer %d, %s: \"%s\"", first.c_str(), answer.status,
                is_whole ? "whole" : "not whole", Visible(answer.message.body).c_str());
    if (!is_whole) return;
    std::string expected = input;
    for (int k = 1; k <= kEvents; ++k) expected += "piece-" + std::to_string(k) + "\n";
    expected += "second-input;";
    const std::string next = NewRequestId();
    Headers headers = headers_of(next);
    headers.emplace("Previous-Turn", first);
    const Answer second = Call(port, "POST", "/turn/x", headers, "second-input;", 4000);
    const std::lock_guard lock(mutex);
    if (!got.contains(next)) return;
    ++followed;
    const bool is_right = got[next] == expected;
    if (!is_right) ++wrong;
    record.Line("SENT    request=%s continues it: answer %d; its server got %s body", next.c_str(),
                second.status, is_right ? "the right" : "ANOTHER");
    if (!is_right) record.Line("NOTE    expected \"%s\"", Visible(expected).c_str());
  };
  std::vector<std::thread> programs;
  for (int p = 0; p < kPrograms; ++p) programs.emplace_back(run_program, p);
  for (std::thread& thread : programs) thread.join();
  if (followed == 0) End(fleet, kNotRun);
  const bool broken = wrong > 0;
  record.Line("RESULT  %d of %d turns ran with a body that is not the chain's inputs and outputs: %s",
              wrong, followed, broken ? "BROKEN" : "held");
  End(fleet, broken ? kBroken : kHeld);
}

// Two software versions serve. While the store is away, streams begin at the
// new one; then all gateways are killed and come back, and callers take their
// streams up.
#include <csignal>

#include "standin.hpp"

using namespace review;

namespace {

// A release replaces two of the four servers.
constexpr int kOldServers = 4;
constexpr int kNewServers = 2;
constexpr int64_t kDrainAfterMs = 300;
constexpr int kCallers = 12;
constexpr int kEvents = 16;
constexpr int kGapMs = 90;
constexpr int kDeadlineMs = 4000;
// The old servers drain so long before the store goes away.
constexpr int64_t kNewBeforeMs = 1500;
// The store is away so long before the streams begin.
constexpr int64_t kAwayBeforeMs = 1500;
// The kill comes so long after the streams have begun.
constexpr int64_t kKillAfterMs = 700;
constexpr int64_t kDarkMs = 1000;

struct Caller {
  std::string id;
  Answer first;
  Answer resumed;
  std::string resumed_id;
};

int LastEvent(const std::string& body) {
  int last = 0;
  size_t at = 0;
  for (size_t end = body.find("\n\n"); end != std::string::npos;
       end = body.find("\n\n", at)) {
    const size_t id = body.find("id: ", at);
    if (id < end) last = std::stoi(body.substr(id + 4));
    at = end + 2;
  }
  return last;
}

Request Stream(const std::string& id) {
  Request stream;
  stream.path = "/fit/7";
  stream.id = id;
  stream.body = "which coupling fits";
  stream.deadline_ms = kDeadlineMs;
  stream.more = {{"Token-Usage", "1030,100"}};
  return stream;
}

void RunCaller(const std::vector<Gateway*>& gateways, size_t index,
               Caller& caller) {
  caller.id = "fit-" + std::to_string(index);
  const int64_t until = NowMs() + kDeadlineMs;
  const Gateway* gateway = gateways[index % gateways.size()];
  caller.first = SendNew(gateway->front(), Stream(caller.id));
  const int last = LastEvent(caller.first.body);
  if (caller.first.complete || last == 0) return;
  // Three retries within the deadline, each at another machine.
  constexpr int kRetries = 3;
  constexpr int64_t kPauseMs = 700;
  for (int i = 1; i <= kRetries && NowMs() + kPauseMs < until; ++i) {
    SleepMs(kPauseMs);
    Request resume = Stream(caller.id + "-retry-" + std::to_string(i));
    resume.deadline_ms = static_cast<int>(until - NowMs());
    resume.more.emplace_back("Last-Event-Id", std::to_string(last));
    resume.more.emplace_back("Resumes", caller.id);
    gateway = gateways[(index + static_cast<size_t>(i)) % gateways.size()];
    caller.resumed_id = resume.id;
    caller.resumed = SendNew(gateway->front(), resume);
    if (caller.resumed.status == 200) return;
  }
}

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  const std::string folder = TemporaryFolder();
  const Address store_address = FreeAddress(HostOf(0));
  Store store(store_address);
  json config = SmallConfig();
  config["routes"][0]["resumable"] = true;
  store.Put("op", "config", config);
  const auto work = [](const Headers&) { return Work{true, kEvents, kGapMs}; };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= kOldServers; ++i) {
    servers.push_back(std::make_unique<Server>(
        store, "old-" + std::to_string(i), "model-pool", FreeAddress(HostOf(i)),
        work, "v1"));
  }
  Gateway a("edge-lj-a-1", HostOf(10), folder, store_address);
  Gateway b("edge-lj-b-1", HostOf(11), folder, store_address);
  a.SetSeeds({&a, &b});
  b.SetSeeds({&a, &b});
  const std::vector<Gateway*> gateways = {&a, &b};
  for (Gateway* gateway : gateways) gateway->Start();
  for (Gateway* gateway : gateways) {
    if (!gateway->WaitUntilReady(10000)) {
      Finish(2, "the gateways don't get ready");
    }
  }
  SleepMs(4000);
  for (size_t i = 0; i < gateways.size(); ++i) {
    const Answer answer =
        SendNew(gateways[i]->front(), Stream("before-" + std::to_string(i)));
    if (answer.status != 200 || !answer.complete) {
      Finish(2, "a stream fails before the disruption");
    }
  }

  Record("a release: two servers of version v2 start, two of v1 drain");
  for (int i = 1; i <= kNewServers; ++i) {
    servers.push_back(std::make_unique<Server>(
        store, "new-" + std::to_string(i), "model-pool",
        FreeAddress(HostOf(kOldServers + i)), work, "v2"));
  }
  SleepMs(kDrainAfterMs);
  for (size_t i = 0; i < kNewServers; ++i) servers[i]->Drain();
  SleepMs(kNewBeforeMs);
  const int64_t away_since = NowMs();
  const char* only = getenv("ONLY");
  const bool goes_away =
      Trouble() && (only == nullptr || std::string(only) != "kill");
  if (goes_away) {
    store.silent = true;
    Record("the store is silent");
  }
  SleepMs(kAwayBeforeMs);

  std::vector<Caller> callers(kCallers);
  std::vector<std::thread> threads;
  for (size_t i = 0; i < callers.size(); ++i) {
    threads.emplace_back([&, i] { RunCaller(gateways, i, callers[i]); });
  }
  SleepMs(kKillAfterMs);
  if (Trouble()) {
    for (Gateway* gateway : gateways) gateway->Signal(SIGKILL);
    Record("SIGKILL to all gateways");
    for (Gateway* gateway : gateways) gateway->WaitForEnd(2000);
    store.silent = false;
    if (goes_away) {
      Record("the store is back after " + std::to_string(NowMs() - away_since) +
             " ms");
    }
    SleepMs(kDarkMs);
    for (Gateway* gateway : gateways) gateway->Start();
    Record("the gateways start again");
  }
  for (std::thread& thread : threads) thread.join();
  SleepMs(300);

  int joined = 0;
  int whole = 0;
  for (const Caller& caller : callers) {
    // Versions from whose runs the caller has events.
    std::string from;
    std::string then;
    for (const auto& server : servers) {
      for (const Run& run : server->RunsOf(caller.id)) {
        if (run.events > 0) from = run.version;
      }
      if (caller.resumed_id.empty()) continue;
      for (const Run& run : server->RunsOf(caller.resumed_id)) {
        if (run.events > 0) then = run.version;
      }
    }
    const int last = LastEvent(caller.first.body);
    const int got = LastEvent(caller.resumed.body);
    Record(caller.id + ": events 1 to " + std::to_string(last) + " from " +
           from +
           (got > 0 ? ", " + std::to_string(last + 1) + " to " +
                          std::to_string(got) + " from " + then
                    : "") +
           "; last status " +
           std::to_string(caller.resumed_id.empty() ? caller.first.status
                                                    : caller.resumed.status));
    if (caller.first.complete || caller.resumed.complete) ++whole;
    if (last > 0 && got > 0 && !then.empty() && from != then) ++joined;
  }
  if (!Trouble() && whole < kCallers) {
    Finish(2, "streams fail without the disruption");
  }
  if (joined > 2) {
    Finish(1, "ORDER: " + std::to_string(joined) +
                  " streams hold events from "
                  "servers of two software versions");
  }
  Finish(0, std::to_string(joined) + " streams hold events of two versions");
}

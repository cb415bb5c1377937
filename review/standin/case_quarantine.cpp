// A program's sub-agents ask the same thing in parallel when the server that
// runs them crashes, once. They are sent again after it is back.
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kServers = 7;
constexpr int kSubAgents = 4;
constexpr int kEvents = 14;
constexpr int kGapMs = 150;
constexpr int64_t kCrashAfterMs = 700;
constexpr int64_t kDownMs = 3000;
constexpr int64_t kStableMs = 3000;
constexpr int64_t kKeepMs = 60000;

Request Turn(const std::string& program, const std::string& line,
             const std::string& id, const std::string& previous,
             const std::string& input) {
  Request turn;
  turn.path = "/layout/7";
  turn.id = id;
  turn.body = input;
  turn.more = {{"Program-Id", program},
               {"Session-Id", line},
               {"Finish-Ms", "60000"},
               {"Token-Budget", "20000"},
               {"Token-Usage", "600,60"}};
  if (!previous.empty()) turn.more.emplace_back("Previous-Turn", previous);
  return turn;
}

std::string Text(const Answer& answer) {
  return "status " + std::to_string(answer.status) +
         (answer.complete ? ", whole" : ", not whole") +
         (answer.status == 200 ? "" : ", body " + answer.body);
}

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  const std::string folder = TemporaryFolder();
  const Address store_address = FreeAddress(HostOf(0));
  Store store(store_address);
  store.Put("op", "config", SmallConfig());
  const auto work = [](const Headers&) { return Work{true, kEvents, kGapMs}; };
  std::vector<std::unique_ptr<Server>> servers;
  for (int i = 1; i <= kServers; ++i) {
    servers.push_back(std::make_unique<Server>(store, "m-" + std::to_string(i),
                                               "model-pool",
                                               FreeAddress(HostOf(i)), work));
  }
  const auto runs_of = [&](const std::string& id) {
    std::vector<Run> runs;
    for (const auto& server : servers) {
      for (const Run& run : server->RunsOf(id)) runs.push_back(run);
    }
    return runs;
  };
  Gateway a("edge-lj-a-1", HostOf(20), folder, store_address);
  Gateway b("edge-lj-b-1", HostOf(21), folder, store_address);
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

  const std::string input = "propose one layout";
  const Answer parent =
      SendNew(a.front(), Turn("order-1", "line-1", "parent", "", "an oval"));
  Record("parent, a first turn: " + Text(parent));
  if (parent.status != 200 || !parent.complete) {
    Finish(2, "the parent turn was not answered");
  }
  std::vector<std::thread> threads;
  std::vector<Answer> answers(kSubAgents);
  for (int i = 0; i < kSubAgents; ++i) {
    threads.emplace_back([&, i] {
      const std::string n = std::to_string(i);
      answers[static_cast<size_t>(i)] =
          SendNew(a.front(),
                  Turn("order-1", "line-1-" + n, "sub-" + n, "parent", input));
    });
  }
  SleepMs(kCrashAfterMs);
  Server* most = nullptr;
  size_t most_runs = 0;
  for (const auto& server : servers) {
    size_t runs = 0;
    for (int i = 0; i < kSubAgents; ++i) {
      runs += server->RunsOf("sub-" + std::to_string(i)).size();
    }
    if (runs > most_runs) {
      most = server.get();
      most_runs = runs;
    }
  }
  if (most == nullptr) Finish(2, "the sub-agents' turns reach no server");
  Record(std::to_string(most_runs) + " of " + std::to_string(kSubAgents) +
         " turns of the sub-agents run at one server");
  if (Trouble()) {
    Record("that server crashes");
    most->Crash(kDownMs);
  }
  for (std::thread& thread : threads) thread.join();
  for (int i = 0; i < kSubAgents; ++i) {
    Record("sub-" + std::to_string(i) + ": " +
           Text(answers[static_cast<size_t>(i)]));
  }
  if (!Trouble()) {
    for (const Answer& answer : answers) {
      if (answer.status != 200 || !answer.complete) {
        Finish(2, "a turn fails without the disruption");
      }
    }
    Finish(0, "all turns of the sub-agents ran");
  }
  SleepMs(kDownMs + kStableMs + 500);

  int refused = 0;
  int first_turns_run = 0;
  int tries = 0;
  for (int i = 0; i < 6; ++i) {
    const Gateway& gateway = *gateways[static_cast<size_t>(i) % 2];
    const std::string n = std::to_string(i);
    const Answer control = SendNew(
        gateway.front(), Turn("other-" + n, "line", "fresh-" + n, "", "hello"));
    if (!runs_of("fresh-" + n).empty()) ++first_turns_run;
    Record("fresh-" + n + " at " + gateway.name() +
           ", a first turn: " + Text(control));
    const std::string id = "sub-again-" + n;
    const Answer again = SendNew(
        gateway.front(), Turn("order-1", "line-1-0", id, "parent", input));
    ++tries;
    Record(id + " at " + gateway.name() + ", continues parent, answered " +
           std::to_string(again.sent_ms - parent.ended_ms) +
           " ms ago: " + Text(again));
    if (again.ended_ms - parent.ended_ms >= kKeepMs) {
      Finish(2, "the tries took too long");
    }
    if (!runs_of(id).empty()) Finish(0, "the turn ran");
    ++refused;
    SleepMs(300);
  }
  if (first_turns_run < tries) Finish(2, "first turns reach no server either");
  Finish(1,
         "LOST: after one crash of one server, a turn whose Previous-Turn "
         "was answered whole reached no server in " +
             std::to_string(refused) + " tries");
}

// A turn is continued 50 s after it was answered, while an earlier turn of its
// chain is older than `keep_s`. Between the two, the gateway is stopped and
// started again.
#include <csignal>

#include "standin.hpp"

using namespace review;

namespace {

constexpr int64_t kKeepMs = 60000;
// When the second turn, the stop and the third turn come, after the first one.
constexpr int64_t kSecondAfterMs = 40000;
constexpr int64_t kStopAfterMs = 82000;
constexpr int64_t kThirdAfterMs = 92000;
// A machine is in touch so long after its start.
constexpr int64_t kStableMs = 3000;

Request Turn(const std::string& id, const std::string& previous,
             const std::string& input) {
  Request turn;
  turn.path = "/layout/7";
  turn.id = id;
  turn.body = input;
  turn.more = {
      {"Program-Id", "layout-order-1"}, {"Session-Id", "line-1"},
      {"Finish-Ms", "150000"},          {"Token-Budget", "20000"},
      {"Token-Usage", "600,60"},        {"Prompt-Prefix", "5c1e07a2:600"}};
  if (!previous.empty()) turn.more.emplace_back("Previous-Turn", previous);
  return turn;
}

std::string OutputOf(const std::string& id, int events) {
  std::string out;
  for (int i = 1; i <= events; ++i) out += Server::DataOf(id, i) + "\n";
  return out;
}

void RecordAnswer(const std::string& what, const Answer& answer) {
  Record(what + ": sent at " + std::to_string(answer.sent_ms) + " ms, status " +
         std::to_string(answer.status) +
         (answer.complete ? ", whole" : ", not whole") +
         (answer.status == 200 ? "" : ", body " + answer.body));
}

}  // namespace

int main(int, char** argv) {
  OpenRecord(argv[1]);
  const std::string folder = TemporaryFolder();
  const Address store_address = FreeAddress(HostOf(0));
  Store store(store_address);
  store.Put("op", "config", SmallConfig());
  constexpr int kEvents = 8;
  const auto work = [](const Headers&) { return Work{true, kEvents, 20}; };
  Server first_server(store, "i-1", "model-pool", FreeAddress(HostOf(1)), work);
  Server second_server(store, "i-2", "model-pool", FreeAddress(HostOf(2)),
                       work);
  const auto runs_of = [&](const std::string& id) {
    std::vector<Run> runs = first_server.RunsOf(id);
    for (const Run& run : second_server.RunsOf(id)) runs.push_back(run);
    return runs;
  };
  Gateway a("edge-lj-a-1", HostOf(10), folder, store_address);
  Gateway b("edge-lj-b-1", HostOf(11), folder, store_address);
  a.SetSeeds({&a, &b});
  b.SetSeeds({&a, &b});
  a.Start();
  b.Start();
  if (!a.WaitUntilReady(10000) || !b.WaitUntilReady(10000)) {
    Finish(2, "the gateways don't get ready");
  }
  SleepMs(1000);

  const int64_t began = NowMs();
  const Answer one = SendNew(a.front(), Turn("turn-1", "", "first input "));
  RecordAnswer("turn-1, a first turn", one);
  SleepUntil(began + kSecondAfterMs);
  const Answer two =
      SendNew(a.front(), Turn("turn-2", "turn-1", "second input "));
  RecordAnswer("turn-2, continues turn-1", two);
  if (one.status != 200 || !one.complete || two.status != 200 ||
      !two.complete) {
    Finish(2, "the first two turns were not answered");
  }

  SleepUntil(began + kStopAfterMs);
  if (Trouble()) {
    Record("SIGTERM to " + a.name());
    a.Signal(SIGTERM);
    if (!a.WaitForEnd(8000)) {
      a.Signal(SIGKILL);
      a.WaitForEnd(2000);
    }
    Record(a.name() + " has ended, starts again");
    SleepMs(200);
    a.Start();
    if (!a.WaitUntilReady(10000)) Finish(2, "the gateway isn't ready again");
    Record(a.name() + " is ready again");
    SleepMs(kStableMs);
  }
  SleepUntil(began + kThirdAfterMs);

  // The turn has two attempts and is sent again from its start twice.
  const std::string history = "first input " + OutputOf("turn-1", kEvents) +
                              "second input " + OutputOf("turn-2", kEvents) +
                              "third input ";
  int first_turns = 0;
  int first_turns_run = 0;
  int refused = 0;
  for (int i = 1; i <= 6; ++i) {
    const std::string fresh = "fresh-" + std::to_string(i);
    const Answer control = SendNew(a.front(), Turn(fresh, "", "other input "));
    ++first_turns;
    if (!runs_of(fresh).empty()) ++first_turns_run;
    RecordAnswer(fresh + ", a first turn", control);
    const std::string id = "turn-3-" + std::to_string(i);
    const Answer three = SendNew(a.front(), Turn(id, "turn-2", "third input "));
    RecordAnswer(id + ", continues turn-2, answered " +
                     std::to_string(three.sent_ms - two.ended_ms) + " ms ago",
                 three);
    if (three.ended_ms - two.ended_ms >= kKeepMs) {
      Finish(2, "the tries took too long");
    }
    const std::vector<Run> runs = runs_of(id);
    for (const Run& run : runs) {
      if (run.body != history) {
        Finish(1, "UNASKED: turn-3 ran with another body");
      }
      Record(id + " ran at " + run.server + " with its whole history");
    }
    if (!runs.empty()) Finish(0, "turn-3 ran");
    ++refused;
    const std::string retry = HeaderOf(three.headers, "Retry-After");
    const int64_t wait = retry.empty() ? 200 : std::stod(retry) * 1000;
    SleepMs(std::min<int64_t>(wait, 1300));
  }
  if (first_turns_run * 10 < first_turns * 9) {
    Finish(2, "first turns reach no server either");
  }
  Finish(1, "LOST: a turn whose Previous-Turn was answered whole less than " +
                std::to_string(kKeepMs / 1000) +
                " s ago reached no server in " + std::to_string(refused) +
                " tries; of the first turns beside "
                "it, " +
                std::to_string(first_turns_run) + " of " +
                std::to_string(first_turns) + " did");
}

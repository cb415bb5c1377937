// Runs a few programs as a caller through running entries and checks each
// answer: the engine stand-in computes its answer from the conversation
// history, so a wrong, missing or mixed-up history is detected. Also sends a
// booking twice and checks that it ran once.

#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "knapweed/base/daemon_args.h"
#include "knapweed/base/ids.h"
#include "knapweed/http/client.h"
#include "standins/engine_answer.h"

namespace knapweed {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMaxTokens = 48;
/// The pause between two turns while the agent would run a tool.
constexpr Ms kSimulatedToolTime = Ms{150};
constexpr Ms kCallTimeout = Seconds(30);
constexpr std::string_view kModelPath = "/v1/chat/completions";
constexpr std::string_view kBookingPath = "/book";

struct DemoOptions {
  std::vector<Address> entries;
  Address booking_service;
  std::string key;
  std::string model;
};

/// Totals over all calls of a run.
struct Totals {
  int calls = 0;
  /// Number of failed checks.
  int failures = 0;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
};

/// A program and its history, which is kept only to check the answers: requests
/// carry just the new message.
struct DemoProgram {
  std::string name;
  /// Name of the parent program; empty when there is none.
  std::string parent;
  std::vector<ChatMessage> history;
};

/// Runs the demo and checks the answers. Not thread-safe.
class Demo {
 public:
  explicit Demo(DemoOptions options) : options_(std::move(options)) {
    for (const Address& entry : options_.entries) {
      clients_.push_back(std::make_unique<HttpClient>(entry));
    }
  }

  /// Runs all programs and the booking. Returns the number of failed checks.
  int Run();

 private:
  /// Sends the next user message of a program and checks the answer.
  void SendTurn(DemoProgram& program, const std::string& text, bool stream);
  /// Sends the same booking twice, with one idempotency key, and checks that it
  /// ran once and both replies are equal.
  void BookTwice(const std::string& reference);
  /// Counts and prints `failure` unless `ok`.
  void Expect(bool ok, const std::string& failure);
  /// Checks an answer, prints the turn and adds the answer to the history.
  void CheckAnswer(DemoProgram& program, const std::string& text,
                   const Json& usage, const std::string& upstream, Ms elapsed);
  HttpRequest MakeRequest(std::string_view path, const Json& body) const;
  /// Returns the client of the next entry in rotation. With several entries,
  /// many calls then reach one that does not own the program and has to forward
  /// them.
  HttpClient& NextClient() {
    return *clients_[static_cast<size_t>(totals_.calls++) % clients_.size()];
  }

  DemoOptions options_;
  Clock clock_ = Clock::Steady();
  std::vector<std::unique_ptr<HttpClient>> clients_;
  Totals totals_;
};

void Demo::Expect(bool ok, const std::string& failure) {
  if (ok) return;
  ++totals_.failures;
  std::printf("  WRONG: %s\n", failure.c_str());
}

HttpRequest Demo::MakeRequest(std::string_view path, const Json& body) const {
  HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.headers = {{"Authorization", "Bearer " + options_.key},
                     {"Content-Type", "application/json"}};
  request.body = body.dump();
  return request;
}

// Joins the content deltas of a server-sent event stream. Stores the last JSON
// event, which carries the usage, in `last`; sets `done` at the end marker.
std::string JoinStream(const std::string& body, Json* last, bool* done) {
  std::string text;
  size_t at = 0;
  constexpr std::string_view kData = "data: ";
  while (at < body.size()) {
    const size_t end = std::min(body.find("\n\n", at), body.size());
    std::string event = body.substr(at, end - at);
    at = end + 2;
    if (!event.starts_with(kData)) continue;
    event.erase(0, kData.size());
    if (event == "[DONE]") {
      *done = true;
      continue;
    }
    const Json json = Json::parse(event, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) continue;
    text += json["choices"][0]["delta"].value("content", "");
    *last = json;
  }
  return text;
}

void Demo::CheckAnswer(DemoProgram& program, const std::string& text,
                       const Json& usage, const std::string& upstream,
                       Ms elapsed) {
  const std::string expected =
      EngineAnswer(options_.model, program.history, kMaxTokens);
  Expect(text == expected,
         "the answer does not match the history of this program");
  const uint64_t prompt = usage.value("prompt_tokens", uint64_t{0});
  const uint64_t cached = usage.value("cached_tokens", uint64_t{0});
  totals_.prompt_tokens += prompt;
  totals_.cached_tokens += cached;
  std::printf("%-14s turn %zu  %5lld ms  %5llu cached %5llu computed  on %s\n",
              program.name.c_str(), program.history.size() / 2 + 1,
              static_cast<long long>(elapsed.count),             // NOLINT
              static_cast<unsigned long long>(cached),           // NOLINT
              static_cast<unsigned long long>(prompt - cached),  // NOLINT
              upstream.c_str());
  std::printf("    %.72s...\n", text.c_str());
  program.history.push_back({"assistant", text});
}

void Demo::SendTurn(DemoProgram& program, const std::string& text,
                    bool stream) {
  const Json message = {{"role", "user"}, {"content", text}};
  HttpRequest request =
      MakeRequest(kModelPath, {{"model", options_.model},
                               {"messages", Json::array({message})},
                               {"max_tokens", kMaxTokens},
                               {"stream", stream}});
  request.headers.push_back({"X-Knapweed-Program", program.name});
  if (!program.parent.empty()) {
    request.headers.push_back({"X-Knapweed-Parent", program.parent});
  }
  const Ms start = clock_.Now();
  HttpCallOptions call;
  call.timeout = kCallTimeout;
  absl::StatusOr<HttpReply> reply = NextClient().Call(request, call);
  const Ms elapsed = clock_.Now() - start;
  if (!reply.ok() || reply->status != 200) {
    Expect(false,
           reply.ok() ? reply->body : std::string{reply.status().message()});
    return;
  }
  program.history.push_back({"user", text});
  if (stream) {
    Json last;
    bool done = false;
    const std::string answer = JoinStream(reply->body, &last, &done);
    Expect(done, "the stream has no end marker");
    const Json usage = last.value("usage", Json::object());
    CheckAnswer(program, answer, usage, last.value("upstream", "?"), elapsed);
    return;
  }
  const Json json = Json::parse(reply->body, nullptr, false);
  const std::string answer = json["choices"][0]["message"].value("content", "");
  CheckAnswer(program, answer, json["usage"],
              std::string(FindHeader(reply->headers, "X-Knapweed-Upstream")),
              elapsed);
}

void Demo::BookTwice(const std::string& reference) {
  HttpRequest request =
      MakeRequest(kBookingPath, {{"reference", reference}, {"seats", 2}});
  request.headers.push_back({"Idempotency-Key", reference});
  request.headers.push_back({"X-Knapweed-Program", "booking-" + reference});
  const absl::StatusOr<HttpReply> first = NextClient().Call(request);
  const absl::StatusOr<HttpReply> resent = NextClient().Call(request);
  Expect(first.ok() && first->status == 200, "the booking failed");
  Expect(first.ok() && resent.ok() && first->body == resent->body,
         "the repeated booking got a different reply");
  HttpClient service(options_.booking_service);
  const absl::StatusOr<HttpReply> record =
      service.Call({"GET", "/record", "", {}, ""});
  int runs = 0;
  const Json list =
      record.ok() ? Json::parse(record->body, nullptr, false) : Json::array();
  for (const Json& run : list) {
    if (run.value("reference", "") == reference) ++runs;
  }
  Expect(runs == 1, "the booking ran " + std::to_string(runs) + " times");
  std::printf("%-14s sent twice, ran %d time(s): %.60s\n", reference.c_str(),
              runs, first.ok() ? first->body.c_str() : "");
}

int Demo::Run() {
  const std::string run = RandomHexId().substr(0, 6);
  DemoProgram parent_program{"layout-" + run, "", {}};
  SendTurn(parent_program, "Which coupling fits the V100 and the Rh 2043?",
           false);
  SleepFor(kSimulatedToolTime);
  SendTurn(parent_program, "The stock tool says 14 of the first. Reserve six.",
           true);
  DemoProgram child{parent_program.name + "/detail", parent_program.name, {}};
  SendTurn(child, "List the brass details for a V100.", false);
  SendTurn(child, "Only those in stock.", false);
  SleepFor(kSimulatedToolTime);
  SendTurn(parent_program, "Add what the other agent found, then sum up.",
           false);
  SendTurn(parent_program, "Write it as a dealer's order.", true);
  BookTwice("order-" + run);
  const uint64_t computed = totals_.prompt_tokens - totals_.cached_tokens;
  std::printf(
      "%d calls, %llu prompt tokens: %llu cached, %llu computed; %d wrong\n",
      totals_.calls,
      static_cast<unsigned long long>(totals_.prompt_tokens),        // NOLINT
      static_cast<unsigned long long>(totals_.cached_tokens),        // NOLINT
      static_cast<unsigned long long>(computed), totals_.failures);  // NOLINT
  return totals_.failures;
}

/// Parses the command line. Returns false when an option is missing or wrong.
bool ReadOptions(int argc, const char** argv, DemoOptions* options) {
  char* entries = nullptr;
  char* service = nullptr;
  char* key = nullptr;
  char* model = nullptr;
  const poptOption table[] = {
      {"entries", 0, POPT_ARG_STRING, &entries, 0, "entries to call",
       "IP:PORT,..."},
      {"service", 0, POPT_ARG_STRING, &service, 0, "the booking stand-in",
       "IP:PORT"},
      {"key", 0, POPT_ARG_STRING, &key, 0, "a workspace's key", "KEY"},
      {"model", 0, POPT_ARG_STRING, &model, 0, "model to call", "NAME"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const bool parsed = poptGetNextOpt(context) == -1;
  poptFreeContext(context);
  if (!parsed || entries == nullptr || service == nullptr || key == nullptr) {
    return false;
  }
  options->key = key;
  options->model = model == nullptr ? "small" : model;
  Settings settings =
      Settings::Parse("[demo]\nentries = " + std::string(entries) +
                          "\nservice = " + std::string(service) + "\n",
                      "command line");
  options->entries = settings.GetAddresses("demo", "entries", "");
  options->booking_service = settings.GetAddress("demo", "service");
  return settings.Check().ok() && !options->entries.empty();
}

}  // namespace
}  // namespace knapweed

int main(int argc, const char** argv) {
  knapweed::DemoOptions options;
  if (!knapweed::ReadOptions(argc, argv, &options)) {
    std::fprintf(stderr,
                 "usage: knapweed-demo --entries IP:PORT,... --service IP:PORT "
                 "--key KEY [--model NAME]\n");
    return knapweed::kExitUsage;
  }
  knapweed::Demo demo(std::move(options));
  return demo.Run() == 0 ? knapweed::kExitOk : knapweed::kExitFailed;
}

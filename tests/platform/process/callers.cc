#include "tests/platform/process/callers.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <map>
#include <optional>

namespace knapweed::testing {
namespace {

namespace asio = gateway::asio;
namespace beast = gateway::beast;
namespace http = gateway::http;
using gateway::NetErrorCode;
using gateway::Sleep;
using gateway::Task;

constexpr Ms kConnectTimeout{1000};
/// A caller waits so much longer than its deadline.
constexpr Ms kDeadlineSlack{1500};
constexpr Ms kSlowReadPause{60};
/// Bytes between two pauses of a slow reader.
constexpr size_t kSlowReadBytes = 128 << 10;
constexpr size_t kReadBytes = 64 << 10;
constexpr int kUploadParts = 8;
constexpr Ms kUploadPause{100};
constexpr int kMaxTries = 8;
/// Tokens of each event, as the configuration states them.
constexpr int kStride = 4;
constexpr size_t kNoGateway = SIZE_MAX;

/// A caller's connection to a gateway.
struct Connection {
  Connection(ProcessWorld& world, size_t to)
      : stream(world.loop), gateway(to) {}
  beast::tcp_stream stream;
  beast::flat_buffer buf;
  size_t gateway;
  int number = 0;
  int requests = 0;
};
using ConnectionPtr = std::unique_ptr<Connection>;

/// A request as the caller writes it; `attempt` stands in the ledger.
struct Outgoing {
  Attempt* attempt = nullptr;
  std::string method = "POST";
  std::map<std::string, std::string> headers;
  std::string body;
  /// The caller closes the connection after so many events; 0 for never.
  int leaves_after = 0;
};

std::string HeadText(const Outgoing& out) {
  const Attempt& attempt = *out.attempt;
  std::string text =
      out.method + " " + attempt.path + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nKey: key2\r\nRequest-Id: " + attempt.id +
      "\r\nDeadline-Ms: " + std::to_string(attempt.time_allowed.count) + "\r\n";
  for (const auto& [name, value] : out.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(out.body.size()) + "\r\n\r\n";
  return text;
}

/// Returns a connection to that gateway, the one at hand if it is open; null if
/// none can be opened.
Task<ConnectionPtr> Reach(ProcessWorld& world, ConnectionPtr at_hand,
                          size_t to) {
  static int opened = 0;
  if (at_hand != nullptr && gateway::IsReusable(at_hand->stream)) {
    co_return at_hand;
  }
  auto fresh = std::make_unique<Connection>(world, to);
  const bool open = co_await gateway::Connect(
      fresh->stream, world.gateways[to].config.callers, kConnectTimeout);
  if (!open) co_return nullptr;
  fresh->number = ++opened;
  fresh->buf.reserve(kReadBytes);
  co_return fresh;
}

Task<bool> WriteBytes(Connection& connection, std::string_view bytes) {
  NetErrorCode ec;
  co_await asio::async_write(connection.stream,
                             asio::buffer(bytes.data(), bytes.size()),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return !ec;
}

/// Writes the requests back to back; an upload's body in parts.
Task<bool> WriteRequests(ProcessWorld& world, Connection& connection,
                         std::vector<Outgoing>& batch) {
  std::string text;
  for (const Outgoing& it : batch) text += HeadText(it) + it.body;
  const std::string_view all = text;
  const bool slowly = batch.front().attempt->kind == RequestKind::kUpload;
  const size_t parts = slowly ? kUploadParts : 1;
  const size_t part = text.size() / parts + 1;
  for (size_t at = 0; at < text.size(); at += part) {
    if (at > 0) {
      co_await Sleep(world.loop, kUploadPause);
    }
    const bool written = co_await WriteBytes(connection, all.substr(at, part));
    if (!written) co_return false;
  }
  for (Outgoing& it : batch) it.attempt->sent_at = world.Now();
  co_return true;
}

WaitEnd EndOf(const NetErrorCode& ec) {
  if (ec == beast::error::timeout) return WaitEnd::kTimeout;
  if (ec == asio::error::connection_reset || ec == asio::error::broken_pipe) {
    return WaitEnd::kReset;
  }
  return WaitEnd::kClosed;
}

int CountEvents(const std::string& body) {
  int n = 0;
  for (size_t at = 0; (at = body.find("\n\n", at)) != std::string::npos;) {
    ++n;
    at += 2;
  }
  return n;
}

/// The events of a complete stream that begins after event `last`.
std::string EventsText(int last, int events) {
  std::string text;
  for (int i = last + 1; i <= events; ++i) {
    const std::string n = std::to_string(i);
    text.append("id: ").append(n).append("\ndata: word");
    text.append(n).append("\n\n");
  }
  return text;
}

/// Notes what the response was, once it has ended or broken off.
void NoteResponse(const Outgoing& out,
                  const http::response<http::string_body>& r, bool has_header) {
  Attempt& it = *out.attempt;
  if (!has_header) return;
  it.status = static_cast<int>(r.result_int());
  if (it.status != 200) it.reason = r.body();
  const auto events = out.headers.find(kEventsHeader);
  if (it.status != 200 || events == out.headers.end()) return;
  it.events = CountEvents(r.body());
  const std::string whole =
      EventsText(it.last_event_id, std::stoi(events->second));
  const std::string_view body = r.body();
  const bool is_start =
      whole.starts_with(body.substr(0, body.rfind("\n\n") + 2));
  const bool is_whole = r.body() == whole;
  it.is_out_of_order =
      it.end == WaitEnd::kAnswered ? !is_whole : it.events > 0 && !is_start;
}

/// Reads the response to one request. Returns whether the connection can carry
/// the next one.
Task<bool> ReadResponse(ProcessWorld& world, Connection& connection,
                        const Outgoing& out) {
  Attempt& it = *out.attempt;
  connection.stream.expires_after(
      gateway::ToChrono(it.time_allowed + kDeadlineSlack));
  http::response_parser<http::string_body> parser;
  parser.body_limit(uint64_t{1} << 30);
  NetErrorCode ec;
  bool leaves = false;
  size_t pauses_at = kSlowReadBytes;
  const Ms until = world.Now() + it.time_allowed + kDeadlineSlack;
  while (!ec && !leaves && !parser.is_done()) {
    co_await http::async_read_some(
        connection.stream, connection.buf, parser,
        asio::redirect_error(asio::use_awaitable, ec));
    const size_t read = parser.get().body().size();
    if (it.kind == RequestKind::kSlowRead && read >= pauses_at) {
      pauses_at = read + kSlowReadBytes;
      co_await Sleep(world.loop, kSlowReadPause);
    }
    if (!ec && world.Now() > until) ec = beast::error::timeout;
    leaves = out.leaves_after > 0 && !parser.is_done() &&
             CountEvents(parser.get().body()) >= out.leaves_after;
  }
  it.ended_at = world.Now();
  it.end = ec ? EndOf(ec) : leaves ? WaitEnd::kLeft : WaitEnd::kAnswered;
  NoteResponse(out, parser.get(), parser.is_header_done());
  const bool goes_on = it.end == WaitEnd::kAnswered && parser.keep_alive();
  if (!goes_on) connection.stream.close();
  co_return goes_on;
}

/// Sends the requests on the connection and reads their responses. Returns
/// whether the connection can carry more.
Task<bool> Exchange(ProcessWorld& world, Connection& connection,
                    std::vector<Outgoing> batch) {
  connection.stream.expires_after(std::chrono::seconds(10));
  for (Outgoing& it : batch) {
    it.attempt->gateway = connection.gateway;
    it.attempt->connection = connection.number;
    it.attempt->number_on_connection = ++connection.requests;
    it.attempt->pipelined = batch.size() > 1;
  }
  bool open = co_await WriteRequests(world, connection, batch);
  for (Outgoing& it : batch) {
    // A failed write may have been answered already.
    if (open || it.attempt->sent_at == Ms{0}) {
      open = co_await ReadResponse(world, connection, it);
      continue;
    }
    it.attempt->end = WaitEnd::kClosed;
    it.attempt->ended_at = world.Now();
  }
  co_return open;
}

/// A batch of one. g++ 12 can't compile a list of them in an awaited call.
std::vector<Outgoing> BatchOf(Outgoing out) {
  std::vector<Outgoing> batch;
  batch.push_back(std::move(out));
  return batch;
}

Attempt& NewAttempt(ProcessWorld& world, RequestKind kind,
                    const std::string& path) {
  Attempt it;
  it.kind = kind;
  it.path = path;
  it.id = world.NewId(std::string(NameOf(kind)));
  it.time_allowed = kRouteTimeout;
  return world.AddAttempt(std::move(it));
}

Ms PlainWork(Dice& dice) {
  const int sort = dice.Roll(1, 100);
  if (sort <= 60) return dice.RollMs(2, 60);
  if (sort <= 90) return dice.RollMs(500, 2000);
  return dice.RollMs(2500, 3700);
}

Outgoing PlainRequest(ProcessWorld& world, Dice& dice) {
  const int sort = dice.Roll(1, 100);
  const RequestKind kind = sort <= 40   ? RequestKind::kSafe
                           : sort <= 80 ? RequestKind::kUnsafe
                           : sort <= 90 ? RequestKind::kUpload
                                        : RequestKind::kSlowRead;
  const bool safe = !IsUnsafe(kind);
  Outgoing out;
  out.attempt = &NewAttempt(world, kind, safe ? "/safe/x" : "/once/x");
  out.attempt->work = PlainWork(dice);
  out.body = "input";
  if (kind == RequestKind::kUpload) out.body.assign(60000, 'u');
  if (kind == RequestKind::kSlowRead) {
    out.attempt->work = dice.RollMs(2, 60);
    out.headers[kLargeHeader] = "1";
  }
  out.headers[kPauseHeader] = std::to_string(out.attempt->work.count);
  return out;
}

/// Sets the headers of a stream and notes how long it takes.
void AskForStream(Outgoing& out, Dice& dice, int events) {
  const Ms pause = dice.RollMs(5, 300);
  const Ms gap = dice.RollMs(5, 80);
  out.headers[kPauseHeader] = std::to_string(pause.count);
  out.headers[kEventsHeader] = std::to_string(events);
  out.headers[kGapHeader] = std::to_string(gap.count);
  out.headers["Token-Usage"] = "100," + std::to_string(events * kStride);
  out.attempt->work = pause + gap * (events - 1);
}

/// Sends plain requests, some of them several at a time.
Task<void> RunPlainCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  ConnectionPtr connection;
  while (!world.stopping) {
    const size_t to = connection != nullptr
                          ? connection->gateway
                          : world.PickGateway(dice, kNoGateway);
    connection = co_await Reach(world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(world.loop, Ms{100});
      continue;
    }
    std::vector<Outgoing> batch;
    batch.push_back(PlainRequest(world, dice));
    const bool pipelines = batch[0].attempt->kind == RequestKind::kSafe ||
                           batch[0].attempt->kind == RequestKind::kUnsafe;
    if (pipelines && dice.Chance(15)) {
      batch.push_back(PlainRequest(world, dice));
      if (dice.Chance(50)) batch.push_back(PlainRequest(world, dice));
    }
    const bool open = co_await Exchange(world, *connection, std::move(batch));
    if (!open) connection.reset();
    co_await Sleep(world.loop, dice.RollMs(0, 250));
  }
  --world.callers_running;
}

/// Sends the turns of programs with a token budget.
Task<void> RunTurnCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  ConnectionPtr connection;
  std::string program = world.NewId("program");
  while (!world.stopping) {
    const size_t to = connection != nullptr
                          ? connection->gateway
                          : world.PickGateway(dice, kNoGateway);
    connection = co_await Reach(world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(world.loop, Ms{100});
      continue;
    }
    if (dice.Chance(20)) program = world.NewId("program");
    Outgoing out;
    out.attempt = &NewAttempt(world, RequestKind::kTurn, "/turn/x");
    out.body = "input";
    out.headers["Program-Id"] = program;
    out.headers["Session-Id"] = program + "-line";
    out.headers["Token-Budget"] = "100000";
    AskForStream(out, dice, dice.Roll(2, 25));
    const bool open =
        co_await Exchange(world, *connection, BatchOf(std::move(out)));
    if (!open) connection.reset();
    co_await Sleep(world.loop, dice.RollMs(0, 300));
  }
  --world.callers_running;
}

/// A stream that is taken up until it is complete.
struct Stream {
  std::string task;
  std::string begun_by;
  int events = 0;
  int last = 0;
};

Outgoing StreamRequest(ProcessWorld& world, Dice& dice, const Stream& stream) {
  Outgoing out;
  Attempt& it = NewAttempt(world, RequestKind::kResumable, "/resume/x");
  out.attempt = &it;
  it.task = stream.task;
  it.begun_by = stream.begun_by;
  it.last_event_id = stream.last;
  out.body = "input";
  AskForStream(out, dice, stream.events);
  if (stream.last > 0) {
    out.headers["Last-Event-Id"] = std::to_string(stream.last);
    out.headers["Resumes"] = stream.begun_by;
    return out;
  }
  const int sort = dice.Roll(1, 100);
  if (sort <= 30) {
    out.leaves_after = dice.Roll(1, stream.events - 1);
  } else if (sort <= 50) {
    it.upstream_breaks = true;
    out.headers[kBreakHeader] = std::to_string(dice.Roll(1, 4));
  }
  return out;
}

Task<void> RunStreamCaller(ProcessWorld& world, uint64_t seed) {
  Dice dice(seed);
  std::map<size_t, ConnectionPtr> connections;
  size_t last_gateway = kNoGateway;
  while (!world.stopping) {
    Stream stream;
    stream.task = world.NewId("stream");
    stream.events = dice.Roll(8, 30);
    for (int i = 0; i < 4 && !world.stopping; ++i) {
      const size_t to = world.PickGateway(dice, last_gateway);
      last_gateway = to;
      ConnectionPtr& connection = connections[to];
      connection = co_await Reach(world, std::move(connection), to);
      if (connection == nullptr) {
        co_await Sleep(world.loop, Ms{100});
        continue;
      }
      Outgoing out = StreamRequest(world, dice, stream);
      Attempt& it = *out.attempt;
      const bool open =
          co_await Exchange(world, *connection, BatchOf(std::move(out)));
      if (!open) connection.reset();
      if (it.end == WaitEnd::kAnswered && it.status == 200) break;
      if (stream.begun_by.empty() && it.events > 0) stream.begun_by = it.id;
      stream.last += it.events;
      co_await Sleep(world.loop, dice.RollMs(50, 400));
    }
    co_await Sleep(world.loop, dice.RollMs(0, 200));
  }
  --world.callers_running;
}

/// A turn that was answered whole, and what its chain holds.
struct KeptTurn {
  std::string id;
  std::string history;
  Ms answered_at;
};

struct ChainSettings {
  const char* path;
  Ms keep;
  int least_pause_ms;
  int most_pause_ms;
};

constexpr ChainSettings kLongChain = {"/kept/x", kLongKeep, 50, 1200};
constexpr ChainSettings kShortChain = {"/short/x", kShortKeep, 500, 5000};

struct ChainCaller {
  ChainCaller(ProcessWorld& w, const ChainSettings& s, uint64_t seed)
      : world(w), settings(s), dice(seed) {}
  ProcessWorld& world;
  const ChainSettings& settings;
  Dice dice;
  std::map<size_t, ConnectionPtr> connections;
  size_t last_gateway = kNoGateway;
  /// All turns of the chain, of which the last is the newest.
  std::vector<KeptTurn> turns;
  std::string program;
};

/// Returns the turn to continue: mostly the newest one, now and then an earlier
/// one. Null to begin a chain.
const KeptTurn* ChooseTurn(ChainCaller& caller) {
  constexpr Ms kMargin{1000};
  const Ms now = caller.world.Now();
  std::vector<const KeptTurn*> kept;
  for (const KeptTurn& it : caller.turns) {
    if (now - it.answered_at < caller.settings.keep - kMargin) {
      kept.push_back(&it);
    }
  }
  if (kept.empty()) return nullptr;
  if (caller.dice.Chance(80)) return kept.back();
  const int last = static_cast<int>(kept.size()) - 1;
  return kept[static_cast<size_t>(caller.dice.Roll(0, last))];
}

Outgoing KeptRequest(ChainCaller& caller, const KeptTurn* previous,
                     const std::string& task, int events) {
  Outgoing out;
  Attempt& it =
      NewAttempt(caller.world, RequestKind::kKept, caller.settings.path);
  out.attempt = &it;
  it.task = task;
  it.keep = caller.settings.keep;
  out.body = "input " + task + ";";
  it.expected_body = out.body;
  if (previous != nullptr) {
    it.previous = previous->id;
    it.previous_answered_at = previous->answered_at;
    it.expected_body = previous->history + out.body;
    out.headers["Previous-Turn"] = previous->id;
  }
  out.headers["Program-Id"] = caller.program;
  out.headers["Session-Id"] = caller.program + "-line";
  out.headers["Token-Budget"] = "100000";
  AskForStream(out, caller.dice, events);
  return out;
}

KeptTurn TurnOf(const Attempt& attempt, int events) {
  KeptTurn turn;
  turn.id = attempt.id;
  turn.answered_at = attempt.ended_at;
  turn.history = attempt.expected_body;
  for (int i = 1; i <= events; ++i) {
    turn.history += "word" + std::to_string(i) + "\n";
  }
  return turn;
}

/// Sends one turn until it is answered whole, each time to another gateway.
Task<bool> RunTurn(ChainCaller& caller, const KeptTurn* chosen) {
  std::optional<KeptTurn> previous;
  if (chosen != nullptr) previous = *chosen;
  const std::string task = caller.world.NewId("task");
  const int events = caller.dice.Roll(2, 15);
  for (int tries = 0; tries < kMaxTries && !caller.world.stopping; ++tries) {
    const size_t to =
        caller.world.PickGateway(caller.dice, caller.last_gateway);
    caller.last_gateway = to;
    ConnectionPtr& connection = caller.connections[to];
    connection = co_await Reach(caller.world, std::move(connection), to);
    if (connection == nullptr) {
      co_await Sleep(caller.world.loop, Ms{100});
      continue;
    }
    Outgoing out =
        KeptRequest(caller, previous ? &*previous : nullptr, task, events);
    Attempt& it = *out.attempt;
    const bool open =
        co_await Exchange(caller.world, *connection, BatchOf(std::move(out)));
    if (!open) connection.reset();
    if (it.end == WaitEnd::kAnswered && it.status == 200) {
      caller.turns.push_back(TurnOf(it, events));
      co_return true;
    }
    if (it.status == 404 || it.status == 410) co_return false;
    co_await Sleep(caller.world.loop, caller.dice.RollMs(100, 400));
  }
  co_return false;
}

Task<void> RunChainCaller(ProcessWorld& world, const ChainSettings& settings,
                          uint64_t seed) {
  constexpr size_t kMaxChain = 150;
  ChainCaller caller(world, settings, seed);
  caller.program = world.NewId("program");
  while (!world.stopping) {
    if (caller.turns.size() >= kMaxChain) {
      caller.turns.clear();
      caller.program = world.NewId("program");
    }
    co_await RunTurn(caller, ChooseTurn(caller));
    co_await Sleep(world.loop, caller.dice.RollMs(settings.least_pause_ms,
                                                  settings.most_pause_ms));
  }
  --world.callers_running;
}

}  // namespace

void StartCallers(ProcessWorld& world, const CallerCounts& counts,
                  uint64_t seed) {
  const auto start = [&](int n, const auto& run) {
    for (int i = 0; i < n; ++i) {
      ++world.callers_running;
      gateway::Spawn(world.loop, run(++seed));
    }
  };
  seed *= 1000;
  start(counts.plain, [&](uint64_t s) { return RunPlainCaller(world, s); });
  start(counts.turns, [&](uint64_t s) { return RunTurnCaller(world, s); });
  start(counts.resumable,
        [&](uint64_t s) { return RunStreamCaller(world, s); });
  start(counts.long_chains,
        [&](uint64_t s) { return RunChainCaller(world, kLongChain, s); });
  start(counts.short_chains,
        [&](uint64_t s) { return RunChainCaller(world, kShortChain, s); });
}

}  // namespace knapweed::testing

#ifndef KNAPWEED_TESTS_STREAM_FLEET_H_
#define KNAPWEED_TESTS_STREAM_FLEET_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "knapweed/gateway/stream_versions.h"

/// Gateways that tell each other where streams begin and record it in a fake
/// store, for tests.
namespace knapweed::gateway {

inline constexpr char kService[] = "engines";
inline constexpr char kRoute[] = "host/resume/";
inline constexpr Ms kTimeout = Seconds(5);

inline RouteOrigin PlaceOf(const std::string& version,
                           const std::string& route = kRoute) {
  return {route, {kService, version}};
}

/// Rows of the store, each written under the condition of its version.
class FakeRows {
 public:
  RecordStore Calls() {
    RecordStore calls;
    calls.read = [this](const RowRange&, std::vector<Row>* rows) {
      return Read(rows);
    };
    calls.write = [this](Commit commit) { return Write(std::move(commit)); };
    calls.reachable = [this] { return is_up; };
    calls.now = [this] { return now; };
    return calls;
  }

  bool is_up = true;
  Ms now = Seconds(5000);
  int writes = 0;
  std::map<std::string, Row> rows;

 private:
  Task<bool> Read(std::vector<Row>* out) {
    for (const auto& [key, row] : rows) out->push_back(row);
    co_return is_up;
  }
  Task<StoreAnswer> Write(Commit commit) {
    StoreAnswer answer;
    answer.outcome = StoreOutcome::kNotDone;
    if (!is_up) co_return answer;
    const RowWrite& write = commit.writes.front();
    Row& row = rows[write.key.key];
    answer.outcome = StoreOutcome::kConflict;
    if (row.version != commit.conditions.front().version) {
      answer.rows.push_back(row);
      co_return answer;
    }
    ++writes;
    row = {write.key, write.value, ++version_, false};
    answer.outcome = StoreOutcome::kDone;
    answer.version = row.version;
    co_return answer;
  }

  uint64_t version_ = 0;
};

/// Gateways in one process whose messages arrive at once, or never at those
/// that are down.
class Fleet {
 public:
  explicit Fleet(int count,
                 const std::vector<std::string>& listed = {"v1", "v2"})
      : is_up_(static_cast<size_t>(count), true) {
    for (const std::string& version : listed) List(version);
    for (int i = 0; i < count; ++i) {
      records_.push_back(nullptr);
      gateways_.push_back(nullptr);
      StartAgain(i);
    }
    for (int i = 0; i < count; ++i) IntroduceOthers(i, 0, count);
  }

  /// Starts a gateway as a new process that knows nothing.
  void StartAgain(int i) {
    const auto n = static_cast<size_t>(i);
    /// The old process's coroutines end with the loop.
    old_.push_back(std::move(records_[n]));
    records_[n] = std::make_unique<StreamRecords>(
        loop_, clock_, store_.Calls(), "gateway-" + std::to_string(i));
    gateways_[n] = std::make_unique<StreamVersions>(
        loop_, clock_, upstreams_, *records_[n], AddressOf(i),
        [this](const Address& peer, const HttpRequest& call, Ms) {
          return Deliver(peer, call);
        });
    RecordPlaces(i);
    Spawn(loop_, records_[n]->Run());
  }
  void List(const std::string& version) {
    UpstreamEntry entry;
    entry.id = version;
    entry.service = kService;
    entry.version = version;
    upstreams_.Put(entry, 0);
  }
  void Unlist(const std::string& version) { upstreams_.Remove(version); }
  /// Tells gateway `i` of the route and the present list, as the tables would.
  void RecordPlaces(int i) {
    Route route;
    route.host = "host";
    route.prefix = "/resume/";
    route.streaming = true;
    route.resumable = true;
    route.timeout = kTimeout;
    route.services.push_back({kService, 1});
    At(i).RecordPlaces({&route, 1});
  }
  FakeRows& store() { return store_; }

  /// Tells gateway `i` of those from `first` on, before `end`.
  void IntroduceOthers(int i, int first, int end) {
    std::vector<Address> others;
    for (int j = first; j < end; ++j) {
      if (j != i) others.push_back(AddressOf(j));
    }
    At(i).SetOthers(others);
  }
  StreamVersions& At(int i) { return *gateways_[static_cast<size_t>(i)]; }
  void Kill(int i) { is_up_[static_cast<size_t>(i)] = false; }
  bool IsUp(int i) const { return is_up_[static_cast<size_t>(i)]; }
  Clock& clock() { return clock_; }

  void Record(int i, const std::string& id, const std::string& version) {
    At(i).Record(id, PlaceOf(version));
    Run();
  }
  /// Begins a stream as a call does: not before the place is recorded. Returns
  /// false if it may not begin.
  bool Begin(int i, const std::string& id, const std::string& version) {
    bool may_begin = false;
    const auto begin = [&]() -> Task<void> {
      may_begin = co_await At(i).WillBegin(PlaceOf(version), kTimeout);
    };
    RunUntilDone(begin());
    if (may_begin) Record(i, id, version);
    return may_begin;
  }
  std::vector<std::string> VersionsToBegin(int i) {
    return At(i).VersionsToBegin(kRoute, kService);
  }
  StreamResume Resume(int i, const std::string& id,
                      const std::string& service = kService,
                      const std::string& route = kRoute) {
    StreamResume result;
    const auto resume = [&]() -> Task<void> {
      const StreamToResume stream{id, route, {service}, kTimeout};
      result = co_await At(i).Resume(stream);
    };
    RunUntilDone(resume());
    return result;
  }
  /// Lets the gateways write what is due.
  void RunFor(Ms span) {
    constexpr Ms kStep{10};
    for (Ms passed; passed < span; passed += kStep) {
      clock_.Advance(kStep);
      loop_.restart();
      loop_.run_for(ToChrono(kStep));
    }
  }
  void RunUntilDone(Task<void> task) {
    bool done = false;
    const auto run = [&]() -> Task<void> {
      co_await std::move(task);
      done = true;
    };
    Spawn(loop_, run());
    while (!done) {
      loop_.restart();
      loop_.run_one();
    }
  }

 private:
  static Address AddressOf(int i) {
    return {"10.0.0.1", static_cast<uint16_t>(1000 + i)};
  }
  Task<HttpResponse> Deliver(Address peer, HttpRequest call) {
    const int i = peer.port - 1000;
    if (!IsUp(i)) co_return HttpResponse{};
    co_return At(i).AnswerPeer(call);
  }
  void Run() {
    loop_.restart();
    loop_.poll();
  }

  asio::io_context loop_;
  Clock clock_ = Clock::Manual(Seconds(1000));
  UpstreamSet upstreams_;
  FakeRows store_;
  std::vector<std::unique_ptr<StreamRecords>> records_;
  std::vector<std::unique_ptr<StreamRecords>> old_;
  std::vector<std::unique_ptr<StreamVersions>> gateways_;
  std::vector<bool> is_up_;
};

}  // namespace knapweed::gateway

#endif  // KNAPWEED_TESTS_STREAM_FLEET_H_

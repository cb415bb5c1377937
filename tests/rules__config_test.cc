#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "knapweed/rules/config_store.h"
#include "knapweed/rules/keys.h"
#include "knapweed/rules/rules_watcher.h"
#include "standins/memory_store.h"

namespace knapweed {
namespace {

std::string RulesWith(std::string_view more) {
  return "workspace w rate=1 burst=1 # S: w\n" + std::string(more);
}

ConfigStore Connect(const MemoryStore& store) {
  return ConfigStore{store.Table(), store.Objects()};
}

StoredConfig MustRead(const ConfigStore& store) {
  const absl::StatusOr<ConfigHead> head = ReadConfigHead(store);
  REQUIRE(head.ok());
  const absl::StatusOr<StoredConfig> config = ReadConfig(store, *head);
  REQUIRE(config.ok());
  return *config;
}

constexpr RulesWatcherOptions kNoPolling{Seconds(1000), Seconds(4)};

/// Counts the reads of the head row by a watcher's polling thread. The watcher
/// makes the first one at construction even with `kNoPolling`. A test waits for
/// it before it changes the store, since a later read could publish the change
/// before the test does.
class BackgroundReads {
 public:
  /// Returns `table` with a `get` that counts. Call it on the test's thread,
  /// whose own reads are not counted.
  TableService Count(TableService table) {
    table.get = [this, get = std::move(table.get),
                 test_thread =
                     std::this_thread::get_id()](std::string_view key) {
      absl::StatusOr<Row> row = get(key);
      if (std::this_thread::get_id() != test_thread) {
        ++count_;
        count_.notify_all();
      }
      return row;
    };
    return table;
  }

  /// Blocks until there were `count` reads.
  void WaitFor(int count) const {
    for (int n = count_; n < count; n = count_) count_.wait(n);
  }

 private:
  std::atomic<int> count_{0};
};

TEST_CASE(
    "ApplyDelta(EncodeDelta(base, next)) gives next for all texts and keys") {
  const std::vector<std::string> texts = {
      "",          "a\n",       "a\nb\n",      "b\na\n", "a\nb\nc\n",
      "a\nc\n",    "a\nb",      "a\n\u0161\n", "b",      "\n\n",
      "a\n\u0160", "x\na\nb\n", "a\na\n",      "a\n"};
  const KeyRecord k1{"1", WorkspaceId("w"), "s", "d", false};
  const KeyRecord k1_withdrawn{"1", WorkspaceId("w"), "s", "d", true};
  const KeyRecord k2{"2", WorkspaceId("w"), "s", "d", false};
  const std::vector<KeyList> key_sets = {
      {}, {k1}, {k1_withdrawn}, {k2}, {k1, k2}};
  for (const std::string& from : texts) {
    for (const std::string& to : texts) {
      for (size_t i = 0; i < key_sets.size() * key_sets.size(); ++i) {
        CAPTURE(from);
        CAPTURE(to);
        const StoredConfig base{1, 1, from, key_sets[i % key_sets.size()]};
        const StoredConfig next{2, 2, to, key_sets[i / key_sets.size()]};
        const auto applied = ApplyDelta(base, EncodeDelta(base, next));
        REQUIRE(applied.ok());
        REQUIRE(ConfigDigest(*applied) == ConfigDigest(next));
      }
    }
  }
}

TEST_CASE("malformed deltas and configurations are rejected") {
  const StoredConfig base{3, 1, "a\n", {}};
  const std::string head =
      R"({"base_version":3,"version":4,"rules_version":1,)";
  const std::string no_keys = R"("keys":[],"dropped":[])";
  const std::vector<std::string> rows = {
      "",
      "[]",
      "{}",
      R"({"base_version":2,"version":3,"rules_version":1,)" + no_keys + "}",
      head + R"("keys":[1],"dropped":[]})",
      head + R"("keys":[],"dropped":[1]})",
      head + R"("keys":[]})",
      head + no_keys + R"(,"splice":{"at":3,"drop":0,"insert":""}})",
      head + no_keys + R"(,"splice":{"at":0,"drop":9,"insert":""}})",
      head + no_keys + R"(,"splice":{"at":0,"drop":0}})",
  };
  for (const std::string& row : rows) {
    CAPTURE(row);
    CHECK_FALSE(ApplyDelta(base, row).ok());
    CHECK_FALSE(DecodeConfig(row).ok());
  }
}

TEST_CASE(
    "every version of a long history can be read, from scratch and from a "
    "cache") {
  const MemoryStore memory;
  const ConfigStore store = Connect(memory);
  REQUIRE(ApplyRules(store, RulesWith("")).state == ChangeState::kApplied);
  StoredConfig cached = MustRead(store);
  std::vector<std::string> ids;
  const int n = static_cast<int>(kVersionsPerFullCopy) * 3 + 5;
  for (int i = 0; i < n; ++i) {
    CAPTURE(i);
    const IssuedKeyResult key = IssueKey(store, WorkspaceId("w"));
    REQUIRE(key.change.state == ChangeState::kApplied);
    ids.push_back(key.key_id);
    if (i % 3 == 0) REQUIRE(WithdrawKey(store, ids[i / 2]).version != 0);
    const auto head = ReadConfigHead(store);
    REQUIRE(head.ok());
    const auto incremental = ReadConfig(store, *head, cached);
    REQUIRE(incremental.ok());
    if (i % 5 == 0) cached = *incremental;
    REQUIRE(ConfigDigest(MustRead(store)) == ConfigDigest(*incremental));
    REQUIRE(incremental->rules_version == 1);
  }
  const auto names = store.objects.list("config/");
  REQUIRE(names.ok());
  CHECK(names->size() <= 2 * kVersionsPerFullCopy + 1);
}

TEST_CASE("a change's result and effect match each fault of the store") {
  struct Row {
    std::string name;
    StoreFaults faults;
    ChangeState state;
    bool in_force;
  };
  const std::vector<Row> rows = {
      {"no fault", {}, ChangeState::kApplied, true},
      {"outage", {.outage = true}, ChangeState::kUnavailable, false},
      {"answer lost", {.lose_commit_answers = 1}, ChangeState::kApplied, true},
      {"commit lost", {.lose_commits = 1}, ChangeState::kApplied, true},
      {"commit lost twice", {.lose_commits = 2}, ChangeState::kApplied, true},
      {"commit refused", {.fail_commits = 1}, ChangeState::kUnavailable, false},
      {"put answer lost", {.lose_put_answers = 1}, ChangeState::kApplied, true},
      {"put refused", {.fail_puts = 1}, ChangeState::kUnavailable, false},
      {"commits lost for long",
       {.lose_commits = 99},
       ChangeState::kUnknown,
       false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    MemoryStore memory;
    const ConfigStore store = Connect(memory);
    REQUIRE(ApplyRules(store, RulesWith("")).state == ChangeState::kApplied);
    memory.SetFaults(row.faults);
    const IssuedKeyResult key = IssueKey(store, WorkspaceId("w"));
    CHECK(key.change.state == row.state);
    CHECK(key.key_text.empty() == (row.state == ChangeState::kUnavailable));
    memory.SetFaults({});
    const StoredConfig config = MustRead(store);
    CHECK((FindStoredKey(config, key.key_id) != nullptr) == row.in_force);
    CHECK(config.version == (row.in_force ? 2 : 1));
  }
}

TEST_CASE("a commit whose answer was lost is found under a later change") {
  const MemoryStore memory;
  const ConfigStore store = Connect(memory);
  REQUIRE(ApplyRules(store, RulesWith("")).state == ChangeState::kApplied);
  ConfigStore racing = store;
  int commits = 0;
  racing.table.commit = [&](const Transaction& change) {
    absl::Status status = store.table.commit(change);
    if (++commits > 1) return status;
    REQUIRE(status.ok());
    REQUIRE(IssueKey(store, WorkspaceId("w")).change.version == 3);
    return absl::UnknownError("the answer was lost");
  };
  const IssuedKeyResult key = IssueKey(racing, WorkspaceId("w"));
  CHECK(key.change.state == ChangeState::kApplied);
  CHECK(commits == 1);
  CHECK(MustRead(store).keys.size() == 2);
}

TEST_CASE("concurrent changes of rules conflict, changes of keys do not") {
  struct Row {
    std::string name;
    std::optional<uint64_t> expect;
    ChangeState state;
  };
  // Versions 1 and 2 changed the rules, version 3 added a key.
  const std::vector<Row> rows = {
      {"stale", 1, ChangeState::kConflict},
      {"version of the last rules change", 2, ChangeState::kApplied},
      {"newest version", 3, ChangeState::kApplied},
      {"version that does not exist yet", 4, ChangeState::kConflict},
      {"version 0", 0, ChangeState::kConflict},
      {"no expected version", std::nullopt, ChangeState::kApplied},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const MemoryStore memory;
    const ConfigStore store = Connect(memory);
    REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
    REQUIRE(ApplyRules(store, RulesWith("pool a # S: w\n"), 1).version == 2);
    REQUIRE(IssueKey(store, WorkspaceId("w")).change.version == 3);
    const std::string mine = RulesWith("pool b # S: w\n");
    CHECK(ApplyRules(store, mine, row.expect).state == row.state);
    const bool applied = row.state == ChangeState::kApplied;
    CHECK((MustRead(store).rules_text == mine) == applied);
    CHECK(MustRead(store).keys.size() == 1);
  }
}

TEST_CASE("refused and redundant changes leave the version as it is") {
  const MemoryStore memory;
  const ConfigStore store = Connect(memory);
  CHECK(IssueKey(store, WorkspaceId("w")).change.state ==
        ChangeState::kRefused);
  CHECK(ApplyRules(store, "pool p\n").faults.size() == 1);
  REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
  CHECK(ApplyRules(store, RulesWith("")).state == ChangeState::kUnchanged);
  CHECK(WithdrawKey(store, "none").state == ChangeState::kRefused);
  const IssuedKeyResult key = IssueKey(store, WorkspaceId("w"));
  CHECK(WithdrawKey(store, key.key_id).state == ChangeState::kApplied);
  CHECK(WithdrawKey(store, key.key_id).state == ChangeState::kUnchanged);
  CHECK(MustRead(store).version == 3);
}

TEST_CASE("concurrent changes from several threads are all applied") {
  const MemoryStore memory;
  const ConfigStore store = Connect(memory);
  REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
  constexpr int kThreads = 4;
  constexpr int kKeysEach = 12;
  std::atomic<int> applied{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < kKeysEach; ++n) {
        const IssuedKeyResult key = IssueKey(store, WorkspaceId("w"));
        if (key.change.state == ChangeState::kApplied) ++applied;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(applied == kThreads * kKeysEach);
  CHECK(MustRead(store).keys.size() == kThreads * kKeysEach);
}

TEST_CASE("a watcher publishes, and is confirmed only for a limited time") {
  MemoryStore memory;
  const ConfigStore store = Connect(memory);
  RulesHolder holder;
  Clock clock = Clock::Manual(Seconds(100));
  std::atomic<uint64_t> published_version{0};
  memory.SetFaults({.outage = true});
  BackgroundReads reads;
  RulesWatcher watcher(reads.Count(store.table), store.objects, holder, clock,
                       kNoPolling);
  reads.WaitFor(1);
  CHECK_FALSE(watcher.Refresh().ok());
  CHECK_FALSE(watcher.Confirmed());
  watcher.OnPublish(
      [&](const Rules& rules) { published_version = rules.version; });
  memory.SetFaults({});
  REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
  REQUIRE(watcher.Refresh().ok());
  CHECK(published_version == 1);
  CHECK(holder.version() == 1);
  CHECK(watcher.Confirmed());

  memory.SetFaults({.outage = true});
  clock.Advance(Seconds(4));
  CHECK(watcher.Confirmed());
  clock.Advance(Ms{1});
  CHECK_FALSE(watcher.Confirmed());
  watcher.ConfirmFromPeer(0, Ms{0});
  watcher.ConfirmFromPeer(2, Ms{0});
  watcher.ConfirmFromPeer(1, Seconds(5));
  CHECK_FALSE(watcher.Confirmed());
  watcher.ConfirmFromPeer(1, Seconds(4));
  CHECK(watcher.Confirmed());
}

TEST_CASE(
    "a push is applied without the store; a missing version is read from it") {
  MemoryStore memory;
  const ConfigStore store = Connect(memory);
  RulesHolder holder;
  const Clock clock = Clock::Manual();
  REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
  BackgroundReads reads;
  RulesWatcher watcher(reads.Count(store.table), store.objects, holder, clock,
                       kNoPolling);
  reads.WaitFor(1);
  REQUIRE(watcher.Refresh().ok());
  const IssuedKeyResult key = IssueKey(store, WorkspaceId("w"));
  const ConfigPush withdraw_push = WithdrawKey(store, key.key_id).push;
  const ConfigPush rules_push =
      ApplyRules(store, RulesWith("pool a # S: w\n")).push;
  memory.SetFaults({.outage = true});

  // Each refused push makes the watcher's thread read the store once more.
  CHECK(absl::IsFailedPrecondition(watcher.ApplyPush(withdraw_push)));
  reads.WaitFor(2);
  ConfigPush corrupt_push = key.change.push;
  corrupt_push.digest = withdraw_push.digest;
  CHECK(absl::IsDataLoss(watcher.ApplyPush(corrupt_push)));
  reads.WaitFor(3);
  CHECK(holder.version() == 1);

  REQUIRE(watcher.ApplyPush(key.change.push).ok());
  CHECK(FindKey(*holder.Read(), key.key_text) != nullptr);
  REQUIRE(watcher.ApplyPush(withdraw_push).ok());
  CHECK(FindKey(*holder.Read(), key.key_text) == nullptr);
  REQUIRE(watcher.ApplyPush(key.change.push).ok());
  CHECK(holder.version() == 3);
  CHECK(watcher.LastPush()->digest == withdraw_push.digest);

  memory.SetFaults({});
  REQUIRE(watcher.Refresh().ok());
  CHECK(holder.version() == 4);
  CHECK(watcher.LastPush()->delta == rules_push.delta);
}

TEST_CASE(
    "an older version in the store is neither published nor a confirmation") {
  const MemoryStore memory;
  const MemoryStore restored;
  const ConfigStore store = Connect(memory);
  const ConfigStore old = Connect(restored);
  REQUIRE(ApplyRules(store, RulesWith("")).version == 1);
  REQUIRE(IssueKey(store, WorkspaceId("w")).change.version == 2);
  REQUIRE(ApplyRules(old, RulesWith("")).version == 1);
  std::atomic<bool> rolled_back{false};
  TableService table = store.table;
  table.get = [&](std::string_view key) {
    return rolled_back ? old.table.get(key) : store.table.get(key);
  };
  RulesHolder holder;
  Clock clock = Clock::Manual();
  BackgroundReads reads;
  RulesWatcher watcher(reads.Count(table), store.objects, holder, clock,
                       kNoPolling);
  reads.WaitFor(1);
  REQUIRE(watcher.Refresh().ok());
  rolled_back = true;
  clock.Advance(Seconds(5));
  CHECK(absl::IsDataLoss(watcher.Refresh()));
  CHECK(holder.version() == 2);
  CHECK_FALSE(watcher.Confirmed());
}

TEST_CASE("a denied key is rejected at once and in later versions") {
  RulesHolder holder;
  const IssuedKey key = MakeKey(WorkspaceId("w"));
  const auto make = [&](uint64_t version) {
    auto rules = std::make_unique<Rules>();
    rules->version = version;
    rules->workspaces = {{WorkspaceId("w"), 1, 1, 1}};
    rules->keys = {key.record};
    return rules;
  };
  REQUIRE(holder.Publish(make(1)));
  const std::shared_ptr<const Rules> before = holder.Snapshot();
  CHECK(FindKey(*holder.Read(), key.text) != nullptr);
  CHECK(holder.Deny(key.record.digest));
  CHECK_FALSE(holder.Deny("unknown"));
  CHECK(FindKey(*holder.Read(), key.text) == nullptr);
  CHECK(FindKey(*before, key.text) != nullptr);
  CHECK(holder.version() == 1);
  REQUIRE(holder.Publish(make(2)));
  CHECK_FALSE(holder.Publish(make(2)));
  CHECK(FindKey(*holder.Read(), key.text) == nullptr);
  holder.LiftDenial(key.record.digest);
  CHECK(FindKey(*holder.Read(), key.text) != nullptr);
}

TEST_CASE("concurrent readers see only complete versions in rising order") {
  RulesHolder holder;
  constexpr uint64_t kVersions = 2000;
  constexpr int kReaders = 3;
  std::atomic<int> violations{0};
  const auto read = [&] {
    uint64_t last = 0;
    while (last < kVersions) {
      const RulesHolder::ReadGuard rules = holder.Read();
      if (rules->version < last) ++violations;
      last = rules->version;
      if (rules->keys.size() != last % 7) ++violations;
      for (const KeyRecord& key : rules->keys)
        if (key.id != std::to_string(last)) ++violations;
    }
  };
  std::vector<std::thread> readers;
  readers.reserve(kReaders);
  for (int i = 0; i < kReaders; ++i) readers.emplace_back(read);
  for (uint64_t version = 1; version <= kVersions; ++version) {
    auto rules = std::make_unique<Rules>();
    rules->version = version;
    rules->keys.Edit().resize(version % 7);
    for (KeyRecord& key : rules->keys.Edit()) key.id = std::to_string(version);
    CHECK(holder.Publish(std::move(rules)));
  }
  for (std::thread& reader : readers) reader.join();
  CHECK(violations == 0);
}

}  // namespace
}  // namespace knapweed

#ifndef KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_
#define KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <tuple>

#include "knapweed/gateway/internal_server.h"

/// An in-memory fake of the platform's store that serves its published HTTP
/// protocol and injects faults.
namespace knapweed::testing {

/// What becomes of a commit.
enum class CommitFate {
  kAnswered,
  /// It is applied, its response is lost.
  kLost,
  /// It is not applied, and has no response.
  kDropped,
  /// It has no response, and is applied `late_commit_delay` later, if its
  /// conditions still hold then.
  kLate,
};

/// Faults that a test sets on a running store.
struct StoreFaults {
  /// Rejects every call with 503.
  bool unavailable = false;
  /// Rejects every call with 429.
  bool busy = false;
  /// Rejects calls to this fraction of the named parts with 503.
  double unavailable_parts = 0;
  /// Fraction of the commits that are applied but whose response is lost.
  double lost_response_rate = 0;
  /// Fraction of the commits whose response is lost and that are applied
  /// `late_commit_delay` later, if their conditions still hold then.
  double late_commit_rate = 0;
  Ms late_commit_delay{300};
  /// Decides on each commit whose conditions hold, by the table and the value
  /// of its first write. Unset for none.
  std::function<CommitFate(const std::string& table, const std::string& value)>
      decide_fate;
  /// Time until the response to a commit that is applied at once.
  Ms commit_delay;
  /// Feeds that start before this version get 410.
  uint64_t oldest_feed_version = 0;
  /// Edits the answers to reads of the table of turns. Unset for none.
  std::function<void(nlohmann::json&)> edit_turns_read;
  /// Feeds return at once instead of waiting for a change.
  bool end_feeds_at_once = false;
};

/// A fake store on the caller's event loop, which must outlive it.
class FakeStore {
 public:
  FakeStore(gateway::asio::io_context& loop, uint64_t seed)
      : loop_(loop), random_(seed) {}

  /// Returns false if the address can't be bound.
  bool Listen(const Address& address);
  /// Writes a row directly, as the operator or an upstream would; faults don't
  /// apply.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  /// The same in a named part.
  void PutInPart(const std::string& table, const std::string& part,
                 const std::string& key, const std::string& value);
  /// Deletes a row directly.
  void Remove(const std::string& table, const std::string& key);
  /// Returns the value of the first row with this key in any part; empty if
  /// there is none.
  std::string Get(const std::string& table, const std::string& key) const;
  size_t CountRows(const std::string& table) const;
  /// Deletes the rows of a table that `matches` their value, in any part.
  void RemoveIf(const std::string& table,
                const std::function<bool(const std::string&)>& matches);

  /// Returns whether `faults` make the part unavailable; never the unnamed one.
  bool IsUnavailable(const std::string& part) const;

  StoreFaults faults;
  /// Commits that were evaluated, and HTTP requests in total.
  uint64_t commits = 0;
  uint64_t calls = 0;

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Value {
    std::string bytes;
    uint64_t version = 0;
    bool deleted = false;
  };

  gateway::Task<gateway::HttpResponse> Handle(const gateway::HttpRequest& call);
  gateway::Task<gateway::HttpResponse> Feed(const std::string& target);
  gateway::HttpResponse Apply(const std::string& body);
  gateway::HttpResponse Range(const std::string& target);
  static Key KeyOf(const nlohmann::json& item);
  /// Adds the rows that a commit expects to `current`.
  bool ConditionsHold(const nlohmann::json& commit,
                      nlohmann::json* current) const;
  nlohmann::json RowJson(const Key& key, const Value& value) const;
  gateway::HttpResponse MakeResponse(unsigned status,
                                     nlohmann::json body) const;
  /// Returns true with the given probability.
  bool RandomBool(double probability);
  /// Applies a commit `late_commit_delay` later.
  gateway::Task<void> ApplyLate(std::string body);
  /// Returns what `faults` make of a commit.
  CommitFate FateOf(const std::string& body);

  gateway::asio::io_context& loop_;
  std::mt19937_64 random_;
  Clock clock_ = Clock::Steady();
  std::map<Key, Value> rows_;
  uint64_t version_ = 1;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_

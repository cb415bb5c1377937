#ifndef KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_
#define KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <tuple>

#include "knapweed/gateway/front.h"

/// The platform's store in memory, over its published protocol, with faults
/// that a test turns on.
namespace knapweed::testing {

struct StoreFaults {
  /// Every call is answered 503, and nothing is done.
  bool unavailable = false;
  /// Every call is answered 429.
  bool busy = false;
  /// Share of the commits that are made but not answered.
  double lost_response_rate = 0;
  /// Share of the commits that are not answered and made `late_by` later, if
  /// their conditions still hold.
  double late_commit_rate = 0;
  Ms late_commit_delay{300};
  /// Feeds that ask for what came before this version get 410.
  uint64_t oldest_feed_version = 0;
  /// Connections of callers other than the first gateway are turned away.
  bool end_feeds_at_once = false;
};

class FakeStore {
 public:
  FakeStore(gateway::asio::io_context& loop, uint64_t seed)
      : loop_(loop), random_(seed) {}

  bool Listen(const Address& address);
  /// Writes as the operator or an upstream would, whatever the faults.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// The value of a row in any part; empty when there is none.
  std::string Get(const std::string& table, const std::string& key) const;
  size_t CountRows(const std::string& table) const;

  StoreFaults faults;
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
  nlohmann::json RowJson(const Key& key, const Value& value) const;
  gateway::HttpResponse MakeResponse(unsigned status,
                                     nlohmann::json body) const;
  bool RandomBool(double probability);

  gateway::asio::io_context& loop_;
  std::mt19937_64 random_;
  Clock clock_ = Clock::Steady();
  std::map<Key, Value> rows_;
  uint64_t version_ = 1;
};

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_FAKE_STORE_H_

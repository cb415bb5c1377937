#include "tests/platform/fake_store.h"

#include <absl/strings/escaping.h>

#include "knapweed/base/parse.h"
#include "knapweed/base/percent.h"

namespace knapweed::testing {
namespace {

using gateway::HttpRequest;
using gateway::HttpResponse;
using gateway::Sleep;
using gateway::Spawn;
using gateway::Task;
using nlohmann::json;

std::string ToBase64(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  absl::Base64Unescape(text, &bytes);
  return bytes;
}

/// The value of one query parameter, decoded; empty when it is not there.
std::string Query(const std::string& target, const std::string& name) {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string item =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (item.starts_with(name + "=")) {
      return PercentDecode(item.substr(name.size() + 1));
    }
    at = end;
  }
  return "";
}

uint64_t QueryNumber(const std::string& target, const std::string& name) {
  uint64_t n = 0;
  return ParseNumber(Query(target, name), &n) ? n : 0;
}

}  // namespace

bool FakeStore::Listen(const Address& address) {
  return gateway::ServeInternal(
      loop_, address, [this](const HttpRequest& call) -> Task<HttpResponse> {
        HttpResponse answer = co_await Answer(call);
        co_return answer;
      });
}

void FakeStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  rows_[{table, "", key}] = {value, ++version_, false};
}

void FakeStore::Remove(const std::string& table, const std::string& key) {
  rows_[{table, "", key}] = {"", ++version_, true};
}

std::string FakeStore::Get(const std::string& table,
                           const std::string& key) const {
  for (const auto& [k, value] : rows_) {
    if (std::get<0>(k) == table && std::get<2>(k) == key && !value.deleted) {
      return value.bytes;
    }
  }
  return "";
}

size_t FakeStore::CountRows(const std::string& table) const {
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [&](const auto& item) {
        return std::get<0>(item.first) == table && !item.second.deleted;
      }));
}

bool FakeStore::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

json FakeStore::RowJson(const Key& key, const Value& value) const {
  json row = {{"table", std::get<0>(key)},
              {"part", std::get<1>(key)},
              {"key", std::get<2>(key)},
              {"ver", value.version}};
  if (value.deleted) {
    row["deleted"] = true;
  } else {
    row["value"] = ToBase64(value.bytes);
  }
  return row;
}

HttpResponse FakeStore::Reply(unsigned status, json body) const {
  body["ver"] = version_;
  body["now_ms"] = clock_.Now().count;
  HttpResponse answer;
  answer.status = status;
  answer.body = body.dump();
  return answer;
}

HttpResponse FakeStore::Apply(const std::string& body) {
  ++commits;
  const json call = json::parse(body);
  const auto key_of = [](const json& item) {
    return Key{item["table"], item["part"], item["key"]};
  };
  json current = json::array();
  bool holds = true;
  for (const json& condition : call["expected_rev"]) {
    const auto it = rows_.find(key_of(condition));
    const bool exists = it != rows_.end() && !it->second.deleted;
    if (exists) current.push_back(RowJson(it->first, it->second));
    const uint64_t version = exists ? it->second.version : 0;
    if (condition["ver"].get<uint64_t>() != version) holds = false;
  }
  if (!holds) return Reply(412, {{"rows", current}});
  ++version_;
  for (const json& write : call["writes"]) {
    rows_[key_of(write)] = {FromBase64(write["value"]), version_, false};
  }
  for (const json& removal : call["remove"]) {
    rows_[key_of(removal)] = {"", version_, true};
  }
  return Reply(200, json::object());
}

HttpResponse FakeStore::Range(const std::string& target) {
  const std::string table = Query(target, "table");
  const std::string part = Query(target, "part");
  const std::string from = Query(target, "from");
  const std::string to = Query(target, "to");
  const uint64_t limit = QueryNumber(target, "limit");
  json rows = json::array();
  bool more = false;
  for (const auto& [key, value] : rows_) {
    const std::string& name = std::get<2>(key);
    const bool inside = std::get<0>(key) == table && std::get<1>(key) == part &&
                        name >= from && (to.empty() || name < to) &&
                        !value.deleted;
    if (!inside) continue;
    if (limit > 0 && rows.size() >= limit) {
      more = true;
      break;
    }
    rows.push_back(RowJson(key, value));
  }
  return Reply(200, {{"rows", rows}, {"more_pages", more}});
}

Task<HttpResponse> FakeStore::Feed(const std::string& target) {
  const std::string table = Query(target, "table");
  const uint64_t after = QueryNumber(target, "after");
  const Ms until =
      clock_.Now() + Ms{static_cast<int64_t>(QueryNumber(target, "wait_ms"))};
  HttpResponse answer;
  while (true) {
    if (after < faults.history_from) {
      answer.status = 410;
      co_return answer;
    }
    json rows = json::array();
    for (const auto& [key, value] : rows_) {
      if (std::get<0>(key) == table && value.version > after) {
        rows.push_back(RowJson(key, value));
      }
    }
    const bool away = faults.away || faults.turn_away_direct;
    if (!rows.empty() || clock_.Now() >= until || away) {
      answer = Reply(200, {{"rows", rows}});
      co_return answer;
    }
    co_await Sleep(loop_, Ms{5});
  }
}

Task<HttpResponse> FakeStore::Answer(const HttpRequest& call) {
  ++calls;
  HttpResponse answer;
  if (faults.busy || faults.away) {
    answer.status = faults.busy ? 429 : 503;
    co_return answer;
  }
  if (call.target.starts_with("/api/rows-feed")) {
    answer = co_await Feed(call.target);
    co_return answer;
  }
  if (call.target.starts_with("/api/rows-get")) co_return Range(call.target);
  if (call.target != "/api/rows-tx") {
    answer.status = 404;
    co_return answer;
  }
  if (Chance(faults.late_share)) {
    Spawn(loop_, [](FakeStore& store, std::string body) -> Task<void> {
      co_await Sleep(store.loop_, store.faults.late_by);
      store.Apply(body);
    }(*this, call.body));
    co_return answer;
  }
  const HttpResponse done = Apply(call.body);
  if (done.status == 200 && Chance(faults.lost_share)) co_return answer;
  co_return done;
}

}  // namespace knapweed::testing

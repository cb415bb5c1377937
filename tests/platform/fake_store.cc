#include "tests/platform/fake_store.h"

#include <absl/strings/escaping.h>

#include <algorithm>

#include "knapweed/base/ids.h"
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

/// A commit holds at most so much.
constexpr size_t kMaxCommitBytes = 1'000'000;
constexpr size_t kMaxCommitEntries = 100;
/// An answer to a read holds at most so much.
constexpr size_t kMaxRangeRows = 500;
constexpr size_t kMaxRangeBytes = 1'000'000;

std::string ToBase64(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  absl::Base64Unescape(text, &bytes);
  return bytes;
}

/// Returns the decoded value of a query parameter; empty if it is absent.
std::string QueryParam(const std::string& target, const std::string& name) {
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

uint64_t QueryParamNumber(const std::string& target, const std::string& name) {
  uint64_t n = 0;
  return ParseNumber(QueryParam(target, name), &n) ? n : 0;
}

/// Returns the part that a call concerns.
std::string PartOf(const HttpRequest& call) {
  if (call.body.empty()) return QueryParam(call.target, "part");
  const json body = json::parse(call.body, nullptr, false);
  for (const char* list : {"expected_rev", "writes", "remove"}) {
    const bool has_entry = body.is_object() && body.contains(list) &&
                           body[list].is_array() && !body[list].empty();
    if (has_entry) return body[list][0].value("part", "");
  }
  return "";
}

}  // namespace

bool FakeStore::Listen(const Address& address) {
  return gateway::ServeInternal(
      loop_, address, [this](const HttpRequest& call) -> Task<HttpResponse> {
        HttpResponse response = co_await Handle(call);
        co_return response;
      });
}

void FakeStore::Put(const std::string& table, const std::string& key,
                    const std::string& value) {
  PutInPart(table, "", key, value);
}

void FakeStore::PutInPart(const std::string& table, const std::string& part,
                          const std::string& key, const std::string& value) {
  rows_[{table, part, key}] = {value, ++version_, false};
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

void FakeStore::RemoveIf(
    const std::string& table,
    const std::function<bool(const std::string&)>& matches) {
  for (auto& [key, value] : rows_) {
    if (std::get<0>(key) != table || value.deleted) continue;
    if (matches(value.bytes)) value = {"", ++version_, true};
  }
}

bool FakeStore::RandomBool(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
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

HttpResponse FakeStore::MakeResponse(unsigned status, json body) const {
  body["ver"] = version_;
  body["now_ms"] = clock_.Now().count;
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

FakeStore::Key FakeStore::KeyOf(const json& item) {
  return {item["table"], item["part"], item["key"]};
}

bool FakeStore::ConditionsHold(const json& commit, json* current) const {
  bool all_hold = true;
  for (const json& condition : commit["expected_rev"]) {
    const auto it = rows_.find(KeyOf(condition));
    const bool exists = it != rows_.end() && !it->second.deleted;
    if (exists) current->push_back(RowJson(it->first, it->second));
    const uint64_t version = exists ? it->second.version : 0;
    if (condition["ver"].get<uint64_t>() != version) all_hold = false;
  }
  return all_hold;
}

HttpResponse FakeStore::Apply(const std::string& body) {
  ++commits;
  if (body.size() > kMaxCommitBytes) return MakeResponse(413, json::object());
  const json call = json::parse(body);
  const size_t entries = call["expected_rev"].size() + call["writes"].size() +
                         call["remove"].size();
  if (entries > kMaxCommitEntries) return MakeResponse(413, json::object());
  json current = json::array();
  if (!ConditionsHold(call, &current)) {
    return MakeResponse(412, {{"rows", current}});
  }
  ++version_;
  for (const json& write : call["writes"]) {
    rows_[KeyOf(write)] = {FromBase64(write["value"]), version_, false};
  }
  for (const json& removal : call["remove"]) {
    rows_[KeyOf(removal)] = {"", version_, true};
  }
  return MakeResponse(200, json::object());
}

HttpResponse FakeStore::Range(const std::string& target) {
  const std::string table = QueryParam(target, "table");
  const std::string part = QueryParam(target, "part");
  const std::string from = QueryParam(target, "from");
  const std::string to = QueryParam(target, "to");
  const uint64_t asked = QueryParamNumber(target, "limit");
  const size_t limit =
      asked > 0 ? std::min<size_t>(asked, kMaxRangeRows) : kMaxRangeRows;
  json rows = json::array();
  size_t bytes = 0;
  bool more = false;
  for (const auto& [key, value] : rows_) {
    const std::string& name = std::get<2>(key);
    const bool inside = std::get<0>(key) == table && std::get<1>(key) == part &&
                        name >= from && (to.empty() || name < to) &&
                        !value.deleted;
    if (!inside) continue;
    json row = RowJson(key, value);
    bytes += row.dump().size() + 1;
    more = rows.size() >= limit || bytes > kMaxRangeBytes;
    if (more) break;
    rows.push_back(std::move(row));
  }
  json answer = {{"rows", rows}, {"more_pages", more}};
  const bool is_edited = faults.edit_turns_read && table == "turns";
  if (is_edited) faults.edit_turns_read(answer);
  return MakeResponse(200, std::move(answer));
}

Task<HttpResponse> FakeStore::Feed(const std::string& target) {
  const std::string table = QueryParam(target, "table");
  const uint64_t after = QueryParamNumber(target, "after");
  const Ms until =
      clock_.Now() +
      Ms{static_cast<int64_t>(QueryParamNumber(target, "wait_ms"))};
  HttpResponse response;
  while (true) {
    if (after < faults.oldest_feed_version) {
      response.status = 410;
      co_return response;
    }
    json rows = json::array();
    for (auto it = rows_.lower_bound({table, "", ""});
         it != rows_.end() && std::get<0>(it->first) == table; ++it) {
      if (it->second.version > after) {
        rows.push_back(RowJson(it->first, it->second));
      }
    }
    const bool unavailable = faults.unavailable || faults.end_feeds_at_once;
    if (!rows.empty() || clock_.Now() >= until || unavailable) {
      response = MakeResponse(200, {{"rows", rows}});
      co_return response;
    }
    co_await Sleep(loop_, Ms{5});
  }
}

bool FakeStore::IsUnavailable(const std::string& part) const {
  constexpr uint64_t kSteps = 1000;
  return !part.empty() && static_cast<double>(HashBytes(part) % kSteps) <
                              faults.unavailable_parts * kSteps;
}

Task<HttpResponse> FakeStore::Handle(const HttpRequest& call) {
  ++calls;
  HttpResponse response;
  if (faults.busy || faults.unavailable) {
    response.status = faults.busy ? 429 : 503;
    co_return response;
  }
  if (faults.unavailable_parts > 0 && IsUnavailable(PartOf(call))) {
    response.status = 503;
    co_return response;
  }
  if (call.target.starts_with("/api/rows-feed")) {
    response = co_await Feed(call.target);
    co_return response;
  }
  if (call.target.starts_with("/api/rows-get")) co_return Range(call.target);
  if (call.target != "/api/rows-tx") {
    response.status = 404;
    co_return response;
  }
  const CommitFate fate = FateOf(call.body);
  if (fate == CommitFate::kLate) Spawn(loop_, ApplyLate(call.body));
  if (fate == CommitFate::kLate || fate == CommitFate::kDropped) {
    co_return response;
  }
  const HttpResponse done = Apply(call.body);
  if (faults.commit_delay > Ms{0}) {
    co_await Sleep(loop_, faults.commit_delay);
  }
  const bool may_be_lost = done.status == 200;
  if (may_be_lost && fate == CommitFate::kLost) co_return response;
  if (may_be_lost && RandomBool(faults.lost_response_rate)) co_return response;
  co_return done;
}

Task<void> FakeStore::ApplyLate(std::string body) {
  co_await Sleep(loop_, faults.late_commit_delay);
  Apply(body);
}

CommitFate FakeStore::FateOf(const std::string& body) {
  if (RandomBool(faults.late_commit_rate)) return CommitFate::kLate;
  // A copy, since it may unset itself.
  const auto decide_fate = faults.decide_fate;
  if (!decide_fate) return CommitFate::kAnswered;
  const json commit = json::parse(body);
  json current = json::array();
  const bool is_applied =
      !commit["writes"].empty() && ConditionsHold(commit, &current);
  if (!is_applied) return CommitFate::kAnswered;
  const json& write = commit["writes"][0];
  return decide_fate(write["table"], FromBase64(write["value"]));
}

}  // namespace knapweed::testing

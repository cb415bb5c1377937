// Stand-in of the platform's metadata store: the calls /api/rows-tx, rows-get,
// rows-parts and rows-feed over HTTP/1.1. Each machine gets a port of its own, so
// that a fault can be brought about for one machine alone.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <vector>

#include "net.hpp"

namespace review {

using nlohmann::json;

inline std::string Unescape(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out.push_back(static_cast<char>(
          std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16)));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

inline std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string item = target.substr(at + 1, end - at - 1);
    const size_t equals = item.find('=');
    if (equals != std::string::npos) {
      query[item.substr(0, equals)] = Unescape(item.substr(equals + 1));
    }
    at = end;
  }
  return query;
}

inline std::string Base64(const std::string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t n = 0;
    for (size_t k = 0; k < 3; ++k) {
      n = n << 8 | (i + k < bytes.size() ? static_cast<uint8_t>(bytes[i + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out.push_back(i + k <= bytes.size() ? kDigits[n >> (18 - 6 * k) & 63] : '=');
    }
  }
  return out;
}

inline size_t Base64Bytes(const std::string& text) {
  size_t n = text.size() / 4 * 3;
  if (text.ends_with("==")) return n - 2;
  if (text.ends_with("=")) return n - 1;
  return n;
}

/// The faults of the store as one machine sees it.
struct StorePort {
  int port = 0;
  /// Time until each answer, beside the store's own.
  std::atomic<int> delay_ms{0};
  /// The machine's connections to the store are cut: no answer to anything.
  std::atomic<bool> cut{false};
};

class Store {
 public:
  /// Most bytes of a value.
  size_t row_bytes = 65536;
  /// Called with each rejected call: table, key and the number of bytes.
  std::function<void(const std::string&, const std::string&, size_t)> on_too_large;

  StorePort* AddPort() {
    ports_.push_back(std::make_unique<StorePort>());
    StorePort* port = ports_.back().get();
    port->port = FreePort();
    const int fd = Listen(port->port);
    if (fd < 0) std::abort();
    std::thread([this, fd, port] {
      while (true) {
        const int conn = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (conn < 0) continue;
        std::thread([this, conn, port] { Serve(conn, port); }).detach();
      }
    }).detach();
    return port;
  }

  /// Writes a row as the operator or a server does; returns its version.
  uint64_t Put(const std::string& table, const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    const uint64_t version = ++version_;
    Write({table, "", key}, Base64(value), version, false);
    changed_.notify_all();
    return version;
  }
  void Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    Write({table, "", key}, "", ++version_, true);
    changed_.notify_all();
  }
  uint64_t TooLarge() const { return too_large_; }
  size_t LargestRow(const std::string& table) {
    const std::lock_guard lock(mutex_);
    size_t largest = 0;
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) == table) largest = std::max(largest, Base64Bytes(row.value));
    }
    return largest;
  }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  struct Change {
    Key key;
    Row row;
  };

  static Key KeyOf(const json& item) {
    return {item.value("table", ""), item.value("part", ""), item.value("key", "")};
  }
  static json RowJson(const Key& key, const Row& row) {
    json out = {{"table", std::get<0>(key)},
                {"part", std::get<1>(key)},
                {"key", std::get<2>(key)},
                {"value", row.value},
                {"ver", row.version}};
    if (row.deleted) out["deleted"] = true;
    return out;
  }
  void Write(const Key& key, std::string value, uint64_t version, bool deleted) {
    Row row{std::move(value), version, deleted};
    history_.push_back({key, row});
    if (deleted) {
      rows_.erase(key);
    } else {
      rows_[key] = std::move(row);
    }
  }
  json Base() const { return {{"ver", version_}, {"now_ms", NowMs() + 50000}}; }

  std::pair<int, json> Apply(const std::string& body) {
    const json call = json::parse(body, nullptr, false);
    if (!call.is_object()) return {400, json::object()};
    static const json kNone = json::array();
    const auto list = [&](const char* name) -> const json& {
      const auto it = call.find(name);
      return it == call.end() ? kNone : *it;
    };
    const std::lock_guard lock(mutex_);
    const size_t entries =
        list("expected_rev").size() + list("writes").size() + list("remove").size();
    if (entries > 100 || body.size() > (1u << 20)) {
      ++too_large_;
      return {400, json::object()};
    }
    for (const json& item : list("writes")) {
      const size_t size = Base64Bytes(item.value("value", ""));
      if (size <= row_bytes) continue;
      ++too_large_;
      if (on_too_large) on_too_large(item.value("table", ""), item.value("key", ""), size);
      return {400, json::object()};
    }
    bool holds = true;
    json current = json::array();
    for (const json& item : list("expected_rev")) {
      const auto it = rows_.find(KeyOf(item));
      const uint64_t version = it == rows_.end() ? 0 : it->second.version;
      if (version != item.value("ver", uint64_t{0})) holds = false;
      if (it != rows_.end()) current.push_back(RowJson(it->first, it->second));
    }
    if (!holds) {
      json answer = Base();
      answer["rows"] = std::move(current);
      return {412, std::move(answer)};
    }
    const uint64_t version = ++version_;
    for (const json& item : list("writes")) {
      Write(KeyOf(item), item.value("value", ""), version, false);
    }
    for (const json& item : list("remove")) Write(KeyOf(item), "", version, true);
    changed_.notify_all();
    return {200, Base()};
  }

  std::pair<int, json> Get(const std::string& target) {
    auto query = Query(target);
    const std::lock_guard lock(mutex_);
    size_t limit = 500;
    if (query.contains("limit")) {
      limit = std::min<size_t>(limit, std::strtoul(query["limit"].c_str(), nullptr, 10));
    }
    json answer = Base();
    answer["rows"] = json::array();
    answer["more_pages"] = false;
    size_t bytes = 0;
    for (auto it = rows_.lower_bound({query["table"], query["part"], query["from"]});
         it != rows_.end(); ++it) {
      const auto& [table, part, key] = it->first;
      if (table != query["table"] || part != query["part"]) break;
      if (query.contains("to") && !query["to"].empty() && key >= query["to"]) break;
      bytes += it->second.value.size();
      if (answer["rows"].size() >= limit || bytes > (1u << 20)) {
        answer["more_pages"] = true;
        break;
      }
      answer["rows"].push_back(RowJson(it->first, it->second));
    }
    return {200, std::move(answer)};
  }

  std::pair<int, json> Parts(const std::string& target) {
    auto query = Query(target);
    const std::lock_guard lock(mutex_);
    std::set<std::string> parts;
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) == query["table"]) parts.insert(std::get<1>(key));
    }
    json answer = Base();
    answer["parts"] = parts;
    answer["more_pages"] = false;
    return {200, std::move(answer)};
  }

  std::pair<int, json> Feed(const std::string& target) {
    auto query = Query(target);
    const uint64_t after = std::strtoull(query["after"].c_str(), nullptr, 10);
    const int64_t until =
        NowMs() + std::min(30000L, std::strtol(query["wait_ms"].c_str(), nullptr, 10));
    std::unique_lock lock(mutex_);
    while (true) {
      json rows = json::array();
      auto it = std::upper_bound(
          history_.begin(), history_.end(), after,
          [](uint64_t v, const Change& change) { return v < change.row.version; });
      for (; it != history_.end(); ++it) {
        if (std::get<0>(it->key) == query["table"]) rows.push_back(RowJson(it->key, it->row));
      }
      if (!rows.empty() || NowMs() >= until) {
        json answer = Base();
        answer["rows"] = std::move(rows);
        return {200, std::move(answer)};
      }
      changed_.wait_for(lock, std::chrono::milliseconds(std::max<int64_t>(until - NowMs(), 1)));
    }
  }

  void Serve(int fd, StorePort* port) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    Reader reader(fd);
    while (true) {
      Message request;
      if (!ReadRequest(reader, &request)) break;
      // A cut machine's packets go nowhere.
      if (port->cut) {
        while (port->cut) SleepMs(20);
        break;
      }
      SleepMs(4 + port->delay_ms);
      const std::string target = request.Word(1);
      std::pair<int, json> answer{404, json::object()};
      if (target.starts_with("/api/rows-tx")) answer = Apply(request.body);
      if (target.starts_with("/api/rows-get")) answer = Get(target);
      if (target.starts_with("/api/rows-parts")) answer = Parts(target);
      if (target.starts_with("/api/rows-feed")) answer = Feed(target);
      if (port->cut) {
        while (port->cut) SleepMs(20);
        break;
      }
      const std::string text =
          Response(answer.first, {{"Content-Type", "application/json"}}, answer.second.dump());
      if (!SendAll(fd, text)) break;
    }
    close(fd);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<Change> history_;
  uint64_t version_ = 1;
  std::atomic<uint64_t> too_large_{0};
  std::vector<std::unique_ptr<StorePort>> ports_;
};

}  // namespace review

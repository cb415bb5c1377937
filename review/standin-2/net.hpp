// Small blocking HTTP/1.1 helpers for the stand-ins of the second review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using SteadyClock = std::chrono::steady_clock;

/// Milliseconds since the start of this program.
inline int64_t NowMs() {
  static const SteadyClock::time_point start = SteadyClock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             SteadyClock::now() - start)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Header names are kept in lower case.
using Headers = std::multimap<std::string, std::string>;

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

inline std::string Find(const Headers& headers, const std::string& name) {
  const auto it = headers.find(Lower(name));
  return it == headers.end() ? std::string() : it->second;
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Listens on 127.0.0.1. Returns -1 if the port can't be bound.
inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Returns a port on which nothing listens at present, below those that the system
/// gives to outgoing connections.
inline int FreePort() {
  constexpr int kFirst = 20000;
  constexpr int kCount = 12000;
  static std::atomic<int> next{static_cast<int>(getpid()) * 97 % kCount};
  for (int i = 0; i < kCount; ++i) {
    const int port = kFirst + next++ % kCount;
    const int fd = Listen(port);
    if (fd < 0) continue;
    close(fd);
    return port;
  }
  std::abort();
}

inline int Connect(int port, int timeout_ms = 1000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(n));
  }
  return true;
}

/// Reads a connection through a buffer.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  void SetDeadline(int64_t at_ms) { deadline_ = at_ms; }

  /// Returns false at the end of the connection or at the deadline.
  bool Fill() {
    if (deadline_ >= 0) {
      pollfd ready{fd_, POLLIN, 0};
      const int64_t left = std::max<int64_t>(deadline_ - NowMs(), 0);
      if (poll(&ready, 1, static_cast<int>(left)) != 1) {
        timed_out = true;
        return false;
      }
    }
    char piece[16384];
    const ssize_t n = recv(fd_, piece, sizeof(piece), 0);
    if (n < 0) was_reset = true;
    if (n <= 0) return false;
    buf_.append(piece, static_cast<size_t>(n));
    return true;
  }
  std::optional<std::string> Line() {
    size_t end = 0;
    while ((end = buf_.find("\r\n")) == std::string::npos) {
      if (!Fill()) return std::nullopt;
    }
    std::string line = buf_.substr(0, end);
    buf_.erase(0, end + 2);
    return line;
  }
  bool Bytes(size_t count, std::string* out) {
    while (buf_.size() < count) {
      if (!Fill()) return false;
    }
    out->append(buf_, 0, count);
    buf_.erase(0, count);
    return true;
  }
  void Rest(std::string* out) {
    while (Fill()) {
    }
    out->append(buf_);
    buf_.clear();
  }
  bool HasBytes() const { return !buf_.empty(); }

  bool timed_out = false;
  bool was_reset = false;

 private:
  int fd_;
  int64_t deadline_ = -1;
  std::string buf_;
};

/// A request or a response.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;
  /// The body has arrived whole, as its framing tells.
  bool complete = false;

  std::string Word(int index) const {
    size_t at = 0;
    for (int i = 0; i < index; ++i) {
      at = first_line.find(' ', at);
      if (at == std::string::npos) return {};
      ++at;
    }
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  int Status() const { return std::atoi(Word(1).c_str()); }
};

inline bool ReadHead(Reader& reader, Message* out) {
  const auto first = reader.Line();
  if (!first.has_value()) return false;
  out->first_line = *first;
  while (true) {
    const auto line = reader.Line();
    if (!line.has_value()) return false;
    if (line->empty()) return true;
    const size_t colon = line->find(':');
    if (colon == std::string::npos) continue;
    size_t value = colon + 1;
    while (value < line->size() && (*line)[value] == ' ') ++value;
    out->headers.emplace(Lower(line->substr(0, colon)), line->substr(value));
  }
}

inline void ReadBody(Reader& reader, Message* out, bool is_response) {
  if (Lower(Find(out->headers, "transfer-encoding")) == "chunked") {
    while (true) {
      const auto line = reader.Line();
      if (!line.has_value()) return;
      const size_t size = std::strtoul(line->c_str(), nullptr, 16);
      if (size > 0 && !reader.Bytes(size, &out->body)) return;
      const auto end = reader.Line();
      if (!end.has_value()) return;
      if (size == 0) {
        out->complete = true;
        return;
      }
    }
  }
  const std::string length = Find(out->headers, "content-length");
  if (!length.empty()) {
    out->complete = reader.Bytes(std::strtoul(length.c_str(), nullptr, 10), &out->body);
    return;
  }
  if (is_response) {
    reader.Rest(&out->body);
    out->complete = !reader.was_reset && !reader.timed_out;
  } else {
    out->complete = true;
  }
}

inline bool ReadRequest(Reader& reader, Message* out) {
  if (!ReadHead(reader, out)) return false;
  ReadBody(reader, out, false);
  return out->complete;
}

inline std::string Response(int status, const Headers& headers, const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return text;
}

}  // namespace review

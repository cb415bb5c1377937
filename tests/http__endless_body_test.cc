// A server that sends without end costs the client bounded memory and time.
#include <doctest/doctest.h>

#include <string>

#include "knapweed/base/resource_use.h"
#include "knapweed/http/client.h"
#include "standins/free_port.h"
#include "tests/endless_server.h"

namespace knapweed {
namespace {

const std::string kPlainHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a client that keeps, or reads for ever, what has no end.
TEST_CASE("HttpClient ends a call whose response has no end") {
  struct Row {
    const char* what;
    std::string head;
    std::string piece;
    int64_t max_kb;
  };
  constexpr int64_t kMaxBodyKb = int64_t{192} << 10;
  constexpr int64_t kMaxOtherKb = 2 << 10;
  const std::string xs = Repeat("x");
  // The rows that may use most come last, since the peak of memory is measured.
  const Row rows[] = {
      {"header", "HTTP/1.1 200 OK\r\n", Repeat("A: b\r\n"), kMaxOtherKb},
      {"interim", "", Repeat("HTTP/1.1 100 Continue\r\n\r\n"), kMaxOtherKb},
      {"early hints", "", Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
       kMaxOtherKb},
      {"chunk extension", kChunkedHead + "1;", xs, kMaxOtherKb},
      {"trailer", kChunkedHead + "0\r\n", Repeat("A: b\r\n"), kMaxOtherKb},
      {"body", kPlainHead, xs, kMaxBodyKb},
      {"chunks", kChunkedHead, "10000\r\n" + xs + "\r\n", kMaxBodyKb},
  };
  for (const Row& row : rows) {
    const std::string what = row.what;
    CAPTURE(what);
    const Address address = FreeLoopbackAddress();
    EndlessServer server(address, row.head, row.piece);
    const int64_t before_kb = ReadResourceUse().peak_resident_kb;
    {
      HttpClient client(address);
      const auto reply = client.Call({"GET", "/", "", {}, ""});
      CHECK(absl::IsUnknown(reply.status()));
    }
    CHECK(ReadResourceUse().peak_resident_kb - before_kb <= row.max_kb);
    CHECK(server.WaitForClose());
  }
}

// Guards against a client that waits for the end of an interim response.
TEST_CASE("HttpClient returns the response that follows an interim one") {
  const Address address = FreeLoopbackAddress();
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n";
  const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  EndlessServer server(address, interim + hints + last, "x");
  {
    HttpClient client(address);
    const auto reply = client.Call({"GET", "/", "", {}, ""});
    REQUIRE(reply.ok());
    CHECK(reply->status == 200);
    CHECK(reply->body == "body");
  }
  CHECK(server.WaitForClose());
}

// Guards against an answer that the parser takes and HTTP does not define, and
// against a body behind an interim response that is read as the next one.
TEST_CASE("HttpClient takes no response that can't answer its request") {
  struct Row {
    const char* head;
    // 0 if there is none.
    int status;
  };
  const std::string last = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  const Row rows[] = {
      {"HTTP/1.1 000 X\r\n\r\n", 0},
      {"HTTP/1.1 001 X\r\nContent-Length: 0\r\n\r\n", 0},
      {"HTTP/1.1 099 X\r\n\r\n", 0},
      {"HTTP/1.1 101 X\r\n\r\n", 0},
      {"HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\n", 0},
      {"HTTP/1.1 199 X\r\n\r\n", 200},
      {"HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", 599},
      {"HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", 0},
      {"HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", 0},
  };
  for (const Row& row : rows) {
    const std::string what = row.head;
    CAPTURE(what);
    const Address address = FreeLoopbackAddress();
    EndlessServer server(address, row.head + last, "x");
    {
      HttpClient client(address);
      const auto reply = client.Call({"GET", "/", "", {}, ""});
      CHECK(reply.ok() == (row.status > 0));
      if (reply.ok()) CHECK(reply->status == row.status);
      if (!reply.ok()) CHECK(absl::IsUnknown(reply.status()));
    }
    CHECK(server.WaitForClose());
  }
}

}  // namespace
}  // namespace knapweed

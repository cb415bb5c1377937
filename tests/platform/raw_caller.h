#ifndef KNAPWEED_TESTS_PLATFORM_RAW_CALLER_H_
#define KNAPWEED_TESTS_PLATFORM_RAW_CALLER_H_

#include <string>

#include "tests/platform/world.h"

/// A caller that reads the bytes of its connection until the end and judges
/// them by the framing of HTTP alone.
namespace knapweed::testing {

/// How a connection ended.
enum class ConnectionEnd {
  kClosed,
  kReset,
  /// It was still open at the end of the test's time.
  kOpen,
};

/// All bytes of one connection.
struct RawBytes {
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::kOpen;
};

/// The first answer of a connection.
struct RawAnswer {
  /// 0 without a whole head.
  unsigned status = 0;
  gateway::http::fields fields;
  std::string body;
  /// Its framing tells that all of it arrived.
  bool is_whole = false;
  /// Bytes after the answer.
  std::string rest;
};

/// What a caller does between its request and the end of the connection.
struct CallerHabits {
  /// Time for which it reads.
  Ms limit = Seconds(6);
  /// Time for which it waits before it reads.
  Ms reads_after = {};
  /// It sends no more after this; never if zero.
  Ms stops_sending_after = {};
};

/// Sends `bytes` and reads until the connection ends.
RawBytes SendAndRead(TestCluster& cluster, const std::string& bytes,
                     const CallerHabits& habits = {});

/// Reads the answer to a request with this method.
RawAnswer ParseAnswer(const RawBytes& raw, const std::string& method);

/// A request with an empty body and more header lines, each with its ending.
std::string RequestBytes(const std::string& method, const std::string& path,
                         const std::string& version,
                         const std::string& more_fields = {});

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_RAW_CALLER_H_

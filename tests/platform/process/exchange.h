#ifndef KNAPWEED_TESTS_PLATFORM_PROCESS_EXCHANGE_H_
#define KNAPWEED_TESTS_PLATFORM_PROCESS_EXCHANGE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/platform/process/process_world.h"

/// Requests of a caller on one connection, and what the ledger notes of them.
namespace knapweed::testing {

/// A caller's connection to a gateway.
struct Connection {
  Connection(ProcessWorld& world, size_t to)
      : stream(world.loop), gateway(to) {}
  gateway::beast::tcp_stream stream;
  gateway::beast::flat_buffer buf;
  size_t gateway;
  int number = 0;
  int requests = 0;
};
using ConnectionPtr = std::unique_ptr<Connection>;

/// A request as the caller writes it; `attempt` stands in the ledger.
struct Outgoing {
  Attempt* attempt = nullptr;
  std::string method = "POST";
  std::map<std::string, std::string> headers;
  std::string body;
  /// The caller closes the connection after so many events; 0 for never.
  int leaves_after = 0;
};

/// Returns a connection to that gateway, the one at hand if it is open; null if
/// none can be opened.
gateway::Task<ConnectionPtr> Reach(ProcessWorld& world, ConnectionPtr at_hand,
                                   size_t to);
/// Sends the requests on the connection and reads their responses. Returns
/// whether the connection can carry more.
gateway::Task<bool> Exchange(ProcessWorld& world, Connection& connection,
                             std::vector<Outgoing> batch);
/// A batch of one. g++ 12 can't compile a list of them in an awaited call.
std::vector<Outgoing> BatchOf(Outgoing out);

}  // namespace knapweed::testing

#endif  // KNAPWEED_TESTS_PLATFORM_PROCESS_EXCHANGE_H_

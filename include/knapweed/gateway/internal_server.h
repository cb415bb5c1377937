#ifndef KNAPWEED_GATEWAY_INTERNAL_SERVER_H_
#define KNAPWEED_GATEWAY_INTERNAL_SERVER_H_

#include <functional>

#include "knapweed/gateway/net.h"

/// HTTP server of the gateway for the platform and other gateways.
namespace knapweed::gateway {

/// Handles a request from the platform or another gateway. A status of 0 closes
/// the connection without a response.
using InternalHandler =
    std::function<Task<HttpResponse>(const HttpRequest& call)>;

/// Serves `handler` on `address` until the loop stops; returns false if it
/// can't listen there.
bool ServeInternal(asio::io_context& loop, const Address& address,
                   InternalHandler handler);

}  // namespace knapweed::gateway

#endif  // KNAPWEED_GATEWAY_INTERNAL_SERVER_H_

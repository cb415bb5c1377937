#include <iostream>

#include "knapweed/ctl/ctl.h"
#include "knapweed/http/client.h"

namespace knapweed {
namespace {

/// Sends one request on a connection of its own.
absl::StatusOr<HttpReply> CallOverHttp(const Address& address,
                                       const HttpRequest& request, Ms timeout) {
  HttpClient client(address);
  HttpCallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  return client.Call(request, options);
}

ConfigStore ConnectOverHttp(const Address& address, Ms timeout) {
  return ConfigStore{ConnectTableService(address, timeout),
                     ConnectObjectStore(address, timeout)};
}

}  // namespace

int CtlMain(int argc, const char** argv) {
  const absl::StatusOr<CtlOptions> options = ParseCtlOptions(argc, argv);
  if (!options.ok()) {
    std::cerr << "knapweedctl: " << options.status().message() << '\n';
    return static_cast<int>(CtlExit::kUsage);
  }
  const CtlEnvironment environment{ConnectOverHttp, CallOverHttp, std::cout,
                                   std::cerr, std::cin};
  return static_cast<int>(RunCtl(*options, environment));
}

}  // namespace knapweed

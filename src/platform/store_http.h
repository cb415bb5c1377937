#ifndef KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_
#define KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_

#include <string>

#include "absl/status/statusor.h"
#include "knapweed/http/client.h"

namespace knapweed {

/// Sends a request that changes nothing. Asked once more when a connection
/// breaks, as a kept one does when the server restarts. Errors: as
/// `TableService`.
absl::StatusOr<std::string> ReadOverHttp(HttpClient& client,
                                         const HttpRequest& request,
                                         Ms timeout);

/// Sends a request once. Unknown and DeadlineExceeded leave open whether it
/// took effect.
absl::StatusOr<std::string> WriteOverHttp(HttpClient& client,
                                          const HttpRequest& request,
                                          Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_

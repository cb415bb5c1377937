#ifndef KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_
#define KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_

#include <string>

#include "absl/status/statusor.h"
#include "knapweed/http/client.h"

namespace knapweed {

/// Sends a read-only request and returns the body of the reply. Sends it a
/// second time after an Unknown error: a kept connection breaks when the server
/// restarts. Errors: those of reads from `TableService`. Blocks for up to
/// `timeout` per attempt.
absl::StatusOr<std::string> ReadOverHttp(HttpClient& client,
                                         const HttpRequest& request,
                                         Ms timeout);

/// Sends a request once and returns the body of the reply. After Unknown and
/// DeadlineExceeded it may or may not have taken effect. Blocks for up to
/// `timeout`.
absl::StatusOr<std::string> WriteOverHttp(HttpClient& client,
                                          const HttpRequest& request,
                                          Ms timeout);

}  // namespace knapweed

#endif  // KNAPWEED_SRC_PLATFORM_STORE_HTTP_H_

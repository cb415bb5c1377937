#ifndef KNAPWEED_STANDINS_PLATFORM_SERVER_H_
#define KNAPWEED_STANDINS_PLATFORM_SERVER_H_

#include "standins/memory_store.h"
#include "standins/standin.h"

namespace knapweed {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreFaults, latency, outage,
                                   lose_commit_answers, fail_commits,
                                   lose_commits, lose_put_answers, fail_puts,
                                   commit_key_prefix)

/// The platform's services under one address: the table service, the object
/// store, the lagging VM list and the rate-limited weight store.
Standin MakePlatformStandin();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_PLATFORM_SERVER_H_

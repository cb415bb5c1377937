#ifndef KNAPWEED_STANDINS_PLATFORM_SERVER_H_
#define KNAPWEED_STANDINS_PLATFORM_SERVER_H_

#include "standins/memory_store.h"
#include "standins/standin.h"

namespace knapweed {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoreFaults, latency, outage,
                                   lose_commit_answers, fail_commits,
                                   lose_commits, lose_put_answers, fail_puts,
                                   commit_key_prefix)

/// Creates a fake of the platform's services under one address: the table
/// service, the object store, the VM list (which can lag) and the rate-limited
/// store of model weights.
Standin MakePlatformStandin();

}  // namespace knapweed

#endif  // KNAPWEED_STANDINS_PLATFORM_SERVER_H_

#ifndef KNAPWEED_SIDECAR_PROGRAM_HASH_H_
#define KNAPWEED_SIDECAR_PROGRAM_HASH_H_

#include <cstdint>
#include <string_view>

#include "knapweed/base/ids.h"

namespace knapweed {

/// Identifies a program in pins and queues. The same in every process.
inline uint64_t ProgramHash(std::string_view workspace,
                            std::string_view program) {
  return HashBytes(program, HashBytes(workspace));
}

}  // namespace knapweed

#endif  // KNAPWEED_SIDECAR_PROGRAM_HASH_H_

#ifndef KNAPWEED_WIRE_FRAME_H_
#define KNAPWEED_WIRE_FRAME_H_

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <span>

#include "absl/status/statusor.h"
#include "knapweed/wire/wire_generated.h"

namespace knapweed {

inline constexpr uint16_t kProtocolVersion = 1;
/// A frame over this size closes its connection. The length in front is not
/// counted.
inline constexpr size_t kMaxFrameBytes = 16 << 20;
/// The length in front of each frame: 32 bits, least significant byte first.
inline constexpr size_t kFrameLengthBytes = 4;

/// One message with the id that pairs an answer with its request.
struct Message {
  uint64_t correlation = 0;
  wire::BodyUnion body;
};

/// The bytes of one frame as they go over the connection, length included.
flatbuffers::DetachedBuffer EncodeFrame(uint64_t correlation,
                                        const wire::BodyUnion& body);

/// Checks the bytes of one frame, length included, before any of them is used.
/// InvalidArgument says what is wrong with them. The bytes must be aligned
/// to 8.
absl::StatusOr<Message> DecodeFrame(std::span<const uint8_t> bytes);

}  // namespace knapweed

#endif  // KNAPWEED_WIRE_FRAME_H_
